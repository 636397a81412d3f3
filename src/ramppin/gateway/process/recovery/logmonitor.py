"""Counts this VM's calls to the shared log and reports whether the log is up.

The log may charge for each call and refuses calls above a rate, so the calls are
counted by table, kind and outcome for operators. A log that refuses
this VM may serve others: each VM reports its state to the fleet, so that VMs with
access are selected as relays.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum

from ramppin.errors import LogTrimmedError, LogUnavailableError
from ramppin.gateway.process.recovery.sources import (
    RecordBatch,
    RecordLog,
    RecordSource,
)
from ramppin.gateway.process.reporting.metrics import CounterTally

FAILURES_UNTIL_DOWN = 2
"""Consecutive failed calls after which the log counts as down: a single connection may
break while the log is up, and each change of relays costs one call of every VM."""

DOWN_EXPIRY_S = 10.0
"""Seconds after the last failure for which the log counts as down: a VM that no longer
calls the log would not detect its recovery."""


class LogCall(Enum):
    """The purpose of a call to the log; the value is a label of the metric."""

    FULL_TABLE = "whole table"
    NEW_RECORDS = "news"
    APPEND = "append"


class LogMonitor:
    """Counts this VM's calls to the log, and reports whether it is up.

    Args:
        calls: the counter of calls, by table, kind and outcome.

    Attributes:
        first_answer: set once the log has answered a call.

    .. versionadded:: 0.2
    """

    def __init__(self, calls: CounterTally) -> None:
        self.first_answer = asyncio.Event()
        self._calls = calls
        self._failures = 0
        self._failed_at = float("-inf")

    def is_up(self, now: float) -> bool:
        """Return whether the log counts as up for this VM."""
        if self._failures < FAILURES_UNTIL_DOWN:
            return True
        return now - self._failed_at > DOWN_EXPIRY_S

    def failed_within(self, duration_s: float, now: float) -> bool:
        """Return whether the last call failed, and did so within a duration."""
        return self._failures > 0 and now - self._failed_at <= duration_s

    def note_answered(self) -> None:
        """Note that the log answered a call."""
        self._failures = 0
        self.first_answer.set()

    def note_failed(self, now: float) -> None:
        """Note that a call got no answer."""
        self._failures += 1
        self._failed_at = now

    @contextmanager
    def watch(self, table: str, call: LogCall) -> Iterator[None]:
        """Note the outcome of the call that the context encloses."""
        outcome = "failed"
        try:
            yield
            outcome = "answered"
        except LogTrimmedError:
            outcome = "answered"
            raise
        except LogUnavailableError:
            self.note_failed(asyncio.get_running_loop().time())
            raise
        finally:
            if outcome == "answered":
                self.note_answered()
            self._calls.inc(table, call.value, outcome)


class MonitoredSource(RecordSource):
    """Delegates reads to a source and notes their outcomes.

    Args:
        table: the table's name.
        source: the table in the log.
        monitor: notes the outcomes.

    .. versionadded:: 0.2
    """

    def __init__(self, table: str, source: RecordSource, monitor: LogMonitor) -> None:
        self._table = table
        self._source = source
        self._monitor = monitor

    async def read_newest(self, *, timeout_s: float) -> RecordBatch:
        """Return the newest record of each key."""
        with self._monitor.watch(self._table, LogCall.FULL_TABLE):
            return await self._source.read_newest(timeout_s=timeout_s)

    async def read_after(self, position: int, *, wait_s: float) -> RecordBatch:
        """Return the records after a position; wait if there are none."""
        with self._monitor.watch(self._table, LogCall.NEW_RECORDS):
            return await self._source.read_after(position, wait_s=wait_s)


class MonitoredLog(MonitoredSource, RecordLog):
    """Delegates reads and writes to a log and notes their outcomes.

    Args:
        table: the table's name.
        log: the table in the log.
        monitor: notes the outcomes.

    .. versionadded:: 0.2
    """

    def __init__(self, table: str, log: RecordLog, monitor: LogMonitor) -> None:
        super().__init__(table, log, monitor)
        self._log = log

    async def append(self, key: str, value: bytes) -> None:
        """Write the newest record of a key."""
        with self._monitor.watch(self._table, LogCall.APPEND):
            await self._log.append(key, value)
