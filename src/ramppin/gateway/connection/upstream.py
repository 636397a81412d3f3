"""Client side of HTTP/1.1 connections to backend servers, one request at a time.

Owns the transport and the parser of one connection; the rules for reusing it are in
:mod:`~.reuse`. Built on asyncio protocols and the httptools parser in place of
aiohttp's client, which retries some requests by itself when a persistent connection
drops.
"""

from __future__ import annotations

import asyncio
import errno
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any

import httptools

from ramppin.errors import BrokenAnswerError, NotSentError
from ramppin.gateway.connection.answerend import (
    AnswerEnd,
    find_stated_end,
    read_length,
)
from ramppin.gateway.connection.answerlimits import (
    HEAD_FEED_BYTES,
    MAX_HEAD_S,
    AnswerLimits,
)
from ramppin.gateway.connection.answerstatus import HeadKind, judge_status
from ramppin.gateway.connection.heldmemory import end_on_close, reset_on_close
from ramppin.gateway.connection.httpwire import Headers, find_header
from ramppin.gateway.connection.tcptimeouts import UPSTREAM_TIMEOUTS, set_tcp_timeouts

CONTINUE_STATUS = 100
"""Status that asks for the body of a request with ``Expect: 100-continue``."""

PIECE_BYTES = 65_536
"""Size of the pieces in which a body is sent if it is sent in pieces. A body that is
written at once is copied into the write buffer if the server does not read it."""

READ_BYTES = 32_768
"""Largest read of a connection. With asyncio's 256 KiB, a read could exceed what its
caller's connection may hold by four times, and a peer that always has bytes to send
would delay all others."""


@dataclass(slots=True)
class AnswerHead:
    """The head of a backend server's answer.

    Attributes:
        status: the HTTP status.
        headers: the headers as received.
        length: the value of ``Content-Length``, or None.
        stated_end: what will show the end of the answer.
    """

    status: int
    headers: Headers
    length: int | None
    stated_end: AnswerEnd = AnswerEnd.LENGTH


class AnswerReceiver(ABC):
    """Receives an answer as it is parsed."""

    @abstractmethod
    def accept_head(self, head: AnswerHead) -> bool:
        """Handle the head; return False if it answers another request."""

    def accept_continue(self) -> None:  # noqa: B027
        """Handle ``100 Continue``, which only requests that expect it get."""

    @abstractmethod
    def accept_body(self, data: bytes) -> None:
        """Handle part of the body."""

    @abstractmethod
    def accept_end(self, end: AnswerEnd) -> None:
        """Handle the end of an answer that its head stated.

        Args:
            end: what showed it.
        """

    @abstractmethod
    def accept_failure(self, error: BrokenAnswerError, end: AnswerEnd) -> None:
        """Handle an answer that failed before its stated end.

        Args:
            error: the failure.
            end: what showed it.
        """


class UpstreamConnection(asyncio.Protocol):
    """A connection to a backend server.

    Args:
        peer: the backend server, for error messages.

    Attributes:
        peer: as given.
        opened_at: event-loop time at which the connection was established.
        idle_since: event-loop time at which the connection became idle.
        keep_alive_s: idle time-out announced by the server in ``Keep-Alive``, or
            None.
        was_timed_out: whether it ended because the peer sent no acknowledgements.
        was_lost: whether it ended for another reason while a request was in flight.
        was_unasked: whether it ended because data arrived without a request in flight.
        was_asked: whether a report of the server's start was requested on it.

    .. versionadded:: 0.2
    """

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.opened_at = 0.0
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None
        self.was_timed_out = False
        self.was_lost = False
        self.was_unasked = False
        self.was_asked = False
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._receiver: AnswerReceiver | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: Headers = []
        self._skipping = False
        self._reusable = True
        self._stated_end = AnswerEnd.NOT_SEEN
        self._head_request = False
        self._rest = memoryview(b"")
        self._limits = AnswerLimits()
        self._head_timer: asyncio.TimerHandle | None = None

    @property
    def unsent_bytes(self) -> int:
        """Bytes of the request that the server has not accepted."""
        transport = self._transport
        return len(self._rest) + (transport.get_write_buffer_size() if transport else 0)

    @property
    def alive(self) -> bool:
        """Whether the connection can carry another request."""
        transport = self._transport
        return bool(transport and not transport.is_closing() and self._reusable)

    @property
    def busy(self) -> bool:
        """Whether a request is in flight."""
        return self._receiver is not None

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its time-outs."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.opened_at = self._loop.time()
        set_tcp_timeouts(transport, UPSTREAM_TIMEOUTS)
        # Whatever ends the connection, also the end of the process, takes back what
        # the kernel has not delivered.
        reset_on_close(transport)
        _limit_reads(transport)

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser."""
        if self._receiver is None or self._parser is None:
            # Data without a request in flight: the connection can't be reused.
            self.was_unasked = True
            self.abort()
            return
        try:
            self._parse(data)
        except httptools.HttpParserUpgrade:
            self._fail("another protocol was not asked for", AnswerEnd.MALFORMED)
        except httptools.HttpParserError as error:
            self._fail(f"malformed HTTP answer: {error}", AnswerEnd.MALFORMED)
        except httptools.HttpParserCallbackError as error:
            message = f"error while processing the answer: {error.__context__}"
            self._fail(message, AnswerEnd.MALFORMED)
        self._time_head()
        if self._receiver is None and not self._reusable:
            # An unsolicited answer arrived in the same read as the expected one.
            self._close()

    def eof_received(self) -> bool:
        """Finish an answer that is delimited by the close; any other is incomplete."""
        ends = self._stated_end is AnswerEnd.CLOSE and not self._skipping
        if self._receiver is not None and ends:
            self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in flight."""
        self._reusable = False
        self.was_timed_out = isinstance(exc, OSError) and exc.errno == errno.ETIMEDOUT
        self.was_lost = self._receiver is not None and not self.was_timed_out
        end = AnswerEnd.TIMED_OUT if self.was_timed_out else AnswerEnd.LOST
        self._fail(f"connection lost: {exc or 'closed by the peer'}", end)

    def resume_writing(self) -> None:
        """Send the next pieces of a body."""
        self._send_rest()

    # called by the owner of the request

    def send(
        self,
        head: bytes,
        body: bytes,
        receiver: AnswerReceiver,
        *,
        head_request: bool = False,
        counted: bool = False,
    ) -> None:
        """Send a request and pass its answer to a receiver.

        Args:
            head: the encoded head.
            body: the whole body.
            receiver: takes the answer.
            head_request: whether the method is HEAD, whose answer has no body.
            counted: whether a memory budget counts the request and its answer. The
                answer is then read, and a large body sent, in small pieces.

        Raises:
            NotSentError: the connection is closed; no byte was sent.
        """
        if not self.alive or self._transport is None:
            raise NotSentError("connection is closed", step="send", peer=self.peer)
        self._receiver = receiver
        self._head_request = head_request
        self._stated_end = AnswerEnd.NOT_SEEN
        self._skipping = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._limits = AnswerLimits()
        if counted and len(body) > PIECE_BYTES:
            self._transport.set_write_buffer_limits(high=0)
            self._rest = memoryview(body)[PIECE_BYTES:]
            self._transport.write(head + body[:PIECE_BYTES])
            self._send_rest()
            return
        self._transport.write(head + body if body else head)

    def send_body(self, data: bytes) -> None:
        """Send the body of a request whose head was sent alone."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.set_write_buffer_limits(high=0)
        self._rest = memoryview(data)
        self._send_rest()

    def send_empty_line(self) -> None:
        """Send what servers ignore before a request (RFC 9112, section 2.2)."""
        if self._transport and not self._transport.is_closing():
            self._transport.write(b"\r\n")

    def pause(self) -> None:
        """Stop reading, to apply backpressure to the server."""
        if self._transport and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    def abort(self) -> None:
        """End the connection; the receiver of a request in flight is not called.

        A request in flight is taken back by a reset. Otherwise the kernel would deliver
        it later, even after its caller was told that it had failed.
        """
        if self._receiver is None:
            self._close_in_order()
        self._receiver = None
        self._stop_head_timer()
        self._reusable = False
        self._rest = memoryview(b"")
        if self._transport:
            self._transport.abort()

    # callbacks of httptools

    def on_message_begin(self) -> None:
        """Start an answer; an unsolicited one makes the connection unusable."""
        self._headers = []
        self._limits.note_begin()
        if self._receiver is None:
            self._reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        if self._limits.note_line():
            self._fail("too many lines in the answer's head", AnswerEnd.MALFORMED)
            return
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the head on unless it is interim; skip an answer that is rejected."""
        parser, receiver = self._parser, self._receiver
        if parser is None or receiver is None:
            return
        status = parser.get_status_code()
        self._stop_head_timer()
        kind = judge_status(status)
        if kind is HeadKind.NO_ANSWER:
            self._fail(f"status {status:03d} is no answer", AnswerEnd.MALFORMED)
            return
        if kind is HeadKind.INTERIM:
            self._limits.note_interim()
            if status == CONTINUE_STATUS:
                receiver.accept_continue()
            return
        self._limits.note_head()
        self._stated_end = find_stated_end(
            status, self._headers, is_head=self._head_request
        )
        length = read_length(self._headers)
        self._skipping = not receiver.accept_head(
            AnswerHead(status, self._headers, length, self._stated_end)
        )
        if self._skipping:
            self._reusable = False
        elif self._head_request:
            # The parser would wait for the body that the head describes.
            describes_body = length or find_header(self._headers, b"transfer-encoding")
            may_keep = parser.should_keep_alive() and not describes_body
            self._reusable = self._reusable and may_keep
            self._finish()

    def on_body(self, data: bytes) -> None:
        """Pass part of the body to the receiver."""
        self._limits.note_body()
        if self._receiver is not None and not self._skipping:
            self._receiver.accept_body(data)

    def on_message_complete(self) -> None:
        """Finish the answer if it is the expected one."""
        parser = self._parser
        if parser is None or self._receiver is None:
            return
        is_interim = judge_status(parser.get_status_code()) is HeadKind.INTERIM
        if is_interim or self._skipping:
            self._skipping = False
            return
        if not parser.should_keep_alive():
            self._reusable = False
        self._finish()

    # limits

    def _parse(self, data: bytes) -> None:
        """Feed data to the parser in pieces, and check the limits after each."""
        rest = memoryview(data)
        while rest and self._parser is not None and not self._is_closing():
            # A body that is cut into smaller pieces than were read takes more memory.
            size = HEAD_FEED_BYTES if self._limits.in_head else READ_BYTES
            piece, rest = rest[:size], rest[size:]
            self._parser.feed_data(piece)
            exceeded = self._limits.note_parsed(len(piece))
            if exceeded and self._receiver is not None:
                message = f"the answer's {exceeded} exceeds its limit"
                self._fail(message, AnswerEnd.MALFORMED)

    def _is_closing(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def _time_head(self) -> None:
        """Limit the time of a head of which only a part has arrived."""
        is_due = self._receiver is not None and self._limits.is_head_begun
        if is_due and self._head_timer is None:
            self._head_timer = self._loop.call_later(MAX_HEAD_S, self._end_slow_head)

    def _end_slow_head(self) -> None:
        self._head_timer = None
        message = f"no complete head within {MAX_HEAD_S:.0f} s of its first byte"
        self._fail(message, AnswerEnd.MALFORMED)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    # completion

    def _finish(self) -> None:
        receiver, self._receiver = self._receiver, None
        if self._transport is None or receiver is None:
            return
        self.idle_since = self._loop.time()
        self.keep_alive_s = _read_keep_alive(self._headers)
        if self.unsent_bytes > 0:
            # Answered before the request was sent: buffered bytes can't be recalled.
            self._reusable = False
        if self._stated_end is AnswerEnd.CLOSE:
            self._reusable = False
        receiver.accept_end(self._stated_end)
        if not self._reusable:
            self._close()
        elif not self._transport.is_reading():
            # Paused for a slow caller by the last part; the next request has another.
            self._transport.resume_reading()

    def _send_rest(self) -> None:
        """Write the rest of a body until the write buffer is no longer empty."""
        transport = self._transport
        while self._rest and transport is not None and not transport.is_closing():
            if transport.get_write_buffer_size() > 0:
                return
            piece, self._rest = self._rest[:PIECE_BYTES], self._rest[PIECE_BYTES:]
            transport.write(piece)

    def _close(self) -> None:
        self._rest = memoryview(b"")
        if self._transport is not None:
            self._close_in_order()
            self._transport.close()

    def _close_in_order(self) -> None:
        """Let the close of a connection without a request in flight be no reset."""
        transport = self._transport
        if transport is not None and not transport.is_closing():
            end_on_close(transport)

    def _fail(self, message: str, end: AnswerEnd) -> None:
        receiver, self._receiver = self._receiver, None
        self._reusable = False
        self._rest = memoryview(b"")
        self._stop_head_timer()
        if self._transport and not self._transport.is_closing():
            self._transport.abort()
        if receiver is not None:
            error = BrokenAnswerError(message, step="answer", peer=self.peer)
            receiver.accept_failure(error, end)


def _limit_reads(transport: Any) -> None:
    """Limit the bytes of one read; other transports than asyncio's have no limit."""
    if hasattr(transport, "max_size"):
        transport.max_size = READ_BYTES


def _read_keep_alive(headers: Headers) -> float | None:
    value = find_header(headers, b"keep-alive")
    if value is None:
        return None
    for part in value.lower().split(b","):
        name, _, number = part.strip().partition(b"=")
        if name == b"timeout" and number.isdigit():
            return float(number)
    return None


async def open_connection(
    host: str,
    port: int,
    peer: str,
    *,
    timeout_s: float,
    source_host: str | None = None,
) -> UpstreamConnection:
    """Open a connection to a backend server.

    Args:
        host: its IP address.
        port: its port.
        peer: its name, for error messages.
        timeout_s: seconds to establish the connection.
        source_host: local address of the connection; None for any.

    Raises:
        NotSentError: it could not be established in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: UpstreamConnection(peer),
                host,
                port,
                local_addr=(source_host, 0) if source_host else None,
            )
    except TimeoutError as error:
        raise NotSentError(
            f"no connection within {timeout_s:.2f} s", step="connect", peer=peer
        ) from error
    except OSError as error:
        raise NotSentError(
            str(error),
            step="connect",
            peer=peer,
            is_refused=isinstance(error, ConnectionRefusedError),
        ) from error
    return connection
