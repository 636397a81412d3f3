"""What all servers have said in their answers, for as long as those starts last.

What one start has said is kept when its entry vanishes, since entries vanish around an
outage of the log and come back, and is taken of starts whose entries are not known yet.
A later start of the server has said nothing. Does no I/O.
"""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from ramppin.gateway.process.membership.servernotices import (
    LeavingNotice,
    NoticeSource,
    ServerNotices,
)
from ramppin.gateway.process.routing.closure import ClosureReason

MAX_UNLISTED = 2000
"""Starts without an entry whose words are kept, the newest ones: twice the servers of
the largest fleet."""

MS_PER_S = 1000
"""Milliseconds of a second."""


@dataclass(frozen=True, slots=True)
class NoticeChange:
    """A start of a server that said something new.

    Attributes:
        server_id: the start's id.
        notices: what it has said so far.
        reason: what the word closes it for.
    """

    server_id: str
    notices: ServerNotices
    reason: ClosureReason


class NoticeRegistry:
    """Words of all starts of servers.

    Args:
        read_time: returns the time of day in seconds.

    Attributes:
        notify_pending: called when there is something to tell other VMs.

    .. versionadded:: 0.3
    """

    def __init__(self, read_time: Callable[[], float] = time.time) -> None:
        self._read_time = read_time
        self._listed: dict[str, ServerNotices] = {}
        self._unlisted: OrderedDict[str, ServerNotices] = OrderedDict()
        self._changes: list[NoticeChange] = []
        self._pending_leaving: list[str] = []
        self._pending_backoffs: list[str] = []
        self.notify_pending: Callable[[], None] = lambda: None

    @property
    def has_pending(self) -> bool:
        """Whether an answer told something that other VMs were not told yet."""
        return bool(self._pending_leaving or self._pending_backoffs)

    # servers come and go

    def open(self, server_id: str, name: str, started_ms: int | None) -> ServerNotices:
        """Return what a start has said whose entry has come, or come back.

        Args:
            server_id: of the start.
            name: of the server, whichever its start.
            started_ms: Unix time of the start in milliseconds; None if it is not told.
        """
        notices = self._unlisted.pop(server_id, None)
        if notices is None and started_ms is not None:
            # Known by an entry that did not tell its start, such as another writer's.
            unlisted = self._unlisted.get(name)
            if unlisted is not None and unlisted.may_belong_to(started_ms):
                notices = unlisted
        self._listed[server_id] = notices or ServerNotices()
        return self._listed[server_id]

    def close(self, server_id: str) -> None:
        """Keep what a start has said, whose entry is gone."""
        notices = self._listed.pop(server_id, None)
        if notices is not None and notices.is_worth_keeping:
            self._retain(server_id, notices)

    def __len__(self) -> int:
        """Return for how many starts something is known or kept."""
        return len(self._listed) + len(self._unlisted)

    # what they say

    def note_leaving(
        self, server_id: str, source: NoticeSource, now: float, age_s: float = 0.0
    ) -> None:
        """Take a server's word that it leaves, whether its entry is known or not.

        Args:
            server_id: of the start that said so.
            source: who brought it.
            now: the loop's time.
            age_s: seconds since it was said.
        """
        notices = self._record_notice(server_id, age_s)
        if not notices.note_leaving(LeavingNotice(source, now - age_s)):
            return
        self._changes.append(NoticeChange(server_id, notices, ClosureReason.LEAVING))
        if source is NoticeSource.ANSWER:
            self._pending_leaving.append(server_id)
            self.notify_pending()

    def note_backoff(self, server_id: str, backoff_s: float, now: float) -> None:
        """Take a server's word that it wants nothing from this VM for a while.

        Args:
            server_id: of the start that said so.
            backoff_s: for how many seconds.
            now: the loop's time.
        """
        notices = self._record_notice(server_id)
        if notices.note_backoff(backoff_s, now):
            self._changes.append(
                NoticeChange(server_id, notices, ClosureReason.RESTING)
            )
            self._pending_backoffs.append(server_id)
            self.notify_pending()

    def pop_changes(self) -> list[NoticeChange]:
        """Return what servers said since the last call, where that is news."""
        changes, self._changes = self._changes, []
        return changes

    def pop_pending_leaving(self) -> list[str]:
        """Return the starts whose leaving an answer told since the last call."""
        pending, self._pending_leaving = self._pending_leaving, []
        return pending

    def pop_pending_backoffs(self) -> list[str]:
        """Return the starts that asked for a rest since the last call."""
        pending, self._pending_backoffs = self._pending_backoffs, []
        return pending

    def find_leaving(self, server_id: str) -> LeavingNotice | None:
        """Return the word of a start that it leaves, or None."""
        notices = self._listed.get(server_id) or self._unlisted.get(server_id)
        return notices.leaving if notices is not None else None

    def _record_notice(self, server_id: str, age_s: float = 0.0) -> ServerNotices:
        """Return what a start has said, to which something is added now."""
        notices = self._listed.get(server_id) or self._unlisted.get(server_id)
        if notices is None:
            notices = ServerNotices()
            self._retain(server_id, notices)
        sent_ms = int((self._read_time() - age_s) * MS_PER_S)
        notices.received_ms = max(notices.received_ms, sent_ms)
        return notices

    def _retain(self, server_id: str, notices: ServerNotices) -> None:
        self._unlisted[server_id] = notices
        self._unlisted.move_to_end(server_id)
        if len(self._unlisted) > MAX_UNLISTED:
            self._unlisted.popitem(last=False)
