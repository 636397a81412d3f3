"""Demand of the fleet's VMs for each service."""

from __future__ import annotations

from dataclasses import dataclass

RANKS = 10
"""Number of ranks: 0, the most urgent, to 9."""

NO_WAITING = (0,) * RANKS
"""Waiting requests by rank of a VM where none waits."""


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand of one VM for a service, in requests.

    Attributes:
        service: the service's name.
        running: requests that the VM has in flight at the service's servers.
        waiting_by_rank: requests that wait at the VM, by rank.
    """

    service: str
    running: int = 0
    waiting_by_rank: tuple[int, ...] = NO_WAITING
