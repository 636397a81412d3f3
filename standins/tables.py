"""A stand-in for keyed tables in a shared log, in memory."""

from __future__ import annotations

import asyncio
import contextlib

from ramppin.errors import LogTrimmedError, LogUnavailableError
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.recovery.sources import RecordBatch, RecordLog


class TableStandIn(RecordLog):
    """A keyed table that can be away, lose its history, or hang.

    Attributes:
        away: reads and writes fail.
        frozen: reads hang until it is lifted.
        reads: how many reads were made.
    """

    def __init__(self) -> None:
        self.away = False
        self.frozen = False
        self.reads = 0
        self._records: list[Record] = []
        self._first = 0
        self._kept: list[Record] = []
        self._changed = asyncio.Event()

    @property
    def end(self) -> int:
        """The offset of the next record."""
        return self._first + len(self._records)

    def put(self, key: str, value: bytes | None) -> None:
        """Add a record; None removes its key."""
        self._records.append(Record(key, value, self.end))
        self._changed.set()
        self._changed = asyncio.Event()

    def forget_history(self) -> None:
        """Keep only the newest record of each key, and no offset before now."""
        newest = {record.key: record for record in [*self._kept, *self._records]}
        self._kept = [r for r in newest.values() if r.value is not None]
        self._first = self.end
        self._records = []

    async def append(self, key: str, value: bytes) -> None:
        """Write a record."""
        await asyncio.sleep(0)
        self._check()
        self.put(key, value)

    async def read_newest(self, *, timeout_s: float = 0.0) -> RecordBatch:
        """Return the newest record of each key."""
        await self._meet_faults()
        newest = {record.key: record for record in self._kept}
        for record in self._records:
            newest[record.key] = record
        found = tuple(r for r in newest.values() if r.value is not None)
        return RecordBatch(found, self.end)

    async def read_after(self, position: int, *, wait_s: float) -> RecordBatch:
        """Return what follows a position."""
        await self._meet_faults()
        self._check_kept(position)
        if position >= self.end and wait_s:
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), wait_s)
            self._check()
            self._check_kept(position)
        found = tuple(r for r in self._records if r.offset >= position)
        return RecordBatch(found, max(position, self.end))

    async def _meet_faults(self) -> None:
        self.reads += 1
        while self.frozen:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0)
        self._check()

    def _check_kept(self, position: int) -> None:
        if position < self._first:
            raise LogTrimmedError(self._first, peer="table")

    def _check(self) -> None:
        if self.away:
            raise LogUnavailableError("away", step="read", peer="table")
