"""Connects to the selected server and records failures in the server's health."""

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
    """Return a connection, or the result of the attempt if connecting failed.

    Args:
        context: state shared by all exchanges.
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
    """Record that connecting failed, unless a stall of this process may be the cause.

    After a stall, a time-out can fire before the process handles a connection that was
    established in time.
    """
    now = asyncio.get_running_loop().time()
    if not is_refused and context.directory.stall_detector.is_behind(now):
        return
    context.reachability.note_failed(state, now)
    if is_refused:
        state.note_refused_connection(now)
    if is_refused and not context.reachability.is_at_fault(state.server.service):
        context.quarantine.note_server_ended(state.id)
    state.health.note_outcome(Outcome.UNREACHABLE, now)
