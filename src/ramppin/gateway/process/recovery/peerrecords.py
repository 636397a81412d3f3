"""Records from peers: what a VM does while the shared log turns it away.

A VM whose replica grows stale asks peers for what follows its position. Each
answer tells how old the peer's own knowledge is, so that staleness is never
hidden; offsets decide, so that a peer that is behind changes nothing.
"""

from __future__ import annotations

import asyncio
import logging
import random
import zlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from ramppin.errors import LogUnavailableError
from ramppin.gateway.connection.callerwire import CallerConnection, Responder
from ramppin.gateway.connection.fetch import Fetcher
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.process.recovery.follower import Follower
from ramppin.gateway.process.recovery.replica import Record, Replica

LOG = logging.getLogger(__name__)

RECORDS_TARGET = "/records"
ASK_PERIOD_S = 0.3
ASK_TIMEOUT_S = 0.6
PEERS_ASKED = 2
OVERDUE_S = 0.6
"""A read of the log that is this late makes a replica stale."""

NEVER_MS = 1_000_000_000


class PeerRecord(msgspec.Struct, array_like=True, frozen=True):
    """A record as peers send it."""

    key: str
    value: bytes | None
    offset: int


class TableState(msgspec.Struct, array_like=True, frozen=True):
    """What a peer knows of a table.

    Attributes:
        position: offset up to which it knows the log.
        age_ms: how long ago that was the log's end.
        records: the newest records from the position that was asked for.
    """

    position: int
    age_ms: int
    records: list[PeerRecord]


class PeerQuestion(msgspec.Struct, array_like=True, frozen=True):
    """What a VM asks a peer.

    Attributes:
        vm: who asks.
        positions: by table, the offset from which records are wanted.
        wait_ms: how long to wait while there are none.
    """

    vm: str
    positions: dict[str, int]
    wait_ms: int = 0


class PeerAnswer(msgspec.Struct, array_like=True, frozen=True):
    """What a peer knows, by table."""

    tables: dict[str, TableState]


_QUESTION = msgspec.msgpack.Decoder(PeerQuestion)
_ANSWER = msgspec.msgpack.Decoder(PeerAnswer)

MAX_WAIT_MS = 2_000
COMPRESS_ABOVE_BYTES = 2_000
COMPRESSION_LEVEL = 1
PLAIN_MARK = b"p"
COMPRESSED_MARK = b"z"


def encode_question(question: PeerQuestion) -> bytes:
    """Return a question's bytes."""
    return msgspec.msgpack.encode(question)


def encode_answer(answer: PeerAnswer) -> bytes:
    """Return an answer's bytes; a large one is compressed."""
    data = msgspec.msgpack.encode(answer)
    if len(data) <= COMPRESS_ABOVE_BYTES:
        return PLAIN_MARK + data
    return COMPRESSED_MARK + zlib.compress(data, COMPRESSION_LEVEL)


def decode_answer(data: bytes, peer: str) -> PeerAnswer:
    """Return an answer.

    Raises:
        LogUnavailableError: the bytes are none.
    """
    try:
        packed = data[1:]
        if data[:1] == COMPRESSED_MARK:
            packed = zlib.decompress(packed)
        return _ANSWER.decode(packed)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise LogUnavailableError(
            f"unreadable answer: {error}", step="records", peer=peer
        ) from error


class RecordsResponder(Responder):
    """Answers peers' questions.

    Args:
        connection: the peer's connection.
        replicas: by name, what this VM knows.

    .. versionadded:: 0.2
    """

    def __init__(
        self, connection: CallerConnection, replicas: dict[str, Replica]
    ) -> None:
        self._connection = connection
        self._replicas = replicas

    def accept_request(self, request: CallerRequest) -> None:
        """Answer at once."""
        if request.target != RECORDS_TARGET.encode():
            self._connection.send_whole(404, [], b"")
            return
        try:
            question = _QUESTION.decode(request.body)
        except msgspec.MsgspecError:
            self._connection.send_whole(400, [], b"")
            return
        if question.wait_ms > 0 and not self._has_news(question):
            self._wait(question)
        else:
            self._connection.send_whole(200, [], self._build_answer(question))

    def _has_news(self, question: PeerQuestion) -> bool:
        for name, position in question.positions.items():
            replica = self._replicas.get(name)
            if replica is not None and replica.position > position:
                return True
        return False

    def _wait(self, question: PeerQuestion) -> None:
        """Answer once a table has moved, or the wait is over."""
        loop = asyncio.get_running_loop()
        answered = False

        def answer() -> None:
            nonlocal answered
            if not answered:
                answered = True
                timer.cancel()
                self._connection.send_whole(200, [], self._build_answer(question))

        def answer_soon() -> None:
            # Later in the loop: the records are applied by then.
            loop.call_soon(answer)

        wait_s = min(question.wait_ms, MAX_WAIT_MS) / 1000
        timer = loop.call_later(wait_s, answer)
        for name in question.positions:
            replica = self._replicas.get(name)
            if replica is not None:
                replica.call_when_advanced(answer_soon)

    def accept_disconnect(self) -> None:
        """Nothing is in flight here."""

    def accept_backpressure(self, *, paused: bool) -> None:
        """Answers here are small."""

    def _build_answer(self, question: PeerQuestion) -> bytes:
        now = asyncio.get_running_loop().time()
        tables = {}
        for name, position in question.positions.items():
            replica = self._replicas.get(name)
            if replica is None or not replica.started:
                continue
            age_ms = int(min(NEVER_MS, (now - replica.confirmed_at) * 1000))
            records = [
                PeerRecord(record.key, record.value, record.offset)
                for record in replica.list_since(position)
            ]
            tables[name] = TableState(replica.position, age_ms, records)
        return encode_answer(PeerAnswer(tables))


@dataclass(frozen=True, slots=True)
class FollowedTable:
    """A replica and what keeps it current."""

    replica: Replica
    follower: Follower
    wait_s: float

    def is_stale(self, now: float) -> bool:
        """Return whether the log has not been heard for too long."""
        if not self.follower.reachable:
            return True
        return now - self.replica.confirmed_at > self.wait_s + OVERDUE_S


class PeerReader:
    """Asks peers while the log is away.

    Args:
        vm: this VM's name.
        port: the port on which every VM answers.
        tables: what is kept current.
        list_peers: returns the addresses of peers, the likeliest first.
        generator: chooses among peers.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        vm: str,
        port: int,
        tables: Sequence[FollowedTable],
        list_peers: Callable[[], list[str]],
        generator: random.Random,
    ) -> None:
        self._vm = vm
        self._port = port
        self._tables = tables
        self._list_peers = list_peers
        self._generator = generator

    async def run(self) -> None:
        """Ask whenever a replica is stale, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(ASK_PERIOD_S)
            now = loop.time()
            stale = [table for table in self._tables if table.is_stale(now)]
            if stale:
                await self._ask_some(stale)

    async def _ask_some(self, stale: list[FollowedTable]) -> None:
        peers = self._list_peers()
        chosen = self._generator.sample(peers, min(PEERS_ASKED, len(peers)))
        if chosen:
            await asyncio.gather(*(self._ask(peer, stale) for peer in chosen))

    async def _ask(self, host: str, stale: list[FollowedTable]) -> None:
        loop = asyncio.get_running_loop()
        positions = {table.replica.name: table.replica.position for table in stale}
        question = encode_question(PeerQuestion(self._vm, positions))
        asked_at = loop.time()
        fetcher = Fetcher(host, self._port, host)
        try:
            answer = await fetcher.post(
                RECORDS_TARGET, question, timeout_s=ASK_TIMEOUT_S
            )
            tables = decode_answer(answer.body, host).tables
        except LogUnavailableError as error:
            LOG.debug("no records: %s", error, extra={"peer": host})
            return
        finally:
            fetcher.close()
        for table in stale:
            state = tables.get(table.replica.name)
            if state is not None:
                _take(table.replica, state, asked_at)


def _take(replica: Replica, state: TableState, asked_at: float) -> None:
    as_of = asked_at - state.age_ms / 1000
    if as_of <= replica.confirmed_at and state.position <= replica.position:
        return
    records = [Record(r.key, r.value, r.offset) for r in state.records]
    replica.apply(records, state.position, as_of)
