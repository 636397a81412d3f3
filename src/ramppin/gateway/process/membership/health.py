"""Passive health checking of a backend server, based on the outcomes of requests.

No probes are sent: each has a cost, and health endpoints may report a wrong state. A
server that fails too often is ejected for some time and then readmitted; the next
requests show whether it is healthy. A server that has unanswered requests and sends
nothing is unresponsive until a byte arrives. Either state makes it suspect: other
servers are preferred, and it is used only if none is left.
"""

from __future__ import annotations

from enum import Enum

from ramppin.gateway.process.stalldetector import StallDetector

FAILURE_WEIGHT = 0.25
"""Weight of the newest outcome in the moving failure rate, from 0 to 1."""

FAILURE_LIMIT = 0.45
"""Failure rate above which a server is ejected: three failures in a row exceed it."""

RETURN_FAILURE_RATE = 0.3
"""Failure rate after an ejection: one more failure ejects the server again."""

FIRST_EJECTION_S = 0.5
"""Duration of the first ejection in seconds; doubled each time until a request is
answered."""

MAX_EJECTION_S = 4.0
"""Maximum duration of an ejection in seconds."""

BUSY_EJECTION_S = 0.15
"""Ejection in seconds of a server that rejected a request: it is overloaded, not
faulty."""

UNRESPONSIVE_AFTER_S = 0.8
"""Seconds without a byte, while an answer is due, until a server is unresponsive. A
request that another server can still answer must not wait until its deadline."""


class Outcome(Enum):
    """Outcome of one request to a backend server."""

    ANSWERED = "answered"
    FAILED = "failed"
    REJECTED = "rejected"
    UNREACHABLE = "unreachable"


class ServerHealth:
    """Health of one backend server.

    Args:
        stall_detector: detects stalls of this process; None if it never stalls.

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
        """Return and clear the number of failures not yet reported to other VMs."""
        count, self._pending_failures = self._pending_failures, 0
        return count

    def note_unanswered(self, now: float) -> None:
        """Record an unanswered request, a failure if the server is unresponsive."""
        if self.is_unresponsive(now):
            self._pending_failures += 1

    def note_sent(self, now: float) -> None:
        """Record that a request was sent to the server."""
        if self._awaited_since is None:
            self._awaited_since = now

    def note_received(self, now: float, *, awaited: bool) -> None:
        """Record that bytes arrived from the server.

        Args:
            now: event-loop time.
            awaited: whether more answers are due.
        """
        self._awaited_since = now if awaited else None

    def note_outcome(self, outcome: Outcome, now: float) -> None:
        """Record the outcome of a request."""
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

    def pardon(self) -> None:
        """Forget failures that were not the server's: this VM's path had failed."""
        self.failure_rate = 0.0
        self.ejected_until = float("-inf")
        self._ejection_s = FIRST_EJECTION_S
        self._pending_failures = 0

    def is_unresponsive(self, now: float) -> bool:
        """Return whether answers are due and no connection has received a byte.

        False while this process is behind: bytes may have arrived but not been read.
        """
        since = self._awaited_since
        if since is None or now - since <= UNRESPONSIVE_AFTER_S:
            return False
        return not self._stall_detector.is_behind(now)

    def is_stalled(self, received_at: float, now: float) -> bool:
        """Return whether a request is waiting for an unresponsive server.

        Args:
            received_at: event-loop time at which the request's last byte was received,
                or at which the request started.
            now: event-loop time.
        """
        return now - received_at > UNRESPONSIVE_AFTER_S and self.is_unresponsive(now)

    def is_suspect(self, now: float) -> bool:
        """Return whether other servers should be preferred."""
        return now < self.ejected_until or self.is_unresponsive(now)

    def measure_remaining_ejection_s(self, now: float) -> float:
        """Return for how many seconds other servers are likely to be preferred."""
        if self.is_unresponsive(now):
            return UNRESPONSIVE_AFTER_S
        return max(0.0, self.ejected_until - now)

    def _eject(self, now: float) -> None:
        self.ejected_until = now + self._ejection_s
        self._ejection_s = min(MAX_EJECTION_S, self._ejection_s * 2)
