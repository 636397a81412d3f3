"""Decides which requests are refused because they crash backend servers.

Owns the crash history of attributes of requests that were in flight when a server
terminated, as observed by this VM and as reported by others. An attribute is the whole
request or a part of its prompt; :mod:`~.attribution` decides which of them is the
cause. The state is held in memory; what must survive the loss of all VMs is stored with
the snapshot of homes (:mod:`ramppin.gateway.process.routing.homesnapshot`). No I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import replace

from ramppin.gateway.process.quarantine.attribution import (
    Attribution,
    attribute_crashes,
)
from ramppin.gateway.process.quarantine.changes import ChangeKind, QuarantineChange
from ramppin.gateway.process.quarantine.losses import Loss, UnconfirmedLosses
from ramppin.gateway.process.quarantine.record import (
    MIN_ENDS,
    TIE_REFUSAL_S,
    CrashRecord,
    ServerEnd,
)
from ramppin.gateway.process.quarantine.recordtable import RecordTable
from ramppin.gateway.process.quarantine.servedkeys import ServedKeys

RECENT_SUCCESS_S = 2.0
"""Seconds after a success within which a termination is not sent to other VMs unless
another follows: parts that many prompts share are in flight at each termination."""

MAX_RECENT_ENDS = 64
"""Maximum number of recent terminations whose times are kept, the newest."""


class Quarantine:
    """Crash history of attributes of requests, and the decision which are refused.

    Keys identify attributes and are the same on every VM.

    Attributes:
        notify_pending: called when an observation must be sent to other VMs.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self.notify_pending: Callable[[], None] = lambda: None
        self._records = RecordTable()
        self._losses = UnconfirmedLosses()
        self._served = ServedKeys()
        self._ended_at: OrderedDict[str, float] = OrderedDict()
        self._attribution = Attribution()
        self._digest = 0
        self._is_outdated = False
        self._pending: set[int] = set()
        self._corrections: set[int] = set()
        self._changes: list[QuarantineChange] = []

    @property
    def quarantined(self) -> frozenset[int]:
        """Keys of the attributes that are refused, or may only run as a trial."""
        self._attribute_if_outdated()
        return self._attribution.culprits

    @property
    def digest(self) -> int:
        """XOR of all :attr:`quarantined` keys; equal for equal sets."""
        self._attribute_if_outdated()
        return self._digest

    def __iter__(self) -> Iterator[tuple[int, CrashRecord]]:
        return iter(self._records.items())

    def find(self, key: int) -> CrashRecord | None:
        """Return the record of an attribute, or None."""
        return self._records.get(key)

    # observations of this VM

    def note_lost(
        self, key: int, server: str, sent_at: float, now: float, part: str = ""
    ) -> None:
        """Record that the connection to a server was lost during a request.

        Args:
            key: key of an attribute of the request.
            server: id of the server's incarnation.
            sent_at: event-loop time at which the request was sent to it.
            now: event-loop time.
            part: id of the prompt part; empty for a whole request.
        """
        self._losses.add(key, Loss(ServerEnd(server, sent_at, now), part))

    def withdraw_loss(self, key: int, server: str) -> None:
        """Record that a server to which a connection was lost still runs."""
        self._losses.withdraw(key, server)

    def note_server_ended(self, server: str) -> None:
        """Record that the termination of a server's incarnation is confirmed."""
        for key, loss in self._losses.pop(server).items():
            self._apply_loss(key, loss)

    def note_served(self, key: int, now: float) -> None:
        """Record that a request with an attribute succeeded.

        Args:
            key: key of the attribute.
            now: event-loop time.
        """
        self._served.note(key, now)
        record = self._records.get(key)
        if record is not None and record.ends:
            self._apply_served(key, record, now)

    # decisions

    def admit(self, keys: Collection[int], now: float) -> bool:
        """Return whether a request may be sent to a server.

        After the refusal period one request is let through as a trial, and the next
        only after another period: the result of the first has reached all VMs by then.

        Args:
            keys: keys of the request's attributes.
            now: event-loop time.
        """
        refused = self._list_refused(keys)
        if self.measure_remaining_refusal_s(keys, now) > 0:
            return False
        for key in refused:
            record = self._records[key]
            record.tried_at = record.changed_at = now
            self._mark_pending(key)
            self._note_change(ChangeKind.TRIED, key, list_ends(record))
        return True

    def measure_remaining_refusal_s(self, keys: Collection[int], now: float) -> float:
        """Return the remaining refusal period of a request in seconds, or 0.

        Args:
            keys: keys of the request's attributes.
            now: event-loop time.
        """
        refused = self._list_refused(keys)
        records = [self._records[key] for key in refused]
        if len(refused) == 1 and refused[0] in self._attribution.tied:
            since = records[0].refused_since
            return max(0.0, since + TIE_REFUSAL_S - now)
        periods = (record.measure_remaining_refusal_s(now) for record in records)
        return max(periods, default=0.0)

    def find_last_end_at(self, keys: Collection[int]) -> float:
        """Return the event-loop time of the newest crash attributed to a request."""
        times = (self._records[key].last_end_at for key in self._list_refused(keys))
        return max(times, default=float("-inf"))

    def _list_refused(self, keys: Collection[int]) -> list[int]:
        quarantined = self.quarantined
        return [key for key in keys if key in quarantined] if quarantined else []

    def may_crash_another(self, key: int, own: Collection[str] = ()) -> bool:
        """Return whether a retry of a request is likely to crash another server.

        Stricter than :meth:`admit`, because a lost request would be retried at once: a
        server that terminated during another one is enough, and a lost connection
        counts before the termination is confirmed. A request whose attributes all
        succeeded before is retried unless one of them is quarantined.

        Args:
            key: key of an attribute of the request.
            own: servers to which the connection was lost during this request.
        """
        if key in self.quarantined:
            return True
        if self._was_served(key):
            return False
        servers = self._list_servers(key)
        return len(servers) >= MIN_ENDS or not servers <= set(own)

    def find_suspect(self, keys: Iterable[int]) -> int | None:
        """Return the attribute of a request that may crash servers, or None.

        Args:
            keys: the attributes; of several suspects the strongest one is returned.
        """
        counts = {key: self._count_suspicions(key) for key in keys}
        suspects = [key for key, count in counts.items() if count > 0]
        return max(suspects, key=lambda key: (counts[key], key), default=None)

    def _count_suspicions(self, key: int) -> int:
        """Return the servers that may have terminated for an attribute.

        Attributes that succeeded before are shared by many requests, which should not
        all go to the same server after one termination.
        """
        count = len(self._list_servers(key))
        return 0 if self._was_served(key) and count < MIN_ENDS else count

    def _was_served(self, key: int) -> bool:
        record = self._records.get(key)
        return key in self._served or (record is not None and record.was_served)

    def _list_servers(self, key: int) -> set[str]:
        """Return the servers that terminated or were lost during requests with it.

        Terminations that are attributed to another attribute are left out.
        """
        servers = self._losses.list_servers(key)
        record = self._records.get(key)
        if record is not None:
            servers |= record.ends.keys()
        if key in self.quarantined:
            return servers
        return servers - self._attribution.explained

    def clear(self, key: int, now: float) -> bool:
        """Clear an attribute by an operator's command, on this VM and on all others.

        Returns:
            Whether any termination was recorded for it.
        """
        record = self._records.get(key)
        if record is None or not record.ends:
            return False
        record.is_shared = True
        self._apply_served(key, record, now)
        return True

    # exchange with other VMs

    def pop_pending(self) -> set[int]:
        """Return and clear the keys with observations not yet sent."""
        pending, self._pending = self._pending, set()
        return pending

    def pop_corrections(self) -> set[int]:
        """Return and clear the keys that another VM takes for never served.

        Many VMs can correct it. They send it with their next message, unless one of
        them was faster.
        """
        corrections, self._corrections = self._corrections, set()
        return corrections

    @property
    def has_pending(self) -> bool:
        """Whether an observation has not been sent to other VMs."""
        return bool(self._pending)

    def merge(self, key: int, peer_record: CrashRecord, now: float) -> bool:
        """Merge another VM's record of an attribute.

        Args:
            key: key of the attribute.
            peer_record: the record, with times converted to this VM's event loop.
            now: event-loop time.

        Returns:
            Whether the other VM counts a termination that no longer counts.
        """
        if key not in self._records and not (peer_record.ends or peer_record.cleared):
            return False
        record = self._open(key)
        if peer_record.was_served:
            self._corrections.discard(key)
        elif record.was_served:
            self._corrections.add(key)
        record.is_shared = True
        record.changed_at = now
        record.part = record.part or peer_record.part
        record.was_served |= peer_record.was_served
        ends = list_ends(record)
        record.clear(peer_record.cleared)
        self._release_if_cleared(key, record, ends)
        record.tried_at = max(record.tried_at, peer_record.tried_at)
        for end in peer_record.ends.values():
            self._note_time(end)
            if record.note_end(end):
                self.note_server_ended(end.server)
        if peer_record.ends.keys() <= record.ends.keys():
            record.peer_end_count = max(
                record.peer_end_count, peer_record.peer_end_count
            )
        return bool(peer_record.ends.keys() & record.cleared.keys())

    # changes

    def pop_changes(self) -> list[QuarantineChange]:
        """Return and clear the changes since the last call."""
        self._attribute_if_outdated()
        changes, self._changes = self._changes, []
        return changes

    def evict_expired(self, now: float) -> None:
        """Evict expired losses and records."""
        self._losses.evict_expired(now)
        self._is_outdated |= self._records.evict_expired(now)

    def list_records(self, keys: Iterable[int]) -> dict[int, CrashRecord]:
        """Return the records of some attributes."""
        return self._records.choose(keys)

    def _apply_loss(self, key: int, loss: Loss) -> None:
        record, end = self._open(key), loss.end
        record.changed_at = max(record.changed_at, end.ended_at)
        record.part = record.part or loss.part
        self._note_time(end)
        if not record.note_end(end):
            return
        self._is_outdated = True
        is_recent = end.ended_at - self._served.find_time(key) < RECENT_SUCCESS_S
        if record.is_shared or len(record.ends) > 1 or not is_recent:
            record.is_shared = True
            self._mark_pending(key)

    def _apply_served(self, key: int, record: CrashRecord, at: float) -> None:
        ends = list_ends(record)
        record.note_served(at)
        record.changed_at = at
        self._release_if_cleared(key, record, ends)
        if record.is_shared:
            self._mark_pending(key)

    def _release_if_cleared(
        self, key: int, record: CrashRecord, ends: tuple[ServerEnd, ...]
    ) -> None:
        """Release an attribute without terminations that count.

        Args:
            key: key of the attribute.
            record: its current record.
            ends: the terminations that counted before.
        """
        self._is_outdated = True
        culprits = self._attribution.culprits
        if key in culprits and not record.ends:
            self._attribution = replace(self._attribution, culprits=culprits - {key})
            self._note_change(ChangeKind.CLEARED, key, ends)

    def _attribute_if_outdated(self) -> None:
        """Decide anew which attributes are refused, if a record has changed."""
        if not self._is_outdated:
            return
        self._is_outdated = False
        before = self._attribution.culprits
        self._attribution = attribute_crashes(self._records, self._ended_at)
        culprits = self._attribution.culprits
        self._digest = 0
        for key in culprits:
            self._digest ^= key
        for key in culprits - before:
            ends = list_ends(self._records[key])
            self._note_change(ChangeKind.QUARANTINED, key, ends)
        for key in before - culprits:
            self._note_released(key)

    def _note_released(self, key: int) -> None:
        """Note that an attribute with terminations is not refused any more."""
        record = self._records.get(key)
        if record is None:
            return
        is_explained = record.has_enough_ends
        kind = ChangeKind.EXPLAINED if is_explained else ChangeKind.CLEARED
        self._note_change(kind, key, list_ends(record))

    def _mark_pending(self, key: int) -> None:
        self._pending.add(key)
        self.notify_pending()

    def _note_change(
        self, kind: ChangeKind, key: int, ends: tuple[ServerEnd, ...]
    ) -> None:
        part = self._records[key].part
        self._changes.append(QuarantineChange(kind, key, part, ends))

    def _open(self, key: int) -> CrashRecord:
        """Return an attribute's record for a change, with successes on this VM."""
        record = self._records.open(key, lambda: self.quarantined)
        self._is_outdated = True
        record.was_served |= key in self._served
        record.served_at = max(record.served_at, self._served.find_time(key))
        return record

    def _note_time(self, end: ServerEnd) -> None:
        """Record when a server terminated, for whatever reason."""
        self._ended_at.setdefault(end.server, end.ended_at)
        if len(self._ended_at) > MAX_RECENT_ENDS:
            self._ended_at.popitem(last=False)


def list_ends(record: CrashRecord) -> tuple[ServerEnd, ...]:
    """Return the terminations that count, the oldest first."""
    return tuple(sorted(record.ends.values(), key=lambda end: end.ended_at))
