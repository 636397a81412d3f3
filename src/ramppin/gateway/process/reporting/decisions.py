"""Decision lines: one line of JSON for each decision that affects a request.

Lines are buffered and written by a timer, so that no request waits for the reader of
the output. Lines above a rate, or above the size of the buffer for a slow reader, are
dropped and counted; the count is written as a line of its own (``lines_dropped``).
"""

from __future__ import annotations

import json
import logging
import os
import select
import sys
import time

LOG = logging.getLogger(__name__)

LINES_PER_S = 60
"""Lines about answered requests that are written per second: a sample of them."""

FAILURE_LINES_PER_S = 200
"""Lines about other events that are written per second."""

MAX_UNWRITTEN_BYTES = 256 * 1024
"""Bytes that are buffered for a slow reader: about three seconds of lines at both
rates, of 350 bytes each."""

LAST_LINES = 2_000
"""Lines that are written beyond the rates before the process exits."""

LAST_WRITE_S = 0.1
"""Seconds for which a process that exits waits for a slow reader of its last lines."""


class DecisionLog:
    """Buffers decision lines and writes them in batches.

    Args:
        vm: name of the VM, written in each line.
        descriptor: file descriptor to write to; standard output by default.

    .. versionadded:: 0.2
    """

    def __init__(self, vm: str, *, descriptor: int | None = None) -> None:
        self._vm = vm
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._lines: list[str] = []
        self._unwritten = b""
        self._answered_left = LINES_PER_S
        self._others_left = FAILURE_LINES_PER_S
        self._dropped = 0
        os.set_blocking(self._descriptor, False)

    def note_answered(self, **fields: object) -> None:
        """Add a line about an answered request, unless the rate is exceeded."""
        if self._answered_left <= 0:
            self._dropped += 1
            return
        self._answered_left -= 1
        self._append("answered", fields)

    def note(self, event: str, **fields: object) -> None:
        """Add a line about another decision or change, unless the rate is exceeded."""
        if self._others_left <= 0:
            self._dropped += 1
            return
        self._others_left -= 1
        self._append(event, fields)

    def refill(self) -> None:
        """Reset the rate limits, at the start of each second."""
        if self._dropped:
            self._append("lines_dropped", {"count": self._dropped})
            self._dropped = 0
        self._answered_left = LINES_PER_S
        self._others_left = FAILURE_LINES_PER_S

    def lift_rates(self) -> None:
        """Write the next lines beyond the rates, since the process is about to exit."""
        self._others_left = LAST_LINES

    def close(self) -> None:
        """Write all buffered lines; wait a moment for a slow reader."""
        deadline = time.monotonic() + LAST_WRITE_S
        self.flush()
        while self._unwritten and time.monotonic() < deadline:
            select.select([], [self._descriptor], [], LAST_WRITE_S)
            self.flush()

    def flush(self) -> None:
        """Write the buffered lines; keep what the reader does not accept yet."""
        data = self._unwritten + "".join(self._lines).encode()
        self._lines.clear()
        if not data:
            return
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError as error:
            lost = data.count(b"\n")
            self._dropped += lost
            LOG.warning("%d decision lines could not be written: %s", lost, error)
            written = len(data)
        self._unwritten = self._trim(data[written:])

    def _trim(self, data: bytes) -> bytes:
        """Return the oldest complete lines within the limit; count the others."""
        if len(data) <= MAX_UNWRITTEN_BYTES:
            return data
        end = data.rfind(b"\n", 0, MAX_UNWRITTEN_BYTES) + 1
        self._dropped += data.count(b"\n", end)
        return data[:end]

    def _append(self, event: str, fields: dict[str, object]) -> None:
        line = {"time": round(time.time(), 3), "vm": self._vm, "event": event}
        line.update(fields)
        self._lines.append(json.dumps(line, separators=(",", ":")) + "\n")
