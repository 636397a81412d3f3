"""A fleet whose VMs start, die and sleep while builds change and the log fails.

Plays the product's own parts on a virtual clock, with no process and no real waiting:
random schedules, one for each seed. Streams begin at VMs at a build that the VM's own
list of servers shows, break off, and are taken up at other VMs.

Left out: servers that start again under their id, lists read through relays or from
other VMs, the hop through another VM, several services and shards of recorders.
"""

from __future__ import annotations

import asyncio
import contextvars
import inspect
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import msgspec

from features.virtual_loop import VirtualProcess, play
from ramppin.errors import LogUnavailableError
from ramppin.gateway.connection.datagrams import PeerHints
from ramppin.gateway.process.load.gossip import LoadGossip
from ramppin.gateway.process.membership.members import (
    FleetMembers,
    Member,
    MemberRecord,
    announce,
)
from ramppin.gateway.process.recovery.replica import Record, Replica
from ramppin.gateway.process.recovery.sources import RecordBatch, RecordLog
from ramppin.gateway.process.routing.buildrecords import (
    COMPLETE,
    BuildRecords,
    ServiceBuild,
    encode_build,
    name_record,
)
from ramppin.gateway.process.routing.continuity import StreamContinuity
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.failuregossip import FailureGossip
from ramppin.gateway.process.routing.hints import MIN_PERIOD_S, HintExchange
from ramppin.gateway.process.routing.homes import PrefixHomes
from ramppin.gateway.process.routing.noticegossip import NoticeGossip
from ramppin.gateway.process.routing.originrecords import OriginRecords
from ramppin.gateway.process.routing.serverstate import BackendServer, ServerState
from ramppin.gateway.process.routing.streamorigins import StreamOrigin, hash_stream
from ramppin.gateway.process.upkeep import SWEEP_S

SERVICE = "m"
BUILDS = ("v1", "v2", "v3")
TABLES = ("servers", "members", "builds", "origins")
DOMAINS = ("porto", "braga", "faro")

LIST_PAUSE_S = (0.02, 1.8)
"""Between two reads of the list of servers."""

MEMBER_PAUSE_S = 1.0
RETRY_S = 0.3
LOG_LATENCY_S = (0.002, 0.03)
LATENCY_S = (0.0003, 0.002)

UNTOLD_S = MIN_PERIOD_S + 2 * LATENCY_S[1]
"""Seconds after the first VM has read a new build in which the others are told."""

UNTOLD = "untold"
"""Counts take-ups at the wrong build within that time: a known limit."""

WAIT_S = 10.0
"""Seconds for which a caller tries to take its stream up."""

PATIENCE_S = 3.0
"""Seconds after which a caller without an answer tries another VM."""

STREAMS_PER_S = 4.0
NEW_STREAMS_PER_S = 20.0
"""While VMs differ most: within :data:`NEW_S` after a build came."""

NEW_S = 1.0
MAX_STREAM_S = 20.0

REST_S = 6.0
"""Seconds for which streams are still taken up after the last has begun."""

RECHECK_S = 0.3
"""Between two checks whether a build that is to leave has been recorded."""

FIRST_READ_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 1.0

OUTSIDE = contextvars.Context()
"""Of what happens in no VM."""


@dataclass(frozen=True, slots=True)
class Kind:
    """What schedules contain.

    Attributes:
        changes: whether builds change.
        log_fails: whether the log fails.
        loss: share of lost datagrams.
        stay_s: shortest time for which a build is in the list of servers.
        leaves_recorded: whether a build leaves only once VMs have recorded it.
        serves_unread: whether a VM serves once its first read of the list of servers
            has failed, as the product does; otherwise once it has read the list.
        reads_first: whether a VM that is resumed reads the datagrams that waited before
            it does anything else; otherwise in any order.
        seconds: shortest and longest length.
    """

    changes: bool = True
    log_fails: bool = True
    loss: float = 0.0
    stay_s: float = 5.0
    leaves_recorded: bool = True
    serves_unread: bool = False
    reads_first: bool = True
    seconds: tuple[float, float] = (5.0, 12.0)


@dataclass(frozen=True, slots=True)
class Fault:
    """A time in which the log fails.

    Attributes:
        until: its end.
        hosts: for which VMs; None for all.
        tables: which of them.
        reads: whether reads fail.
        writes: whether writes fail.
        is_silent: whether calls get no answer, instead of an error at once.
        is_done: whether writes take effect all the same.
    """

    until: float
    hosts: frozenset[str] | None
    tables: tuple[str, ...]
    reads: bool
    writes: bool
    is_silent: bool
    is_done: bool


class Table:
    """The newest record of each key."""

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.end = 0

    def put(self, key: str, value: bytes | None) -> None:
        """Write a record."""
        self.records[key] = Record(key, value, self.end)
        self.end += 1

    def read(self) -> RecordBatch:
        """Return all keys that have a value."""
        found = tuple(r for r in self.records.values() if r.value is not None)
        return RecordBatch(found, self.end)


class VmLog(RecordLog):
    """A table, as one VM reaches it."""

    def __init__(self, vm: Vm, name: str) -> None:
        self._vm = vm
        self._name = name
        self._table = vm.fleet.tables[name]

    async def append(self, key: str, value: bytes) -> None:
        """Write a record."""
        await self._call(lambda: self._table.put(key, value), 1.0, is_write=True)

    async def read_newest(self, *, timeout_s: float) -> RecordBatch:
        """Return the newest record of each key."""
        return await self._call(self._table.read, timeout_s, is_write=False)

    async def read_after(self, position: int, *, wait_s: float) -> RecordBatch:
        """Not used here."""
        raise NotImplementedError

    async def _call(
        self, serve: Callable[[], Any], timeout_s: float, *, is_write: bool
    ) -> Any:
        loop = asyncio.get_running_loop()
        answer = loop.create_future()
        call = (serve, timeout_s, is_write, answer)
        loop.call_later(self._draw(), self._serve, *call, context=OUTSIDE)
        result = await answer
        if isinstance(result, LogUnavailableError):
            raise result
        self._vm.first_answer.set()
        return result

    def _draw(self) -> float:
        return self._vm.fleet.random.uniform(*LOG_LATENCY_S)

    def _serve(
        self,
        serve: Callable[[], Any],
        timeout_s: float,
        is_write: bool,
        answer: asyncio.Future[Any],
    ) -> None:
        """Serve a call at the log, and answer it."""
        loop = asyncio.get_running_loop()
        fleet = self._vm.fleet
        fault = fleet.find_fault(self._vm.host, self._name, is_write=is_write)
        delay_s = self._draw()
        if fault is None:
            result = serve()
        else:
            result = LogUnavailableError("away", step="call", peer="table")
            if fault.is_done and is_write:
                serve()
            if fault.is_silent:
                delay_s = timeout_s
        loop.call_later(
            delay_s, finish, answer, result, context=self._vm.process.context
        )


def finish(future: asyncio.Future[Any], result: object) -> None:
    """Set a result that nobody may wait for any more."""
    if not future.done():
        future.set_result(result)


class Link:
    """Carries one VM's datagrams, in place of a socket."""

    def __init__(self, vm: Vm) -> None:
        self._vm = vm

    def send(self, hints: PeerHints, hosts: list[str], port: int) -> None:
        """Send a message to VMs."""
        fleet, loop = self._vm.fleet, asyncio.get_running_loop()
        for host in hosts:
            if fleet.random.random() < fleet.kind.loss:
                continue
            delay_s = fleet.random.uniform(*LATENCY_S)
            call = (hints, self._vm.host, host)
            loop.call_later(delay_s, fleet.deliver, *call, context=OUTSIDE)

    def close(self) -> None:
        """Nothing to close."""


class Vm:
    """One start of a VM: the parts that know builds and streams."""

    def __init__(self, fleet: BuildFleet, number: int, *, is_first: bool) -> None:
        self.fleet = fleet
        self.number = number
        self.host = name_host(number)
        self.process = VirtualProcess()
        # Dictionaries, since their order does not depend on addresses in memory.
        self.callers: dict[asyncio.Future[Any], None] = {}
        self._tasks: dict[asyncio.Task[None], None] = {}
        self.first_answer = asyncio.Event()
        self.first_read = asyncio.Event()
        self.servers: dict[str, ServerState] = {}
        self.server_list = Replica("servers", self._apply_server)
        domain = DOMAINS[number % len(DOMAINS)]
        self._own = Member(self.host, self.host, 0.0, domain)
        self.members = FleetMembers(self.host, domain)
        self.member_list = Replica("members", self._apply_member)
        self.server_log = VmLog(self, "servers")
        self.member_log = VmLog(self, "members")
        self.origin_records = OriginRecords(
            self.host,
            VmLog(self, "origins"),
            self.members,
            fleet.read_clock,
            is_listed=lambda: self.members.own_entry_at is not None,
        )
        self.continuity = StreamContinuity(
            records=self.origin_records,
            read_view=lambda: self.server_list.confirmed_at,
            knows_members=lambda: self.member_list.started,
        )
        self.history = self.continuity.history
        directory = ServerDirectory()
        self.hints = HintExchange(
            self.host,
            Link(self),  # type: ignore[arg-type]
            1,
            self.members,
            PrefixHomes(directory.is_open),
            FailureGossip(directory, domain),
            LoadGossip(directory),
            notices=NoticeGossip(directory),
            continuity=self.continuity,
        )
        self.build_records = BuildRecords(
            VmLog(self, "builds"),
            self.members,
            self.history,
            fleet.random,
            is_first_start=is_first,
            is_listed=lambda: self.members.own_entry_at is not None,
            note_mixed=self._note_mixed,
            note=lambda event, **fields: None,
        )
        self.continuity.find_recorded_build = self._find_recorded_build
        for work in (self._follow_servers(), self._sweep(), self._send_hints()):
            self.run(work)
        for start in (
            self._follow_members,
            self._announce,
            self.build_records.run,
            self.origin_records.run,
        ):
            self.run(self._run_after_first_answer(start))

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in this VM."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(work, context=self.process.context)
        self._tasks[task] = None
        task.add_done_callback(self._tasks.pop)

    def kill(self) -> None:
        """End this VM."""
        self.process.is_killed = True
        for future in self.callers:
            finish(future, None)
        for task in self._tasks:
            work = task.get_coro()
            if inspect.getcoroutinestate(work) == inspect.CORO_CREATED:
                # It was due in a VM that was suspended.
                work.close()

    def receive(self, hints: PeerHints, host: str) -> None:
        """Apply a datagram."""
        self.hints.apply(hints, host, self.fleet.read_clock())

    def begin(self, stream: Stream) -> bool:
        """Let a stream begin at a server of this VM's list, if one lives.

        One of a build that is new is used only if there is no other.
        """
        builds = self.list_builds_served()
        if not builds or self.history.is_unread(SERVICE, self.fleet.read_clock()):
            return False
        new = self.history.list_new(SERVICE, self.fleet.read_clock())
        others = [build for build in builds if build not in new]
        stream.build = self.fleet.random.choice(others or builds)
        self.history.note_beginning(name_pair(stream.build))
        origin = StreamOrigin(SERVICE, stream.build)
        self.continuity.note_began(stream.key, origin, self.fleet.read_clock())
        return True

    def list_builds_served(self) -> list[str]:
        """Return the builds of this VM's servers that still run."""
        ends = self.fleet.server_ends
        now = self.fleet.read_clock()
        names = [name for name in self.servers if ends.get(name, now) >= now]
        return [self.servers[name].server.build for name in names]

    async def _find_recorded_build(self, service: str) -> str | None:
        self._note_builds()
        return await self.build_records.find_only_build(service)

    async def take_up(self, stream: Stream, outcome: asyncio.Future[Any]) -> None:
        """Decide whether a stream goes on here, and check that."""
        await self.first_read.wait()
        found = await self.continuity.find(stream.key, SERVICE)
        is_served = False
        if found.is_allowed:
            build = found.origin.build if found.origin else None
            self.fleet.check(self, stream, build, found.ground)
            is_served = build in self.list_builds_served()
        else:
            self.fleet.counts[f"refused: {found.ground}"] += 1
        finish(outcome, is_served)

    def _apply_server(self, record: Record) -> None:
        if record.value is None:
            self.servers.pop(record.key, None)
            return
        build = record.value.decode()
        entry = BackendServer(record.key, SERVICE, "127.0.0.1", 1, build=build)
        self.servers[record.key] = ServerState(entry)
        if self.history.is_new(SERVICE, build):
            self._note_builds()

    def _note_builds(self) -> None:
        now = self.fleet.read_clock()
        self.history.note_view(self.server_list.confirmed_at)
        for service in self.history.note_servers(self.servers.values(), now):
            self._note_mixed(service)
        for state in self.servers.values():
            self.fleet.seen_at.setdefault(state.server.build, now)

    def _note_mixed(self, service: str) -> None:
        self.continuity.note_mixed(service, self.fleet.read_clock())

    def _apply_member(self, record: Record) -> None:
        self.members.apply_record(record, self.fleet.read_clock())

    async def _run_after_first_answer(
        self, start: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        await self.first_answer.wait()
        await start()

    async def _announce(self) -> None:
        await announce(self.member_log, self._own)

    async def _follow_servers(self) -> None:
        await self._follow(
            self.server_list, self.server_log, LIST_PAUSE_S, self.first_read.set
        )

    async def _follow_members(self) -> None:
        pauses = (MEMBER_PAUSE_S, MEMBER_PAUSE_S)
        await self._follow(self.member_list, self.member_log, pauses, lambda: None)

    async def _follow(
        self,
        replica: Replica,
        log: VmLog,
        pauses: tuple[float, float],
        note_read: Callable[[], None],
    ) -> None:
        """Read a table again and again."""
        timeout_s = FIRST_READ_TIMEOUT_S
        while True:
            asked_at = self.fleet.read_clock()
            try:
                batch = await log.read_newest(timeout_s=timeout_s)
            except LogUnavailableError:
                if self.fleet.kind.serves_unread:
                    note_read()
                await asyncio.sleep(RETRY_S)
                continue
            timeout_s = READ_TIMEOUT_S
            replica.replace(batch.records, batch.position, asked_at)
            note_read()
            await asyncio.sleep(self.fleet.random.uniform(*pauses))

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self._note_builds()
            self.continuity.origins.evict_expired(self.fleet.read_clock())

    async def _send_hints(self) -> None:
        while True:
            await asyncio.sleep(MIN_PERIOD_S)
            self.hints.send_due(self.fleet.read_clock())


@dataclass(slots=True)
class Stream:
    """A stream of a caller.

    Attributes:
        key: its key.
        build: at which it began.
        began_at: when, by the fleet's clock.
    """

    key: int
    build: str = ""
    began_at: float = 0.0


class BuildFleet:
    """The VMs, the tables of the log, the servers and the callers of one schedule.

    Args:
        seed: of all that is drawn.
        kind: what the schedule contains.
        script: events in place of drawn ones, each with its time in seconds after the
            fleet's start, as ``0.5 add v2, 1 suspend 0 2.5, 2 kill all``.

    Attributes:
        kind: what the schedule contains.
        events: what happened, for a report.
        wrong: take-ups that broke the invariant.
        counts: decisions by their ground, take-ups, and how many went on.
        seen_at: when the first VM read of a build that came.
        added_at: when each build last came.
        changes_from: the time before which no build changes.
    """

    def __init__(self, seed: int, kind: Kind, script: str = "") -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.kind = kind
        self._script = script
        self.events: list[str] = []
        self.wrong: list[str] = []
        self.counts: Counter[str] = Counter()
        self.vms: dict[str, Vm] = {}
        self.tables = {name: Table() for name in TABLES}
        self.server_ends: dict[str, float] = {}
        self.present: dict[str, list[str]] = {}
        self.added_at: dict[str, float] = {}
        self.changes_from = 0.0
        self.seen_at: dict[str, float] = {}
        self.faults: list[Fault] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self._numbers = 0

    def play(self) -> None:
        """Play the schedule."""
        play(self._play)

    def read_clock(self) -> float:
        """Return the fleet's time."""
        return asyncio.get_running_loop().time()

    def deliver(self, hints: PeerHints, sender: str, host: str) -> None:
        """Deliver a datagram to the VM that has an address now."""
        vm = self.vms[host]
        loop = asyncio.get_running_loop()
        loop.call_soon(vm.receive, hints, sender, context=vm.process.context)

    def find_fault(self, host: str, table: str, *, is_write: bool) -> Fault | None:
        """Return the fault of the log that a VM's call meets now."""
        now = self.read_clock()
        for fault in self.faults:
            concerns = fault.hosts is None or host in fault.hosts
            concerns = concerns and table in fault.tables
            fails = fault.writes if is_write else fault.reads
            if now < fault.until and concerns and fails:
                return fault
        return None

    def check(self, vm: Vm, stream: Stream, build: str | None, ground: str) -> None:
        """Check that a take-up that is allowed names the stream's build."""
        self.counts[f"allowed: {ground}"] += 1
        if build == stream.build:
            return
        now = self.read_clock()
        held = vm.history.list_builds(SERVICE)
        seen_at = self.seen_at.get(stream.build, now)
        if stream.build not in held and now - seen_at < UNTOLD_S:
            self.counts[UNTOLD] += 1
            return
        self._note(
            f"{vm.number} allows {build}, began at {stream.build} at "
            f"{stream.began_at:.3f}; ground {ground}, holds {held}"
        )
        self.wrong.append(self.events[-1])

    # The schedule.

    async def _play(self) -> None:
        chance = self.random
        is_first = chance.random() < 0.3
        self._add_build("v1")
        if not is_first:
            for pair in (name_pair("v1"), COMPLETE):
                servers = self.present.get(pair.build, [])
                value = encode_build(pair, servers)
                self.tables["builds"].put(name_record(pair), value)
        for number in range(chance.choice((2, 3, 4, 7))):
            member = MemberRecord(name_host(number), DOMAINS[number % len(DOMAINS)])
            value = msgspec.json.encode(member)
            self.tables["members"].put(member.host, value)
            self._start(number, is_first=is_first)
        await asyncio.sleep(2.0)
        length_s = chance.uniform(*self.kind.seconds)
        ends_at = self.read_clock() + length_s
        # Until the first change streams need no origin; after it nearly all do.
        self.changes_from = chance.choice((0.0, chance.uniform(2.0, 1.0 + length_s)))
        self.changes_from += self.read_clock()
        mean_s = chance.choice((0.7, 1.5, 4.0))
        begin = asyncio.create_task(self._begin_streams(ends_at))
        for event in filter(None, self._script.split(", ")):
            at, name, *words = event.split()
            self._later(float(at), self._play_event, name, words)
        while self.read_clock() < ends_at and not self._script:
            await asyncio.sleep(chance.expovariate(1 / mean_s))
            self._disturb()
        await begin
        await asyncio.sleep(REST_S)
        for vm in self.vms.values():
            vm.kill()

    def _play_event(self, name: str, words: list[str]) -> None:
        """Play an event of the script."""
        match name, words:
            case "add", [build]:
                self._add_build(build)
            case "drop", [build]:
                self._drop_build(build)
            case "fail", [tables, what, seconds]:
                until = self.read_clock() + float(seconds)
                names = tuple(tables.split("+"))
                is_read = what == "reads"
                fault = Fault(until, None, names, is_read, not is_read, True, False)
                self.faults.append(fault)
            case _, [which, *seconds]:
                numbers = [vm.number for vm in self.vms.values()]
                for number in numbers if which == "all" else [int(which)]:
                    self._play_vm_event(name, number, *map(float, seconds))

    def _play_vm_event(self, name: str, number: int, seconds: float = 0.0) -> None:
        if name == "kill":
            self._kill_vm(number)
        elif name == "start":
            self._start(number)
        else:
            self._suspend_vm(self.vms[name_host(number)], seconds)

    def _note(self, event: str) -> None:
        self.events.append(f"{self.read_clock():.3f} {event}")

    def _later(self, delay_s: float, call: Callable[..., None], *args: object) -> None:
        asyncio.get_running_loop().call_later(delay_s, call, *args, context=OUTSIDE)

    def _disturb(self) -> None:
        events: dict[Callable[[], None], float] = {self._kill: 4, self._suspend: 3}
        if self.kind.changes:
            events[self._change] = 4
        if self.kind.log_fails:
            events[self._fail_log] = 2
        self.random.choices(list(events), list(events.values()))[0]()

    def _choose_vms(self) -> list[Vm]:
        """Return one VM, several, or all."""
        vms = list(self.vms.values())
        count = self.random.choice((1, self.random.randint(1, len(vms)), len(vms)))
        return self.random.sample(vms, count)

    def _kill(self) -> None:
        chance, vms = self.random, self._choose_vms()
        stagger_s = chance.choice((0.0, 0.0, 0.3, 2.0))
        down_s = chance.choice((0.05, 1.0, 5.0))
        latest_s = 0.0
        for vm in vms:
            kill_s = chance.uniform(0.0, stagger_s)
            start_s = kill_s + chance.uniform(0.0, down_s)
            latest_s = max(latest_s, kill_s)
            self._later(kill_s, self._kill_vm, vm.number)
            self._later(start_s, self._start, vm.number)
            if chance.random() < 0.3:
                again_s = start_s + chance.choice((0.05, 0.3, 1.0, 3.0))
                self._later(again_s, self._kill_vm, vm.number)
                self._later(again_s + chance.uniform(0, 2), self._start, vm.number)
        if self.kind.changes and chance.random() < 0.4:
            self._later(latest_s + chance.uniform(-0.3, 0.3), self._change)

    def _kill_vm(self, number: int) -> None:
        self._note(f"kill {number}")
        self.vms[name_host(number)].kill()

    def _start(self, number: int, is_first: bool = False) -> None:
        known = self.vms.get(name_host(number))
        if known is None or known.process.is_killed:
            self._note(f"start {number}")
            self.vms[name_host(number)] = Vm(self, number, is_first=is_first)

    def _suspend(self) -> None:
        for vm in self._choose_vms():
            if vm.process.is_running:
                length_s = self.random.choice((0.3, 2.0, 4.0, 12.0))
                length_s = self.random.uniform(0.0, length_s)
                self._suspend_vm(vm, length_s)
                if self.kind.changes and self.random.random() < 0.3:
                    self._later(self.random.uniform(0.0, length_s), self._change)

    def _suspend_vm(self, vm: Vm, length_s: float) -> None:
        self._note(f"suspend {vm.number} for {length_s:.2f}")
        vm.process.is_suspended = True
        self._later(length_s, self._resume, vm)

    def _resume(self, vm: Vm) -> None:
        if not vm.process.is_killed:
            self._note(f"resume {vm.number}")
            asyncio.get_running_loop().resume(
                vm.process,
                self.random,
                lambda handle: self.kind.reads_first and handle.callback == vm.receive,
            )

    def _fail_log(self) -> None:
        chance = self.random
        hosts = None
        if chance.random() < 0.5:
            hosts = frozenset(vm.host for vm in self._choose_vms())
        tables = chance.choice((TABLES, ("builds",), ("builds", "origins")))
        reads, writes = chance.choice(((True, True), (True, False), (False, True)))
        fault = Fault(
            self.read_clock() + chance.uniform(0, chance.choice((1.0, 5.0, 15.0))),
            hosts,
            tables,
            reads,
            writes,
            is_silent=chance.random() < 0.5,
            is_done=chance.random() < 0.3,
        )
        self._note(f"log fails: {fault}")
        self.faults.append(fault)

    def _change(self) -> None:
        """Let a build come, go, or give way to another."""
        chance = self.random
        if self.read_clock() < self.changes_from:
            return
        absent = [build for build in BUILDS if build not in self.present]
        if not absent or (len(self.present) > 1 and chance.random() < 0.5):
            self._drop_build(chance.choice(list(self.present)))
            return
        new, old = chance.choice(absent), chance.choice(list(self.present))
        self._add_build(new)
        wait_s = chance.uniform(0.0, chance.choice((0.0, 0.5, 3.0, 10.0)))
        kind = chance.random()
        if kind < 0.5:
            self._later(wait_s, self._drop_build, old)
        elif kind < 0.7:
            self._later(wait_s, self._drop_build, new)

    def _add_build(self, build: str) -> None:
        if build in self.present:
            return
        self._note(f"add {build}")
        self.added_at[build] = self.read_clock()
        self.seen_at.pop(build, None)
        names = []
        for _ in range(self.random.randint(1, 2)):
            self._numbers += 1
            names.append(f"s{self._numbers}")
            self.tables["servers"].put(names[-1], build.encode())
        self.present[build] = names

    def _drop_build(self, build: str) -> None:
        if build not in self.present or len(self.present) == 1:
            return
        stays_s = self.added_at[build] + self.kind.stay_s - self.read_clock()
        if self.kind.leaves_recorded and not self.has_record(build):
            stays_s = max(stays_s, RECHECK_S)
        if stays_s > 0:
            self._later(stays_s, self._drop_build, build)
            return
        self._note(f"drop {build}")
        for name in self.present.pop(build):
            self.tables["servers"].put(name, None)
            self.server_ends[name] = self.read_clock() + self.random.uniform(0, 3)

    # Callers.

    async def _begin_streams(self, ends_at: float) -> None:
        while self.read_clock() < ends_at:
            newest_at = max(self.added_at.values())
            is_new = self.read_clock() < newest_at + NEW_S
            rate_per_s = NEW_STREAMS_PER_S if is_new else STREAMS_PER_S
            await asyncio.sleep(self.random.expovariate(rate_per_s))
            running = [vm for vm in self.vms.values() if vm.process.is_running]
            if not running:
                continue
            self._numbers += 1
            stream = Stream(hash_stream("choir", b"a%d" % self._numbers))
            vm = self.random.choice(running)
            if vm.process.context.run(vm.begin, stream):
                stream.began_at = self.read_clock()
                self.tasks.add(asyncio.create_task(self._call(vm, stream)))

    async def _call(self, vm: Vm | None, stream: Stream) -> None:
        """Read a stream that breaks off, and take it up, some times."""
        chance, ends_at = self.random, self.read_clock() + MAX_STREAM_S
        while vm is not None and self.read_clock() < ends_at:
            read_s = chance.uniform(0.0, chance.choice((0.1, 0.4, 2.0, 8.0)))
            await self._wait(vm, asyncio.get_running_loop().create_future(), read_s)
            if chance.random() < 0.3:
                return
            vm = await self._take_up(stream)
            self.counts["taken up"] += 1
            self.counts["went on"] += vm is not None

    async def _take_up(self, stream: Stream) -> Vm | None:
        """Take a stream up; return the VM at which it goes on, or None."""
        chance = self.random
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + WAIT_S
        await asyncio.sleep(chance.uniform(0.0, chance.choice((0.1, 0.3, 1.0, 10.0))))
        while True:
            vm = chance.choice(list(self.vms.values()))
            if not vm.process.is_killed:
                outcome = loop.create_future()
                vm.run(vm.take_up(stream, outcome))
                if await self._wait(vm, outcome, PATIENCE_S):
                    return vm
            if loop.time() > ends_at:
                return None
            await asyncio.sleep(chance.uniform(0.1, 0.6))

    async def _wait(
        self, vm: Vm, outcome: asyncio.Future[Any], timeout_s: float
    ) -> object:
        """Wait for an outcome, while the VM lives; None without one."""
        vm.callers[outcome] = None
        await asyncio.wait([outcome], timeout=timeout_s)
        del vm.callers[outcome]
        return outcome.result() if outcome.done() else None

    def has_record(self, build: str) -> bool:
        """Return whether the records contain a build."""
        record = self.tables["builds"].records.get(name_record(name_pair(build)))
        return record is not None and bool(record.value)


def name_pair(build: str) -> ServiceBuild:
    """Return a build of the service."""
    return ServiceBuild(SERVICE, build)


def name_host(number: int) -> str:
    """Return the address of a VM, which is also its name."""
    return f"10.0.0.{number}"
