"""Polls a file for changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

PERIOD_S = 1.0
"""Seconds between two checks of the file."""


FileStamp = tuple[int, int]
"""Time of a file's last change in nanoseconds, and its size in bytes."""

NO_STAMP: FileStamp = (0, 0)
"""Stamp of a file that is missing or was not measured."""


def measure_file(path: str) -> FileStamp:
    """Return the stamp of a file; ``NO_STAMP`` if it is missing.

    A missing file counts as changed; its reader reports the error.
    """
    try:
        found = Path(path).stat()
    except OSError:
        return NO_STAMP
    return found.st_mtime_ns, found.st_size


class FileWatch:
    """Calls a function when a file has changed.

    Args:
        path: the file.
        on_change: called after each change.
        seen: its stamp from before it was read for the first time.

    .. versionadded:: 0.2
    """

    def __init__(
        self, path: str, on_change: Callable[[], None], seen: FileStamp
    ) -> None:
        self._path = path
        self._on_change = on_change
        self._seen = seen

    def check(self) -> None:
        """Call ``on_change`` if the file has changed since the last check."""
        found = measure_file(self._path)
        if found != self._seen:
            self._seen = found
            self._on_change()

    async def run(self) -> None:
        """Check the file periodically until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            self.check()
