"""Planned stop: what is still accepted, until when, and what ends in which order.

Whatever a stopping VM has read whole is answered, or refused with when to come back,
before its process exits; only answers that have begun may be cut, at the limit.

1. SIGTERM arrives. The platform counts from that moment, and it is unknown how late
   the signal was handled: what this VM accepts counts from the earliest possible
   moment, and what it cuts from the latest. The VM is not ready any more.
2. The load balancer detects that only after a delay, and sends requests again if all
   VMs of a failure domain stop together. So all requests are accepted at first, and
   later ones only if they end before the process exits (:meth:`Drain.may_accept`). The
   last answer on a connection announces its close; what is queued before it is served.
3. Once the stop has been detected, idle connections are closed, but for those that were
   just opened. After a delay of this process, connections are read first.
4. Once no connection is open, or at the limit, the listeners are closed. Connections
   accepted meanwhile are waited for (:meth:`Drain.wait_until_closed`).
5. Requests in flight are answered: refused if they have not run. Answers that began
   are reset, so that callers can tell. From then on nothing is read, so that callers
   may send again what is in transit (:func:`end_connections`).
6. The last lines are written, and the process exits.

Owns the time of the signal and the delays of this process since then.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ramppin.gateway.connection.callerwire import ListenerState
from ramppin.signals import SignalTime

POLL_S = 0.05
"""Interval in seconds at which open connections are checked."""

DETECTION_S = 2.3
"""Seconds until the load balancer has detected the stop: it probes each VM once per
second and opens no new connections to it after two failed probes."""

MIN_CLOSE_AGE_S = 0.5
"""Minimum age in seconds of an idle connection before it is closed: the first request
of a newer one may be in transit."""

ACCEPT_ALL_S = 2.95
"""Seconds during which every request is accepted. The platform accepts that a request
is cut at the limit if it was sent up to 3 s after the signal."""

LIMIT_S = 7.5
"""Seconds until the process exits: half a second before the platform kills it, which
by default happens after 8 seconds."""

KEEP_S = 6.7
"""Seconds for which no request at work is cut, however late the process runs."""

LATE_POLL_S = 0.05
"""Delay in seconds of a poll after which connections are read before idle ones are
closed: a request may have arrived on them meanwhile."""

READ_TURNS = 2
"""Turns of the event loop in which it reads what has arrived: it polls the sockets in
the first, and handles what it found in the second."""

SEND_S = 0.1
"""Longest time in seconds for which the last answers are sent before the process
exits."""

SEND_POLL_S = 0.01
"""Interval in seconds of checks whether they have been sent."""


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
        keep_s: until then no request at work is cut, counted from the latest moment at
            which the signal may have arrived.
    """

    detection_s: float = DETECTION_S
    min_close_age_s: float = MIN_CLOSE_AGE_S
    accept_all_s: float = ACCEPT_ALL_S
    limit_s: float = LIMIT_S
    keep_s: float = KEEP_S


class Drain:
    """A planned stop in progress.

    Args:
        times: when its phases end.
        signal_time: when its signal arrived.

    .. versionadded:: 0.2
    """

    def __init__(self, times: DrainTimes, signal_time: SignalTime) -> None:
        self._times = times
        self._signal_time = signal_time
        self._longest_delay_s = 0.0

    @property
    def accepts_all_until(self) -> float:
        """Event-loop time until which every request is accepted."""
        return self._signal_time.earliest + self._times.accept_all_s

    @property
    def ends_at(self) -> float:
        """Event-loop time at which what is still open is ended, and the process exits.

        A process that was late since the signal may be as late again at its end.
        """
        limit_s = self._times.limit_s
        kept_until = self._signal_time.handled + min(self._times.keep_s, limit_s)
        ends_at = self._signal_time.earliest + limit_s - self._longest_delay_s
        return max(kept_until, ends_at)

    def may_accept(self, time_limit_s: float, now: float) -> bool:
        """Return whether a request that arrives now is accepted.

        Args:
            time_limit_s: maximum duration of the request in seconds.
            now: current event-loop time.
        """
        return now < self.accepts_all_until or now + time_limit_s <= self.ends_at

    def note_delay(self, delay_s: float) -> None:
        """Record by how many seconds this process was late."""
        self._longest_delay_s = max(self._longest_delay_s, delay_s)

    async def wait_until_closed(
        self, state: ListenerState, close_listeners: Callable[[], None]
    ) -> None:
        """Close idle connections; wait until all are closed or the limit is reached.

        The listeners are closed once no connection is open. Those that were accepted
        meanwhile are waited for as well.

        Args:
            state: the connections.
            close_listeners: closes the listeners of these connections.
        """
        is_listening = True
        loop = asyncio.get_running_loop()
        detected_at = self._signal_time.handled + self._times.detection_s
        due_at = loop.time()
        while (now := loop.time()) < self.ends_at:
            delay_s = now - due_at
            self.note_delay(delay_s)
            if delay_s >= LATE_POLL_S:
                await _read_arrived()
            if now >= detected_at:
                self._close_idle(state, now)
                if not state.connections and not is_listening:
                    return
                if not state.connections:
                    close_listeners()
                    is_listening = False
            due_at = now + POLL_S
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


async def _read_arrived() -> None:
    """Let the event loop read what has arrived on its connections."""
    for _ in range(READ_TURNS):
        await asyncio.sleep(0)


async def end_connections(state: ListenerState) -> None:
    """Answer all requests that were read, or reset their connections.

    Answers that servers have sent are read first, so that those that are whole are not
    cut. Nothing is read afterwards: a request that is not read may be sent again.
    """
    await _read_arrived()
    state.ended = True
    for connection in list(state.connections):
        connection.end()
    loop = asyncio.get_running_loop()
    send_until = loop.time() + SEND_S
    while state.connections and loop.time() < send_until:
        await asyncio.sleep(SEND_POLL_S)
    for connection in list(state.connections):
        connection.abort()
    # Aborted connections are closed in the loop's next turn.
    await asyncio.sleep(0)
