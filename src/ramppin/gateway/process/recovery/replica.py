"""An in-memory replica of one table of keyed records in the shared log.

The record with the highest offset of each key is in force, unless whoever applies the
records finds it outdated; a record without a value removes its key. A replica never
moves backwards: an older record of a key is ignored, whichever source it comes from.
An outdated record is kept beside the one in force, so that VMs that read from this one
can judge it too.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass

LOG = logging.getLogger(__name__)

MAX_LOGGED_KEY = 100
"""Characters of a key that are logged: foreign writers may use keys of any length."""


@dataclass(frozen=True, slots=True)
class Record:
    """A record of the shared log.

    Attributes:
        key: identifies the entry that the record sets or removes.
        value: the encoded entry; None removes the key.
        offset: its offset in the log.
    """

    key: str
    value: bytes | None
    offset: int


class Replica:
    """The newest record of each key.

    Args:
        name: the table's name, used in log lines and in messages to peers.
        on_change: applies each new record; returns False if the record is outdated, so
            that the one before remains in force.

    Attributes:
        name: the table's name.
        position: offset up to which the log has been read.
        complete_from: offset from which no removal is missing. Keys that were removed
            before the whole table was read are unknown.
        confirmed_at: event-loop time at which the position was last confirmed to be
            the log's end; -inf before the first read.

    .. versionadded:: 0.2
    """

    def __init__(self, name: str, on_change: Callable[[Record], bool | None]) -> None:
        self.name = name
        self.position = 0
        self.complete_from = 0
        self.confirmed_at = float("-inf")
        self._on_change = on_change
        self._records: dict[str, Record] = {}
        self._outdated: dict[str, Record] = {}
        self._callbacks: dict[Callable[[], None], None] = {}

    def __len__(self) -> int:
        return sum(record.value is not None for record in self._records.values())

    @property
    def started(self) -> bool:
        """Whether the table has been read at least once."""
        return self.confirmed_at > float("-inf")

    def apply(self, records: Iterable[Record], position: int, as_of: float) -> None:
        """Apply records that follow the replica's position.

        Args:
            records: in the order of the log.
            position: offset up to which the log has now been read.
            as_of: event-loop time at which that was the log's end.
        """
        for record in records:
            self._put(record)
        self._note_position(position, as_of)

    def replace(self, records: Iterable[Record], position: int, as_of: float) -> None:
        """Apply the newest record of every key, and remove all other keys.

        An answer that was built before a newer table was read brings no key back that
        the newer one lacks.
        """
        if position < self.complete_from:
            self.apply(records, position, as_of)
            return
        found = [record for record in records if record.value is not None]
        keys = {record.key for record in found}
        for key, known in list(self._records.items()):
            if key in keys or known.offset >= position:
                continue
            if known.value is not None:
                self._put(Record(key, None, position - 1))
            elif self._is_outdated_before(key, position):
                del self._outdated[key]
        for record in found:
            self._put(record)
        self.complete_from = position
        self._note_position(position, as_of)

    def _is_outdated_before(self, key: str, position: int) -> bool:
        """Return whether a key has an outdated record before a position."""
        record = self._outdated.get(key)
        return record is not None and record.offset < position

    def _note_position(self, position: int, as_of: float) -> None:
        if position > self.position:
            self.position = position
            self._notify()
        self.confirmed_at = max(self.confirmed_at, as_of)

    def list_all(self) -> list[Record]:
        """Return the records of each key that has a value, in log order.

        An outdated record of a key that was removed is left out: whoever reads the
        whole table could not tell that it is outdated.
        """
        held = {r.key for r in self._records.values() if r.value is not None}
        return [record for record in self.list_since(0) if record.key in held]

    def list_since(self, offset: int) -> list[Record]:
        """Return the newest record of each key at or after an offset, in log order.

        A newer one that is outdated follows the one in force.
        """
        held = [*self._records.values(), *self._outdated.values()]
        found = [record for record in held if record.offset >= offset]
        return sorted(found, key=lambda record: record.offset)

    def call_when_advanced(self, callback: Callable[[], None]) -> None:
        """Call back once, when the position next advances."""
        self._callbacks[callback] = None

    def remove_callback(self, callback: Callable[[], None]) -> None:
        """Remove a callback.

        Otherwise each request that times out would stay in memory until the table next
        changes.
        """
        self._callbacks.pop(callback, None)

    def _notify(self) -> None:
        callbacks, self._callbacks = self._callbacks, {}
        for callback in callbacks:
            callback()

    def _put(self, record: Record) -> None:
        known = self._records.get(record.key)
        newest = self._outdated.get(record.key, known)
        if newest is not None and newest.offset >= record.offset:
            return
        is_held = known is not None and known.value is not None
        if record.offset < self.complete_from and not is_held:
            # The table has no longer had that key since.
            return
        if self._apply(record) is False:
            self._outdated[record.key] = record
            return
        self._outdated.pop(record.key, None)
        self._records[record.key] = record

    def _apply(self, record: Record) -> bool | None:
        """Apply a record; return False if it is outdated."""
        try:
            return self._on_change(record)
        except Exception:
            # A faulty record must not stop the task that updates all others.
            LOG.exception(
                "record could not be applied",
                extra={"step": self.name, "peer": record.key[:MAX_LOGGED_KEY]},
            )
            return None
