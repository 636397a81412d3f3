"""Determines whether an entry of a backend server belongs to a later start.

A server may keep its name across a restart, but it loses all of its state. So the state
that is kept for the earlier start must not be used for the later one. Pure functions.
"""

from __future__ import annotations

from enum import Enum


class StartVerdict(Enum):
    """How the start of an entry compares to the known start."""

    SAME = "same"
    LATER = "later"
    EARLIER = "earlier"
    UNSTATED = "unstated"
    """The known entry states a start and this one does not: it has another writer."""


def judge_start(known_ms: int | None, entry_ms: int | None) -> StartVerdict:
    """Return how the start of an entry compares to the known start.

    A server that never states its start is one incarnation as long as its entry exists.

    Args:
        known_ms: start of the known incarnation, Unix time in milliseconds, or None.
        entry_ms: start that the entry states, or None.
    """
    if entry_ms == known_ms:
        return StartVerdict.SAME
    if entry_ms is None:
        return StartVerdict.UNSTATED
    if known_ms is None or entry_ms > known_ms:
        return StartVerdict.LATER
    return StartVerdict.EARLIER
