"""Forecast of the wait for a start, and the refusals that follow from it.

Load pattern: work that can't start before its caller disconnects, which would occupy
the queue and then a slot for nothing. Requests that arrive later and go first take part
of the start rate; how much is taken from recent starts. The forecast is corrected by
observed waits, since the start rate is known with a delay. No I/O.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from ramppin.gateway.process.overload.fairness import MAX_COUNTERS
from ramppin.gateway.process.overload.ticket import RANKS, Ticket

MIN_START_RATE_PER_S = 0.01
"""Minimum start rate per second, which keeps the forecast finite."""

MIN_RATE_SHARE = 0.02
"""Minimum share of the start rate that is left for a request, whatever goes first: a
smaller rest is within the error of the rates."""

STARTS_DECAY_S = 4.0
"""Time constant in seconds of the measured rates of starts."""

MIN_STARTS = 0.01
"""Decayed starts under which a customer's rate is forgotten."""

MIN_SEEN_S = 0.2
"""Minimum time in seconds over which starts are counted as a rate."""

DECAY_STEP_S = 0.1
"""Time in seconds between two decays of the counted starts. It keeps the cost of a
request that skips the queue low, at an error of 5 % of the rates."""

MIN_SAMPLE_S = 0.05
"""Minimum estimate in seconds that is compared with the actual wait: below, the actual
wait is that for the next check of the queue."""

CORRECTION_DECAY_S = 3.0
"""Time constant in seconds of the observed waits. A correction from an overload that
has ended must not refuse requests of the next one."""

CORRECTION_PRIOR_S = 1.0
"""Waits in seconds that count as estimated correctly before any was observed."""

MIN_CORRECTION = 0.25
"""Minimum ratio of actual to estimated waits."""

MAX_CORRECTION = 4.0
"""Maximum ratio of actual to estimated waits."""

EARLY_SPREADS = 1.0
"""Standard deviations that are subtracted from the estimated wait of a request that
waits: a burst of more urgent requests must not refuse it."""

GIVE_UP_SHARE = 0.5
"""Share of the time left by which the forecast of a waiting request must exceed its
limit before it is refused: a forecast that varies must not refuse it."""


@dataclass(slots=True)
class _ObservedWaits:
    """Sums of actual and estimated waits in seconds, decayed until ``at``."""

    actual_s: float = 0.0
    estimated_s: float = 0.0
    at: float = float("-inf")

    def decay(self, now: float) -> None:
        """Decay both sums until now."""
        factor = math.exp((self.at - now) / CORRECTION_DECAY_S)
        self.actual_s *= factor
        self.estimated_s *= factor
        self.at = now


@dataclass(slots=True)
class _CustomerStarts:
    """Decayed starts of one customer at a rank."""

    returned: float = 0.0
    on_time: float = 0.0
    all: float = 0.0
    shares: float = 0.0

    def decay(self, factor: float) -> None:
        """Multiply all sums by a factor."""
        self.returned *= factor
        self.on_time *= factor
        self.all *= factor
        self.shares *= factor


@dataclass(slots=True)
class _RecentStarts:
    """Starts of a service by rank and customer, decayed until ``at``.

    ``since`` is the time of the first one: a rate that assumed none before it would be
    too low in the first seconds of an overload.
    """

    by_rank: list[float] = field(default_factory=lambda: [0.0] * RANKS)
    customers: dict[tuple[int, str], _CustomerStarts] = field(default_factory=dict)
    at: float = float("-inf")
    since: float = float("-inf")

    def decay(self, now: float) -> None:
        """Decay the counts until now, or shortly before."""
        if now - self.at < DECAY_STEP_S:
            return
        factor = math.exp((self.at - now) / STARTS_DECAY_S)
        self.by_rank = [count * factor for count in self.by_rank]
        for key, starts in list(self.customers.items()):
            starts.decay(factor)
            if starts.all < MIN_STARTS:
                del self.customers[key]
        self.at = now
        if sum(self.by_rank) < MIN_STARTS:
            self.since = now

    def compute_rate(self, count: float) -> float:
        """Return a decayed count as starts per second."""
        seen_s = max(self.at - self.since, MIN_SEEN_S)
        return count / (STARTS_DECAY_S * -math.expm1(-seen_s / STARTS_DECAY_S))

    def note(self, ticket: Ticket, share: float, is_late: bool) -> None:
        """Count a start."""
        rank, customer = ticket.rank, ticket.customer
        self.by_rank[rank] += 1
        starts = self.customers.get((rank, customer))
        if starts is None:
            if len(self.customers) >= MAX_COUNTERS:
                return
            starts = self.customers[rank, customer] = _CustomerStarts()
        starts.all += 1
        starts.on_time += not is_late
        starts.returned += ticket.returned
        starts.shares += share


class Forecast:
    """Estimates waits, by service, rank and whether the request will be late.

    Waits of late requests must not correct the estimates of those that are on time: a
    customer with many late requests would cause refusals of the others'.

    .. versionadded:: 0.4
    """

    def __init__(self) -> None:
        self._observed: dict[tuple[str, int, bool], _ObservedWaits] = {}
        self._starts: dict[str, _RecentStarts] = {}

    def list_customers(self, service: str, rank: int) -> list[str]:
        """Return the customers with recent starts at a rank."""
        starts = self._starts.get(service)
        if starts is None:
            return []
        return [customer for other, customer in starts.customers if other == rank]

    def measure_rate_left(
        self, service: str, rank: int, start_rate_per_s: float, now: float
    ) -> float:
        """Return the starts per second that more urgent ranks leave."""
        starts = self._starts.get(service)
        if starts is None:
            return start_rate_per_s
        starts.decay(now)
        taken = starts.compute_rate(sum(starts.by_rank[:rank]))
        return max(start_rate_per_s - taken, MIN_RATE_SHARE * start_rate_per_s)

    def measure_own_rate(self, ticket: Ticket, is_late: bool) -> float:
        """Return the starts per second of its customer that go before a request.

        Requests that have returned end earlier and go before others; before a late one
        those on time go, too.
        """
        starts = self._starts.get(ticket.service)
        if starts is None or ticket.returned:
            return 0.0
        found = starts.customers.get((ticket.rank, ticket.customer))
        if found is None:
            return 0.0
        return starts.compute_rate(found.on_time if is_late else found.returned)

    def estimate_wait_s(
        self,
        ticket: Ticket,
        *,
        ahead: int,
        shares_ahead: Mapping[str, float],
        start_rate_per_s: float,
        is_late: bool,
        now: float,
    ) -> float:
        """Return the estimate of a wait in seconds, before the correction.

        Args:
            ticket: the request.
            ahead: requests ahead in this VM's admission queue.
            shares_ahead: by customer, the shares by which requests that arrive later
                may go before it.
            start_rate_per_s: starts per second that this VM can expect for that rank
                and more urgent ones.
            is_late: whether the request will miss its target, so that requests of its
                customer that arrive later and are on time go before it.
            now: current event-loop time.
        """
        service, rank = ticket.service, ticket.rank
        rate = self.measure_rate_left(service, rank, start_rate_per_s, now)
        if is_late:
            # The next start left over by requests that are on time.
            ahead += 1
        # Later requests of another customer go first at the rate of its recent starts,
        # until its counter has reached the request's. While the wait grows, customer
        # after customer reaches that point, the one with the least time first.
        overtakers: list[tuple[float, float, float]] = []
        starts = self._starts.get(service)
        for other, shares in shares_ahead.items():
            if shares <= 0 or starts is None or (rank, other) not in starts.customers:
                continue
            found = starts.customers[rank, other]
            count = found.all
            if math.isinf(shares):
                count = found.on_time if is_late else found.returned
            per_s = starts.compute_rate(count)
            most = shares * found.all / found.shares
            if per_s > 0:
                overtakers.append((most / per_s, most, per_s))
        overtakers.sort()
        first = float(ahead)
        rate_left = rate - sum(per_s for _, _, per_s in overtakers)
        least = max(MIN_RATE_SHARE * start_rate_per_s, MIN_START_RATE_PER_S)
        for until_s, most, per_s in overtakers:
            if rate_left > least and first / rate_left <= until_s:
                break
            if math.isinf(most):
                break
            first += most
            rate_left += per_s
        return first / max(rate_left, least)

    def correct(
        self, service: str, rank: int, is_late: bool, raw_s: float, now: float
    ) -> float:
        """Return an estimate in seconds, corrected by observed waits."""
        observed = self._observed.get((service, rank, is_late))
        if observed is None:
            return raw_s
        observed.decay(now)
        actual_s = observed.actual_s + CORRECTION_PRIOR_S
        ratio = actual_s / (observed.estimated_s + CORRECTION_PRIOR_S)
        return raw_s * min(max(ratio, MIN_CORRECTION), MAX_CORRECTION)

    def note_started(
        self, ticket: Ticket, share: float, is_late: bool, now: float
    ) -> None:
        """Count a start, by customer and whether the request is already late."""
        starts = self._starts.get(ticket.service)
        if starts is None:
            starts = self._starts[ticket.service] = _RecentStarts()
        starts.decay(now)
        starts.note(ticket, share, is_late)

    def note_wait(
        self,
        service: str,
        rank: int,
        is_late: bool,
        raw_s: float,
        waited_s: float,
        now: float,
    ) -> None:
        """Record the wait of a request that starts.

        Args:
            service: name of the service.
            rank: rank of the request.
            is_late: whether the estimate was that for a late request.
            raw_s: its estimate on arrival in seconds, before the correction.
            waited_s: its actual wait in seconds.
            now: current event-loop time.
        """
        if raw_s >= MIN_SAMPLE_S:
            observed = self._observe(service, rank, is_late, now)
            observed.actual_s += waited_s
            observed.estimated_s += raw_s

    def note_left(
        self,
        service: str,
        rank: int,
        is_late: bool,
        raw_s: float,
        waited_s: float,
        now: float,
    ) -> None:
        """Record a request that left the queue without a start.

        Only its wait so far counts, as for censored samples of an exponential
        distribution. Without these, only those that happened to start early would be
        counted, and the estimate would be corrected to a fraction of the true wait.
        """
        if raw_s >= MIN_SAMPLE_S:
            self._observe(service, rank, is_late, now).actual_s += waited_s

    def _observe(
        self, service: str, rank: int, is_late: bool, now: float
    ) -> _ObservedWaits:
        """Return the observed waits of a kind of request, decayed until now."""
        observed = self._observed.setdefault((service, rank, is_late), _ObservedWaits())
        observed.decay(now)
        return observed


def estimate_spread_s(
    estimate_s: float, start_rate_per_s: float, rate_left_per_s: float
) -> float:
    """Return how much a wait varies because of requests that arrive later and go first.

    Their arrivals vary like a Poisson process: by the square root of their number
    during the wait. The result is a standard deviation in seconds.

    Args:
        estimate_s: the estimated wait in seconds.
        start_rate_per_s: starts per second that this VM can expect.
        rate_left_per_s: those that are left by requests that arrive later and go first.
    """
    taken_per_s = max(0.0, start_rate_per_s - rate_left_per_s)
    return math.sqrt(taken_per_s * estimate_s) / rate_left_per_s


def is_too_late(first_byte_at: float, limit_at: float) -> bool:
    """Return whether a request that arrives is refused by its forecast.

    Args:
        first_byte_at: event-loop time at which its first byte is expected.
        limit_at: event-loop time after which a first byte is of no use to the caller.
    """
    return first_byte_at > limit_at


def is_hopeless(first_byte_at: float, limit_at: float, now: float) -> bool:
    """Return whether a waiting request is refused by its forecast.

    Args:
        first_byte_at: event-loop time at which its first byte is expected.
        limit_at: event-loop time after which a first byte is of no use to the caller.
        now: current event-loop time.
    """
    return first_byte_at > limit_at + GIVE_UP_SHARE * max(0.0, limit_at - now)
