"""Runs a pattern of load through VMs that decide with the gateway's own code."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

import msgspec

from bench.vms.clock import VmClock
from bench.vms.engine import Engine
from bench.vms.pattern import Pattern, Prompt, draw_prompts
from bench.vms.result import Choice, Result
from ramppin.gateway.connection.datagrams import PeerHints
from ramppin.gateway.process.routing.homes import PrefixHomes
from ramppin.gateway.process.routing.prefixselection import PrefixSelection
from ramppin.gateway.process.routing.selection import Selection, SelectionRequest
from ramppin.gateway.process.routing.serverstate import BackendServer, ServerState

SERVICE = "model"
LIST_LAG_S = (0.2, 1.2)
"""Seconds after which a VM hears of an engine that comes or leaves: least and most."""

DRAIN_S = 4.0
"""Seconds for which an engine that leaves still serves."""

WARM_UP_S = 6.0
"""Seconds at the start that are not counted: no prefix has a home yet."""


class StrategyBuilder(Protocol):
    """Builds a VM's strategy."""

    def __call__(
        self, homes: PrefixHomes, *, generator: random.Random
    ) -> PrefixSelection:
        """Return a strategy that places prompts by the VM's homes."""


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


def leave_loads_out(hints: PeerHints) -> PeerHints:
    """Return a message without the loads that it tells."""
    return msgspec.structs.replace(hints, loads=[]) if hints.loads else hints


class Fleet(VmClock):
    """All VMs and engines of one run.

    Args:
        pattern: the load.
        policy: what the VMs do.
    """

    def __init__(self, pattern: Pattern, policy: Policy = AS_IT_IS) -> None:
        change = {} if policy.tells_loads else {"change_hints": leave_loads_out}
        super().__init__(pattern.vms, pattern.domains, **change)
        self.pattern = pattern
        self._policy = policy
        self._random = random.Random(pattern.seed + 1)
        self._engines: dict[str, Engine] = {}
        self._read_by: set[int] = set()
        self._prompt_numbers = itertools.count()
        self._prompts: dict[int, Callable[[], None]] = {}
        chooser = random.Random(pattern.seed + 2)
        self._strategies = [
            policy.build(vm.homes, generator=chooser) for vm in self.vms
        ]

    def run(self) -> Result:
        """Run the pattern to its end."""
        pattern = self.pattern
        slow = round(pattern.slow_share * pattern.engines)
        for number in range(pattern.engines):
            slowness = pattern.slow_factor if number < slow else 1.0
            self._add_engine(slowness, lag_s=0.0)
        self.introduce_vms()
        self.start_turns(self._random.random)
        self.plan_freezes(pattern.frozen)
        for at in pattern.added_at:
            self.after(at, self._add_engine, 1.0, None)
        for at in pattern.replaced_at:
            self.after(at, self._replace_engine)
        for prompt in draw_prompts(pattern):
            self.run_until(prompt.at)
            self.call_at_vm(self.vms[prompt.vm], self._place, prompt)
        return self.tally.sum_up(pattern, self._policy.name)

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
        for vm in self.vms:
            lag = self._random.uniform(*LIST_LAG_S) if lag_s is None else lag_s
            self.after(lag, vm.directory.put, server)

    def _replace_engine(self) -> None:
        """Start a new engine, and let the oldest drain and leave."""
        oldest = next(iter(self._engines.values()))
        self._add_engine(1.0, lag_s=None)
        server = BackendServer(
            oldest.id, SERVICE, "127.0.0.1", 1, oldest.domain, draining=True
        )
        for vm in self.vms:
            lag = self._random.uniform(*LIST_LAG_S)
            self.after(lag, vm.directory.put, server)
        self.after(DRAIN_S, self._remove, oldest)

    def _remove(self, engine: Engine) -> None:
        self._engines.pop(engine.id, None)
        for vm in self.vms:
            vm.directory.mark_missing(engine.id)
            vm.directory.remove_missing(self.now)

    # requests

    def _place(self, prompt: Prompt) -> None:
        vm = self.vms[prompt.vm]
        states = vm.directory.list_open(SERVICE)
        request = SelectionRequest(prompt.key)
        strategy = self._strategies[prompt.vm]
        selection = strategy.choose(request, states, self.now)
        assert selection is not None
        engine = self._engines[selection.state.id]
        self._count(engine, selection)
        selection.state.in_flight += 1
        start = self._build_start(prompt, engine, selection)
        if engine.is_full:
            number = next(self._prompt_numbers)
            engine.waiting.append(number)
            self._prompts[number] = start
        else:
            engine.running += 1
            start()

    def _build_start(
        self, prompt: Prompt, engine: Engine, selection: Selection
    ) -> Callable[[], None]:
        state, came_at = selection.state, self.now

        def start() -> None:
            read_tokens = self._bring_prefix(prompt, engine, selection.copy_from)
            first_s = engine.measure_first_s(prompt, read_tokens)
            rest_s = engine.measure_rest_s(prompt)
            self.after(first_s, self._report, engine, state, came_at)
            self.after(first_s + rest_s, self._end, engine, state, came_at)

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
            self.tally.moved_tokens += tokens if self.now > WARM_UP_S else 0
            return 0
        if key in self._read_by and self.now > WARM_UP_S:
            self.tally.read_again_tokens += tokens
        self._read_by.add(key)
        return tokens

    def _report(self, engine: Engine, state: ServerState, came_at: float) -> None:
        if came_at > WARM_UP_S:
            self.tally.first_s.append(self.now - came_at)
        state.note_load(engine.running, len(engine.waiting), self.now)

    def _end(self, engine: Engine, state: ServerState, came_at: float) -> None:
        state.in_flight -= 1
        state.times.stay.note(self.now - came_at)
        engine.running -= 1
        if engine.waiting:
            engine.running += 1
            self._prompts.pop(engine.waiting.popleft())()

    def _count(self, engine: Engine, selection: Selection) -> None:
        if self.now < WARM_UP_S:
            return
        loads = [other.load for other in self._engines.values()]
        mean = sum(loads) / len(loads)
        self.tally.choices.append(
            Choice(self.now, engine.load, mean, selection.rank == 0)
        )


def play(job: tuple[Pattern, Policy]) -> Result:
    """Play one pattern with one policy."""
    return Fleet(*job).run()
