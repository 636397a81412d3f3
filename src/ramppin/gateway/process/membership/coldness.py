"""Whether a backend server is cold, and for how much longer.

A server that has just started, or was cleared, accepts few requests for some time. Its
entry states for how long. Where a cold server is likely but its entry has not been read
yet, coldness is assumed. No I/O.
"""

from __future__ import annotations

NEVER = float("-inf")
"""Event-loop time of an event that has not happened."""


class ServerColdness:
    """Cold period of one server.

    Attributes:
        until: event-loop time at which the cold period ends.

    .. versionadded:: 0.3
    """

    def __init__(self) -> None:
        self.until = NEVER

    def is_cold(self, now: float) -> bool:
        """Return whether the server is cold."""
        return now < self.until

    def measure_remaining_s(self, now: float) -> float:
        """Return the remaining cold period in seconds."""
        return max(0.0, self.until - now)

    def apply_entry(self, remaining_s: float, now: float) -> bool:
        """Apply the server's newest entry; return whether the server became cold.

        The period counts from when this VM reads the entry, so it is overestimated
        rather than underestimated.

        Args:
            remaining_s: remaining cold period in seconds.
            now: event-loop time.
        """
        was_cold = self.is_cold(now)
        self.until = now + remaining_s if remaining_s > 0 else NEVER
        return remaining_s > 0 and not was_cold

    def assume_cold(self, cold_s: float, now: float) -> None:
        """Treat the server as cold until its entry is read or a period has passed.

        Args:
            cold_s: cold period in seconds after a start, for servers of this service.
            now: event-loop time.
        """
        self.until = max(self.until, now + cold_s)
