"""A planned stop: nobody new, then an end of every connection that rests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ramppin.connection.callerwire import ListenerState

POLL_S = 0.1


@dataclass(frozen=True, slots=True)
class DrainTimes:
    """How long the parts of a planned stop take.

    Attributes:
        settle_s: time in which the balancer notices; connections stay open, and
            each answer asks its caller to close.
        rest_s: time after which connections that rest are closed.
        limit_s: time after which the process ends in any case.
    """

    settle_s: float = 2.5
    rest_s: float = 4.0
    limit_s: float = 7.5


async def drain(state: ListenerState, times: DrainTimes) -> None:
    """Wait until every connection has ended, or the limit is reached."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    while (passed := loop.time() - started) < times.limit_s:
        if passed >= times.rest_s:
            for connection in list(state.connections):
                connection.close_if_idle()
        if passed >= times.settle_s and not state.connections:
            return
        await asyncio.sleep(POLL_S)
