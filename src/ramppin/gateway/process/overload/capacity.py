"""What the servers of a service can hold, and what they hold now.

Load pattern: demand exceeds the slots of a service. A server's own queue would then
decide which requests wait, and reject the next one of any urgency. The limit of a
server follows from its slots and its cache memory; what it holds is its load estimate
(:mod:`ramppin.gateway.process.load.view`). No I/O.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from ramppin.gateway.process.load.estimate import NEVER
from ramppin.gateway.process.load.times import MovingMean
from ramppin.gateway.process.load.view import measure_loads
from ramppin.gateway.process.overload.brittleness import BrittleServices
from ramppin.gateway.process.overload.learnedlimit import (
    INITIAL_PER_SERVER,
    LearnedLimit,
)
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.serverstate import ServerState
from ramppin.gateway.version.routing import ServiceSpec

LOG = logging.getLogger(__name__)

MAX_SLOTS = 100_000
"""Maximum slots of a server; a higher number is an error."""

MAX_TOKENS = 10_000_000
"""Maximum tokens of a request; a higher number is an error."""

QUEUE_MARGIN_SHARE = 0.25
"""Requests that a server may hold beyond its slots, as a share of these. Slots that
become free between two reports must not stay idle, and a model server orders its own
queue by priority."""

MIN_QUEUE_MARGIN = 1.0
"""Minimum of the queue margin in requests."""

PRIORITY_ROOM_SHARE = 0.75
"""Requests that a server which orders its queue by priority may hold beyond its limit,
as a share of its slots, for the most urgent rank in use; none for the least urgent one.
Such a server runs urgent requests before those that it holds already, so that waiting
at the VM would only delay them. Less urgent ranks wait at the VM before the server's
queue is full of them."""

RANK_RESERVE_SHARE = 0.08
"""Share of a server's slots that each rank leaves free for more urgent ones: urgent
requests that arrive within one report delay then find capacity."""

MIN_RANK_RESERVE = 0.5
"""Minimum of that reserve in requests per server."""

REPORT_DELAY_S = 0.25
"""Seconds until a VM has the load that results from a start: the longest period of the
messages with loads within a failure domain."""

TOKENS_WEIGHT = 0.05
"""Weight of the newest request in the mean tokens of a service's requests. Kinds of
requests differ by a factor of ten, so that a mean needs some twenty of them."""

WARNING_PERIOD_S = 1.0
"""Minimum seconds between two log lines about the same kind of bad input."""


class CapacitySource(StrEnum):
    """Where the limit of a service and what it holds come from."""

    REPORTS = "reports"
    """Slots are stated, and load reports state what the servers hold."""

    REQUESTS = "requests"
    """Slots are stated, and VMs broadcast their requests in flight."""

    LEARNED = "learned"
    """Servers state no slots, and the limit is learned from answers."""

    SETTING = "setting"
    """The settings state a limit for the service."""


@dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """Capacity of a service at one moment, in requests.

    Attributes:
        slots: requests that the servers run at once.
        limit: requests that they may hold.
        held: requests that they hold, by load reports and this VM's own requests.
        rank_reserve: requests that each rank leaves free for more urgent ones.
        server_limit: requests that one server of them may hold while it is healthy and
            warm; infinite if there is none.
        priority_room: requests that they may hold beyond the limit for urgent ranks; 0
            unless they order their queues by priority.
        max_reserve: maximum of that reserve; the least urgent rank may fill the slots.
        stay_s: mean time of a request at a server in seconds.
        servers: number of servers without a lasting closure.
        reporting: number of these that have reported their load.
        source: where the limit comes from.
        reported_at: event-loop time of the newest load report.
    """

    slots: float = 0.0
    limit: float = 0.0
    held: float = 0.0
    rank_reserve: float = 0.0
    server_limit: float = math.inf
    priority_room: float = 0.0
    max_reserve: float = 0.0
    stay_s: float = 1.0
    servers: int = 0
    reporting: int = 0
    source: CapacitySource = CapacitySource.REQUESTS
    reported_at: float = NEVER

    @property
    def throughput_per_s(self) -> float:
        """Requests per second that the servers complete at the limit."""
        return self.limit / self.stay_s

    def compute_reserve(self, position: int, ranks: int = 1) -> float:
        """Return the requests that a rank leaves free for more urgent ones.

        Negative for ranks that may exceed the limit.

        Args:
            position: number of more urgent ranks in use.
            ranks: number of ranks in use.
        """
        if self.priority_room and ranks > 1:
            return -self.priority_room * max(0.0, 1 - position / (ranks - 1))
        return min(self.max_reserve, position * self.rank_reserve)


@dataclass(frozen=True, slots=True)
class _ServerCapacity:
    """Slots and limit of one server in requests."""

    slots: float
    limit: float


class CapacityEstimator:
    """Estimates what services can hold and what they hold.

    Args:
        directory: the backend servers.
        find_service: returns the settings of a service, or None.
        brittle: services with brittle servers; None for none.

    .. versionadded:: 0.3
    """

    def __init__(
        self,
        directory: ServerDirectory,
        find_service: Callable[[str], ServiceSpec | None],
        brittle: BrittleServices | None = None,
    ) -> None:
        self._brittle = brittle or BrittleServices()
        self._directory = directory
        self._find_service = find_service
        self._reported_slots: dict[str, int] = {}
        self._mean_tokens: dict[str, float] = {}
        self._stays: dict[str, MovingMean] = {}
        self._learned: dict[str, LearnedLimit] = {}
        self._warned_at: dict[str, float] = {}

    def note_slots(self, server_id: str, slots: int, now: float) -> None:
        """Record the slots in a server's load report.

        Args:
            server_id: id of the server's incarnation.
            slots: the number of its slots.
            now: event-loop time.
        """
        if self._reported_slots.get(server_id) == slots:
            return
        if not self._check("slots in a load report", slots, MAX_SLOTS, now):
            return
        if len(self._reported_slots) > 2 * len(self._directory):
            self._reported_slots = {
                known: count
                for known, count in self._reported_slots.items()
                if self._directory.find(known) is not None
            }
        if self._directory.find(server_id) is not None:
            self._reported_slots[server_id] = slots

    def find_reported_slots(self, server_id: str) -> int | None:
        """Return the slots in a server's last load report; None if unknown."""
        return self._reported_slots.get(server_id)

    def note_tokens(self, service: str, tokens: int, now: float) -> None:
        """Record the tokens that a request needs in a server's cache memory.

        Args:
            service: the service's name.
            tokens: uncached prompt tokens and expected output tokens.
            now: event-loop time.
        """
        if self._check("tokens of a request", tokens, MAX_TOKENS, now):
            mean = self._mean_tokens.setdefault(service, float(tokens))
            self._mean_tokens[service] = mean + TOKENS_WEIGHT * (tokens - mean)

    def note_answered(self, service: str, took_s: float) -> None:
        """Record the seconds that a request stayed at a server.

        The mean begins with the first request, unlike that of the load rules, which
        begins with a second: where requests take a tenth of that, a VM with one request
        a second would underestimate the throughput for a long time.
        """
        stay = self._stays.setdefault(service, MovingMean(took_s, initial_weight=1))
        stay.note(took_s)

    def find_learned(self, service: str, now: float) -> LearnedLimit | None:
        """Return the learned limit of a service.

        None if its slots are stated, or if it has no open servers: the limit would
        begin at its minimum and stay there when the servers return.
        """
        spec = self._find_service(service) or ServiceSpec(service)
        if spec.limit or 0 < spec.slots <= MAX_SLOTS:
            return None
        directory = self._directory
        for state in directory.list_service(service):
            # One open server that states its slots suffices for the whole service.
            is_stated = 0 < state.server.slots <= MAX_SLOTS
            is_stated = is_stated or state.id in self._reported_slots
            if is_stated and directory.accepts_new_requests(state):
                return None
        states = directory.list_open(service)
        if not states or any(self._list_slots(states, spec, now)):
            return None
        return self._open_learned(service, len(states))

    def measure(self, service: str, now: float) -> ServiceCapacity:
        """Return the capacity of a service.

        A server that is ejected or unresponsive, or is brittle and rejects requests,
        counts with what it holds, and has no free capacity. The free capacity of a cold
        server is what it accepts within a report's delay.

        Args:
            service: the service's name.
            now: event-loop time.
        """
        states = self._directory.list_open(service)
        if not states:
            return ServiceCapacity()
        spec = self._find_service(service) or ServiceSpec(service)
        slots = self._list_slots(states, spec, now)
        loads = measure_loads(states, now).loads
        margin_share = self._brittle.find_margin_share(service, now)
        servers = [
            self._measure_server(state, server_slots, len(states), spec, margin_share)
            for state, server_slots in zip(states, slots, strict=True)
        ]
        limits = [
            loads[state.id]
            if self._brittle.find_closed_until(state, now) is not None
            else _limit_now(state, server.limit, loads[state.id], spec.cold_per_s, now)
            for state, server in zip(states, servers, strict=True)
        ]
        stay = self._stays.get(service, states[0].times.stay)
        reported = [s.load.reported_at for s in states if s.load.reported_at > NEVER]
        return ServiceCapacity(
            slots=sum(server.slots for server in servers),
            limit=sum(limits),
            held=sum(loads.values()),
            server_limit=max(server.limit for server in servers),
            rank_reserve=sum(
                max(MIN_RANK_RESERVE, RANK_RESERVE_SHARE * server.slots)
                for server in servers
            ),
            priority_room=sum(PRIORITY_ROOM_SHARE * server.slots for server in servers)
            if spec.cache_tokens
            else 0.0,
            max_reserve=sum(_compute_margin(server.slots) for server in servers),
            stay_s=stay.mean_s,
            servers=len(states),
            reporting=len(reported),
            source=_find_source(spec, slots, reported),
            reported_at=max(reported, default=NEVER),
        )

    def _measure_server(
        self,
        state: ServerState,
        slots: int,
        servers: int,
        spec: ServiceSpec,
        margin_share: float,
    ) -> _ServerCapacity:
        """Return slots and limit of one server.

        The setting and the learned limit apply to the service; each of its servers
        counts with an equal part.
        """
        if spec.limit:
            limit = spec.limit / servers
            return _ServerCapacity(min(slots or limit, limit), limit)
        if not slots:
            limit = self._open_learned(state.server.service, servers).limit / servers
            return _ServerCapacity(limit, limit)
        running = float(slots)
        tokens = self._mean_tokens.get(state.server.service)
        if tokens and spec.cache_tokens > 0:
            running = max(1.0, min(running, spec.cache_tokens / tokens))
        margin = margin_share * _compute_margin(running)
        return _ServerCapacity(running, running + margin)

    def _list_slots(
        self, states: Sequence[ServerState], spec: ServiceSpec, now: float
    ) -> list[int]:
        """Return the slots of servers; 0 where none are stated.

        The server's entry takes precedence, then the service's setting, then the load
        report. Servers that state none are taken to be like the others of the service.
        """
        default = spec.slots
        if not self._check("slots of a service", default, MAX_SLOTS, now):
            default = 0
        stated = [
            state.server.slots
            if self._check(
                "slots in a server's entry", state.server.slots, MAX_SLOTS, now
            )
            else default or self._reported_slots.get(state.id, 0)
            for state in states
        ]
        known = [slots for slots in stated if slots]
        usual = round(sum(known) / len(known)) if known else 0
        return [slots or usual for slots in stated]

    def _open_learned(self, service: str, servers: int) -> LearnedLimit:
        learned = self._learned.get(service)
        if learned is None:
            learned = LearnedLimit(INITIAL_PER_SERVER * servers)
            self._learned[service] = learned
        return learned

    def _check(self, name: str, value: int, maximum: int, now: float) -> bool:
        """Return whether a number is usable, and log one that is out of range."""
        if 0 <= value <= maximum:
            return value > 0
        if now - self._warned_at.get(name, NEVER) >= WARNING_PERIOD_S:
            self._warned_at[name] = now
            LOG.warning(
                "%s: %d is not from 0 to %d and is ignored", name, value, maximum
            )
        return False


def _compute_margin(slots: float) -> float:
    """Return the requests that a server may hold beyond its slots."""
    return max(MIN_QUEUE_MARGIN, QUEUE_MARGIN_SHARE * slots)


def _limit_now(
    state: ServerState, limit: float, load: float, cold_per_s: float, now: float
) -> float:
    """Return how many requests a server may hold in its present state.

    Args:
        state: the server.
        limit: requests that it may hold while it is healthy and warm.
        load: requests that it holds.
        cold_per_s: requests per second that it accepts while it is cold; 0 if it
            accepts as many as otherwise.
        now: event-loop time.
    """
    if state.health.is_suspect(now):
        return load
    if cold_per_s and state.coldness.is_cold(now):
        return min(limit, load + cold_per_s * REPORT_DELAY_S)
    return limit


def _find_source(
    spec: ServiceSpec, slots: Sequence[int], reported: Sequence[float]
) -> CapacitySource:
    if spec.limit:
        return CapacitySource.SETTING
    if not any(slots):
        return CapacitySource.LEARNED
    return CapacitySource.REPORTS if reported else CapacitySource.REQUESTS
