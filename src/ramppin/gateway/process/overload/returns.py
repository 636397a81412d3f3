"""Recognises returned requests, and computes when refused requests may return.

Load pattern: many callers that are refused at one moment and return at once. Their
returns are spread so that they arrive at the rate at which requests can start. A
returned request is recognised by its shorter deadline, since the protocol has no header
that a caller would send back, or by its fingerprint at the VM that refused it. No I/O.
"""

from __future__ import annotations

import math
import random

from ramppin.gateway.process.overload.forecast import MIN_START_RATE_PER_S
from ramppin.gateway.process.overload.ticket import RANKS

MIN_RETRY_AFTER_S = 0.1
"""Minimum of ``Retry-After`` in seconds: long enough for a start or two."""

MAX_TIME_SHARE = 1 / 3
"""Maximum of ``Retry-After`` as a share of the time left. Callers honour no more."""

EVEN_STEP = 0.618034
"""Step between two points of a sequence that covers [0, 1) evenly at any length (the
golden ratio's fraction). Random points form clusters, in
which requests refused at one moment would return together again."""

SPREAD_SHARE = 0.5
"""Share of the maximum over which returns are spread that fit no place in the sequence:
callers refused at the same moment must not return at the same moment."""

DEADLINE_WINDOW_S = 60.0
"""Time in seconds for which the longest deadline of a route is remembered."""

DEADLINE_BUCKET_S = 5.0
"""Resolution in seconds of that time."""

DEADLINE_SHARE = 0.02
"""Share by which a returned request's deadline is shorter than the longest one."""

DEADLINE_GAP_S = 0.05
"""Time in seconds by which it is shorter at least."""

MAX_ROUTES = 1000
"""Maximum number of routes whose longest deadline is remembered."""

REFUSED_S = 30.0
"""Time in seconds for which the fingerprint of a refused request is remembered."""

MAX_REFUSED = 4096
"""Maximum number of these fingerprints; the oldest are dropped first."""


class ReturnSequence:
    """Places of refused requests in the sequence in which they return.

    Args:
        generator: random source.

    .. versionadded:: 0.4
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._point = generator.random()
        self._next_at: dict[str, list[float]] = {}

    def choose_retry_after_s(
        self,
        service: str,
        rank: int,
        *,
        capacity_s: float,
        start_rate_per_s: float,
        time_left_s: float,
        now: float,
    ) -> float:
        """Return the value of ``Retry-After`` in seconds for a refused request.

        Args:
            service: name of the service.
            rank: rank of the request.
            capacity_s: seconds until capacity is expected for that rank.
            start_rate_per_s: starts per second that this VM can expect for that rank
                and more urgent ones.
            time_left_s: seconds until the request's time limit.
            now: current event-loop time.
        """
        most_s = max(0.0, MAX_TIME_SHARE * time_left_s)
        if most_s <= MIN_RETRY_AFTER_S:
            return most_s
        next_at = self._next_at.setdefault(service, [now] * RANKS)
        place_at = max(now + capacity_s, *next_at[: rank + 1])
        gap_s = 1 / max(start_rate_per_s, MIN_START_RATE_PER_S)
        pause_s = place_at - now + gap_s * self._generator.random()
        if pause_s > most_s:
            least_s = max(MIN_RETRY_AFTER_S, SPREAD_SHARE * most_s)
            self._point = (self._point + EVEN_STEP) % 1
            return least_s + self._point * (most_s - least_s)
        next_at[rank] = place_at + gap_s
        return max(MIN_RETRY_AFTER_S, pause_s)


class _LongestDeadline:
    """Longest deadline of one route, in seconds, by interval of the last minute."""

    __slots__ = ("_longest_s",)

    def __init__(self) -> None:
        self._longest_s: dict[int, float] = {}

    def note(self, deadline_s: float, now: float) -> float:
        """Add a deadline; return the longest one of the last minute."""
        bucket = int(now // DEADLINE_BUCKET_S)
        known_s = self._longest_s.get(bucket)
        if known_s is None:
            first = bucket - int(DEADLINE_WINDOW_S / DEADLINE_BUCKET_S)
            for old in [old for old in self._longest_s if old <= first]:
                del self._longest_s[old]
        if known_s is None or deadline_s > known_s:
            self._longest_s[bucket] = deadline_s
        return max(self._longest_s.values())


class ReturnDetector:
    """Recognises requests that repeat a refused one, without state of other VMs.

    .. versionadded:: 0.4
    """

    def __init__(self) -> None:
        self._deadlines: dict[str, _LongestDeadline] = {}
        self._refused: dict[int, float] = {}

    def is_returned(
        self, route: str, deadline_s: float | None, fingerprint: int, now: float
    ) -> bool:
        """Return whether a request repeats a refused one, and record its deadline.

        Args:
            route: name of the route.
            deadline_s: the caller's deadline in seconds; None if it sent none.
            fingerprint: hash of the request, the same each time that it is sent.
            now: current event-loop time.
        """
        is_short = self._is_short(route, deadline_s, now)
        refused_at = self._refused.get(fingerprint)
        return is_short or (refused_at is not None and now - refused_at <= REFUSED_S)

    def note_refused(self, fingerprint: int, now: float) -> None:
        """Record a request that this VM refused."""
        self._refused.pop(fingerprint, None)
        self._refused[fingerprint] = now
        if len(self._refused) > MAX_REFUSED:
            del self._refused[next(iter(self._refused))]

    def _is_short(self, route: str, deadline_s: float | None, now: float) -> bool:
        if deadline_s is None or not (0 < deadline_s < math.inf):
            return False
        deadlines = self._deadlines.get(route)
        if deadlines is None:
            if len(self._deadlines) >= MAX_ROUTES:
                del self._deadlines[next(iter(self._deadlines))]
            deadlines = self._deadlines[route] = _LongestDeadline()
        longest_s = deadlines.note(deadline_s, now)
        return longest_s - deadline_s > max(DEADLINE_SHARE * longest_s, DEADLINE_GAP_S)
