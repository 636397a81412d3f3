"""Splits a stream (``text/event-stream``) into events and extracts the last event ID.

A stream that another server may resume is forwarded in complete events, so that the
continuation starts after the last event that the caller received. No I/O.
"""

from __future__ import annotations

from ramppin.errors import ProtocolError

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
"""Blank lines that end an event, for the two line endings that servers use."""

ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1_048_576
"""Maximum size of an event, which bounds memory: far larger than the usual
events. A stream with a larger event fails."""


class EventSplitter:
    """Buffers a partial event, so that another server can resume after the last one.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._partial = b""
        self.last_id: bytes | None = None

    @property
    def partial(self) -> bytes:
        """Bytes of an event that is not complete yet."""
        return self._partial

    def feed(self, data: bytes) -> bytes:
        """Return the events completed by new data; buffer the remainder.

        Raises:
            ProtocolError: a partial event is larger than :data:`MAX_EVENT_BYTES`.
        """
        buffered = self._partial + data if self._partial else data
        end = max(_find_end(buffered, mark) for mark in EVENT_ENDS)
        if end < 0:
            self._partial = buffered
            if len(buffered) > MAX_EVENT_BYTES:
                raise ProtocolError("an event is too large", step="stream")
            return b""
        complete, self._partial = buffered[:end], buffered[end:]
        self._note_last_id(complete)
        return complete

    def drop_partial(self) -> None:
        """Discard a partial event: the next attempt sends it again from its start."""
        self._partial = b""

    def _note_last_id(self, complete: bytes) -> None:
        start = len(complete)
        while (start := complete.rfind(ID_FIELD, 0, start)) >= 0:
            if start == 0 or complete[start - 1 : start] == b"\n":
                line = complete[start + len(ID_FIELD) :].split(b"\n", 1)[0]
                self.last_id = line.strip()
                return


def _find_end(data: bytes, mark: bytes) -> int:
    """Return the end offset of the last complete event, or -1."""
    start = data.rfind(mark)
    return start + len(mark) if start >= 0 else -1
