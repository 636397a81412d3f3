"""Server side of HTTP/1.1 connections from callers, one request at a time.

Owns each connection's transport, its request in flight and its queue of pipelined
requests; a :class:`Responder` produces the answers. Built directly on asyncio
protocols and the httptools parser, which uvicorn uses as well: an application
interface in between would cost CPU time for every event of a stream, which these
small VMs can't spare (docs/PLATFORM.md has the figures).
"""

from __future__ import annotations

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from ramppin.gateway.connection.answerend import NO_BODY_STATUSES
from ramppin.gateway.connection.heldmemory import (
    HeldMemory,
    end_on_close,
    reset_on_close,
)
from ramppin.gateway.connection.httpwire import (
    LAST_CHUNK,
    Headers,
    encode_answer,
    encode_chunk,
)
from ramppin.gateway.connection.requestreader import (
    CallerRequest,
    RefusedRequestError,
    RequestHandler,
    RequestReader,
)
from ramppin.gateway.connection.tcptimeouts import CALLER_TIMEOUTS, set_tcp_timeouts
from ramppin.gateway.process.memory import MemoryBudget
from ramppin.gateway.version.routing import CallerLimits

MAX_QUEUED = 2
"""Pipelined requests of one connection that may queue; at this number the connection
stops reading."""

MEMORY_RETRY_AFTER_S = 1.0
"""Seconds after which a request whose body found no memory may be sent again: slow
readers are aborted or drained within seconds."""

SENT_CHECK_S = 0.05
"""Interval in seconds of checks whether the kernel has all of an answer that ends with
its connection."""

DISCARD_S = 2.0
"""Seconds for which what a caller still sends is read and discarded after the last
answer. Closing at once would reset the connection, and the caller might lose the
answer."""


class Responder(ABC):
    """Handles the requests and the disconnect of one connection."""

    @abstractmethod
    def accept_request(self, request: CallerRequest) -> None:
        """Handle a complete request; the answer is sent on the connection."""

    @abstractmethod
    def accept_disconnect(self) -> None:
        """Handle the caller's close or reset while a request is in flight."""

    @abstractmethod
    def accept_backpressure(self, *, paused: bool) -> None:
        """Pause while the write buffer is full; resume once it has drained."""

    @abstractmethod
    def end_request(self) -> None:
        """Answer the request in flight now, without serving it any further.

        The connection is reset if nothing is answered.
        """


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that was refused before it was read completely.

    Attributes:
        status: HTTP status of the answer.
        reason: the rule or limit that was violated.
        target: the part of the request target that was read.
        headers: the headers that were read.
    """

    status: int
    reason: str
    target: bytes = b""
    headers: Headers = field(default_factory=list)


class Unanswered(Enum):
    """Why a request that was read whole gets no whole answer."""

    QUEUED = "queued behind an answer that closes the connection"
    STOPPED_QUEUED = "queued when the process stopped"
    STOPPED_BEFORE = "process stopped before the answer began"
    STOPPED_WITHIN = "process stopped within the answer"


@dataclass(slots=True)
class ListenerState:
    """State shared by the connections of one listener.

    Attributes:
        limits: limits in force.
        draining: whether answers carry ``Connection: close``.
        ended: whether the process exits: no further request is read.
        note_refused: called with each request refused before it was read completely.
        note_unanswered: called with each request that the listener's process ends
            without a whole answer.
        connections: open connections.
        memory: budget for what new connections hold; None while there is none.
    """

    limits: CallerLimits = field(default_factory=CallerLimits)
    draining: bool = False
    ended: bool = False
    note_refused: Callable[[Refusal], None] = lambda refusal: None
    note_unanswered: Callable[[CallerRequest, Unanswered], None] = (
        lambda request, reason: None
    )
    connections: set[CallerConnection] = field(default_factory=set)
    memory: MemoryBudget | None = None


class CallerConnection(asyncio.Protocol, RequestHandler):
    """One connection from a caller.

    Args:
        state: shared by the listener's connections.
        build_responder: returns the responder for a connection.

    Attributes:
        answer_headers: further headers of the answers.
        unconfirmed_header: a header that marks an answer whose end is not confirmed.
            Another VM gets such an answer framed and marked. For other callers it is
            None, and the answer ends with the connection.
        ends_unconfirmed: whether the answer that was started leaves its end open.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        state: ListenerState,
        build_responder: Callable[[CallerConnection], Responder],
    ) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(self, lambda: state.limits)
        self._queue: deque[CallerRequest] = deque()
        self._current: CallerRequest | None = None
        self._received_at = self._loop.time()
        self._chunked = False
        self._until_close = False
        self._answer_started = False
        self._ends_queued = False
        self.opened_at = self._loop.time()
        self.idle_until: float | None = None
        self.head_due: float | None = None
        self.closed = False
        self.memory: HeldMemory | None = None
        self.answer_headers: Headers = []
        self.unconfirmed_header: bytes | None = None
        self.ends_unconfirmed = False
        # The responder may change the attributes above.
        self._responder = build_responder(self)

    @property
    def peer_host(self) -> str:
        """IP address of the other side; empty once it is unknown."""
        found = self._transport and self._transport.get_extra_info("peername")
        return str(found[0]) if found else ""

    @property
    def answer_started(self) -> bool:
        """Whether part of the answer to the request in flight was sent."""
        return self._answer_started

    @property
    def idle(self) -> bool:
        """Whether no request is in flight, queued or partially received."""
        return not (self._current or self._queue or self._reader.incoming)

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle time-out."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._state.ended:
            # Its caller may send the request again, since no byte of it was read.
            transport.abort()
            return
        set_tcp_timeouts(transport, CALLER_TIMEOUTS)
        if self._state.memory is not None:
            self.memory = HeldMemory(
                self._state.memory,
                transport,
                lambda paused: self._responder.accept_backpressure(paused=paused),
                self._abort_slow_reader,
            )
        self._state.connections.add(self)
        self._begin_idle()

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser."""
        if self.closed:
            return
        if self.idle_until is not None:
            self.idle_until = None
            self._expect_head()
        self._received_at = self._loop.time()
        try:
            self._reader.feed(data)
        except RefusedRequestError as error:
            self._refuse(error)

    def eof_received(self) -> bool:
        """Treat the caller's half-close as a disconnect."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Discard the queue and notify the responder of a request in flight."""
        self.closed = True
        self._state.connections.discard(self)
        self._queue.clear()
        if self._current is not None:
            self._responder.accept_disconnect()
        if self.memory is not None:
            self.memory.release()

    def pause_writing(self) -> None:
        """Pause the responder: the write buffer is full.

        With a memory budget, the budget decides after each write.
        """
        if self.memory is None:
            self._responder.accept_backpressure(paused=True)

    def resume_writing(self) -> None:
        """Resume the responder: the write buffer has drained."""
        if self.memory is None:
            self._responder.accept_backpressure(paused=False)
            return
        self.memory.note_drained()
        if self._queue and self._current is None and not self.closed:
            self._start_queued()

    # RequestHandler

    def accept_head(self, request: CallerRequest) -> None:
        """Answer ``Expect`` with 100 Continue so that the caller sends the body."""
        self.head_due = None
        if request.find(b"expect") is not None and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def accept_complete(self, request: CallerRequest) -> None:
        """Start a request, or queue it behind the one in flight."""
        request.arrived = self._loop.time()
        self._queue.append(request)
        if self._current is None:
            self._start_next()
        if len(self._queue) >= MAX_QUEUED and self._transport is not None:
            self._transport.pause_reading()

    def check_memory(self, request: CallerRequest, size: int, more: int) -> None:
        """Count bytes of a request, or refuse it if the budget does not allow them."""
        memory = self.memory
        if memory is None:
            return
        if not memory.may_accept_body(size, more):
            reason = f"body of {size} bytes while the memory budget is nearly used up"
            raise RefusedRequestError(503, reason, MEMORY_RETRY_AFTER_S)
        request.held_bytes += more
        memory.add_request(more)

    # called by the responder

    def send_answer(
        self, status: int, headers: Headers, body: bytes, *, is_confirmed: bool = True
    ) -> None:
        """Send a complete answer and start the next request.

        If another answer has been started, aborts the connection instead: bytes
        written now would become part of that answer's body.

        Args:
            status: its HTTP status.
            headers: its headers.
            body: its body.
            is_confirmed: whether the body is known to be whole.
        """
        request = self._current
        if request is None or self.closed or self._transport is None:
            return
        if self._answer_started:
            self.abort()
            return
        if not is_confirmed:
            self.start_stream(status, headers, None, is_confirmed=False)
            self.send_body(body)
            self.end_stream()
            return
        sent = list(headers)
        has_body = request.method != b"HEAD" and status not in NO_BODY_STATUSES
        if has_body:
            sent.append((b"Content-Length", b"%d" % len(body)))
        sent += self._build_connection_headers(request)
        self._write(encode_answer(status, sent) + (body if has_body else b""))
        self._finish(request)

    def start_stream(
        self,
        status: int,
        headers: Headers,
        length: int | None,
        *,
        is_confirmed: bool = True,
    ) -> None:
        """Send the head of an answer whose body follows in parts.

        Args:
            status: its HTTP status.
            headers: its headers.
            length: bytes of its body, or None.
            is_confirmed: whether its end will be known to be that of the whole answer.
                Otherwise nothing but the close of the connection may show it.
        """
        request = self._current
        if request is None or self.closed or self._transport is None:
            return
        self._answer_started = True
        self.ends_unconfirmed = not is_confirmed
        sent = list(headers)
        is_open = not is_confirmed
        if is_open and self.unconfirmed_header is not None:
            sent.append((self.unconfirmed_header, b"1"))
            is_open = False
        is_open = is_open or request.http_1_0
        self._chunked = length is None and not is_open
        self._until_close = length is None and is_open
        if length is not None:
            sent.append((b"Content-Length", b"%d" % length))
        elif self._chunked:
            sent.append((b"Transfer-Encoding", b"chunked"))
        else:
            request.keep_alive = False
            # Otherwise the kernel ends it as a whole answer if this process is killed.
            reset_on_close(self._transport)
        sent += self._build_connection_headers(request)
        self._write(encode_answer(status, sent))

    def send_body(self, data: bytes) -> None:
        """Send part of a body."""
        if self.closed or self._transport is None or not data:
            return
        self._write(encode_chunk(data) if self._chunked else data)

    def end_stream(self) -> None:
        """End the answer and start the next request."""
        request = self._current
        if request is None or self.closed or self._transport is None:
            return
        if self._chunked:
            self._write(LAST_CHUNK)
        self._finish(request)

    def abort(self) -> None:
        """Reset the connection, so that a truncated answer can't look complete."""
        self.closed = True
        self._current = None
        if self._transport is not None:
            if self._until_close:
                # The kernel would otherwise end the connection as a complete answer.
                reset_on_close(self._transport)
            self._transport.abort()

    def end(self) -> None:
        """Answer what was read, since the process exits; reset what can't be answered.

        A connection whose last answer is being sent is left to send it.
        """
        while self._current is not None and not self.closed:
            ended = self._current
            self._responder.end_request()
            if self._current is ended:
                self._abort_unanswered(ended)
        if not self.closed:
            self._drop_queue(Unanswered.STOPPED_QUEUED)
            self.abort()

    def _abort_unanswered(self, request: CallerRequest) -> None:
        """Reset the connection, and report the requests that get no whole answer."""
        started = self._answer_started
        reason = Unanswered.STOPPED_WITHIN if started else Unanswered.STOPPED_BEFORE
        self._state.note_unanswered(request, reason)
        self._drop_queue(Unanswered.STOPPED_QUEUED)
        self.abort()

    def close_if_idle(self) -> None:
        """Close the connection if it is idle."""
        if self.idle and not self.closed and self._transport is not None:
            self.closed = True
            self._transport.close()

    def check_timeouts(self, now: float) -> None:
        """Close an expired idle connection; refuse a request that is too slow."""
        limits = self._state.limits
        if self.idle_until is not None and now >= self.idle_until:
            self.close_if_idle()
        elif self.head_due is not None and now >= self.head_due:
            self.head_due = None
            self._refuse(RefusedRequestError(408, "the head did not end in time"))
        elif self._awaits_body and now - self._received_at >= limits.idle_timeout_s:
            self._refuse(RefusedRequestError(408, "the body stopped"))

    @property
    def _awaits_body(self) -> bool:
        """Whether a body is due and no other request is in flight or queued."""
        if self._current or self._queue or self._reader.incoming is None:
            return False
        return not self._reader.reads_head

    # internal

    def _write(self, data: bytes) -> None:
        """Write part of an answer, and count it if there is a memory budget."""
        if self._transport is None:
            return
        self._transport.write(data)
        if self.memory is not None:
            self.memory.note_written(len(data))

    def _abort_slow_reader(self) -> None:
        """Abort the connection and its request, and discard what is buffered."""
        if self._transport is None:
            return
        if self._current is not None:
            self._responder.accept_disconnect()
        # Without a reset the kernel would send what it holds and then close, and an
        # answer that is delimited by the close would look complete.
        reset_on_close(self._transport)
        self.abort()

    def _expect_head(self) -> None:
        if self.head_due is None:
            limits = self._state.limits
            self.head_due = self._loop.time() + limits.header_timeout_s

    def _begin_idle(self) -> None:
        limits = self._state.limits
        self.idle_until = self._loop.time() + limits.idle_timeout_s
        self.head_due = None

    def _start_next(self) -> None:
        """Start a queued request.

        With a memory budget, a caller must have read most of its last answer: answers
        to pipelined requests are otherwise buffered without limit.
        """
        if self.memory is None or self.memory.may_start_next:
            self._start_first()

    def _start_first(self) -> None:
        """Start the first of the queued requests."""
        if self.memory is not None:
            self.memory.start_answer(self._queue[0].headers)
        self._current = self._queue.popleft()
        self._answer_started = False
        self._until_close = False
        self.ends_unconfirmed = False
        self._responder.accept_request(self._current)

    def _start_queued(self) -> None:
        if self._transport is not None:
            self._transport.resume_reading()
        self._start_next()

    def _build_connection_headers(self, request: CallerRequest) -> Headers:
        if self._state.draining and not self._queue:
            # The last answer announces the close: none may follow it.
            request.keep_alive = False
        if request.keep_alive:
            return self.answer_headers
        return [*self.answer_headers, (b"Connection", b"close")]

    def _finish(self, request: CallerRequest) -> None:
        self._current = None
        if self._transport is None or self.closed:
            # Writing the end of the answer exceeded the memory budget.
            return
        if self.memory is not None:
            self.memory.add_request(-request.held_bytes)
        if self._until_close:
            self._close(self._transport)
            return
        if not request.keep_alive and self._queue and self._state.draining:
            self._end_queued()
            return
        if not request.keep_alive:
            self._drop_queue(Unanswered.QUEUED)
            self._close(self._transport)
            return
        if self._queue:
            self._start_queued()
        elif self._reader.incoming is None:
            self._begin_idle()
        elif self._reader.reads_head:
            self._expect_head()

    def _end_queued(self) -> None:
        """Answer the requests that arrived after the close was announced.

        A caller that received the announcement may send them again elsewhere, so none
        may run here. However slowly it reads, refusals are small enough to be sent.
        """
        if self._ends_queued:
            return
        self._ends_queued = True
        while self._queue and self._current is None and not self.closed:
            self._queue[0].keep_alive = False
            self._start_first()
            self._responder.end_request()
        self._ends_queued = False

    def _drop_queue(self, reason: Unanswered) -> None:
        """Drop the queued requests, which get no answer, and report them."""
        while self._queue:
            self._state.note_unanswered(self._queue.popleft(), reason)

    def _close(self, transport: asyncio.Transport) -> None:
        """End this side after the last answer; close once its caller can have it.

        Closing with unread bytes would reset the connection, and the caller might lose
        the end of the answer (RFC 9112, section 9.6).
        """
        self.closed = True
        with contextlib.suppress(OSError):
            transport.write_eof()
        transport.resume_reading()
        self._close_when_sent(transport)

    def _close_when_sent(self, transport: asyncio.Transport) -> None:
        """Close once the kernel has the whole answer, which it sends to its end."""
        if transport.is_closing():
            return
        if transport.get_write_buffer_size() > 0:
            self._loop.call_later(SENT_CHECK_S, self._close_when_sent, transport)
            return
        if self._until_close:
            end_on_close(transport)
        self._loop.call_later(DISCARD_S, transport.close)

    def _refuse(self, error: RefusedRequestError) -> None:
        """Refuse a request that can't be read, and close the connection."""
        if self._transport is None or self.closed:
            return
        if self._current is None and self._queue and error.retry_after_s is None:
            # The answer would be taken for that to the request that waits. A refusal
            # with Retry-After holds for both: neither has run.
            self.closed = True
            self._transport.close()
        elif self._current is None:
            headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
            if error.retry_after_s is not None:
                headers.append((b"Retry-After", b"%.2f" % error.retry_after_s))
            self._transport.write(encode_answer(error.status, headers))
            self._close(self._transport)
        else:
            self._responder.accept_disconnect()
            self.abort()
        read = self._reader.incoming or CallerRequest(b"", b"", [])
        self._state.note_refused(
            Refusal(error.status, error.reason, read.target, read.headers)
        )
