"""Attributes crashes of servers to attributes of the requests that ran there.

When a server crashes, every attribute of every request in flight there is suspect, and
mostly one of them is the cause. It recurs at the next crash, and no request with it
succeeds. Attributes that recur beside it are told apart by three rules: one that is
known to have succeeded needs more crashes; so does each, while servers also crash
without it; and a crash that the strongest suspect explains does not count against the
others. Pure.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import groupby

from ramppin.gateway.process.quarantine.record import CrashRecord

Strength = tuple[bool, int]


UNREST_S = 5.0
"""Seconds before an attribute's first crash within which a crash without it shows that
servers crash for another reason."""


@dataclass(frozen=True, slots=True)
class Attribution:
    """The attributes to which crashes are attributed.

    Attributes:
        culprits: their keys.
        tied: those of them that can't be told apart from another one.
        explained: the servers whose crash they explain.
    """

    culprits: frozenset[int] = frozenset()
    tied: frozenset[int] = frozenset()
    explained: frozenset[str] = frozenset()


def attribute_crashes(
    records: Mapping[int, CrashRecord], ended_at: Mapping[str, float]
) -> Attribution:
    """Return the attributes to which crashes are attributed.

    The strongest suspect is judged first. Suspects of equal strength, such as two parts
    that always come together, are judged alike. Two of them are tied if either of them
    would not be a culprit without the crashes that they have in common.

    Args:
        records: crash histories, by the key of the attribute.
        ended_at: event-loop times of all recent crashes, by the server's id.
    """
    suspects = [key for key, record in records.items() if record.has_enough_ends]
    suspects.sort(key=lambda key: _measure_strength(records[key]), reverse=True)
    others_at = _list_unexplained([records[key] for key in suspects], ended_at)
    culprits: set[int] = set()
    tied: set[int] = set()
    explained: set[str] = set()
    for _, group in groupby(suspects, lambda key: _measure_strength(records[key])):
        equals = {key: records[key] for key in group}
        found = [
            key
            for key, record in equals.items()
            if _is_culprit(record, explained, others_at)
        ]
        for key in found:
            others = list_ended_servers(records[k] for k in found if k != key)
            if not _is_culprit(records[key], explained | others, others_at):
                tied.add(key)
        culprits.update(found)
        explained |= list_ended_servers(records[key] for key in found)
    return Attribution(frozenset(culprits), frozenset(tied), frozenset(explained))


def list_ended_servers(records: Iterable[CrashRecord]) -> set[str]:
    """Return the servers that crashed, by some crash histories."""
    return {server for record in records for server in record.ends}


def _list_unexplained(
    suspects: Iterable[CrashRecord], ended_at: Mapping[str, float]
) -> dict[str, float]:
    """Return the times of the crashes that no strong suspect explains, by server."""
    explained = list_ended_servers(found for found in suspects if not found.was_served)
    return {server: at for server, at in ended_at.items() if server not in explained}


def _measure_strength(record: CrashRecord) -> Strength:
    return not record.was_served, record.count_ends()


def _is_culprit(
    record: CrashRecord, explained: set[str], others_at: Mapping[str, float]
) -> bool:
    since, until = record.first_end_at - UNREST_S, record.last_end_at
    in_unrest = any(
        since <= at <= until
        for server, at in others_at.items()
        if server not in record.ends
    )
    return record.count_ends(explained) >= record.find_min_ends(in_unrest=in_unrest)
