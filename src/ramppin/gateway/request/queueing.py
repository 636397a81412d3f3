"""The step of a request between its admission and the selection of a server.

Asks the process's overload control for the request's turn, waits for the decision, and
reports the end of the request so that others start. Exists only while overload control
is enabled. Owns the request's ticket.
"""

from __future__ import annotations

import asyncio

from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.process.overload.control import OverloadControl
from ramppin.gateway.process.overload.ticket import Ticket, Turn, TurnDecision
from ramppin.gateway.process.routing.serverstate import BackendServer
from ramppin.gateway.request.admission import Admission
from ramppin.gateway.request.rank import compute_rank
from ramppin.gateway.request.result import AttemptEnd
from ramppin.gateway.request.work import UNKNOWN, RequestWork, estimate_work
from ramppin.gateway.version.routing import Route

MIN_PATIENCE_S = 2.0
"""Minimum gap in seconds after which callers of a stream disconnect."""

PATIENCE_TARGETS = 4.0
"""Multiple of the route's target for the first byte after which they do."""

PATIENCE_PAUSES = 8.0
"""Multiple of the longest pause that the route allows after which they do."""

REQUEST_OVERHEAD_BYTES = 4_096
"""Memory of a waiting request besides its body, in bytes: headers, task, ticket and
the caller's connection."""


class Queueing:
    """Gets one request its turn.

    Args:
        context: state shared by all exchanges.
        control: overload control of the process.
        admission: result of the request's admission.
        request: the complete request.
        deadline_s: the caller's deadline in seconds; None if it sent none.

    Attributes:
        ticket: the request as submitted to the scheduler; below capacity mostly without
            its work, target and patience, on which nothing depends there.

    .. versionadded:: 0.4
    """

    def __init__(
        self,
        context: GatewayContext,
        control: OverloadControl,
        admission: Admission,
        request: CallerRequest,
        deadline_s: float | None,
    ) -> None:
        self._context = context
        self._control = control
        self._admission = admission
        self._loop = asyncio.get_running_loop()
        self._decided: asyncio.Future[TurnDecision] | None = None
        self._started_at: float | None = None
        self._has_waited = False
        self._work = UNKNOWN
        # Also used for the submission: between two readings a service may turn busy.
        now = self._created_at = self._loop.time()
        route, customer = admission.route, admission.customer
        ends_at = request.arrived + admission.time_limit_s
        ticket = self.ticket = Ticket(
            service=admission.service,
            rank=compute_rank(route, customer),
            customer=customer.name if customer else "",
            weight=customer.weight if customer else 1.0,
            work=UNKNOWN.work,
            size_bytes=len(request.body) + REQUEST_OVERHEAD_BYTES,
            arrived=request.arrived,
            target_at=None,
            patient_until=ends_at,
            ends_at=ends_at,
            returned=False,
            decide=self._decide,
        )
        if not control.needs_details(admission.service, now):
            return
        self._work = self._estimate_work(request)
        ticket.work = self._work.work
        if route.target_s is not None:
            ticket.target_at = request.arrived + route.target_s
        patient_until = request.arrived + compute_patience_s(route)
        # A stream that starts later is cut off by its deadline and has used a slot for
        # nothing.
        stay_s = control.find_route_stay_s(route.name) if route.kind.is_stream else 0.0
        ticket.patient_until = min(ends_at - stay_s, patient_until)
        ticket.returned = control.returns.is_returned(
            route.name, deadline_s, admission.fingerprint, now
        )

    async def run(self) -> TurnDecision:
        """Return START or REFUSED, or WAIT if the caller disconnected meanwhile."""
        ticket, now = self.ticket, self._created_at
        decision = self._control.submit(ticket, now)
        if decision.turn is Turn.START:
            return self._note_start(decision, now)
        if not self._context.gate.survey(ticket.service, now).list_open():
            # Waiting has no purpose; selection refuses the request with the reason.
            if decision.turn is Turn.WAIT:
                self._control.withdraw(ticket, now)
            return TurnDecision(Turn.START)
        if decision.turn is Turn.REFUSED:
            return self._note_refused(decision, now)
        self._has_waited = True
        self._decided = self._loop.create_future()
        decided = await self._decided
        now = self._loop.time()
        return self._note_refused(decided, now) if decided.rule else decided

    def note_attempt(
        self, server: BackendServer, end: AttemptEnd, took_s: float
    ) -> None:
        """Record an attempt, from which the capacity of the service is estimated.

        Args:
            server: the server.
            end: how it ended.
            took_s: seconds from the selection of the server until it ended.
        """
        limiter, now = self._control.limiter, self._loop.time()
        if end is AttemptEnd.DELIVERED:
            if self._admission.route.kind.is_stream:
                self._control.note_route_answered(self._admission.route.name, took_s)
            is_sampled = server.slots > 0 and not self._has_waited
            self._control.note_answered(
                self.ticket.service, took_s, now, is_sampled=is_sampled
            )
        elif end is AttemptEnd.REJECTED:
            limiter.note_rejected(self.ticket.service, now)

    def cancel(self) -> None:
        """Leave the admission queue because the caller disconnected."""
        if self._decided is not None and not self._decided.done():
            ticket, now = self.ticket, self._loop.time()
            self._control.withdraw(ticket, now)
            self._decided.set_result(
                TurnDecision(
                    Turn.WAIT,
                    waited_s=now - ticket.submitted_at,
                    estimate_s=ticket.estimate_s,
                )
            )

    def end(self) -> None:
        """Report that the request has ended, if it was started."""
        if self._started_at is None:
            return
        now = self._loop.time()
        self._context.metrics.customer_work.add(
            now - self._started_at, self.ticket.customer
        )
        self._started_at = None
        self._control.note_ended(self.ticket.service, now)

    def _decide(self, decision: TurnDecision) -> None:
        """Receive the decision about a waiting request."""
        self._control.note_decided(self.ticket)
        if decision.turn is Turn.START:
            self._note_start(decision, self._loop.time())
        if self._decided is not None and not self._decided.done():
            self._decided.set_result(decision)

    def _note_start(self, decision: TurnDecision, now: float) -> TurnDecision:
        self._started_at = now
        if self._work.tokens:
            limiter = self._control.limiter
            limiter.note_tokens(self.ticket.service, self._work.tokens, now)
        metrics = self._context.metrics
        metrics.wait_seconds.observe(decision.waited_s, self.ticket.service)
        return decision

    def _note_refused(self, decision: TurnDecision, now: float) -> TurnDecision:
        self._control.returns.note_refused(self._admission.fingerprint, now)
        return decision

    def _estimate_work(self, request: CallerRequest) -> RequestWork:
        admission, context = self._admission, self._context
        if not admission.route.keeps_prefix:
            return UNKNOWN
        key = admission.prefix_key
        is_cached = key is not None and context.find_home(key) is not None
        return estimate_work(request, context.names, is_prefix_cached=is_cached)


def compute_patience_s(route: Route) -> float:
    """Return the seconds after which a caller without a first byte disconnects.

    Callers of routes without a stream or without a target wait until their deadline.
    """
    if not route.kind.is_stream or route.target_s is None:
        return float("inf")
    return max(
        MIN_PATIENCE_S,
        PATIENCE_TARGETS * route.target_s,
        PATIENCE_PAUSES * (route.target_pause_s or 0.0),
    )
