"""Chooses the VM through which a request takes the other path.

Candidates are live VMs that do not report that they are cut off from the service too.
The one with the fewest requests of this VM is chosen, which spreads them; a VM of the
same failure domain gets one request more, since the way to it is shorter. No I/O.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass, field

from ramppin.gateway.process.membership.health import ServerHealth
from ramppin.gateway.process.membership.members import FleetMembers, Member
from ramppin.gateway.process.stalldetector import StallDetector

NEAR_ADVANTAGE = 1.5
"""Requests in flight by which a VM of the same failure domain may exceed another."""

REFUSAL_S = 0.5
"""Seconds for which a VM that refused to forward a request to a service is passed over
for that service: about the time in which its path may return."""

MAX_SILENCE_S = 0.8
"""Seconds without a message after which a VM without answers counts as stalled."""


@dataclass(eq=False)
class Forwarder:
    """Another VM as a way to backend servers.

    Attributes:
        vm: its name.
        host: its IP address.
        health: its health, from the attempts made through it.
        in_flight: requests of this VM that it forwards.
        refused_until: event-loop time until which it is passed over, by service.
        last_seen_at: event-loop time of its last message.
    """

    vm: str
    host: str
    health: ServerHealth
    in_flight: int = 0
    refused_until: dict[str, float] = field(default_factory=dict)
    last_seen_at: float = float("-inf")

    def is_stalled(self, received_at: float, now: float) -> bool:
        """Return whether a request waits for a VM that neither answers nor sends."""
        is_silent = now - self.last_seen_at > MAX_SILENCE_S
        return is_silent and self.health.is_stalled(received_at, now)


class Forwarders:
    """The VMs that may forward requests.

    Args:
        members: the other VMs.
        failure_domain: failure domain of this VM.
        stall_detector: stall detector of this process.
        generator: breaks ties.

    .. versionadded:: 0.5
    """

    def __init__(
        self,
        members: FleetMembers,
        failure_domain: str,
        stall_detector: StallDetector,
        generator: random.Random,
    ) -> None:
        self._members = members
        self._failure_domain = failure_domain
        self._stall_detector = stall_detector
        self._generator = generator
        self._forwarders: dict[str, Forwarder] = {}

    def choose(
        self, service: str, tried: Collection[str], now: float
    ) -> Forwarder | None:
        """Return the VM for a request, or None.

        Args:
            service: the request's service.
            tried: names of VMs that the request has tried.
            now: event-loop time.
        """
        candidates = [
            self._find(member)
            for member in self._members.list_live(now)
            if service not in member.unreachable and member.vm not in tried
        ]
        allowed = [f for f in candidates if now >= f.refused_until.get(service, now)]
        healthy = [f for f in allowed if not f.health.is_suspect(now)]
        if not (healthy or allowed):
            return None
        return min(healthy or allowed, key=self._weigh)

    def is_available(self, service: str, now: float) -> bool:
        """Return whether there is a VM for a request to a service."""
        return self.choose(service, (), now) is not None

    def _weigh(self, forwarder: Forwarder) -> tuple[float, float]:
        domain = self._members.find_failure_domain(forwarder.vm)
        is_near = domain == self._failure_domain
        weight = forwarder.in_flight - (NEAR_ADVANTAGE if is_near else 0.0)
        return weight, self._generator.random()

    def _find(self, member: Member) -> Forwarder:
        forwarder = self._forwarders.get(member.vm)
        if forwarder is None or forwarder.host != member.host:
            health = ServerHealth(self._stall_detector)
            forwarder = Forwarder(member.vm, member.host, health)
            self._forwarders[member.vm] = forwarder
        forwarder.last_seen_at = member.last_seen_at
        return forwarder
