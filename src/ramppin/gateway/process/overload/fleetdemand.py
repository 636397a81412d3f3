"""Demand of the fleet's VMs for each service, and this VM's part of it.

Load pattern: requests that exceed a service's capacity reach it through 72 to 360 VMs,
each of which receives 1 to 10 a second. VMs broadcast their demand with messages that
are sent anyway (:mod:`~.demandgossip`), and each VM computes its own share of the free
capacity from what it received. No VM coordinates the others. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ramppin.gateway.process.stalldetector import StallDetector

RANKS = 10
"""Number of ranks: 0, the most urgent, to 9."""

NO_WAITING = (0,) * RANKS
"""Waiting requests by rank of a VM where none waits."""

DEMAND_TTL_S = 2.0
"""Seconds for which a VM's demand is used after its last message. At 72 VMs a message
to all VMs is sent every 0.72 s, so that one may be lost."""

FULL_EXCHANGE_VMS = 200
"""Maximum size of a fleet in which demand is exchanged among all VMs. The period of the
messages to all VMs grows with the fleet and exceeds :data:`DEMAND_TTL_S` beyond."""


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


@dataclass(frozen=True, slots=True)
class PeerDemand:
    """Demand for a service that this VM received from others.

    Attributes:
        running: requests in flight, summed over the VMs that sent their demand.
        waiting: waiting requests by rank, summed likewise.
        scale: factor from the VMs that sent their demand, with this VM, to all known
            ones; 0 while the fleet is unknown.
        senders: number of the VMs that sent it.
        received_at: event-loop time of the newest message.
    """

    running: int = 0
    waiting: tuple[int, ...] = NO_WAITING
    scale: float = 0.0
    senders: int = 0
    received_at: float = float("-inf")

    def estimate_running(self, own: int) -> float:
        """Return the fleet's requests in flight.

        Args:
            own: this VM's requests in flight.
        """
        return max(own, self.scale * (own + self.running))

    def estimate_waiting(self, own: int, rank: int) -> float:
        """Return the fleet's waiting requests of a rank.

        Args:
            own: this VM's waiting requests of the rank.
            rank: the rank.
        """
        return max(own, self.scale * (own + self.waiting[rank]))

    def compute_share(self, own: float, others: float) -> float:
        """Return the share of a resource for an own demand, from 0 to 1.

        VMs whose demand is not known are taken to have the mean demand of the others:
        the VMs of both sides of a partition then use no more than the whole together
        while their member lists are the same. Without any message the share is one over
        the number of known VMs.

        Args:
            own: this VM's demand, over 0.
            others: demand of the VMs that sent theirs.
        """
        if not self.scale:
            return 0.0
        return own / (self.scale * (own + others))


@dataclass(frozen=True, slots=True)
class _Received:
    """Demand of one VM and when it arrived."""

    demand: Demand
    at: float


class FleetDemand:
    """Demand of the other VMs, by service.

    Args:
        list_vms: returns the names of the VMs that share the servers, with this one;
            empty while the fleet is unknown.
        find_failure_domain: returns the failure domain of a VM.
        failure_domain: the failure domain of this VM.
        stall_detector: stall detector of this process; None if it never stalls.

    .. versionadded:: 0.3
    """

    def __init__(
        self,
        list_vms: Callable[[float], Sequence[str]],
        find_failure_domain: Callable[[str], str],
        failure_domain: str,
        stall_detector: StallDetector | None = None,
    ) -> None:
        self._list_vms = list_vms
        self._find_failure_domain = find_failure_domain
        self._failure_domain = failure_domain
        self._stall_detector = stall_detector or StallDetector()
        self._received: dict[str, dict[str, _Received]] = {}

    def apply(self, vm: str, demand: Demand, now: float) -> None:
        """Apply the demand that another VM sent."""
        received = self._received.setdefault(demand.service, {})
        received[vm] = _Received(demand, now)

    def sum_up(self, service: str, now: float) -> PeerDemand:
        """Return the demand of the other VMs for a service."""
        known = len(self._list_vms(now))
        received = self._list_received(service, now)
        if known > FULL_EXCHANGE_VMS:
            # Most messages of other failure domains have expired; the sum of those that
            # have not would vary with the moment.
            received = {
                vm: entry
                for vm, entry in received.items()
                if self._find_failure_domain(vm) == self._failure_domain
            }
        entries = received.values()
        waiting = [entry.demand.waiting_by_rank for entry in entries]
        busy = [by_rank for by_rank in waiting if by_rank != NO_WAITING]
        return PeerDemand(
            running=sum(entry.demand.running for entry in entries),
            waiting=tuple(map(sum, zip(*busy, strict=True))) if busy else NO_WAITING,
            scale=max(1.0, known / (1 + len(received))) if known else 0.0,
            senders=len(received),
            received_at=max((entry.at for entry in entries), default=float("-inf")),
        )

    def _list_received(self, service: str, now: float) -> dict[str, _Received]:
        """Return the demand of VMs whose last message has not expired.

        While this process is behind, messages may have arrived that are not read, and
        none expires.
        """
        received = self._received.get(service, {})
        if self._stall_detector.is_behind(now):
            return received
        oldest = now - DEMAND_TTL_S
        expired = [vm for vm, entry in received.items() if entry.at < oldest]
        for vm in expired:
            del received[vm]
        return received
