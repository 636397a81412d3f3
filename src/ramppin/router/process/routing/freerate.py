"""Rate at which a pool's places are freed, to estimate waiting times. No I/O."""

from __future__ import annotations

RATE_MEMORY_S = 10.0
"""Time over which the rate of freed places is averaged."""

MIN_FREES = 50
"""Freed places before the rate is used to estimate waiting times."""


class FreeRate:
    """The rate at which places are freed.

    Attributes:
        per_s: freed places per second.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self.per_s = 0.0
        self._frees = 0
        self._freed_at: float | None = None

    @property
    def is_known(self) -> bool:
        """Whether enough places have been freed for an estimate."""
        return self._frees >= MIN_FREES

    def note_freed(self, now: float) -> None:
        """Record that a place was freed.

        Args:
            now: reading of the allocator's clock, in seconds.
        """
        if self._freed_at is not None:
            elapsed = now - self._freed_at
            decay = max(0.0, 1.0 - elapsed / RATE_MEMORY_S)
            self.per_s = self.per_s * decay + 1.0 / RATE_MEMORY_S
        self._freed_at = now
        self._frees += 1
