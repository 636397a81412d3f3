"""Decision lines: one line of JSON for each decision that touches a request.

Lines are collected and written by a timer, so that no request waits for the
writer; past a rate lines are dropped and counted, successes before failures.
"""

from __future__ import annotations

import json
import os
import sys
import time

LINES_PER_S = 60
"""Lines about answered requests that are kept each second."""

FAILURE_LINES_PER_S = 200
"""Lines about anything else that are kept each second."""


class DecisionLog:
    """Collects decision lines and writes them in batches.

    Args:
        vm: name of the VM, in each line.
        descriptor: where lines are written.

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
        """Write what was collected; what the reader won't take is kept once."""
        data = self._unwritten + "".join(self._lines).encode()
        self._lines.clear()
        if not data:
            return
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            written = len(data)
        self._unwritten = data[written:][: 256 * 1024]

    def _append(self, event: str, fields: dict[str, object]) -> None:
        line = {"time": round(time.time(), 3), "vm": self._vm, "event": event}
        line.update(fields)
        self._lines.append(json.dumps(line, separators=(",", ":")) + "\n")
