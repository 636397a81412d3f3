"""Signals of a process, with the time at which each may have arrived.

A process that was suspended, had no processor time or was in a long call handles a
signal late, and the kernel does not record when it was sent. While a process runs it
handles a signal at once, so the signal arrived after the last reading of the clock.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from dataclasses import dataclass

from ramppin.clock import ClockLoop


@dataclass(frozen=True, slots=True)
class SignalTime:
    """When a signal arrived, in event-loop time.

    Attributes:
        earliest: it arrived then or later.
        handled: it was handled then, and had arrived.
    """

    earliest: float
    handled: float

    @property
    def max_delay_s(self) -> float:
        """Longest time in seconds by which it may have been handled late."""
        return self.handled - self.earliest


def handle_signal(number: signal.Signals, handle: Callable[[SignalTime], None]) -> None:
    """Call a function in the running event loop for each signal of a number.

    Args:
        number: the signal.
        handle: called with the time of the signal.
    """
    loop = asyncio.get_running_loop()
    recorder = _SignalRecorder(loop, handle)
    loop.add_signal_handler(number, recorder.run)
    # Runs between two instructions of a callback; the loop calls its own handler only
    # once the callbacks of a turn have returned.
    signal.signal(number, recorder.record)


class _SignalRecorder:
    """Records the time of a signal until the event loop handles it."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, handle: Callable[[SignalTime], None]
    ) -> None:
        self._loop = loop
        self._handle = handle
        self._time: SignalTime | None = None

    def record(self, *_: object) -> None:
        """Record the time of the first signal that has not been handled."""
        if self._time is not None:
            return
        earliest = self._loop.last_read if isinstance(self._loop, ClockLoop) else None
        now = self._loop.time()
        self._time = SignalTime(now if earliest is None else earliest, now)

    def run(self) -> None:
        """Handle the recorded signal."""
        found, self._time = self._time, None
        if found is not None:
            self._handle(found)
