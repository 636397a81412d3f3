"""The other VMs of the fleet, and which of them are live.

Each VM writes an entry into the shared log once, and sends heartbeats as datagrams.
Owns what this VM knows of the others; rebuilt from the log after a start.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import Annotated

import msgspec

from ramppin.errors import LogUnavailableError
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.recovery.sources import RecordLog
from ramppin.gateway.version.address import check_host

LOG = logging.getLogger(__name__)

ANNOUNCE_RETRY_S = 1.0
"""Seconds before the own entry is written again after a failure."""

NEAR_HEARTBEAT_S = 2.5
"""Seconds between two heartbeats within a failure domain."""

FAR_HEARTBEATS_PER_S = 40.0
"""Heartbeats that one VM sends to other failure domains, whatever their size."""

MISSED_HEARTBEATS = 2.4
"""Heartbeats without which a VM no longer counts as live: two may be lost."""

RETRY_MISSING_VM_S = 5.0
"""Seconds between two messages to a VM that does not count as live: it may only be cut
off from here."""


RECENT_MEMBER_S = 60.0
"""Seconds for which a VM that falls silent counts where VMs share what is scarce: VMs
that are cut off from each other must not each take the whole of it."""

MAX_LOGGED_CHARS = 200
"""Characters of an entry's key, or of what is wrong with it, that are logged."""


class MemberRecord(msgspec.Struct):
    """A VM's entry: where its peers reach it, and its capacity beside theirs."""

    host: str
    failure_domain: str = ""
    weight: Annotated[float, msgspec.Meta(gt=0)] = 1.0


@dataclass(slots=True)
class Member:
    """Another VM.

    Attributes:
        vm: its name.
        host: its IP address.
        last_seen_at: the loop's time of its last message, or of its entry.
        failure_domain: where it stands.
        capacity_weight: its capacity beside that of other VMs; the VMs with most
            read the log for others.
        tried_at: the loop's time at which it was last sent something.
        log_up: whether the shared log served its last calls, by its own word.
    """

    vm: str
    host: str
    last_seen_at: float
    failure_domain: str = ""
    capacity_weight: float = 1.0
    tried_at: float = float("-inf")
    log_up: bool = True


class FleetMembers:
    """The other VMs.

    Args:
        vm: this VM's name.
        failure_domain: where it stands.

    .. versionadded:: 0.2
    """

    def __init__(self, vm: str, failure_domain: str) -> None:
        self._vm = vm
        self._failure_domain = failure_domain
        self._members: dict[str, Member] = {}

    def __len__(self) -> int:
        return len(self._members)

    def apply_record(self, record: Record, now: float) -> bool:
        """Take a VM's entry; return whether it could be read."""
        if record.key == self._vm:
            return True
        if record.value is None:
            self._members.pop(record.key, None)
            return True
        try:
            entry = _decode_entry(record.value)
        except (ValueError, RecursionError) as error:
            # What is known of the VM holds: it writes its entry once, at its start.
            message = str(error)[:MAX_LOGGED_CHARS]
            peer = record.key[:MAX_LOGGED_CHARS]
            LOG.warning("unreadable entry: %s", message, extra={"peer": peer})
            return False
        self._members[record.key] = Member(
            record.key, entry.host, now, entry.failure_domain, entry.weight
        )
        return True

    def note_received(
        self, vm: str, host: str, now: float, *, log_up: bool = True
    ) -> bool:
        """Note a message; return whether the sender is a known VM.

        Args:
            vm: the sender's name.
            host: the address from which the message came.
            now: the loop's time.
            log_up: whether the log serves the sender.
        """
        member = self._members.get(vm)
        if member is None or member.host != host:
            return False
        member.last_seen_at = now
        member.log_up = log_up
        return True

    def note_stall(self, late_s: float, now: float) -> None:
        """Note that this VM stalled: what others sent meanwhile is not read yet.

        Without this a VM that wakes holds itself for the only live one, and takes all
        of the fleet's retries and connections for its own.

        Args:
            late_s: seconds for which it stalled.
            now: the loop's time.
        """
        for member in self._members.values():
            member.last_seen_at = min(now, member.last_seen_at + late_s)

    def find_failure_domain(self, vm: str) -> str:
        """Return where a known VM stands; empty if it is not known."""
        member = self._members.get(vm)
        return member.failure_domain if member else ""

    def choose_heartbeat_s(self, *, near: bool) -> float:
        """Return the time between heartbeats to near VMs, or to far ones.

        Heartbeats to other failure domains become rarer as their VMs become many:
        a VM's own messages stay bounded in a fleet of any size.
        """
        if near:
            return NEAR_HEARTBEAT_S
        return max(NEAR_HEARTBEAT_S, self.count(near=False) / FAR_HEARTBEATS_PER_S)

    def count(self, *, near: bool) -> int:
        """Return how many VMs stand in this failure domain, or in others."""
        return sum(self._is_near(m) == near for m in self._members.values())

    def list_hosts(self, now: float, *, near: bool) -> list[str]:
        """Return the addresses of near VMs, or of far ones, to send messages to.

        Those that are not live are tried only now and then.
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

    def list_recent(self, now: float) -> list[Member]:
        """Return the VMs that are live, or were a while ago."""
        return [
            m for m in self._members.values() if now - m.last_seen_at <= RECENT_MEMBER_S
        ]

    def list_last_seen_first(self) -> list[Member]:
        """Return all members, the one seen last first."""
        return sorted(
            self._members.values(), key=lambda m: m.last_seen_at, reverse=True
        )

    def _is_near(self, member: Member) -> bool:
        return member.failure_domain == self._failure_domain

    def _choose_timeout_s(self, *, near: bool) -> float:
        return MISSED_HEARTBEATS * self.choose_heartbeat_s(near=near)


def _decode_entry(value: bytes) -> MemberRecord:
    """Return a VM's entry.

    Raises:
        ValueError: it can't be read, or names no address.
        RecursionError: it is nested too deeply.
    """
    entry = msgspec.json.decode(value, type=MemberRecord)
    check_host(entry.host)
    return entry


async def announce(log: RecordLog, own: Member) -> None:
    """Write this VM's entry into the shared log; try until it is there."""
    entry = MemberRecord(own.host, own.failure_domain, own.capacity_weight)
    value = msgspec.json.encode(entry)
    while True:
        try:
            await log.append(own.vm, value)
        except LogUnavailableError as error:
            LOG.warning("not announced: %s", error, extra={"step": "announce"})
            await asyncio.sleep(ANNOUNCE_RETRY_S)
        else:
            return
