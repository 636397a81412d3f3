"""Limits on what a peer may send around the body of an answer.

A faulty peer may send bytes that are no answer without end: lines of a head, blank
lines or interim answers before it, a chunk's size line, trailers. Kept by the parser
they would fill the process's memory, and dropped by it they would occupy the caller
until its deadline. All readers of answers use this one guard. No I/O.
"""

from __future__ import annotations

HEAD_FEED_BYTES = 8_192
"""Bytes of a head that are parsed at most before its limits are checked again."""

MAX_HEAD_BYTES = 65_536
"""Bytes of an answer's head, with the blank lines and interim answers before it. Common
servers limit heads to 8 to 32 KiB."""

MAX_HEAD_LINES = 1_000
"""Headers of an answer's head and of the interim answers before it, and its trailers:
each takes up to 200 bytes of memory, however short it is."""

MAX_FRAMING_BYTES = 16_384
"""Bytes between two parts of a body: a chunk's size line with its extensions, or the
trailers."""

MAX_HEAD_S = 3.0
"""Seconds from the first byte of a head to its end: a server that stands still for a
second or two may go on."""


class AnswerLimits:
    """Counts what has arrived of one answer beside its body.

    Attributes:
        in_head: whether the answer's head is still due.
        is_head_begun: whether part of a head, or a blank line before it, has arrived.

    .. versionadded:: 0.6
    """

    def __init__(self) -> None:
        self.in_head = True
        self.is_head_begun = False
        self._has_interim = False
        self._head_bytes = 0
        self._lines = 0
        self._framing_bytes = 0
        self._has_body = False

    def note_line(self) -> bool:
        """Count a header or trailer; return whether there are too many."""
        self._lines += 1
        return self._lines > MAX_HEAD_LINES

    def note_begin(self) -> None:
        """Record the first byte of a head."""
        self.is_head_begun = True

    def note_interim(self) -> None:
        """Record an interim answer, after which the next head may take its time."""
        self.is_head_begun = False
        self._has_interim = True

    def note_head(self) -> None:
        """Record that the head is complete."""
        self.in_head = False
        self.is_head_begun = False

    def note_body(self) -> None:
        """Record a part of the body."""
        self._has_body = True

    def note_parsed(self, size: int) -> str:
        """Count parsed bytes; return which limit they exceed, or an empty string."""
        has_body, self._has_body = self._has_body, False
        has_interim, self._has_interim = self._has_interim, False
        if self.in_head:
            self.is_head_begun = self.is_head_begun or not has_interim
            self._head_bytes += size
            return "head" if self._head_bytes > MAX_HEAD_BYTES else ""
        self._framing_bytes = 0 if has_body else self._framing_bytes + size
        return "framing" if self._framing_bytes > MAX_FRAMING_BYTES else ""
