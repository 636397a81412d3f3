"""HTTP/1.1 heads: which headers travel on, and how heads are written.

Header names are bytes in lower case; a head keeps its headers in the order and
spelling in which they came.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
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
"""Headers that concern one connection only (RFC 9110, section 7.6.1)."""

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers that ramppin reads and sets, in lower case.

    The defaults are ramppin's own; an adapter passes those of its platform.

    Attributes:
        request_id: identifies one attempt of a caller.
        deadline_ms: milliseconds that the caller will wait.
        api_key: the caller's key; never passed on.
        customer: the customer that owns the key; set by ramppin.
        server: the backend server that alone may run the request.
        not_run: marks an answer of a backend server that did not run it.
        signature: proves that an answer is a backend server's own.
        load: a backend server's requests running, waiting, and slots.
        prompt_parts: the parts of a prompt, ``ID:TOKENS`` joined by commas.
        priority: queueing priority, 0 (first) to 9.
        last_event_id: where a stream is to be continued.
        copy_from: the backend server from which to copy a cached prefix.

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
    prompt_parts: bytes = b"ramppin-prompt-parts"
    priority: bytes = b"ramppin-priority"
    last_event_id: bytes = b"last-event-id"
    copy_from: bytes = b"ramppin-copy-prefix-from"


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header with a name, or None."""
    for key, value in headers:
        if len(key) == len(name) and key.lower() == name:
            return value
    return None


def keep_end_to_end(headers: Headers, drop: frozenset[bytes]) -> Headers:
    """Return the headers that travel on.

    Args:
        headers: as received.
        drop: further names to leave out, in lower case.
    """
    listed = find_header(headers, b"connection")
    named = frozenset[bytes]()
    if listed:
        named = frozenset(part.strip() for part in listed.lower().split(b","))
    left_out = HOP_BY_HOP | drop | named if named else HOP_BY_HOP | drop
    return [pair for pair in headers if pair[0].lower() not in left_out]


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
