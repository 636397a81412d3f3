"""Connections to backend servers: model engines and plain services."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import dataclass
from types import SimpleNamespace

import aiohttp
from multidict import CIMultiDictProxy
from pydantic import BaseModel, ValidationError

from ramppin.errors import (
    BrokenAnswerError,
    NotSentError,
    PlaceLostError,
    RamppinError,
)

CONNECT_TIMEOUT_S = 1.0
"""Time limit for connecting to a backend server, in seconds."""

REPORT_TIMEOUT_S = 0.5
"""Time limit for reading a load report or cache events, in seconds.

Also limits the cancellation of a stream.
"""


HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Header fields that apply to a single connection (RFC 9110, section 7.6.1)."""

FRAMING_HEADERS = ("content-length", "transfer-encoding")
"""Header fields that show where a body ends (RFC 9112, section 6.3)."""

BODILESS = frozenset({204, 304})
"""Statuses of answers without a body."""


class LoadReport(BaseModel):
    """The load that a backend server reports.

    Attributes:
        running: number of requests on the backend server.
        age_s: age of the report, in seconds.
    """

    running: int
    age_s: float = 0.0


class CacheEvent(BaseModel):
    """A change of an engine's prefix cache.

    Attributes:
        number: sequence number of the event; a gap means that events were lost.
        chat: hash key of the chat, in hex.
        present: whether the prefix of the chat is now cached.
    """

    number: int
    chat: str
    present: bool


class _CacheEvents(BaseModel):
    events: list[CacheEvent]


@dataclass(frozen=True, slots=True)
class BackendRequest:
    """A request to a backend server.

    Attributes:
        method: the HTTP method.
        path: path and query.
        headers: the header fields.
        body: the complete body, or an iterator of its parts.
        timeout_s: time limit up to the end of the answer, in seconds.
        fresh: whether to use a new connection, on which a failure to connect
            shows that nothing was sent.
        may_send: called once the connection is open, just before the first
            byte is sent; the request is stopped if it returns False.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes | AsyncIterator[bytes] | None
    timeout_s: float
    fresh: bool = False
    may_send: Callable[[], bool] = lambda: True


class BackendAnswer:
    """An answer whose status and header fields have been received.

    Args:
        server: name of the backend server.
        response: the HTTP client's response.
    """

    def __init__(self, server: str, response: aiohttp.ClientResponse) -> None:
        self.server = server
        self.status = response.status
        self.headers: CIMultiDictProxy[str] = response.headers
        self._response = response
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_framed(self) -> bool:
        """Whether more than the close of its connection shows where its body ends."""
        has_body = self._response.method != "HEAD" and self.status not in BODILESS
        return not has_body or any(name in self.headers for name in FRAMING_HEADERS)

    def set_timeout(self, seconds: float) -> None:
        """Close the connection unless the answer ends in time; replaces any timeout."""
        if self._timer:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._response.close)

    async def read(self) -> bytes:
        """Return the complete body.

        Raises:
            BrokenAnswerError: the answer ended before it was complete.
        """
        return b"".join([part async for part in self.iter_parts()])

    async def iter_parts(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive.

        Raises:
            BrokenAnswerError: the answer ended before it was complete.
        """
        try:
            async for part in self._response.content.iter_any():
                yield part
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise BrokenAnswerError(
                repr(error), step="read answer", peer=self.server
            ) from error
        finally:
            if self._timer:
                self._timer.cancel()

    def close(self) -> None:
        """Close the connection unless the answer has been read to its end."""
        if self._timer:
            self._timer.cancel()
        self._response.close()


class BackendClient:
    """Sends requests to backend servers.

    Args:
        session: for requests that may reuse a connection.
        fresh_session: for requests that need a new connection.

    .. versionadded:: 0.1
    """

    def __init__(
        self, session: aiohttp.ClientSession, fresh_session: aiohttp.ClientSession
    ) -> None:
        self._session = session
        self._fresh_session = fresh_session

    async def send(
        self, server: str, address: str, request: BackendRequest
    ) -> BackendAnswer:
        """Send a request; return when the answer's header fields have arrived.

        Raises:
            NotSentError: no byte of the request was sent.
            BrokenAnswerError: the request may have run, but its answer is lost.
        """
        session = self._fresh_session if request.fresh else self._session
        timeout = aiohttp.ClientTimeout(
            total=request.timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            response = await session.request(
                request.method,
                f"http://{address}{request.path}",
                data=request.body,
                headers=request.headers,
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=request.may_send,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
        ) as error:
            raise NotSentError(repr(error), step="connect", peer=server) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise BrokenAnswerError(repr(error), step="send", peer=server) from error
        return BackendAnswer(server, response)

    async def cancel_stream(self, address: str, stream: str) -> None:
        """Cancel a stream on an engine."""
        await self._request("DELETE", f"http://{address}/v1/streams/{stream}")

    async def read_load(self, address: str) -> LoadReport:
        """Return a backend server's load report.

        Raises:
            RamppinError: no valid report was received.
        """
        body = await self._request("GET", f"http://{address}/load")
        try:
            return LoadReport.model_validate_json(body)
        except ValidationError as error:
            raise RamppinError(str(error), step="load", peer=address) from error

    async def read_cache_events(self, address: str, after: int) -> list[CacheEvent]:
        """Return an engine's cache events after a sequence number.

        Raises:
            RamppinError: no valid answer was received.
        """
        url = f"http://{address}/cache/events?after={after}"
        body = await self._request("GET", url)
        try:
            return _CacheEvents.model_validate_json(body).events
        except ValidationError as error:
            raise RamppinError(str(error), step="events", peer=address) from error

    async def _request(self, method: str, url: str) -> bytes:
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
        try:
            async with self._session.request(method, url, timeout=timeout) as reply:
                reply.raise_for_status()
                return await reply.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise RamppinError(repr(error), step=method, peer=url) from error


async def _check_may_send(
    session: aiohttp.ClientSession, context: SimpleNamespace, params: object
) -> None:
    """Stop a request before its first byte is sent if it may not be sent."""
    may_send: Callable[[], bool] | None = context.trace_request_ctx
    if may_send is not None and not may_send():
        raise PlaceLostError("the place is not held any more", step="send")


def _build_trace() -> aiohttp.TraceConfig:
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_check_may_send)
    trace.on_connection_reuseconn.append(_check_may_send)
    return trace


def build_sessions() -> tuple[aiohttp.ClientSession, aiohttp.ClientSession]:
    """Return a session that reuses connections, and one that never does."""
    shared = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=15.0),
        auto_decompress=False,
        trace_configs=[_build_trace()],
    )
    fresh = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True),
        auto_decompress=False,
        trace_configs=[_build_trace()],
    )
    # aiohttp sends a request with an idempotent method again when a reused
    # connection turns out to be closed. A request must be sent only once.
    for session in (shared, fresh):
        session._retry_connection = False
    return shared, fresh


def filter_headers(headers: Mapping[str, str], *drop: str) -> dict[str, str]:
    """Return the header fields without hop-by-hop and excluded ones.

    Args:
        headers: the header fields.
        drop: further names to leave out, in lower case.
    """
    connection_options = headers.get("connection", "").lower().split(",")
    unwanted = HOP_BY_HOP | {name.strip() for name in connection_options} | set(drop)
    return {k: v for k, v in headers.items() if k.lower() not in unwanted}
