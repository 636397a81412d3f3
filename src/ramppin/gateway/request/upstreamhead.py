"""Builds the head of a request to a backend server.

The common headers are built once per request, the others for each attempt. No I/O.
"""

from __future__ import annotations

from ramppin.gateway.connection.httpwire import (
    HeaderNames,
    Headers,
    encode_request,
    find_header,
    keep_end_to_end,
)
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.process.routing.serverstate import BackendServer
from ramppin.gateway.request.rank import compute_rank
from ramppin.gateway.version.routing import Customer, Route

_FRAMING = frozenset({b"content-length", b"expect"})
"""Headers that belong to the caller's connection and are not forwarded."""


class RequestHeadBuilder:
    """Builds the request heads for the attempts of a request.

    Args:
        names: configured header names.
        request: the caller's request.
        route: the request's route.
        customer: the customer that owns the API key, or None.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        names: HeaderNames,
        request: CallerRequest,
        route: Route,
        customer: Customer | None,
    ) -> None:
        self._names = names
        self._request = request
        drop = names.never_from_caller | _FRAMING
        keep = names.always_from_caller
        self._headers = keep_end_to_end(request.headers, drop, keep)
        has_length = find_header(request.headers, b"content-length") is not None
        if request.body or has_length:
            self._headers.append((b"Content-Length", b"%d" % len(request.body)))
        if customer is not None:
            self._headers.append((names.customer, customer.name.encode()))
        if route.keeps_prefix:
            rank = b"%d" % compute_rank(route, customer)
            self._headers.append((names.priority, rank))

    def resume_after(self, last_event_id: bytes) -> None:
        """Set the event after which the next attempt resumes the stream."""
        name = self._names.last_event_id
        self._headers = [pair for pair in self._headers if pair[0].lower() != name]
        self._headers.append((name, last_event_id))

    def build(
        self, server_name: str, time_left_s: float, source: BackendServer | None
    ) -> bytes:
        """Return the encoded head for one server.

        Args:
            server_name: name of the only backend server that may run the request.
            time_left_s: seconds until the request's time limit.
            source: another server that has cached the prompt's prefix, or None.
        """
        headers: Headers = [
            *self._headers,
            (self._names.server, server_name.encode()),
            (self._names.deadline_ms, b"%d" % max(1, int(time_left_s * 1000))),
        ]
        if source is not None:
            address = f"{source.host}:{source.port}"
            headers.append((self._names.copy_from, address.encode()))
        return encode_request(self._request.method, self._request.target, headers)
