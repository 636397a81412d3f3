"""Lines and counts about servers that said in their answers what closes them."""

from __future__ import annotations

import logging

from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.process.membership.servernotices import RestWord
from ramppin.gateway.process.routing.closure import ClosureReason
from ramppin.gateway.process.routing.noticeregistry import NoticeChange

LONG_REST_S = 60.0
"""Seconds of rest above which someone should look: the server is lost for as long."""

LOG = logging.getLogger(__name__)


class NoticeLines:
    """Writes when a server's word closes it, and when that ends.

    Args:
        context: has the servers, and takes the lines.

    .. versionadded:: 0.3
    """

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._resting: dict[str, RestWord] = {}

    def note(self, now: float) -> None:
        """Write what servers said since the last call, and which rests are over.

        Args:
            now: the loop's time.
        """
        for change in self._context.directory.notices.take_changes():
            self._note_closed(change, now)
        over = [name for name, rest in self._resting.items() if now >= rest.until]
        for server_id in over:
            self._note_opened(server_id, self._resting.pop(server_id))

    def _note_closed(self, change: NoticeChange, now: float) -> None:
        notices, server_id = change.notices, change.server_id
        leaving, rest = notices.leaving, notices.rest
        source, heard_at, rest_s = "answer", now, 0.0
        if change.reason is ClosureReason.LEAVING and leaving is not None:
            source, heard_at = leaving.source.value, leaving.heard_at
        elif rest is not None:
            heard_at, rest_s = rest.since, rest.until - rest.since
            if server_id in self._resting:
                self._note_opened(server_id, self._resting[server_id])
            self._resting[server_id] = rest
        self._context.metrics.server_words.inc(change.reason.value, source)
        self._context.decisions.note(
            "server_closed",
            server=self._find_name(server_id),
            service=self._find_service(server_id),
            word=change.reason.value,
            source=source,
            age_s=round(now - heard_at, 2),
            rest_s=round(rest_s, 2),
            version=self._context.version,
        )
        if rest_s > LONG_REST_S:
            LOG.warning(
                "a server wants nothing for %.0f s",
                rest_s,
                extra={"peer": self._find_name(server_id), "step": "answer"},
            )

    def _note_opened(self, server_id: str, rest: RestWord) -> None:
        self._context.decisions.note(
            "server_opened",
            server=self._find_name(server_id),
            service=self._find_service(server_id),
            word=ClosureReason.RESTING.value,
            closed_s=round(rest.until - rest.since, 2),
            rejections=rest.asked,
            version=self._context.version,
        )

    def _find_name(self, server_id: str) -> str:
        state = self._context.directory.find(server_id)
        return state.server.name if state else server_id

    def _find_service(self, server_id: str) -> str:
        state = self._context.directory.find(server_id)
        return state.server.service if state else ""
