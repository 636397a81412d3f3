"""Which VMs read the shared log for others, and when their word is too old.

Each call to the log has a price, and a large record is slow over a small link. So a
few VMs of the fleet read the log, and the others wait for records at one of these.
All times are shares of the bound within which a record must be known
everywhere. Pure; :mod:`~.relays` carries out.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from itertools import zip_longest

from ramppin.gateway.process.membership.members import Member
from ramppin.ranking import hash_name, mix

MIN_VMS = 5
"""VMs of a fleet from which on relays are used: with fewer, little is saved."""

MIN_RELAYS = 2
"""Relays of a fleet, so that one may be lost."""

VMS_PER_RELAY = 40
"""VMs for each relay of a large fleet: bounds the questions that one answers in a
second, and the copies of a large record that leave over its link."""

AVOID_S = 5.0
"""Seconds for which a relay that failed is not asked; by then its heartbeats are
missed."""

RELAY_AGE_SHARE = 0.4
"""Share of the bound that a relay lets the age of its own knowledge reach: below the
age up to which it is accepted, or every VM would read the log itself."""

MAX_AGE_SHARE = 0.5
"""Share of the bound up to which the age of a relay's knowledge is accepted."""

MAX_UPDATE_AGE_SHARE = 1.0
"""Share of the bound up to which a relay's knowledge is accepted once if it brings
news: records that came late in the relay's wait, and took it a while to read, are still
newer than what the asking VM has. Without it each change of the settings sends most VMs
to the log."""

STALE_UPDATE_WAIT_SHARE = 0.1
"""Share of the bound for which the question after old news waits: the relay has read
the log again by then."""

CALL_TIMEOUT_SHARE = 0.2
"""Share of the bound that an answer may take beyond the wait asked for. This and the
share above leave 0.3 of the bound for a read of the log itself."""

_RELAY_KEY = hash_name("relay")


@dataclass(frozen=True, slots=True)
class RelayTimes:
    """How old records may grow on their way through a relay, in seconds.

    A relay that loses the log right after a read is found out when its knowledge
    is ``max_age_s`` old, one that hangs ``call_timeout_s`` after that. Both
    together leave the rest of the bound for a read of the log itself.

    Attributes:
        relay_age_s: age that a relay lets its own knowledge reach.
        max_age_s: age past which a relay's knowledge is not accepted.
        max_update_age_s: the same for knowledge that brings news, once.
        stale_update_wait_s: wait of the question after such news.
        call_timeout_s: time that an answer may take beyond the wait asked for.

    .. versionadded:: 0.2
    """

    relay_age_s: float
    max_age_s: float
    max_update_age_s: float
    stale_update_wait_s: float
    call_timeout_s: float

    @classmethod
    def from_bound(cls, bound_s: float) -> RelayTimes:
        """Return the times for records that must be known within a bound."""
        return cls(
            relay_age_s=RELAY_AGE_SHARE * bound_s,
            max_age_s=MAX_AGE_SHARE * bound_s,
            max_update_age_s=MAX_UPDATE_AGE_SHARE * bound_s,
            stale_update_wait_s=STALE_UPDATE_WAIT_SHARE * bound_s,
            call_timeout_s=CALL_TIMEOUT_SHARE * bound_s,
        )

    def choose_relay_wait(self, age_s: float, wait_s: float) -> float:
        """Return how long a relay's own read may wait at the end of the log.

        A read that waits in vain shows that there was no news until its end; that
        stays the newest word through the pause and the wait of the next read. One that
        brought news shows nothing after its question, so the next one hardly waits.

        Args:
            age_s: age of what the relay knows.
            wait_s: the wait of a VM that reads for itself alone.
        """
        return min(wait_s, max(0.0, self.relay_age_s - age_s))

    def choose_wait(
        self, age_s: float, wait_s: float, *, after_stale_update: bool = False
    ) -> float:
        """Return how long a question to a relay may wait for news.

        Args:
            age_s: age of what the asking VM knows.
            wait_s: the wait of a VM that reads the log itself.
            after_stale_update: whether the last answer was accepted for its news alone.
        """
        min_wait_s = self.stale_update_wait_s if after_stale_update else 0.0
        return min(wait_s, max(min_wait_s, self.max_age_s - age_s))

    def find_rejection_reason(
        self,
        position: int | None,
        requested_position: int,
        age_s: float,
        *,
        after_stale_update: bool = False,
    ) -> str | None:
        """Return why a relay's answer is not accepted, or None.

        Args:
            position: offset up to which the relay knows the log; None if it has not
                read it yet.
            requested_position: offset up to which the asking VM knows it.
            age_s: seconds since the relay last knew its knowledge to be current.
            after_stale_update: whether the last answer was accepted for its news alone;
                a relay that is always late is found out by its second one.
        """
        if position is None or position < requested_position:
            return "the relay is behind"
        has_new_records = position > requested_position and not after_stale_update
        max_age_s = self.max_update_age_s if has_new_records else self.max_age_s
        if age_s > max_age_s:
            return f"the relay's knowledge is {age_s:.1f} s old"
        return None


def choose_relays(live: Sequence[Member]) -> list[Member]:
    """Return the VMs that read the log for the others.

    The VMs with most capacity of each failure domain in turn, so that small links
    carry little and the loss of a domain leaves relays; among equal ones by hash,
    which every VM computes alike. VMs that the log turns away come only if it turns
    away all.

    Args:
        live: the live VMs of the fleet, the own one among them.

    Returns:
        The relays, or an empty list where every VM reads for itself.
    """
    if len(live) < MIN_VMS:
        return []
    count = max(MIN_RELAYS, math.ceil(len(live) / VMS_PER_RELAY))
    candidates = [vm for vm in live if vm.log_up] or live
    domains: dict[str, list[Member]] = {}
    for vm in sorted(candidates, key=_rank):
        domains.setdefault(vm.failure_domain, []).append(vm)
    interleaved = [
        vm for row in zip_longest(*domains.values()) for vm in row if vm is not None
    ]
    return interleaved[:count]


def _rank(vm: Member) -> tuple[float, int]:
    return -vm.capacity_weight, mix(_RELAY_KEY, hash_name(vm.vm))


def choose_own_relay(
    own: Member, relays: Sequence[Member], avoided: Collection[str]
) -> Member | None:
    """Return the relay that a VM asks; None if it reads the log itself.

    One of the own failure domain comes first: what it passes on crosses no other.

    Args:
        own: the VM.
        relays: of its fleet.
        avoided: names of relays that failed of late.
    """
    if any(relay.vm == own.vm for relay in relays):
        return None
    usable = [relay for relay in relays if relay.vm not in avoided]
    same_domain = [
        relay for relay in usable if relay.failure_domain == own.failure_domain
    ]
    chosen = same_domain or usable
    return chosen[hash_name(own.vm) % len(chosen)] if chosen else None
