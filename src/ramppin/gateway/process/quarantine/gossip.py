"""Exchange of quarantine state between VMs.

A caller may send a request again to any VM, or another with the same prompt part, so
the observations of one VM must reach all others before that. Each VM broadcasts its
observations at once, and repeats them in a few more messages because datagrams get
lost. In addition, each message carries a digest of what its sender refuses. If the
digests of two VMs differ, they exchange all of that, so that a VM which has started,
was partitioned or was suspended is up to date after one exchange. Reports from peers
are forwarded only in that exchange. No I/O.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence

from ramppin.gateway.connection.datagrams import EndHint, SuspectHint
from ramppin.gateway.process.quarantine.quarantine import Quarantine
from ramppin.gateway.process.quarantine.record import CrashRecord, ServerEnd

BROADCASTS = 4
"""Messages that carry a new observation. With 3 of 5 datagrams lost, 0.87 of the VMs
receive it directly (1 - 0.6**4)."""

NAMES_PER_MESSAGE = 24
"""Maximum servers named in one message, with one more for each record: 20 bytes each,
so that the datagram is not fragmented with the homes."""

SUSPECTS_PER_MESSAGE = 6
"""Maximum records in one message of a reply, 110 bytes each with three terminations."""

MESSAGES_PER_REPLY = 4
"""Maximum messages in the reply to a VM with a different digest."""

MIN_REPLY_PERIOD_S = 0.5
"""Minimum seconds between two such replies to one VM."""

REPLIES_PER_S = 40.0
"""Maximum such replies a second of one VM, independent of the size of the fleet."""

MS_PER_S = 1000
"""Datagram entries carry ages in milliseconds, the quarantine uses seconds."""


class QuarantineGossip:
    """Collects quarantine state to send, and applies what other VMs report.

    Args:
        quarantine: quarantine of this VM.
        generator: samples the requests to send if not all of them fit.

    .. versionadded:: 0.2
    """

    def __init__(
        self, quarantine: Quarantine, generator: random.Random | None = None
    ) -> None:
        self._quarantine = quarantine
        self._generator = generator or random.Random()
        self._broadcasts_left: dict[int, int] = {}
        self._replied_at: dict[str, float] = {}
        self._next_reply_at = float("-inf")

    def watch(self, notify_pending: Callable[[], None]) -> None:
        """Set the callback for observations that must be broadcast."""
        self._quarantine.notify_pending = notify_pending

    @property
    def digest(self) -> int:
        """Digest of the requests and prompt parts that this VM refuses."""
        return self._quarantine.digest

    @property
    def is_urgent(self) -> bool:
        """Whether an observation has not been broadcast at all."""
        return self._quarantine.has_pending

    def collect(self, now: float) -> list[SuspectHint]:
        """Return the observations to broadcast in the next message.

        Args:
            now: event-loop time.
        """
        for fingerprint in self._quarantine.pop_pending():
            self._broadcasts_left[fingerprint] = BROADCASTS
        for fingerprint in self._quarantine.pop_corrections():
            self._broadcasts_left.setdefault(fingerprint, 1)
        chosen = self._choose()
        for fingerprint in chosen:
            self._broadcasts_left[fingerprint] -= 1
            if self._broadcasts_left[fingerprint] == 0:
                del self._broadcasts_left[fingerprint]
        return self._build(chosen, now)

    def _choose(self) -> list[int]:
        """Return what to broadcast in the next message.

        Many harmless requests are in flight at one crash. What was in flight at
        several is sent first, then what was broadcast least often.
        """
        left = self._broadcasts_left
        records = self._quarantine.list_records(left)
        for gone in left.keys() - records.keys():
            del left[gone]
        order = sorted(records, key=lambda f: (-len(records[f].ends), -left[f]))
        chosen: list[int] = []
        names = 0
        for fingerprint in order:
            record = records[fingerprint]
            names += 1 + len(record.ends) + len(record.cleared)
            if chosen and names > NAMES_PER_MESSAGE:
                break
            chosen.append(fingerprint)
        return chosen

    def collect_quarantined(self, now: float, limit: int) -> list[SuspectHint]:
        """Return what is quarantined, or a random sample if there is too much.

        Args:
            now: event-loop time.
            limit: maximum number of records.
        """
        quarantined = sorted(self._quarantine.quarantined)
        if len(quarantined) > limit:
            quarantined = self._generator.sample(quarantined, limit)
        return self._build(quarantined, now)

    def reply(self, host: str, digest: int, now: float) -> list[list[SuspectHint]]:
        """Return the messages for a VM that does not refuse the same as this one.

        Args:
            host: address of the other VM.
            digest: digest that it reported.
            now: event-loop time.
        """
        if digest == self.digest:
            return []
        if now - self._replied_at.get(host, float("-inf")) < MIN_REPLY_PERIOD_S:
            return []
        if now < self._next_reply_at:
            return []
        self._replied_at[host] = now
        self._next_reply_at = now + 1 / REPLIES_PER_S
        hints = self.collect_quarantined(now, MESSAGES_PER_REPLY * SUSPECTS_PER_MESSAGE)
        size = SUSPECTS_PER_MESSAGE
        # A VM that refuses nothing replies too, so that the other sends its requests.
        return [hints[at : at + size] for at in range(0, max(1, len(hints)), size)]

    def apply(self, hints: Sequence[SuspectHint], now: float) -> list[SuspectHint]:
        """Apply state reported by another VM or read from the snapshot.

        Args:
            hints: the reported records.
            now: event-loop time.

        Returns:
            The reply: records that the sender counts outdated terminations for.
        """
        outdated = [
            hint.fingerprint
            for hint in hints
            if self._quarantine.merge(hint.fingerprint, _read(hint, now), now)
        ]
        return self._build(outdated, now)

    def _build(self, fingerprints: Iterable[int], now: float) -> list[SuspectHint]:
        records = self._quarantine.list_records(fingerprints)
        return [_write(f, record, now) for f, record in records.items()]


def _write(fingerprint: int, record: CrashRecord, now: float) -> SuspectHint:
    ends = [
        EndHint(
            end.server,
            round((now - end.ended_at) * MS_PER_S),
            round((end.ended_at - end.sent_at) * MS_PER_S),
        )
        for end in record.ends.values()
    ]
    return SuspectHint(
        fingerprint,
        ends,
        record.count_ends() if ends else 0,
        list(record.cleared),
        record.was_served,
        _measure_age_ms(record.tried_at, now),
        record.part,
    )


def _read(hint: SuspectHint, now: float) -> CrashRecord:
    ends = {}
    for end in hint.ends:
        ended_at = now - end.age_ms / MS_PER_S
        sent_at = ended_at - end.held_ms / MS_PER_S
        ends[end.server] = ServerEnd(end.server, sent_at, ended_at)
    return CrashRecord(
        hint.part,
        ends,
        dict.fromkeys(hint.cleared),
        was_served=hint.was_served,
        tried_at=_find_moment(hint.tried_age_ms, now),
        peer_end_count=hint.count,
    )


def _measure_age_ms(moment: float, now: float) -> int | None:
    """Return an age in milliseconds, or None for an event that has not happened."""
    return None if moment == float("-inf") else round((now - moment) * MS_PER_S)


def _find_moment(age_ms: int | None, now: float) -> float:
    return float("-inf") if age_ms is None else now - age_ms / MS_PER_S
