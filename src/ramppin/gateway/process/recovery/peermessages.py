"""The messages with which VMs request records from each other, and their encoding.

Messages are encoded as MessagePack by msgspec, which validates them while decoding. The
first byte of an answer marks whether it is compressed.
"""

from __future__ import annotations

import zlib

import msgspec

from ramppin.errors import LogUnavailableError

RECORDS_TARGET = "/records"

COMPRESS_ABOVE_BYTES = 2_000
"""Size above which an answer is compressed: a smaller one fits in two packets."""

COMPRESSION_LEVEL = 1
"""The fastest level of zlib: CPU time is scarce on small VMs."""

PLAIN_MARK = b"p"
COMPRESSED_MARK = b"z"


class PeerRecord(msgspec.Struct, array_like=True, frozen=True):
    """A record in an answer."""

    key: str
    value: bytes | None
    offset: int


class TableState(msgspec.Struct, array_like=True, frozen=True):
    """The state of a peer's replica of a table.

    Attributes:
        position: offset up to which the peer has read the log.
        age_ms: time since that was last confirmed to be the log's end.
        records: the newest record of each key from the requested position on.
        is_whole: whether they are all records, and the table has no other key.
    """

    position: int
    age_ms: int
    records: list[PeerRecord]
    is_whole: bool = False


class PeerRequest(msgspec.Struct, array_like=True, frozen=True):
    """A request for records.

    Attributes:
        vm: name of the requesting VM.
        positions: the offset from which records are requested, by table.
        wait_ms: how long to wait while there are none.
    """

    vm: str
    positions: dict[str, int]
    wait_ms: int = 0


class PeerAnswer(msgspec.Struct, array_like=True, frozen=True):
    """The answer to a request: the states of the requested tables, by name."""

    tables: dict[str, TableState]


_REQUEST = msgspec.msgpack.Decoder(PeerRequest)
_ANSWER = msgspec.msgpack.Decoder(PeerAnswer)


def encode_peer_request(peer_request: PeerRequest) -> bytes:
    """Return the encoded request."""
    return msgspec.msgpack.encode(peer_request)


def decode_peer_request(data: bytes) -> PeerRequest:
    """Decode a request.

    Raises:
        msgspec.MsgspecError: the bytes are not a valid request.
    """
    return _REQUEST.decode(data)


def encode_answer(answer: PeerAnswer) -> bytes:
    """Return the encoded answer, compressed if it is large."""
    data = msgspec.msgpack.encode(answer)
    if len(data) <= COMPRESS_ABOVE_BYTES:
        return PLAIN_MARK + data
    return COMPRESSED_MARK + zlib.compress(data, COMPRESSION_LEVEL)


def decode_answer(data: bytes, peer: str) -> PeerAnswer:
    """Decode an answer.

    Args:
        data: the bytes.
        peer: the peer that sent them, for error messages.

    Raises:
        LogUnavailableError: the bytes are not a valid answer.
    """
    try:
        packed = data[1:]
        if data[:1] == COMPRESSED_MARK:
            packed = zlib.decompress(packed)
        return _ANSWER.decode(packed)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise LogUnavailableError(
            f"answer could not be decoded: {error}", step="records", peer=peer
        ) from error
