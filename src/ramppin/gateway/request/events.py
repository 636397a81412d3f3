"""Splits a stream (``text/event-stream``) into events and extracts the last event ID.

Streams are forwarded in complete events: a continuation starts after the last event
that the caller received, and a stream that ends inside an event has been broken off.
Lines end with LF, CR LF or CR, and a blank line ends an event (HTML standard, section
9.2.5). No I/O.
"""

from __future__ import annotations

import re

from ramppin.errors import ProtocolError
from ramppin.gateway.connection.httpwire import Headers, find_header

MEDIA_TYPE = b"text/event-stream"

MAX_EVENT_BYTES = 1_048_576
"""Maximum size of an event, which bounds memory: far larger than the usual
events. A stream with a larger event fails, unless parts of events are forwarded."""

MAX_HELD_BYTES = 16_384
"""Bytes of an event that are held where parts of events may be forwarded."""

_EVENT_END = re.compile(rb".*(?:\r\n|\n|\r(?!\n))[\r\n]+", re.DOTALL)
"""Matches up to the last blank line. A CR LF alone is one line end, never two."""

_LINE_ENDS = b"\r\n"
_LONGEST_LINE_END = 2
_USUAL_END = b"\n\n"
_ID_FIELD = b"id:"
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"


def is_event_stream(headers: Headers) -> bool:
    """Return whether an answer on a stream's route is an event stream.

    One without ``Content-Type`` is what its route says.
    """
    value = find_header(headers, b"content-type")
    if value is None:
        return True
    return value.partition(b";")[0].strip().lower() == MEDIA_TYPE


class EventSplitter:
    """Holds the part of an event that has not ended, and returns complete events.

    Args:
        forwards_parts: whether the parts of an event larger than
            :data:`MAX_HELD_BYTES` are returned before it has ended.

    Attributes:
        last_id: ID of the last complete event that had one, or None.
        has_event: whether a complete event was returned.

    .. versionadded:: 0.2
    """

    def __init__(self, *, forwards_parts: bool = False) -> None:
        self._forwards_parts = forwards_parts
        self._held = bytearray()
        self._has_returned_part = False
        self.last_id: bytes | None = None
        self.has_event = False

    @property
    def is_inside_event(self) -> bool:
        """Whether the data ends inside an event."""
        return bool(self._held) or self._has_returned_part

    def feed(self, data: bytes) -> bytes:
        """Return the events completed by new data; hold the remainder.

        Raises:
            ProtocolError: an event is larger than :data:`MAX_EVENT_BYTES`.
        """
        if not self.is_inside_event and data.endswith(_USUAL_END):
            self._note_complete(data)
            return data
        held = self._held
        # Its end may have begun in the data before.
        start = max(0, len(held) - _LONGEST_LINE_END)
        held += data
        end = self._find_end(start)
        if end == 0:
            return self._return_part()
        complete = bytes(held[:end])
        del held[:end]
        self._has_returned_part = False
        self._note_complete(complete)
        return complete

    def pop_rest(self) -> bytes:
        """Return and clear what is held of an event."""
        rest = bytes(self._held)
        self._held.clear()
        return rest

    def drop_partial(self) -> None:
        """Discard a partial event: the next attempt sends it again from its start."""
        self._held.clear()

    def _find_end(self, start: int) -> int:
        """Return the end offset of the last complete event in what is held, or 0.

        Args:
            start: offset before which no event ends.
        """
        held = self._held
        match = _EVENT_END.match(held, start)
        if match is not None:
            return match.end()
        if self._has_returned_part or start > 0:
            return 0
        # At the start of a line, a line end alone is a blank line. It may also be the
        # LF of a CR LF whose CR ended the event before.
        return len(held) - len(held.lstrip(_LINE_ENDS))

    def _return_part(self) -> bytes:
        """Return a part of an event that is too large to be held, or nothing."""
        held = self._held
        if not self._forwards_parts:
            if len(held) > MAX_EVENT_BYTES:
                raise ProtocolError("an event is too large", step="stream")
            return b""
        if len(held) <= MAX_HELD_BYTES and not self._has_returned_part:
            return b""
        self._has_returned_part = True
        part = bytes(held[:-_LONGEST_LINE_END])
        del held[:-_LONGEST_LINE_END]
        return part

    def _note_complete(self, complete: bytes) -> None:
        """Record the last ID in complete events."""
        first = 0
        if not self.has_event:
            self.has_event = bool(complete.strip(_LINE_ENDS))
            if complete.startswith(_BYTE_ORDER_MARK):
                first = len(_BYTE_ORDER_MARK)
        start = len(complete)
        while (start := complete.rfind(_ID_FIELD, first, start)) >= 0:
            if start == first or complete[start - 1] in _LINE_ENDS:
                line = complete[start + len(_ID_FIELD) :]
                self.last_id = line.splitlines()[0].strip()
                return
