"""How long requests of a service stay at a backend server, and wait for its answer.

Owns moving means of the requests that this VM had answered. The rules on load use the
stay as the time in which a load report loses its worth, and the wait to tell a request
that a server keeps waiting from one that it works on. No I/O.
"""

from __future__ import annotations

FIRST_STAY_S = 1.0
"""Seconds that are taken before any answer: the order of a short chat's answer."""

FIRST_WAIT_S = 0.1
"""Seconds for a first byte that are taken before any answer: the order of a prompt that
must be read; a plain server takes a quarter of it."""

MOST_COUNTED = 10
"""Requests of a VM that decide a mean; the newest counts as one of so many."""

SHORTEST_S = 0.02
"""Seconds below which a mean is not taken: what VMs tell is no better known in time."""


class MovingMean:
    """The mean of a time, the newest ones counting most.

    Args:
        first_s: what is taken before any.
        first_weight: times that this counts as; at most as many as decide later.

    Attributes:
        mean_s: in seconds.

    .. versionadded:: 0.3
    """

    def __init__(self, first_s: float, first_weight: int = MOST_COUNTED) -> None:
        self.mean_s = first_s
        self._counted = first_weight

    def note(self, took_s: float) -> None:
        """Take one time, in seconds."""
        mean_s = self.mean_s + (took_s - self.mean_s) / self._counted
        self.mean_s = max(SHORTEST_S, mean_s)
        self._counted = min(MOST_COUNTED, self._counted + 1)


class ServiceTimes:
    """Times of one service's requests.

    Attributes:
        stay: from the choice of a server until its answer was whole.
        wait: from sending until the first byte of the answer.

    .. versionadded:: 0.3
    """

    def __init__(self) -> None:
        self.stay = MovingMean(FIRST_STAY_S)
        self.wait = MovingMean(FIRST_WAIT_S, first_weight=2)
