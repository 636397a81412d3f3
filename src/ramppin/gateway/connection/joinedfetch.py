"""Calls to one peer that are joined by others while they are silent.

A peer that was silent when a call arrived may never answer it, but answer a later one.
Giving the call up early would be wrong, too: a peer that many call at once answers some
of them late, and calls that are given up and repeated delay the others. So a silent
call goes on, and another one joins it on a connection of its own; the first answer is
taken. At most two calls run at a time.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ramppin.errors import LogUnavailableError
from ramppin.gateway.connection.fetch import FetchedAnswer, Fetcher

JOIN_AFTER_S = 1.5
"""Seconds without a byte after which another call joins. Settings must be in force
within 2 s of the log's recovery."""

MAX_CALLS = 2


@dataclass(frozen=True, slots=True)
class _Call:
    """A call in flight, on the connection of its fetcher."""

    fetcher: Fetcher
    task: asyncio.Task[FetchedAnswer]


class JoinedFetch:
    """One GET call, and those that join it.

    Args:
        fetcher: makes the first call.
        target: target of the calls.
        timeout_s: seconds until all are given up.

    .. versionadded:: 0.6
    """

    def __init__(self, fetcher: Fetcher, target: str, timeout_s: float) -> None:
        self._fetcher = fetcher
        self._target = target
        self._loop = asyncio.get_running_loop()
        self._ends_at = self._loop.time() + timeout_s
        self._calls: list[_Call] = []
        self._started_at = self._loop.time()

    async def run(self) -> FetchedAnswer:
        """Return the first answer.

        Raises:
            LogUnavailableError: all calls failed, or none was answered in time.
        """
        self._start(self._fetcher)
        try:
            while True:
                await self._wait()
                answer = self._take_answer()
                if answer is not None:
                    return answer
                if self._measure_silence_s() >= JOIN_AFTER_S:
                    await self._join()
        finally:
            await self._stop(self._calls)

    def _start(self, fetcher: Fetcher) -> None:
        self._started_at = self._loop.time()
        time_left_s = max(0.0, self._ends_at - self._started_at)
        work = fetcher.get(self._target, timeout_s=time_left_s)
        self._calls.append(_Call(fetcher, self._loop.create_task(work)))

    async def _wait(self) -> None:
        """Wait until a call ends, or all may have been silent for long."""
        wait_s = max(0.0, JOIN_AFTER_S - self._measure_silence_s())
        tasks = [call.task for call in self._calls]
        await asyncio.wait(tasks, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)

    def _measure_silence_s(self) -> float:
        """Return the seconds since the last call started, or one got a byte.

        A call that joined and was reset is so followed by another only later.
        """
        active_at = max(call.fetcher.active_at for call in self._calls)
        return self._loop.time() - max(active_at, self._started_at)

    def _take_answer(self) -> FetchedAnswer | None:
        """Return the answer of a call that has ended with one; drop failed calls.

        Raises:
            LogUnavailableError: the last call failed.
        """
        for call in [call for call in self._calls if call.task.done()]:
            self._calls.remove(call)
            error = call.task.exception()
            if error is None:
                self._close(call)
                return call.task.result()
            if not isinstance(error, LogUnavailableError) or not self._calls:
                raise error
        return None

    async def _join(self) -> None:
        """Start another call, in place of the newest one if there are too many."""
        if len(self._calls) == MAX_CALLS:
            await self._stop([self._calls.pop()])
        self._start(self._fetcher.build_another())

    async def _stop(self, calls: list[_Call]) -> None:
        """Cancel calls, and wait until their fetchers may be used again."""
        for call in calls:
            call.task.cancel()
        await asyncio.gather(*(call.task for call in calls), return_exceptions=True)

    def _close(self, call: _Call) -> None:
        """Close the connection of a call that joined; the first one is kept."""
        if call.fetcher is not self._fetcher:
            call.fetcher.close()
