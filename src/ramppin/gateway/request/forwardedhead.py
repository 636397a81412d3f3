"""Builds the head of a request that is passed to another VM.

The request stays as the caller sent it, API key included: the other VM admits and
serves it like one of its own callers'. No I/O.
"""

from __future__ import annotations

from ramppin.gateway.connection.httpwire import (
    HeaderNames,
    Headers,
    encode_chunk,
    encode_request,
    keep_end_to_end,
)
from ramppin.gateway.connection.requestreader import CallerRequest

FORWARD_VERSION = b"1"
"""Version of the protocol between VMs."""

_FRAMING = frozenset({b"content-length", b"expect"})


class ForwardedHeadBuilder:
    """Builds the heads of the attempts of one request.

    Each asks for ``100 Continue`` before the rest is sent. A VM that does not confirm
    a request so never has all of it, and another can get it. Requests without a body
    are sent with an empty chunked one, whose end is held back.

    Args:
        names: configured header names.
        request: the caller's request.

    .. versionadded:: 0.5
    """

    def __init__(self, names: HeaderNames, request: CallerRequest) -> None:
        self._names = names
        self._request = request
        drop = names.between_vms | _FRAMING | {names.deadline_ms}
        keep = names.always_from_caller | names.never_from_caller
        self._headers = keep_end_to_end(request.headers, drop, keep)
        self._has_deadline = request.find(names.deadline_ms) is not None

    def build(self, time_left_s: float, last_event_id: bytes | None) -> bytes:
        """Return the encoded head.

        Args:
            time_left_s: seconds until the request's time limit.
            last_event_id: event after which a stream is resumed; None if it is not.
        """
        headers: Headers = list(self._headers)
        if last_event_id is not None:
            name = self._names.last_event_id
            headers = [pair for pair in headers if pair[0].lower() != name]
            headers.append((name, last_event_id))
        if self._has_deadline:
            left_ms = max(1, int(time_left_s * 1000))
            headers.append((self._names.deadline_ms, b"%d" % left_ms))
        headers.append((self._names.forwarded, FORWARD_VERSION))
        headers.append((b"Expect", b"100-continue"))
        body = self._request.body
        if body:
            headers.append((b"Content-Length", b"%d" % len(body)))
        else:
            headers.append((b"Transfer-Encoding", b"chunked"))
        return encode_request(self._request.method, self._request.target, headers)

    def build_rest(self) -> bytes:
        """Return what follows the head once the other VM has confirmed it."""
        return self._request.body or encode_chunk(b"")
