"""HTTP/1.1 message heads: encoding, and selection of the headers to forward.

Names to compare with are bytes in lower case; the headers of a head keep the order and
spelling in which they were received.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus

Headers = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that apply to one connection only (RFC 9110, section 7.6.1)."""

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers that ramppin reads and sets, in lower case.

    The defaults are ramppin's own; an adapter passes those of its platform.

    Attributes:
        request_id: identifies one attempt of a caller.
        deadline_ms: milliseconds that the caller waits for an answer.
        api_key: the caller's key; never forwarded.
        customer: the customer that owns the key; set by ramppin.
        server: the only backend server that may run the request.
        not_run: set by a backend server that did not run the request.
        signature: proves that an answer comes from a backend server.
        load: a backend server's running requests, waiting requests and slots.
        leaving: ``1`` in answers of a backend server that accepts no new requests.
        brittle: rejections a second beyond which a backend server falls over.
        prompt_parts: the parts of a prompt, ``ID:TOKENS`` joined by commas.
        priority: queueing priority, 0 (first) to 9.
        last_event_id: the event after which a stream is to be resumed.
        continues: the attempt that brought the first event of that stream.
        copy_from: the backend server from which to copy a cached prefix.
        model: the requested model.
        request_size: tokens of the prompt, and the maximum of output tokens.
        output_hint: the caller's estimate of the output tokens.
        reservation: a slot and memory reserved for the request.
        pin_ms: how long the server retains the request's memory, in milliseconds.
        backup_to: the backend server to which that memory is copied as it grows.
        resume_from: a copy of a run's memory from which the request is resumed.
        weights_version: the only version of the weights that may serve it.
        forwarded: version of the protocol between VMs, in requests that one VM passes
            to another.
        forward_refused: why a VM did not pass such a request on; it has not run.
        confirmed_not_run: marks the final answer to such a request if it has not run
            and never will; without the mark it may have run.
        served_by: the backend server that answered such a request.
        unconfirmed_end: marks the answer to such a request if nothing but the close of
            the server's connection showed its end.
        never_from_caller: headers that only ramppin may send to a server. A caller
            could use them to claim a server's memory or a place in its queue; an
            instruction that no server recognizes is refused by each in turn.
        always_from_caller: headers forwarded even if ``Connection`` lists them.
        between_vms: headers that only VMs send to each other.

    .. versionadded:: 0.2
    """

    request_id: bytes = b"ramppin-request-id"
    deadline_ms: bytes = b"ramppin-deadline-ms"
    api_key: bytes = b"ramppin-api-key"
    customer: bytes = b"ramppin-customer"
    server: bytes = b"ramppin-backend-server"
    not_run: bytes = b"ramppin-not-run"
    signature: bytes = b"ramppin-signature"
    load: bytes = b"ramppin-load"
    leaving: bytes = b"ramppin-leaving"
    brittle: bytes = b"ramppin-brittle"
    prompt_parts: bytes = b"ramppin-prompt-parts"
    priority: bytes = b"ramppin-priority"
    last_event_id: bytes = b"last-event-id"
    continues: bytes = b"ramppin-continues"
    copy_from: bytes = b"ramppin-copy-prefix-from"
    model: bytes = b"ramppin-model"
    request_size: bytes = b"ramppin-request-size"
    output_hint: bytes = b"ramppin-output-hint"
    reservation: bytes = b"ramppin-reservation"
    pin_ms: bytes = b"ramppin-pin-ms"
    backup_to: bytes = b"ramppin-backup-to"
    resume_from: bytes = b"ramppin-resume-from"
    weights_version: bytes = b"ramppin-weights-version"
    forwarded: bytes = b"ramppin-forwarded"
    forward_refused: bytes = b"ramppin-forward-refused"
    confirmed_not_run: bytes = b"ramppin-confirmed-not-run"
    served_by: bytes = b"ramppin-served-by"
    unconfirmed_end: bytes = b"ramppin-unconfirmed-end"

    never_from_caller: frozenset[bytes] = field(init=False)
    always_from_caller: frozenset[bytes] = field(init=False)
    between_vms: frozenset[bytes] = field(init=False)

    def __post_init__(self) -> None:
        """Derive the sets from the names."""
        between = {
            self.forwarded,
            self.forward_refused,
            self.confirmed_not_run,
            self.served_by,
            self.unconfirmed_end,
        }
        never = between | {
            self.api_key,
            self.customer,
            self.server,
            self.deadline_ms,
            self.priority,
            self.copy_from,
            self.reservation,
            self.pin_ms,
            self.backup_to,
            self.resume_from,
            self.weights_version,
        }
        always = {
            self.request_id,
            self.prompt_parts,
            self.model,
            self.request_size,
            self.last_event_id,
            self.continues,
        }
        object.__setattr__(self, "never_from_caller", frozenset(never))
        object.__setattr__(self, "always_from_caller", frozenset(always))
        object.__setattr__(self, "between_vms", frozenset(between))


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header with a name, or None."""
    for key, value in headers:
        if len(key) == len(name) and key.lower() == name:
            return value
    return None


def keep_end_to_end(
    headers: Headers, drop: frozenset[bytes], keep: frozenset[bytes] = frozenset()
) -> Headers:
    """Return the headers to forward.

    Args:
        headers: as received.
        drop: further names to remove, in lower case.
        keep: names that ``Connection`` can't remove, in lower case.
    """
    named = _list_connection_options(headers) - keep
    left_out = HOP_BY_HOP | drop | named if named else HOP_BY_HOP | drop
    return [pair for pair in headers if pair[0].lower() not in left_out]


def _list_connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the names listed in all ``Connection`` headers, in lower case."""
    listed = [value for name, value in headers if name.lower() == b"connection"]
    if not listed:
        return frozenset()
    return frozenset(part.strip() for part in b",".join(listed).lower().split(b","))


def encode_request(method: bytes, target: bytes, headers: Headers) -> bytes:
    """Return the head of a request."""
    return _encode(b"%b %b HTTP/1.1\r\n" % (method, target), headers)


def encode_answer(status: int, headers: Headers) -> bytes:
    """Return the head of an answer."""
    reason = _REASONS.get(status, b"Status")
    return _encode(b"HTTP/1.1 %d %b\r\n" % (status, reason), headers)


def encode_chunk(data: bytes) -> bytes:
    """Return data as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def _encode(first_line: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    lines = [first_line]
    lines += [b"%b: %b\r\n" % pair for pair in headers]
    lines.append(b"\r\n")
    return b"".join(lines)
