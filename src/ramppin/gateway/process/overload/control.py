"""Runs the scheduler of one process: by events, and by one timer.

The scheduler (:mod:`~.scheduler`) decides; this module calls it when a request ended,
when a load report or a message of a peer was applied, and when its next check is due.
While no request waits, no timer runs. Owns the set of waiting requests and the timer.
"""

from __future__ import annotations

import asyncio

from ramppin.gateway.process.limits.drain import Drain
from ramppin.gateway.process.load.times import MovingMean
from ramppin.gateway.process.overload.returns import MAX_ROUTES, ReturnDetector
from ramppin.gateway.process.overload.scheduler import Scheduler, ServiceQueue
from ramppin.gateway.process.overload.startlimiter import (
    CapacityState,
    FleetStartLimiter,
)
from ramppin.gateway.process.overload.ticket import (
    Ticket,
    Turn,
    TurnDecision,
)

MIN_CHECK_S = 0.005
"""Minimum seconds until the next check, so that one that stays due can't occupy the
event loop."""


ALL_ANSWERS = 16
"""First answers of each service that are all recorded, of which the mean consists."""

ANSWERS_PER_SAMPLE = 8
"""Answers of which one is recorded where a sample suffices. Recording one takes longer
the more servers a service has."""


REQUESTS_PER_SAMPLE = 8
"""Requests below capacity of which one is described in full: the usual tokens and the
longest deadlines must be known when an overload begins."""


class OverloadControl:
    """Gives the requests of this process their turns.

    Args:
        scheduler: decides which requests start, wait and are refused.
        limiter: the capacity of services and this VM's share of it.
        returns: recognises requests that repeat a refused one.

    Attributes:
        limiter: as above.
        returns: as above.

    .. versionadded:: 0.4
    """

    def __init__(
        self,
        scheduler: Scheduler,
        limiter: FleetStartLimiter,
        returns: ReturnDetector,
    ) -> None:
        self._scheduler = scheduler
        self.limiter = limiter
        self.returns = returns
        self._waiting: set[Ticket] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._due_at: float | None = None
        self._drain: Drain | None = None
        self._pump_is_scheduled = False
        self._answers: dict[str, int] = {}
        self._route_stays: dict[str, MovingMean] = {}
        self._submissions = 0

    # called by the request path

    def submit(self, ticket: Ticket, now: float) -> TurnDecision:
        """Return START, WAIT or REFUSED for a new request.

        After WAIT, :meth:`note_decided` must be called by the ticket's ``decide``.
        """
        decision = self._scheduler.submit(ticket, now)
        if decision.turn is Turn.WAIT:
            self._waiting.add(ticket)
            self._set_timer(now)
        return decision

    def needs_details(self, service: str, now: float) -> bool:
        """Return whether a request must be described in full to the scheduler.

        Below capacity it starts whatever its work and deadline are, which then take
        more time to determine than the rest of this step.
        """
        self._submissions += 1
        if self._submissions % REQUESTS_PER_SAMPLE == 0 or self._waiting:
            return True
        return self.limiter.is_busy(service, now)

    def note_decided(self, ticket: Ticket) -> None:
        """Record that a waiting request was decided."""
        self._waiting.discard(ticket)

    def withdraw(self, ticket: Ticket, now: float) -> None:
        """Remove a waiting request without a decision."""
        self._waiting.discard(ticket)
        self._scheduler.withdraw(ticket, now)
        self._set_timer(now)

    def note_ended(self, service: str, now: float) -> None:
        """Record that a started request ended, which may start others."""
        self._scheduler.note_ended(service, now)
        if self._timer is not None and not self._waiting:
            self._set_timer(now)

    def note_answered(
        self, service: str, took_s: float, now: float, *, is_sampled: bool
    ) -> None:
        """Record the time that an answered request took at a server.

        Args:
            service: name of the service.
            took_s: seconds from the selection of the server to the end of the answer.
            now: current event-loop time.
            is_sampled: whether a sample suffices: only the mean of the times is learned
                from the answers, as the server states its slots.
        """
        count = self._answers.get(service, 0)
        self._answers[service] = count + 1
        if is_sampled and count >= ALL_ANSWERS and count % ANSWERS_PER_SAMPLE:
            return
        self.limiter.note_answered(service, took_s, now)

    def note_route_answered(self, route: str, took_s: float) -> None:
        """Record the time that an answered request of a route took at a server."""
        stay = self._route_stays.get(route)
        if stay is None:
            if len(self._route_stays) >= MAX_ROUTES:
                del self._route_stays[next(iter(self._route_stays))]
            stay = MovingMean(took_s, initial_weight=1)
            self._route_stays[route] = stay
        stay.note(took_s)

    def find_route_stay_s(self, route: str) -> float:
        """Return the mean time in seconds of a route's requests at a server.

        0 while none was answered.
        """
        stay = self._route_stays.get(route)
        return 0.0 if stay is None else stay.mean_s

    # called for other events

    def note_report(self, server_id: str, slots: int | None) -> None:
        """Record a server's load report, which may start waiting requests.

        Args:
            server_id: id of the server's incarnation.
            slots: the slots that it states; None if it states none.
        """
        if slots is not None and self.limiter.find_reported_slots(server_id) != slots:
            now = asyncio.get_running_loop().time()
            self.limiter.note_slots(server_id, slots, now)
        self.note_change()

    def note_load(self, slots: int | None) -> None:
        """Record a load report of a server whose entry states its slots."""
        if self._waiting:
            self.note_change()

    def note_change(self) -> None:
        """Check the waiting requests soon, since a load or a peer's demand changed.

        All changes in one iteration of the event loop cause one check.
        """
        if self._waiting and not self._pump_is_scheduled:
            self._pump_is_scheduled = True
            asyncio.get_running_loop().call_soon(self._pump)

    def note_drain(self, drain: Drain) -> None:
        """Refuse waiting requests that can't end before this VM stops.

        While a stopping VM still accepts every request, waiting ones go on waiting.
        """
        self._drain = drain
        asyncio.get_running_loop().call_at(drain.accepts_all_until, self._stop_waiting)

    def close(self) -> None:
        """Start every waiting request, since overload control was disabled."""
        now = asyncio.get_running_loop().time()
        for ticket in sorted(self._waiting, key=lambda ticket: ticket.rank):
            self.withdraw(ticket, now)
            ticket.decide(TurnDecision(Turn.START, waited_s=now - ticket.arrived))

    def replace_scheduler(self, scheduler: Scheduler) -> None:
        """Submit every waiting request to a scheduler with other rules."""
        previous, self._scheduler = self._scheduler, scheduler
        now = asyncio.get_running_loop().time()
        for ticket in sorted(self._waiting, key=lambda ticket: ticket.arrived):
            previous.withdraw(ticket, now)
            decision = scheduler.submit(ticket, now)
            if decision.turn is not Turn.WAIT:
                ticket.decide(decision)
        self._set_timer(now)

    # called by operators' interface

    def list_queues(self, now: float) -> list[ServiceQueue]:
        """Return what waits, for each service with waiting requests."""
        return self._scheduler.describe(now)

    def describe_capacity(self, service: str, now: float) -> CapacityState:
        """Return what a service can hold, and this VM's share."""
        return self.limiter.describe(service, now)

    # timer

    def _pump(self) -> None:
        self._pump_is_scheduled = False
        now = asyncio.get_running_loop().time()
        self._scheduler.pump(now)
        self._set_timer(now)

    def _run_timer(self) -> None:
        self._timer = self._due_at = None
        self._pump()

    def _set_timer(self, now: float) -> None:
        """Set the timer to the next check; stop it if nothing waits."""
        due_at = self._scheduler.find_next_check(now) if self._waiting else None
        if due_at is not None:
            # A timer that is due earlier stays: events must not postpone it for ever.
            due_at = max(due_at, now + MIN_CHECK_S)
            if self._due_at is not None and self._due_at <= due_at:
                return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._due_at = due_at
        if due_at is not None:
            self._timer = asyncio.get_running_loop().call_at(due_at, self._run_timer)

    def _stop_waiting(self) -> None:
        """Refuse waiting requests whose time limit is after the end of this VM."""
        drain, now = self._drain, asyncio.get_running_loop().time()
        for ticket in list(self._waiting):
            if drain is not None and not drain.may_accept(ticket.ends_at - now, now):
                self.withdraw(ticket, now)
                ticket.decide(TurnDecision(Turn.REFUSED, waited_s=now - ticket.arrived))
