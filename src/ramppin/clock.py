"""One clock for a process, which goes on while its VM is suspended.

The steady clock stands still while a VM is suspended. By it a lease that ran out
meanwhile still holds, a deadline that passed has not come, and a report of before looks
new. So the event loop and every part that takes a clock read the clock since boot,
which counts that time, where the system has one.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

Clock = Callable[[], float]
"""Returns seconds from an arbitrary moment; never goes back."""


def read_clock() -> float:
    """Return seconds since the VM's boot, suspensions included."""
    return time.clock_gettime(_CLOCK_ID)


_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class ClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers count the time of a suspension.

    While it waits the system still counts only steady time, so timers that came due
    during a suspension fire at the loop's next turn: in a gateway within 0.08 s, the
    period of its hints.

    Args:
        clock: read as the loop's time.

    Attributes:
        last_read: the last reading, at which the process was running.

    .. versionadded:: 0.2
    """

    def __init__(self, clock: Clock = read_clock) -> None:
        super().__init__()
        self._read = clock
        self.last_read = clock()

    def time(self) -> float:
        """Return the clock's reading, in seconds."""
        self.last_read = self._read()
        return self.last_read


def run(work: Coroutine[Any, Any, T]) -> T:
    """Run a program's main coroutine on a loop of its own, and return its result."""
    with asyncio.Runner(loop_factory=ClockLoop) as runner:
        return runner.run(work)
