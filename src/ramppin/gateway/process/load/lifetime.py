"""How long requests of a service stay at a backend server.

Owns a moving mean of the requests that this VM had answered; the rules on load use it
as the time in which a load report loses its worth. No I/O.
"""

from __future__ import annotations

FIRST_LIFETIME_S = 1.0
"""Seconds that are taken before any answer: the order of a short chat's answer."""

NEWEST_WEIGHT = 0.1
"""Weight of the newest request in the mean: some ten requests of a VM decide."""

SHORTEST_LIFETIME_S = 0.02
"""Seconds below which the mean is not taken: the age of a report is no better known."""


class RequestLifetime:
    """The mean time that requests of one service stay at a server.

    Attributes:
        mean_s: in seconds.

    .. versionadded:: 0.3
    """

    def __init__(self) -> None:
        self.mean_s = FIRST_LIFETIME_S

    def note_ended(self, stayed_s: float) -> None:
        """Take how long an answered request stayed, in seconds."""
        mean_s = self.mean_s + NEWEST_WEIGHT * (stayed_s - self.mean_s)
        self.mean_s = max(SHORTEST_LIFETIME_S, mean_s)
