"""Records in the shared log of where the streams of the last seconds began.

The VMs that store a stream's origin may all be lost at once. So while a service may
have servers of several builds, one VM for each shard of the streams, the recorder, also
gets their origins, and writes them 20 times a second. A VM that finds a stream's
origin at no other VM reads the records, once for all streams taken up meanwhile.

The records form a ring of slots, each of which is overwritten once the ring is full, so
their size is bounded and nothing has to be removed. A record that is lost or
overwritten too early makes an origin unknown, never wrong.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from ramppin.errors import LogUnavailableError
from ramppin.gateway.process.membership.members import FleetMembers, Member
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.recovery.sources import RecordLog
from ramppin.gateway.process.routing.streamorigins import StreamOrigin, build_conflict
from ramppin.ranking import RendezvousRanking, hash_name

LOG = logging.getLogger(__name__)

WRITE_S = 0.05
"""Seconds between two writes of a recorder that has new origins. The origins of streams
that began since the last write are lost with all VMs."""

MIN_RETRY_S, MAX_WRITE_PAUSE_S = 0.1, 1.0
"""Bounds of the pause in seconds after a failed write, which is doubled each time."""

SLOT_S = 0.25
"""Seconds whose streams one slot holds; each write contains the whole slot."""

SLOTS = 80
"""Slots of a shard, 20 s: streams that began longer ago are rarely still taken up."""

VMS_PER_SHARD = 100
"""VMs for each shard: a recorder gets the streams of so many."""

KEY_BYTES = 6
"""Bytes of a stream's key that are recorded. Among 50,000 streams one key in 5 billion
equals that of another stream."""

KEY_SHIFT = 8 * (8 - KEY_BYTES)
KEY_MASK = (1 << 8 * KEY_BYTES) - 1

RECORDERS_S = 0.25
"""Seconds for which the choice of recorders is kept."""

READ_TIMEOUT_S = 3.0
"""Time-out in seconds of one page of the records. VMs that start together share the
log's bandwidth; if each gave up early and read again, none would finish."""

READ_AGAIN_S = 3.0
"""Seconds after which the records are read again for a stream that they lacked."""

READ_WAIT_S = 0.5
"""Longest time in seconds that a take-up waits for a read: a few answers of the log."""

RETRY_S = 1.0
"""Seconds after a failed read in which no other one is made."""

MAX_RECORDED_AGE_S = SLOTS * SLOT_S
"""Age in seconds above which a stream is not recorded when its service gets a second
build."""


class SlotRecord(msgspec.Struct, array_like=True, frozen=True):
    """The streams of one slot with one origin: their shortened keys, joined."""

    service: str
    build: str
    keys: bytes


@dataclass(slots=True)
class Slot:
    """The streams of one slot that this VM records.

    Attributes:
        number: counted in slots since the epoch.
        origins: by shortened key.
    """

    number: int
    origins: dict[int, StreamOrigin] = field(default_factory=dict)


class OriginRecords:
    """Writes and reads the records.

    Args:
        vm: name of this VM.
        log: the table of the records.
        members: the other VMs.
        read_time: returns the time of day in seconds.
        is_listed: returns whether the list of VMs has been read with this VM in it.
            Before that, it would take itself for each recorder, and overwrite what
            others recorded.

    .. versionadded:: 0.5
    """

    def __init__(
        self,
        vm: str,
        log: RecordLog,
        members: FleetMembers,
        read_time: Callable[[], float] = time.time,
        is_listed: Callable[[], bool] = lambda: True,
    ) -> None:
        self._vm = vm
        self._log = log
        self._members = members
        self._read_time = read_time
        self._is_listed = is_listed
        self._ranking = RendezvousRanking()
        self._recorders: list[Member | None] = []
        self._recorders_until = float("-inf")
        self._slots: dict[str, Slot] = {}
        self._unwritten: set[str] = set()
        self._found: dict[int, StreamOrigin] = {}
        self._read_at = float("-inf")
        self._failed_at = float("-inf")
        self._reading: asyncio.Task[bool] | None = None

    def find_recorder(self, key: int, now: float) -> Member | None:
        """Return the VM that records a stream; None if this VM does."""
        if now >= self._recorders_until:
            self._recorders = self._choose_recorders(now)
            self._recorders_until = now + RECORDERS_S
        return self._recorders[key % len(self._recorders)]

    def note(self, key: int, origin: StreamOrigin, now: float) -> bool:
        """Record a stream's origin if this VM is its recorder; return whether it is."""
        if not self._is_listed() or self.find_recorder(key, now) is not None:
            return False
        number = int(self._read_time() / SLOT_S)
        name = f"{key % len(self._recorders)}/{number % SLOTS}"
        slot = self._slots.get(name)
        if slot is None or slot.number != number:
            self._drop_written()
            slot = self._slots[name] = Slot(number)
        short_key = shorten_key(key)
        is_other = slot.origins.get(short_key, origin) != origin
        slot.origins[short_key] = build_conflict(origin.service) if is_other else origin
        self._unwritten.add(name)
        return True

    async def run(self) -> None:
        """Write the slots that have new origins until cancelled."""
        pause_s = WRITE_S
        while True:
            await asyncio.sleep(pause_s)
            if await self._write_all():
                pause_s = WRITE_S
            else:
                pause_s = min(MAX_WRITE_PAUSE_S, 2 * max(pause_s, MIN_RETRY_S))

    async def _write_all(self) -> bool:
        """Write the slots that have new origins; return whether none failed."""
        for name in sorted(self._unwritten):
            if not await self._write(name):
                return False
        return True

    async def find(self, key: int) -> tuple[StreamOrigin | None, bool]:
        """Return a stream's origin, and whether the records could be read.

        The origin is None if they lack it. An earlier read does not count: the stream
        may have begun at another build since.
        """
        if not await self._refresh():
            return None, False
        return self._found.get(shorten_key(key)), True

    async def _refresh(self) -> bool:
        """Read the records unless they were read lately; return whether they were."""
        now = asyncio.get_running_loop().time()
        if now - self._read_at <= READ_AGAIN_S:
            return True
        if self._reading is None:
            if now - self._failed_at <= RETRY_S:
                return False
            self._reading = asyncio.create_task(self._read())
        reading = self._reading
        await asyncio.wait([reading], timeout=READ_WAIT_S)
        return reading.done() and reading.result()

    def _choose_recorders(self, now: float) -> list[Member | None]:
        """Return the recorder of each shard, None for this VM."""
        live = {member.vm: member for member in self._members.list_live(now)}
        names = [self._vm, *live]
        shards = 1 + len(names) // VMS_PER_SHARD
        subjects = [hash_name(f"origins-{shard}") for shard in range(shards)]
        return [live.get(self._ranking.rank(s, names)[0]) for s in subjects]

    def _drop_written(self) -> None:
        """Forget the slots that are written and no longer filled."""
        unwritten = self._unwritten
        newest = max((slot.number for slot in self._slots.values()), default=0)
        self._slots = {
            name: slot
            for name, slot in self._slots.items()
            if name in unwritten or slot.number == newest
        }

    async def _write(self, name: str) -> bool:
        slot = self._slots[name]
        self._unwritten.discard(name)
        try:
            await self._log.append(name, encode_slot(slot.origins))
        except LogUnavailableError as error:
            LOG.warning("origins not recorded: %s", error, extra={"step": "origins"})
            self._slots.setdefault(name, slot)
            self._unwritten.add(name)
            return False
        return True

    async def _read(self) -> bool:
        try:
            batch = await self._log.read_newest(timeout_s=READ_TIMEOUT_S)
        except LogUnavailableError as error:
            LOG.warning("origins not read: %s", error, extra={"step": "origins"})
            self._failed_at = asyncio.get_running_loop().time()
            return False
        finally:
            self._reading = None
        self._read_at = asyncio.get_running_loop().time()
        self._found = merge_slots(batch.records)
        return True


def shorten_key(key: int) -> int:
    """Return the part of a stream's key that is recorded."""
    return (key >> KEY_SHIFT) & KEY_MASK


def encode_slot(origins: dict[int, StreamOrigin]) -> bytes:
    """Return the value of a slot's record, from origins by shortened key."""
    keys: dict[StreamOrigin, bytearray] = {}
    for key, origin in origins.items():
        keys.setdefault(origin, bytearray()).extend(key.to_bytes(KEY_BYTES, "big"))
    return msgspec.msgpack.encode(
        [SlotRecord(o.service, o.build, bytes(found)) for o, found in keys.items()]
    )


def merge_slots(records: tuple[Record, ...]) -> dict[int, StreamOrigin]:
    """Return the origins of all slots, by shortened key.

    A stream with different origins has none; a record that can't be decoded is skipped.
    """
    merged: dict[int, StreamOrigin] = {}
    for record in records:
        for part in decode_slot(record.value or b""):
            origin = StreamOrigin(part.service, part.build)
            for at in range(0, len(part.keys), KEY_BYTES):
                key = int.from_bytes(part.keys[at : at + KEY_BYTES], "big")
                known = merged.setdefault(key, origin)
                is_same = known == origin
                merged[key] = origin if is_same else build_conflict(origin.service)
    return merged


def decode_slot(value: bytes) -> list[SlotRecord]:
    """Return the content of a slot's record; empty if it can't be decoded."""
    try:
        return msgspec.msgpack.decode(value, type=list[SlotRecord])
    except msgspec.MsgspecError as error:
        LOG.warning("slot could not be decoded: %s", error, extra={"step": "origins"})
        return []
