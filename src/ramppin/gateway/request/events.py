"""Whole events of a stream (``text/event-stream``), with the last event's id.

A stream that may be continued by another server is passed on in whole events, so
that the continuation begins where the caller's last event ended. No I/O.
"""

from __future__ import annotations

from ramppin.errors import ProtocolError

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
"""Blank lines; a server ends its lines in one of two ways."""

ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1_048_576
"""Bytes of one event past which a stream is broken: a bound on memory, far above any
event of the sites played."""


class EventSplitter:
    """Buffers a partial event, so that another server can continue after the last.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._partial = b""
        self.last_id: bytes | None = None

    @property
    def partial(self) -> bytes:
        """Bytes of an event that has not ended."""
        return self._partial

    def feed(self, data: bytes) -> bytes:
        """Return the whole events received so far; keep the remainder.

        Raises:
            ProtocolError: an event is larger than any real one.
        """
        buffered = self._partial + data if self._partial else data
        end = max(_find_end(buffered, mark) for mark in EVENT_ENDS)
        if end < 0:
            self._partial = buffered
            if len(buffered) > MAX_EVENT_BYTES:
                raise ProtocolError("an event does not end", step="stream")
            return b""
        whole, self._partial = buffered[:end], buffered[end:]
        self._note_last_id(whole)
        return whole

    def drop_partial(self) -> None:
        """Forget a partial event: it will come again from its start."""
        self._partial = b""

    def _note_last_id(self, whole: bytes) -> None:
        start = len(whole)
        while (start := whole.rfind(ID_FIELD, 0, start)) >= 0:
            if start == 0 or whole[start - 1 : start] == b"\n":
                line = whole[start + len(ID_FIELD) :].split(b"\n", 1)[0]
                self.last_id = line.strip()
                return


def _find_end(data: bytes, mark: bytes) -> int:
    """Return where the last whole event ends, or -1."""
    start = data.rfind(mark)
    return start + len(mark) if start >= 0 else -1
