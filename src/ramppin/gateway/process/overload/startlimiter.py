"""Which requests this VM may start now.

Load pattern: demand exceeds the slots of a service, and each of 72 to 360 VMs starts
its own part of the requests. Free capacity is known with a report's delay, so starts
draw on token buckets, at the rate at which this VM's share of the free capacity may be
used within one delay. While few servers have reported their load, and where they report
none, this VM's requests in flight are limited instead. Beyond the limit, servers get at
most one request per VM, and what starts within one report delay. No I/O.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ramppin.gateway.process.overload.brittleness import BrittleServices
from ramppin.gateway.process.overload.capacity import (
    REPORT_DELAY_S,
    CapacityEstimator,
    ServiceCapacity,
)
from ramppin.gateway.process.overload.fleetdemand import (
    DEMAND_TTL_S,
    NO_WAITING,
    RANKS,
    Demand,
    FleetDemand,
    PeerDemand,
)
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.serverstate import ServerState
from ramppin.gateway.version.routing import ServiceSpec

BUSY_SHARE = 0.75
"""Share of the slots from which requests pass through the admission queue. The rest has
room for what starts within one report delay."""

MIN_REPORTING = 3
"""Servers that must have reported their load, if the service has as many, before starts
depend on load reports."""

RANK_USE_S = 10.0
"""Seconds for which a rank counts as in use after its last request: a VM that receives
one request of it in that time leaves capacity free for it."""

VISIBLE_AFTER_S = 0.02
"""Seconds after which a started request counts among the requests in flight at its
server. Until then it is counted here."""

SNAPSHOT_S = 0.08
"""Seconds for which the capacity of a service is not measured again: the shortest
period of the messages with loads. Own requests are counted at once. Measuring 45
servers for each request would cost more than its other decisions."""

QUIET_SHARE = 0.5
"""Share of its limit below which a service's capacity is measured less often. Requests
skip the admission queue there."""

QUIET_SNAPSHOT_S = 0.5
"""Seconds for which the capacity of such a service is not measured again. Own starts
count at once, and load reports are looked at every :data:`SNAPSHOT_S`."""

MAX_AGE_S = 999.0
"""Age in seconds that is shown where nothing has been received."""

NEVER = float("-inf")
"""Event-loop time of an event that has not occurred."""


@dataclass(frozen=True, slots=True)
class CapacityState:
    """Capacity of a service and this VM's share, as known at one moment.

    Attributes:
        limit: requests that the service's servers may hold.
        held: requests that they hold.
        free: the limit less what is held; negative while they hold more.
        share: requests that this VM may start.
        source: where the limit and what is held come from: ``reports``, ``requests``
            (of VMs), ``learned`` or ``setting``.
        age_s: age in seconds of the newest report or message that was used.
    """

    limit: float = 0.0
    held: float = 0.0
    free: float = 0.0
    share: float = 0.0
    source: str = "requests"
    age_s: float = 0.0


class StartLimiter(ABC):
    """Limits the requests that this VM sends to the servers of a service.

    .. versionadded:: 0.3
    """

    @abstractmethod
    def is_busy(self, service: str, now: float) -> bool:
        """Return whether requests must pass through the admission queue."""

    @abstractmethod
    def may_start(self, service: str, rank: int, now: float) -> bool:
        """Return whether a request of a rank may be sent now."""

    @abstractmethod
    def note_started(self, service: str, rank: int, now: float) -> None:
        """Record that a request is sent, whether it waited or not."""

    @abstractmethod
    def note_waiting(self, service: str, waiting: Sequence[int], now: float) -> None:
        """Record this VM's waiting requests by rank, as 10 values."""

    @abstractmethod
    def estimate_start_rate(self, service: str, rank: int, now: float) -> float:
        """Return the expected starts per second of a rank and more urgent ones."""

    @abstractmethod
    def describe(self, service: str, now: float) -> CapacityState:
        """Return the capacity of a service and this VM's share."""


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """What is known of a service at one moment.

    Attributes:
        at: event-loop time at which it was taken.
        capacity: capacity of its servers.
        peers: demand of the other VMs.
        own: this VM's requests in flight.
        positions: for each rank the number of more urgent ranks in use.
        ranks: number of ranks in use.
        states: the servers.
        abandoned: requests that this VM gave up and that servers may still hold.
        is_quiet: whether servers that report their load hold little.
    """

    at: float
    capacity: ServiceCapacity
    peers: PeerDemand
    own: int
    positions: Sequence[int]
    ranks: int
    states: Sequence[ServerState]
    abandoned: int
    is_quiet: bool


@dataclass(slots=True)
class _Bucket:
    """Token bucket of one rank.

    Attributes:
        tokens: starts that are allowed at once.
        refilled_at: event-loop time of the last refill.
    """

    tokens: float = 1.0
    refilled_at: float = NEVER

    def refill(self, rate_per_s: float, burst: float, now: float) -> None:
        """Add the tokens since the last refill."""
        if self.refilled_at > NEVER:
            self.tokens += max(0.0, now - self.refilled_at) * rate_per_s
        self.tokens = min(burst, self.tokens)
        self.refilled_at = now


@dataclass(slots=True)
class _ServiceStarts:
    """This VM's requests to one service.

    Attributes:
        since: event-loop time at which the service was first used.
        waiting: waiting requests by rank.
        recent: event-loop times of starts that are not visible in flight yet.
        used_at: event-loop time of the last request of each rank, of any VM.
        buckets: a token bucket for each rank.
        cap_bucket: token bucket of all ranks, for a part of the limit under 1.
        is_reporting: whether enough servers have reported their load since the start of
            this process.
        snapshot: what was known when it was last measured.
        started: starts since then.
        checked_at: event-loop time at which load reports were last looked at.
    """

    since: float
    waiting: tuple[int, ...] = NO_WAITING
    recent: deque[float] = field(default_factory=deque)
    used_at: list[float] = field(default_factory=lambda: [NEVER] * RANKS)
    buckets: list[_Bucket] = field(
        default_factory=lambda: [_Bucket() for _ in range(RANKS)]
    )
    cap_bucket: _Bucket = field(default_factory=_Bucket)
    is_reporting: bool = False
    snapshot: _Snapshot | None = None
    started: int = 0
    checked_at: float = NEVER


@dataclass(slots=True)
class _View:
    """A service's capacity and demand, with this VM's requests up to now.

    Attributes:
        capacity: capacity of its servers.
        peers: demand of the other VMs.
        own: this VM's requests in flight.
        waiting: this VM's waiting requests by rank.
        held: requests that the servers hold.
        has_reports: whether enough servers report their load; otherwise this VM's
            requests in flight are limited.
        is_starting: whether load reports are still expected to arrive.
        positions: for each rank the number of more urgent ranks in use.
        ranks: number of ranks in use.
    """

    capacity: ServiceCapacity
    peers: PeerDemand
    own: int
    waiting: Sequence[int]
    held: float
    has_reports: bool
    is_starting: bool
    positions: Sequence[int]
    ranks: int

    @property
    def free(self) -> float:
        """The limit less what the servers hold."""
        return self.capacity.limit - self.held

    def compute_available(self, rank: int) -> float:
        """Return the free capacity that is left to a rank in the whole fleet.

        The reserve for more urgent ranks serves those of their requests that wait.
        """
        urgent = sum(
            self.peers.estimate_waiting(self.waiting[other], other)
            for other in range(rank)
        )
        reserve = self.capacity.compute_reserve(self.positions[rank], self.ranks)
        if reserve < 0:
            return self.free - reserve - urgent
        return self.free - max(reserve, urgent)

    def compute_part(self, rank: int) -> float:
        """Return this VM's part of the fleet's waiting requests of a rank.

        A request for which it is asked counts as waiting.
        """
        own = max(1, self.waiting[rank])
        return self.peers.compute_share(own, self.peers.waiting[rank])

    def compute_share(self, rank: int) -> float:
        """Return the requests of a rank that this VM may start."""
        return max(0.0, self.compute_available(rank)) * self.compute_part(rank)

    def compute_urgent_part(self, rank: int) -> float:
        """Return this VM's part of the waiting requests up to a rank."""
        own = max(1, sum(self.waiting[: rank + 1]))
        return self.peers.compute_share(own, sum(self.peers.waiting[: rank + 1]))

    def compute_cap(self, rank: int) -> float:
        """Return this VM's part of the limit, in requests in flight.

        Used where load reports are missing. As long as these are expected, each known
        VM has the same part.
        """
        reserve = self.capacity.compute_reserve(self.positions[rank], self.ranks)
        limit = self.capacity.limit - reserve
        if self.is_starting:
            known = self.peers.scale * (1 + self.peers.senders)
            return limit / known if known else 0.0
        own = self.own + max(1, sum(self.waiting[: rank + 1]))
        others = self.peers.running + sum(self.peers.waiting[: rank + 1])
        return limit * self.peers.compute_share(own, others)

    def is_busy(self) -> bool:
        """Return whether the service's slots are nearly used."""
        if not self.capacity.servers:
            # Nothing can be started, and the request path answers as it does without
            # overload control.
            return False
        if self.is_starting:
            return self.own >= BUSY_SHARE * max(1.0, self.compute_cap(0))
        held = self.held
        if not self.has_reports:
            # What other VMs run is known with their messages' delay, in which requests
            # may end and be replaced by those that wait.
            held += sum(
                self.peers.estimate_waiting(own, rank)
                for rank, own in enumerate(self.waiting)
            )
        return held >= BUSY_SHARE * self.capacity.slots


class FleetStartLimiter(StartLimiter):
    """Start limiter of a VM of a fleet, without coordination.

    Args:
        directory: the backend servers.
        find_service: returns the settings of a service, or None.
        list_vms: returns the names of the VMs that share the servers, with this one;
            empty while the fleet is unknown.
        find_failure_domain: returns the failure domain of a VM.
        failure_domain: the failure domain of this VM.
        brittle: services with brittle servers; None for none.

    .. versionadded:: 0.3
    """

    def __init__(
        self,
        directory: ServerDirectory,
        find_service: Callable[[str], ServiceSpec | None],
        list_vms: Callable[[float], Sequence[str]],
        find_failure_domain: Callable[[str], str] = lambda vm: "",
        failure_domain: str = "",
        brittle: BrittleServices | None = None,
    ) -> None:
        self._directory = directory
        self._brittle = brittle or BrittleServices()
        self._estimator = CapacityEstimator(directory, find_service, self._brittle)
        self._demand = FleetDemand(
            list_vms, find_failure_domain, failure_domain, directory.stall_detector
        )
        self._services: dict[str, _ServiceStarts] = {}

    def is_busy(self, service: str, now: float) -> bool:
        """Return whether requests must pass through the admission queue."""
        snapshot = self._find_snapshot(service, now)
        if snapshot.is_quiet:
            capacity = snapshot.capacity
            most = capacity.held + self._open(service, now).started
            if most < BUSY_SHARE * capacity.slots:
                return False
        return self._view(service, now).is_busy()

    def may_start(self, service: str, rank: int, now: float) -> bool:
        """Return whether a request of a rank may be sent now."""
        view = self._view(service, now)
        if not view.is_busy():
            return True
        if not view.has_reports:
            return self._may_fill(view, self._open(service, now).cap_bucket, rank, now)
        available = view.compute_available(rank)
        share = max(0.0, available) * view.compute_part(rank)
        bucket = self._open(service, now).buckets[rank]
        rate = 0.0
        if available > 0:
            throughput = view.capacity.throughput_per_s * view.compute_part(rank)
            rate = max(share / REPORT_DELAY_S, throughput)
        # Without free capacity no tokens accumulate: otherwise each VM would have one
        # when capacity becomes free, and all would use it at the same moment.
        bucket.refill(rate, max(1.0, share), now)
        return available > 0 and bucket.tokens >= 1

    def note_started(self, service: str, rank: int, now: float) -> None:
        """Record that a request is sent, whether it waited or not."""
        starts = self._open(service, now)
        starts.recent.append(now)
        starts.started += 1
        starts.used_at[rank] = now
        for bucket in (starts.buckets[rank], starts.cap_bucket):
            bucket.tokens = max(0.0, bucket.tokens - 1)

    def note_waiting(self, service: str, waiting: Sequence[int], now: float) -> None:
        """Record this VM's waiting requests by rank, as 10 values."""
        starts = self._open(service, now)
        starts.waiting = tuple(waiting)
        _note_ranks(starts, waiting, now)

    def estimate_start_rate(self, service: str, rank: int, now: float) -> float:
        """Return the expected starts per second of a rank and more urgent ones.

        Args:
            service: the service's name.
            rank: the rank.
            now: event-loop time.
        """
        view = self._view(service, now)
        capacity = view.capacity
        rate = capacity.throughput_per_s * view.compute_urgent_part(rank)
        if not view.has_reports:
            # One request at a time is always allowed.
            return max(rate, 1 / capacity.stay_s)
        ranks = [r for r in range(rank) if view.waiting[r]]
        share = sum(view.compute_share(r) for r in (*ranks, rank))
        return max(rate, share / REPORT_DELAY_S)

    def find_server_limit(self, service: str, rank: int, now: float) -> float:
        """Return how many requests one server may hold for one more of a rank.

        Of a brittle server without load reports only what this VM sent is known, and
        its limit is this VM's part.
        """
        snapshot = self._find_snapshot(service, now)
        capacity = snapshot.capacity
        if capacity.servers and self._brittle.is_brittle(service, now):
            view = self._view(service, now)
            if not view.has_reports:
                return max(1.0, math.ceil(view.compute_cap(rank) / capacity.servers))
        if not capacity.priority_room:
            return capacity.server_limit
        reserve = capacity.compute_reserve(snapshot.positions[rank], snapshot.ranks)
        return capacity.server_limit - reserve / capacity.servers

    def describe(self, service: str, now: float) -> CapacityState:
        """Return the capacity of a service and this VM's share.

        The share is that of the waiting requests, or of the most urgent rank if none
        waits.
        """
        view = self._view(service, now)
        ranks = [rank for rank in range(RANKS) if view.waiting[rank]] or [0]
        if view.has_reports:
            share = sum(view.compute_share(rank) for rank in ranks)
        else:
            share = max(0.0, view.compute_cap(ranks[0]) - view.own)
        known_at = max(view.capacity.reported_at, view.peers.received_at)
        return CapacityState(
            limit=view.capacity.limit,
            held=view.held,
            free=view.free,
            share=share,
            source=str(view.capacity.source),
            age_s=min(MAX_AGE_S, now - known_at),
        )

    def _may_fill(self, view: _View, bucket: _Bucket, rank: int, now: float) -> bool:
        """Return whether this VM's part of the limit allows another request.

        Each VM may have one request in flight. If its part is less, as where there are
        more VMs than slots, it starts requests at the rate of its part.
        """
        cap = view.compute_cap(rank)
        free_rate = view.compute_share(rank) / REPORT_DELAY_S
        bucket.refill(max(cap / view.capacity.stay_s, free_rate), 1.0, now)
        if view.own + 1 > max(1.0, cap):
            return False
        return cap >= 1 or bucket.tokens >= 1

    # What the request path observes.

    def note_slots(self, server_id: str, slots: int, now: float) -> None:
        """Record the slots in a server's load report."""
        self._estimator.note_slots(server_id, slots, now)

    def find_reported_slots(self, server_id: str) -> int | None:
        """Return the slots in a server's last load report; None if unknown."""
        return self._estimator.find_reported_slots(server_id)

    def note_tokens(self, service: str, tokens: int, now: float) -> None:
        """Record the uncached prompt and expected output tokens of a request."""
        self._estimator.note_tokens(service, tokens, now)

    def note_answered(self, service: str, took_s: float, now: float) -> None:
        """Record that a server answered a request, and the seconds that it took."""
        self._estimator.note_answered(service, took_s)
        learned = self._estimator.find_learned(service, now)
        if learned is not None:
            view = self._view(service, now)
            is_needed = any(view.waiting) or view.own + 1 >= view.compute_cap(0)
            learned.note_answered(took_s, now, is_needed=is_needed)

    def note_rejected(self, service: str, now: float) -> None:
        """Record that a server rejected a request without running it."""
        learned = self._estimator.find_learned(service, now)
        if learned is not None:
            learned.note_rejected(now)

    # Demand messages of VMs.

    def find_demand(self, service: str, now: float) -> Demand:
        """Return this VM's demand for a service."""
        view = self._view(service, now)
        return Demand(service, view.own, tuple(view.waiting))

    def apply_peer_demand(self, vm: str, demand: Demand, now: float) -> None:
        """Apply the demand of another VM."""
        self._demand.apply(vm, demand, now)
        _note_ranks(self._open(demand.service, now), demand.waiting_by_rank, now)

    def measure_use(self, service: str, now: float) -> float:
        """Return the part of a service's limit that its servers hold."""
        view = self._view(service, now)
        return view.held / view.capacity.limit if view.capacity.limit else 0.0

    def needs_demand(self, service: str, now: float) -> bool:
        """Return whether VMs must broadcast their demand at any load.

        That is so where servers report no load, while any VM has demand.
        """
        view = self._view(service, now)
        if view.has_reports or not view.capacity.servers:
            return False
        others = view.peers.running + sum(view.peers.waiting)
        return bool(view.own or others or any(view.waiting))

    def _open(self, service: str, now: float) -> _ServiceStarts:
        starts = self._services.get(service)
        if starts is None:
            starts = self._services[service] = _ServiceStarts(now)
        return starts

    def _discount(
        self, held: float, running: float, capacity: ServiceCapacity, now: float
    ) -> float:
        """Return what servers hold if no report has arrived for longer than usual.

        Servers report when they begin to answer. If all VMs wait for free capacity, no
        requests start, and the last reports do not show those that end.

        Args:
            held: requests that the servers hold according to the last reports.
            running: requests that the VMs have in flight, a lower bound: servers that
                have stopped do not end requests.
            capacity: capacity of the servers.
            now: event-loop time.
        """
        missing_s = now - capacity.reported_at - REPORT_DELAY_S
        if missing_s <= 0 or self._directory.stall_detector.is_behind(now):
            return held
        remaining = held * math.exp(-missing_s / capacity.stay_s)
        return min(held, max(running, remaining))

    def _take_snapshot(
        self, service: str, starts: _ServiceStarts, now: float
    ) -> _Snapshot:
        states = self._directory.list_service(service)
        abandoned = sum(state.waiting.count_abandoned(now) for state in states)
        own = abandoned + _count_started(starts, states, now)
        positions, ranks = _rank_positions(starts, now)
        capacity = self._estimator.measure(service, now)
        starts.started = 0
        starts.checked_at = now
        return _Snapshot(
            now,
            capacity,
            self._demand.sum_up(service, now),
            own,
            positions,
            ranks,
            states,
            abandoned,
            is_quiet=starts.is_reporting
            and capacity.held < QUIET_SHARE * capacity.limit,
        )

    def _find_snapshot(self, service: str, now: float) -> _Snapshot:
        """Return what is known of a service; measure it again if that is due."""
        starts = self._open(service, now)
        snapshot = starts.snapshot
        if snapshot is None or not _is_current(starts, snapshot, now):
            snapshot = starts.snapshot = self._take_snapshot(service, starts, now)
        return snapshot

    def _view(self, service: str, now: float) -> _View:
        starts = self._open(service, now)
        snapshot = self._find_snapshot(service, now)
        own = snapshot.abandoned + _count_started(starts, snapshot.states, now)
        capacity, peers = snapshot.capacity, snapshot.peers
        if capacity.servers and not starts.is_reporting:
            needed = min(MIN_REPORTING, capacity.servers)
            starts.is_reporting = capacity.reporting >= needed
        is_starting = not starts.is_reporting and (
            capacity.reporting > 0 or now - starts.since < DEMAND_TTL_S
        )
        running = peers.estimate_running(own)
        if not starts.is_reporting:
            held = max(capacity.held, running)
        else:
            reported = capacity.held + own - snapshot.own
            held = self._discount(reported, running, capacity, now)
        return _View(
            capacity=capacity,
            peers=peers,
            own=own,
            waiting=starts.waiting,
            held=held,
            has_reports=starts.is_reporting,
            is_starting=is_starting,
            positions=snapshot.positions,
            ranks=snapshot.ranks,
        )


def _is_current(starts: _ServiceStarts, snapshot: _Snapshot, now: float) -> bool:
    """Return whether a service need not be measured again.

    While it is quiet, load reports of its servers and own starts end that early.
    """
    age_s = now - snapshot.at
    if 0 <= age_s < SNAPSHOT_S:
        return True
    if not snapshot.is_quiet or not 0 <= age_s < QUIET_SNAPSHOT_S:
        return False
    if 0 <= now - starts.checked_at < SNAPSHOT_S:
        return True
    starts.checked_at = now
    most = QUIET_SHARE * snapshot.capacity.limit
    if snapshot.capacity.held + starts.started >= most:
        return False
    return _sum_up_reports(snapshot.states, now) < most


def _sum_up_reports(states: Sequence[ServerState], now: float) -> float:
    """Return what servers hold if all hold as much as those with a recent report."""
    loads = [state.load.requests for state in states if state.load.has_report(now)]
    return sum(loads) * len(states) / len(loads) if loads else 0.0


def _count_started(
    starts: _ServiceStarts, states: Sequence[ServerState], now: float
) -> int:
    """Return this VM's requests in flight, with those that were just started."""
    recent = starts.recent
    while recent and now - recent[0] >= VISIBLE_AFTER_S:
        recent.popleft()
    return len(recent) + sum([state.in_flight for state in states])


def _note_ranks(starts: _ServiceStarts, waiting: Sequence[int], now: float) -> None:
    """Record the ranks of waiting requests as in use."""
    for rank, count in enumerate(waiting):
        if count:
            starts.used_at[rank] = now


def _rank_positions(starts: _ServiceStarts, now: float) -> tuple[list[int], int]:
    """Return for each rank the number of more urgent ones in use, and that of all."""
    found, used = [], 0
    for used_at in starts.used_at:
        found.append(used)
        used += now - used_at <= RANK_USE_S
    return found, used
