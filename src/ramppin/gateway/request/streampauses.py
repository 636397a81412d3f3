"""Longest pause between the pieces of a stream, as its caller receives it.

Load pattern: work at a server that interrupts the streams running there. Holds the time
of the last piece across the attempts of one request, so that the change to another
server counts as a pause. No I/O.
"""

from __future__ import annotations


class StreamPauses:
    """Measures the longest pause of one stream.

    The time for which the caller does not read is excluded: no piece can be forwarded
    then, however fast the server is.

    Attributes:
        longest_s: longest pause in seconds; None with fewer than two pieces.

    .. versionadded:: 0.3
    """

    def __init__(self) -> None:
        self.longest_s: float | None = None
        self._last_at: float | None = None
        self._is_held = False

    def note_piece(self, now: float) -> float | None:
        """Record a forwarded piece; return the pause before it, if it was measured."""
        pause_s = None
        if self._last_at is not None and not self._is_held:
            pause_s = now - self._last_at
            if self.longest_s is None or pause_s > self.longest_s:
                self.longest_s = pause_s
        self._last_at = now
        return pause_s

    def note_held(self, held: bool, now: float) -> None:
        """Record that the caller stopped reading, or that it reads again."""
        self._is_held = held
        if not held and self._last_at is not None:
            self._last_at = now
