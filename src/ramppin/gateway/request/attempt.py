"""One attempt to send a request.

Sends the request, forwards a successful answer, and returns how the attempt ended.
Owns the part of an answer that has not been forwarded; relies on its
:class:`~.destination.Destination` to classify the answer and to detect that the other
side is unresponsive.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from ramppin.errors import BrokenAnswerError, NotSentError, ProtocolError
from ramppin.gateway.connection.answerend import AnswerEnd
from ramppin.gateway.connection.callerwire import CallerConnection
from ramppin.gateway.connection.heldmemory import SendingRequest
from ramppin.gateway.connection.httpwire import HeaderNames, find_header
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.connection.upstream import (
    AnswerHead,
    AnswerReceiver,
    UpstreamConnection,
)
from ramppin.gateway.process.membership.health import Outcome
from ramppin.gateway.process.memory import FREE_BYTES
from ramppin.gateway.request.answerkind import AnswerKind
from ramppin.gateway.request.answerrelay import AnswerRelay
from ramppin.gateway.request.destination import Destination
from ramppin.gateway.request.result import AttemptEnd, AttemptResult
from ramppin.gateway.request.servernotice import NO_NOTICE, ServerNotice
from ramppin.gateway.request.streampauses import StreamPauses

MAX_ERROR_BYTES = 1_048_576
"""Bytes of an answer without success that are kept until its end."""

MAX_BUFFERED_BYTES = 262_144
"""Maximum number of bytes of an answer that are buffered before it is forwarded in
pieces. Until forwarding starts, a failure can be answered or the request retried."""

RESPONSE_CHECK_S = 0.2
"""Interval in seconds at which the attempt checks whether the server is unresponsive: a
quarter of the time after which it counts as such."""


class Attempt(AnswerReceiver, SendingRequest):
    """Sends a request to one destination and forwards its answer.

    Args:
        names: configured header names.
        caller: the caller's connection.
        request_id: the request ID that the answer must have.
        destination: where it is sent.
        previous: the attempt whose stream this one continues, or None.
        streams: whether data is forwarded as it arrives.
        resumable: whether another server may continue a stream of events.
        may_take_over: returns whether another server could take over the request.
        note_event: called when the first events of this attempt are sent.
        has_terminated: returns whether the server has terminated, or None if that is
            unknown; an answer that is not confirmed is held until then. None to pass
            it on at once.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        names: HeaderNames,
        caller: CallerConnection,
        request_id: bytes,
        destination: Destination,
        *,
        previous: Attempt | None,
        streams: bool,
        resumable: bool,
        may_take_over: Callable[[], bool],
        note_event: Callable[[], None] = lambda: None,
        has_terminated: Callable[[], Awaitable[bool | None]] | None = None,
    ) -> None:
        self._names = names
        self._caller = caller
        self._memory = caller.memory
        self._request_id = request_id
        self._destination = destination
        self._streams = streams
        self._is_continued = False
        self._may_take_over = may_take_over
        self._has_terminated = has_terminated
        self._server_check: asyncio.Task[None] | None = None
        self._is_checked = False
        self._loop = asyncio.get_running_loop()
        self._result: asyncio.Future[AttemptResult] = self._loop.create_future()
        self._connection: UpstreamConnection | None = None
        self._head: AnswerHead | None = None
        self._kind: AnswerKind | None = None
        self._end_seen = AnswerEnd.NOT_SEEN
        self._notice: ServerNotice = NO_NOTICE
        self._buffered: list[bytes] = []
        self._buffered_size = 0
        self._forwarding = False
        self._sent_at = 0.0
        self._received_at = 0.0
        self._paused = False
        self._check_timer: asyncio.TimerHandle | None = None
        self._pauses = previous.pauses if previous else StreamPauses()
        self._relay = AnswerRelay(
            names,
            caller,
            previous.relay if previous else None,
            resumable=resumable,
            note_event=note_event,
        )

    @property
    def relay(self) -> AnswerRelay:
        """Passes the answer on to the caller."""
        return self._relay

    @property
    def answer_started(self) -> bool:
        """Whether part of an answer was sent, by this attempt or an earlier one."""
        return self._relay.started

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
        self._is_continued = request.find(self._names.last_event_id) is not None
        self._received_at = self._loop.time()
        self._sent_at = self._received_at
        self._destination.note_sent(self, request, self._sent_at)
        timer = self._loop.call_at(ends_at, self.cancel, AttemptEnd.TIMED_OUT)
        self._check_unresponsive()
        try:
            self._send(connection, head, request)
            if self._memory is not None:
                self._memory.start_sending(self)
            return await self._result
        except NotSentError as error:
            return AttemptResult(AttemptEnd.NOT_SENT, message=error.message)
        finally:
            self._destination.note_ended(self, self._loop.time())
            if self._memory is not None:
                self._memory.end_sending()
            timer.cancel()
            if self._check_timer is not None:
                self._check_timer.cancel()
            if self._server_check is not None:
                self._server_check.cancel()

    def _send(
        self, connection: UpstreamConnection, head: bytes, request: CallerRequest
    ) -> None:
        """Send the request.

        Raises:
            NotSentError: the connection is closed; no byte was sent.
        """
        connection.send(
            head,
            request.body,
            self,
            head_request=request.method == b"HEAD",
            counted=self._memory is not None,
        )

    def cancel(self, end: AttemptEnd) -> None:
        """Cancel the attempt and abort the connection to the server."""
        if self._connection is not None:
            self._connection.abort()
        self._destination.note_unanswered(self._loop.time())
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
            self._destination.note_paused(self)
            self._connection.pause()
        else:
            self._destination.note_resumed(self, self._received_at)
            self._connection.resume()

    # called by the server's connection

    def accept_head(self, head: AnswerHead) -> bool:
        """Process an answer's head; return whether it belongs to this request."""
        self._note_bytes(due=True)
        self._notice = self._destination.note_notice(head)
        found = find_header(head.headers, self._names.request_id)
        if found is None and head.status < 300:
            return False
        if found is not None and found != self._request_id:
            return False
        self._head = head
        self._kind = self._destination.judge(head)
        wait_s = self._received_at - self._sent_at
        self._destination.note_head(head, self._kind, wait_s, self._received_at)
        if self._kind is AnswerKind.SUCCESS and self._streams:
            fault = self._relay.expect_stream(head)
            if fault:
                self._fail(fault)
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
        is_success = self._kind is AnswerKind.SUCCESS
        if not is_success and self._buffered_size > MAX_ERROR_BYTES:
            self._fail("answer without success exceeds its limit")
            return
        is_large = self._buffered_size > MAX_BUFFERED_BYTES
        if memory is not None and self._buffered_size > FREE_BYTES:
            memory.set_buffered(self._buffered_size)
            if self._result.done():
                return
            is_large = is_large or memory.is_over_allowance
            if is_large and not is_success:
                self._fail("answer without success exceeds the memory budget")
                return
        if is_success and (self._streams or is_large):
            self._start_forwarding()

    def accept_end(self, end: AnswerEnd) -> None:
        """Finish a complete answer, or end the attempt without success."""
        self._note_bytes(due=False)
        head, kind = self._head, self._kind
        if head is None or kind is None or self._result.done():
            return
        # Another VM frames an answer whose end it can't confirm, and marks it.
        self._end_seen = end if end is AnswerEnd.CLOSE else head.stated_end
        if kind is not AnswerKind.SUCCESS:
            self._end_without_success(head, kind)
            return
        end = self._end_seen
        fault = self._relay.find_fault(end, is_continued=self._is_continued)
        if fault:
            self._fail(fault, lost=not end.is_confirmed)
        elif self._forwarding or (self._streams and end is not AnswerEnd.NO_BODY):
            if self._relay.end(head, end):
                self._note_delivered()
            else:
                self._finish(AttemptEnd.FAILED, "nothing confirms the stream's end")
        elif end.is_confirmed or self._has_terminated is None:
            self._send_buffered(head)
        else:
            check = self._send_checked(head, self._has_terminated)
            self._server_check = self._loop.create_task(check)

    def accept_failure(self, error: BrokenAnswerError, end: AnswerEnd) -> None:
        """Fail the attempt because its answer ended prematurely."""
        self._end_seen = end
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
        self._forwarding = True
        buffered, self._buffered = self._buffered, []
        self._free_buffered()
        for data in buffered:
            self._forward(data)

    def _forward(self, data: bytes) -> None:
        assert self._head is not None
        try:
            is_sent = self._relay.forward(self._head, data)
        except ProtocolError as error:
            self._fail(error.message)
            return
        if is_sent and self._streams:
            self._note_piece()

    async def _send_checked(
        self, head: AnswerHead, has_terminated: Callable[[], Awaitable[bool | None]]
    ) -> None:
        """Send an answer that ended with its connection, unless its server ended too.

        A repeatable request is better repeated than answered by what may be a part.
        """
        found = await has_terminated()
        self._is_checked = found is not None
        if found:
            self._fail("the server terminated as its answer ended", lost=True)
        elif not self._result.done():
            self._send_buffered(head)

    def _send_buffered(self, head: AnswerHead) -> None:
        """Send an answer of which nothing was forwarded."""
        body = b"".join(self._buffered)
        self._free_buffered()
        self._relay.send(head, body, self._end_seen)
        self._note_delivered()

    def _note_delivered(self) -> None:
        """Record that the caller got the answer."""
        self._destination.note_success(self._received_at)
        self._destination.note_outcome(Outcome.ANSWERED, self._loop.time())
        self._finish(AttemptEnd.DELIVERED)

    def _note_piece(self) -> None:
        """Record that a piece of the stream was forwarded."""
        now = self._received_at
        self._destination.note_pause(self._pauses.note_piece(now), now)

    # end of the attempt

    def _end_without_success(self, head: AnswerHead, kind: AnswerKind) -> None:
        """End the attempt after an answer that is not a success."""
        self._destination.note_outcome(kind.outcome, self._loop.time())
        if kind is AnswerKind.UNSIGNED:
            self._finish(kind.end, kind.value)
        else:
            self._finish(kind.end, answer=(head, b"".join(self._buffered)))

    def _fail(self, message: str, *, lost: bool = False) -> None:
        if self._result.done():
            return
        self._destination.note_outcome(Outcome.FAILED, self._loop.time())
        if self._connection is not None:
            self._connection.abort()
        self._finish(AttemptEnd.FAILED, message, lost=lost)

    def _finish(
        self,
        end: AttemptEnd,
        message: str = "",
        answer: tuple[AnswerHead, bytes] | None = None,
        *,
        lost: bool = False,
    ) -> None:
        if self._result.done():
            return
        self._buffered = []
        self._free_buffered()
        self._result.set_result(
            AttemptResult(
                end,
                status=self._head.status if self._head else 0,
                answer_end=self._end_seen,
                answer=answer,
                last_event_id=self._relay.last_event_id,
                message=message,
                first_byte_at=self._relay.first_byte_at,
                longest_pause_s=self._pauses.longest_s,
                lost=lost,
                is_checked=self._is_checked,
                notice=self._notice,
            )
        )

    # what arrives

    def _check_unresponsive(self) -> None:
        """Fail the attempt if its destination is unresponsive.

        Only if another server can take over. Otherwise a lost answer would use up the
        whole time limit of a request that may be repeated.
        """
        if self._result.done():
            return
        is_stalled = self._destination.is_stalled(self._received_at, self._loop.time())
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
        self._destination.note_received(self._received_at, due=due)

    def _note_bytes(self, *, due: bool) -> None:
        """Record that data of the answer arrived.

        Args:
            due: whether more data of this answer is expected.
        """
        self._note_received(due=due)
        self._destination.note_bytes(self, self._received_at)
