"""Kept connections to backend servers."""

from __future__ import annotations

import asyncio

from ramppin.gateway.connection.upstream import UpstreamConnection, open_connection


class ConnectionPool:
    """Keeps connections to backend servers for a while.

    Args:
        keep_s: longest rest of a kept connection.
        connect_timeout_s: longest time for a new one to come up.

    .. versionadded:: 0.2
    """

    def __init__(self, *, keep_s: float = 4.0, connect_timeout_s: float = 0.35) -> None:
        self._keep_s = keep_s
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self.opened = 0

    async def acquire(
        self, peer: str, host: str, port: int, *, max_idle_s: float
    ) -> UpstreamConnection:
        """Return a kept connection, or a new one.

        Args:
            peer: the backend server's id.
            host: its address.
            port: its port.
            max_idle_s: longest rest after which a kept one is still used.
        """
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(peer)
        while idle:
            connection = idle.pop()
            if connection.alive and self._is_fresh(connection, now, max_idle_s):
                return connection
            connection.abort()
        self.opened += 1
        return await open_connection(
            host, port, peer, timeout_s=self._connect_timeout_s
        )

    def release(
        self, connection: UpstreamConnection, *, max_idle_connections: int | None = None
    ) -> None:
        """Keep a connection whose answer was whole.

        Args:
            connection: the connection.
            max_idle_connections: connections to the same server that may be idle;
                None for any number.
        """
        if not connection.alive or connection.busy:
            return
        idle = self._idle.setdefault(connection.peer, [])
        if max_idle_connections is not None and len(idle) >= max_idle_connections:
            connection.abort()
        else:
            idle.append(connection)

    def release_unused(self, connection: UpstreamConnection) -> None:
        """Keep a connection over which nothing was sent."""
        connection.idle_since = asyncio.get_running_loop().time()
        self.release(connection)

    def drop_peer(self, peer: str) -> None:
        """Close what rests of a backend server that is gone."""
        for connection in self._idle.pop(peer, []):
            connection.abort()

    def sweep(self, now: float) -> None:
        """Close connections that rested too long."""
        for idle in self._idle.values():
            stale = [
                connection
                for connection in idle
                if not connection.alive
                or not self._is_fresh(connection, now, self._keep_s)
            ]
            for connection in stale:
                idle.remove(connection)
                connection.abort()

    def _is_fresh(
        self, connection: UpstreamConnection, now: float, max_idle_s: float
    ) -> bool:
        limit = min(max_idle_s, self._keep_s)
        if connection.keep_alive_s is not None:
            limit = min(limit, connection.keep_alive_s * 0.5)
        return now - connection.idle_since < limit
