"""Notices of all backend servers, kept per incarnation.

Notices are kept when the entry of an incarnation disappears, because entries disappear
around an outage of the log and come back. They are also recorded for incarnations whose
entries are not known yet. A new incarnation starts without notices. No I/O.
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
"""Maximum number of incarnations without an entry whose notices are kept; the oldest
are evicted first. Twice the number of servers in the largest fleet."""

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class NoticeChange:
    """A new notice of a server.

    Attributes:
        server_id: id of the incarnation.
        notices: all notices of the incarnation.
        reason: why the notice closes the server.
    """

    server_id: str
    notices: ServerNotices
    reason: ClosureReason


class NoticeRegistry:
    """Notices of all incarnations of servers.

    Args:
        read_time: returns Unix time in seconds.

    Attributes:
        notify_pending: called when a notice must be sent to the other VMs.

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
        """Whether a notice from an answer has not been sent to the other VMs yet."""
        return bool(self._pending_leaving or self._pending_backoffs)

    # entries of servers

    def open(self, server_id: str, name: str, started_ms: int | None) -> ServerNotices:
        """Return the notices of an incarnation whose entry was added or restored.

        Args:
            server_id: id of the incarnation.
            name: name of the server, the same for all incarnations.
            started_ms: Unix time of the start in milliseconds; None if unknown.
        """
        notices = self._unlisted.pop(server_id, None)
        if notices is None and started_ms is not None:
            # An earlier entry, such as another writer's, may have had no start time;
            # its notices are stored under the server's name.
            unlisted = self._unlisted.get(name)
            if unlisted is not None and unlisted.may_belong_to(started_ms):
                notices = unlisted
        self._listed[server_id] = notices or ServerNotices()
        return self._listed[server_id]

    def close(self, server_id: str) -> None:
        """Retain the notices of an incarnation whose entry was removed."""
        notices = self._listed.pop(server_id, None)
        if notices is not None and notices.is_worth_keeping:
            self._retain(server_id, notices)

    def __len__(self) -> int:
        """Return the number of incarnations that are listed or retained."""
        return len(self._listed) + len(self._unlisted)

    # notices

    def note_leaving(
        self, server_id: str, source: NoticeSource, now: float, age_s: float = 0.0
    ) -> None:
        """Record that a server is leaving, whether its entry is known or not.

        Args:
            server_id: id of the incarnation.
            source: where the notice came from.
            now: event-loop time.
            age_s: seconds since a VM received the notice in an answer.
        """
        notices = self._record_notice(server_id, age_s)
        if not notices.note_leaving(LeavingNotice(source, now - age_s)):
            return
        self._changes.append(NoticeChange(server_id, notices, ClosureReason.LEAVING))
        if source is NoticeSource.ANSWER:
            self._pending_leaving.append(server_id)
            self.notify_pending()

    def note_backoff(self, server_id: str, backoff_s: float, now: float) -> None:
        """Record that a server asked this VM for a back-off.

        Args:
            server_id: id of the incarnation.
            backoff_s: duration in seconds.
            now: event-loop time.
        """
        notices = self._record_notice(server_id)
        if notices.note_backoff(backoff_s, now):
            self._changes.append(
                NoticeChange(server_id, notices, ClosureReason.RESTING)
            )
            self._pending_backoffs.append(server_id)
            self.notify_pending()

    def pop_changes(self) -> list[NoticeChange]:
        """Return and clear the notices that changed a server's state."""
        changes, self._changes = self._changes, []
        return changes

    def pop_pending_leaving(self) -> list[str]:
        """Return and clear the ids whose leaving notices are not yet sent to peers."""
        pending, self._pending_leaving = self._pending_leaving, []
        return pending

    def pop_pending_backoffs(self) -> list[str]:
        """Return and clear the ids whose back-offs are not yet sent to peers."""
        pending, self._pending_backoffs = self._pending_backoffs, []
        return pending

    def find_leaving(self, server_id: str) -> LeavingNotice | None:
        """Return the leaving notice of an incarnation, or None."""
        notices = self._listed.get(server_id) or self._unlisted.get(server_id)
        return notices.leaving if notices is not None else None

    def _record_notice(self, server_id: str, age_s: float = 0.0) -> ServerNotices:
        """Return the notices of an incarnation, and update the time of the newest."""
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
