"""A server over bare streams, for stand-ins that must break the rules of HTTP."""

from __future__ import annotations

import asyncio
import contextlib
from abc import ABC, abstractmethod
from dataclasses import dataclass, field


@dataclass
class StreamServer(ABC):
    """Listens on a free loopback port; what connections do is up to subclasses.

    Attributes:
        port: the port, once it has started.
    """

    port: int = field(default=0, kw_only=True)
    _server: asyncio.Server | None = field(default=None, init=False)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set, init=False)

    async def start(self, port: int = 0) -> None:
        """Listen on a port, or on a free one."""
        self._server = await asyncio.start_server(self._track, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop, dropping what is in flight."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @abstractmethod
    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it ends."""

    async def _track(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        ended = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ended):
            await self.serve(reader, writer)
        writer.close()
