"""Limit of a service whose servers state neither slots nor load.

Load pattern: plain servers that accept a few requests at once, reject more, and report
nothing. The limit is found by additive increase and multiplicative decrease (D.-M. Chiu
and R. Jain, "Analysis of the increase and decrease algorithms for congestion avoidance
in computer networks", Computer Networks and ISDN Systems 17, 1989). Each VM applies it
to the outcomes of its own requests. No I/O.
"""

from __future__ import annotations

from ramppin.gateway.process.load.times import MovingMean

INITIAL_PER_SERVER = 8.0
"""Initial limit for each server in requests, in the order of a plain server's slots."""

MIN_LIMIT = 1.0
"""Minimum limit in requests: without requests nothing could be learned."""

DECREASE = 0.8
"""Factor that a rejection or a high latency applies. If one VM of many decreases, the
others still use the capacity; a lower factor leaves slots idle for longer, since the
limit grows by single requests."""

DECREASE_PAUSE_S = 0.25
"""Minimum seconds between two decreases, and at least a usual answer's time: requests
that were sent before the decrease took effect are rejected as well."""

LATENCY_RATIO = 2.0
"""Multiple of the usual time of an answer above which the servers are overloaded. Times
within a service vary by less where servers do not batch."""

USUAL_GROWTH = 1.01
"""Factor by which each slower answer raises the usual time, so that a service that has
become slower for another reason is not limited for good."""


class LearnedLimit:
    """Limit of one service, learned from answers and rejections.

    Args:
        initial: limit in requests before anything is learned.

    Attributes:
        limit: requests that the service's servers may hold.

    .. versionadded:: 0.3
    """

    def __init__(self, initial: float) -> None:
        self.limit = max(MIN_LIMIT, initial)
        self._recent: MovingMean | None = None
        self._usual_s = 0.0
        self._decreased_at = float("-inf")

    def note_answered(self, took_s: float, now: float, *, is_needed: bool) -> None:
        """Record an answer.

        The limit grows by one for each limit's worth of good answers, since each probe
        of a higher limit is a real request.

        Args:
            took_s: seconds from sending the request to the end of its answer.
            now: event-loop time.
            is_needed: whether demand reaches the limit; without it nothing is learned
                about a higher one.
        """
        if self._recent is None:
            self._recent = MovingMean(took_s)
            self._usual_s = self._recent.mean_s
        self._recent.note(took_s)
        self._usual_s = min(self._recent.mean_s, self._usual_s * USUAL_GROWTH)
        if self._recent.mean_s > LATENCY_RATIO * self._usual_s:
            self._decrease(now)
        elif is_needed:
            self.limit += 1 / self.limit

    def note_rejected(self, now: float) -> None:
        """Record a rejection: a server refused a request without running it."""
        self._decrease(now)

    def _decrease(self, now: float) -> None:
        if now - self._decreased_at < max(DECREASE_PAUSE_S, self._usual_s):
            return
        self._decreased_at = now
        self.limit = max(MIN_LIMIT, self.limit * DECREASE)
