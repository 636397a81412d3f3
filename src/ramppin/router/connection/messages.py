"""The messages between VMs of the fleet, and their CBOR form.

A message is a CBOR array: its tag, then its fields in order. Short arrays in
place of maps keep a place's messages near 30 bytes each.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError

from ramppin.errors import ProtocolError

PROTOCOL_VERSION = 1
"""Version of these messages; VMs of another one are refused."""

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Bytes of the largest message, a bound on memory."""


@dataclass(frozen=True, slots=True)
class HeldPlaceInfo:
    """A place that the sender of :class:`Sync` holds."""

    number: int
    backend_server: str
    customer: str


@dataclass(frozen=True, slots=True)
class Sync:
    """To a shard's owner: all places that the sender holds; none besides."""

    shard: str
    epoch: int
    places: tuple[HeldPlaceInfo, ...]


@dataclass(frozen=True, slots=True)
class Ask:
    """To a shard's owner: a place, please.

    Attributes:
        shard: the shard.
        number: the place's number at the sender.
        chat: the chat's key.
        service: by which, with route and customer, the owner finds the rules.
        route: index of the route, or -1.
        customer: who asks.
        returning: whether the chat was here before.
        left_ms: time until the request's deadline, in milliseconds.
        exclude: backend servers that it has failed on.
    """

    shard: str
    number: int
    chat: int
    service: str
    route: int
    customer: str
    returning: bool
    left_ms: int
    exclude: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Granted:
    """From the owner: a place. Fields as in ``placement.Grant``."""

    number: int
    backend_server: str
    reason: str
    load: int
    cap: int
    total: int
    members: int
    waited_ms: int
    epoch: int


@dataclass(frozen=True, slots=True)
class Refused:
    """From the owner: no place."""

    number: int
    reason: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class NotOwner:
    """To one who asked: this VM may not grant places of the shard now."""

    number: int
    epoch: int


@dataclass(frozen=True, slots=True)
class Free:
    """To the owner: the place is free, or the wait for it is over.

    Attributes:
        shard: the shard.
        number: the place's number at the sender.
        failed: whether the backend server failed to answer.
        running: whether the request may still run there.
    """

    shard: str
    number: int
    failed: bool = False
    running: bool = False


@dataclass(frozen=True, slots=True)
class AskEpochs:
    """Which lease epochs does the receiver know, and can it read the log?"""

    call: int


@dataclass(frozen=True, slots=True)
class Epochs:
    """Reply to :class:`AskEpochs`."""

    call: int
    epochs: dict[str, int]


@dataclass(frozen=True, slots=True)
class AskRecords:
    """Records of a stream from an offset, for one cut off from the log."""

    call: int
    stream: str
    start: int


@dataclass(frozen=True, slots=True)
class Records:
    """Reply to :class:`AskRecords`; JSON texts by offset."""

    call: int
    records: tuple[tuple[int, str], ...]


@dataclass(frozen=True, slots=True)
class AskTrace:
    """The trace of a request that the receiver decided."""

    call: int
    request_id: str


@dataclass(frozen=True, slots=True)
class TraceReply:
    """Reply to :class:`AskTrace`; JSON, or empty if it is not kept."""

    call: int
    trace: str


@dataclass(frozen=True, slots=True)
class AskClaim:
    """What became of a claim that the receiver holds?

    Attributes:
        call: number of the call.
        key: the claim's key.
        run: the run of the process that holds it.
        taker: the request that would run it, were it never sent.
        wait_ms: how long to wait for one that is running.
    """

    call: int
    key: str
    run: int
    taker: str
    wait_ms: int


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Reply to :class:`AskClaim`.

    Attributes:
        call: number of the call.
        state: ``ran``, ``unknown``, ``running``, ``given``, or ``lost``.
        status: the answer's HTTP status; 0 without an answer.
        headers: the answer's headers.
        body: the answer's body; None if it was not kept.
    """

    call: int
    state: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


Message = (
    Sync
    | Ask
    | Granted
    | Refused
    | NotOwner
    | Free
    | AskEpochs
    | Epochs
    | AskRecords
    | Records
    | AskTrace
    | TraceReply
    | AskClaim
    | ClaimReply
)
Reply = Epochs | Records | TraceReply | ClaimReply

_KINDS: tuple[type[Any], ...] = (
    Sync,
    Ask,
    Granted,
    Refused,
    NotOwner,
    Free,
    AskEpochs,
    Epochs,
    AskRecords,
    Records,
    AskTrace,
    TraceReply,
    AskClaim,
    ClaimReply,
)
_TAGS = {kind: tag for tag, kind in enumerate(_KINDS)}
_FIELDS = [tuple(f.name for f in dataclasses.fields(kind)) for kind in _KINDS]
_ADAPTERS = [TypeAdapter(kind) for kind in _KINDS]


def encode_message(message: Message) -> bytes:
    """Return a message's CBOR form."""
    tag = _TAGS[type(message)]
    values = [_flatten(getattr(message, name)) for name in _FIELDS[tag]]
    return cbor2.dumps([tag, *values])


def decode_message(data: bytes, peer: str) -> Message:
    """Return the message that CBOR data holds.

    Args:
        data: the data.
        peer: who sent it, for errors.

    Raises:
        ProtocolError: the data is no message of this protocol.
    """
    try:
        value = cbor2.loads(data)
    except (ValueError, EOFError, RecursionError, cbor2.CBORDecodeError) as error:
        raise ProtocolError(f"no CBOR: {error}", step="decode", peer=peer) from error
    if not isinstance(value, list) or not value:
        raise ProtocolError("no message", step="decode", peer=peer)
    tag, *values = value
    if not isinstance(tag, int) or not 0 <= tag < len(_KINDS):
        raise ProtocolError(f"unknown tag {tag!r}", step="decode", peer=peer)
    if len(values) > len(_FIELDS[tag]):
        raise ProtocolError("too many fields", step="decode", peer=peer)
    fields = dict(zip(_FIELDS[tag], values, strict=False))
    try:
        message: Message = _ADAPTERS[tag].validate_python(fields)
    except ValidationError as error:
        raise ProtocolError(str(error), step="decode", peer=peer) from error
    return message


def _flatten(value: Any) -> Any:
    if isinstance(value, tuple):
        return [_flatten(item) for item in value]
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return dataclasses.asdict(value)
    return value
