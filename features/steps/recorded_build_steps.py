"""Steps: the one recorded build, when a build is recorded, and what that reads."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace
from unittest import mock

from behave import given, then, when

from features.steps.restart_steps import (
    KEY,
    SERVICE,
    Clock,
    StartedVm,
    build_state,
    name_pair,
)
from ramppin.errors import LogUnavailableError
from ramppin.gateway.process.membership.members import FleetMembers
from ramppin.gateway.process.routing.buildrecords import (
    BuildRecords,
    decode_build,
    encode_build,
    name_record,
)
from ramppin.gateway.process.routing.continuity import Continuation, StreamContinuity
from standins.tables import TableStandIn


class TakingVm:
    """A VM that has read the records and its servers, in a running loop."""

    def __init__(self, table: TableStandIn, builds: str) -> None:
        self.table = table
        self.states = [build_state(build) for build in builds.split()]
        self.continuity = StreamContinuity()
        self.history = self.continuity.history
        self.records = BuildRecords(
            table,
            FleetMembers("vm-1", "porto"),
            self.history,
            random.Random(1),
            is_first_start=False,
            is_listed=lambda: True,
            note_mixed=lambda service: None,
            note=lambda event, **fields: None,
        )
        self.continuity.find_recorded_build = self.records.find_only_build
        self.observe()

    def observe(self) -> None:
        """Read the list of servers."""
        self.history.note_servers(self.states, asyncio.get_running_loop().time())

    async def take_up(self, key: int = KEY) -> Continuation:
        """Return where a stream may go on."""
        return await self.continuity.find(key, SERVICE)


@given('records of the builds "{builds}" with their servers: {case}')
def step_records(context, builds, case):
    context.clock, context.log_table = Clock(), TableStandIn()
    context.log_table.away = builds == "away"
    for build in builds.replace("away", "").split():
        pair = name_pair(build)
        value = encode_build(pair, [f"s-{build}"])
        context.log_table.put(name_record(pair), value)


def record_v2(table: TableStandIn) -> None:
    """Record the new build, as another VM does."""
    table.put(name_record(name_pair("v2")), encode_build(name_pair("v2")))


@when(
    'a stream of unknown origin is taken up where servers of "{builds}" serve: {case}'
)
def step_take_up(context, builds, case):
    async def play():
        vm = TakingVm(context.log_table, builds)
        first = vm.states[0]
        if "leaves" in case:
            first.server = replace(first.server, draining=True)
        if "other servers" in case:
            vm.states[0] = build_state("v1", "s-other")
        vm.observe()
        if not vm.table.away:
            await vm.records._update()
        if "3 s old" in case:
            read_at = asyncio.get_running_loop().time() - 3.0
            vm.continuity.read_view = lambda: read_at
        if "began here" in case:
            vm.history.note_beginning(name_pair("v2"))
        if "since this one read" in case:
            record_v2(vm.table)
        if "a read began" not in case:
            return await vm.take_up()
        reading = asyncio.create_task(read_slowly(vm))
        await asyncio.sleep(0)
        record_v2(vm.table)
        found = await vm.take_up()
        await reading
        return found

    context.found = context.loop.run_until_complete(play())


async def read_slowly(vm: TakingVm) -> None:
    """Read the records, with an answer that takes a while."""
    read_newest = vm.table.read_newest

    async def answer_late(*, timeout_s: float):
        vm.table.read_newest = read_newest
        batch = await read_newest(timeout_s=timeout_s)
        await asyncio.sleep(0.05)
        return batch

    vm.table.read_newest = answer_late
    await vm.records._read()


@then('the stream goes on at "{build}"')
def step_goes_on(context, build):
    found = context.found
    at = found.origin.build if found.is_allowed and found.origin else "none"
    assert at == build, found


@when('a VM of servers of "v1" observes "v2" for {seconds:g} s: {case}')
def step_observe(context, seconds, case):
    vm = context.vm = StartedVm(context, "v1", is_first=False)
    vm.states = [build_state("v1")]
    vm.run(5.0)
    vm.states.append(build_state("v2"))
    vm.tick()
    if "begins there" in case:
        vm.history.note_beginning(name_pair("v2"))
    for _ in range(round(seconds / 0.5)):
        if "goes on at v1" in case and "no stream" not in case:
            vm.history.note_resumed(SERVICE, vm.clock.now)
        vm.run(0.5)


@when("another server takes the place of the recorded one for {seconds:d} s: {case}")
def step_replace(context, seconds, case):
    vm = StartedVm(context, "", is_first=False)
    beside = [build_state("v2")] if "beside" in case else []
    vm.states = [build_state("v1"), *beside]
    vm.run(5.0)
    vm.states = [build_state("v1", "s-other"), *beside]
    vm.run(float(seconds))


@then('the record of "{build}" names the {which} server')
def step_names(context, build, which):
    batch = context.loop.run_until_complete(context.log_table.read_newest())
    records = [r for r in map(decode_build, batch.records) if r is not None]
    [found] = [record for record in records if record.build == build]
    expected = {"first": f"s-{build}", "other": "s-other"}[which]
    assert found.servers == [expected], found


@when(
    'a VM reads a list with servers "{names}" of "{build}", the first of which it has '
    "looked at"
)
def step_read_list(context, names, build):
    vm = StartedVm(context, "", is_first=False)
    states = [build_state(build, name) for name in names.split()]
    vm.states = states[:1]
    vm.history.note_view(vm.confirmed_at)
    vm.history.note_servers(vm.states, vm.clock.now)

    def observe_servers() -> None:
        vm.history.note_servers(states, vm.clock.now)

    vm.records._observe_servers = observe_servers
    vm.tick()


@then('the record of "{build}" names the servers "{names}"')
def step_names_servers(context, build, names):
    batch = context.loop.run_until_complete(context.log_table.read_newest())
    records = [r for r in map(decode_build, batch.records) if r is not None]
    [found] = [record for record in records if record.build == build]
    assert found.servers == names.split(), found


@when("{count:d} streams of unknown origin are taken up within {seconds:g} s")
def step_take_up_many(context, count, seconds):
    take_up_many(context, count, seconds)


@when(
    "{count:d} streams of unknown origin are taken up within {seconds:g} s while the "
    "store refuses"
)
def step_take_up_refused(context, count, seconds):
    take_up_many(context, count, seconds, is_away=True)


def take_up_many(context, count: int, seconds: float, *, is_away: bool = False) -> None:
    """Take streams up at a VM that has read the records once."""

    async def play():
        vm = TakingVm(context.log_table, "v1 v2")
        await vm.records._update()
        context.log_table.reads, context.log_table.away = 0, is_away
        loop = asyncio.get_running_loop()
        taking, began_at = [], loop.time()
        for number in range(count):
            taking.append(asyncio.create_task(vm.take_up(KEY + number)))
            await asyncio.sleep(seconds / count)
        found = await asyncio.gather(*taking)
        context.took_s = loop.time() - began_at
        assert all(f.is_allowed != is_away for f in found), found

    context.loop.run_until_complete(play())


@then("the records are read about once each {pause_s:g} s at most")
def step_reads(context, pause_s):
    # One read may be under way at the beginning, and one at the end.
    most = context.took_s / pause_s + 2
    assert context.log_table.reads <= most, (context.log_table.reads, context.took_s)


@when('a VM whose reads fail lets a stream begin at "{build}"')
def step_begin_unread(context, build):
    vm = StartedVm(context, "", is_first=False)
    vm.states = [build_state("v1"), build_state(build)]
    vm.history.note_servers(vm.states, vm.clock.now)
    vm.history.note_beginning(name_pair(build))
    with mock.patch.object(context.log_table, "read_newest", refuse_read):
        vm.run(0.5)


async def refuse_read(*, timeout_s: float) -> None:
    """Fail, as a table does whose reads are refused."""
    raise LogUnavailableError("429")


@when(
    "a stream is about to begin at a VM that started {seconds:d} s ago, where "
    '"v1" and "v2" serve'
)
def step_begin_later(context, seconds):
    async def play():
        vm = TakingVm(context.log_table, "v1 v2")
        vm.history._read_first_at -= seconds
        began_at = asyncio.get_running_loop().time()
        await vm.continuity.wait_for_records(SERVICE)
        context.waited = asyncio.get_running_loop().time() - began_at > 0.005

    context.loop.run_until_complete(play())


@then("it does not wait")
def step_no_wait(context):
    assert not context.waited


@when(
    "a stream is about to begin at a VM that has just started, where "
    '"v1" and "v2" serve'
)
def step_begin_early(context):
    async def play():
        vm = TakingVm(context.log_table, "v1 v2")
        waiting = asyncio.create_task(vm.continuity.wait_for_records(SERVICE))
        await asyncio.sleep(0.05)
        context.waited = not waiting.done()
        await vm.records._update()
        await waiting
        context.new = vm.history.list_new(SERVICE, asyncio.get_running_loop().time())

    context.loop.run_until_complete(play())


@then("it waits until the records are read")
def step_waits(context):
    assert context.waited
    assert context.new == {"v2"}, context.new
