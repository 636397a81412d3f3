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
        self._resting: dict[str, list[UpstreamConnection]] = {}
        self.opened = 0

    async def acquire(
        self, peer: str, host: str, port: int, *, max_rest_s: float
    ) -> UpstreamConnection:
        """Return a kept connection, or a new one.

        Args:
            peer: the backend server's id.
            host: its address.
            port: its port.
            max_rest_s: longest rest after which a kept one is still used.
        """
        now = asyncio.get_running_loop().time()
        resting = self._resting.get(peer)
        while resting:
            connection = resting.pop()
            if connection.alive and self._is_fresh(connection, now, max_rest_s):
                return connection
            connection.abort()
        self.opened += 1
        return await open_connection(
            host, port, peer, timeout_s=self._connect_timeout_s
        )

    def release(
        self, connection: UpstreamConnection, *, max_resting: int | None = None
    ) -> None:
        """Keep a connection whose answer was whole.

        Args:
            connection: the connection.
            max_resting: connections to the same server that may rest; None for any.
        """
        if not connection.alive or connection.busy:
            return
        resting = self._resting.setdefault(connection.peer, [])
        if max_resting is not None and len(resting) >= max_resting:
            connection.abort()
        else:
            resting.append(connection)

    def release_unused(self, connection: UpstreamConnection) -> None:
        """Keep a connection over which nothing was sent."""
        connection.rested_since = asyncio.get_running_loop().time()
        self.release(connection)

    def drop_peer(self, peer: str) -> None:
        """Close what rests of a backend server that is gone."""
        for connection in self._resting.pop(peer, []):
            connection.abort()

    def sweep(self, now: float) -> None:
        """Close connections that rested too long."""
        for resting in self._resting.values():
            stale = [
                connection
                for connection in resting
                if not connection.alive
                or not self._is_fresh(connection, now, self._keep_s)
            ]
            for connection in stale:
                resting.remove(connection)
                connection.abort()

    def _is_fresh(
        self, connection: UpstreamConnection, now: float, max_rest_s: float
    ) -> bool:
        limit = min(max_rest_s, self._keep_s)
        if connection.rest_limit_s is not None:
            limit = min(limit, connection.rest_limit_s * 0.5)
        return now - connection.rested_since < limit
