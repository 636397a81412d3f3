"""Decision lines and counters for servers that are closed by their own notices."""

from __future__ import annotations

import logging

from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.process.membership.servernotices import BackoffNotice
from ramppin.gateway.process.routing.closure import ClosureReason
from ramppin.gateway.process.routing.noticeregistry import NoticeChange

LONG_BACKOFF_S = 60.0
"""Back-off in seconds above which a warning is logged: the server is unusable for that
time, which an operator should examine."""

LOG = logging.getLogger(__name__)


class NoticeLines:
    """Writes a line when a notice closes a server, and when a back-off ends.

    Args:
        context: provides the servers, metrics and the decision log.

    .. versionadded:: 0.3
    """

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._backoffs: dict[str, BackoffNotice] = {}

    def note(self, now: float) -> None:
        """Write lines for new notices and for back-offs that have ended.

        Args:
            now: event-loop time.
        """
        for change in self._context.directory.notices.pop_changes():
            self._note_closed(change, now)
        over = [key for key, backoff in self._backoffs.items() if now >= backoff.until]
        for server_id in over:
            self._note_opened(server_id, self._backoffs.pop(server_id))

    def _note_closed(self, change: NoticeChange, now: float) -> None:
        notices, server_id = change.notices, change.server_id
        leaving, backoff = notices.leaving, notices.backoff
        source, received_at, backoff_s = "answer", now, 0.0
        if change.reason is ClosureReason.LEAVING and leaving is not None:
            source, received_at = leaving.source.value, leaving.received_at
        elif backoff is not None:
            received_at, backoff_s = backoff.since, backoff.until - backoff.since
            if server_id in self._backoffs:
                self._note_opened(server_id, self._backoffs[server_id])
            self._backoffs[server_id] = backoff
        self._context.metrics.server_words.inc(change.reason.value, source)
        self._context.decisions.note(
            "server_closed",
            server=self._find_name(server_id),
            service=self._find_service(server_id),
            word=change.reason.value,
            source=source,
            age_s=round(now - received_at, 2),
            rest_s=round(backoff_s, 2),
            version=self._context.version,
        )
        if backoff_s > LONG_BACKOFF_S:
            LOG.warning(
                "server asked for a back-off of %.0f s",
                backoff_s,
                extra={"peer": self._find_name(server_id), "step": "answer"},
            )

    def _note_opened(self, server_id: str, backoff: BackoffNotice) -> None:
        self._context.decisions.note(
            "server_opened",
            server=self._find_name(server_id),
            service=self._find_service(server_id),
            word=ClosureReason.RESTING.value,
            closed_s=round(backoff.until - backoff.since, 2),
            rejections=backoff.request_count,
            version=self._context.version,
        )

    def _find_name(self, server_id: str) -> str:
        state = self._context.directory.find(server_id)
        return state.server.name if state else server_id

    def _find_service(self, server_id: str) -> str:
        state = self._context.directory.find(server_id)
        return state.server.service if state else ""
