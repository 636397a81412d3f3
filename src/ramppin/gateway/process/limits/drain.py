"""A planned stop: which requests are still taken, and when connections are closed.

The balancer notices only after a while that this VM is not ready, and uses it again
when all VMs of a failure domain stop together. So requests are taken for some time,
and later ones only if they end before the process does. Owns the time of the stop.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ramppin.gateway.connection.callerwire import ListenerState

POLL_S = 0.05
"""Seconds between two checks of whether every connection has ended."""

DETECTION_S = 2.3
"""Seconds until the balancer has noticed: it asks each VM once a second and gives it no
new connections after two misses."""

MIN_CLOSE_AGE_S = 0.5
"""Seconds for which a new connection is left open: its first request is on the way."""

ACCEPT_ALL_S = 2.9
"""Seconds in which every request is taken. Later ones that could not end in time cut
streams at the limit, on 6 of 40 days of random trouble."""

LIMIT_S = 7.5
"""Seconds until the process ends: half a second before the platform's default of 8
after which it is killed."""


@dataclass(frozen=True, slots=True)
class DrainTimes:
    """How long the parts of a planned stop take, in seconds from its start.

    Attributes:
        detection_s: until the balancer has noticed. Connections stay open so long,
            and each answer asks its caller to close; then idle ones are closed.
        min_close_age_s: age below which an idle connection is not closed: its first
            request is on the way.
        accept_all_s: until every request is taken. Later ones are taken only if their
            time limit ends before the stop: the balancer still sends some while
            most VMs of a failure domain stop together.
        limit_s: until the process ends in any case.
    """

    detection_s: float = DETECTION_S
    min_close_age_s: float = MIN_CLOSE_AGE_S
    accept_all_s: float = ACCEPT_ALL_S
    limit_s: float = LIMIT_S


class Drain:
    """A planned stop that has begun.

    Args:
        times: how long its parts take.
        started: the loop's time at which it began.

    .. versionadded:: 0.2
    """

    def __init__(self, times: DrainTimes, started: float) -> None:
        self._times = times
        self._started = started

    def may_accept(self, time_limit_s: float, now: float) -> bool:
        """Return whether a request that arrives now will end in time.

        Args:
            time_limit_s: longest time that the request is held.
            now: the loop's time.
        """
        passed = now - self._started
        if passed < self._times.accept_all_s:
            return True
        return passed + time_limit_s <= self._times.limit_s

    async def wait_until_closed(self, state: ListenerState) -> None:
        """Wait until every connection has ended, or the limit is reached."""
        loop = asyncio.get_running_loop()
        while (passed := loop.time() - self._started) < self._times.limit_s:
            if passed >= self._times.detection_s:
                self._close_idle(state, loop.time())
                if not state.connections:
                    return
            await asyncio.sleep(POLL_S)

    def _close_idle(self, state: ListenerState, now: float) -> None:
        for connection in list(state.connections):
            if self.may_close(connection.opened_at, now):
                connection.close_if_idle()

    def may_close(self, opened_at: float, now: float) -> bool:
        """Return whether a connection that carries nothing may be closed.

        Args:
            opened_at: the loop's time at which it was opened.
            now: the loop's time.
        """
        return now - opened_at >= self._times.min_close_age_s
