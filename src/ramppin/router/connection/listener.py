"""HTTP listeners: uvicorn in this process's loop, with limits on callers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import uvicorn
from starlette.types import ASGIApp
from uvicorn.protocols.http.h11_impl import H11Protocol

MAX_HEADER_BYTES = 32 * 1024
"""Bytes of the largest head of a request."""

HEADER_TIMEOUT_S = 10.0
"""Seconds in which a head must arrive."""

KEEP_ALIVE_S = 75.0
"""Seconds for which an idle connection of a caller is kept."""

BACKLOG = 2048
"""Connections that the kernel keeps until they are accepted."""


class _LimitedProtocol(H11Protocol):
    """Drops connections past a limit, and those whose first head is late."""

    max_connections = 1

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        if len(self.connections) > self.max_connections:
            transport.abort()
        self._head_timer = self.loop.call_later(HEADER_TIMEOUT_S, self._check_head)

    def connection_lost(self, exc: Exception | None) -> None:
        self._head_timer.cancel()
        super().connection_lost(exc)

    def _check_head(self) -> None:
        if self.cycle is None:
            self.transport.close()


class _Server(uvicorn.Server):
    """A server that leaves the process's signals to the process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class Listener:
    """Serves an app on an address of its own.

    Args:
        app: the ASGI app.
        host: address to listen on.
        port: port to listen on; 0 picks a free one.
        max_connections: connections at a time; more are dropped.

    .. versionadded:: 0.1
    """

    def __init__(
        self, app: ASGIApp, host: str, port: int, *, max_connections: int
    ) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # asyncio turns Nagle's algorithm off only for sockets that name TCP;
        # with it on, the last part of an answer waits 40 ms for an ACK.
        self._socket = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, port))
        self._socket.listen(BACKLOG)
        self.port: int = self._socket.getsockname()[1]
        limits = {"max_connections": max_connections}
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http=type("_Protocol", (_LimitedProtocol,), limits),
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=int(KEEP_ALIVE_S),
            h11_max_incomplete_event_size=MAX_HEADER_BYTES,
        )
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to serve."""
        self._task = asyncio.create_task(self._server.serve(sockets=[self._socket]))

    async def stop(self, *, force: bool = False) -> None:
        """Stop to listen, and return when what is in flight has ended.

        Args:
            force: drop what is in flight.
        """
        self._server.should_exit = True
        self._server.force_exit = force
        if self._task:
            await self._task
