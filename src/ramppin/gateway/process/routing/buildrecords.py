"""Records in the shared log of the builds at which streams began lately.

VMs have no persistent storage, and all of them may be lost together, while callers
still hold streams that began at a build whose servers are gone since. So each build
has a record of its own, which is written before streams begin there, and removed when
no server has had that build for as long as streams are taken up. A VM adds records and
never writes a list over that of another VM, so a VM that observed less removes nothing.

While the records contain one build of a service, each stream that began before they
were read began there, whatever other builds have servers by now. Where no server of a
recorded build takes requests, streams begin at another one first, and it is recorded
at once.

A record does not imply that none is missing: the first VMs that write may have lost
power before. So a VM whose history is complete adds the mark
:data:`COMPLETE`.

All VMs read the records at their start, and once after a new build appears, so that
each makes sure that it is recorded; and again for streams of unknown origin, while they
may contain one build. With an unchanged set of builds there is no call.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Sequence

import msgspec
import xxhash

from ramppin.errors import LogUnavailableError
from ramppin.gateway.process.membership.members import FleetMembers
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.recovery.sources import RecordBatch, RecordLog
from ramppin.gateway.process.routing.buildhistory import BuildHistory
from ramppin.gateway.process.routing.recordedservers import ServiceBuild

LOG = logging.getLogger(__name__)

WRITER_SUBJECT = "builds"


class BuildRecord(msgspec.Struct, array_like=True, frozen=True):
    """Value of a build's record.

    Attributes:
        service: name of the service.
        build: the build.
        servers: ids of servers of it that were open when the record was written.
    """

    service: str
    build: str
    servers: list[str] = []

    @property
    def pair(self) -> ServiceBuild:
        """The build."""
        return ServiceBuild(self.service, self.build)


COMPLETE = ServiceBuild("", "complete")
"""Record that states that the records contain all builds; no service has that name."""

CHECK_S = 0.1
"""Seconds between two checks whether records must be read, written or removed."""

READ_TIMEOUT_S = 1.0
"""Time-out in seconds of one read of the records."""

RETRY_S = (0.2, 0.4)
"""Shortest and longest pause in seconds after a failed call; drawn, so that VMs that
start together do not all come again at one moment, and doubled at each failure."""

MAX_RETRY_FACTOR = 8
"""Factor by which that pause has grown at most."""

CHECK_DELAY_S = (0.05, 0.3)
"""Shortest and longest time in seconds after which a VM that does not write checks that
a new build is recorded, and writes it if not."""


READ_WAIT_S = 1.0
"""Longest time in seconds that a take-up waits for a read, with the pause before it."""

MIN_READ_PAUSE_S = 0.1
"""Shortest time in seconds between two reads for take-ups."""

READS_PER_S = 600.0
"""Reads for take-ups that all VMs together make in a second at most."""


class BuildRecords:
    """Reads and writes the records of builds.

    Args:
        log: the table of the records.
        members: the other VMs.
        history: the builds that this VM holds.
        generator: source of the pauses.
        is_first_start: whether the fleet starts for the first time, so that nothing
            was before the first record.
        is_listed: returns whether the list of VMs has been read with this VM in it.
        note_mixed: called with services that have several builds by the records.
        note: adds a decision line: its event and fields.
        observe_servers: records in the history which servers there are now.

    .. versionadded:: 0.5
    """

    def __init__(
        self,
        log: RecordLog,
        members: FleetMembers,
        history: BuildHistory,
        generator: random.Random,
        *,
        is_first_start: bool,
        is_listed: Callable[[], bool],
        note_mixed: Callable[[str], None],
        note: Callable[..., None],
        observe_servers: Callable[[], None] = lambda: None,
    ) -> None:
        self._log = log
        self._members = members
        self._history = history
        self._generator = generator
        self._is_first_start = is_first_start
        self._is_listed = is_listed
        self._note_mixed = note_mixed
        self._note = note
        self._observe_servers = observe_servers
        self._reads_done = 0
        self._is_marked = False
        self._write_at: float | None = None
        self._found: list[ServiceBuild] = []
        self._read_began_at = float("-inf")
        self._read_tried_at = float("-inf")
        self._one_read = asyncio.Lock()
        self._reading: asyncio.Task[bool] | None = None

    async def run(self) -> None:
        """Keep the records complete until cancelled."""
        factor = 1
        while True:
            try:
                await self._update()
                factor = 1
            except LogUnavailableError as error:
                LOG.warning("builds: %s", error, extra={"step": "builds"})
                await asyncio.sleep(factor * self._generator.uniform(*RETRY_S))
                is_urgent = bool(self._history.list_begun())
                factor = 1 if is_urgent else min(MAX_RETRY_FACTOR, 2 * factor)
            await asyncio.sleep(CHECK_S)

    async def _update(self) -> None:
        if self._reads_done < self._history.reads_due:
            await self._read_or_record_begun()
        now = asyncio.get_running_loop().time()
        if not self._is_change_due(now):
            self._write_at = None
        elif self._is_write_due():
            await self._read_or_record_begun()
            await self._record_new(now)
            await self._record_lasting(now)
            await self._remove_expired()

    def _is_change_due(self, now: float) -> bool:
        """Return whether this VM must make sure that the records are changed.

        That a record contains open servers is not urgent, and left to one VM.
        """
        if self._list_lacking(now) or self._history.list_expired(now):
            return True
        outdated = self._history.list_outdated(now)
        return bool(outdated) and self._is_writer(now)

    async def _read_or_record_begun(self) -> None:
        """Read the records; if that fails, write builds at which streams began."""
        try:
            await self._read()
        except LogUnavailableError:
            for pair in self._history.list_begun():
                # Servers in a record that was not read must not be replaced by others.
                await self._record(pair, [])
            raise

    async def find_only_build(self, service: str) -> str | None:
        """Return the one build at which all streams of a service began until now.

        None if the records contain several, are incomplete, or can't be read, or if
        the build may have left meanwhile.
        """
        asked_at = asyncio.get_running_loop().time()
        if not (self._reads_done and self._history.may_have_one_record(service)):
            return None
        if not await self._read_since(asked_at) or not self._is_marked:
            return None
        builds = [pair.build for pair in self._found if pair.service == service]
        if len(builds) != 1 or not self._history.may_have_one_record(service):
            return None
        is_unbroken = self._history.servers.is_unbroken(ServiceBuild(service, *builds))
        return builds[0] if is_unbroken else None

    async def _read_since(self, asked_at: float) -> bool:
        """Return whether the records were read since a moment; read them if not.

        One read at a time serves all that wait for it.
        """
        loop = asyncio.get_running_loop()
        ends_at = asked_at + READ_WAIT_S
        while self._read_began_at < asked_at:
            if self._reading is None:
                self._reading = loop.create_task(self._read_for_takeups())
            reading = self._reading
            await asyncio.wait([reading], timeout=ends_at - loop.time())
            if not reading.done() or not reading.result():
                return False
        return True

    async def _read_for_takeups(self) -> bool:
        """Read the records after a pause; return whether they could be read."""
        loop = asyncio.get_running_loop()
        vms = 1 + len(self._members.list_live(loop.time()))
        pause_s = max(MIN_READ_PAUSE_S, vms / READS_PER_S)
        try:
            await asyncio.sleep(self._read_tried_at + pause_s - loop.time())
            self._read_tried_at = loop.time()
            await self._read()
        except LogUnavailableError as error:
            LOG.warning("builds: %s", error, extra={"step": "builds"})
            return False
        finally:
            self._reading = None
        return True

    def _is_write_due(self) -> bool:
        """Return whether this VM writes now.

        One VM writes at once. The others leave it the time to do so, and then read
        whether it has, unless streams of theirs began at a build that is not recorded.
        """
        now = asyncio.get_running_loop().time()
        if self._history.list_begun():
            return True
        if self._write_at is None:
            delay_s = self._generator.uniform(*CHECK_DELAY_S)
            self._write_at = now if self._is_writer(now) else now + delay_s
        return now >= self._write_at

    async def _read(self) -> None:
        """Read the records, one read at a time.

        Without the mark the past is unknown, unless there was none. An answer to a call
        that began before a gap proves nothing.
        """
        loop = asyncio.get_running_loop()
        async with self._one_read:
            began_at = loop.time()
            reads_due = self._history.reads_due
            batch = await self._log.read_newest(timeout_s=READ_TIMEOUT_S)
            self._note_read(batch, began_at, reads_due, loop.time())

    def _note_read(
        self, batch: RecordBatch, began_at: float, reads_due: int, now: float
    ) -> None:
        """Apply an answer to a read.

        Args:
            batch: the answer.
            began_at: event-loop time at which the read began.
            reads_due: reads that were due then.
            now: event-loop time.
        """
        records = [r for r in map(decode_build, batch.records) if r is not None]
        found = {record.pair: record.servers for record in records}
        self._is_marked = found.pop(COMPLETE, None) is not None
        self._history.servers.note_recorded(found)
        builds = list(found)
        self._found, self._read_began_at = builds, began_at
        for service in self._history.note_recorded(builds, now):
            self._note_mixed(service)
        is_first_read, self._reads_done = self._reads_done == 0, reads_due
        has_past = self._is_marked or (self._is_first_start and is_first_read)
        if has_past and reads_due == self._history.reads_due:
            self._history.past_known.set()
        self._note(
            "builds_read",
            builds=[f"{service}:{build}" for service, build in sorted(builds)],
            past_known=self._history.past_known.is_set(),
        )

    async def _record_new(self, now: float) -> None:
        """Write the builds that the records lack, and the mark after them."""
        self._observe_servers()
        for pair in self._list_lacking(now):
            if pair == COMPLETE:
                await self._log.append(name_record(pair), encode_build(pair))
                self._is_marked = True
            else:
                await self._record(pair, self._history.servers.list_open(pair))

    async def _record(self, pair: ServiceBuild, servers: list[str]) -> None:
        await self._log.append(name_record(pair), encode_build(pair, servers))
        self._history.note_written(pair, servers)
        self._note("build_recorded", service=pair.service, build=pair.build)

    async def _record_lasting(self, now: float) -> None:
        """Write records anew that contain too few open servers."""
        for pair in self._history.list_outdated(now):
            servers = self._history.list_evidence(pair, now)
            await self._log.append(name_record(pair), encode_build(pair, servers))
            self._history.note_written(pair, servers)

    def _list_lacking(self, now: float) -> list[ServiceBuild]:
        lacking = self._history.list_unrecorded(now)
        if self._history.past_known.is_set() and not self._is_marked:
            lacking.append(COMPLETE)
        return lacking

    async def _remove_expired(self) -> None:
        """Remove the records of builds that have expired."""
        loop = asyncio.get_running_loop()
        # A build may come back while the record of another one is removed.
        while expired := self._history.list_expired(loop.time()):
            # It may be removed though no answer says so.
            self._history.note_removing(expired[0])
            await self._log.append(name_record(expired[0]), b"")
            self._history.note_removed(expired[0])

    def _is_writer(self, now: float) -> bool:
        if not self._is_listed():
            return False
        return self._members.ranks_first(WRITER_SUBJECT, now)


def name_record(pair: ServiceBuild) -> str:
    """Return the key of a build's record, short whatever the names are."""
    return xxhash.xxh3_64_hexdigest(msgspec.msgpack.encode(pair))


def encode_build(pair: ServiceBuild, servers: Sequence[str] = ()) -> bytes:
    """Return the value of a build's record."""
    return msgspec.msgpack.encode(BuildRecord(*pair, list(servers)))


def decode_build(record: Record) -> BuildRecord | None:
    """Return the content of a record; None if it was removed or can't be decoded."""
    if not record.value:
        return None
    try:
        return msgspec.msgpack.decode(record.value, type=BuildRecord)
    except msgspec.MsgspecError as error:
        LOG.warning(
            "record of a build could not be decoded: %s",
            error,
            extra={"step": "builds"},
        )
        return None
