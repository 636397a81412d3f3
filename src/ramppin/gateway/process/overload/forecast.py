"""Forecast of the wait for a start, and the refusals that follow from it.

Load pattern: work that can't start before its caller disconnects, which would occupy
the queue and then a slot for nothing. Requests that arrive later and go first take part
of the start rate; how much is taken from recent starts. The forecast is corrected by
observed waits, since the start rate is known with a delay. No I/O.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ramppin.gateway.process.overload.ticket import RANKS

MIN_START_RATE_PER_S = 0.01
"""Minimum start rate per second, which keeps the forecast finite."""

MIN_RATE_SHARE = 0.02
"""Minimum share of the start rate that is left for a request, whatever goes first: the
measured rates vary by about that much."""

STARTS_DECAY_S = 4.0
"""Time constant in seconds of the measured rates of starts."""

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
class _RecentStarts:
    """Starts by rank, decayed until ``at``: those on time, and those already late."""

    on_time: list[float] = field(default_factory=lambda: [0.0] * RANKS)
    late: list[float] = field(default_factory=lambda: [0.0] * RANKS)
    at: float = float("-inf")

    def decay(self, now: float) -> None:
        """Decay the counts until now, or shortly before."""
        if now - self.at < DECAY_STEP_S:
            return
        factor = math.exp((self.at - now) / STARTS_DECAY_S)
        self.on_time = [count * factor for count in self.on_time]
        self.late = [count * factor for count in self.late]
        self.at = now

    def measure_rate(self, rank: int, is_late: bool) -> float:
        """Return the starts per second of the requests that go before others.

        These are the more urgent ones, and for a late request also those of its rank
        that start on time.
        """
        count = sum(self.on_time[:rank]) + sum(self.late[:rank])
        if is_late:
            count += self.on_time[rank]
        return count / STARTS_DECAY_S


class Forecast:
    """Estimates waits, by service, rank and whether the request will be late.

    Waits of late requests must not correct the estimates of those that are on time: a
    customer with many late requests would cause refusals of the others'.

    .. versionadded:: 0.4
    """

    def __init__(self) -> None:
        self._observed: dict[tuple[str, int, bool], _ObservedWaits] = {}
        self._starts: dict[str, _RecentStarts] = {}

    def estimate_wait_s(
        self,
        service: str,
        rank: int,
        *,
        ahead: int,
        start_rate_per_s: float,
        is_late: bool,
        now: float,
    ) -> float:
        """Return the estimate of a wait in seconds, before the correction.

        Args:
            service: name of the service.
            rank: rank of the request.
            ahead: requests ahead in this VM's admission queue.
            start_rate_per_s: starts per second that this VM can expect for that rank
                and more urgent ones.
            is_late: whether the request will miss its target, so that requests of its
                rank that arrive later and are on time go before it.
            now: current event-loop time.
        """
        taken = 0.0
        starts = self._starts.get(service)
        if starts is not None:
            starts.decay(now)
            taken = starts.measure_rate(rank, is_late)
        if is_late:
            # The next start left over by requests that are on time.
            ahead += 1
        rate = max(start_rate_per_s - taken, MIN_RATE_SHARE * start_rate_per_s)
        return ahead / max(rate, MIN_START_RATE_PER_S)

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

    def note_started(self, service: str, rank: int, is_late: bool, now: float) -> None:
        """Count a start, by whether the request is already late."""
        starts = self._starts.setdefault(service, _RecentStarts())
        starts.decay(now)
        counts = starts.late if is_late else starts.on_time
        counts[rank] += 1

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
