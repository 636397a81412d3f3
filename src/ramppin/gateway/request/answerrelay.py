"""Passes a server's successful answer on to the caller, and claims no more than it did.

A stream of events is forwarded in complete events, by the attempt that receives it and
by those that continue it. An answer whose end nothing but the close of its connection
shows ends for the caller in the same way. Relies on the attempt to decide when to
forward and what a failure means.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ramppin.gateway.connection.answerend import AnswerEnd
from ramppin.gateway.connection.callerwire import CallerConnection
from ramppin.gateway.connection.httpwire import HeaderNames, Headers, keep_end_to_end
from ramppin.gateway.connection.upstream import AnswerHead
from ramppin.gateway.request.events import EventSplitter, is_event_stream

_LENGTH = frozenset({b"content-length"})
"""Headers of an answer that the caller's connection sets."""


class AnswerRelay:
    """Passes the answer of one attempt on to the caller.

    Args:
        names: configured header names.
        caller: the caller's connection.
        previous: the relay of the attempt whose stream this one continues, or None.
        resumable: whether another server may continue a stream of events.
        note_event: called when the first events of this attempt are sent.

    Attributes:
        started: whether part of an answer was sent to the caller, by this attempt or
            an earlier one.
        first_byte_at: event-loop time at which this attempt sent the first byte; None
            if it did not.

    .. versionadded:: 0.5
    """

    def __init__(
        self,
        names: HeaderNames,
        caller: CallerConnection,
        previous: AnswerRelay | None,
        *,
        resumable: bool,
        note_event: Callable[[], None] = lambda: None,
    ) -> None:
        self._note_event = note_event
        self._has_sent_event = False
        self._names = names
        self._caller = caller
        self._resumable = resumable
        self._loop = asyncio.get_running_loop()
        self._events: EventSplitter | None = None
        self.started = False
        self.first_byte_at: float | None = None
        if previous is not None:
            self.started = previous.started
            self._events = previous._events
        if self._events is not None:
            self._events.drop_partial()

    @property
    def last_event_id(self) -> bytes | None:
        """ID of the last event sent to the caller; None if it can't be continued."""
        return self._events.last_id if self._events and self._resumable else None

    def expect_stream(self, head: AnswerHead) -> str:
        """Prepare for the answer on a stream's route.

        Returns:
            Why this answer can't continue what was sent, or an empty string.
        """
        if is_event_stream(head.headers):
            if self._events is None:
                self._events = EventSplitter(forwards_parts=not self._resumable)
            return ""
        self._events = None
        is_other = self.started
        return "the stream was continued by another kind of answer" if is_other else ""

    def start(self, head: AnswerHead) -> None:
        """Send the head unless an earlier attempt did."""
        if self.started:
            return
        self.started = True
        self.first_byte_at = self._loop.time()
        # Another server may continue a stream with another number of bytes.
        length = None if self._resumable else head.length
        is_confirmed = head.stated_end.is_confirmed
        self._caller.start_stream(
            head.status, self._select(head), length, is_confirmed=is_confirmed
        )

    def forward(self, head: AnswerHead, data: bytes) -> bool:
        """Forward part of the body; return whether any of it was sent.

        Raises:
            ProtocolError: an event is too large.
        """
        if self._events is not None:
            data = self._events.feed(data)
        if not data:
            return False
        if self._events is not None and not self._has_sent_event:
            self._has_sent_event = True
            self._note_event()
        self.start(head)
        self._caller.send_body(data)
        return True

    def find_fault(self, end: AnswerEnd, *, is_continued: bool) -> str:
        """Return what shows that a stream was broken off, or an empty string.

        Args:
            end: what showed the end of the answer.
            is_continued: whether the caller asked for the rest of a stream, which may
                be empty.
        """
        events = self._events
        if events is None or end is AnswerEnd.LENGTH:
            # With its length a server states that the body is whole.
            return ""
        if events.is_inside_event:
            return "the stream ended in the middle of an event"
        if not (events.has_event or is_continued or end.is_confirmed):
            return "the stream ended before its first event"
        return ""

    def end(self, head: AnswerHead, end: AnswerEnd) -> bool:
        """End an answer that is forwarded in parts.

        Returns:
            Whether it was ended. A caller who was promised a confirmed end does not
            get one that nothing confirms.
        """
        self.start(head)
        rest = self._events.pop_rest() if self._events is not None else b""
        if rest:
            self._caller.send_body(rest)
        if not end.is_confirmed and not self._caller.ends_unconfirmed:
            return False
        self._caller.end_stream()
        return True

    def send(self, head: AnswerHead, body: bytes, end: AnswerEnd) -> None:
        """Send an answer of which nothing was forwarded."""
        self.first_byte_at = self._loop.time()
        self._caller.send_answer(
            head.status, self._select(head), body, is_confirmed=end.is_confirmed
        )

    def _select(self, head: AnswerHead) -> Headers:
        """Return the headers to send; a length without a body is the server's word."""
        dropped = self._names.between_vms
        if head.stated_end is not AnswerEnd.NO_BODY:
            dropped = dropped | _LENGTH
        return keep_end_to_end(head.headers, dropped)
