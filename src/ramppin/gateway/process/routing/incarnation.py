"""Whether an entry of a backend server is of a later start than the one known.

A server that starts again may keep its id. It then holds and knows nothing of before,
so what is known of the earlier start must not count for the later one. Pure functions.
"""

from __future__ import annotations

from enum import Enum


class StartVerdict(Enum):
    """What an entry's start says beside the known one."""

    SAME = "same"
    LATER = "later"
    EARLIER = "earlier"
    UNSTATED = "untold"
    """The known start was told, this entry tells none: another writer's."""


def judge_start(known_ms: int | None, entry_ms: int | None) -> StartVerdict:
    """Return what an entry's start says beside the known one.

    A server that never tells its start is one incarnation as long as its entry lasts.

    Args:
        known_ms: start of the known incarnation, Unix time in milliseconds, or None.
        entry_ms: start that the entry tells, or None.
    """
    if entry_ms == known_ms:
        return StartVerdict.SAME
    if entry_ms is None:
        return StartVerdict.UNSTATED
    if known_ms is None or entry_ms > known_ms:
        return StartVerdict.LATER
    return StartVerdict.EARLIER
