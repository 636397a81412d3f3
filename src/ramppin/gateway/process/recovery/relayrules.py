"""Rules that select relays and decide when an answer of a relay is too old.

Relays are the few VMs of a fleet that read the shared log directly; the other VMs
long-poll one of them. This limits the number of calls to the log, each of which is
priced, and the copies of large records that cross small links.

All times are shares of the bound within which a record must reach every VM. The
functions are pure; :mod:`~.relays` performs the I/O.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from itertools import zip_longest

from ramppin.gateway.process.membership.members import Member
from ramppin.ranking import hash_name, mix

MIN_VMS = 5
"""Smallest fleet that uses relays: in a smaller one they save few calls."""

MIN_RELAYS = 2
"""Minimum number of relays, so that the fleet tolerates the loss of one."""

VMS_PER_RELAY = 40
"""VMs per relay in a large fleet: bounds the requests that a relay answers in a
second, and the copies of a large record that it sends over its link."""

AVOID_S = 5.0
"""Seconds for which a failed relay receives no requests; by then the fleet has noticed
that its heartbeats are missing."""

RELAY_AGE_SHARE = 0.4
"""Maximum age of a relay's own replica, as a share of the bound. It is below
``MAX_AGE_SHARE``: otherwise answers would be rejected as too old and every VM would
read the log directly."""

MAX_AGE_SHARE = 0.5
"""Maximum age of a relay's answer that is accepted, as a share of the bound."""

MAX_UPDATE_AGE_SHARE = 1.0
"""Maximum age of an answer with new records that is accepted once, as a share of the
bound. Records that arrived late in the relay's wait and were slow to read are still
newer than those of the requesting VM. With the lower limit alone, each change of the
settings would make most VMs read the log directly."""

STALE_UPDATE_WAIT_SHARE = 0.1
"""Minimum wait of the request after a stale update, as a share of the bound: the relay
has read the log again by then."""

CALL_TIMEOUT_SHARE = 0.2
"""Time that an answer may take beyond the requested wait, as a share of the bound.
Together with ``MAX_AGE_SHARE`` this leaves 0.3 of the bound for a direct read of the
log."""

_RELAY_KEY = hash_name("relay")


@dataclass(frozen=True, slots=True)
class RelayTimes:
    """Limits on the age of records that are read through a relay, in seconds.

    A relay that loses the log right after a read is detected when its replica is
    ``max_age_s`` old, and one that hangs ``call_timeout_s`` after that. The rest of
    the bound is left for a direct read of the log.

    Attributes:
        relay_age_s: maximum age of a relay's own replica.
        max_age_s: age above which an answer is rejected.
        max_update_age_s: the same for one answer that contains new records.
        stale_update_wait_s: minimum wait of the request after a stale update, which
            is such an answer older than ``max_age_s``.
        call_timeout_s: time that an answer may take beyond the requested wait.

    .. versionadded:: 0.2
    """

    relay_age_s: float
    max_age_s: float
    max_update_age_s: float
    stale_update_wait_s: float
    call_timeout_s: float

    @classmethod
    def from_bound(cls, bound_s: float) -> RelayTimes:
        """Return the times for records that must reach every VM within a bound."""
        return cls(
            relay_age_s=RELAY_AGE_SHARE * bound_s,
            max_age_s=MAX_AGE_SHARE * bound_s,
            max_update_age_s=MAX_UPDATE_AGE_SHARE * bound_s,
            stale_update_wait_s=STALE_UPDATE_WAIT_SHARE * bound_s,
            call_timeout_s=CALL_TIMEOUT_SHARE * bound_s,
        )

    def choose_relay_wait(self, age_s: float, wait_s: float) -> float:
        """Return how long a relay's own read may wait at the end of the log.

        A read without records confirms the replica up to the end of its wait, and the
        replica ages from there during the pause and the next read. A read with records
        confirms it only up to the time of the request, so the next wait is short.

        Args:
            age_s: age of the relay's replica.
            wait_s: the wait of a VM that reads the log only for itself.
        """
        return min(wait_s, max(0.0, self.relay_age_s - age_s))

    def choose_wait(
        self, age_s: float, wait_s: float, *, after_stale_update: bool = False
    ) -> float:
        """Return how long a request to a relay may wait for new records.

        Args:
            age_s: age of the requesting VM's replica.
            wait_s: the wait of a VM that reads the log directly.
            after_stale_update: whether the last answer was older than ``max_age_s``.
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
        """Return why an answer of a relay is rejected, or None if it is accepted.

        Args:
            position: offset up to which the relay has read the log; None before its
                first read.
            requested_position: offset up to which the requesting VM has it.
            age_s: seconds since the relay's replica was last confirmed to be current.
            after_stale_update: whether the last answer was older than ``max_age_s``.
                A second late answer in a row is rejected: the relay is always late.
        """
        if position is None or position < requested_position:
            return "the relay has not read the log up to this VM's position"
        has_new_records = position > requested_position and not after_stale_update
        max_age_s = self.max_update_age_s if has_new_records else self.max_age_s
        if age_s > max_age_s:
            return f"the relay's replica was last current {age_s:.1f} s ago"
        return None


def choose_relays(live: Sequence[Member]) -> list[Member]:
    """Return the VMs that read the log for the others.

    Takes the VMs of highest capacity from each failure domain in turn, so that small
    links carry little traffic and relays remain when a domain is lost. Ties are broken
    by a hash, so that all VMs select the same relays. VMs without access to the log are
    considered only if no VM has it.

    Args:
        live: the live VMs of the fleet, including this one.

    Returns:
        The relays; empty if the fleet is too small to use any.
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
    """Return the relay that a VM uses, or None if it reads the log directly.

    Relays in the VM's own failure domain are preferred, so that the records don't
    cross domains once more.

    Args:
        own: the VM.
        relays: the relays of its fleet.
        avoided: names of the relays that failed within ``AVOID_S``.
    """
    if any(relay.vm == own.vm for relay in relays):
        return None
    usable = [relay for relay in relays if relay.vm not in avoided]
    same_domain = [
        relay for relay in usable if relay.failure_domain == own.failure_domain
    ]
    chosen = same_domain or usable
    return chosen[hash_name(own.vm) % len(chosen)] if chosen else None
