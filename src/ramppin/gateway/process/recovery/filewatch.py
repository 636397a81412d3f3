"""Polls a file for changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

PERIOD_S = 1.0
"""Seconds between two checks of the file."""


class FileWatch:
    """Calls a function when a file has changed.

    Args:
        path: the file.
        on_change: called after each change.

    .. versionadded:: 0.2
    """

    def __init__(self, path: str, on_change: Callable[[], None]) -> None:
        self._path = Path(path)
        self._on_change = on_change
        self._seen = self._measure()

    def check(self) -> None:
        """Call ``on_change`` if the file has changed since the last check."""
        found = self._measure()
        if found != self._seen:
            self._seen = found
            self._on_change()

    async def run(self) -> None:
        """Check the file periodically until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            self.check()

    def _measure(self) -> tuple[int, int]:
        try:
            found = self._path.stat()
        except OSError:
            # A missing file counts as changed; its reader reports the error.
            return 0, 0
        return found.st_mtime_ns, found.st_size
