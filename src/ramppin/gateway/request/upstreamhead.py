"""The head of a request as a backend server gets it.

Built once for a request and completed for each attempt. No I/O.
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
from ramppin.gateway.version.routing import Customer, Route

MAX_PRIORITY = 9
"""The least urgent priority that a backend server takes; 0 is the most urgent."""

PRIORITIES_PER_CUSTOMER_RANK = 3
"""Priorities of one rank of customers: the customer's rank comes first, the route's
decides among those of equal rank."""

_FRAMING = frozenset({b"content-length", b"expect"})
"""Headers of the caller's connection that the request to a server has anew."""


class RequestHeadBuilder:
    """Builds the heads of a request's attempts.

    Args:
        names: names of headers.
        request: as the caller sent it.
        route: its route.
        customer: the customer that owns its key, or None.

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
            rank = customer.priority if customer else 0
            priority = rank * PRIORITIES_PER_CUSTOMER_RANK + min(
                route.priority, PRIORITIES_PER_CUSTOMER_RANK - 1
            )
            value = b"%d" % max(0, min(MAX_PRIORITY, priority))
            self._headers.append((names.priority, value))

    def resume_after(self, last_event_id: bytes) -> None:
        """Let the next attempt continue after an event."""
        name = self._names.last_event_id
        self._headers = [pair for pair in self._headers if pair[0].lower() != name]
        self._headers.append((name, last_event_id))

    def build(
        self, server_name: str, time_left_s: float, source: BackendServer | None
    ) -> bytes:
        """Return the encoded head for one server.

        Args:
            server_name: of the backend server that alone may run the request.
            time_left_s: time until the request is given up.
            source: another server that has the prompt's prefix, or None.
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
