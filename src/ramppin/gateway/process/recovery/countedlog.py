"""A table of the shared log whose calls are counted.

The log may ask a price for each call and refuses those over a rate, so operators see
who calls for what. Owns nothing; relies on the table that it wraps.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum

from prometheus_client import Counter

from ramppin.errors import LogTrimmedError
from ramppin.gateway.process.recovery.sources import (
    RecordBatch,
    RecordLog,
    RecordSource,
)


class LogCall(Enum):
    """What a call to the log is for; the value is its label."""

    WHOLE = "whole table"
    NEWS = "news"
    APPEND = "append"


class CountedSource(RecordSource):
    """Passes reads on and counts them by table, kind and outcome.

    Args:
        table: the table's name.
        source: the table itself.
        calls: the metric, with these three labels.

    .. versionadded:: 0.2
    """

    def __init__(self, table: str, source: RecordSource, calls: Counter) -> None:
        self._table = table
        self._source = source
        self._calls = calls

    async def read_newest(self, *, timeout_s: float) -> RecordBatch:
        """Return the newest record of each key."""
        with self._counting(LogCall.WHOLE):
            return await self._source.read_newest(timeout_s=timeout_s)

    async def read_after(self, position: int, *, wait_s: float) -> RecordBatch:
        """Return what follows a position; wait for it if there is nothing."""
        with self._counting(LogCall.NEWS):
            return await self._source.read_after(position, wait_s=wait_s)

    @contextmanager
    def _counting(self, call: LogCall) -> Iterator[None]:
        outcome = "failed"
        try:
            yield
            outcome = "answered"
        except LogTrimmedError:
            outcome = "answered"
            raise
        finally:
            self._calls.labels(self._table, call.value, outcome).inc()


class CountedLog(CountedSource, RecordLog):
    """Passes reads and writes on and counts them.

    Args:
        table: the table's name.
        log: the table itself.
        calls: the metric, as for :class:`CountedSource`.

    .. versionadded:: 0.2
    """

    def __init__(self, table: str, log: RecordLog, calls: Counter) -> None:
        super().__init__(table, log, calls)
        self._log = log

    async def append(self, key: str, value: bytes) -> None:
        """Write the newest record of a key."""
        with self._counting(LogCall.APPEND):
            await self._log.append(key, value)
