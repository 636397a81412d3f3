"""Snapshots in the shared log: homes of prefixes, and quarantined requests.

VMs have no persistent storage, and all of them may lose power together. One VM of the
fleet writes a snapshot every few seconds, and a VM that starts reads it once. A
snapshot is only a hint, so it needs no lease: if two VMs write, the last one is used,
and outdated content is corrected by the VMs' own hints.

A VM writes none before it has read the snapshot, the backend servers and the list of
VMs: it would replace what the fleet knew before a loss of all VMs by the little that it
has observed itself.

After a loss of all VMs, prompts are still sent to the servers that have their prefixes.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec

from ramppin.errors import LogUnavailableError
from ramppin.gateway.connection.datagrams import HomeHint, SuspectHint
from ramppin.gateway.process.membership.members import FleetMembers
from ramppin.gateway.process.quarantine.gossip import QuarantineGossip
from ramppin.gateway.process.quarantine.quarantine import Quarantine
from ramppin.gateway.process.recovery.sources import RecordLog
from ramppin.gateway.process.routing.homes import HomeAnnouncement, PrefixHomes

LOG = logging.getLogger(__name__)

SNAPSHOT_KEY = "homes"
SNAPSHOT_PERIOD_S = 2.0
"""Seconds between two snapshots if a home has changed."""

SUSPECT_PERIOD_S = 0.25
"""Seconds between two snapshots if the quarantined requests have changed. If all VMs
lose power before the snapshot is written, each new one crashes three more servers."""

MAX_SNAPSHOT_HOMES = 5_000
"""Maximum number of homes in a snapshot; at 40 bytes each it fits into one record."""

MAX_SNAPSHOT_SUSPECTS = 200
"""Maximum number of quarantined requests in a snapshot, 22 kB at 110 bytes each."""

LOAD_TIMEOUT_S = 1.0
"""Time-out in seconds of one read of the snapshot."""

LOAD_RETRY_S = 0.2
"""Seconds between two attempts to read the snapshot."""

LOAD_ATTEMPTS = 10
"""Attempts after which the snapshot is read less often, and with a longer time-out."""

LATE_LOAD_TIMEOUT_S = 3.0
"""Time-out in seconds of one of these later reads: VMs that start together share the
log's bandwidth."""

LATE_LOAD_RETRY_S = 3.0
"""Seconds between two of them, so that an outage brings few calls."""

SERVER_CHECK_S = 0.03
"""Seconds between two checks whether the backend servers are known. Before that, homes
can't be applied."""


class HomeSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """State of the VM that wrote the snapshot."""

    vm: str
    homes: list[HomeHint]
    suspects: list[SuspectHint] = []


class HomeSnapshots:
    """Writes and reads snapshots.

    Args:
        vm: name of this VM.
        log: the table that holds the snapshot.
        members: the other VMs.
        homes: homes of prefixes.
        has_servers: returns whether the backend servers are known.
        suspects: gossip on requests that may crash servers.
        note: adds a decision line: its event and fields.
        knows_members: returns whether the list of VMs has been read.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        vm: str,
        log: RecordLog,
        members: FleetMembers,
        homes: PrefixHomes,
        has_servers: Callable[[], bool],
        suspects: QuarantineGossip | None = None,
        note: Callable[..., None] = lambda event, **fields: None,
        knows_members: Callable[[], bool] = lambda: True,
    ) -> None:
        self._vm = vm
        self._log = log
        self._members = members
        self._homes = homes
        self._has_servers = has_servers
        self._suspects = suspects or QuarantineGossip(Quarantine())
        self._note = note
        self._knows_members = knows_members
        self._written_changes = 0
        self._written_digest = 0

    async def run(self) -> None:
        """Load the snapshot, then write snapshots when due until cancelled."""
        await self._load()
        homes_due_at = self._compute_next_due_time()
        while True:
            await asyncio.sleep(SUSPECT_PERIOD_S)
            is_due = self._suspects.digest != self._written_digest
            if asyncio.get_running_loop().time() >= homes_due_at:
                homes_due_at = self._compute_next_due_time()
                is_due |= self._homes.changes != self._written_changes
            if is_due and self._is_writer():
                await self._write()

    def _is_writer(self) -> bool:
        """Return whether this VM writes; without the list of VMs each one would."""
        if not self._knows_members():
            return False
        now = asyncio.get_running_loop().time()
        return self._members.ranks_first(SNAPSHOT_KEY, now)

    def _compute_next_due_time(self) -> float:
        return asyncio.get_running_loop().time() + SNAPSHOT_PERIOD_S

    async def _load(self) -> None:
        """Read the snapshot; apply its homes once the backend servers are known.

        What this VM has observed until then is not in the snapshot, and is written.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        value = await self._read()
        snapshot = None if value is None else decode_snapshot(value)
        now = loop.time()
        self._note_read(snapshot, now - began)
        if snapshot is None:
            return
        self._suspects.apply(snapshot.suspects, now)
        for hint in snapshot.suspects:
            self._written_digest ^= hint.fingerprint
        while not self._has_servers():
            await asyncio.sleep(SERVER_CHECK_S)
        own_changes = self._homes.changes
        self._apply_homes(snapshot)
        self._written_changes = self._homes.changes - own_changes

    def _note_read(self, snapshot: HomeSnapshot | None, took_s: float) -> None:
        self._note(
            "snapshot_read",
            by="" if snapshot is None else snapshot.vm,
            homes=0 if snapshot is None else len(snapshot.homes),
            took_ms=round(took_s * 1000),
        )

    async def _read(self) -> bytes | None:
        """Return the snapshot, or None if there is none; repeated until read."""
        attempts = 0
        while True:
            is_late = attempts >= LOAD_ATTEMPTS
            timeout_s = LATE_LOAD_TIMEOUT_S if is_late else LOAD_TIMEOUT_S
            try:
                batch = await self._log.read_newest(timeout_s=timeout_s)
            except LogUnavailableError as error:
                LOG.warning(
                    "snapshot could not be read: %s", error, extra={"step": "homes"}
                )
                attempts += 1
                await asyncio.sleep(LATE_LOAD_RETRY_S if is_late else LOAD_RETRY_S)
                continue
            found = (r.value for r in batch.records if r.key == SNAPSHOT_KEY)
            return next(found, None)

    def _apply_homes(self, snapshot: HomeSnapshot) -> None:
        now = asyncio.get_running_loop().time()
        for hint in snapshot.homes:
            # The age is that at the time of writing, so the home is older by now.
            age_s = hint.age_ms / 1000 + SNAPSHOT_PERIOD_S
            self._homes.apply_announcement(
                HomeAnnouncement(hint.key, hint.server, age_s), now
            )

    async def _write(self) -> None:
        now = asyncio.get_running_loop().time()
        changes, digest = self._homes.changes, self._suspects.digest
        homes = [
            HomeHint(
                announcement.key, announcement.server, int(announcement.age_s * 1000)
            )
            for announcement in self._homes.list_newest(now, MAX_SNAPSHOT_HOMES)
        ]
        suspects = self._suspects.collect_quarantined(now, MAX_SNAPSHOT_SUSPECTS)
        value = encode_snapshot(HomeSnapshot(self._vm, homes, suspects))
        try:
            await self._log.append(SNAPSHOT_KEY, value)
        except LogUnavailableError as error:
            LOG.warning(
                "snapshot could not be written: %s", error, extra={"step": "homes"}
            )
        else:
            self._written_changes = changes
            self._written_digest = digest
            self._note("snapshot_written", homes=len(homes))


def encode_snapshot(snapshot: HomeSnapshot) -> bytes:
    """Return the encoded snapshot."""
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(value: bytes) -> HomeSnapshot | None:
    """Return a snapshot, or None if it can't be decoded."""
    try:
        return msgspec.msgpack.decode(value, type=HomeSnapshot)
    except msgspec.MsgspecError as error:
        LOG.warning("snapshot could not be decoded: %s", error, extra={"step": "homes"})
        return None
