"""Keeps a replica current: from the shared log, and from peers without it."""

from __future__ import annotations

import asyncio
import logging
import random

from ramppin.errors import LogTrimmedError, LogUnavailableError
from ramppin.gateway.process.recovery.replica import Replica
from ramppin.gateway.process.recovery.sources import RecordBatch, RecordSource

LOG = logging.getLogger(__name__)

FIRST_BACKOFF_S = 0.1
LONGEST_BACKOFF_S = 0.6

FIRST_READ_TIMEOUT_S = 3.0
LONGEST_READ_TIMEOUT_S = 12.0
"""Limits of the first read, doubled from one to the other.

All VMs may start together and share what the log sends in a second; a read that is
given up then and begun anew takes from the others and never ends.
"""

READ_AGAIN_TIMEOUT_S = 1.0
"""Limit of a later read of a whole table; what was known still serves."""

RELAYED_PACE_S = 0.05
"""Pause after an answer of a relay, which reads the log at its own pace."""


class Follower:
    """Reads a source again and again into a replica.

    Args:
        replica: what is kept current.
        source: where its records lie.
        pace_s: shortest time between two reads.
        wait_s: longest time that a read waits at the end of the log.
        generator: spreads the retries of many VMs.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        replica: Replica,
        source: RecordSource,
        *,
        pace_s: float,
        wait_s: float,
        generator: random.Random,
    ) -> None:
        self._replica = replica
        self._source = source
        self._pace_s = pace_s
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

    def find_hold_end(self, now: float, hold_s: float) -> float | None:
        """Return until when an entry that vanishes now may only have lapsed.

        Entries that lapsed while the source was away are back soon after its
        return, so a hold ends a fixed time after the return, not after the entry
        vanished: by then this VM is bound again by what the source says.

        Args:
            now: the loop's time.
            hold_s: time after the return in which entries come back.

        Returns:
            The loop's time, or None if the source was not away of late.
        """
        if not self._reachable:
            return now + hold_s
        end = self.regained_at + hold_s
        return end if now < end else None

    async def run(self) -> None:
        """Follow the source until cancelled."""
        while True:
            try:
                relayed = await self._read()
            except LogTrimmedError:
                self._complete = False
                relayed = False
            except LogUnavailableError as error:
                self._note_lost(error)
                await self._back_off()
                continue
            self._note_regained()
            pace_s = min(self._pace_s, RELAYED_PACE_S) if relayed else self._pace_s
            if pace_s:
                await asyncio.sleep(pace_s)

    async def _read(self) -> bool:
        """Read once; return whether a relay answered."""
        asked_at = asyncio.get_running_loop().time()
        if not self._complete:
            batch = await self._read_newest()
            self._replica.replace(batch.records, batch.position, asked_at)
            self._complete = True
            return False
        # After an outage the first answer must come at once, not after a wait.
        wait_s = self._wait_s if self._reachable else 0.0
        batch = await self._source.read_after(self._replica.position, wait_s=wait_s)
        as_of = asked_at - batch.age_s
        self._replica.apply(batch.records, batch.position, as_of)
        return batch.relayed

    async def _read_newest(self) -> RecordBatch:
        if self._replica.started:
            return await self._source.read_newest(timeout_s=READ_AGAIN_TIMEOUT_S)
        timeout_s = self._first_read_timeout_s
        self._first_read_timeout_s = min(LONGEST_READ_TIMEOUT_S, 2 * timeout_s)
        return await self._source.read_newest(timeout_s=timeout_s)

    async def _back_off(self) -> None:
        await asyncio.sleep(self._backoff_s * self._generator.uniform(0.7, 1.3))
        self._backoff_s = min(LONGEST_BACKOFF_S, self._backoff_s * 2)

    def _note_lost(self, error: LogUnavailableError) -> None:
        if self._reachable:
            self._reachable = False
            LOG.warning("log lost: %s", error, extra={"step": self._replica.name})

    def _note_regained(self) -> None:
        self._backoff_s = FIRST_BACKOFF_S
        if not self._reachable:
            self._reachable = True
            self.regained_at = asyncio.get_running_loop().time()
            LOG.info("log regained", extra={"step": self._replica.name})
