"""One attempt to send a request to a backend server.

Sends the request, forwards a successful answer, and returns how the attempt ended.
Owns the part of an answer that has not been forwarded; relies on :mod:`~.answerkind` to
classify answers and on the server's health to detect that it is unresponsive.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from ramppin.errors import BrokenAnswerError, NotSentError, ProtocolError
from ramppin.gateway.connection.callerwire import CallerConnection
from ramppin.gateway.connection.heldmemory import SendingRequest
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
from ramppin.gateway.process.load.speed import MAX_PERCENT, MIN_PERCENT, parse_speed
from ramppin.gateway.process.membership.health import Outcome
from ramppin.gateway.process.memory import FREE_BYTES
from ramppin.gateway.process.routing.serverstate import ServerState
from ramppin.gateway.request.answerkind import AnswerKind, judge_answer
from ramppin.gateway.request.events import EventSplitter
from ramppin.gateway.request.result import AttemptEnd, AttemptResult
from ramppin.gateway.request.servernotice import NO_NOTICE, ServerNotice, parse_notice
from ramppin.gateway.request.speedsamples import count_learned_tokens
from ramppin.gateway.request.streampauses import StreamPauses

MAX_BUFFERED_BYTES = 262_144
"""Maximum number of bytes of an answer that are buffered before it is forwarded in
pieces. Until forwarding starts, a failure can be answered or the request retried."""

RESPONSE_CHECK_S = 0.2
"""Interval in seconds at which the attempt checks whether the server is unresponsive: a
quarter of the time after which it counts as such."""

SPEED_INDEX = 3
"""Position of the speed in a load report."""

LOG = logging.getLogger(__name__)

_LENGTH = frozenset({b"content-length"})


class Attempt(AnswerReceiver, SendingRequest):
    """Sends a request to one backend server and forwards its answer.

    Args:
        names: configured header names.
        caller: the caller's connection.
        request_id: the request ID that the answer must have.
        state: the backend server.
        previous: the attempt whose stream this one continues, or None.
        streams: whether data is forwarded as it arrives.
        resumable: whether only complete events are forwarded.
        may_take_over: returns whether another server could take over the request.
        note_notice: called with the server's notice when an answer's head arrives.
        note_load: called with the slots that a load report states, after the report
            was recorded; None if nothing follows.

    Attributes:
        answer_started: whether part of an answer was sent to the caller, by this
            attempt or an earlier one.

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
        may_take_over: Callable[[], bool],
        note_notice: Callable[[ServerNotice], None],
        note_load: Callable[[int | None], None] | None = None,
    ) -> None:
        self._names = names
        self._caller = caller
        self._memory = caller.memory
        self._request_id = request_id
        self._state = state
        self._streams = streams
        self._may_take_over = may_take_over
        self._apply_notice = note_notice
        self._note_load_change = note_load
        self._loop = asyncio.get_running_loop()
        self._result: asyncio.Future[AttemptResult] = self._loop.create_future()
        self._connection: UpstreamConnection | None = None
        self._head: AnswerHead | None = None
        self._kind: AnswerKind | None = None
        self._notice: ServerNotice = NO_NOTICE
        self._buffered: list[bytes] = []
        self._buffered_size = 0
        self._forwarding = False
        self._first_byte_at: float | None = None
        self._sent_at = 0.0
        self._received_at = 0.0
        self._paused = False
        self._check_timer: asyncio.TimerHandle | None = None
        self.answer_started: bool = previous.answer_started if previous else False
        self._learned_tokens: int | None = None
        self._pause_sum_s = 0.0
        self._pause_count = 0
        self._has_piece = False
        self._pauses = previous.pauses if previous else StreamPauses()
        self._events: EventSplitter | None = None
        if resumable:
            self._events = previous.events if previous else EventSplitter()
            if self._events is not None:
                self._events.drop_partial()

    @property
    def events(self) -> EventSplitter | None:
        """Splitter of the stream into events; None if the stream can't be resumed."""
        return self._events

    @property
    def pauses(self) -> StreamPauses:
        """Pauses of the stream, including those of earlier attempts."""
        return self._pauses

    async def run(
        self,
        connection: UpstreamConnection,
        head: bytes,
        request: CallerRequest,
        ends_at: float,
    ) -> AttemptResult:
        """Send the request and wait until the attempt has ended.

        Args:
            connection: connection to the backend server.
            head: the encoded request head.
            request: the caller's request.
            ends_at: event-loop time at which the attempt times out.
        """
        self._connection = connection
        self._received_at = self._loop.time()
        self._sent_at = self._received_at
        self._state.waiting.note_sent(self, self._sent_at)
        self._learned_tokens = count_learned_tokens(
            request, self._names, self._state, self._sent_at
        )
        timer = self._loop.call_at(ends_at, self.cancel, AttemptEnd.TIMED_OUT)
        self._check_unresponsive()
        try:
            connection.send(
                head,
                request.body,
                self,
                head_request=request.method == b"HEAD",
                counted=self._memory is not None,
            )
            if self._memory is not None:
                self._memory.start_sending(self)
            return await self._result
        except NotSentError as error:
            return AttemptResult(AttemptEnd.NOT_SENT, message=error.message)
        finally:
            self._state.note_ended(self, self._loop.time())
            if self._memory is not None:
                self._memory.end_sending()
            timer.cancel()
            if self._check_timer is not None:
                self._check_timer.cancel()

    def cancel(self, end: AttemptEnd) -> None:
        """Cancel the attempt and abort the connection to the server."""
        if self._connection is not None:
            self._connection.abort()
        self._state.health.note_unanswered(self._loop.time())
        self._note_received(due=False)
        self._finish(end)

    def set_paused(self, paused: bool) -> None:
        """Pause or resume the server's answer."""
        self._pauses.note_held(paused, self._loop.time())
        if self._connection is None or self._result.done():
            return
        # A server that this VM paused must not count as unresponsive.
        self._paused = paused
        self._note_received(due=not paused)
        if paused:
            self._state.waiting.note_paused(self)
            self._connection.pause()
        else:
            self._state.waiting.note_sent(self, self._received_at)
            self._connection.resume()

    # called by the server's connection

    def accept_head(self, head: AnswerHead) -> bool:
        """Process an answer's head; return whether it belongs to this request."""
        self._note_bytes(due=True)
        self._note_notice(head)
        found = find_header(head.headers, self._names.request_id)
        if found is None and head.status < 300:
            return False
        if found is not None and found != self._request_id:
            return False
        self._state.times.wait.note(self._received_at - self._sent_at)
        self._head = head
        self._kind = judge_answer(head, self._names)
        self._note_load(head.headers)
        if self._kind is AnswerKind.SUCCESS and self._learned_tokens is not None:
            wait_s = self._received_at - self._sent_at
            self._state.speed.note_wait(wait_s, self._learned_tokens, self._received_at)
        return True

    def accept_body(self, data: bytes) -> None:
        """Forward or buffer part of the body."""
        if self._result.done():
            return
        self._note_bytes(due=True)
        memory = self._memory
        if memory is not None:
            memory.note_received(len(data))
        if self._forwarding:
            self._forward(data)
            return
        self._buffered.append(data)
        self._buffered_size += len(data)
        is_large = self._buffered_size > MAX_BUFFERED_BYTES
        if memory is not None and self._buffered_size > FREE_BYTES:
            memory.set_buffered(self._buffered_size)
            if self._result.done():
                return
            is_large = is_large or memory.is_over_allowance
            if is_large and self._kind is not AnswerKind.SUCCESS:
                self._fail("answer without success exceeds the memory budget")
                return
        if self._kind is AnswerKind.SUCCESS and (self._streams or is_large):
            self._start_forwarding()

    def accept_end(self) -> None:
        """Finish a complete answer, or end the attempt without success."""
        self._note_bytes(due=False)
        head, kind = self._head, self._kind
        if head is None or kind is None or self._result.done():
            return
        if kind is not AnswerKind.SUCCESS:
            self._end_without_success(head, kind)
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
            self._free_buffered()
            self._caller.send_answer(head.status, headers, b"".join(self._buffered))
        if self._pause_count:
            mean_s = self._pause_sum_s / self._pause_count
            self._state.speed.note_pauses(mean_s, self._received_at)
        self._state.health.note_outcome(kind.outcome, self._loop.time())
        self._finish(kind.end)

    def accept_failure(self, error: BrokenAnswerError) -> None:
        """Fail the attempt because its answer ended prematurely."""
        self._note_received(due=False)
        self._fail(error.message)

    # SendingRequest

    def count_unsent(self) -> int:
        """Return the bytes that the server has not accepted."""
        return self._connection.unsent_bytes if self._connection else 0

    def fail_unread(self) -> None:
        """Fail because the server does not read the request."""
        self._fail("the server does not read the request")

    # forwarding the answer

    def _free_buffered(self) -> None:
        if self._memory is not None:
            self._memory.set_buffered(0)

    def _start_forwarding(self) -> None:
        head = self._head
        assert head is not None
        self._forwarding = True
        if not self.answer_started:
            self.answer_started = True
            self._first_byte_at = self._loop.time()
            headers = keep_end_to_end(head.headers, _LENGTH)
            length = None if self._events is not None else head.length
            self._caller.start_stream(head.status, headers, length)
        buffered, self._buffered = self._buffered, []
        self._free_buffered()
        for data in buffered:
            self._forward(data)

    def _forward(self, data: bytes) -> None:
        if self._events is not None:
            try:
                data = self._events.feed(data)
            except ProtocolError as error:
                self._fail(error.message)
                return
        if data:
            self._caller.send_body(data)
            if self._streams:
                self._note_piece()

    def _note_piece(self) -> None:
        """Record that a piece of the stream was forwarded."""
        now = self._received_at
        pause_s = self._pauses.note_piece(now)
        if self._learned_tokens is None:
            return
        # The pause before its first piece may be another server's.
        if pause_s is not None and self._has_piece and self._state.speed.may_learn(now):
            self._pause_sum_s += pause_s
            self._pause_count += 1
        self._has_piece = True

    # end of the attempt

    def _end_without_success(self, head: AnswerHead, kind: AnswerKind) -> None:
        """End the attempt after an answer that is not a success."""
        self._state.health.note_outcome(kind.outcome, self._loop.time())
        if kind is AnswerKind.UNSIGNED:
            self._finish(kind.end, kind.value)
        else:
            self._finish(kind.end, answer=(head, b"".join(self._buffered)))

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
        self._buffered = []
        self._free_buffered()
        events = self._events
        self._result.set_result(
            AttemptResult(
                end,
                status=self._head.status if self._head else 0,
                answer=answer,
                last_event_id=events.last_id if events else None,
                message=message,
                first_byte_at=self._first_byte_at,
                longest_pause_s=self._pauses.longest_s,
                notice=self._notice,
            )
        )

    # the server's health and load

    def _check_unresponsive(self) -> None:
        """Fail the attempt if the server is unresponsive or has restarted.

        Only if another server can take over. Otherwise a lost answer would use up the
        whole time limit of a request that may be repeated.
        """
        if self._result.done():
            return
        state, now = self._state, self._loop.time()
        is_stalled = state.restarted or state.health.is_stalled(self._received_at, now)
        if is_stalled and not self._paused and self._may_take_over():
            self._fail("the server went silent")
            return
        self._check_timer = self._loop.call_later(
            RESPONSE_CHECK_S, self._check_unresponsive
        )

    def _note_received(self, *, due: bool) -> None:
        """Record that data arrived, or that none is expected any more.

        Args:
            due: whether more data of this answer is expected.
        """
        self._received_at = self._loop.time()
        awaited = due or self._state.in_flight > 1
        self._state.health.note_received(self._received_at, awaited=awaited)

    def _note_bytes(self, *, due: bool) -> None:
        """Record that data of the answer arrived.

        Args:
            due: whether more data of this answer is expected.
        """
        self._note_received(due=due)
        self._state.waiting.note_bytes(self, self._received_at)

    def _note_notice(self, head: AnswerHead) -> None:
        """Record the server's notice, even if the answer is to another request.

        A late answer to an earlier request comes from the same server.
        """
        self._notice = parse_notice(head, self._names)
        self._apply_notice(self._notice)
        if self._notice.unreadable:
            LOG.warning(
                "Retry-After is neither seconds nor a date and is ignored: %.40r",
                self._notice.unreadable,
                extra={"peer": self._state.server.name, "step": "answer"},
            )

    def _note_load(self, headers: Headers) -> None:
        """Record the load that an answer reports, ``RUNNING,WAITING,SLOTS[,SPEED]``."""
        report = find_header(headers, self._names.load)
        if report is None:
            return
        numbers = report.split(b",")
        if len(numbers) >= 2 and numbers[0].isdigit() and numbers[1].isdigit():
            self._state.note_load(int(numbers[0]), int(numbers[1]), self._received_at)
            if len(numbers) > SPEED_INDEX:
                self._note_speed(numbers[SPEED_INDEX])
            if self._note_load_change is not None:
                self._note_load_change(_parse_slots(numbers))
            return
        LOG.warning(
            "a load report is not RUNNING,WAITING and is ignored: %.40r",
            report,
            extra={"peer": self._state.server.name, "step": "answer"},
        )

    def _note_speed(self, figure: bytes) -> None:
        """Record the speed in a load report; ignore a malformed one."""
        percent = parse_speed(figure)
        if percent is not None:
            self._state.speed.note_report(percent, self._received_at)
            return
        LOG.warning(
            "a server's speed is not a number from %d to %d and is ignored: %.40r",
            MIN_PERCENT,
            MAX_PERCENT,
            figure,
            extra={"peer": self._state.server.name, "step": "answer"},
        )


def _parse_slots(numbers: list[bytes]) -> int | None:
    """Return the slots of a load report; None if it states none or is malformed."""
    try:
        return int(numbers[2]) if len(numbers) > 2 else None
    except ValueError:
        return None
