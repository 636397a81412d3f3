"""Tails of the log's streams: read records in order as they come."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from ramppin.errors import LogTrimmedError, LogUnavailableError
from ramppin.router.connection.log import Batch, LogClient

LOG = logging.getLogger(__name__)

RETRY_S = 0.25
"""Pause before the log is read again after it could not be."""


@dataclass(frozen=True, slots=True)
class TailEvents:
    """Callbacks for the events of a stream.

    Attributes:
        on_record: called with each record with its offset, in order.
        on_trimmed: called with the first kept record when older ones were missed.
        on_state: called at each attempt with whether the log could be read.
        on_batch: called when all records of a read were passed on.
    """

    on_record: Callable[[int, object], None]
    on_trimmed: Callable[[object], None] = lambda _: None
    on_state: Callable[[bool], None] = lambda _: None
    on_batch: Callable[[], None] = lambda: None


class Tail:
    """Follows one stream of the log.

    Args:
        client: the log's client.
        stream: the stream's name.
        events: callbacks for its events.
        wait_s: longest wait of one read at the stream's end.
        poll_min_s: shortest time between two reads, so that many records come
            with one; :meth:`hurry` goes before it.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        client: LogClient,
        stream: str,
        events: TailEvents,
        *,
        wait_s: float,
        poll_min_s: float = 0.0,
    ) -> None:
        self.next = 0
        self.up = False
        self.caught_up = False
        self._client = client
        self._stream = stream
        self._events = events
        self._wait_s = wait_s
        self._poll_min_s = poll_min_s
        self._hurried = asyncio.Event()
        self._trimmed = False

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            try:
                wait = self._wait_s if self.caught_up else 0.0
                batch = await self._client.read(self._stream, self.next, wait_s=wait)
            except LogTrimmedError as error:
                LOG.warning("records missed: %s", error, extra={"step": "tail"})
                self.next = error.first
                self._trimmed = True
                continue
            except LogUnavailableError as error:
                self._note_state(False, str(error))
                await asyncio.sleep(RETRY_S)
                continue
            self._note_state(True, "")
            self._pass_on(batch)
            if batch.records and self._poll_min_s:
                await self._rest()

    def hurry(self) -> None:
        """Read again at once: somebody waits for a record."""
        self._hurried.set()

    async def _rest(self) -> None:
        try:
            await asyncio.wait_for(self._hurried.wait(), self._poll_min_s)
        except TimeoutError:
            return
        finally:
            self._hurried.clear()

    def _pass_on(self, batch: Batch) -> None:
        if self._trimmed and batch.records:
            self._trimmed = False
            self._events.on_trimmed(batch.records[0][1])
        for offset, record in batch.records:
            self._events.on_record(offset, record)
        self.next = max(self.next, batch.next)
        self.caught_up = self.caught_up or not batch.records
        self._events.on_batch()

    def _note_state(self, up: bool, reason: str) -> None:
        if up != self.up:
            text = "log readable" if up else "log not readable: %s"
            LOG.info(text, *(() if up else (reason,)), extra={"step": "tail"})
        self.up = up
        self._events.on_state(up)
