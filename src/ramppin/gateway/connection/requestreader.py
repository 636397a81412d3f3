"""Incremental parser of a caller's requests that enforces size limits.

Owns the request that is partially read. Limits come from the settings in force.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from ramppin.gateway.connection.httpwire import Headers, find_header
from ramppin.gateway.version.routing import CallerLimits

HEADER_OVERHEAD_BYTES = 4
"""Bytes of a header line besides name and value: colon, space and CRLF."""


@dataclass(slots=True)
class CallerRequest:
    """A request as received from a caller.

    Attributes:
        method: the HTTP method.
        target: path and query as sent.
        headers: in the order and spelling sent.
        body: the complete body.
        arrived: event-loop time at which the request was complete.
        keep_alive: whether the connection may stay open after the answer.
        http_1_0: whether the caller uses HTTP/1.0, without chunked encoding.
        held_bytes: bytes of it that the memory budget counts.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    arrived: float = 0.0
    keep_alive: bool = True
    http_1_0: bool = False
    held_bytes: int = 0

    def find(self, name: bytes) -> bytes | None:
        """Return the value of a header, or None."""
        return find_header(self.headers, name)


class RequestHandler(ABC):
    """Receives the requests parsed by a :class:`RequestReader`."""

    @abstractmethod
    def accept_head(self, request: CallerRequest) -> None:
        """Handle a request whose head is complete."""

    @abstractmethod
    def accept_complete(self, request: CallerRequest) -> None:
        """Handle a complete request."""

    @abstractmethod
    def check_memory(self, request: CallerRequest, size: int, more: int) -> None:
        """Count bytes of a request that is being read.

        Args:
            request: the request.
            size: size of its body as announced, or as far as it was received.
            more: bytes that are counted now.

        Raises:
            RefusedRequestError: the memory budget does not allow the body.
        """


class RequestReader:
    """Parses requests, and refuses those that exceed a limit.

    Args:
        handler: receives the parsed requests.
        get_limits: returns the limits in force.

    Attributes:
        incoming: the request that is partially read, or None.
        reads_head: whether its head is still incomplete.

    .. versionadded:: 0.2
    """

    def __init__(
        self, handler: RequestHandler, get_limits: Callable[[], CallerLimits]
    ) -> None:
        self._handler = handler
        self._get_limits = get_limits
        self._parser = httptools.HttpRequestParser(self)
        self._body: list[bytes] = []
        self._head_size = 0
        self._unfinished_size = 0
        self._body_size = 0
        self._announced = 0
        self._has_body = False
        self.incoming: CallerRequest | None = None
        self.reads_head = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises:
            RefusedRequestError: the request is malformed or exceeds a limit.
        """
        began_before = self.reads_head
        in_body_before = self._is_in_body
        self._has_body = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, RefusedRequestError):
                raise error.__context__ from None
            raise
        except (httptools.HttpParserUpgrade, httptools.HttpParserError) as error:
            raise RefusedRequestError(
                400, f"bytes that form no request: {error}"
            ) from error
        if began_before and self.reads_head:
            self._count_unfinished(len(data), "head")
        elif in_body_before and self._is_in_body and not self._has_body:
            self._count_unfinished(len(data), "chunk line or trailer")

    @property
    def _is_in_body(self) -> bool:
        """Whether the head of a request is complete and its end is still due."""
        return self.incoming is not None and not self.reads_head

    # callbacks of httptools

    def on_message_begin(self) -> None:
        """Start a request."""
        self.incoming = CallerRequest(b"", b"", [])
        self.reads_head = True
        self._body = []
        self._body_size = 0
        self._head_size = 0
        self._unfinished_size = 0

    def on_url(self, url: bytes) -> None:
        """Append part of the request target."""
        assert self.incoming is not None
        self.incoming.target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers (after the body) are counted but discarded.

        Merged into the head, a trailer could pass for a header of it.
        """
        assert self.incoming is not None
        if self.reads_head:
            self.incoming.headers.append((name, value))
        self._count_head(len(name) + len(value) + HEADER_OVERHEAD_BYTES)

    def on_headers_complete(self) -> None:
        """Check the announced length of the body."""
        request = self.incoming
        assert request is not None
        self.reads_head = False
        self._unfinished_size = 0
        length = request.find(b"content-length")
        if length is not None:
            self._check_body(int(length))
        self._announced = int(length or 0)
        self._handler.check_memory(
            request, self._announced, self._head_size + self._announced
        )
        self._handler.accept_head(request)

    def on_body(self, data: bytes) -> None:
        """Store part of the body."""
        self._has_body = True
        self._unfinished_size = 0
        self._body.append(data)
        self._body_size += len(data)
        self._check_body(self._body_size)
        if self._body_size > self._announced and self.incoming is not None:
            self._handler.check_memory(self.incoming, self._body_size, len(data))

    def on_message_complete(self) -> None:
        """Pass the complete request to the handler."""
        request = self.incoming
        assert request is not None
        self.incoming = None
        request.method = self._parser.get_method()
        request.body = b"".join(self._body)
        request.keep_alive = self._parser.should_keep_alive()
        request.http_1_0 = self._parser.get_http_version() == "1.0"
        self._body = []
        self._handler.accept_complete(request)

    # limits

    def _count_head(self, size: int) -> None:
        self._head_size += size
        limit = self._get_limits().max_header_bytes
        if self._head_size > limit:
            raise RefusedRequestError(431, f"head over {limit} bytes")

    def _count_unfinished(self, size: int, part: str) -> None:
        """Count bytes that the parser buffers until the current line is complete.

        Only reads that neither start nor end the head, or that bring nothing of a body,
        are counted: any other may contain bytes of a body.
        """
        self._unfinished_size += size
        limit = self._get_limits().max_header_bytes
        if self._unfinished_size > limit:
            raise RefusedRequestError(431, f"{part} over {limit} bytes")

    def _check_body(self, size: int) -> None:
        limit = self._get_limits().max_body_bytes
        if size > limit:
            raise RefusedRequestError(413, f"body over {limit} bytes")


class RefusedRequestError(Exception):
    """A request that is malformed or exceeds a limit, with the status to answer.

    Args:
        status: HTTP status of the answer.
        reason: the rule or limit that was violated.
        retry_after_s: seconds after which the request may be sent again, if it may.
    """

    def __init__(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(status)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
