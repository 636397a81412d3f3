"""Ways to place requests: our own baselines, and ramppin's own parts."""

from __future__ import annotations

import math
import random
from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Callable

from bench.model import Arrival, Scenario
from ramppin import (
    Allocator,
    Grant,
    Member,
    PlaceId,
    PlaceRequest,
    RendezvousRanking,
    Settings,
    SettingsTree,
)
from ramppin.router.connection.messages import Ask, Free, Granted, Message, Refused
from ramppin.router.connection.messages import encode_message as encode
from ramppin.router.request.placement import Decision

FRAME_BYTES = 6
"""A websocket frame's head from a client (2 bytes, and 4 of mask)."""

Schedule = Callable[[float, Callable[[float], None]], None]
Start = Callable[[Arrival, str, float], None]
Refuse = Callable[[Arrival, float], None]


class Policy(ABC):
    """Places requests on engines.

    Args:
        scenario: the run.
        start: starts a request on an engine at a time.
        refuse: gives a request up.
        schedule: calls back at a time.
        loads: returns the engines' true loads, for policies that know them.
    """

    def __init__(
        self,
        scenario: Scenario,
        *,
        start: Start,
        refuse: Refuse,
        schedule: Schedule,
        loads: Callable[[int], dict[str, int]],
    ) -> None:
        self.scenario = scenario
        self.start = start
        self.refuse = refuse
        self.schedule = schedule
        self.loads = loads
        self.views: dict[tuple[int, int], list[str]] = {}
        self.control_bytes: dict[str, int] = defaultdict(int)
        self.busiest_bytes: dict[int, int] = defaultdict(int)

    def set_view(self, router: int, pool: int, engines: list[str], now: float) -> None:
        """Tell a router which engines it thinks are there."""
        self.views[router, pool] = engines

    @abstractmethod
    def place(self, arrival: Arrival, now: float) -> None:
        """Place a request, now or later."""

    def end(self, arrival: Arrival, now: float) -> None:
        """Take in that a request ended, as its router sees it."""
        del arrival, now

    def count(self, router: int, message: Message) -> None:
        """Count a message that a router sends."""
        size = len(encode(message)) + FRAME_BYTES
        self.control_bytes[type(message).__name__] += size
        self.busiest_bytes[router] += size

    def _view(self, arrival: Arrival) -> list[str]:
        return self.views[arrival.router, arrival.pool]


class RandomPolicy(Policy):
    """Any engine."""

    def place(self, arrival: Arrival, now: float) -> None:
        """Place at once."""
        draw = random.Random(arrival.number)
        self.start(arrival, draw.choice(self._view(arrival)), now)


class HashPolicy(Policy):
    """The chat's first choice, whatever its load."""

    _ranking = RendezvousRanking()

    def place(self, arrival: Arrival, now: float) -> None:
        """Place at once."""
        ranked = self._ranking.rank(arrival.chat, self._view(arrival))
        self.start(arrival, ranked[0], now)


class _CountingPolicy(Policy):
    """Knows what each router itself has in flight."""

    def __init__(self, *args: Scenario, **options: Callable[..., object]) -> None:
        super().__init__(*args, **options)  # type: ignore[arg-type]
        self.own: dict[tuple[int, str], int] = defaultdict(int)

    def place(self, arrival: Arrival, now: float) -> None:
        """Place at once and count."""
        engine = self.choose(arrival)
        self.own[arrival.router, engine] += 1
        self.start(arrival, engine, now)

    def end(self, arrival: Arrival, now: float) -> None:
        """Count down."""
        self.own[arrival.router, arrival.engine] -= 1

    @abstractmethod
    def choose(self, arrival: Arrival) -> str:
        """Return the engine."""


class LeastPolicy(_CountingPolicy):
    """The engine with the least that this router has in flight."""

    def choose(self, arrival: Arrival) -> str:
        """Return the engine; ties go by the request's number."""
        view = self._view(arrival)
        turn = arrival.number % len(view)
        return min(
            view[turn:] + view[:turn], key=lambda name: self.own[arrival.router, name]
        )


class BoundedPolicy(_CountingPolicy):
    """Bounded hash by counts: the first in rank that is under the bound."""

    _ranking = RendezvousRanking()

    def choose(self, arrival: Arrival) -> str:
        """Return the engine."""
        view = self._view(arrival)
        loads = self.get_loads(arrival, view)
        mean = (sum(loads.values()) + 1) / len(view)
        cap = math.ceil(self.scenario.bound * mean)
        ranked = self._ranking.rank(arrival.chat, view)
        for name in ranked:
            if loads[name] + 1 <= cap:
                return name
        return ranked[0]

    def get_loads(self, arrival: Arrival, view: list[str]) -> dict[str, int]:
        """Return what the router has in flight itself."""
        return {name: self.own[arrival.router, name] for name in view}


class PerfectPolicy(BoundedPolicy):
    """Bounded hash with perfect knowledge of all loads: the ceiling."""

    def get_loads(self, arrival: Arrival, view: list[str]) -> dict[str, int]:
        """Return the true loads."""
        loads = self.loads(arrival.pool)
        return {name: loads[name] for name in view}


class RamppinPolicy(Policy):
    """Ramppin's allocator, one a pool, asked over links with latency."""

    def __init__(self, *args: Scenario, **options: Callable[..., object]) -> None:
        super().__init__(*args, **options)  # type: ignore[arg-type]
        self._allocators = [self._build() for _ in range(self.scenario.pools)]
        self._owner = [
            pool % self.scenario.routers for pool in range(self.scenario.pools)
        ]
        self._waiting: dict[PlaceId, Arrival] = {}
        self._wakes: dict[int, float] = {}

    def set_view(self, router: int, pool: int, engines: list[str], now: float) -> None:
        """Only the owner's view matters."""
        super().set_view(router, pool, engines, now)
        if router == self._owner[pool]:
            members = [Member(name) for name in engines]
            allocator = self._allocators[pool]
            self._send_all(pool, allocator.set_members(members, now), now)

    def place(self, arrival: Arrival, now: float) -> None:
        """Ask the owner."""
        ask = Ask(
            f"pool-{arrival.pool}",
            arrival.number,
            arrival.chat,
            "assistant",
            -1,
            f"customer-{arrival.customer}",
            arrival.returning,
            30_000,
        )
        delay = self._travel(arrival.router, arrival.pool, ask)
        self.schedule(now + delay, lambda at: self._ask(arrival, at))

    def end(self, arrival: Arrival, now: float) -> None:
        """Free the place at the owner."""
        free = Free(f"pool-{arrival.pool}", arrival.number)
        delay = self._travel(arrival.router, arrival.pool, free)
        place = self._get_place(arrival)
        allocator = self._allocators[arrival.pool]
        self.schedule(
            now + delay,
            lambda at: self._send_all(arrival.pool, allocator.release(place, at), at),
        )

    def _build(self) -> Allocator:
        scenario = self.scenario
        rules = {
            "bound": scenario.bound,
            "slots": scenario.slots,
            "spill": scenario.spill,
            "reserve": scenario.reserve,
            "max_waiting": 5000,
        }
        tree = SettingsTree.model_validate(
            {"pools": {"p": {"backend_servers": {}, "rules": rules}}, "services": {}}
        )
        return Allocator(Settings(0, tree).resolve_pool("p"))

    def _ask(self, arrival: Arrival, now: float) -> None:
        place = self._get_place(arrival)
        self._waiting[place] = arrival
        request = PlaceRequest(
            place,
            arrival.chat,
            f"customer-{arrival.customer}",
            wait_for_cached_s=self.scenario.wait_for_cached_s,
            max_wait_s=30.0,
            returning=arrival.returning,
        )
        decisions = self._allocators[arrival.pool].ask(request, now)
        self._send_all(arrival.pool, decisions, now)

    def _send_all(self, pool: int, decisions: list[Decision], now: float) -> None:
        for decision in decisions:
            self._send(pool, decision, now)
        wake = self._allocators[pool].next_wake()
        if wake is not None and wake < self._wakes.get(pool, math.inf):
            self._wakes[pool] = wake
            self.schedule(wake, lambda at: self._tick(pool, at))

    def _tick(self, pool: int, now: float) -> None:
        if self._wakes.get(pool) != now:
            return
        del self._wakes[pool]
        self._send_all(pool, self._allocators[pool].tick(now), now)

    def _send(self, pool: int, decision: Decision, now: float) -> None:
        arrival = self._waiting.pop(decision.place)
        if not isinstance(decision, Grant):
            refused = Refused(arrival.number, decision.reason.value, 1000)
            delay = self._travel(self._owner[pool], pool, refused, arrival.router)
            self.schedule(now + delay, lambda at: self.refuse(arrival, at))
            return
        granted = Granted(
            arrival.number,
            decision.backend_server,
            decision.reason.value,
            decision.load,
            decision.cap,
            decision.total,
            decision.members,
            int(decision.waited_s * 1000),
            12345,
        )
        delay = self._travel(self._owner[pool], pool, granted, arrival.router)
        engine = decision.backend_server
        self.schedule(now + delay, lambda at: self.start(arrival, engine, at))

    def _travel(
        self, sender: int, pool: int, message: Message, receiver: int | None = None
    ) -> float:
        if (self._owner[pool] if receiver is None else receiver) == sender:
            return 0.0
        self.count(sender, message)
        return self.scenario.latency_s

    def _get_place(self, arrival: Arrival) -> PlaceId:
        return PlaceId(f"vm-{arrival.router}", arrival.number)


POLICIES: dict[str, type[Policy]] = {
    "random": RandomPolicy,
    "least in-flight": LeastPolicy,
    "hash alone": HashPolicy,
    "bounded, own counts": BoundedPolicy,
    "bounded, perfect": PerfectPolicy,
    "ramppin": RamppinPolicy,
}
