"""Decides when the requests of this VM start: now, later or never.

Combines the admission queue, the forecast and the VM's share of the capacity. Load
pattern: more requests than the servers of a service can hold, for seconds. No I/O.
"""

from __future__ import annotations

import logging
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass

from ramppin.gateway.process.overload.fairness import measure_share
from ramppin.gateway.process.overload.forecast import (
    EARLY_SPREADS,
    MIN_RATE_SHARE,
    MIN_START_RATE_PER_S,
    Forecast,
    estimate_spread_s,
    is_hopeless,
    is_too_late,
)
from ramppin.gateway.process.overload.returns import ReturnSequence
from ramppin.gateway.process.overload.rules import OverloadRules
from ramppin.gateway.process.overload.startlimiter import StartLimiter
from ramppin.gateway.process.overload.ticket import (
    RefusalRule,
    Ticket,
    TicketState,
    Turn,
    TurnDecision,
)
from ramppin.gateway.process.overload.waitingroom import Place, WaitingRoom

LOG = logging.getLogger(__name__)

MIN_CHECK_S = 0.02
"""Minimum time in seconds between two checks of the queue, which bounds their cost."""

MAX_CHECK_S = 0.1
"""Maximum time in seconds between two checks: capacity becomes known by reports of
servers and peers, for which nothing calls the scheduler."""

CHECKS_PER_START = 2
"""Checks in the expected time between two starts: with one, a check that is late by a
little would lose a start of a limiter that saves up no more than one."""

_STARTED = TurnDecision(Turn.START)
"""Decision about every request that skips the queue."""


@dataclass(frozen=True, slots=True)
class ServiceQueue:
    """What waits for one service at this VM.

    Attributes:
        service: name of the service.
        by_rank: number of waiting requests by rank, 10 values.
        by_customer: number of waiting requests by customer.
        size_bytes: size of the waiting requests in bytes.
        oldest_wait_s: longest time for which one of them has waited, in seconds.

    .. versionadded:: 0.4
    """

    service: str
    by_rank: tuple[int, ...]
    by_customer: dict[str, int]
    size_bytes: int
    oldest_wait_s: float


class Scheduler:
    """Gives the requests of this VM their turns.

    Decisions about waiting requests are delivered after the queue and the limiter are
    up to date, so a ``decide`` callback may call any method. A callback that raises is
    logged; the other decisions are delivered.

    Args:
        rules: settings of overload control.
        limiter: what this VM may start.
        generator: random source for the spread of ``Retry-After``.
        usual_wait_s: returns a service's usual wait for a first byte, in seconds.

    .. versionadded:: 0.4
    """

    def __init__(
        self,
        rules: OverloadRules,
        limiter: StartLimiter,
        generator: random.Random,
        usual_wait_s: Callable[[str], float],
    ) -> None:
        self._rules = rules
        self._limiter = limiter
        self._usual_wait_s = usual_wait_s
        self._is_queueing = rules.enabled and rules.waiting_room
        self._room = WaitingRoom(rules, usual_wait_s)
        self._forecast = Forecast()
        self._returns = ReturnSequence(generator)
        self._undelivered: deque[tuple[Ticket, TurnDecision]] = deque()
        self._is_delivering = False
        # Time of the last check, from which the next one is due: it must not move with
        # each call of a method.
        self._checked_at = float("-inf")
        self._forecast_at = float("-inf")

    def submit(self, ticket: Ticket, now: float) -> TurnDecision:
        """Return START, WAIT or REFUSED for a new request, or one that was withdrawn.

        A WAIT is followed by exactly one call of the ticket's ``decide`` with START or
        REFUSED, unless it is withdrawn before.
        """
        service = ticket.service
        if not self._is_queueing or not (
            self._room.has_waiting(service) or self._limiter.is_busy(service, now)
        ):
            ticket.state = TicketState.DECIDED
            self._limiter.note_started(service, ticket.rank, now)
            self._note_started(ticket, False, now)
            return _STARTED
        ticket.state = TicketState.SUBMITTED
        ticket.decision = None
        ticket.submitted_at = now
        self._drop_expired(service, now)
        self._room.activate(ticket, now)
        ahead = self._estimate_newcomer(ticket, now)
        rule = self._admit(ticket, ahead, now)
        if rule is not None:
            self._refuse(ticket, rule, now, ticket.estimate_s, ahead)
        else:
            self._start_due(service, now)
        self._deliver()
        if ticket.decision is not None:
            return ticket.decision
        if ticket.state is TicketState.SUBMITTED:
            ticket.state = TicketState.WAITING
        return TurnDecision(Turn.WAIT, estimate_s=ticket.estimate_s, ahead=ahead)

    def withdraw(self, ticket: Ticket, now: float) -> None:
        """Remove a request whose caller disconnected; no decision follows."""
        ticket.state = TicketState.WITHDRAWN
        if self._undelivered:
            self._undelivered = deque(
                entry for entry in self._undelivered if entry[0] is not ticket
            )
        if self._room.remove(ticket):
            self._note_left(ticket, now)
            self._note_waiting(ticket.service, now)

    def note_ended(self, service: str, now: float) -> None:
        """Start what may start after a request of the service has ended."""
        if self._room.has_waiting(service):
            self._start_due(service, now)
            self._deliver()

    def pump(self, now: float) -> None:
        """Start and refuse every waiting request that is due."""
        self._checked_at = now
        is_forecast_due = (
            self._rules.early_rejection and now >= self._forecast_at + MAX_CHECK_S
        )
        if is_forecast_due:
            self._forecast_at = now
        for service in self._room.list_services():
            self._drop_expired(service, now)
            self._start_due(service, now)
            if is_forecast_due:
                self._refuse_hopeless(service, now)
        self._deliver()

    def find_next_check(self, now: float) -> float | None:
        """Return the event-loop time at which :meth:`pump` is due; None if empty."""
        if self._undelivered:
            return now
        due_at: float | None = None
        for service in self._room.list_services():
            waiting = self._room.list_waiting(service)
            rate = self._estimate_start_rate(service, waiting[0].rank, now)
            gap_s = 1 / (CHECKS_PER_START * rate)
            check_at = self._checked_at + min(max(gap_s, MIN_CHECK_S), MAX_CHECK_S)
            limit_at = min(ticket.limit_at for ticket in waiting)
            service_at = min(check_at, limit_at)
            due_at = service_at if due_at is None else min(due_at, service_at)
        return None if due_at is None else max(now, due_at)

    def describe(self, now: float) -> list[ServiceQueue]:
        """Return what waits, for each service with waiting requests."""
        queues = []
        for service in self._room.list_services():
            waiting = self._room.list_waiting(service)
            queues.append(
                ServiceQueue(
                    service=service,
                    by_rank=self._room.count_by_rank(service),
                    by_customer=dict(Counter(ticket.customer for ticket in waiting)),
                    size_bytes=sum(ticket.size_bytes for ticket in waiting),
                    oldest_wait_s=max(now - ticket.submitted_at for ticket in waiting),
                )
            )
        return queues

    def _estimate_newcomer(self, ticket: Ticket, now: float) -> int:
        """Set the estimated wait of a request that arrives; return how many are ahead.

        A request that will miss its target while it waits is placed and estimated as a
        late one: those of its customer that arrive later and are on time go before it.
        """
        service, rank = ticket.service, ticket.rank
        is_late = self._room.is_late(ticket, now)
        others = self._forecast.list_customers(service, rank)
        place = self._room.find_place(ticket, others, now)
        if place.ahead == 0 and self._limiter.may_start(service, rank, now):
            # It starts at once; a forecast of zero wait needs no correction.
            ticket.estimate_s = ticket.raw_estimate_s = 0.0
            ticket.raw_late_estimate_s = None
            return 0
        raw_s, estimate_s = self._estimate(ticket, place, is_late, now)
        ticket.raw_estimate_s = raw_s
        ticket.raw_late_estimate_s = raw_s if is_late else None
        if not is_late and self._room.is_late(ticket, now + estimate_s):
            place = self._room.find_place(ticket, others, now, is_late=True)
            raw_s, estimate_s = self._estimate(ticket, place, True, now)
            ticket.raw_late_estimate_s = raw_s
        ticket.estimate_s = estimate_s
        return place.ahead

    def _estimate(
        self, ticket: Ticket, place: Place, is_late: bool, now: float
    ) -> tuple[float, float]:
        """Return the estimate of a wait before and after the correction."""
        service, rank = ticket.service, ticket.rank
        raw_s = self._forecast.estimate_wait_s(
            ticket,
            ahead=place.ahead,
            shares_ahead=place.shares_ahead,
            start_rate_per_s=self._estimate_start_rate(service, rank, now),
            is_late=is_late,
            now=now,
        )
        return raw_s, self._forecast.correct(service, rank, is_late, raw_s, now)

    def _admit(self, ticket: Ticket, ahead: int, now: float) -> RefusalRule | None:
        """Start a request, add it to the queue, or return the rule to refuse it."""
        if self._rules.early_rejection and not self._has_less_urgent(ticket):
            usual_wait_s = self._usual_wait_s(ticket.service)
            first_byte_at = now + ticket.estimate_s + usual_wait_s
            if is_too_late(first_byte_at, ticket.limit_at):
                return RefusalRule.TOO_LATE
        is_first = ahead == 0 and ticket.limit_at > now
        if is_first and self._limiter.may_start(ticket.service, ticket.rank, now):
            # It needs no place in the queue, so it displaces nothing.
            self._start(ticket, now)
            return None
        displaced = self._room.choose_displaced(ticket, now)
        if displaced is None:
            return RefusalRule.ROOM_FULL
        if self._room.count == 0:
            self._checked_at = now
        for other in displaced:
            self._room.remove(other)
            self._refuse_waiting(other, RefusalRule.DISPLACED, now)
        self._room.add(ticket)
        for service in {ticket.service, *(other.service for other in displaced)}:
            self._note_waiting(service, now)
        return None

    def _has_less_urgent(self, ticket: Ticket) -> bool:
        """Return whether a less urgent request of the service waits.

        No forecast refuses a request then: an estimate that is too long would refuse an
        urgent request while a less urgent one starts later. If it is right, the less
        urgent ones are refused first.
        """
        counts = self._room.count_by_rank(ticket.service)
        return any(counts[ticket.rank + 1 :])

    def _start_due(self, service: str, now: float) -> None:
        """Start the first requests in the order, as long as the limiter allows."""
        while (rank := self._room.find_first_rank(service)) is not None:
            if not self._limiter.may_start(service, rank, now):
                break
            ticket = self._room.find_first(service, now)
            if ticket is None:
                break
            self._room.remove(ticket)
            if ticket.limit_at <= now:
                self._refuse_waiting(ticket, RefusalRule.EXPIRED, now)
            else:
                self._start(ticket, now)
            self._note_waiting(service, now)

    def _start(self, ticket: Ticket, now: float) -> None:
        self._limiter.note_started(ticket.service, ticket.rank, now)
        self._room.charge(ticket, now)
        waited_s = now - ticket.submitted_at
        is_late = self._room.is_late(ticket, now)
        self._note_started(ticket, is_late, now)
        is_late, raw_s = self._find_estimate(ticket, now)
        self._forecast.note_wait(
            ticket.service, ticket.rank, is_late, raw_s, waited_s, now
        )
        decision = TurnDecision(
            Turn.START, waited_s=waited_s, estimate_s=ticket.estimate_s
        )
        self._decide(ticket, decision)

    def _drop_expired(self, service: str, now: float) -> None:
        """Refuse waiting requests whose callers have given up, as after a stall."""
        expired = [
            ticket
            for ticket in self._room.list_waiting(service)
            if ticket.limit_at <= now
        ]
        for ticket in expired:
            self._room.remove(ticket)
            self._refuse_waiting(ticket, RefusalRule.EXPIRED, now)
        if expired:
            self._note_waiting(service, now)

    def _refuse_hopeless(self, service: str, now: float) -> None:
        """Refuse waiting requests that are forecast to start much too late.

        Only of the least urgent rank that waits; see :meth:`_has_less_urgent`.
        """
        usual_wait_s = self._usual_wait_s(service)
        ahead = 0
        is_changed = False
        counts = self._room.count_by_rank(service)
        for rank, count in enumerate(counts):
            if any(counts[rank + 1 :]):
                ahead += count
                continue
            if count == 0:
                continue
            # Requests of other customers that arrive later are left out: only a wait
            # that is too long without them is certain enough. So estimates grow
            # linearly with the requests ahead, and the limiter and the correction are
            # asked once for each rank, not for each request.
            start_rate = self._estimate_start_rate(service, rank, now)
            rate = self._forecast.measure_rate_left(service, rank, start_rate, now)
            on_time_ratio = self._forecast.correct(service, rank, False, 1.0, now)
            late_ratio = self._forecast.correct(service, rank, True, 1.0, now)
            rates_left: dict[tuple[str, bool, bool], float] = {}
            for ticket in self._room.list_order(service, rank, now):
                is_late = self._room.is_late(ticket, now)
                key = ticket.customer, is_late, ticket.returned
                rate_left = rates_left.get(key, 0.0)
                if not rate_left:
                    own_rate = self._forecast.measure_own_rate(ticket, is_late)
                    rate_left = max(rate - own_rate, MIN_RATE_SHARE * rate)
                    rates_left[key] = rate_left
                ratio = late_ratio if is_late else on_time_ratio
                estimate_s = ratio * (ahead + is_late) / rate_left
                if not is_hopeless(
                    now + estimate_s + usual_wait_s, ticket.limit_at, now
                ):
                    ahead += 1
                    continue
                spread_s = estimate_spread_s(estimate_s, start_rate, rate_left)
                earliest_s = max(0.0, estimate_s - EARLY_SPREADS * spread_s)
                first_byte_at = now + earliest_s + usual_wait_s
                if is_hopeless(first_byte_at, ticket.limit_at, now):
                    self._room.remove(ticket)
                    self._note_left(ticket, now)
                    rule = RefusalRule.TOO_LATE
                    self._refuse(ticket, rule, now, estimate_s, ahead)
                    is_changed = True
                else:
                    ahead += 1
        if is_changed:
            self._note_waiting(service, now)

    def _refuse_waiting(self, ticket: Ticket, rule: RefusalRule, now: float) -> None:
        """Refuse a request that was removed from the queue for no forecast."""
        self._note_left(ticket, now)
        ahead = sum(self._room.count_by_rank(ticket.service)[: ticket.rank + 1])
        estimate_s = self._estimate(ticket, Place(ahead, {}), True, now)[1]
        self._refuse(ticket, rule, now, estimate_s, ahead)

    def _refuse(
        self,
        ticket: Ticket,
        rule: RefusalRule,
        now: float,
        estimate_s: float,
        ahead: int,
    ) -> None:
        service, rank = ticket.service, ticket.rank
        start_rate = self._estimate_start_rate(service, rank, now)
        rate_left = self._forecast.measure_rate_left(service, rank, start_rate, now)
        # A request that has returned is not late, so its capacity is there sooner than
        # that for a late one.
        capacity_s = self._forecast.correct(
            service, rank, False, ahead / rate_left, now
        )
        retry_after_s = self._returns.choose_retry_after_s(
            service,
            rank,
            capacity_s=capacity_s,
            start_rate_per_s=rate_left,
            time_left_s=ticket.ends_at - now,
            now=now,
        )
        decision = TurnDecision(
            Turn.REFUSED,
            rule=rule,
            waited_s=now - ticket.submitted_at,
            estimate_s=estimate_s,
            ahead=ahead,
            retry_after_s=retry_after_s,
        )
        self._decide(ticket, decision)

    def _decide(self, ticket: Ticket, decision: TurnDecision) -> None:
        if ticket.state is TicketState.SUBMITTED:
            ticket.decision = decision
        else:
            self._undelivered.append((ticket, decision))
        ticket.state = TicketState.DECIDED

    def _deliver(self) -> None:
        """Call the callbacks of the decisions made; nested calls leave it to the first.

        So callbacks that cause further decisions are not nested in each other.
        """
        if self._is_delivering:
            return
        self._is_delivering = True
        try:
            while self._undelivered:
                ticket, decision = self._undelivered.popleft()
                try:
                    ticket.decide(decision)
                except Exception:
                    LOG.exception(
                        "the callback of a decision failed", extra={"step": "overload"}
                    )
        finally:
            self._is_delivering = False

    def _estimate_start_rate(self, service: str, rank: int, now: float) -> float:
        rate = self._limiter.estimate_start_rate(service, rank, now)
        return max(rate, MIN_START_RATE_PER_S)

    def _note_started(self, ticket: Ticket, is_late: bool, now: float) -> None:
        """Count a start for the rates from which waits are forecast."""
        share = measure_share(ticket.work, ticket.weight)
        self._forecast.note_started(ticket, share, is_late, now)

    def _note_left(self, ticket: Ticket, now: float) -> None:
        """Correct the forecast by a request that left without a start."""
        is_late, raw_s = self._find_estimate(ticket, now)
        waited_s = now - ticket.submitted_at
        self._forecast.note_left(
            ticket.service, ticket.rank, is_late, raw_s, waited_s, now
        )

    def _find_estimate(self, ticket: Ticket, now: float) -> tuple[bool, float]:
        """Return which estimate a wait until now tests, and its value in seconds.

        It is that for a late request only if it was made on arrival and the request is
        late by now: one that starts sooner was not overtaken as a late one.
        """
        if ticket.raw_late_estimate_s is not None and self._room.is_late(ticket, now):
            return True, ticket.raw_late_estimate_s
        return False, ticket.raw_estimate_s

    def _note_waiting(self, service: str, now: float) -> None:
        self._limiter.note_waiting(service, self._room.count_by_rank(service), now)
