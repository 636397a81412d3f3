"""Fair shares of a service's capacity among customers.

Load pattern: one customer sends 8 times its usual load, and the requests of the others
would wait behind its queue. Each customer has a virtual counter per service and rank,
which grows by work / weight with each request that starts; the customer with the lowest
counter is next. Counters are kept per service, because the work of different services
can't be compared. No I/O.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

DECAY_S = 10.0
"""Time constant in seconds with which a counter decays: earlier use counts less."""

MAX_COUNTERS = 1000
"""Maximum number of counters; those that grew least recently are dropped first."""

MIN_WORK = 1.0
"""Minimum work of a request: a request that states none still takes a slot."""


class FairShares:
    """Virtual counters of the customers of one service.

    .. versionadded:: 0.4
    """

    def __init__(self) -> None:
        # Value of the counter, shares of actual starts, and time of both.
        self._counters: dict[tuple[int, str], tuple[float, float, float]] = {}

    def measure_counter(self, rank: int, customer: str, now: float) -> float:
        """Return a customer's counter at a rank, decayed until now."""
        return self._measure(rank, customer, now)[0]

    def measure_use(self, rank: int, customer: str, now: float) -> float:
        """Return the shares of a customer's starts at a rank, decayed until now.

        The counter is no measure of that: it is raised when the customer was idle.
        """
        return self._measure(rank, customer, now)[1]

    def _measure(self, rank: int, customer: str, now: float) -> tuple[float, float]:
        counter = self._counters.get((rank, customer))
        if counter is None:
            return 0.0, 0.0
        value, use, at = counter
        factor = math.exp((at - now) / DECAY_S)
        return value * factor, use * factor

    def charge(
        self, rank: int, customer: str, work: float, weight: float, now: float
    ) -> None:
        """Increase a customer's counter by a request that starts."""
        value, use = self._measure(rank, customer, now)
        share = measure_share(work, weight)
        self._set(rank, customer, value + share, use + share, now)

    def activate(
        self, rank: int, customer: str, waiting: Iterable[str], now: float
    ) -> None:
        """Raise the counter of a customer that was idle and now has a request.

        It starts at the lowest counter of the customers that wait: time in which it
        sent nothing gives it no precedence over those that kept sending.

        Args:
            rank: the rank of the request.
            customer: the customer, none of whose requests wait at this rank.
            waiting: the customers of the requests that wait at this rank.
            now: current event-loop time.
        """
        counters = (self.measure_counter(rank, other, now) for other in waiting)
        lowest = min(counters, default=0.0)
        value, use = self._measure(rank, customer, now)
        if lowest > value:
            self._set(rank, customer, lowest, use, now)

    def _set(
        self, rank: int, customer: str, value: float, use: float, now: float
    ) -> None:
        self._counters.pop((rank, customer), None)
        self._counters[rank, customer] = value, use, now
        if len(self._counters) > MAX_COUNTERS:
            del self._counters[next(iter(self._counters))]


def measure_share(work: float, weight: float) -> float:
    """Return by how much a request increases the counter of its customer."""
    return max(MIN_WORK, work) / weight
