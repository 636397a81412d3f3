"""Requests records from peers while this VM cannot read the shared log.

The rules that decide when peers are asked, and which, are in :mod:`~.peerchoice`. Each
answer contains the age of the peer's replica, so that the age of the records stays
visible. Records are applied by offset, so that a peer that lags changes nothing.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Sequence

from ramppin.errors import LogUnavailableError
from ramppin.gateway.connection.fetch import Fetcher
from ramppin.gateway.process.recovery.follower import FollowedTable
from ramppin.gateway.process.recovery.peerchoice import choose_peers
from ramppin.gateway.process.recovery.peermessages import (
    RECORDS_TARGET,
    PeerRequest,
    TableState,
    decode_answer,
    encode_peer_request,
)
from ramppin.gateway.process.recovery.replica import Record, Replica

LOG = logging.getLogger(__name__)

ASK_INTERVAL_S = 0.3
"""Seconds between two checks for stale tables."""

ASK_TIMEOUT_S = 0.6
"""Seconds within which a peer must answer; then others are asked."""


class PeerReader:
    """Updates stale tables from peers.

    Args:
        vm: this VM's name.
        port: the port on which every VM answers.
        tables: the tables to keep current.
        list_candidates: returns the addresses of peers that may be asked.
        generator: source of randomness for the choice of peers.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        vm: str,
        port: int,
        tables: Sequence[FollowedTable],
        list_candidates: Callable[[], list[str]],
        generator: random.Random,
    ) -> None:
        self._vm = vm
        self._port = port
        self._tables = tables
        self._list_candidates = list_candidates
        self._generator = generator

    async def run(self) -> None:
        """Query peers whenever a table is stale, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(ASK_INTERVAL_S)
            now = loop.time()
            stale = [table for table in self._tables if table.is_stale(now)]
            if stale:
                await self._query_peers(stale)

    async def _query_peers(self, stale: list[FollowedTable]) -> None:
        chosen = choose_peers(self._list_candidates(), self._generator)
        if chosen:
            await asyncio.gather(*(self._query_peer(host, stale) for host in chosen))

    async def _query_peer(self, host: str, stale: list[FollowedTable]) -> None:
        loop = asyncio.get_running_loop()
        positions = {table.replica.name: table.replica.position for table in stale}
        peer_request = encode_peer_request(PeerRequest(self._vm, positions))
        asked_at = loop.time()
        fetcher = Fetcher(host, self._port, host)
        try:
            answer = await fetcher.post(
                RECORDS_TARGET, peer_request, timeout_s=ASK_TIMEOUT_S
            )
            tables = decode_answer(answer.body, host).tables
        except LogUnavailableError as error:
            LOG.info("no records from peer: %s", error, extra={"peer": host})
            return
        finally:
            fetcher.close()
        for table in stale:
            state = tables.get(table.replica.name)
            if state is not None:
                _apply(table.replica, state, asked_at)


def _apply(replica: Replica, state: TableState, asked_at: float) -> None:
    as_of = asked_at - state.age_ms / 1000
    if as_of <= replica.confirmed_at and state.position <= replica.position:
        return
    records = [Record(r.key, r.value, r.offset) for r in state.records]
    if state.is_whole:
        replica.replace(records, state.position, as_of)
    else:
        replica.apply(records, state.position, as_of)
