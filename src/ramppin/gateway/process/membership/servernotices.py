"""Notices that one incarnation of a backend server has sent in response headers.

The server's entry in the log carries the same state, but arrives later, and not at all
while the log is unavailable. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class NoticeSource(Enum):
    """Where a notice came from; the value appears in decision lines."""

    ANSWER = "answer"
    """An answer to a request of this VM."""

    PEER = "peer"
    """Another VM, which received the notice in an answer or from a peer."""


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """A server's notice that it accepts no new requests.

    Attributes:
        source: where the notice came from.
        received_at: event-loop time at which a VM received it in an answer.
    """

    source: NoticeSource
    received_at: float


@dataclass(slots=True)
class BackoffNotice:
    """A server's request that this VM send nothing for some time.

    Attributes:
        since: event-loop time of the first request for this back-off.
        until: event-loop time at which the back-off ends.
        request_count: number of answers that asked for it.
    """

    since: float
    until: float
    request_count: int = 1


class ServerNotices:
    """Notices of one incarnation of a server.

    Attributes:
        leaving: the notice that it is leaving, never withdrawn; None if there is none.
        backoff: the newest back-off; None before the first.
        received_ms: Unix time of the newest notice in milliseconds, to be compared
            with start times of incarnations.

    .. versionadded:: 0.3
    """

    def __init__(self) -> None:
        self.leaving: LeavingNotice | None = None
        self.backoff: BackoffNotice | None = None
        self.received_ms = 0

    @property
    def is_worth_keeping(self) -> bool:
        """Whether any notice may still be in effect."""
        return self.leaving is not None or self.backoff is not None

    def find_backoff_end(self, now: float) -> float | None:
        """Return the event-loop time at which the current back-off ends, or None."""
        if self.backoff is None or now >= self.backoff.until:
            return None
        return self.backoff.until

    def note_leaving(self, notice: LeavingNotice) -> bool:
        """Record that the server is leaving; return whether this is new."""
        if self.leaving is not None:
            return False
        self.leaving = notice
        return True

    def note_backoff(self, backoff_s: float, now: float) -> bool:
        """Record a back-off; return whether none was in effect before.

        A shorter back-off does not end a longer one, because each comes from a
        separate answer.

        Args:
            backoff_s: duration of the back-off in seconds.
            now: event-loop time.
        """
        until = now + backoff_s
        if self.backoff is None or now >= self.backoff.until:
            self.backoff = BackoffNotice(now, until)
            return True
        self.backoff.until = max(self.backoff.until, until)
        self.backoff.request_count += 1
        return False

    def may_belong_to(self, started_ms: int) -> bool:
        """Return whether an incarnation can have sent these notices.

        An incarnation that started after the newest notice can't have sent it.

        Args:
            started_ms: Unix time of the incarnation's start in milliseconds.
        """
        return started_ms <= self.received_ms
