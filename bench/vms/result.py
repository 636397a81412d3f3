"""What a run of many VMs gave: counts while it runs, and their sum."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

BYTES_PER_TOKEN = 131_072
"""Of prompt memory, as an 8-billion-parameter model keeps it."""

WINDOW_S = 5.0
"""Span in which the share of choices over the limit is looked at."""

LIMIT_RATIO, LIMIT_SLACK = 2.0, 3.0
"""An engine is over the limit when it holds more than the ratio times the mean of all
engines and the slack."""


@dataclass
class Result:
    """What one run gave.

    Attributes:
        pattern: its name.
        policy: the policy's name.
        vms: how many.
        seed: of the run.
        choices: counted.
        worst_share: share of choices over the limit in the worst window.
        busiest: load of the engine chosen over the mean, 99th percentile.
        mean_load: of engines, over the run.
        moved_gb: prompt memory moved between engines.
        read_again_k: thousand tokens of prefixes that some engine had read before.
        homes_kept: share of choices that went to the prefix's home.
        far_bytes_s: bytes a second between failure domains, of all VMs.
        vm_bytes_s: bytes a second that one VM sends, in the mean.
        first_p99_s: from arrival to first token.
    """

    pattern: str
    policy: str
    vms: int
    seed: int
    choices: int = 0
    worst_share: float = 0.0
    busiest: float = 0.0
    mean_load: float = 0.0
    moved_gb: float = 0.0
    read_again_k: float = 0.0
    homes_kept: float = 0.0
    far_bytes_s: float = 0.0
    vm_bytes_s: float = 0.0
    first_p99_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Choice:
    """One choice of an engine.

    Attributes:
        at: when, in seconds from the run's start.
        load: requests that the engine held.
        mean: of all engines then.
        is_home: whether it was the home of the prompt's prefix.
    """

    at: float
    load: int
    mean: float
    is_home: bool

    @property
    def is_over(self) -> bool:
        """Whether the engine was over the limit."""
        return self.load > LIMIT_RATIO * self.mean + LIMIT_SLACK


class RunPattern(Protocol):
    """What a run was of, as far as its result names it."""

    @property
    def name(self) -> str:
        """What it shows."""

    @property
    def vms(self) -> int:
        """How many VMs."""

    @property
    def seed(self) -> int:
        """Of everything random."""

    @property
    def seconds(self) -> float:
        """Its length."""


@dataclass
class Tally:
    """Counts of a run."""

    choices: list[Choice] = field(default_factory=list)
    first_s: list[float] = field(default_factory=list)
    moved_tokens: int = 0
    read_again_tokens: int = 0
    near_bytes: int = 0
    far_bytes: int = 0

    def sum_up(self, pattern: RunPattern, policy: str) -> Result:
        """Return the result of the run.

        Args:
            pattern: what was played.
            policy: its name.
        """
        choices = self.choices
        ratios = sorted(c.load / max(1.0, c.mean) for c in choices)
        firsts = sorted(self.first_s) or [0.0]
        sent = self.near_bytes + self.far_bytes
        return Result(
            pattern.name,
            policy,
            pattern.vms,
            pattern.seed,
            choices=len(choices),
            worst_share=find_worst_share(choices),
            busiest=ratios[int(0.99 * len(ratios))],
            mean_load=sum(c.mean for c in choices) / len(choices),
            moved_gb=self.moved_tokens * BYTES_PER_TOKEN / 1e9,
            read_again_k=self.read_again_tokens / 1000,
            homes_kept=sum(c.is_home for c in choices) / len(choices),
            far_bytes_s=self.far_bytes / pattern.seconds,
            vm_bytes_s=sent / pattern.seconds / pattern.vms,
            first_p99_s=firsts[int(0.99 * len(firsts))],
        )


def find_worst_share(choices: list[Choice]) -> float:
    """Return the share of choices over the limit in the worst window."""
    worst = 0.0
    for half in range(int(2 * choices[0].at), int(2 * choices[-1].at)):
        window = [c for c in choices if half / 2 <= c.at < half / 2 + WINDOW_S]
        if window:
            worst = max(worst, sum(c.is_over for c in window) / len(window))
    return worst
