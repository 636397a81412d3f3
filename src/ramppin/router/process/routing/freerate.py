"""How fast the places of a pool come free, which says how long a wait is. No I/O."""

from __future__ import annotations

RATE_MEMORY_S = 10.0
"""Over how long the rate of places that come free is averaged."""

MIN_FREES = 50
"""Places that must have come free before their rate says how long a wait is."""


class FreeRate:
    """The rate at which places come free.

    Attributes:
        per_s: places a second.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self.per_s = 0.0
        self._frees = 0
        self._freed_at: float | None = None

    @property
    def is_known(self) -> bool:
        """Whether enough places have come free."""
        return self._frees >= MIN_FREES

    def note_freed(self, now: float) -> None:
        """Note that a place came free.

        Args:
            now: reading of the allocator's clock, in seconds.
        """
        if self._freed_at is not None:
            elapsed = now - self._freed_at
            decay = max(0.0, 1.0 - elapsed / RATE_MEMORY_S)
            self.per_s = self.per_s * decay + 1.0 / RATE_MEMORY_S
        self._freed_at = now
        self._frees += 1
