"""Times for which requests of a service stay at a backend server and wait for a byte.

Holds moving means over the answered requests of this VM. The load rules use the stay as
the time constant with which a load report loses weight, and the wait to distinguish
overdue requests from those that the server is processing. No I/O.
"""

from __future__ import annotations

from ramppin.gateway.process.load.speed import UsualTimes

INITIAL_STAY_S = 1.0
"""Initial mean stay in seconds, in the order of the answer to a short chat."""

INITIAL_WAIT_S = 0.1
"""Initial mean wait for a first byte in seconds, in the order of a prompt that must be
processed; a plain server takes a quarter of it."""

MAX_SAMPLE_WEIGHT = 10
"""Number of samples that determine a mean: the newest one counts as one of them."""

MIN_MEAN_S = 0.02
"""Minimum of a mean in seconds: reports by peers are no more precise in time."""


class MovingMean:
    """Moving mean of durations, with the highest weight on the newest ones.

    Args:
        initial_s: the mean before the first sample, in seconds.
        initial_weight: number of samples that this counts as, at most
            :data:`MAX_SAMPLE_WEIGHT`.

    Attributes:
        mean_s: the mean in seconds.

    .. versionadded:: 0.3
    """

    def __init__(
        self, initial_s: float, initial_weight: int = MAX_SAMPLE_WEIGHT
    ) -> None:
        self.mean_s = initial_s
        self._weight = initial_weight

    def note(self, duration_s: float) -> None:
        """Add one sample, in seconds."""
        mean_s = self.mean_s + (duration_s - self.mean_s) / self._weight
        self.mean_s = max(MIN_MEAN_S, mean_s)
        self._weight = min(MAX_SAMPLE_WEIGHT, self._weight + 1)


class ServiceTimes:
    """Times of one service's requests.

    Attributes:
        stay: time from the choice of a server until its answer was complete.
        wait: time from sending until the first byte of the answer.
        usual: usual times of answers, with which a server's speed is compared.

    .. versionadded:: 0.3
    """

    def __init__(self) -> None:
        self.stay = MovingMean(INITIAL_STAY_S)
        self.wait = MovingMean(INITIAL_WAIT_S, initial_weight=2)
        self.usual = UsualTimes()
