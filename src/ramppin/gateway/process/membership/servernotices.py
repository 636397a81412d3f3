"""What one start of a server has said of itself in its answers.

Its entry in the log tells the same, but later, and not while the log is away. Does no
I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class NoticeSource(Enum):
    """Who brought a server's word; the value stands in lines."""

    ANSWER = "answer"
    """An answer to a request of this VM."""

    PEER = "peer"
    """Another VM, which had such an answer or was told of one."""


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """A server's word that it takes nothing new.

    Attributes:
        source: who brought it.
        received_at: the loop's time at which this VM heard it.
    """

    source: NoticeSource
    received_at: float


@dataclass(slots=True)
class BackoffNotice:
    """A server's word that it wants nothing from this VM for a while.

    Attributes:
        since: the loop's time at which it first asked for this rest.
        until: the loop's time at which the rest ends.
        request_count: how often it asked for it.
    """

    since: float
    until: float
    request_count: int = 1


class ServerNotices:
    """What one start of a server has said.

    Attributes:
        leaving: its word that it leaves, which is never taken back; None before.
        backoff: the newest rest that it asked for; None before the first.
        received_ms: Unix time in milliseconds of its newest word, to be compared with
            starts.

    .. versionadded:: 0.3
    """

    def __init__(self) -> None:
        self.leaving: LeavingNotice | None = None
        self.backoff: BackoffNotice | None = None
        self.received_ms = 0

    @property
    def is_worth_keeping(self) -> bool:
        """Whether anything of it may still hold."""
        return self.leaving is not None or self.backoff is not None

    def find_backoff_end(self, now: float) -> float | None:
        """Return the loop's time at which a rest ends that runs now, or None."""
        if self.backoff is None or now >= self.backoff.until:
            return None
        return self.backoff.until

    def note_leaving(self, notice: LeavingNotice) -> bool:
        """Take the word that it leaves; return whether that is news."""
        if self.leaving is not None:
            return False
        self.leaving = notice
        return True

    def note_backoff(self, backoff_s: float, now: float) -> bool:
        """Take the word that it wants rest; return whether none ran before.

        A shorter rest does not end a longer one: each was asked for by an answer of
        its own.

        Args:
            backoff_s: seconds for which it wants nothing.
            now: the loop's time.
        """
        until = now + backoff_s
        if self.backoff is None or now >= self.backoff.until:
            self.backoff = BackoffNotice(now, until)
            return True
        self.backoff.until = max(self.backoff.until, until)
        self.backoff.request_count += 1
        return False

    def may_belong_to(self, started_ms: int) -> bool:
        """Return whether a start can have said it: a later one can't.

        Args:
            started_ms: Unix time of the start in milliseconds.
        """
        return started_ms <= self.received_ms
