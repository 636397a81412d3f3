"""Gets a connection to the server that was chosen, and notes what that shows of it."""

from __future__ import annotations

import asyncio

from ramppin.errors import NotSentError
from ramppin.gateway.connection.upstream import UpstreamConnection
from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.process.membership.health import Outcome
from ramppin.gateway.process.routing.serverstate import ServerState
from ramppin.gateway.request.result import AttemptEnd, AttemptResult
from ramppin.gateway.version.routing import Route


async def connect(
    context: GatewayContext, route: Route, state: ServerState
) -> UpstreamConnection | AttemptResult:
    """Return a connection, or the end of an attempt that got none.

    Args:
        context: what exchanges share.
        route: the request's route.
        state: the server.
    """
    server = state.server
    try:
        return await context.pool.acquire(
            server.id, server.host, server.port, repeatable=route.repeatable
        )
    except NotSentError as error:
        _note_unreachable(context, state, is_refused=error.is_refused)
        return AttemptResult(AttemptEnd.NOT_SENT, message=error.message)


def _note_unreachable(
    context: GatewayContext, state: ServerState, *, is_refused: bool
) -> None:
    """Note that no connection came up, unless that may be this process's doing.

    A process that stalled may not have read yet that it did.
    """
    now = asyncio.get_running_loop().time()
    if is_refused:
        context.quarantine.note_server_ended(state.id)
    if is_refused or not context.directory.stall_detector.is_behind(now):
        state.health.note_outcome(Outcome.UNREACHABLE, now)
