"""Pool of persistent connections to backend servers.

Owns the process's idle connections, by backend server. The rules for reusing them are
in :mod:`~.reuse`.
"""

from __future__ import annotations

import asyncio

from ramppin.gateway.connection.reuse import (
    choose_idle_limit_s,
    may_keep,
    may_reuse,
)
from ramppin.gateway.connection.upstream import UpstreamConnection, open_connection

CONNECT_TIMEOUT_S = 0.35
"""Seconds to establish a connection; then the request tries another server."""


class ConnectionPool:
    """Keeps idle connections to backend servers for reuse.

    Attributes:
        opened: connections opened since the process started, failed ones included.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self.opened = 0

    async def acquire(
        self,
        peer: str,
        host: str,
        port: int,
        *,
        repeatable: bool,
        source_host: str | None = None,
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> UpstreamConnection:
        """Return an idle connection, or open a new one.

        Args:
            peer: the backend server's id.
            host: its address.
            port: its port.
            repeatable: whether the request may be sent again if it fails.
            source_host: local address of a new connection; None for any.
            timeout_s: seconds to establish it.

        Raises:
            NotSentError: no connection could be established.
        """
        now = asyncio.get_running_loop().time()
        limit_s = choose_idle_limit_s(repeatable=repeatable)
        idle = self._idle.get(peer)
        while idle:
            connection = idle.pop()
            if _is_usable(connection, now, limit_s):
                return connection
            connection.abort()
        return await self.open(
            peer, host, port, source_host=source_host, timeout_s=timeout_s
        )

    async def open(
        self,
        peer: str,
        host: str,
        port: int,
        *,
        source_host: str | None = None,
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> UpstreamConnection:
        """Open a new connection.

        Args:
            peer: the backend server's id.
            host: its address.
            port: its port.
            source_host: its local address; None for any.
            timeout_s: seconds to establish it.

        Raises:
            NotSentError: the connection could not be established.
        """
        self.opened += 1
        return await open_connection(
            host, port, peer, timeout_s=timeout_s, source_host=source_host
        )

    def note_timed_out(self, connection: UpstreamConnection) -> int:
        """Close the idle connections to the peer of a connection that timed out.

        What broke one connection to a peer most likely broke the idle ones too. Each
        would cost a request a second before it is detected.

        Returns:
            The number of connections closed.
        """
        idle = self._idle.pop(connection.peer, [])
        for other in idle:
            other.abort()
        return len(idle)

    def release(
        self, connection: UpstreamConnection, *, spare_connections: int | None = None
    ) -> None:
        """Return a connection to the pool after a complete answer.

        Args:
            connection: the connection.
            spare_connections: idle connections that this VM may keep to the same
                server; None for no limit.
        """
        if not connection.alive or connection.busy:
            return
        idle = self._idle.setdefault(connection.peer, [])
        if may_keep(len(idle), spare_connections):
            idle.append(connection)
        else:
            connection.abort()

    def release_unused(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool over which no request was sent."""
        connection.idle_since = asyncio.get_running_loop().time()
        self.release(connection)

    def drop_peer(self, peer: str) -> None:
        """Close the idle connections to a backend server that was removed."""
        for connection in self._idle.pop(peer, []):
            connection.abort()

    def sweep(self, now: float) -> None:
        """Close connections whose idle time has expired."""
        limit_s = choose_idle_limit_s(repeatable=True)
        for idle in self._idle.values():
            stale = [c for c in idle if not _is_usable(c, now, limit_s)]
            for connection in stale:
                idle.remove(connection)
                connection.abort()


def _is_usable(connection: UpstreamConnection, now: float, limit_s: float) -> bool:
    idle_s = now - connection.idle_since
    return connection.alive and may_reuse(idle_s, limit_s, connection.keep_alive_s)
