"""Appends claims of keys to the log in batches."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass

from ramppin.errors import AppendUnknownError, LogUnavailableError
from ramppin.router.connection.log import LogClient
from ramppin.router.process.claims.claims import (
    Claim,
    ClaimItem,
    ClaimRecord,
    ClaimTable,
    HeldClaims,
)

LOG = logging.getLogger(__name__)

STREAM = "claims"
MAX_BATCH = 500
"""Maximum number of claims in one append to the log."""

FIND_LOST_S = 1.5
"""Time to wait for a claim in the log after the append's answer was lost."""


@dataclass(frozen=True, slots=True)
class _Waiting:
    item: ClaimItem
    future: asyncio.Future[Claim]


class Claimer:
    """Claims keys for requests that must run at most once.

    Claims that arrive during an append go into the next one.

    Args:
        vm: this VM.
        run: number of the run of its process.
        client: the log's client.
        table: all claims in the log.
        held: the claims that this VM holds.
        request_read: makes the reader of the stream read at once.
        wall_clock: seconds since the epoch.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        vm: str,
        run: int,
        client: LogClient,
        table: ClaimTable,
        held: HeldClaims,
        *,
        request_read: Callable[[], None] = lambda: None,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.appends = 0
        self._vm = vm
        self._run = run
        self._client = client
        self._table = table
        self._held = held
        self._request_read = request_read
        self._wall_clock = wall_clock
        self._queue: asyncio.Queue[_Waiting] = asyncio.Queue()
        self._numbers = itertools.count(1)
        self._waiting: dict[str, _Waiting] = {}

    async def claim(self, item: ClaimItem, timeout_s: float) -> Claim:
        """Claim a key and return the winning claim, which another VM may hold.

        Raises:
            LogUnavailableError: the claim was not confirmed; the request must
                not be run under it.
        """
        future: asyncio.Future[Claim] = asyncio.get_running_loop().create_future()
        waiting = _Waiting(item, future)
        if item.key in self._waiting:
            # An earlier request with this key is still waiting for its claim.
            return await self._await_claim(self._waiting[item.key], timeout_s)
        self._waiting[item.key] = waiting
        self._queue.put_nowait(waiting)
        try:
            return await self._await_claim(waiting, timeout_s)
        finally:
            if self._waiting.get(item.key) is waiting:
                del self._waiting[item.key]

    def apply(self, offset: int, value: object) -> None:
        """Apply a record of the claims' stream, in order."""
        for claim in self._table.apply(offset, value, self._wall_clock()):
            if claim.vm == self._vm and claim.run == self._run:
                self._held.add(claim.key)
        for key, waiting in self._waiting.items():
            won = self._table.find(key)
            if won and not waiting.future.done():
                waiting.future.set_result(won)

    async def run(self) -> None:
        """Append claims until cancelled."""
        while True:
            batch = [await self._queue.get()]
            while not self._queue.empty() and len(batch) < MAX_BATCH:
                batch.append(self._queue.get_nowait())
            await self._append([w for w in batch if not w.future.done()])

    async def _append(self, batch: list[_Waiting]) -> None:
        if not batch:
            return
        record = ClaimRecord(
            vm=self._vm,
            run=self._run,
            number=next(self._numbers),
            at=self._wall_clock(),
            items=tuple(waiting.item for waiting in batch),
        )
        self.appends += 1
        try:
            await self._client.append(STREAM, record)
            self._request_read()
        except AppendUnknownError as error:
            # The record may be in the log: the tail shows it, or the wait times out.
            LOG.warning("answer to append lost: %s", error, extra={"step": "claim"})
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._await_all(batch), FIND_LOST_S)
        except LogUnavailableError as error:
            for waiting in batch:
                if not waiting.future.done():
                    waiting.future.set_exception(error)

    async def _await_all(self, batch: list[_Waiting]) -> None:
        futures = [asyncio.shield(waiting.future) for waiting in batch]
        await asyncio.gather(*futures, return_exceptions=True)

    async def _await_claim(self, waiting: _Waiting, timeout_s: float) -> Claim:
        try:
            return await asyncio.wait_for(asyncio.shield(waiting.future), timeout_s)
        except TimeoutError as error:
            raise LogUnavailableError(
                "the claim was not confirmed in time", step="claim"
            ) from error
