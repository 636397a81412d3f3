"""One attempt of a request at one backend server, and what became of it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from ramppin.errors import BrokenAnswerError, NotSentError, ProtocolError
from ramppin.gateway.connection.callerwire import CallerConnection
from ramppin.gateway.connection.httpwire import (
    HeaderNames,
    Headers,
    find_header,
    keep_end_to_end,
)
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.connection.upstream import (
    AnswerHead,
    AnswerReceiver,
    UpstreamConnection,
)
from ramppin.gateway.process.membership.health import UNRESPONSIVE_AFTER_S, Outcome
from ramppin.gateway.process.routing.directory import ServerState
from ramppin.gateway.request.events import EventSplitter
from ramppin.gateway.version.routing import Route

MAX_BUFFERED_BYTES = 262_144
"""Part of a whole answer that is held before it is passed on in pieces."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503, 400})
"""Statuses with which a server may say that it did not run a request."""

MISDIRECTED = 421

UNRESPONSIVE_CHECK_S = 0.2
"""Time between two looks at whether the server has gone silent."""

_LENGTH = frozenset({b"content-length"})


class AttemptEnd(Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"
    REJECTED = "rejected"
    FAILED = "failed"
    NOT_SENT = "not sent"
    TIMED_OUT = "timed out"
    CALLER_DISCONNECTED = "caller left"


@dataclass(slots=True)
class AttemptResult:
    """What became of an attempt.

    Attributes:
        end: how it ended.
        status: the server's status; 0 if there was none.
        answer: a whole answer that was not passed on.
        last_event_id: the last event that the caller got.
        message: what was wrong.
        first_byte_at: the loop's time at which the caller got the first byte.
    """

    end: AttemptEnd
    status: int = 0
    answer: tuple[AnswerHead, bytes] | None = None
    last_event_id: bytes | None = None
    message: str = ""
    first_byte_at: float | None = None


class Attempt(AnswerReceiver):
    """Sends a request to one backend server and passes its answer on.

    Args:
        names: names of headers.
        caller: the caller's connection.
        request_id: the id that the answer must carry.
        state: the backend server.
        previous: the attempt whose stream this one continues, or None.
        streams: whether pieces are passed on as they come.
        resumable: whether only whole events are passed on.
        may_move: tells whether another server could take the request over.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        names: HeaderNames,
        caller: CallerConnection,
        request_id: bytes,
        state: ServerState,
        *,
        previous: Attempt | None,
        streams: bool,
        resumable: bool,
        may_move: Callable[[], bool],
    ) -> None:
        self._names = names
        self._caller = caller
        self._request_id = request_id
        self._state = state
        self._streams = streams
        self._may_move = may_move
        self._loop = asyncio.get_running_loop()
        self._result: asyncio.Future[AttemptResult] = self._loop.create_future()
        self._connection: UpstreamConnection | None = None
        self._head: AnswerHead | None = None
        self._buffered: list[bytes] = []
        self._buffered_size = 0
        self._forwarding = False
        self._first_byte_at: float | None = None
        self._received_at = 0.0
        self._paused = False
        self._watch_timer: asyncio.TimerHandle | None = None
        self.started: bool = previous.started if previous else False
        self._events: EventSplitter | None = None
        if resumable:
            self._events = previous.events if previous else EventSplitter()
            if self._events is not None:
                self._events.drop_partial()

    @property
    def events(self) -> EventSplitter | None:
        """Splits the stream into whole events; None if it can't be resumed."""
        return self._events

    async def run(
        self,
        connection: UpstreamConnection,
        head: bytes,
        request: CallerRequest,
        ends_at: float,
        route: Route,
    ) -> AttemptResult:
        """Send the request and wait until the attempt has ended.

        Args:
            connection: to the backend server.
            head: the encoded head.
            request: the caller's request.
            ends_at: the loop's time at which to give up.
            route: the request's route.
        """
        self._connection = connection
        self._received_at = self._loop.time()
        timer = self._loop.call_at(ends_at, self.cancel, AttemptEnd.TIMED_OUT)
        self._watch()
        try:
            connection.send(
                head, request.body, self, head_request=request.method == b"HEAD"
            )
            return await self._result
        except NotSentError as error:
            return AttemptResult(AttemptEnd.NOT_SENT, message=error.message)
        finally:
            timer.cancel()
            if self._watch_timer is not None:
                self._watch_timer.cancel()

    def cancel(self, end: AttemptEnd) -> None:
        """Give the attempt up; the server sees its connection close."""
        if self._connection is not None:
            self._connection.abort()
        self._note_heard(due=False)
        self._finish(end)

    def set_paused(self, paused: bool) -> None:
        """Pause or resume the server's answer."""
        if self._connection is None or self._result.done():
            return
        # A server that is held back here is not silent.
        self._paused = paused
        self._note_heard(due=not paused)
        if paused:
            self._connection.pause()
        else:
            self._connection.resume()

    # the connection's side

    def accept_head(self, head: AnswerHead) -> bool:
        """Take the head if it answers this request."""
        self._note_heard(due=True)
        found = find_header(head.headers, self._names.request_id)
        if found is None and head.status < 300:
            return False
        if found is not None and found != self._request_id:
            return False
        self._head = head
        self._note_load(head.headers)
        return True

    def accept_body(self, data: bytes) -> None:
        """Pass a piece on, or hold it."""
        if self._result.done():
            return
        self._note_heard(due=True)
        if self._forwarding:
            self._forward(data)
            return
        self._buffered.append(data)
        self._buffered_size += len(data)
        if self._is_success() and (
            self._streams or self._buffered_size > MAX_BUFFERED_BYTES
        ):
            self._start_forwarding()

    def accept_end(self) -> None:
        """Pass the end of a whole answer on."""
        self._note_heard(due=False)
        head = self._head
        if head is None or self._result.done():
            return
        if not self._is_success():
            self._end_without_success(head)
            return
        if self._streams and not self._forwarding:
            self._start_forwarding()
        if self._events is not None and self._events.partial:
            self._fail("the stream ended in the middle of an event")
            return
        if self._forwarding:
            self._caller.end_stream()
        else:
            self._first_byte_at = self._loop.time()
            headers = keep_end_to_end(head.headers, _LENGTH)
            self._caller.send_whole(head.status, headers, b"".join(self._buffered))
        self._state.health.note_outcome(Outcome.ANSWERED, self._loop.time())
        self._finish(AttemptEnd.DELIVERED)

    def accept_failure(self, error: BrokenAnswerError) -> None:
        """Take the news that the answer broke off."""
        self._note_heard(due=False)
        self._fail(error.message)

    # inside

    def _is_success(self) -> bool:
        """Return whether the answer is a success that may be passed on."""
        head = self._head
        return (
            head is not None
            and 200 <= head.status < 300
            and find_header(head.headers, self._names.signature) is not None
            and find_header(head.headers, b"content-encoding") is None
        )

    def _start_forwarding(self) -> None:
        head = self._head
        assert head is not None
        self._forwarding = True
        if not self.started:
            self.started = True
            self._first_byte_at = self._loop.time()
            headers = keep_end_to_end(head.headers, _LENGTH)
            length = None if self._events is not None else head.length
            self._caller.start_stream(head.status, headers, length)
        held, self._buffered = self._buffered, []
        for data in held:
            self._forward(data)

    def _forward(self, data: bytes) -> None:
        if self._events is None:
            self._caller.send_piece(data)
            return
        try:
            self._caller.send_piece(self._events.feed(data))
        except ProtocolError as error:
            self._fail(error.message)

    def _end_without_success(self, head: AnswerHead) -> None:
        """End the attempt with an answer that is no success."""
        health, now = self._state.health, self._loop.time()
        body = b"".join(self._buffered)
        if 200 <= head.status < 300:
            health.note_outcome(Outcome.FAILED, now)
            self._finish(AttemptEnd.FAILED, "a success that is not the server's own")
        elif self._is_rejection(head):
            if head.status != MISDIRECTED:
                health.note_outcome(Outcome.REJECTED, now)
            else:
                health.note_outcome(Outcome.UNREACHABLE, now)
            self._finish(AttemptEnd.REJECTED, answer=(head, body))
        else:
            failed = head.status >= 500
            health.note_outcome(Outcome.FAILED if failed else Outcome.ANSWERED, now)
            self._finish(AttemptEnd.FAILED, answer=(head, body))

    def _is_rejection(self, head: AnswerHead) -> bool:
        if head.status == MISDIRECTED:
            return True
        marked = find_header(head.headers, self._names.not_run) is not None
        return marked and head.status in NOT_RUN_STATUSES

    def _fail(self, message: str) -> None:
        if self._result.done():
            return
        self._state.health.note_outcome(Outcome.FAILED, self._loop.time())
        if self._connection is not None:
            self._connection.abort()
        self._finish(AttemptEnd.FAILED, message)

    def _finish(
        self,
        end: AttemptEnd,
        message: str = "",
        answer: tuple[AnswerHead, bytes] | None = None,
    ) -> None:
        if self._result.done():
            return
        events = self._events
        self._result.set_result(
            AttemptResult(
                end,
                status=self._head.status if self._head else 0,
                answer=answer,
                last_event_id=events.last_id if events else None,
                message=message,
                first_byte_at=self._first_byte_at,
            )
        )

    def _watch(self) -> None:
        """Give the server up if it went silent and another can take over.

        A lost answer must not cost a request that may be repeated its whole time.
        The server counts as silent only if none of its connections brought a byte.
        """
        if self._result.done():
            return
        now = self._loop.time()
        silent = (
            now - self._received_at > UNRESPONSIVE_AFTER_S
            and self._state.health.is_unresponsive(now)
        )
        if silent and not self._paused and self._may_move():
            self._fail("the server went silent")
            return
        self._watch_timer = self._loop.call_later(UNRESPONSIVE_CHECK_S, self._watch)

    def _note_heard(self, *, due: bool) -> None:
        """Note bytes, or the end of what was awaited.

        Args:
            due: whether more of this answer is awaited.
        """
        self._received_at = self._loop.time()
        awaited = due or self._state.in_flight > 1
        self._state.health.note_received(self._received_at, awaited=awaited)

    def _note_load(self, headers: Headers) -> None:
        told = find_header(headers, self._names.load)
        if told is None:
            return
        numbers = told.split(b",")
        if len(numbers) >= 2 and numbers[0].isdigit() and numbers[1].isdigit():
            self._state.note_load(int(numbers[0]), int(numbers[1]), self._loop.time())
