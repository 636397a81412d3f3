"""Whether a backend server is cold, and for how much longer.

A server that has just started, or was cleared, takes few requests for a while. Its
entry tells for how long; where that is likely but not known yet, it is supposed. Does
no I/O.
"""

from __future__ import annotations

NEVER = float("-inf")
"""The loop's time of what has not happened."""


class ServerColdness:
    """What is known of one server's cold time.

    Attributes:
        until: the loop's time at which it is warm.

    .. versionadded:: 0.3
    """

    def __init__(self) -> None:
        self.until = NEVER

    def is_cold(self, now: float) -> bool:
        """Return whether the server is cold."""
        return now < self.until

    def measure_remaining_s(self, now: float) -> float:
        """Return for how many seconds the server is still cold."""
        return max(0.0, self.until - now)

    def apply_entry(self, remaining_s: float, now: float) -> bool:
        """Take what the server's newest entry tells; return whether it turned cold.

        Counted from when this VM reads it, so longer than it lasts, not shorter.

        Args:
            remaining_s: seconds for which it is still cold.
            now: the loop's time.
        """
        was_cold = self.is_cold(now)
        self.until = now + remaining_s if remaining_s > 0 else NEVER
        return remaining_s > 0 and not was_cold

    def assume_cold(self, cold_s: float, now: float) -> None:
        """Take a server for cold until its entry tells otherwise, or a time is over.

        Args:
            cold_s: seconds for which a server of its service is cold after a start.
            now: the loop's time.
        """
        self.until = max(self.until, now + cold_s)
