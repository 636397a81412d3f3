"""A loopback proxy that harms the connections through it."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from enum import Enum

DELAY_S = 0.15


class Harm(Enum):
    """What a proxy does to bytes."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    ONE_WAY = "one way"
    """Requests pass, answers don't."""


@dataclass
class Proxy:
    """Passes connections on to a port.

    Attributes:
        target: the port behind it.
        harm: what it does at the moment.
    """

    target: int
    harm: Harm = Harm.NONE
    port: int = 0
    _server: asyncio.Server | None = None
    _tasks: set = field(default_factory=set)
    _writers: set = field(default_factory=set)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset_all(self) -> None:
        """Drop every connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        ended = (OSError, asyncio.CancelledError)
        with contextlib.suppress(*ended):
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.target
            )
            both = (writer, far_writer)
            self._writers.update(both)
            try:
                await asyncio.gather(
                    self._pump(reader, far_writer, answers=False),
                    self._pump(far_reader, writer, answers=True),
                )
            finally:
                self._writers.difference_update(both)
                for one in both:
                    one.transport.abort()

    async def _pump(self, reader, writer, *, answers: bool) -> None:
        while data := await reader.read(65536):
            while self.harm is Harm.SILENCE or (self.harm is Harm.ONE_WAY and answers):
                await asyncio.sleep(0.02)
            if self.harm is Harm.DELAY:
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        writer.transport.abort()
