"""Planned stop: which requests are still accepted, and when connections are closed.

The load balancer detects only after a delay that this VM is not ready, and sends
requests to it again if all VMs of a failure domain stop together. So all requests are
accepted at first, and later ones only if they end before the process exits. Owns the
start time of the stop.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ramppin.gateway.connection.callerwire import ListenerState

POLL_S = 0.05
"""Interval in seconds at which open connections are checked."""

DETECTION_S = 2.3
"""Seconds until the load balancer has detected the stop: it probes each VM once per
second and opens no new connections to it after two failed probes."""

MIN_CLOSE_AGE_S = 0.5
"""Minimum age in seconds of an idle connection before it is closed: the first request
of a newer one may be in transit."""

ACCEPT_ALL_S = 2.9
"""Seconds during which every request is accepted. Accepting long requests after that
truncated streams at the limit on 6 of 40 days with random failures."""

LIMIT_S = 7.5
"""Seconds until the process exits: half a second before the platform kills it, which
by default happens after 8 seconds."""


@dataclass(frozen=True, slots=True)
class DrainTimes:
    """Phases of a planned stop, in seconds from its start unless stated otherwise.

    Attributes:
        detection_s: until the load balancer has detected the stop. Connections stay
            open until then, and each answer asks its caller to close; then idle
            connections are closed.
        min_close_age_s: minimum age of an idle connection before it is closed: the
            first request of a newer one may be in transit.
        accept_all_s: until then every request is accepted; later ones only if their
            time limit ends before ``limit_s``. The balancer still sends some while
            most VMs of a failure domain stop together.
        limit_s: until the process exits in any case.
    """

    detection_s: float = DETECTION_S
    min_close_age_s: float = MIN_CLOSE_AGE_S
    accept_all_s: float = ACCEPT_ALL_S
    limit_s: float = LIMIT_S


class Drain:
    """A planned stop in progress.

    Args:
        times: when its phases end.
        started: event-loop time at which it started.

    .. versionadded:: 0.2
    """

    def __init__(self, times: DrainTimes, started: float) -> None:
        self._times = times
        self._started = started

    @property
    def accepts_all_until(self) -> float:
        """Event-loop time until which every request is accepted."""
        return self._started + self._times.accept_all_s

    def may_accept(self, time_limit_s: float, now: float) -> bool:
        """Return whether a request that arrives now is accepted.

        Args:
            time_limit_s: maximum duration of the request in seconds.
            now: current event-loop time.
        """
        passed = now - self._started
        if passed < self._times.accept_all_s:
            return True
        return passed + time_limit_s <= self._times.limit_s

    async def wait_until_closed(self, state: ListenerState) -> None:
        """Close idle connections; wait until all are closed or the limit is reached."""
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
        """Return whether an idle connection may be closed.

        Args:
            opened_at: event-loop time at which it was opened.
            now: current event-loop time.
        """
        return now - opened_at >= self._times.min_close_age_s
