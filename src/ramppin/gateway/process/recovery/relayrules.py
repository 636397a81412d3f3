"""Which VMs read the shared log for others, and when their word is too old.

Each call to the log has a price, and a large record is slow over a small link. In
a failure domain with many VMs two read the log; the others wait for records at one
of these. All times are shares of the bound within which a record must be known
everywhere. Pure; :mod:`~.relays` carries out.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ramppin.gateway.process.membership.members import Member
from ramppin.ranking import hash_name, mix

MIN_VMS = 5
"""VMs of a failure domain from which on relays are used: with fewer, little is
saved. Chosen with commit 2316353; no run varied it."""

RELAYS = 2
"""Relays of a failure domain, so that one may be lost."""

AVOID_S = 5.0
"""Seconds for which the log is read directly after a relay failed. Chosen with commit
2316353; no run varied it."""

RELAY_AGE_SHARE = 0.4
"""Share of the bound that a relay lets the age of its own knowledge reach. With the
waits of commit cce4cd8: calls to the log 4,696 to 2,058 in a day of
agenda-coral-grown (quiet-1)."""

MAX_AGE_SHARE = 0.5
"""Share of the bound up to which the age of a relay's knowledge is accepted."""

CALL_TIMEOUT_SHARE = 0.2
"""Share of the bound that an answer may take beyond the wait asked for. This and the
share above leave 0.3 of the bound for a read of the log itself."""


@dataclass(frozen=True, slots=True)
class RelayTimes:
    """How old records may grow on their way through a relay, in seconds.

    A relay that loses the log right after a read is found out when its knowledge
    is ``max_age_s`` old, one that hangs ``call_timeout_s`` after that. Both
    together leave the rest of the bound for a read of the log itself.

    Attributes:
        relay_age_s: age that a relay lets its own knowledge reach.
        max_age_s: age past which a relay's knowledge is not accepted.
        call_timeout_s: time that an answer may take beyond the wait asked for.

    .. versionadded:: 0.2
    """

    relay_age_s: float
    max_age_s: float
    call_timeout_s: float

    @classmethod
    def from_bound(cls, bound_s: float) -> RelayTimes:
        """Return the times for records that must be known within a bound."""
        return cls(
            relay_age_s=RELAY_AGE_SHARE * bound_s,
            max_age_s=MAX_AGE_SHARE * bound_s,
            call_timeout_s=CALL_TIMEOUT_SHARE * bound_s,
        )

    def choose_relay_wait(self, interval_s: float, wait_s: float) -> float:
        """Return how long a relay's own read may wait at the end of the log.

        What a read brings is as old as its wait when it ends, and stays the newest
        through the pause and the wait of the next one.

        Args:
            interval_s: the pause between two reads.
            wait_s: the wait of a VM that reads for itself alone.
        """
        return min(wait_s, max(0.0, (self.relay_age_s - interval_s) / 2))

    def choose_wait(self, age_s: float, wait_s: float) -> float:
        """Return how long a question to a relay may wait for news.

        Args:
            age_s: age of what the asking VM knows.
            wait_s: the wait of a VM that reads the log itself.
        """
        return min(wait_s, max(0.0, self.max_age_s - age_s))

    def find_fault(
        self, position: int | None, asked_position: int, age_s: float
    ) -> str | None:
        """Return why a relay's answer is not accepted, or None.

        Args:
            position: offset up to which the relay knows the log; None if it has not
                read it yet.
            asked_position: offset up to which the asking VM knows it.
            age_s: seconds since the relay last knew its knowledge to be current.
        """
        if position is None or position < asked_position:
            return "the relay is behind"
        if age_s > self.max_age_s:
            return f"the relay's knowledge is {age_s:.1f} s old"
        return None


def choose_relays(own: Member, live_near: Sequence[Member]) -> list[Member]:
    """Return the VMs of the own failure domain that read the log for the others.

    The VMs with most capacity, so that small links carry little; among equal ones
    by hash, which every VM computes alike.

    Args:
        own: this VM.
        live_near: the other live VMs of its failure domain.

    Returns:
        The relays, or an empty list where every VM reads for itself.
    """
    near = [own, *live_near]
    if len(near) < MIN_VMS:
        return []
    key = hash_name(f"relay of {own.failure_domain}")
    near.sort(key=lambda vm: (-vm.capacity_weight, mix(key, hash_name(vm.vm))))
    return near[:RELAYS]


def choose_own_relay(vm: str, relays: Sequence[Member]) -> Member | None:
    """Return the relay that a VM asks; None if it reads the log itself.

    Args:
        vm: the VM's name.
        relays: of its failure domain.
    """
    if not relays or any(relay.vm == vm for relay in relays):
        return None
    return relays[hash_name(vm) % len(relays)]
