"""The crash histories that a VM keeps, and which of them it evicts. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping

from ramppin.gateway.process.quarantine.record import CrashRecord

RECORD_RETENTION_S = 3_600.0
"""Seconds after the last change until a record is evicted, longer than the longest
refusal period."""

MAX_RECORDS = 2_048
"""Maximum number of records, which take 0.5 kB with one termination and 1.0 kB with
three. Records of attributes that are not refused are evicted first, those that changed
longest ago before the others."""


class RecordTable(Mapping[int, CrashRecord]):
    """Crash histories by the key of the attribute, the last one changed at the end.

    .. versionadded:: 0.6
    """

    def __init__(self) -> None:
        self._records: OrderedDict[int, CrashRecord] = OrderedDict()

    def __getitem__(self, key: int) -> CrashRecord:
        return self._records[key]

    def __iter__(self) -> Iterator[int]:
        return iter(self._records)

    def __len__(self) -> int:
        return len(self._records)

    def open(self, key: int, list_kept: Callable[[], Collection[int]]) -> CrashRecord:
        """Return an attribute's record for a change; add it if there is none.

        Args:
            key: key of the attribute.
            list_kept: returns the keys of the records that are evicted last.
        """
        if key not in self._records:
            if len(self._records) >= MAX_RECORDS:
                self._evict(list_kept())
            self._records[key] = CrashRecord()
        self._records.move_to_end(key)
        return self._records[key]

    def choose(self, keys: Iterable[int]) -> dict[int, CrashRecord]:
        """Return the records of some attributes."""
        return {key: self._records[key] for key in keys if key in self._records}

    def evict_expired(self, now: float) -> bool:
        """Evict records without a change for long; return whether there were any.

        Args:
            now: event-loop time.
        """
        old = [
            key
            for key, record in self._records.items()
            if now - record.changed_at > RECORD_RETENTION_S
        ]
        for key in old:
            del self._records[key]
        return bool(old)

    def _evict(self, kept: Collection[int]) -> None:
        free = (key for key in self._records if key not in kept)
        del self._records[next(free, next(iter(self._records)))]
