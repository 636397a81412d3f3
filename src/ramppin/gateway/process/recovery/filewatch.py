"""Notices that a file changed, with or without a signal."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

PERIOD_S = 1.0
"""Seconds between two checks of the file."""


class FileWatch:
    """Calls back when a file was changed.

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
        """Call back if the file changed since the last look."""
        found = self._measure()
        if found != self._seen:
            self._seen = found
            self._on_change()

    async def run(self) -> None:
        """Look again and again until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            self.check()

    def _measure(self) -> tuple[int, int]:
        try:
            found = self._path.stat()
        except OSError:
            # A file that is gone counts as changed; whoever reads it says why.
            return 0, 0
        return found.st_mtime_ns, found.st_size
