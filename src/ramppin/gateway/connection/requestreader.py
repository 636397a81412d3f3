"""Bytes of a caller's connection, parsed into whole requests within limits.

Owns the request that is half read. Limits come from the settings in force.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from ramppin.gateway.connection.httpwire import Headers, find_header
from ramppin.gateway.version.routing import CallerLimits

HEADER_OVERHEAD_BYTES = 4
"""Bytes of a header line beside name and value: colon, space and line end."""


@dataclass(slots=True)
class CallerRequest:
    """A request as a caller sent it, whole.

    Attributes:
        method: as sent.
        target: path and query as sent.
        headers: in order, as sent.
        body: the whole body.
        arrived: the loop's time at which it was whole.
        keep_alive: whether the caller wants to keep the connection.
        http_1_0: whether the caller can't read chunks.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    arrived: float = 0.0
    keep_alive: bool = True
    http_1_0: bool = False

    def find(self, name: bytes) -> bytes | None:
        """Return the value of a header, or None."""
        return find_header(self.headers, name)


class RequestHandler(ABC):
    """Takes what a :class:`RequestReader` has read."""

    @abstractmethod
    def accept_head(self, request: CallerRequest) -> None:
        """Take a request whose head is whole."""

    @abstractmethod
    def accept_complete(self, request: CallerRequest) -> None:
        """Take a request that is whole."""


class RequestReader:
    """Reads requests, and refuses those that break a limit.

    Args:
        handler: takes requests.
        get_limits: returns the limits in force.

    Attributes:
        incoming: the request that is half read, or None.
        reads_head: whether its head has not ended.

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
        self.incoming: CallerRequest | None = None
        self.reads_head = False

    def feed(self, data: bytes) -> None:
        """Parse bytes.

        Raises:
            RefusedRequestError: they are not a request, or one over a limit.
        """
        began_before = self.reads_head
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
            self._count_unfinished(len(data))

    # httptools' side

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.incoming = CallerRequest(b"", b"", [])
        self.reads_head = True
        self._body = []
        self._body_size = 0
        self._head_size = 0
        self._unfinished_size = 0

    def on_url(self, url: bytes) -> None:
        """Take a piece of the target."""
        assert self.incoming is not None
        self.incoming.target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; one behind the body (a trailer) is left out.

        Merged with the head, a trailer could pass for what the head says.
        """
        assert self.incoming is not None
        if self.reads_head:
            self.incoming.headers.append((name, value))
        self._count_head(len(name) + len(value) + HEADER_OVERHEAD_BYTES)

    def on_headers_complete(self) -> None:
        """Check what the head announces."""
        request = self.incoming
        assert request is not None
        self.reads_head = False
        length = request.find(b"content-length")
        if length is not None:
            self._check_body(int(length))
        self._handler.accept_head(request)

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        self._body.append(data)
        self._body_size += len(data)
        self._check_body(self._body_size)

    def on_message_complete(self) -> None:
        """Hand on a whole request."""
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

    def _count_unfinished(self, size: int) -> None:
        """Count bytes of a head that the parser keeps until a header ends.

        Only pieces that neither began nor ended the head are counted: the others
        may hold bodies.
        """
        self._unfinished_size += size
        limit = self._get_limits().max_header_bytes
        if self._unfinished_size > limit:
            raise RefusedRequestError(431, f"head over {limit} bytes")

    def _check_body(self, size: int) -> None:
        limit = self._get_limits().max_body_bytes
        if size > limit:
            raise RefusedRequestError(413, f"body over {limit} bytes")


class RefusedRequestError(Exception):
    """A request that breaks a limit; carries the status of its refusal."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(status)
        self.status = status
        self.reason = reason
