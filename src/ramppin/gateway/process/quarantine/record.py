"""Crash history of one attribute of requests: terminations of servers, and successes.

An attribute is the whole request, or a part of its prompt, and has a key that is the
same on every VM (:mod:`ramppin.gateway.request.attributes`). When a server terminates,
each attribute of each request in flight there is suspect. The cause is recognized
because it is sent again, crashes the next server, and never succeeds. So terminations
are counted since the last success. No I/O.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

MIN_ENDS = 3
"""Servers that must have terminated during requests with an attribute, one after the
other, before it is refused. A harmless request that was in flight at two unrelated
crashes is served by the third server, which resets its count."""

MIN_ENDS_IN_UNREST = 4
"""The same while servers also terminate without it: a quarter of all requests may be
lost then, and three requests in a row with one harmless attribute."""

MIN_ENDS_SERVED = 8
"""The same for an attribute that succeeded before. It is probably harmless and sent
often, so it may be in flight at three crashes with another cause before its next
complete answer."""

TIE_REFUSAL_S = 1.0
"""Refusal period in seconds of an attribute that can't be told apart from another one,
for requests without that one: the result of a trial tells them apart."""

FIRST_REFUSAL_S = 60.0
"""Refusal period in seconds after the third termination, much longer than the seconds a
server needs to restart. Then one request is let through as a trial."""

MAX_DOUBLINGS = 5
"""Each further termination doubles the refusal period, up to 32 minutes."""

MAX_ENDS = MIN_ENDS_SERVED + MAX_DOUBLINGS
"""Maximum recorded terminations of an attribute; more would not change the result. In
unrest an attribute that succeeded before is refused from this number on."""

OVERLAP_S = 0.1
"""Tolerance in seconds: a request sent this much before a termination still counts as
sent after it, because the transmission delay is not known."""


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
    """Crash history of one attribute.

    Attributes:
        part: id of the prompt part; empty for a whole request, or if it is unknown.
        ends: terminations since the last success, by the server's id.
        cleared: ids of servers whose terminations no longer count, the newest last.
            Times reported by other VMs are not used for this, because they are wrong
            by the time a message stayed unread: a process that had been suspended
            refused a request that had succeeded.
        served_at: event-loop time of the last success.
        was_served: whether it is known to have succeeded before.
        tried_at: event-loop time at which a request was last let through as a trial.
        peer_end_count: terminations that another VM counted.
        is_shared: whether other VMs have terminations of it.
        changed_at: event-loop time of the last change.

    .. versionadded:: 0.2
    """

    part: str = ""
    ends: dict[str, ServerEnd] = field(default_factory=dict)
    cleared: dict[str, None] = field(default_factory=dict)
    served_at: float = float("-inf")
    was_served: bool = False
    tried_at: float = float("-inf")
    peer_end_count: int = 0
    is_shared: bool = False
    changed_at: float = float("-inf")

    @property
    def first_end_at(self) -> float:
        """Event-loop time of the oldest termination."""
        times = (end.ended_at for end in self.ends.values())
        return min(times, default=float("inf"))

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
        """Record a success on this VM, which clears all terminations.

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

    def count_ends(self, explained: Collection[str] = ()) -> int:
        """Return how many servers terminated one after the other.

        Requests that ran concurrently count once, because their servers may share one
        cause, such as the loss of a failure domain. A request sent after a termination
        is independent evidence.

        Args:
            explained: servers whose termination has another cause.
        """
        ends = [end for end in self.ends.values() if end.server not in explained]
        count, last_end_at = 0, float("-inf")
        for end in sorted(ends, key=lambda known: known.ended_at):
            if end.sent_at >= last_end_at - OVERLAP_S:
                count += 1
                last_end_at = end.ended_at
        if len(ends) < len(self.ends):
            return count
        return max(count, self.peer_end_count)

    def find_min_ends(self, *, in_unrest: bool = False) -> int:
        """Return the consecutive terminations from which the attribute is refused.

        Args:
            in_unrest: whether servers also terminated without it.
        """
        if self.was_served:
            return MAX_ENDS if in_unrest else MIN_ENDS_SERVED
        return MIN_ENDS_IN_UNREST if in_unrest else MIN_ENDS

    @property
    def has_enough_ends(self) -> bool:
        """Whether it is refused unless something else explains the terminations."""
        min_ends = self.find_min_ends()
        return len(self.ends) >= min_ends and self.count_ends() >= min_ends

    @property
    def refused_since(self) -> float:
        """Event-loop time at which the refusal period began, at a crash or a trial."""
        return max(self.last_end_at, self.tried_at)

    def measure_remaining_refusal_s(self, now: float) -> float:
        """Return the remaining refusal period in seconds; 0 if there is none.

        Args:
            now: event-loop time.
        """
        surplus = self.count_ends() - self.find_min_ends()
        if surplus < 0:
            return 0.0
        refusal_s = FIRST_REFUSAL_S * (1 << min(surplus, MAX_DOUBLINGS))
        return max(0.0, self.refused_since + refusal_s - now)
