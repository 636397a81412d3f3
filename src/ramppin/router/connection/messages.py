"""The messages that router VMs exchange, and their CBOR encoding.

A message is a CBOR array: a tag, then the fields in order. Arrays instead of
maps keep each message about a place near 30 bytes. A place is a reservation of
one request on a backend server; the owner of a shard grants its places.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError

from ramppin.errors import ProtocolError

PROTOCOL_VERSION = 1
"""Version of this protocol; links from VMs with another version are refused."""

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Maximum size of a message in bytes; limits the memory that a link can use."""


@dataclass(frozen=True, slots=True)
class HeldPlaceInfo:
    """A place that the sender of :class:`Sync` holds."""

    number: int
    backend_server: str
    customer: str


@dataclass(frozen=True, slots=True)
class Sync:
    """To a shard's owner: the complete list of places that the sender holds."""

    shard: str
    epoch: int
    places: tuple[HeldPlaceInfo, ...]


@dataclass(frozen=True, slots=True)
class Ask:
    """To a shard's owner: requests a place.

    Attributes:
        shard: the shard.
        number: number by which the sender identifies the place.
        chat: hash key of the chat; 0 for none.
        service: name of the service; with route and customer it selects the rules.
        route: index of the route, or -1.
        customer: the customer that sent the request.
        returning: whether the chat has had an earlier request.
        left_ms: time until the request's deadline, in milliseconds.
        exclude: backend servers on which the request has failed.
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
    """From the owner: grants a place. Fields as in ``placement.Grant``."""

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
    """From the owner: refuses a place."""

    number: int
    reason: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class NotOwner:
    """Reply to :class:`Ask` or :class:`Sync`: the sender does not own the shard now."""

    number: int
    epoch: int


@dataclass(frozen=True, slots=True)
class Free:
    """To the owner: frees a place, or withdraws the request for one.

    Attributes:
        shard: the shard.
        number: number by which the sender identifies the place.
        failed: whether the backend server failed to answer.
        running: whether the request may still be running on it.
    """

    shard: str
    number: int
    failed: bool = False
    running: bool = False


@dataclass(frozen=True, slots=True)
class AskEpochs:
    """Requests the lease epochs that the receiver has stored."""

    call: int


@dataclass(frozen=True, slots=True)
class Epochs:
    """Reply to :class:`AskEpochs`."""

    call: int
    epochs: dict[str, int]


@dataclass(frozen=True, slots=True)
class AskRecords:
    """Requests records of a stream from an offset, for a VM without log access."""

    call: int
    stream: str
    start: int


@dataclass(frozen=True, slots=True)
class Records:
    """Reply to :class:`AskRecords`: pairs of an offset and a JSON text."""

    call: int
    records: tuple[tuple[int, str], ...]


@dataclass(frozen=True, slots=True)
class AskTrace:
    """Requests the trace of a request that the receiver handled."""

    call: int
    request_id: str


@dataclass(frozen=True, slots=True)
class TraceReply:
    """Reply to :class:`AskTrace`: JSON, or empty if the trace is not stored."""

    call: int
    trace: str


@dataclass(frozen=True, slots=True)
class AskClaim:
    """Requests the outcome of a claim that the receiver holds.

    Attributes:
        call: number of the call.
        key: the claim's key.
        run: identifies one run of the process that holds the claim.
        taker: request that takes the claim over if the holder never sent its own.
        wait_ms: how long to wait for a request that is running, in milliseconds.
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
        status: HTTP status of the answer; 0 if there is none.
        headers: headers of the answer.
        body: body of the answer; None if it was not stored.
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
    """Return a message encoded as CBOR."""
    tag = _TAGS[type(message)]
    values = [_flatten(getattr(message, name)) for name in _FIELDS[tag]]
    return cbor2.dumps([tag, *values])


def decode_message(data: bytes, peer: str) -> Message:
    """Decode a message from CBOR.

    Args:
        data: the encoded message.
        peer: the VM that sent it; named in errors.

    Raises:
        ProtocolError: the data is not a valid message of this protocol.
    """
    try:
        value = cbor2.loads(data)
    except (ValueError, EOFError, RecursionError, cbor2.CBORDecodeError) as error:
        raise ProtocolError(
            f"invalid CBOR: {error}", step="decode", peer=peer
        ) from error
    if not isinstance(value, list) or not value:
        raise ProtocolError("empty, or not a CBOR array", step="decode", peer=peer)
    tag, *values = value
    if not isinstance(tag, int) or not 0 <= tag < len(_KINDS):
        raise ProtocolError(f"unknown message tag {tag!r}", step="decode", peer=peer)
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
