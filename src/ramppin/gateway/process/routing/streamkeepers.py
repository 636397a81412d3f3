"""Replicas of streams' origins at other VMs, and queries for them.

A caller may take its stream up at any VM, and the VM that began it may have died. While
a service has servers of several builds, the VM that sends a stream's first event sends
its origin to a few keepers, which any VM can compute from the stream's key, and to the
VM that records it. Datagrams get lost and members differ for a while, so there are
several keepers. With one build there is no message. Relies on its owner to send what it
returns.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from ramppin.gateway.connection.datagrams import OriginHint
from ramppin.gateway.process.membership.members import FleetMembers, Member
from ramppin.gateway.process.routing.originrecords import OriginRecords
from ramppin.gateway.process.routing.streamorigins import (
    StreamOrigin,
    StreamOrigins,
)
from ramppin.ranking import RendezvousRanking

TOLD_KEEPERS = 3
"""VMs that store an origin: one is left when two VMs fail at once."""

ASKED_KEEPERS = 5
"""VMs that are queried: two more than store an origin, for members that joined."""

MAX_HINTS = 20
"""Origins in one datagram, 26 bytes each with usual names."""


UNKNOWN = StreamOrigin("", "")
"""Answer to a query for a stream that this VM does not know."""

AnswerListener = Callable[[OriginHint, str], None]
"""Called with an answer about a stream and the address of the VM that sent it."""


class Parcel(NamedTuple):
    """Origins for one VM."""

    host: str
    hints: list[OriginHint]


class StreamKeepers:
    """Chooses keepers, and exchanges origins with them.

    Args:
        origins: the origins that this VM stores.
        members: the other VMs.
        records: the records of origins; None while there are none.

    .. versionadded:: 0.5
    """

    def __init__(
        self,
        origins: StreamOrigins,
        members: FleetMembers,
        records: OriginRecords | None = None,
    ) -> None:
        self._origins = origins
        self._members = members
        self._records = records
        self._ranking = RendezvousRanking()
        self._waiting: dict[int, list[AnswerListener]] = {}

    def address(
        self,
        streams: Sequence[tuple[int, StreamOrigin]],
        now: float,
        *,
        are_recorded: bool = True,
    ) -> list[Parcel]:
        """Return the origins to send, by VM, at most :data:`MAX_HINTS` each.

        Args:
            streams: keys and origins.
            now: event-loop time.
            are_recorded: whether they are sent to their recorders as well.
        """
        by_host: dict[str, list[OriginHint]] = {}
        live = self._members.list_live(now)
        for key, origin in streams:
            hint = OriginHint(key, origin.service, origin.build)
            hosts = [k.host for k in self._choose(key, live, TOLD_KEEPERS)]
            if are_recorded:
                hosts += self._record(key, origin, now)
            for host in dict.fromkeys(hosts):
                by_host.setdefault(host, []).append(hint)
        return [
            Parcel(host, hints[at : at + MAX_HINTS])
            for host, hints in by_host.items()
            for at in range(0, len(hints), MAX_HINTS)
        ]

    def _record(self, key: int, origin: StreamOrigin, now: float) -> list[str]:
        """Record an origin here, or return the address of the VM that does."""
        if self._records is None:
            return []
        self._records.note(key, origin, now)
        recorder = self._records.find_recorder(key, now)
        return [] if recorder is None else [recorder.host]

    def list_asked(self, key: int, now: float) -> list[str]:
        """Return the addresses of the VMs to query for a stream."""
        keepers = self._choose(key, self._members.list_live(now), ASKED_KEEPERS)
        return [keeper.host for keeper in keepers]

    def sees_all(self, now: float) -> bool:
        """Return whether each VM that was live lately is live."""
        return self._members.sees_all(now)

    def watch(self, key: int, note_answer: AnswerListener) -> None:
        """Call a function with each answer about a stream."""
        self._waiting.setdefault(key, []).append(note_answer)

    def unwatch(self, key: int, note_answer: AnswerListener) -> None:
        """Stop calling it."""
        waiting = self._waiting[key]
        waiting.remove(note_answer)
        if not waiting:
            del self._waiting[key]

    def answer(self, keys: Sequence[int], now: float) -> list[OriginHint]:
        """Return the answers to queries; those for unknown streams are empty."""
        hints = []
        for key in keys[:MAX_HINTS]:
            origin = self._origins.find(key, now) or UNKNOWN
            hints.append(OriginHint(key, origin.service, origin.build))
        return hints

    def apply(self, hints: Sequence[OriginHint], host: str, now: float) -> None:
        """Apply origins or answers to queries that another VM sent.

        Args:
            hints: what it sent.
            host: its address.
            now: event-loop time.
        """
        for hint in hints:
            if hint.service:
                origin = StreamOrigin(hint.service, hint.build)
                self._origins.note(hint.key, origin, now)
                if self._records is not None:
                    self._records.note(hint.key, origin, now)
            for note_answer in list(self._waiting.get(hint.key, ())):
                note_answer(hint, host)

    def _choose(self, key: int, live: list[Member], count: int) -> list[Member]:
        """Return the keepers of a stream, in different failure domains if possible."""
        by_vm = {member.vm: member for member in live}
        ranked = [by_vm[vm] for vm in self._ranking.rank(key, list(by_vm))]
        chosen: list[Member] = []
        for member in ranked:
            domains = {keeper.failure_domain for keeper in chosen}
            if member.failure_domain not in domains:
                chosen.append(member)
        chosen += [member for member in ranked if member not in chosen]
        return chosen[:count]
