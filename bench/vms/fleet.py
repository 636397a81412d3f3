"""Runs a pattern of load through VMs that decide with the gateway's own code."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import msgspec

from bench.vms.engine import Engine
from bench.vms.pattern import Pattern, Prompt, draw_prompts
from bench.vms.result import Choice, Result, Tally
from ramppin.gateway.connection.datagrams import PeerHints
from ramppin.gateway.process.load.news import LoadNews
from ramppin.gateway.process.membership.members import FleetMembers, MemberRecord
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.routing.directory import (
    BackendServer,
    ServerDirectory,
    ServerState,
)
from ramppin.gateway.process.routing.hints import SHORTEST_PERIOD_S, HintExchange
from ramppin.gateway.process.routing.homes import PrefixHomes
from ramppin.gateway.process.routing.selection import (
    PrefixSelection,
    Selection,
    SelectionRequest,
)
from ramppin.gateway.process.routing.servernews import ServerNews

SERVICE = "model"
LATENCY_S = 0.001
"""One way between two VMs, or a VM and an engine."""

HEADER_BYTES = 28
"""Of a datagram: IPv4 and UDP."""

LIST_LAG_S = (0.2, 1.2)
"""Seconds after which a VM hears of an engine that comes or leaves: least and most."""

DRAIN_S = 4.0
"""Seconds for which an engine that leaves still serves."""

WARM_UP_S = 6.0
"""Seconds at the start that are not counted: no prefix has a home yet."""


class Link:
    """Carries one VM's datagrams, in place of a socket."""

    def __init__(self, fleet: Fleet, vm: str) -> None:
        self._fleet = fleet
        self._vm = vm

    def send(self, hints: PeerHints, hosts: list[str], port: int) -> None:
        """Deliver a message to VMs a moment later."""
        self._fleet.deliver(self._vm, hints, hosts)

    def close(self) -> None:
        """Nothing to close."""


class ModelVm:
    """One VM: the gateway's parts that choose a server."""

    def __init__(self, fleet: Fleet, number: int, build: StrategyBuilder) -> None:
        self.name = f"vm-{number}"
        self.domain = f"d{number % fleet.pattern.domains}"
        self.directory = ServerDirectory()
        self.homes = PrefixHomes(self.directory.is_open)
        self.strategy = build(self.homes)
        self.members = FleetMembers(self.name, self.domain)
        self.hints = HintExchange(
            self.name,
            Link(fleet, self.name),  # type: ignore[arg-type]
            1,
            self.members,
            self.homes,
            ServerNews(self.directory, self.domain),
            LoadNews(self.directory),
        )


StrategyBuilder = Callable[[PrefixHomes], PrefixSelection]


@dataclass(frozen=True, slots=True)
class Policy:
    """What the VMs of a run do.

    Attributes:
        name: for the table.
        build: builds a VM's strategy.
        tells_loads: whether VMs tell each other loads.
    """

    name: str
    build: StrategyBuilder = PrefixSelection
    tells_loads: bool = True


AS_IT_IS = Policy("as it is")
NOT_TOLD = Policy("loads not told", tells_loads=False)
LOOSE = Policy("bound 1.8 and 2", partial(PrefixSelection, bound=1.8, slack=2.0))
POLICIES = (AS_IT_IS, NOT_TOLD, LOOSE)


class Fleet:
    """All VMs and engines of one run.

    Args:
        pattern: the load.
        policy: what the VMs do.
    """

    def __init__(self, pattern: Pattern, policy: Policy = AS_IT_IS) -> None:
        self.pattern = pattern
        self._policy = policy
        self._random = random.Random(pattern.seed + 1)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._numbers = itertools.count()
        self._engines: dict[str, Engine] = {}
        self._read_by: set[int] = set()
        self._prompts: dict[int, Callable[[], None]] = {}
        self._tally = Tally()
        self._vms = [ModelVm(self, n, policy.build) for n in range(pattern.vms)]
        self._by_name = {vm.name: vm for vm in self._vms}
        self._sizes = msgspec.msgpack.Encoder()

    def run(self) -> Result:
        """Run the pattern to its end."""
        pattern = self.pattern
        slow = round(pattern.slow_share * pattern.engines)
        for number in range(pattern.engines):
            slowness = pattern.slow_factor if number < slow else 1.0
            self._add_engine(slowness, lag_s=0.0)
        self._introduce_vms()
        for vm in self._vms:
            self._after(self._random.random() * SHORTEST_PERIOD_S, self._tick(vm))
        for at in pattern.added_at:
            self._after(at, lambda: self._add_engine(1.0, lag_s=None))
        for at in pattern.replaced_at:
            self._after(at, self._replace_engine)
        for prompt in draw_prompts(pattern):
            self._run_until(prompt.at)
            self._place(prompt)
        return self._tally.sum_up(pattern, self._policy.name)

    def deliver(self, sender: str, hints: PeerHints, hosts: list[str]) -> None:
        """Deliver a message to VMs by name, a moment later."""
        if not self._policy.tells_loads and hints.loads:
            hints = msgspec.structs.replace(hints, loads=[])
        size = len(self._sizes.encode(hints)) + HEADER_BYTES
        domain = self._by_name[sender].domain
        for host in hosts:
            vm = self._by_name[host]
            if vm.domain == domain:
                self._tally.near_bytes += size
            else:
                self._tally.far_bytes += size
        chosen = [self._by_name[host] for host in hosts]
        self._after(LATENCY_S, lambda: self._take(chosen, hints, sender))

    def _take(self, vms: list[ModelVm], hints: PeerHints, sender: str) -> None:
        for vm in vms:
            vm.hints.take(hints, sender, self._now)

    # engines

    def _add_engine(self, slowness: float, lag_s: float | None) -> None:
        """Start an engine; each VM hears of it at its own moment."""
        number = len(self._engines)
        domain = f"d{number % self.pattern.domains}"
        engine_id = f"engine-{self.pattern.seed}-{number}"
        self._engines[engine_id] = Engine(
            engine_id, domain, self.pattern.slots, slowness
        )
        server = BackendServer(engine_id, SERVICE, "127.0.0.1", 1, domain)
        for vm in self._vms:
            lag = self._random.uniform(*LIST_LAG_S) if lag_s is None else lag_s
            self._after(lag, lambda vm=vm: vm.directory.put(server))  # type: ignore[misc]

    def _replace_engine(self) -> None:
        """Start a new engine, and let the oldest drain and leave."""
        oldest = next(iter(self._engines.values()))
        self._add_engine(1.0, lag_s=None)
        server = BackendServer(
            oldest.id, SERVICE, "127.0.0.1", 1, oldest.domain, draining=True
        )
        for vm in self._vms:
            lag = self._random.uniform(*LIST_LAG_S)
            self._after(lag, lambda vm=vm: vm.directory.put(server))  # type: ignore[misc]
        self._after(DRAIN_S, lambda: self._remove(oldest))

    def _remove(self, engine: Engine) -> None:
        self._engines.pop(engine.id, None)
        for vm in self._vms:
            vm.directory.mark_missing(engine.id)
            vm.directory.remove_missing(self._now)

    # requests

    def _place(self, prompt: Prompt) -> None:
        vm = self._vms[prompt.vm]
        states = vm.directory.list_open(SERVICE)
        request = SelectionRequest(prompt.key)
        selection = vm.strategy.choose(request, states, self._now)
        assert selection is not None
        engine = self._engines[selection.state.id]
        self._count(engine, selection)
        selection.state.in_flight += 1
        start = self._build_start(prompt, engine, selection)
        if engine.is_full:
            number = next(self._numbers)
            engine.waiting.append(number)
            self._prompts[number] = start
        else:
            engine.running += 1
            start()

    def _build_start(
        self, prompt: Prompt, engine: Engine, selection: Selection
    ) -> Callable[[], None]:
        state, came_at = selection.state, self._now

        def start() -> None:
            read_tokens = self._bring_prefix(prompt, engine, selection.copy_from)
            first_s = engine.measure_first_s(prompt, read_tokens)
            rest_s = engine.measure_rest_s(prompt)
            self._after(first_s, lambda: self._report(engine, state, came_at))
            self._after(first_s + rest_s, lambda: self._end(engine, state, came_at))

        return start

    def _bring_prefix(self, prompt: Prompt, engine: Engine, source: str | None) -> int:
        """Cache a prompt's prefix; return the tokens that must be read for it."""
        key, tokens = prompt.key, prompt.shared_tokens
        cached = engine.has_prefix(key)
        engine.cache(key, tokens)
        if cached:
            return 0
        origin = self._engines.get(source) if source else None
        if origin is not None and origin.has_prefix(key):
            self._tally.moved_tokens += tokens if self._now > WARM_UP_S else 0
            return 0
        if key in self._read_by and self._now > WARM_UP_S:
            self._tally.read_again_tokens += tokens
        self._read_by.add(key)
        return tokens

    def _report(self, engine: Engine, state: ServerState, came_at: float) -> None:
        if came_at > WARM_UP_S:
            self._tally.first_s.append(self._now - came_at)
        state.note_load(engine.running, len(engine.waiting), self._now)

    def _end(self, engine: Engine, state: ServerState, came_at: float) -> None:
        state.in_flight -= 1
        state.lifetime.note_ended(self._now - came_at)
        engine.running -= 1
        if engine.waiting:
            engine.running += 1
            self._prompts.pop(engine.waiting.popleft())()

    def _count(self, engine: Engine, selection: Selection) -> None:
        if self._now < WARM_UP_S:
            return
        loads = [other.load for other in self._engines.values()]
        mean = sum(loads) / len(loads)
        self._tally.choices.append(
            Choice(self._now, engine.load, mean, selection.rank == 0)
        )

    # the clock

    def _after(self, delay_s: float, call: Callable[[], object]) -> None:
        event = (self._now + delay_s, next(self._numbers), call)
        heapq.heappush(self._events, event)

    def _run_until(self, end: float) -> None:
        while self._events and self._events[0][0] <= end:
            self._now, _, call = heapq.heappop(self._events)
            call()
        self._now = end

    def _tick(self, vm: ModelVm) -> Callable[[], None]:
        def tick() -> None:
            vm.hints.send_due(self._now)
            self._after(SHORTEST_PERIOD_S, tick)

        return tick

    def _introduce_vms(self) -> None:
        """Let every VM know every other, as after the log was read."""
        for offset, vm in enumerate(self._vms):
            entry = msgspec.json.encode(MemberRecord(vm.name, vm.domain))
            for other in self._vms:
                other.members.take_record(Record(vm.name, entry, offset), 0.0)


def play(job: tuple[Pattern, Policy]) -> Result:
    """Play one pattern with one policy."""
    return Fleet(*job).run()
