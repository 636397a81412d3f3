"""What happened under one request: servers that ended, and runs that went well.

A request is known by its fingerprint (:mod:`ramppin.gateway.request.fingerprint`), the
same each time that a caller sends it. When a server ends, each request in flight there
is under suspicion, and at most one is guilty. What tells them apart is that a guilty
request comes again, ends the next server, and never runs well. So ends are counted
since its last good run. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

MIN_ENDS = 3
"""Servers that must have ended under a request, one after the other, before it is
refused. A harmless request that was in flight at two ends of others is served by the
third server, and then nothing counts against it."""

MIN_ENDS_SERVED = 8
"""The same for a request that ran well before: harmless and often sent, most likely,
and so in flight at many ends that another caused: it may well meet three of them before
its next whole answer."""

FIRST_REFUSAL_S = 60.0
"""Seconds for which a request is refused after the third end: long beside the seconds
in which a server is back. Then one copy may show whether it still ends its server."""

MAX_DOUBLINGS = 5
"""Each end more doubles the time for which a request is refused, to 32 minutes."""

MAX_ENDS = MIN_ENDS_SERVED + MAX_DOUBLINGS
"""Ends that are kept of one request: all that count."""

OVERLAP_S = 0.1
"""Seconds by which a copy may have been sent before an earlier end and still count as
sent after it: that much of a message's way is not known."""


@dataclass(frozen=True, slots=True)
class ServerEnd:
    """A backend server that ended while a request was in flight there.

    Attributes:
        server: id of its incarnation.
        sent_at: the loop's time at which the request was sent there.
        ended_at: the loop's time at which the connection was lost.
    """

    server: str
    sent_at: float
    ended_at: float


@dataclass(slots=True)
class CrashRecord:
    """What happened under one request.

    Attributes:
        ends: of servers, since the last good run, by the server's id.
        cleared: servers that ended under it and no longer count, the newest last. By
            name, since times of other VMs are wrong by as long as a message lay unread
            here: a process that was stopped refused a request that ran well.
        served_at: the loop's time of the last good run.
        was_served: whether it is known to have run well before.
        tried_at: the loop's time at which a copy was last let through on trial.
        peer_end_count: ends that another VM counted.
        changed_at: the loop's time at which something was last learnt.

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
        """The loop's time of the newest end."""
        times = (end.ended_at for end in self.ends.values())
        return max(times, default=float("-inf"))

    def note_end(self, end: ServerEnd) -> bool:
        """Take an end; return whether it is news."""
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
        """Take a good run of which this VM knows itself: no end counts any more.

        Args:
            at: the loop's time at which the answer was whole.
        """
        self.served_at = max(self.served_at, at)
        self.was_served = True
        self.clear(list(self.ends))

    def clear(self, servers: Iterable[str]) -> None:
        """Take servers whose ends no longer count."""
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
        """Return how many servers ended one after the other.

        Copies that ran at one time count once: what ended one of their servers may
        have ended the others, as when a whole failure domain goes, while a copy sent
        after an end is a new witness.
        """
        count, last_end_at = 0, float("-inf")
        for end in sorted(self.ends.values(), key=lambda known: known.ended_at):
            if end.sent_at >= last_end_at - OVERLAP_S:
                count += 1
                last_end_at = end.ended_at
        return max(count, self.peer_end_count)

    @property
    def min_ends(self) -> int:
        """How many servers must have ended, one after the other."""
        return MIN_ENDS_SERVED if self.was_served else MIN_ENDS

    @property
    def is_quarantined(self) -> bool:
        """Whether the request is refused, or may run on trial only."""
        return self.count_ends() >= self.min_ends

    def measure_remaining_refusal_s(self, now: float) -> float:
        """Return for how many more seconds the request is refused; 0 if it is not.

        Args:
            now: the loop's time.
        """
        surplus = self.count_ends() - self.min_ends
        if surplus < 0:
            return 0.0
        refusal_s = FIRST_REFUSAL_S * (1 << min(surplus, MAX_DOUBLINGS))
        return max(0.0, max(self.last_end_at, self.tried_at) + refusal_s - now)
