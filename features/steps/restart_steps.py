"""Steps: what a VM that starts takes for certain of builds and streams."""

from __future__ import annotations

import asyncio
import random
from unittest import mock

import msgspec
from behave import given, then, when

from features.gateway_support import is_yes
from ramppin.gateway.connection.datagrams import PeerHints
from ramppin.gateway.process.load.gossip import LoadGossip
from ramppin.gateway.process.membership.members import FleetMembers, MemberRecord
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.routing import buildrecords
from ramppin.gateway.process.routing.buildhistory import BuildHistory
from ramppin.gateway.process.routing.buildrecords import (
    COMPLETE,
    BuildRecords,
    decode_build,
    encode_build,
    name_record,
)
from ramppin.gateway.process.routing.continuity import StreamContinuity
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.failuregossip import FailureGossip
from ramppin.gateway.process.routing.hints import HintExchange
from ramppin.gateway.process.routing.homes import PrefixHomes
from ramppin.gateway.process.routing.originrecords import SLOT_S, SLOTS, OriginRecords
from ramppin.gateway.process.routing.recordedservers import ServiceBuild
from ramppin.gateway.process.routing.serverstate import BackendServer, ServerState
from ramppin.gateway.process.routing.streamkeepers import StreamKeepers
from ramppin.gateway.process.routing.streamorigins import (
    StreamOrigin,
    build_conflict,
)
from ramppin.gateway.request.serverchoice import ServerChoice
from standins.tables import TableStandIn

SERVICE = "m"
KEY = 0x1234_5678_9ABC_DEF0
TICK_S = 0.1


class Clock:
    """A loop's clock that the test sets."""

    now = 1000.0

    def time(self) -> float:
        return self.now


class StartedVm:
    """What one VM holds of builds, without its other parts."""

    def __init__(self, context, builds: str, *, is_first: bool) -> None:
        self._context = context
        self.clock = context.clock
        self.confirmed_at = self.clock.now
        names = ["" if name == "-" else name for name in builds.split()]
        self.states = [
            ServerState(BackendServer(f"s{n}", SERVICE, "127.0.0.1", n, build=name))
            for n, name in enumerate(names)
        ]
        self.history = BuildHistory()
        self.records = BuildRecords(
            context.log_table,
            FleetMembers("vm-1", "porto"),
            self.history,
            random.Random(1),
            is_first_start=is_first,
            is_listed=lambda: True,
            note_mixed=lambda service: None,
            note=lambda event, **fields: None,
        )

    def tick(self) -> None:
        """Do what is due, as often as a running VM does."""
        self.history.note_view(self.confirmed_at)
        self.history.note_servers(self.states, self.clock.now)
        with mock.patch.object(buildrecords.asyncio, "get_running_loop", self._loop):
            try:
                self._context.loop.run_until_complete(self.records._update())
            except buildrecords.LogUnavailableError:
                return

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / TICK_S)):
            self.clock.now += TICK_S
            self.confirmed_at = self.clock.now
            self.tick()

    def _loop(self) -> Clock:
        return self.clock


def name_pair(build: str) -> ServiceBuild:
    return COMPLETE if build == "complete" else ServiceBuild(SERVICE, build)


@given('records of the builds "{builds}"')
def step_records(context, builds):
    context.clock, context.log_table = Clock(), TableStandIn()
    context.log_table.away = builds == "away"
    for build in builds.replace("away", "").split():
        pair = name_pair(build)
        value = b"\xc1" if build == "bad" else encode_build(pair)
        context.log_table.put(name_record(pair), value)


@given('records of the builds ""')
def step_no_records(context):
    step_records(context, "")


@when(
    'a VM starts that sees servers of "{builds}", the fleet\'s first start: {is_first}'
)
def step_start(context, builds, is_first):
    context.vm = StartedVm(context, builds, is_first=is_yes(is_first))
    context.vm.tick()


@when('a second VM starts that sees servers of "{builds}"')
def step_second(context, builds):
    context.vm = StartedVm(context, builds, is_first=False)
    context.vm.run(4.0)


@when("{seconds:d} s pass")
def step_pass(context, seconds):
    context.vm.run(float(seconds))


@when('its list of servers is outdated for {seconds:d} s, and another VM records "v2"')
def step_outdated(context, seconds):
    vm = context.vm
    context.clock.now += seconds
    vm.tick()
    pair = name_pair("v2")
    context.log_table.put(name_record(pair), encode_build(pair))
    vm.confirmed_at = context.clock.now
    vm.history.note_view(vm.confirmed_at)
    assert vm.history.find_only_build(SERVICE, context.clock.now) is None
    vm.tick()


@then('the only build of its service is "{only}"')
def step_only(context, only):
    found = context.vm.history.find_only_build(SERVICE, context.clock.now)
    assert found == {"none": None, "-": ""}.get(only, only), found


@then('the records contain "{builds}"')
def step_contain(context, builds):
    batch = context.loop.run_until_complete(context.log_table.read_newest())
    records = [r for r in map(decode_build, batch.records) if r is not None]
    found = {record.pair for record in records}
    assert found == {name_pair(build) for build in builds.split()}, found


# origins


@given('a stream that began at "v1" is recorded {age:d} s ago: {case}')
def step_recorded(context, age, case):
    context.log_table, context.time_s = TableStandIn(), 5000.0
    members = FleetMembers("vm-1", "porto")
    records = OriginRecords("vm-1", context.log_table, members, lambda: context.time_s)

    async def record(key: int, build: str) -> None:
        records.note(key, StreamOrigin(SERVICE, build), 0.0)
        for name in list(records._unwritten):
            await records._write(name)

    async def play() -> None:
        await record(KEY, "v1")
        context.time_s += age
        if "same key" in case:
            await record(KEY, "v2")
        if "used again" in case:
            context.time_s += SLOTS * SLOT_S - age
            await record(KEY + (1 << 40), "v2")
        if "decoded" in case:
            context.log_table.put("0/x", b"\xc1")
        context.log_table.away = "away" in case

    context.loop.run_until_complete(play())


@when("a VM that has just started reads where it began")
def step_read_origin(context):
    members = FleetMembers("vm-2", "porto")
    records = OriginRecords("vm-2", context.log_table, members)
    context.found = context.loop.run_until_complete(records.find(KEY))


@then('it finds "{found}"')
def step_found(context, found):
    expected = {
        "conflict": (build_conflict(SERVICE), True),
        "none": (None, True),
        "unread": (None, False),
    }
    wanted = expected.get(found, (StreamOrigin(SERVICE, found), True))
    assert context.found == wanted, context.found


# what a review found


@when('another VM removes the record of "{build}", and the VM reads the records again')
def step_removed_elsewhere(context, build):
    vm = context.vm
    context.log_table.put(name_record(name_pair(build)), b"")
    vm.history.reads_due += 1
    vm.tick()


@when("the log is away for {seconds:d} s")
def step_away(context, seconds):
    context.log_table.away = True
    context.vm.run(float(seconds))
    context.log_table.away = False


@when(
    'the log is away for {seconds:d} s, after a build "{new}" came, and "{old}" comes '
    "back at the end"
)
def step_away_and_back(context, seconds, new, old):
    vm = context.vm
    context.log_table.away = True
    vm.states.append(build_state(new))
    vm.run(float(seconds))
    vm.states.append(build_state(old))
    vm.run(0.5)
    context.log_table.away = False


@when("another VM counts as the writer")
def step_other_writer(context):
    context.vm.records._is_writer = lambda now: False


@when("a VM starts whose list of servers cannot be read for {seconds:d} s")
def step_no_view(context, seconds):
    context.vm = StartedVm(context, "", is_first=False)
    context.vm.confirmed_at = float("-inf")
    for _ in range(seconds):
        context.clock.now += 1.0
        context.vm.tick()


@when('its list of servers is read, with servers of "{build}"')
def step_first_view(context, build):
    context.vm.states = [build_state(build)]
    context.vm.confirmed_at = context.clock.now
    context.vm.tick()


@when("a VM starts whose read of the records is answered after a suspension")
def step_read_over_gap(context):
    context.vm = vm = StartedVm(context, "v1", is_first=False)
    read_newest = context.log_table.read_newest

    async def read_slowly(*, timeout_s: float):
        batch = await read_newest(timeout_s=timeout_s)
        vm.clock.now += 10.0
        vm.confirmed_at = vm.clock.now
        vm.history.note_view(vm.confirmed_at)
        return batch

    context.log_table.read_newest = read_slowly
    vm.tick()


def build_state(build: str, name: str = "") -> ServerState:
    name = name or f"s-{build}"
    return ServerState(BackendServer(name, SERVICE, "127.0.0.1", 9, build=build))


@then('a VM that knows a stream of "{build}" sends its origin when "mixed" is reported')
def step_report(context, build):
    members = FleetMembers("vm-1", "porto")
    entry = msgspec.json.encode(MemberRecord("10.0.0.2", "porto"))
    members.apply_record(Record("vm-2", entry, 0), 1000.0)
    continuity, sent = StreamContinuity(), []
    homes = PrefixHomes(lambda server: True)
    directory = ServerDirectory()
    hints = HintExchange(
        "vm-1",
        mock.Mock(send=lambda message, hosts, port: sent.extend(message.origins)),
        1,
        members,
        homes,
        FailureGossip(directory, "porto"),
        LoadGossip(directory),
        continuity=continuity,
    )
    history = continuity.history
    history.past_known.set()
    history.note_servers([build_state(build)], 1000.0)
    continuity.note_began(KEY, StreamOrigin(SERVICE, build), 1000.0)
    assert not sent
    hints.apply(PeerHints("vm-2", [], mixed=[SERVICE]), "10.0.0.2", 1000.1)
    assert [hint.key for hint in sent] == [KEY], sent


@then("a stream of the only build, whose servers are all gone, may come back soon")
def step_all_gone(context):
    history = BuildHistory()
    history.past_known.set()
    history.note_servers([build_state("v1")], 1000.0)
    choice = object.__new__(ServerChoice)
    choice.origin = StreamOrigin(SERVICE, "v1")
    choice._admission = mock.Mock(service=SERVICE)
    choice._context = mock.Mock(directory=ServerDirectory())
    choice._context.continuity.history = history
    assert history.find_only_build(SERVICE, 1000.1) == "v1"
    assert not choice._is_build_gone()


@then(
    "{takeups:d} take-ups one after the other cause at most {most:d} reads of "
    "origins that fail"
)
def step_reads(context, takeups, most):
    table = TableStandIn()
    table.away = True
    records = OriginRecords("vm-1", table, FleetMembers("vm-1", "porto"))

    async def play() -> None:
        for number in range(takeups):
            await records.find(KEY + (number << 20))

    context.loop.run_until_complete(play())
    assert table.reads <= most, table.reads


@then(
    "origins of {seconds:d} s that cannot be written cause at most {most:d} calls in "
    "a second"
)
def step_writes(context, seconds, most):
    table, now, calls = TableStandIn(), 5000.0, []

    async def refuse(key: str, value: bytes) -> None:
        calls.append(key)
        await asyncio.sleep(0.004)
        raise buildrecords.LogUnavailableError("429")

    table.append = refuse
    time_of_day = [now]
    members = FleetMembers("vm-1", "porto")
    records = OriginRecords("vm-1", table, members, lambda: time_of_day[0])
    for number in range(round(seconds / SLOT_S)):
        time_of_day[0] = now + number * SLOT_S
        records.note(KEY + (number << 20), StreamOrigin(SERVICE, "v1"), 0.0)

    async def play() -> None:
        task = asyncio.create_task(records.run())
        await asyncio.sleep(1.0)
        task.cancel()

    context.loop.run_until_complete(play())
    assert len(calls) <= most, len(calls)


@then(
    "a VM whose list is {age:d} s old, and whose others fell silent {silent:d} s "
    "ago, refuses a take-up"
)
def step_cut_off(context, age, silent):
    async def play():
        now = asyncio.get_running_loop().time()
        members = FleetMembers("vm-1", "porto")
        entry = msgspec.json.encode(MemberRecord("10.0.0.2", "porto"))
        members.apply_record(Record("vm-2", entry, 0), now - silent)
        continuity = StreamContinuity(read_view=lambda: now - age)
        continuity.keepers = StreamKeepers(continuity.origins, members)
        continuity.history.past_known.set()
        continuity.history.note_servers([build_state("v1")], now)
        return await continuity.find(KEY, SERVICE)

    found = context.loop.run_until_complete(play())
    assert not found.is_allowed, found
