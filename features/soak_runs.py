"""What the soaks with many processes share: callers that come at random, and seeds."""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import sys
import time
from collections.abc import Callable, Coroutine
from typing import Any


class Callers:
    """Callers that come whether those before them were served or not.

    Args:
        generator: draws when they come.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._calls: set[asyncio.Task] = set()

    async def come_until(
        self, until: float, per_s: float, ask: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Let callers come at random moments.

        Args:
            until: reading of the harness's clock at which the last one comes.
            per_s: callers a second, in the mean.
            ask: what each of them does.
        """
        due = time.monotonic()
        while due < until:
            due += self._random.expovariate(per_s)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.launch(ask())

    def launch(self, call: Coroutine[Any, Any, None]) -> None:
        """Start a call that nobody waits for now."""
        task = asyncio.ensure_future(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def wait(self) -> None:
        """Wait until all calls have ended."""
        await asyncio.gather(*self._calls)

    async def cancel(self) -> None:
        """End all calls."""
        for task in self._calls:
            task.cancel()
        await asyncio.gather(*self._calls, return_exceptions=True)


def list_hosts(vms: int, seed: int) -> dict[str, str]:
    """Return addresses of VMs by name; runs at one time do not share any."""
    block = f"127.{1 + os.getpid() % 250}.{seed % 250}"
    return {f"vm-{n}": f"{block}.{n}" for n in range(1, vms + 1)}


def build_parser(
    doc: str | None, *, seconds: float, vms: int
) -> argparse.ArgumentParser:
    """Return a parser with the options that soaks share."""
    parser = argparse.ArgumentParser(description=doc)
    parser.add_argument("--seconds", type=float, default=seconds, help="for each seed")
    parser.add_argument("--seeds", default="1-10", help="FIRST-LAST")
    parser.add_argument("--vms", type=int, default=vms, help="gateway processes")
    return parser


def run_seeds(
    options: argparse.Namespace,
    run_seed: Callable[[int, argparse.Namespace], list[str]],
) -> int:
    """Run the seeds that were asked for, and return the exit code."""
    first, _, last = options.seeds.partition("-")
    failed = []
    seeds = range(int(first), int(last or first) + 1)
    for seed in seeds:
        broken = run_seed(seed, options)
        for line in broken:
            print(f"    broken: {line}")
        sys.stdout.flush()
        if broken:
            failed.append(seed)
    print(f"{len(seeds)} seeds, {len(failed)} broken: {failed}")
    return 1 if failed else 0
