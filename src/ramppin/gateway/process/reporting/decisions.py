"""Decision lines: one line of JSON for each decision that touches a request.

Lines are collected and written by a timer, so that no request waits for whoever
reads them. Past a rate, and past what a slow reader leaves unwritten, lines are
dropped and counted; the count is a line of its own (``lines_dropped``).

Owns the lines that are not written yet.
"""

from __future__ import annotations

import json
import logging
import os
import sys
import time

LOG = logging.getLogger(__name__)

LINES_PER_S = 60
"""Lines about answered requests that are kept each second: a sample of them."""

FAILURE_LINES_PER_S = 200
"""Lines about anything else that are kept each second."""

MAX_UNWRITTEN_BYTES = 256 * 1024
"""Bytes that wait for a slow reader: about three seconds of lines at both rates, of
350 bytes each."""


class DecisionLog:
    """Collects decision lines and writes them in batches.

    Args:
        vm: name of the VM, in each line.
        descriptor: where lines are written; standard output if not given.

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
        """Write a line about an answered request, unless there are too many."""
        if self._answered_left <= 0:
            self._dropped += 1
            return
        self._answered_left -= 1
        self._append("answered", fields)

    def note(self, event: str, **fields: object) -> None:
        """Write a line about any other decision or change."""
        if self._others_left <= 0:
            self._dropped += 1
            return
        self._others_left -= 1
        self._append(event, fields)

    def refill(self) -> None:
        """Begin a new second."""
        if self._dropped:
            self._append("lines_dropped", {"count": self._dropped})
            self._dropped = 0
        self._answered_left = LINES_PER_S
        self._others_left = FAILURE_LINES_PER_S

    def flush(self) -> None:
        """Write what was collected; keep what the reader does not take yet."""
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
        """Return the oldest whole lines within the limit; count the others."""
        if len(data) <= MAX_UNWRITTEN_BYTES:
            return data
        end = data.rfind(b"\n", 0, MAX_UNWRITTEN_BYTES) + 1
        self._dropped += data.count(b"\n", end)
        return data[:end]

    def _append(self, event: str, fields: dict[str, object]) -> None:
        line = {"time": round(time.time(), 3), "vm": self._vm, "event": event}
        line.update(fields)
        self._lines.append(json.dumps(line, separators=(",", ":")) + "\n")
