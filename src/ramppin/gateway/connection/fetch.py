"""Minimal HTTP client for one peer, one call at a time on a persistent connection.

Used for the shared log and for other VMs. It replaces aiohttp's client, whose import
costs memory and start-up time on the smallest VMs (docs/PLATFORM.md).
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ramppin.errors import BrokenAnswerError, LogUnavailableError, NotSentError
from ramppin.gateway.connection.answerend import AnswerEnd
from ramppin.gateway.connection.httpwire import Headers, encode_request
from ramppin.gateway.connection.upstream import (
    AnswerHead,
    AnswerReceiver,
    UpstreamConnection,
    open_connection,
)

MAX_FETCHED_BYTES = 33_554_432
"""Bytes of an answer: several times the tables of the largest fleet."""

CONNECT_TIMEOUT_S = 0.6
"""Seconds within which a connection must be established."""


@dataclass(frozen=True, slots=True)
class FetchedAnswer:
    """A complete answer."""

    status: int
    body: bytes


class Fetcher:
    """Sends HTTP calls to one peer.

    Args:
        host: its IP address.
        port: its port.
        peer: its name, for error messages.

    .. versionadded:: 0.2
    """

    def __init__(self, host: str, port: int, peer: str) -> None:
        self.peer = peer
        self._host = host
        self._port = port
        self._connection: UpstreamConnection | None = None
        self._receiver: BufferingReceiver | None = None
        self._called_at = float("-inf")

    @property
    def active_at(self) -> float:
        """Event-loop time of the last call, or of the last part of its answer."""
        received_at = self._receiver.received_at if self._receiver else float("-inf")
        return max(self._called_at, received_at)

    def build_another(self) -> Fetcher:
        """Return a fetcher for the same peer, with a connection of its own."""
        return Fetcher(self._host, self._port, self.peer)

    async def get(self, target: str, *, timeout_s: float) -> FetchedAnswer:
        """Return the answer to a GET.

        Raises:
            LogUnavailableError: no complete answer arrived in time.
        """
        return await self._call(b"GET", target, b"", timeout_s)

    async def post(
        self, target: str, body: bytes, *, timeout_s: float
    ) -> FetchedAnswer:
        """Return the answer to a POST.

        Raises:
            LogUnavailableError: no complete answer arrived in time; the peer may
                have processed the call.
        """
        return await self._call(b"POST", target, body, timeout_s)

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _call(
        self, method: bytes, target: str, body: bytes, timeout_s: float
    ) -> FetchedAnswer:
        self._receiver = None
        self._called_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(method, target, body)
        except (NotSentError, BrokenAnswerError) as error:
            self.close()
            raise LogUnavailableError(
                error.message, step=error.step, peer=self.peer
            ) from error
        except TimeoutError as error:
            self.close()
            raise LogUnavailableError(
                f"no answer within {timeout_s:.1f} s", step="read", peer=self.peer
            ) from error
        except asyncio.CancelledError:
            self.close()
            raise

    async def _exchange(self, method: bytes, target: str, body: bytes) -> FetchedAnswer:
        if self._connection is None or not self._connection.alive:
            self._connection = await open_connection(
                self._host, self._port, self.peer, timeout_s=CONNECT_TIMEOUT_S
            )
        headers: Headers = [(b"Host", f"{self._host}:{self._port}".encode())]
        if method == b"POST":
            headers.append((b"Content-Length", b"%d" % len(body)))
        receiver = self._receiver = BufferingReceiver()
        head = encode_request(method, target.encode(), headers)
        self._connection.send(head, body, receiver)
        return await receiver.answer


class BufferingReceiver(AnswerReceiver):
    """Buffers an answer until it is complete.

    Args:
        max_bytes: bytes of its body beyond which it fails.

    Attributes:
        answer: the answer, once it is complete.
        received_at: event-loop time at which the last part arrived; -inf before any.
    """

    def __init__(self, max_bytes: int = MAX_FETCHED_BYTES) -> None:
        self._loop = asyncio.get_running_loop()
        self.answer: asyncio.Future[FetchedAnswer] = self._loop.create_future()
        self.received_at = float("-inf")
        self._status = 0
        self._body: list[bytes] = []
        self._bytes_left = max_bytes

    def accept_head(self, head: AnswerHead) -> bool:
        """Keep the status."""
        self.received_at = self._loop.time()
        self._status = head.status
        return True

    def accept_body(self, data: bytes) -> None:
        """Keep part of the body."""
        if self.answer.done():
            return
        self.received_at = self._loop.time()
        self._bytes_left -= len(data)
        if self._bytes_left < 0:
            self._body = []
            message = "the answer's body exceeds its limit"
            self.answer.set_exception(BrokenAnswerError(message, step="answer"))
            return
        self._body.append(data)

    def accept_end(self, end: AnswerEnd) -> None:
        """Set the answer."""
        if not self.answer.done():
            self.answer.set_result(FetchedAnswer(self._status, b"".join(self._body)))

    def accept_failure(self, error: BrokenAnswerError, end: AnswerEnd) -> None:
        """Set the failure."""
        if not self.answer.done():
            self.answer.set_exception(error)
