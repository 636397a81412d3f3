"""Settings of overload control: which of its parts are enabled, and the bounds."""

from __future__ import annotations

from dataclasses import dataclass

MAX_WAITING = 256
"""Default maximum number of requests that wait at one VM."""

MAX_WAITING_BYTES = 8 * 1024 * 1024
"""Default maximum size of the requests that wait at one VM, in bytes."""


@dataclass(frozen=True, slots=True)
class OverloadRules:
    """Which parts of overload control are enabled, and the bounds of the queue.

    Attributes:
        enabled: whether overload control applies at all.
        waiting_room: whether requests wait at this VM for capacity. If not, every
            request starts at once, and the other two parts have no effect.
        early_rejection: whether requests are refused that are forecast to start too
            late for their callers.
        fair_shares: whether customers share the capacity fairly.
        max_waiting: maximum number of waiting requests of the process.
        max_waiting_bytes: maximum size of the waiting requests of the process. The
            caller of this code lowers it to an eighth of a known memory limit.

    .. versionadded:: 0.4
    """

    enabled: bool = False
    waiting_room: bool = True
    early_rejection: bool = True
    fair_shares: bool = True
    max_waiting: int = MAX_WAITING
    max_waiting_bytes: int = MAX_WAITING_BYTES
