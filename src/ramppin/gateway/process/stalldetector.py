"""Detects stalls of this process by late ticks of its event loop.

When a process resumes after a stall of its machine or a suspension, its timers may run
before its reads, while received bytes are still in the sockets. All servers then seem
unresponsive. Code that treats missing bytes as a failure therefore checks here first.
Stores the times of the regular ticks. No I/O.
"""

from __future__ import annotations

STALL_S = 0.1
"""Delay of a tick in seconds from which the process counts as stalled: about the time
in which VMs report loads to each other. It counts as behind for as long afterwards,
while it reads what arrived."""

LONG_STALL_S = 1.0
"""Stall in seconds after which this VM's state may be out of date: servers may become
cold, leave or be evacuated in that time, and the other VMs already have that state."""

CATCH_UP_S = 0.2
"""Seconds after a long stall in which this VM reads what it missed: several round trips
to a peer."""


class StallDetector:
    """Detects stalls by the regular ticks of a process.

    Args:
        period_s: seconds from one tick to the next.

    .. versionadded:: 0.3
    """

    def __init__(self, period_s: float = 0.0) -> None:
        self._period_s = period_s
        self._due_at: float | None = None
        self._behind_until = float("-inf")
        self._caught_up_at = float("-inf")

    def note_tick(self, now: float) -> float:
        """Record a tick, and return its delay in seconds."""
        late_s = 0.0 if self._due_at is None else max(0.0, now - self._due_at)
        self._due_at = now + self._period_s
        if late_s >= STALL_S:
            self._behind_until = now + STALL_S
        if late_s >= LONG_STALL_S:
            self._caught_up_at = now + CATCH_UP_S
        return late_s

    def measure_catch_up_s(self, now: float) -> float:
        """Return for how many seconds to send nothing; 0 except after a long stall.

        Requests of callers accumulate during a stall. Forwarding them all at once, on
        outdated state, would overload servers and reach some that must get nothing.
        """
        if self._due_at is not None and now - self._due_at >= LONG_STALL_S:
            return CATCH_UP_S
        return max(0.0, self._caught_up_at - now)

    def is_behind(self, now: float) -> bool:
        """Return whether the process is stalled, or has not caught up on its reads."""
        if self._due_at is None:
            return False
        return now < self._behind_until or now - self._due_at >= STALL_S
