"""How long requests of a service stay at a backend server, and wait for its answer.

Owns moving means of the requests that this VM had answered. The rules on load use the
stay as the time in which a load report loses its worth, and the wait to tell a request
that a server keeps waiting from one that it works on. No I/O.
"""

from __future__ import annotations

INITIAL_STAY_S = 1.0
"""Seconds that are taken before any answer: the order of a short chat's answer."""

INITIAL_WAIT_S = 0.1
"""Seconds for a first byte that are taken before any answer: the order of a prompt that
must be read; a plain server takes a quarter of it."""

MAX_SAMPLE_WEIGHT = 10
"""Requests of a VM that decide a mean; the newest counts as one of so many."""

MIN_MEAN_S = 0.02
"""Seconds below which a mean is not taken: what VMs tell is no better known in time."""


class MovingMean:
    """The mean of a time, the newest ones counting most.

    Args:
        initial_s: what is taken before any.
        initial_weight: times that this counts as; at most as many as decide later.

    Attributes:
        mean_s: in seconds.

    .. versionadded:: 0.3
    """

    def __init__(
        self, initial_s: float, initial_weight: int = MAX_SAMPLE_WEIGHT
    ) -> None:
        self.mean_s = initial_s
        self._weight = initial_weight

    def note(self, duration_s: float) -> None:
        """Take one time, in seconds."""
        mean_s = self.mean_s + (duration_s - self.mean_s) / self._weight
        self.mean_s = max(MIN_MEAN_S, mean_s)
        self._weight = min(MAX_SAMPLE_WEIGHT, self._weight + 1)


class ServiceTimes:
    """Times of one service's requests.

    Attributes:
        stay: from the choice of a server until its answer was whole.
        wait: from sending until the first byte of the answer.

    .. versionadded:: 0.3
    """

    def __init__(self) -> None:
        self.stay = MovingMean(INITIAL_STAY_S)
        self.wait = MovingMean(INITIAL_WAIT_S, initial_weight=2)
