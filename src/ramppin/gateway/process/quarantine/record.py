"""Crash history of one request: servers that terminated during it, and successful runs.

A request is identified by its fingerprint (:mod:`ramppin.gateway.request.fingerprint`),
which is the same each time a caller sends it. When a server terminates, each request in
flight there is suspect, and at most one is the cause. The cause is recognized because
it is sent again, crashes the next server, and never succeeds. So terminations are
counted since the last successful run. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

MIN_ENDS = 3
"""Servers that must have terminated during a request, one after the other, before it is
refused. A harmless request that was in flight at two unrelated crashes is served by the
third server, which resets its count."""

MIN_ENDS_SERVED = 8
"""The same for a request that succeeded before. It is probably harmless and sent often,
so it may be in flight at three crashes caused by another request before its next
complete answer."""

FIRST_REFUSAL_S = 60.0
"""Refusal period in seconds after the third termination, much longer than the seconds a
server needs to restart. Then one copy is let through as a trial."""

MAX_DOUBLINGS = 5
"""Each further termination doubles the refusal period, up to 32 minutes."""

MAX_ENDS = MIN_ENDS_SERVED + MAX_DOUBLINGS
"""Maximum recorded terminations of one request; more would not change the result."""

OVERLAP_S = 0.1
"""Tolerance in seconds: a copy sent this much before a termination still counts as sent
after it, because the transmission delay is not known."""


@dataclass(frozen=True, slots=True)
class ServerEnd:
    """Termination of a backend server while a request was in flight there.

    Attributes:
        server: id of the server's incarnation.
        sent_at: event-loop time at which the request was sent to it.
        ended_at: event-loop time at which the connection was lost.
    """

    server: str
    sent_at: float
    ended_at: float


@dataclass(slots=True)
class CrashRecord:
    """Crash history of one request.

    Attributes:
        ends: terminations since the last successful run, by the server's id.
        cleared: ids of servers whose terminations no longer count, the newest last.
            Times reported by other VMs are not used for this, because they are wrong
            by the time a message stayed unread: a process that had been suspended
            refused a request that had succeeded.
        served_at: event-loop time of the last successful run.
        was_served: whether it is known to have succeeded before.
        tried_at: event-loop time at which a copy was last let through as a trial.
        peer_end_count: terminations that another VM counted.
        changed_at: event-loop time of the last change.

    .. versionadded:: 0.2
    """

    ends: dict[str, ServerEnd] = field(default_factory=dict)
    cleared: dict[str, None] = field(default_factory=dict)
    served_at: float = float("-inf")
    was_served: bool = False
    tried_at: float = float("-inf")
    peer_end_count: int = 0
    changed_at: float = float("-inf")

    @property
    def last_end_at(self) -> float:
        """Event-loop time of the newest termination."""
        times = (end.ended_at for end in self.ends.values())
        return max(times, default=float("-inf"))

    def note_end(self, end: ServerEnd) -> bool:
        """Record a termination; return whether it is new and counts."""
        if end.server in self.ends or end.server in self.cleared:
            return False
        if end.ended_at <= self.served_at:
            self._clear(end.server)
            return False
        self.ends[end.server] = end
        if len(self.ends) > MAX_ENDS:
            oldest = min(self.ends.values(), key=lambda known: known.ended_at)
            del self.ends[oldest.server]
        return True

    def note_served(self, at: float) -> None:
        """Record a successful run on this VM, which clears all terminations.

        Args:
            at: event-loop time at which the answer was complete.
        """
        self.served_at = max(self.served_at, at)
        self.was_served = True
        self.clear(list(self.ends))

    def clear(self, servers: Iterable[str]) -> None:
        """Discard the terminations of some servers, which no longer count."""
        for server in servers:
            self.ends.pop(server, None)
            self._clear(server)
        if not self.ends:
            self.peer_end_count = 0

    def _clear(self, server: str) -> None:
        self.cleared.pop(server, None)
        self.cleared[server] = None
        if len(self.cleared) > MAX_ENDS:
            del self.cleared[next(iter(self.cleared))]

    def count_ends(self) -> int:
        """Return how many servers terminated one after the other.

        Copies that ran concurrently count once, because their servers may share one
        cause, such as the loss of a failure domain. A copy sent after a termination is
        independent evidence.
        """
        count, last_end_at = 0, float("-inf")
        for end in sorted(self.ends.values(), key=lambda known: known.ended_at):
            if end.sent_at >= last_end_at - OVERLAP_S:
                count += 1
                last_end_at = end.ended_at
        return max(count, self.peer_end_count)

    @property
    def min_ends(self) -> int:
        """Number of consecutive terminations from which the request is quarantined."""
        return MIN_ENDS_SERVED if self.was_served else MIN_ENDS

    @property
    def is_quarantined(self) -> bool:
        """Whether the request is refused, or may only run as a trial."""
        return self.count_ends() >= self.min_ends

    def measure_remaining_refusal_s(self, now: float) -> float:
        """Return the remaining refusal period in seconds; 0 if there is none.

        Args:
            now: event-loop time.
        """
        surplus = self.count_ends() - self.min_ends
        if surplus < 0:
            return 0.0
        refusal_s = FIRST_REFUSAL_S * (1 << min(surplus, MAX_DOUBLINGS))
        return max(0.0, max(self.last_end_at, self.tried_at) + refusal_s - now)
