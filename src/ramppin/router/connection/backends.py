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
"""Seconds for a connection to a backend server to come up."""

REPORT_TIMEOUT_S = 0.5
"""Seconds that a read of a backend server's load may take."""


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
"""Headers that belong to one connection (RFC 9110, section 7.6.1)."""


class LoadReport(BaseModel):
    """A backend server's load report.

    Attributes:
        running: requests that it held.
        age_s: how old the report is, in seconds.
    """

    running: int
    age_s: float = 0.0


class CacheEvent(BaseModel):
    """One change of an engine's prefix cache.

    Attributes:
        number: counts the engine's events; gaps are events that were lost.
        chat: the chat's key in hex.
        present: whether its prefix is cached now.
    """

    number: int
    chat: str
    present: bool


class _CacheEvents(BaseModel):
    events: list[CacheEvent]


@dataclass(frozen=True, slots=True)
class BackendRequest:
    """A request as it goes to a backend server.

    Attributes:
        method: the HTTP method.
        path: path and query.
        headers: the headers.
        body: the whole body, or its parts.
        timeout_s: until the answer's end.
        fresh: whether to use a new connection, on which a failure to connect
            shows that nothing was sent.
        may_send: asked when the connection is there, just before the first
            byte leaves.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes | AsyncIterator[bytes] | None
    timeout_s: float
    fresh: bool = False
    may_send: Callable[[], bool] = lambda: True


class BackendAnswer:
    """An answer whose head has come.

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

    def set_timeout(self, seconds: float) -> None:
        """Break the answer off unless it ends in time; replaces a former limit."""
        if self._timer:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._response.close)

    async def read(self) -> bytes:
        """Return the whole body.

        Raises:
            BrokenAnswerError: the answer ended before it was whole.
        """
        return b"".join([part async for part in self.iter_parts()])

    async def iter_parts(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes.

        Raises:
            BrokenAnswerError: the answer ended before it was whole.
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
        """Drop the connection if the answer is not over."""
        if self._timer:
            self._timer.cancel()
        self._response.close()


class BackendClient:
    """Sends requests to backend servers.

    Args:
        session: for requests that may share connections.
        fresh_session: for requests that need a connection of their own.

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
        """Send a request and return its answer's head.

        Raises:
            NotSentError: no byte of the request left.
            BrokenAnswerError: it may have run, and its answer is lost.
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
        """Tell an engine that nobody wants a stream any more."""
        await self._request("DELETE", f"http://{address}/v1/streams/{stream}")

    async def read_load(self, address: str) -> LoadReport:
        """Return a backend server's load report.

        Raises:
            RamppinError: there was none.
        """
        body = await self._request("GET", f"http://{address}/load")
        try:
            return LoadReport.model_validate_json(body)
        except ValidationError as error:
            raise RamppinError(str(error), step="load", peer=address) from error

    async def read_cache_events(self, address: str, after: int) -> list[CacheEvent]:
        """Return an engine's cache events past a number.

        Raises:
            RamppinError: there was no answer.
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
    """Stop a request at the last moment before its first byte leaves."""
    may_send: Callable[[], bool] | None = context.trace_request_ctx
    if may_send is not None and not may_send():
        raise PlaceLostError("the place is not held any more", step="send")


def _build_trace() -> aiohttp.TraceConfig:
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_check_may_send)
    trace.on_connection_reuseconn.append(_check_may_send)
    return trace


def build_sessions() -> tuple[aiohttp.ClientSession, aiohttp.ClientSession]:
    """Return a session that shares connections, and one that never does."""
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
    # aiohttp would send an idempotent method a second time on its own when a
    # shared connection turns out to be closed; a request is sent once here.
    for session in (shared, fresh):
        session._retry_connection = False
    return shared, fresh


def filter_headers(headers: Mapping[str, str], *drop: str) -> dict[str, str]:
    """Return headers without those of one connection and those named.

    Args:
        headers: the headers.
        drop: further names to leave out, in lower case.
    """
    connection_options = headers.get("connection", "").lower().split(",")
    unwanted = HOP_BY_HOP | {name.strip() for name in connection_options} | set(drop)
    return {k: v for k, v in headers.items() if k.lower() not in unwanted}
