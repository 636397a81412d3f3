"""A crowded VM: most new connections go to one VM, then to another one.

Gateway processes before servers at half load. After some calm seconds nine in ten of
the new connections go to one VM, some seconds later to another, and callers come more
often. The share of the first tries that are served, by priority, is compared with that
of the calm seconds before.

    python -m features.crowd_soak --seeds 1-10
    python -m features.crowd_soak --seeds 1-10 --plain
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

from features.overload_soak import PRIORITIES, OverloadSoak
from features.soak_runs import build_parser, run_seeds

CALM_S, CROWDED_S = 4.0, 4.0
CROWD_SHARE = 0.9
MORE_SHARE = 0.3
"""Callers that come while a VM is crowded, as a share of the others."""

SETTLE_S = 1.0
"""Seconds after which the crowded VM must serve as before."""

MIN_SHARE = 0.97
MIN_COMPARED = 20


@dataclass
class CrowdSoak(OverloadSoak):
    """One run with one seed."""

    vms: int = 8
    seconds: float = CALM_S + 2 * CROWDED_S
    load: float = 0.5
    capacity: int = 24
    pace: float = 0.4
    reports: int = 3

    def _list_callers(self) -> list[tuple[float, Callable[[], Coroutine]]]:
        return [(self.per_s, self._ask), (MORE_SHARE * self.per_s, self._ask_more)]

    async def _ask_more(self) -> None:
        if self._find_crowded() is not None:
            await self._ask()

    def _find_crowded(self) -> str | None:
        """Return the VM that gets most new connections now, or None."""
        crowded_s = time.monotonic() - self.started_at - CALM_S
        if crowded_s < 0:
            return None
        names = sorted(self.running)
        return names[int(crowded_s // CROWDED_S) % len(names)]

    def _choose_vm(self, last: str) -> str:
        crowded = self._find_crowded()
        if crowded not in (None, last) and self.random.random() < CROWD_SHARE:
            return crowded
        return super()._choose_vm(last)

    def _check(self) -> list[str]:
        return super()._check() + [
            f"priority {priority}: calm {calm}, crowded {crowded}"
            for priority, (calm, crowded) in self.measure_shares().items()
            if min(calm[1], crowded[1]) >= MIN_COMPARED
            and crowded[0] / crowded[1] < MIN_SHARE * calm[0] / calm[1]
        ]

    def measure_shares(self) -> dict[int, tuple[tuple[int, int], tuple[int, int]]]:
        """Return by priority the first tries served and sent, calm and crowded."""
        return {
            priority: (
                self._count(priority, 0.0, CALM_S),
                self._count(priority, CALM_S + SETTLE_S, self.seconds),
            )
            for priority in PRIORITIES
        }

    def _count(self, priority: int, since_s: float, until_s: float) -> tuple[int, int]:
        found = [
            call.outcome == "served"
            for call in self.calls
            if call.priority == priority
            and call.is_first
            and since_s <= call.sent_at - self.started_at < until_s
        ]
        return sum(found), len(found)

    def show(self) -> str:
        """Return what callers got, calm and crowded."""
        return f"{super().show()}; calm and crowded {self.measure_shares()}"


def run_seed(seed: int, options: argparse.Namespace) -> list[str]:
    """Run one seed and print what it did."""
    contracts = "" if options.plain else "pressure"
    soak = CrowdSoak(seed, options.seconds, options.vms, contracts=contracts)
    broken = asyncio.run(soak.run())
    state = "BROKEN" if broken else "kept"
    print(f"seed {seed}: {state}; {soak.show()}")
    return broken


def main() -> int:
    """Run the seeds and return the exit code."""
    parser = build_parser(__doc__, seconds=CALM_S + 2 * CROWDED_S, vms=8)
    parser.add_argument("--plain", action="store_true", help="no overload control")
    return run_seeds(parser.parse_args(), run_seed)


if __name__ == "__main__":
    sys.exit(main())
