"""Decides which entries of a backend server are current, whenever the log took them.

The place of an entry in the log tells when the log took it, not when its server wrote
it: a write that got no answer may be done seconds later. Two facts belong to an
incarnation, in whatever order its entries come: the highest sequence that it has
written, and that it has announced that it is leaving, which it does not take back.

An entry that contradicts them is outdated. A server that states no start and starts
again under its id contradicts them too, so they hold only until
:data:`MIN_RESTART_ENTRIES` entries in rising order contradict them, none of its earlier
ones between: it is served by its third heartbeat. No I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from ramppin.gateway.process.routing.incarnation import StartVerdict, judge_start

DEFAULT_HEARTBEAT_S = 1.2
"""Seconds between two entries of a server if the settings state none."""

MIN_RESTART_ENTRIES = 3
"""Outdated entries in rising order that show a new incarnation. A server writes one
each heartbeat; writes that were held up come in no such order, or all at once."""

MIN_RESTART_SPAN = 0.5
"""Heartbeats between the first and the last of these entries, at least. They are
written two heartbeats apart and may be read closer together."""

MIN_SILENCE = 1.0
"""Heartbeats since the last entry of the known incarnation was read, at least."""

REMEMBERED_S = 900.0
"""Seconds for which an incarnation is remembered after its entry was removed: about as
long as TCP goes on sending data that was held up."""


@dataclass(frozen=True, slots=True)
class EntryMark:
    """What an entry states about its place among the entries of its server.

    Attributes:
        started_ms: start of the server, Unix time in milliseconds; None if not stated.
        sequence: number of the heartbeat; None if not stated.
        draining: whether the server announces that it is leaving.
    """

    started_ms: int | None
    sequence: int | None
    draining: bool


class EntryVerdict(Enum):
    """Whether an entry is current, or why not; the value is a field of its line."""

    CURRENT = "current"
    OLDER = "written before a known entry"
    EARLIER_START = "of an earlier start"
    TAKEN_BACK = "ready after it announced that it is leaving"

    @property
    def is_current(self) -> bool:
        """Whether the entry applies."""
        return self is EntryVerdict.CURRENT


@dataclass(slots=True)
class Incarnation:
    """What is known of the newest incarnation of a server.

    Attributes:
        started_ms: its start, or None.
        sequence: highest sequence that it has written.
        leaving: whether it has announced that it is leaving.
        removed: whether its entry has been removed since.
        read_at: event-loop time at which its newest entry was read.
        restart_entries: outdated entries in rising order since then.
        restart_sequence: sequence of the last of them.
        restart_began_at: event-loop time at which the first of them was read.
    """

    started_ms: int | None
    sequence: int
    leaving: bool
    read_at: float
    removed: bool = False
    restart_entries: int = 0
    restart_sequence: int = -1
    restart_began_at: float = 0.0


class EntryOrder:
    """Keeps what is known of each server's newest incarnation.

    Args:
        heartbeat_s: seconds between two entries of a server.

    .. versionadded:: 0.6
    """

    def __init__(self, heartbeat_s: float = DEFAULT_HEARTBEAT_S) -> None:
        self._heartbeat_s = heartbeat_s
        self._known: dict[str, Incarnation] = {}
        self._removed_at: OrderedDict[str, float] = OrderedDict()

    def find(self, name: str) -> Incarnation | None:
        """Return what is known of a server's newest incarnation, or None."""
        return self._known.get(name)

    def judge(self, name: str, mark: EntryMark, now: float) -> EntryVerdict:
        """Return whether an entry is current, and record it.

        Args:
            name: the server's id.
            mark: what the entry states.
            now: event-loop time.
        """
        if mark.sequence is None:
            # Its source takes each entry as it is written.
            return EntryVerdict.CURRENT
        known = self._known.get(name)
        start = judge_start(known.started_ms, mark.started_ms) if known else None
        if start is StartVerdict.EARLIER:
            return EntryVerdict.EARLIER_START
        if known is not None and start is StartVerdict.UNSTATED and not known.removed:
            # An entry of another writer, which tells nothing of the incarnation.
            return EntryVerdict.CURRENT
        if known is None or start is not StartVerdict.SAME:
            self._begin(name, mark, mark.sequence, now)
            return EntryVerdict.CURRENT
        verdict = _compare(known, mark.sequence, draining=mark.draining)
        known.leaving = known.leaving or mark.draining
        if verdict.is_current:
            self._continue(name, known, mark.sequence, now)
            return verdict
        if self._is_restart(known, mark.sequence, now):
            self._begin(name, mark, mark.sequence, now)
            return EntryVerdict.CURRENT
        return verdict

    def note_removed(self, name: str, now: float) -> None:
        """Record that a server's entry was removed, and forget those long removed."""
        known = self._known.get(name)
        if known is not None:
            known.removed = True
            self._removed_at[name] = now
            self._removed_at.move_to_end(name)
        while self._removed_at:
            oldest, removed_at = next(iter(self._removed_at.items()))
            if now - removed_at < REMEMBERED_S:
                return
            del self._removed_at[oldest]
            del self._known[oldest]

    def _begin(self, name: str, mark: EntryMark, sequence: int, now: float) -> None:
        """Record a new incarnation."""
        self._known[name] = Incarnation(mark.started_ms, sequence, mark.draining, now)
        self._removed_at.pop(name, None)

    def _continue(
        self, name: str, known: Incarnation, sequence: int, now: float
    ) -> None:
        """Record a current entry of the known incarnation."""
        known.sequence = sequence
        known.read_at = now
        known.removed = False
        known.restart_entries = 0
        self._removed_at.pop(name, None)

    def _is_restart(self, known: Incarnation, sequence: int, now: float) -> bool:
        """Record an outdated entry; return whether its server has started again."""
        if known.restart_entries and sequence == known.restart_sequence:
            return False
        if not known.restart_entries or sequence < known.restart_sequence:
            known.restart_entries = 0
            known.restart_began_at = now
        known.restart_entries += 1
        known.restart_sequence = sequence
        span_s = now - known.restart_began_at
        return (
            known.restart_entries >= MIN_RESTART_ENTRIES
            and span_s >= MIN_RESTART_SPAN * self._heartbeat_s
            and now - known.read_at >= MIN_SILENCE * self._heartbeat_s
        )


def _compare(known: Incarnation, sequence: int, *, draining: bool) -> EntryVerdict:
    """Return how an entry of the known incarnation compares to what is known."""
    # After a removal the same heartbeat again may be the late copy of a write.
    if sequence < known.sequence or (known.removed and sequence == known.sequence):
        return EntryVerdict.OLDER
    if known.leaving and not draining:
        return EntryVerdict.TAKEN_BACK
    return EntryVerdict.CURRENT
