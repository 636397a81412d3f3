"""Forecast of the wait for a start, and the refusals that follow from it.

Load pattern: work that can't start before its caller disconnects, which would occupy
the queue and then a slot for nothing. The forecast is corrected by observed waits: the
start rate is known with a delay, and more urgent requests that arrive later go first.
No I/O.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MIN_START_RATE_PER_S = 0.01
"""Minimum start rate per second, which keeps the forecast finite."""

MIN_SAMPLE_S = 0.05
"""Minimum estimate in seconds that is compared with the actual wait: below, the actual
wait is that for the next check of the queue."""

CORRECTION_DECAY_S = 3.0
"""Time constant in seconds of the observed waits. A correction from an overload that
has ended must not refuse requests of the next one."""

CORRECTION_PRIOR_S = 0.5
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


class Forecast:
    """Estimates waits, by service and rank.

    .. versionadded:: 0.4
    """

    def __init__(self) -> None:
        self._observed: dict[tuple[str, int], _ObservedWaits] = {}

    def correct(self, service: str, rank: int, raw_s: float, now: float) -> float:
        """Return an estimate in seconds, corrected by observed waits."""
        observed = self._observed.get((service, rank))
        if observed is None:
            return raw_s
        observed.decay(now)
        actual_s = observed.actual_s + CORRECTION_PRIOR_S
        ratio = actual_s / (observed.estimated_s + CORRECTION_PRIOR_S)
        return raw_s * min(max(ratio, MIN_CORRECTION), MAX_CORRECTION)

    def note_started(
        self, service: str, rank: int, raw_s: float, waited_s: float, now: float
    ) -> None:
        """Record the wait of a request that starts.

        Args:
            service: name of the service.
            rank: rank of the request.
            raw_s: its estimate on arrival in seconds, before the correction.
            waited_s: its actual wait in seconds.
            now: current event-loop time.
        """
        if raw_s < MIN_SAMPLE_S:
            return
        observed = self._observed.setdefault((service, rank), _ObservedWaits())
        observed.decay(now)
        observed.actual_s += waited_s
        observed.estimated_s += raw_s

    def note_left(
        self, service: str, rank: int, raw_s: float, waited_s: float, now: float
    ) -> None:
        """Record a request that left the queue without a start.

        Its wait would have been longer, so it counts only if it already exceeds the
        estimate. Without these, an estimate far too low would never be corrected:
        nobody who waits that long is still there at the start.
        """
        if waited_s > raw_s:
            self.note_started(service, rank, raw_s, waited_s, now)


def estimate_wait_s(ahead: int, start_rate_per_s: float) -> float:
    """Return the uncorrected estimate of a wait in seconds.

    Args:
        ahead: requests ahead in this VM's admission queue.
        start_rate_per_s: starts per second that this VM can expect.
    """
    return ahead / max(start_rate_per_s, MIN_START_RATE_PER_S)


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
