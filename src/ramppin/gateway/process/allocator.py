"""Returns freed memory of the C library's allocator to the system.

Buffers of 64 to 256 kB that are freed in another order than they were allocated leave
gaps in the heap, which count as resident memory.
"""

from __future__ import annotations

import ctypes
import functools
from collections.abc import Callable


@functools.cache
def _find_trim() -> Callable[[int], int] | None:
    """Return glibc's ``malloc_trim``; None with another C library."""
    try:
        return ctypes.CDLL(None).malloc_trim
    except (OSError, AttributeError):
        return None


def release_free_memory() -> None:
    """Return freed memory to the system, if the allocator can."""
    trim = _find_trim()
    if trim is not None:
        trim(0)
