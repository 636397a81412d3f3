"""Keeps the replica of a table current by polling the shared log.

Records whether the log is reachable for the table, and when it became so. While it is
not, :mod:`~.peerreader` requests the records from peers.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from ramppin.errors import LogTrimmedError, LogUnavailableError
from ramppin.gateway.process.recovery.peerchoice import is_stale
from ramppin.gateway.process.recovery.replica import Replica
from ramppin.gateway.process.recovery.sources import RecordBatch, RecordSource

LOG = logging.getLogger(__name__)

FIRST_BACKOFF_S = 0.1
"""Seconds before a failed read is retried; doubled each time, with a jitter of 0.3."""

LONGEST_BACKOFF_S = 0.6
"""Maximum pause between two failed reads, in seconds: settings must be in force within
2 s of the log's recovery."""

FIRST_READ_TIMEOUT_S = 3.0
"""Seconds that the first read may take; doubled at each failure.

VMs that start together share the log's bandwidth. If each gave up early and retried,
the repeated reads would slow down the others, and none would finish.
"""

LONGEST_READ_TIMEOUT_S = 12.0
"""Upper limit of the timeout of the first read, in seconds."""

READ_AGAIN_TIMEOUT_S = 1.0
"""Seconds that a later read of the whole table may take; the replica stays in use."""

RELAYED_INTERVAL_S = 0.05
"""Seconds between two reads through a relay, which limits the rate of its own reads."""


class Follower:
    """Polls a source and applies its records to a replica.

    Args:
        replica: the replica to keep current.
        source: the source of its records.
        interval_s: pause between two direct reads of the log.
        wait_s: longest time that a read waits at the end of the log.
        generator: source of the jitter that spreads the retries of many VMs.
        note_first: called once, with whether the first read succeeded.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        replica: Replica,
        source: RecordSource,
        *,
        interval_s: float,
        wait_s: float,
        generator: random.Random,
        note_first: Callable[[bool], None] | None = None,
    ) -> None:
        self._note_first = note_first
        self._replica = replica
        self._source = source
        self._interval_s = interval_s
        self._wait_s = wait_s
        self._generator = generator
        self._backoff_s = FIRST_BACKOFF_S
        self._reachable = True
        self._complete = False
        self._first_read_timeout_s = FIRST_READ_TIMEOUT_S
        self.regained_at = float("-inf")

    @property
    def reachable(self) -> bool:
        """Whether the last read succeeded."""
        return self._reachable

    async def run(self) -> None:
        """Follow the source until cancelled."""
        while True:
            try:
                relayed = await self._read()
            except LogTrimmedError:
                self._complete = False
                relayed = False
            except LogUnavailableError as error:
                self._note_outcome(succeeded=False)
                self._note_lost(error)
                await asyncio.sleep(self.choose_backoff_s())
                continue
            self._note_outcome(succeeded=True)
            self._note_regained()
            await self._pause(relayed=relayed)

    async def _pause(self, *, relayed: bool) -> None:
        """Wait between two successful reads."""
        interval_s = self._interval_s
        if relayed:
            interval_s = min(interval_s, RELAYED_INTERVAL_S)
        if interval_s:
            await asyncio.sleep(interval_s)

    async def _read(self) -> bool:
        """Read once; return whether a relay answered."""
        asked_at = asyncio.get_running_loop().time()
        if not self._complete:
            batch = await self._read_newest()
            self._replica.replace(batch.records, batch.position, asked_at)
            self._complete = True
            return False
        # The first read after an outage must return at once, without a wait.
        wait_s = self._wait_s if self._reachable else 0.0
        batch = await self._source.read_after(self._replica.position, wait_s=wait_s)
        as_of = asked_at + batch.waited_s - batch.age_s
        if batch.is_whole:
            self._replica.replace(batch.records, batch.position, as_of)
        else:
            self._replica.apply(batch.records, batch.position, as_of)
        return batch.relayed

    async def _read_newest(self) -> RecordBatch:
        if self._replica.started:
            return await self._source.read_newest(timeout_s=READ_AGAIN_TIMEOUT_S)
        timeout_s = self._first_read_timeout_s
        self._first_read_timeout_s = min(LONGEST_READ_TIMEOUT_S, 2 * timeout_s)
        return await self._source.read_newest(timeout_s=timeout_s)

    def choose_backoff_s(self) -> float:
        """Return the pause after another failed read, in seconds."""
        pause_s = self._backoff_s * self._generator.uniform(0.7, 1.3)
        self._backoff_s = min(LONGEST_BACKOFF_S, self._backoff_s * 2)
        return pause_s

    def _note_outcome(self, *, succeeded: bool) -> None:
        if self._note_first is not None:
            self._note_first(succeeded)
            self._note_first = None

    def _note_lost(self, error: LogUnavailableError) -> None:
        if self._reachable:
            self._reachable = False
            LOG.warning("log outage: %s", error, extra={"step": self._replica.name})

    def _note_regained(self) -> None:
        self._backoff_s = FIRST_BACKOFF_S
        if not self._reachable:
            self._reachable = True
            self.regained_at = asyncio.get_running_loop().time()
            LOG.info("log outage has ended", extra={"step": self._replica.name})


@dataclass(frozen=True, slots=True)
class FollowedTable:
    """A replica and the follower that keeps it current.

    Attributes:
        replica: the table's records.
        follower: reads them from the log.
        read_cycle_s: longest time between the ends of two successful reads.
    """

    replica: Replica
    follower: Follower
    read_cycle_s: float

    def is_stale(self, now: float) -> bool:
        """Return whether the table's records must be requested from peers."""
        return is_stale(
            reachable=self.follower.reachable,
            age_s=now - self.replica.confirmed_at,
            read_cycle_s=self.read_cycle_s,
        )
