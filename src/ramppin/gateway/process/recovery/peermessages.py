"""The messages with which VMs ask each other for records, and their bytes.

MessagePack through msgspec, each checked against its type while decoding. A large
answer is compressed; its first byte says so.
"""

from __future__ import annotations

import zlib

import msgspec

from ramppin.errors import LogUnavailableError

RECORDS_TARGET = "/records"

COMPRESS_ABOVE_BYTES = 2_000
"""Size above which an answer is compressed: below it fits two packets."""

COMPRESSION_LEVEL = 1
"""zlib's fastest level: processor time is dear on small VMs."""

PLAIN_MARK = b"p"
COMPRESSED_MARK = b"z"


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


def encode_question(question: PeerQuestion) -> bytes:
    """Return a question's bytes."""
    return msgspec.msgpack.encode(question)


def decode_question(data: bytes) -> PeerQuestion:
    """Return a question.

    Raises:
        msgspec.MsgspecError: the bytes are not a question.
    """
    return _QUESTION.decode(data)


def encode_answer(answer: PeerAnswer) -> bytes:
    """Return an answer's bytes; a large one is compressed."""
    data = msgspec.msgpack.encode(answer)
    if len(data) <= COMPRESS_ABOVE_BYTES:
        return PLAIN_MARK + data
    return COMPRESSED_MARK + zlib.compress(data, COMPRESSION_LEVEL)


def decode_answer(data: bytes, peer: str) -> PeerAnswer:
    """Return an answer.

    Args:
        data: the bytes.
        peer: who sent them, for errors.

    Raises:
        LogUnavailableError: the bytes are not an answer.
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
