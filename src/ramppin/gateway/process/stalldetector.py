"""Whether this process gets its turns, or has just stalled.

A process whose machine stalls, or that is stopped, finds when it goes on that no server
has sent anything for long: its timers may run before its reads, while the bytes lie in
the sockets. Nothing may be concluded from silence then. Owns the times of the
process's regular turns; who judges silence asks here. No I/O.
"""

from __future__ import annotations

STALL_S = 0.1
"""Seconds by which a turn is late from which on a process counts as stalled: about the
time in which VMs tell each other loads. For as long it then reads what came since."""

LONG_STALL_S = 1.0
"""Seconds of a stall after which what this VM knows may be out of date: servers turn
cold, leave or are emptied in that time, and the others know it."""

CATCH_UP_S = 0.2
"""Seconds after a long stall in which this VM reads what it missed: some ways to a peer
and back."""


class StallDetector:
    """The regular turns of a process.

    Args:
        period_s: seconds from the end of one turn to the next.

    .. versionadded:: 0.3
    """

    def __init__(self, period_s: float = 0.0) -> None:
        self._period_s = period_s
        self._due_at: float | None = None
        self._behind_until = float("-inf")
        self._caught_up_at = float("-inf")

    def note_tick(self, now: float) -> float:
        """Note a turn, and return by how many seconds it is late."""
        late_s = 0.0 if self._due_at is None else max(0.0, now - self._due_at)
        self._due_at = now + self._period_s
        if late_s >= STALL_S:
            self._behind_until = now + STALL_S
        if late_s >= LONG_STALL_S:
            self._caught_up_at = now + CATCH_UP_S
        return late_s

    def measure_catch_up_s(self, now: float) -> float:
        """Return for how many seconds nothing should be sent: 0 but after a long stall.

        A VM that wakes finds what its callers sent meanwhile; sent on at one moment, by
        what it knew before, that overruns servers and reaches those that must get
        nothing.
        """
        if self._due_at is not None and now - self._due_at >= LONG_STALL_S:
            return CATCH_UP_S
        return max(0.0, self._caught_up_at - now)

    def is_behind(self, now: float) -> bool:
        """Return whether the process has stalled, or has not read all since it did."""
        if self._due_at is None:
            return False
        return now < self._behind_until or now - self._due_at >= STALL_S
