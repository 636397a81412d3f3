"""The other VMs of the fleet, and which of them are live.

Each VM writes one entry to the shared log, and sends heartbeats as datagrams. The
member list is held in memory and rebuilt from the log after a start.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Collection
from dataclasses import dataclass
from typing import Annotated

import msgspec

from ramppin.errors import LogUnavailableError
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.recovery.sources import RecordLog
from ramppin.gateway.version.address import check_host
from ramppin.ranking import rank_vms

LOG = logging.getLogger(__name__)

ANNOUNCE_RETRY_S = 1.0
"""Seconds before writing this VM's entry is retried after a failure."""

NEAR_HEARTBEAT_S = 2.5
"""Interval between heartbeats within a failure domain, in seconds."""

FAR_HEARTBEATS_PER_S = 40.0
"""Maximum heartbeats a second that one VM sends to all other failure domains."""

MISSED_HEARTBEATS = 2.4
"""Heartbeat intervals without a message after which a VM is not live: two heartbeats
may be lost."""

RETRY_MISSING_VM_S = 5.0
"""Interval in seconds between messages to a VM that is not live: it may be partitioned
from this VM only."""

RECENT_MEMBER_S = 60.0
"""Seconds for which a VM without messages still counts when VMs divide a scarce
resource: partitioned VMs must not each use the whole of it."""

SHARING_MEMBER_S = 3600.0
"""Seconds for which a VM without messages still counts when VMs divide what none may
exceed. Longer than a partition between VMs that all reach the log."""

MEMBER_BOUND_S = 50.0
"""Seconds within which a new VM must be in the lists of all VMs. Until then it is no
relay, receives no hints, and may have no part of the fleet's extra retries."""

MAX_LOGGED_CHARS = 200
"""Maximum logged characters of an entry's key, or of the error in it."""


class MemberRecord(msgspec.Struct):
    """Log entry of a VM: its address for peers, and its relative capacity."""

    host: str
    failure_domain: str = ""
    weight: Annotated[float, msgspec.Meta(gt=0)] = 1.0


@dataclass(slots=True)
class Member:
    """Another VM.

    Attributes:
        vm: its name.
        host: its IP address.
        last_seen_at: event-loop time of its last message, or of reading its entry.
        failure_domain: the failure domain in which it runs.
        capacity_weight: its relative capacity; the VMs with the most read the log on
            behalf of others.
        tried_at: event-loop time of the last message sent to it.
        log_up: whether it reports that the shared log served its last calls.
        unreachable: services whose backend servers it reports not to reach.
    """

    vm: str
    host: str
    last_seen_at: float
    failure_domain: str = ""
    capacity_weight: float = 1.0
    tried_at: float = float("-inf")
    log_up: bool = True
    unreachable: frozenset[str] = frozenset()


class FleetMembers:
    """The other VMs.

    Args:
        vm: this VM's name.
        failure_domain: the failure domain in which this VM runs.

    Attributes:
        own_entry_at: event-loop time at which this VM's own entry was first read; None
            before that.

    .. versionadded:: 0.2
    """

    def __init__(self, vm: str, failure_domain: str) -> None:
        self.own_entry_at: float | None = None
        self._vm = vm
        self._failure_domain = failure_domain
        self._members: dict[str, Member] = {}
        self._senders: set[str] = set()
        self._counted_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._members)

    def apply_record(self, record: Record, now: float) -> bool:
        """Apply a VM's log entry; return whether it could be decoded."""
        if record.key == self._vm:
            if self.own_entry_at is None:
                self.own_entry_at = now
            return True
        if record.value is None:
            self._members.pop(record.key, None)
            return True
        try:
            entry = _decode_entry(record.value)
        except (ValueError, RecursionError) as error:
            # Keep the previous entry: a VM writes its entry only once, at its start.
            message = str(error)[:MAX_LOGGED_CHARS]
            peer = record.key[:MAX_LOGGED_CHARS]
            LOG.warning("unreadable entry: %s", message, extra={"peer": peer})
            return False
        self._members[record.key] = Member(
            record.key, entry.host, now, entry.failure_domain, entry.weight
        )
        self._counted_at[record.key] = now
        return True

    def note_received(
        self,
        vm: str,
        host: str,
        now: float,
        *,
        log_up: bool = True,
        unreachable: Collection[str] = (),
    ) -> bool:
        """Record a message; return whether the sender is a known VM.

        Args:
            vm: the sender's name.
            host: source address of the message.
            now: event-loop time.
            log_up: whether the log serves the sender.
            unreachable: services whose backend servers the sender does not reach.
        """
        member = self._members.get(vm)
        if member is None or member.host != host:
            return False
        member.last_seen_at = now
        self._senders.add(vm)
        self._counted_at[vm] = now
        member.log_up = log_up
        member.unreachable = frozenset(unreachable)
        return True

    def is_member(self, host: str) -> bool:
        """Return whether an address is that of another VM of the fleet."""
        return any(member.host == host for member in self._members.values())

    def note_stall(self, late_s: float, now: float) -> None:
        """Record a stall of this VM: messages sent meanwhile have not been read yet.

        Without this, a VM that resumes would count itself as the only live one, and
        use the retries and connections of the whole fleet.

        Args:
            late_s: duration of the stall in seconds.
            now: event-loop time.
        """
        for member in self._members.values():
            member.last_seen_at = min(now, member.last_seen_at + late_s)

    def find_failure_domain(self, vm: str) -> str:
        """Return the failure domain of a VM; empty if the VM is unknown."""
        member = self._members.get(vm)
        return member.failure_domain if member else ""

    def choose_heartbeat_s(self, *, near: bool) -> float:
        """Return the heartbeat interval for near or far VMs, in seconds.

        Near VMs are those of the same failure domain. The interval for far VMs grows
        with their number, so that the messages of one VM are bounded in any fleet.
        """
        if near:
            return NEAR_HEARTBEAT_S
        return max(NEAR_HEARTBEAT_S, self.count(near=False) / FAR_HEARTBEATS_PER_S)

    def count(self, *, near: bool) -> int:
        """Return the number of VMs in this failure domain, or in others."""
        return sum(self._is_near(m) == near for m in self._members.values())

    def list_hosts(self, now: float, *, near: bool) -> list[str]:
        """Return the addresses of near or far VMs to send messages to.

        VMs that are not live are included only once per ``RETRY_MISSING_VM_S``.
        """
        timeout_s = self._choose_timeout_s(near=near)
        chosen = []
        for member in self._members.values():
            if self._is_near(member) != near:
                continue
            missing = now - member.last_seen_at > timeout_s
            if missing and now - member.tried_at < RETRY_MISSING_VM_S:
                continue
            member.tried_at = now
            chosen.append(member.host)
        return chosen

    def list_live(self, now: float) -> list[Member]:
        """Return the live VMs."""
        near_s = self._choose_timeout_s(near=True)
        far_s = self._choose_timeout_s(near=False)
        return [
            member
            for member in self._members.values()
            if now - member.last_seen_at <= (near_s if self._is_near(member) else far_s)
        ]

    def ranks_first(self, subject: str, now: float, count: int = 1) -> bool:
        """Return whether this VM is among the live VMs that own a subject.

        Args:
            subject: the subject's name.
            now: event-loop time.
            count: how many VMs own it.
        """
        live = [self._vm, *(member.vm for member in self.list_live(now))]
        return self._vm in rank_vms(subject, live)[:count]

    def sees_all(self, now: float) -> bool:
        """Return whether each VM that was live lately is live."""
        return len(self.list_live(now)) == len(self.list_recent(now))

    def list_recent(self, now: float) -> list[Member]:
        """Return the VMs that are live, or were seen within ``RECENT_MEMBER_S``."""
        return [
            m for m in self._members.values() if now - m.last_seen_at <= RECENT_MEMBER_S
        ]

    def count_sharing(self, now: float) -> int:
        """Return the number of VMs, with this one, seen within ``SHARING_MEMBER_S``.

        An entry that is removed counts as long: its VM may still run.
        """
        oldest = now - SHARING_MEMBER_S
        return 1 + sum(seen_at >= oldest for seen_at in self._counted_at.values())

    def has_message_from_all(self) -> bool:
        """Return whether each VM in the list has sent a message to this process.

        A VM sends messages only to those in its own list.
        """
        return self._members.keys() <= self._senders

    def list_last_seen_first(self) -> list[Member]:
        """Return all members, the most recently seen first."""
        return sorted(
            self._members.values(), key=lambda m: m.last_seen_at, reverse=True
        )

    def _is_near(self, member: Member) -> bool:
        return member.failure_domain == self._failure_domain

    def _choose_timeout_s(self, *, near: bool) -> float:
        return MISSED_HEARTBEATS * self.choose_heartbeat_s(near=near)


def _decode_entry(value: bytes) -> MemberRecord:
    """Decode a VM's entry.

    Raises:
        ValueError: the entry is malformed or has no valid address.
        RecursionError: the entry is nested too deeply.
    """
    entry = msgspec.json.decode(value, type=MemberRecord)
    check_host(entry.host)
    return entry


async def announce(log: RecordLog, own: Member) -> None:
    """Write this VM's entry to the shared log, and retry until it succeeds."""
    entry = MemberRecord(own.host, own.failure_domain, own.capacity_weight)
    value = msgspec.json.encode(entry)
    while True:
        try:
            await log.append(own.vm, value)
        except LogUnavailableError as error:
            LOG.warning(
                "writing this VM's entry failed: %s", error, extra={"step": "announce"}
            )
            await asyncio.sleep(ANNOUNCE_RETRY_S)
        else:
            return
