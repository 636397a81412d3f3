"""HTTP listeners: uvicorn in the event loop, with connection limits."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import uvicorn
from starlette.types import ASGIApp
from uvicorn.protocols.http.h11_impl import H11Protocol

MAX_HEADER_BYTES = 32 * 1024
"""Maximum size of a request's head, in bytes."""

HEADER_TIMEOUT_S = 10.0
"""Time limit for the first request head on a connection, in seconds."""

KEEP_ALIVE_S = 75.0
"""Time for which an idle keep-alive connection stays open, in seconds."""

BACKLOG = 2048
"""Maximum number of connections that wait in the kernel to be accepted."""


class _LimitedProtocol(H11Protocol):
    """Closes connections over the limit, and those whose first head is late."""

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
    """A uvicorn server that does not install signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class Listener:
    """Serves an ASGI app on its own address.

    Args:
        app: the ASGI app.
        host: address to listen on.
        port: port to listen on; 0 selects a free port.
        max_connections: maximum number of open connections; more are aborted.

    .. versionadded:: 0.1
    """

    def __init__(
        self, app: ASGIApp, host: str, port: int, *, max_connections: int
    ) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # asyncio disables Nagle's algorithm only on sockets created with
        # IPPROTO_TCP; otherwise the end of an answer waits 40 ms for an ACK.
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
        """Start serving."""
        self._task = asyncio.create_task(self._server.serve(sockets=[self._socket]))

    async def stop(self, *, force: bool = False) -> None:
        """Stop listening, and return when the requests in flight have ended.

        Args:
            force: whether to drop the requests in flight.
        """
        self._server.should_exit = True
        self._server.force_exit = force
        if self._task:
            await self._task
