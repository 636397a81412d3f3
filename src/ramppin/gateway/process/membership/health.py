"""Whether a backend server is healthy, by what its answers showed.

No probes are sent: each has a price, and health answers may be false. A server
with bad evidence is ejected for a while and comes back by itself; the next
requests show whether it is healthy. A server that owes an answer and sends
nothing is unresponsive until a byte comes. Either makes it suspect: others are
preferred, and it is used if none is left.

"""

from __future__ import annotations

from enum import Enum

from ramppin.gateway.process.stalldetector import StallDetector

FAILURE_WEIGHT = 0.25
"""Weight of the newest outcome in the moving failure rate, from 0 to 1."""

FAILURE_LIMIT = 0.45
"""Failure rate above which a server is ejected: three failures in a row reach it."""

RETURN_FAILURE_RATE = 0.3
"""Failure rate with which a server comes back: one more failure ejects it again."""

FIRST_EJECTION_S = 0.5
"""Seconds of a first ejection; doubled each time until a request is answered."""

MAX_EJECTION_S = 4.0
"""Seconds of the longest ejection."""

BUSY_EJECTION_S = 0.15
"""Seconds for which a server that rejected a request is ejected: it is full, not
broken."""

UNRESPONSIVE_AFTER_S = 0.8
"""Seconds without a byte, an answer being due, after which a server is unresponsive:
a request that another server can still answer must not wait until its deadline."""


class Outcome(Enum):
    """What one request showed about a backend server."""

    ANSWERED = "answered"
    FAILED = "failed"
    REJECTED = "rejected"
    UNREACHABLE = "unreachable"


class ServerHealth:
    """Evidence about one backend server.

    Args:
        stall_detector: of this process; None where it never stalls.

    .. versionadded:: 0.2
    """

    def __init__(self, stall_detector: StallDetector | None = None) -> None:
        self._stall_detector = stall_detector or StallDetector()
        self.failure_rate = 0.0
        self.ejected_until = float("-inf")
        self._ejection_s = FIRST_EJECTION_S
        self._awaited_since: float | None = None
        self._pending_failures = 0

    def pop_pending_failures(self) -> int:
        """Return the failures since the last call, to be told to other VMs."""
        count, self._pending_failures = self._pending_failures, 0
        return count

    def note_unanswered(self, now: float) -> None:
        """Note a request that ended without an answer while the server was silent."""
        if self.is_unresponsive(now):
            self._pending_failures += 1

    def note_sent(self, now: float) -> None:
        """Note that a request left for the server."""
        if self._awaited_since is None:
            self._awaited_since = now

    def note_received(self, now: float, *, awaited: bool) -> None:
        """Note bytes from the server.

        Args:
            now: the loop's time.
            awaited: whether further answers are due.
        """
        self._awaited_since = now if awaited else None

    def note_outcome(self, outcome: Outcome, now: float) -> None:
        """Take what a request showed."""
        if outcome is Outcome.REJECTED:
            self.ejected_until = max(self.ejected_until, now + BUSY_EJECTION_S)
            return
        if outcome is not Outcome.ANSWERED:
            self._pending_failures += 1
        if outcome is Outcome.UNREACHABLE:
            self._eject(now)
            return
        failed = 1.0 if outcome is Outcome.FAILED else 0.0
        self.failure_rate += FAILURE_WEIGHT * (failed - self.failure_rate)
        if outcome is Outcome.ANSWERED:
            self._ejection_s = FIRST_EJECTION_S
        elif self.failure_rate > FAILURE_LIMIT and now >= self.ejected_until:
            self._eject(now)
            self.failure_rate = RETURN_FAILURE_RATE

    def is_unresponsive(self, now: float) -> bool:
        """Return whether answers are due and no connection has brought a byte.

        Not known while this process is behind: the bytes may be there, not read yet.
        """
        since = self._awaited_since
        if since is None or now - since <= UNRESPONSIVE_AFTER_S:
            return False
        return not self._stall_detector.is_behind(now)

    def is_stalled(self, received_at: float, now: float) -> bool:
        """Return whether one request waits for an unresponsive server.

        Args:
            received_at: the loop's time of the request's last byte, or of its start.
            now: the loop's time.
        """
        return now - received_at > UNRESPONSIVE_AFTER_S and self.is_unresponsive(now)

    def is_suspect(self, now: float) -> bool:
        """Return whether other servers should be preferred."""
        return now < self.ejected_until or self.is_unresponsive(now)

    def measure_remaining_ejection_s(self, now: float) -> float:
        """Return for how long the server is likely to be passed over, in seconds."""
        if self.is_unresponsive(now):
            return UNRESPONSIVE_AFTER_S
        return max(0.0, self.ejected_until - now)

    def _eject(self, now: float) -> None:
        self.ejected_until = now + self._ejection_s
        self._ejection_s = min(MAX_EJECTION_S, self._ejection_s * 2)
