"""Which requests are refused since servers end under them.

Owns what this VM knows of requests that were in flight when a server ended: what it saw
itself, and what other VMs told. An end counts only once it is certain: a connection
that was lost may have been lost by the network. Memory alone; what must outlast a loss
of all VMs is kept with the snapshot of homes
(:mod:`ramppin.gateway.process.routing.homesnapshot`). No I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from ramppin.gateway.process.quarantine.record import (
    MIN_ENDS,
    CrashRecord,
    ServerEnd,
)

LOSS_RETENTION_S = 5.0
"""Seconds after a lost connection within which its server's end must show: its entry
lapses after 1.5 s on the platform and is read 1.8 s later at most."""

RECORD_RETENTION_S = 3_600.0
"""Seconds after which a request of which nothing new is known is forgotten: above the
longest time for which one is refused."""

MAX_RECORDS = 2_048
"""Requests of which something is known: 0.5 kB with one end, 1.0 kB with three
(tracemalloc, mean of 4,096). Those that are not refused go first, the oldest of them
before the others."""


MAX_SERVED = 2_048
"""Fingerprints that are kept of requests that ran well, the newest: 0.35 MB
(tracemalloc)."""


class ChangeKind(Enum):
    """What became of a request; the value is the event of its log line."""

    QUARANTINED = "quarantined"
    """Servers ended under it as often as is borne: it is refused."""

    TRIED = "quarantine_trial"
    """One copy is let through, to show whether it still ends its server."""

    CLEARED = "quarantine_cleared"
    """It ran well, or an operator says that it may run."""


@dataclass(frozen=True, slots=True)
class QuarantineChange:
    """What became of a request, for operators.

    Attributes:
        kind: what became of it.
        fingerprint: the request's.
        ends: that decided it, the first one first.
    """

    kind: ChangeKind
    fingerprint: int
    ends: tuple[ServerEnd, ...] = ()


class Quarantine:
    """Requests under which servers ended.

    Attributes:
        notify_pending: called when something is known that other VMs must be told.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self.notify_pending: Callable[[], None] = lambda: None
        self._records: OrderedDict[int, CrashRecord] = OrderedDict()
        self._losses: dict[str, dict[int, ServerEnd]] = {}
        self._served: OrderedDict[int, None] = OrderedDict()
        self._quarantined: set[int] = set()
        self._pending: set[int] = set()
        self._changes: list[QuarantineChange] = []

    @property
    def quarantined(self) -> frozenset[int]:
        """Fingerprints of the requests that are refused, or may run on trial only."""
        return frozenset(self._quarantined)

    @property
    def digest(self) -> int:
        """One number for all of :attr:`held`; VMs that hold the same have the same."""
        digest = 0
        for fingerprint in self._quarantined:
            digest ^= fingerprint
        return digest

    def __iter__(self) -> Iterator[tuple[int, CrashRecord]]:
        return iter(self._records.items())

    def find(self, fingerprint: int) -> CrashRecord | None:
        """Return what is known of a request, or None."""
        return self._records.get(fingerprint)

    # what this VM sees

    def note_lost(
        self, fingerprint: int, server: str, sent_at: float, now: float
    ) -> None:
        """Note that the connection to a server was lost under a request.

        Args:
            fingerprint: the request's.
            server: id of the server's incarnation.
            sent_at: the loop's time at which the request was sent there.
            now: the loop's time.
        """
        loss = ServerEnd(server, sent_at, now)
        self._losses.setdefault(server, {})[fingerprint] = loss

    def note_server_ended(self, server: str) -> None:
        """Note that it is certain that an incarnation of a server has ended."""
        for fingerprint, loss in self._losses.pop(server, {}).items():
            self._apply_end(fingerprint, loss)

    def note_served(self, fingerprint: int, now: float) -> None:
        """Note that a request ran well.

        Args:
            fingerprint: the request's.
            now: the loop's time.
        """
        self._served[fingerprint] = None
        self._served.move_to_end(fingerprint)
        if len(self._served) > MAX_SERVED:
            self._served.popitem(last=False)
        record = self._records.get(fingerprint)
        if record is not None and record.ends:
            self._apply_served(fingerprint, record, now)

    # decisions

    def admit(self, fingerprint: int, now: float) -> bool:
        """Return whether a request may be sent to a server.

        Once its time is over one copy is let through, and the next only after as long
        again: what became of the first is known to all VMs by then.

        Args:
            fingerprint: the request's.
            now: the loop's time.
        """
        if fingerprint not in self._quarantined:
            return True
        record = self._records[fingerprint]
        if record.measure_remaining_refusal_s(now) > 0:
            return False
        record.tried_at = record.changed_at = now
        self._mark_pending(fingerprint)
        self._note_change(ChangeKind.TRIED, fingerprint, record)
        return True

    def may_end_another(self, fingerprint: int, own: Collection[str] = ()) -> bool:
        """Return whether sending a copy again is likely to end one server more.

        Stricter than :meth:`admit`, since a copy that was lost is sent again at once:
        a server that ended under another copy is enough, and a lost connection of which
        it is not certain yet that its server ended counts as an end. A request that ran
        well before is sent again as if it were harmless.

        Args:
            fingerprint: the request's.
            own: servers to which this copy was lost.
        """
        record = self._records.get(fingerprint)
        if fingerprint in self._served or (record and record.was_served):
            return fingerprint in self._quarantined
        servers = self._list_servers(fingerprint)
        return len(servers) >= MIN_ENDS or not servers <= set(own)

    def is_suspect(self, fingerprint: int) -> bool:
        """Return whether a server ended, or may have, since a request last ran well."""
        return bool(self._list_servers(fingerprint))

    def _list_servers(self, fingerprint: int) -> set[str]:
        """Return the servers that ended under a request, or to which it was lost."""
        servers = {s for s, lost in self._losses.items() if fingerprint in lost}
        record = self._records.get(fingerprint)
        return servers | record.ends.keys() if record else servers

    def measure_remaining_refusal_s(self, fingerprint: int, now: float) -> float:
        """Return for how many more seconds a request is refused; 0 if it is not."""
        record = self._records.get(fingerprint)
        return record.measure_remaining_refusal_s(now) if record else 0.0

    def find_last_end_at(self, fingerprint: int) -> float:
        """Return the loop's time of the newest end under a request."""
        record = self._records.get(fingerprint)
        return record.last_end_at if record else float("-inf")

    def clear(self, fingerprint: int, now: float) -> bool:
        """Let a request run again, by an operator's word, here and at all other VMs.

        Returns:
            Whether anything was known against it.
        """
        record = self._records.get(fingerprint)
        if record is None or not record.ends:
            return False
        self._apply_served(fingerprint, record, now)
        return True

    # what others tell

    def pop_pending(self) -> set[int]:
        """Return the fingerprints of which there is news since the last call."""
        pending, self._pending = self._pending, set()
        return pending

    @property
    def has_pending(self) -> bool:
        """Whether something is known that other VMs were not told."""
        return bool(self._pending)

    def merge(self, fingerprint: int, peer_record: CrashRecord, now: float) -> bool:
        """Take what another VM knows of a request.

        Args:
            fingerprint: the request's.
            peer_record: what it knows, in times of this VM's loop.
            now: the loop's time.

        Returns:
            Whether the other counts an end that no longer counts.
        """
        if fingerprint not in self._records and not (
            peer_record.ends or peer_record.cleared
        ):
            return False
        record = self._find_or_add(fingerprint)
        record.changed_at = now
        record.was_served |= peer_record.was_served
        known = tuple(record.ends.values())
        record.clear(peer_record.cleared)
        self._release_if_due(fingerprint, record, known)
        record.tried_at = max(record.tried_at, peer_record.tried_at)
        for end in peer_record.ends.values():
            if record.note_end(end):
                self.note_server_ended(end.server)
        if peer_record.ends.keys() <= record.ends.keys():
            record.peer_end_count = max(
                record.peer_end_count, peer_record.peer_end_count
            )
        self._quarantine_if_due(fingerprint, record)
        return bool(peer_record.ends.keys() & record.cleared.keys())

    # what follows

    def pop_changes(self) -> list[QuarantineChange]:
        """Return what became of requests since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def evict_expired(self, now: float) -> None:
        """Forget what is too old to count."""
        for server, losses in list(self._losses.items()):
            if all(now - loss.ended_at > LOSS_RETENTION_S for loss in losses.values()):
                del self._losses[server]
        old = [
            fingerprint
            for fingerprint, record in self._records.items()
            if now - record.changed_at > RECORD_RETENTION_S
        ]
        for fingerprint in old:
            self._remove(fingerprint)

    def list_records(self, fingerprints: Iterable[int]) -> dict[int, CrashRecord]:
        """Return what is known of some requests."""
        return {f: self._records[f] for f in fingerprints if f in self._records}

    def _apply_end(self, fingerprint: int, end: ServerEnd) -> None:
        record = self._find_or_add(fingerprint)
        record.changed_at = max(record.changed_at, end.ended_at)
        if record.note_end(end):
            self._mark_pending(fingerprint)
            self._quarantine_if_due(fingerprint, record)

    def _apply_served(self, fingerprint: int, record: CrashRecord, at: float) -> None:
        ends = tuple(record.ends.values())
        record.note_served(at)
        record.changed_at = at
        self._mark_pending(fingerprint)
        self._release_if_due(fingerprint, record, ends)

    def _release_if_due(
        self, fingerprint: int, record: CrashRecord, ends: tuple[ServerEnd, ...]
    ) -> None:
        """Let a request run again if its ends no longer count.

        Args:
            fingerprint: the request's.
            record: what is known of it now.
            ends: that counted before.
        """
        if fingerprint in self._quarantined and not record.is_quarantined:
            self._quarantined.discard(fingerprint)
            change = QuarantineChange(ChangeKind.CLEARED, fingerprint, ends)
            self._changes.append(change)

    def _quarantine_if_due(self, fingerprint: int, record: CrashRecord) -> None:
        if fingerprint in self._quarantined or not record.is_quarantined:
            return
        self._quarantined.add(fingerprint)
        self._note_change(ChangeKind.QUARANTINED, fingerprint, record)

    def _mark_pending(self, fingerprint: int) -> None:
        self._pending.add(fingerprint)
        self.notify_pending()

    def _note_change(
        self, kind: ChangeKind, fingerprint: int, record: CrashRecord
    ) -> None:
        ends = sorted(record.ends.values(), key=lambda end: end.ended_at)
        self._changes.append(QuarantineChange(kind, fingerprint, tuple(ends)))

    def _find_or_add(self, fingerprint: int) -> CrashRecord:
        """Return what is known of a request, with what this VM knows of good runs."""
        record = self._records.get(fingerprint)
        if record is None:
            record = self._add(fingerprint)
        if fingerprint in self._served and not record.was_served:
            # The others may not know: they must be told.
            record.was_served = True
            self._mark_pending(fingerprint)
        return record

    def _add(self, fingerprint: int) -> CrashRecord:
        """Add a record; forget the oldest that holds nobody back, if there are many."""
        if len(self._records) >= MAX_RECORDS:
            free = (f for f in self._records if f not in self._quarantined)
            self._remove(next(free, next(iter(self._records))))
        record = self._records[fingerprint] = CrashRecord()
        return record

    def _remove(self, fingerprint: int) -> None:
        del self._records[fingerprint]
        self._quarantined.discard(fingerprint)
        self._pending.discard(fingerprint)
