"""What this VM's own calls to the shared log show: how many, and whether it is up.

The log may ask a price for each call and refuses those over a rate, so operators see
who calls for what. A log that turns this VM away may serve others: the fleet's VMs
tell each other, so that one whose log is up reads it for those whose log is not. Owns
the last outcomes; relies on the tables that it wraps.
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
"""Calls in a row that must fail before the log counts as down: one connection may
break while the log serves on, and every change of relays costs a call of each VM."""

DOWN_EXPIRY_S = 10.0
"""Seconds after the last failure for which the log counts as down: a VM that no longer
calls it would never learn of its return."""


class LogCall(Enum):
    """What a call to the log is for; the value is its label."""

    FULL_TABLE = "whole table"
    NEW_RECORDS = "news"
    APPEND = "append"


class LogMonitor:
    """Counts this VM's calls to the log, and tells whether it is up.

    Args:
        calls: the metric, by table, kind and outcome.

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
        """Return whether the log served this VM's last calls."""
        if self._failures < FAILURES_UNTIL_DOWN:
            return True
        return now - self._failed_at > DOWN_EXPIRY_S

    def failed_within(self, duration_s: float, now: float) -> bool:
        """Return whether the last call failed, not longer ago than that."""
        return self._failures > 0 and now - self._failed_at <= duration_s

    def note_answered(self) -> None:
        """Note an answer."""
        self._failures = 0
        self.first_answer.set()

    def note_failed(self, now: float) -> None:
        """Note a call without an answer."""
        self._failures += 1
        self._failed_at = now

    @contextmanager
    def watch(self, table: str, call: LogCall) -> Iterator[None]:
        """Note the outcome of a call made meanwhile."""
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
    """Passes reads on and notes their outcome.

    Args:
        table: the table's name.
        source: the table itself.
        monitor: takes the outcomes.

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
        """Return what follows a position; wait for it if there is nothing."""
        with self._monitor.watch(self._table, LogCall.NEW_RECORDS):
            return await self._source.read_after(position, wait_s=wait_s)


class MonitoredLog(MonitoredSource, RecordLog):
    """Passes reads and writes on and notes their outcome.

    Args:
        table: the table's name.
        log: the table itself.
        monitor: takes the outcomes.

    .. versionadded:: 0.2
    """

    def __init__(self, table: str, log: RecordLog, monitor: LogMonitor) -> None:
        super().__init__(table, log, monitor)
        self._log = log

    async def append(self, key: str, value: bytes) -> None:
        """Write the newest record of a key."""
        with self._monitor.watch(self._table, LogCall.APPEND):
            await self._log.append(key, value)
