"""Whether a server to which a connection was lost has ended.

A lost connection alone may be the network's doing. A server that has ended refuses the
next connection, so one is opened at once; nothing is sent over it, and it is kept for
later requests if it comes up. Where it neither comes up nor is refused, the server's
entry tells: it lapses, or tells a later start. Owns the checks that run.
"""

from __future__ import annotations

import asyncio

from ramppin.errors import NotSentError
from ramppin.gateway.connection.pool import ConnectionPool
from ramppin.gateway.process.quarantine.quarantine import Quarantine
from ramppin.gateway.process.routing.serverstate import ServerState


class ServerChecks:
    """Checks servers to which connections were lost, one check a server at a time.

    Args:
        pool: opens and keeps connections.
        quarantine: takes what is found.

    .. versionadded:: 0.2
    """

    def __init__(self, pool: ConnectionPool, quarantine: Quarantine) -> None:
        self._pool = pool
        self._quarantine = quarantine
        self._running: dict[str, asyncio.Task[None]] = {}

    def start(self, state: ServerState) -> None:
        """Check a server, unless it is being checked."""
        if state.id in self._running:
            return
        task = asyncio.get_running_loop().create_task(self._check(state))
        self._running[state.id] = task
        task.add_done_callback(lambda _: self._running.pop(state.id, None))

    async def _check(self, state: ServerState) -> None:
        server = state.server
        try:
            connection = await self._pool.open(server.id, server.host, server.port)
        except NotSentError as error:
            if error.is_refused:
                self._quarantine.note_server_ended(state.id)
            return
        self._pool.release_unused(connection)
