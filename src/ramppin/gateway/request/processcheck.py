"""Finds out which start of a backend server answers on a connection.

After a restart under the same id and address, the old entry stays in use until the new
one is read, and the new process may run another build. A connection does not outlast
its process, so a start time that is reported on it holds for the connection.
"""

from __future__ import annotations

import asyncio

import msgspec

from ramppin.errors import BrokenAnswerError, NotSentError
from ramppin.gateway.connection.fetch import BufferingReceiver, FetchedAnswer
from ramppin.gateway.connection.httpwire import encode_request
from ramppin.gateway.connection.upstream import UpstreamConnection

MAX_REPORT_BYTES = 65_536
"""Bytes of a server's report."""

REPORT_TIMEOUT_S = 0.1
"""Seconds to wait for a report: several round trips between failure domains."""


class ProcessCheck:
    """Reads the start times of servers from their reports.

    Args:
        path: target of the request for a report; empty if servers have none.
        field: the report's field with the Unix time of the start in milliseconds.

    .. versionadded:: 0.5
    """

    def __init__(self, path: bytes, field: str) -> None:
        self._path = path
        self._field = field

    async def is_other(
        self, connection: UpstreamConnection, started_ms: int | None
    ) -> bool:
        """Return whether a process with another start answers on a connection.

        Without a report in time, the process counts as the one in the entry. The
        connection may be closed afterwards.

        Args:
            connection: an idle connection to the server; one report is read on it.
            started_ms: the known start; None if it is unknown.
        """
        if not self._path or started_ms is None or connection.was_asked:
            return False
        connection.was_asked = True
        found = self._parse(await self._read(connection))
        return found is not None and found != started_ms

    async def _read(self, connection: UpstreamConnection) -> FetchedAnswer | None:
        receiver = BufferingReceiver(MAX_REPORT_BYTES)
        head = encode_request(b"GET", self._path, [(b"Host", b"report")])
        try:
            connection.send(head, b"", receiver)
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                return await receiver.answer
        except (NotSentError, BrokenAnswerError):
            connection.abort()
            return None
        except (TimeoutError, asyncio.CancelledError) as error:
            # A late report would be taken for the answer to the next request.
            connection.abort()
            if isinstance(error, asyncio.CancelledError):
                raise
            return None

    def _parse(self, answer: FetchedAnswer | None) -> int | None:
        """Return the start that a report states, or None."""
        if answer is None or answer.status != 200:
            return None
        try:
            found = msgspec.json.decode(answer.body, type=dict[str, object])
        except (msgspec.MsgspecError, RecursionError):
            return None
        started_ms = found.get(self._field)
        return started_ms if isinstance(started_ms, int) else None
