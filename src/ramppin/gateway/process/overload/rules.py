"""Settings of overload control.

Built from the routing settings (:mod:`ramppin.gateway.version.routingfile`) or from the
configuration of the process. Overload control is enabled only if one of them contains
these rules.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_WAITING = 256
"""Default for the maximum number of requests that wait at one VM."""

MAX_WAITING_BYTES = 8 * 1024 * 1024
"""Default for the maximum size in bytes of all requests that wait at one VM."""

WAITING_MEMORY_SHARE = 1 / 8
"""Maximum fraction of the memory limit of the process for requests that wait: the
smallest VMs have 200 MB, most of which the process itself uses."""


@dataclass(frozen=True, slots=True)
class OverloadRules:
    """Which parts of overload control are enabled, and their limits.

    Attributes:
        enabled: whether overload control is enabled at all.
        waiting_room: whether requests wait in this VM's admission queue.
        early_rejection: whether requests that can't start in time are refused on
            arrival.
        fair_shares: whether capacity is divided fairly between customers.
        max_waiting: maximum number of requests in the admission queue.
        max_waiting_bytes: maximum size in bytes of all requests in it.
    """

    enabled: bool = True
    waiting_room: bool = True
    early_rejection: bool = True
    fair_shares: bool = True
    max_waiting: int = MAX_WAITING
    max_waiting_bytes: int = MAX_WAITING_BYTES


def limit_waiting_bytes(memory_bytes: float | None) -> int:
    """Return the limit for the size of waiting requests.

    Args:
        memory_bytes: memory limit of the process; None if there is none.
    """
    if memory_bytes is None:
        return MAX_WAITING_BYTES
    return min(MAX_WAITING_BYTES, int(memory_bytes * WAITING_MEMORY_SHARE))
