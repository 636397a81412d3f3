"""Counts of the requests on each backend server of a pool."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from ramppin.router.request.placement import PlaceId
from ramppin.router.version.tree import PoolPolicy

START_TRANSIT_S = 0.1
"""Longest time from the grant of a place to its request's arrival at a server."""

END_TRANSIT_S = 0.02
"""Time for which a place may count after its request ended on the server.

The count exceeds the requests on the backend servers by those in transit at
either end. The cap is therefore computed from a total without the places
granted within the transit time and without those that have probably ended.
"""

MAX_SUSPEND_S = 30.0
"""Longest suspension of a failing backend server."""


@dataclass(frozen=True, slots=True)
class Member:
    """A backend server as the settings and the platform's list show it.

    Attributes:
        name: its name in the settings.
        failure_domain: its failure domain.
        leaving: whether it gets no new requests.
    """

    name: str
    failure_domain: str = ""
    leaving: bool = False


@dataclass(slots=True)
class ServerLoad:
    """State of one backend server.

    Attributes:
        name: its name in the settings.
        failure_domain: its failure domain.
        leaving: whether it gets no new requests.
        places: requests that hold a place on it, including those of lost VMs.
        unexplained: reported requests for which no VM holds a place.
        unexplained_at: time at which these were reported.
        failures: failed attempts since the last success.
        suspensions: suspensions since the last success.
        suspended_until: end of its suspension; 0 while it is not suspended.
        ramp: limit of its requests after a suspension; None for no limit.
    """

    name: str
    failure_domain: str = ""
    leaving: bool = False
    places: int = 0
    unexplained: int = 0
    unexplained_at: float = 0.0
    failures: int = 0
    suspensions: int = 0
    suspended_until: float = 0.0
    ramp: int | None = None

    @property
    def count(self) -> int:
        """Upper estimate of the requests on the backend server."""
        return self.places + self.unexplained

    @property
    def serving(self) -> bool:
        """Whether it accepts new requests and counts in the pool's mean."""
        return not self.leaving and not self.suspended_until


@dataclass(slots=True)
class HeldPlace:
    """A place that is held.

    Attributes:
        server: its backend server.
        customer: the customer whose request holds it.
        granted_at: time of the grant; 0 for a restored place.
        orphaned_at: time from which no VM accounts for it; None while one does.
    """

    server: ServerLoad
    customer: str
    granted_at: float = 0.0
    orphaned_at: float | None = None


def compute_cap(
    bound: float, total: int, members: int, in_transit: int = 1, floor: int = 1
) -> int:
    """Return the limit of requests on a backend server after a placement.

    The bound is ``ceil(bound * mean)`` with the request to be placed counted
    in the mean, and at least ``floor``. Rounding up keeps a place free for every
    request; subtracting the requests in transit keeps the bound valid for the
    counts on the backend servers too.

    Args:
        bound: configured multiple of the mean, above 1.
        total: requests in the pool before the placement.
        members: backend servers over which the mean is taken.
        in_transit: counted requests that may not be on a backend server.
        floor: lower limit of the cap, at least 1.
    """
    counted = total + 1 - in_transit
    return max(floor, math.ceil(bound * counted / members)) if members else 0


class PoolLoad:
    """The counts of a pool's backend servers and the places held on them.

    Args:
        policy: the rules in force for the pool.

    .. versionadded:: 0.1
    """

    def __init__(self, policy: PoolPolicy) -> None:
        self.policy = policy
        self.servers: dict[str, ServerLoad] = {}
        self.serving: list[ServerLoad] = []
        self.held: dict[PlaceId, HeldPlace] = {}
        # Requests that may run: never fewer than those on the backend servers.
        self.total = 0
        self.members = 0
        # The part of the total that may have ended; it must not raise the mean.
        self.doubtful = 0
        self.in_transit = 1
        self._granted: deque[float] = deque()
        self._orphans: dict[PlaceId, HeldPlace] = {}
        self._by_vm: dict[str, set[PlaceId]] = {}

    @property
    def cap(self) -> int:
        """Current limit of requests on a backend server after a placement."""
        return compute_cap(
            self.policy.bound,
            self.total - self.doubtful,
            self.members,
            self.in_transit,
            self.policy.floor,
        )

    @property
    def capacity(self) -> int:
        """Requests that the serving backend servers can hold."""
        return self.members * self.policy.slots

    def set_members(self, members: Iterable[Member]) -> None:
        """Apply the current list of backend servers and which are leaving."""
        wanted = {member.name: member for member in members}
        for name, server in list(self.servers.items()):
            # A removed server is counted until its requests end.
            server.leaving = True
            if name not in wanted and not server.count:
                del self.servers[name]
        for name, member in wanted.items():
            server = self.servers.setdefault(name, ServerLoad(name))
            server.failure_domain = member.failure_domain
            server.leaving = member.leaving
        self._recompute_totals()

    def note_granted(self, now: float) -> None:
        """Record that a place was granted: its request is in transit."""
        self._granted.append(now)

    def estimate_transit(self, now: float, free_rate: float) -> None:
        """Estimate the number of places whose request is not on a server.

        Args:
            now: reading of the monotonic clock, in seconds.
            free_rate: freed places per second.
        """
        while self._granted and self._granted[0] <= now - START_TRANSIT_S:
            self._granted.popleft()
        ended = max(1, math.ceil(free_rate * END_TRANSIT_S))
        self.in_transit = len(self._granted) + ended

    def has_room(self, server: ServerLoad, cap: int) -> bool:
        """Return whether a backend server can accept one more request."""
        limit = min(cap, self.policy.slots)
        if server.ramp is not None:
            limit = min(limit, server.ramp)
        return server.serving and server.count < limit

    def take(
        self, place: PlaceId, server: ServerLoad, customer: str, granted_at: float
    ) -> None:
        """Count a place as held."""
        self.held[place] = HeldPlace(server, customer, granted_at)
        self._by_vm.setdefault(place.vm, set()).add(place)
        server.places += 1
        if server.serving:
            self.total += 1

    def free(self, place: PlaceId) -> HeldPlace | None:
        """Free a place and return it; None for an unknown place."""
        held = self.held.pop(place, None)
        if held is None:
            return None
        self._by_vm[place.vm].discard(place)
        held.server.places -= 1
        if held.orphaned_at is not None:
            self._orphans.pop(place)
        if held.server.serving:
            self.total -= 1
            self.doubtful -= held.orphaned_at is not None
        return held

    def list_places(self, vm: str) -> list[PlaceId]:
        """Return the places that a VM holds."""
        return list(self._by_vm.get(vm, ()))

    def count_by_vm(self) -> dict[str, int]:
        """Return the number of places that each VM holds."""
        return {vm: len(places) for vm, places in self._by_vm.items() if places}

    def mark_orphaned(self, place: PlaceId, now: float) -> None:
        """Mark a place that no VM accounts for; its request may still run."""
        held = self.held.get(place)
        if held and held.orphaned_at is None:
            held.orphaned_at = now
            self._orphans[place] = held
            self.doubtful += held.server.serving

    def unmark_orphaned(self, place: PlaceId) -> None:
        """Clear the mark of a place whose VM has reported it again."""
        held = self.held[place]
        if held.orphaned_at is not None:
            held.orphaned_at = None
            del self._orphans[place]
            self.doubtful -= held.server.serving

    def list_orphans(self, server: ServerLoad | None = None) -> list[PlaceId]:
        """Return the orphaned places on one backend server, or on all."""
        return [
            place
            for place, held in self._orphans.items()
            if server is None or held.server is server
        ]

    def count_running_since(self, server: ServerLoad, moment: float) -> int:
        """Return the number of places whose requests have run since a moment."""
        latest = moment - START_TRANSIT_S
        return sum(
            held.server is server
            and held.orphaned_at is None
            and held.granted_at <= latest
            for held in self.held.values()
        )

    def set_unexplained(self, server: ServerLoad, count: int, now: float) -> None:
        """Set the number of requests on a backend server without a held place."""
        if server.serving:
            self.total += count - server.unexplained
            self.doubtful += count - server.unexplained
        server.unexplained = count
        server.unexplained_at = now

    def note_success(self, server: ServerLoad) -> None:
        """Record a successful attempt; the ramp doubles until it reaches the slots."""
        server.failures = 0
        server.suspensions = 0
        if server.ramp is not None:
            server.ramp *= 2
            if server.ramp >= self.policy.slots:
                server.ramp = None

    def note_failure(self, server: ServerLoad, now: float) -> float | None:
        """Record a failed attempt; return the end of a suspension that it caused."""
        server.failures += 1
        if server.suspended_until or server.failures < self.policy.suspend_after:
            return None
        pause = min(self.policy.suspend_s * 2**server.suspensions, MAX_SUSPEND_S)
        server.suspensions += 1
        server.suspended_until = now + pause
        self._recompute_totals()
        return server.suspended_until

    def end_suspensions(self, now: float) -> None:
        """Return backend servers to service after their suspension, with a ramp."""
        for server in self.servers.values():
            if server.suspended_until and server.suspended_until <= now:
                server.suspended_until = 0.0
                server.failures = self.policy.suspend_after - 1
                server.ramp = 1
        self._recompute_totals()

    def _recompute_totals(self) -> None:
        serving = [server for server in self.servers.values() if server.serving]
        self.serving = serving
        self.members = len(serving)
        self.total = sum(server.count for server in serving)
        self.doubtful = sum(server.unexplained for server in serving)
        self.doubtful += sum(held.server.serving for held in self._orphans.values())
