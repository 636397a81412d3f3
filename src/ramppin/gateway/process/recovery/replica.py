"""A local replica of keyed records that lie in a shared log.

The newest record of each key counts, by its offset; a record without a value
removes its key. A replica never goes back: an older record of a key, from
whichever source, changes nothing. Owns the records of one table, in memory.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass

LOG = logging.getLogger(__name__)

MAX_LOGGED_KEY = 100
"""Characters of a key that are logged: another writer's may be of any length."""


@dataclass(frozen=True, slots=True)
class Record:
    """A record of the shared log.

    Attributes:
        key: what it is about.
        value: what it says; None removes the key.
        offset: its place in the log.
    """

    key: str
    value: bytes | None
    offset: int


class Replica:
    """The newest record of each key.

    Args:
        name: the table's name, for logs and peers.
        on_change: called with each record that replaces an older one.

    Attributes:
        name: as given.
        position: offset up to which the log is known.
        confirmed_at: the loop's time at which that was last known to be the log's
            end; -inf before the first read.

    .. versionadded:: 0.2
    """

    def __init__(self, name: str, on_change: Callable[[Record], None]) -> None:
        self.name = name
        self.position = 0
        self.confirmed_at = float("-inf")
        self._on_change = on_change
        self._records: dict[str, Record] = {}
        self._callbacks: dict[Callable[[], None], None] = {}

    def __len__(self) -> int:
        return sum(record.value is not None for record in self._records.values())

    @property
    def started(self) -> bool:
        """Whether the replica has been filled once."""
        return self.confirmed_at > float("-inf")

    def apply(self, records: Iterable[Record], position: int, as_of: float) -> None:
        """Take records that follow what the replica has.

        Args:
            records: in the log's order.
            position: offset up to which the log is now known.
            as_of: the loop's time at which that was the log's end.
        """
        for record in records:
            self._put(record)
        if position > self.position:
            self.position = position
            self._notify()
        self.confirmed_at = max(self.confirmed_at, as_of)

    def replace(self, records: Iterable[Record], position: int, as_of: float) -> None:
        """Take the newest record of every key; a key not among them is gone."""
        found = {record.key: record for record in records}
        for key, known in list(self._records.items()):
            if key not in found and known.offset < position and known.value is not None:
                self._put(Record(key, None, position - 1))
        self.apply(found.values(), position, as_of)

    def list_since(self, offset: int) -> list[Record]:
        """Return the newest records at or after an offset, in the log's order."""
        found = [r for r in self._records.values() if r.offset >= offset]
        return sorted(found, key=lambda record: record.offset)

    def call_when_advanced(self, callback: Callable[[], None]) -> None:
        """Call back once when the position next moves."""
        self._callbacks[callback] = None

    def remove_callback(self, callback: Callable[[], None]) -> None:
        """Call back no more.

        Without it, each question that ended its wait in vain would stay in memory
        until the table next changes.
        """
        self._callbacks.pop(callback, None)

    def _notify(self) -> None:
        callbacks, self._callbacks = self._callbacks, {}
        for callback in callbacks:
            callback()

    def _put(self, record: Record) -> None:
        known = self._records.get(record.key)
        if known is not None and known.offset >= record.offset:
            return
        self._records[record.key] = record
        try:
            self._on_change(record)
        except Exception:
            # One record must not end what keeps all others current.
            LOG.exception(
                "a record was not taken",
                extra={"step": self.name, "peer": record.key[:MAX_LOGGED_KEY]},
            )
