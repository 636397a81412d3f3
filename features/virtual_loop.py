"""An event loop whose clock jumps to the next timer, and processes that share it.

What a process does runs in a context of its own. A process that is suspended runs
nothing; what became due meanwhile runs when it is resumed. One that is killed runs
nothing any more, not even its clean-up.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

EPOCH_S = 1000.0
"""The clock's time at its start."""

CURRENT: contextvars.ContextVar[VirtualProcess | None] = contextvars.ContextVar(
    "process", default=None
)


class VirtualProcess:
    """What runs, stops and is killed as one.

    Attributes:
        is_killed: whether it runs nothing any more.
        is_suspended: whether it runs nothing for now.
        context: in which its callbacks run.
    """

    def __init__(self) -> None:
        self.is_killed = False
        self.is_suspended = False
        self.context = contextvars.Context()
        self.context.run(CURRENT.set, self)
        self._due: list[VirtualHandle] = []

    @property
    def is_running(self) -> bool:
        """Whether it runs now."""
        return not (self.is_killed or self.is_suspended)

    def keep(self, handle: VirtualHandle) -> None:
        """Keep what is due until it is resumed, or drop it."""
        if not self.is_killed:
            self._due.append(handle)

    def resume(self, generator: random.Random) -> list[VirtualHandle]:
        """Go on; return what became due, in any order."""
        self.is_suspended = False
        due, self._due = self._due, []
        generator.shuffle(due)
        return due


class VirtualHandle:
    """A callback, and the process in which it runs."""

    __slots__ = ("args", "callback", "context", "is_cancelled", "process")

    def __init__(
        self,
        callback: Callable[..., object],
        args: tuple[Any, ...],
        context: contextvars.Context,
    ) -> None:
        self.callback = callback
        self.args = args
        self.context = context
        self.process = context.get(CURRENT)
        self.is_cancelled = False

    def cancel(self) -> None:
        """Don't call it."""
        self.is_cancelled = True

    def run(self) -> None:
        """Call it, unless it is cancelled or its process does not run."""
        if self.is_cancelled:
            return
        if self.process is None or self.process.is_running:
            self.context.run(self.callback, *self.args)
        else:
            self.process.keep(self)


class VirtualLoop(asyncio.AbstractEventLoop):
    """The loop, without I/O.

    Attributes:
        now: the clock's time.
        errors: exceptions that nobody handled.
    """

    def __init__(self) -> None:
        self.now = EPOCH_S
        self.errors: list[BaseException] = []
        self._ready: deque[VirtualHandle] = deque()
        self._timers: list[tuple[float, int, VirtualHandle]] = []
        self._numbers = itertools.count()

    def time(self) -> float:
        """Return the clock's time."""
        return self.now

    def get_debug(self) -> bool:
        """Return that nothing more is checked."""
        return False

    def create_future(self) -> asyncio.Future[Any]:
        """Return a future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(self, coro, *, name=None, context=None):
        """Run a coroutine."""
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def call_soon(self, callback, *args, context=None):
        """Call in the process of the context, if that runs."""
        handle = self._build_handle(callback, args, context)
        self._ready.append(handle)
        return handle

    def call_later(self, delay, callback, *args, context=None):
        """Call in the process of the context, if that runs then."""
        return self.call_at(self.now + delay, callback, *args, context=context)

    def call_at(self, when, callback, *args, context=None):
        """Call in the process of the context, if that runs then."""
        handle = self._build_handle(callback, args, context)
        heapq.heappush(self._timers, (when, next(self._numbers), handle))
        return handle

    def resume(
        self,
        process: VirtualProcess,
        generator: random.Random,
        is_first: Callable[[VirtualHandle], bool],
    ) -> None:
        """Let a process go on: with some of what became due, then the others."""
        due = process.resume(generator)
        self._ready.extend(sorted(due, key=lambda handle: not is_first(handle)))

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Keep an error. Tasks that killed processes leave behind are none."""
        if "exception" in context:
            self.errors.append(context["exception"])

    def run_until_complete(self, future: Coroutine[Any, Any, Any]) -> Any:
        """Run until a coroutine ends."""
        asyncio.events._set_running_loop(self)
        try:
            task = self.create_task(future)
            while not task.done():
                self._run_once()
            return task.result()
        finally:
            asyncio.events._set_running_loop(None)

    def _run_once(self) -> None:
        ready, timers = self._ready, self._timers
        if not ready:
            when, _, handle = heapq.heappop(timers)
            self.now = max(self.now, when)
            ready.append(handle)
        while ready:
            ready.popleft().run()

    @staticmethod
    def _build_handle(
        callback: Callable[..., object],
        args: tuple[Any, ...],
        context: contextvars.Context | None,
    ) -> VirtualHandle:
        if context is None:
            context = contextvars.copy_context()
        return VirtualHandle(callback, args, context)


def play(main: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a coroutine on a loop of its own.

    Raises:
        AssertionError: a task ended with an error that nobody handled.
    """
    loop = VirtualLoop()
    loop.run_until_complete(main())
    assert not loop.errors, loop.errors[:3]
