"""Checks whether a backend server terminated when a connection to it was lost.

A lost connection alone may be a network fault. A terminated server refuses the next
connection, so one is opened at once; nothing is sent on it, and it returns to the pool
if it is established. If it is neither established nor refused, the server's entry
decides: it expires, or shows a later start. Owns the running checks.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ramppin.errors import NotSentError
from ramppin.gateway.connection.pool import ConnectionPool
from ramppin.gateway.process.quarantine.quarantine import Quarantine
from ramppin.gateway.process.routing.serverstate import ServerState

CHECK_TIMEOUT_S = 0.1
"""Seconds for which an answer is held while its server is checked: several round trips
between failure domains, and far less than usual targets."""


class ServerChecks:
    """Checks servers after lost connections, with at most one running check per server.

    Args:
        pool: opens and keeps connections.
        quarantine: is notified of terminated servers.
        is_path_at_fault: returns whether failures to connect to the servers of a
            service are likely to be this VM's.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        pool: ConnectionPool,
        quarantine: Quarantine,
        is_path_at_fault: Callable[[str], bool] = lambda service: False,
    ) -> None:
        self._pool = pool
        self._quarantine = quarantine
        self._is_path_at_fault = is_path_at_fault
        self._running: dict[str, asyncio.Task[bool]] = {}

    def start(self, state: ServerState) -> asyncio.Task[bool]:
        """Start a check of a server unless one is running.

        Returns:
            The running check, whose result is whether the server has terminated.
        """
        running = self._running.get(state.id)
        if running is not None:
            return running
        task = asyncio.get_running_loop().create_task(self._check(state))
        self._running[state.id] = task
        task.add_done_callback(lambda _: self._running.pop(state.id, None))
        return task

    async def has_terminated(self, state: ServerState) -> bool | None:
        """Return whether a server has terminated, or None if that takes too long."""
        check = asyncio.shield(self.start(state))
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                return await check
        except TimeoutError:
            return None

    async def _check(self, state: ServerState) -> bool:
        server = state.server
        try:
            connection = await self._pool.open(server.id, server.host, server.port)
        except NotSentError as error:
            if error.is_refused:
                state.note_refused_connection(asyncio.get_running_loop().time())
            is_ended = error.is_refused and not self._is_path_at_fault(server.service)
            if is_ended:
                self._quarantine.note_server_ended(state.id)
            return is_ended
        self._pool.release_unused(connection)
        return False
