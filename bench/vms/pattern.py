"""Patterns of load: how many VMs and engines, which prompts, what changes when."""

from __future__ import annotations

import bisect
import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace

from bench.vms.clock import Stall

TOKENS_PER_EVENT = 11
"""Tokens of one event of an answer, as the users' engines send them."""

STEP_S = 0.0022
"""Time between two tokens of an answer."""

TOKENS_PER_S = 140_000.0
"""Prompt tokens that an engine reads in a second."""


@dataclass(frozen=True, slots=True)
class PromptKind:
    """One kind of prompt.

    Attributes:
        per_s: requests a second, fleet-wide.
        subjects: prefixes that its prompts share.
        shared_tokens: tokens of a prefix.
        own_tokens: tokens of a prompt behind its prefix, in the mean.
        events: events of an answer, in the mean.
    """

    per_s: float
    subjects: int
    shared_tokens: int
    own_tokens: int
    events: float


KINDS = (
    PromptKind(54.5, 370, 10_000, 1_300, 34.7),
    PromptKind(98.0, 445, 580, 130, 26.5),
    PromptKind(156.0, 471, 1_700, 360, 2.05),
)
"""Long, middle and short prompts in the shares of a scheduling assistant's callers."""

SKEW = 0.3
"""Exponent by which a kind's subjects differ in how often they are asked for."""


@dataclass(frozen=True, slots=True)
class Span:
    """A span of time in which callers ask differently.

    Attributes:
        start_s: its start.
        end_s: its end.
        factor: multiple of the usual number of requests.
        hot_share: share of a kind's requests that are about one subject.
    """

    start_s: float
    end_s: float
    factor: float = 1.0
    hot_share: float = 0.0

    def holds(self, now: float) -> bool:
        """Return whether a moment lies in the span."""
        return self.start_s <= now < self.end_s


@dataclass(frozen=True, slots=True)
class Pattern:
    """One pattern of load.

    Attributes:
        name: what it shows.
        vms: VMs that requests come in at.
        domains: failure domains over which VMs and engines are spread.
        engines: model engines.
        slots: requests that an engine runs at once.
        rate: multiple of the usual number of requests.
        spans: spans in which callers ask differently.
        replaced_at: seconds at which an engine is replaced by a new one.
        added_at: seconds at which an empty engine is added.
        frozen: spans in which VMs freeze.
        slow_share: share of the engines that are slow.
        slow_factor: how many times as long these take.
        seconds: length of the run.
        seed: of everything random.
    """

    name: str
    vms: int = 195
    domains: int = 6
    engines: int = 37
    slots: int = 16
    rate: float = 1.0
    spans: tuple[Span, ...] = ()
    replaced_at: tuple[float, ...] = ()
    added_at: tuple[float, ...] = ()
    frozen: tuple[Stall, ...] = ()
    slow_share: float = 0.0
    slow_factor: float = 1.0
    seconds: float = 24.0
    seed: int = 1


@dataclass(frozen=True, slots=True)
class Prompt:
    """One request.

    Attributes:
        at: when it comes.
        vm: number of the VM that it comes in at.
        key: of its prefix.
        shared_tokens: tokens of its prefix.
        own_tokens: tokens behind it.
        tokens_out: tokens of its answer.
    """

    at: float
    vm: int
    key: int
    shared_tokens: int
    own_tokens: int
    tokens_out: int


def list_patterns(seed: int) -> list[Pattern]:
    """Return the patterns that the table shows, each with one seed."""
    replaced = tuple(12.0 + 1.5 * n for n in range(8))
    added = tuple(8.0 + 0.5 * n for n in range(7))
    hot = (Span(8.0, 14.0, hot_share=0.18),)
    stalls = tuple(Stall(8.0 + 1.5 * n, 0.5) for n in range(8))
    burst = (Span(8.0, 13.0, factor=1.7),)
    patterns = [
        Pattern("calm"),
        Pattern("hot subject", spans=hot),
        Pattern("stalls", frozen=stalls),
        Pattern("hot subject and stalls", spans=hot, frozen=stalls),
        Pattern("replacement", replaced_at=replaced, added_at=added),
        Pattern("hot subject and replacement", spans=hot, replaced_at=replaced),
        Pattern("burst", rate=1.6, spans=burst),
        Pattern("slow engines", rate=1.6, slow_share=0.2, slow_factor=3.7),
    ]
    return [replace(pattern, seed=seed) for pattern in patterns]


def draw_prompts(pattern: Pattern) -> Iterator[Prompt]:
    """Draw the requests of a run, in the order in which they come."""
    generator = random.Random(pattern.seed)
    total = sum(kind.per_s for kind in KINDS) * pattern.rate
    chances = [_accumulate(kind.subjects) for kind in KINDS]
    now = 0.0
    while now < pattern.seconds:
        spans = [span for span in pattern.spans if span.holds(now)]
        factor = max((span.factor for span in spans), default=1.0)
        hot_share = max((span.hot_share for span in spans), default=0.0)
        now += generator.expovariate(total * factor)
        number = generator.choices(range(len(KINDS)), [k.per_s for k in KINDS])[0]
        kind = KINDS[number]
        subject = bisect.bisect(chances[number], generator.random())
        if generator.random() < hot_share:
            subject = 0
        yield Prompt(
            now,
            generator.randrange(pattern.vms),
            hash((pattern.seed, number, subject)) & 0xFFFFFFFFFFFF,
            kind.shared_tokens,
            int(generator.expovariate(1 / kind.own_tokens)),
            TOKENS_PER_EVENT * max(1, round(generator.expovariate(1 / kind.events))),
        )


def _accumulate(subjects: int) -> list[float]:
    """Return the summed chances of subjects, the most popular first."""
    weights = [1 / (rank + 1) ** SKEW for rank in range(subjects)]
    total = sum(weights)
    return list(itertools.accumulate(weight / total for weight in weights))[:-1]
