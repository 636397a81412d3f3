"""What VMs tell each other of requests under which servers end.

A request comes again at any VM, so what one saw must be known to all within the time in
which it comes again. Each VM tells what it saw at once and in some messages more, since
datagrams get lost. Beside that each message carries one number for all requests that
its sender refuses: where it differs, the two tell each other all of them, so a VM that
has started, was cut off or was stopped knows them after one exchange. What was told is
told on only in that exchange. No I/O.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence

from ramppin.gateway.connection.datagrams import EndHint, SuspectHint
from ramppin.gateway.process.quarantine.quarantine import Quarantine
from ramppin.gateway.process.quarantine.record import CrashRecord, ServerEnd

BROADCASTS = 4
"""Messages in which something new is told: where 3 of 5 datagrams get lost 0.87 of the
VMs hear it at first hand (1 - 0.6**4)."""

SUSPECTS_PER_MESSAGE = 6
"""Requests in one message, 110 bytes each with three ends: with the homes it is not
split."""

MESSAGES_PER_REPLY = 4
"""Messages with requests that are refused, to a VM that refuses others."""

MIN_REPLY_PERIOD_S = 0.5
"""Seconds between two such replies to one VM."""

REPLIES_PER_S = 40.0
"""Such replies of one VM in a second, whatever the size of the fleet."""

MS_PER_S = 1000
"""Milliseconds of a second: hints carry ages in milliseconds, the rules use seconds."""


class QuarantineGossip:
    """Collects what to tell of requests, and takes what others tell.

    Args:
        quarantine: what this VM knows.
        generator: chooses what is told where not everything fits.

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
        """Have a function called when there is something to tell."""
        self._quarantine.notify_pending = notify_pending

    @property
    def digest(self) -> int:
        """The number that stands for all requests that this VM refuses."""
        return self._quarantine.digest

    @property
    def is_urgent(self) -> bool:
        """Whether something is known that was not told yet."""
        return self._quarantine.has_pending

    def collect(self, now: float) -> list[SuspectHint]:
        """Return what to tell in the next message to all VMs.

        Args:
            now: the loop's time.
        """
        for fingerprint in self._quarantine.pop_pending():
            self._broadcasts_left[fingerprint] = BROADCASTS
        # What was told least often first.
        order = sorted(self._broadcasts_left, key=lambda f: -self._broadcasts_left[f])
        chosen = order[:SUSPECTS_PER_MESSAGE]
        for fingerprint in chosen:
            self._broadcasts_left[fingerprint] -= 1
            if self._broadcasts_left[fingerprint] == 0:
                del self._broadcasts_left[fingerprint]
        return self._build(chosen, now)

    def collect_quarantined(self, now: float, limit: int) -> list[SuspectHint]:
        """Return requests that are refused, some of them if there are too many.

        Args:
            now: the loop's time.
            limit: how many at most.
        """
        quarantined = sorted(self._quarantine.quarantined)
        if len(quarantined) > limit:
            quarantined = self._generator.sample(quarantined, limit)
        return self._build(quarantined, now)

    def reply(self, host: str, digest: int, now: float) -> list[list[SuspectHint]]:
        """Return the messages for a VM that refuses other requests than this one.

        Args:
            host: its address.
            digest: the number that it told.
            now: the loop's time.
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
        # A VM that refuses nothing answers too: the other then tells what it knows.
        return [hints[at : at + size] for at in range(0, max(1, len(hints)), size)]

    def apply(self, hints: Sequence[SuspectHint], now: float) -> list[SuspectHint]:
        """Take what another VM, or the snapshot, tells.

        Args:
            hints: what it tells.
            now: the loop's time.

        Returns:
            What to answer: requests that ran well since, which the other missed.
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
    )


def _read(hint: SuspectHint, now: float) -> CrashRecord:
    ends = {}
    for end in hint.ends:
        ended_at = now - end.age_ms / MS_PER_S
        sent_at = ended_at - end.held_ms / MS_PER_S
        ends[end.server] = ServerEnd(end.server, sent_at, ended_at)
    return CrashRecord(
        ends,
        dict.fromkeys(hint.cleared),
        was_served=hint.was_served,
        tried_at=_find_moment(hint.tried_age_ms, now),
        peer_end_count=hint.count,
    )


def _measure_age_ms(moment: float, now: float) -> int | None:
    """Return an age in milliseconds; None of what never happened."""
    return None if moment == float("-inf") else round((now - moment) * MS_PER_S)


def _find_moment(age_ms: int | None, now: float) -> float:
    return float("-inf") if age_ms is None else now - age_ms / MS_PER_S
