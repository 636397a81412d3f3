"""Steps: streams that begin at builds which the records lack, and who is told."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import math
from unittest import mock

import msgspec
from behave import then, when

from features.steps.recorded_build_steps import TakingVm, record_v2
from features.steps.restart_review_steps import build_path, goes_on_at, refuse_write
from features.steps.restart_steps import (
    KEY,
    SERVICE,
    TICK_S,
    StartedVm,
    build_state,
    name_pair,
)
from features.virtual_loop import play as play_virtually
from ramppin.errors import LogUnavailableError
from ramppin.gateway.connection.datagrams import OriginHint
from ramppin.gateway.process.membership.members import FleetMembers, MemberRecord
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.routing.buildrecords import decode_build, name_record
from ramppin.gateway.process.routing.streamkeepers import StreamKeepers
from ramppin.gateway.request.serverchoice import ServerChoice
from standins.tables import TableStandIn

FULL_RETENTION_S = 60.0


def list_recorded(context) -> list[str]:
    """Return the builds that the log's table contains."""
    batch = context.loop.run_until_complete(context.log_table.read_newest())
    records = [r for r in map(decode_build, batch.records) if r is not None]
    return sorted(record.build for record in records)


# records that another VM removed


@when('"v2" comes back after another VM removed its record: {case}')
def step_back(context, case):
    table = context.log_table
    vm = context.vm = StartedVm(context, "", is_first=False)
    vm.states = [build_state("v1")]
    if "30 s" in case:
        # The other VM observed 30 s earlier that "v2" left, and removes it 60 s after.
        vm.run(FULL_RETENTION_S / 2 + 3.0)
        table.put(name_record(name_pair("v2")), None)
        vm.run(10.0)
    else:
        vm.states.append(build_state("v2"))
        vm.run(5.0)
        vm.states.pop()
        vm.run(FULL_RETENTION_S - 0.5)
        table.away = True
        vm.run(1.0)
        table.put(name_record(name_pair("v2")), None)
    vm.states.append(build_state("v2", "s-again"))
    vm.clock.now += TICK_S
    vm.confirmed_at = vm.clock.now
    vm.history.note_servers(vm.states, vm.clock.now)
    table.away = False
    vm.tick()


@then('no stream may begin at "v2" yet')
def step_none_yet(context):
    # Checked with the next step, so that a failure shows both.
    vm = context.vm
    context.new = vm.history.list_new(SERVICE, vm.clock.now)


@then('a stream that begins at "v2" all the same is recorded within {seconds:g} s')
def step_recorded_within(context, seconds):
    vm = context.vm
    vm.history.note_beginning(name_pair("v2"))
    vm.run(seconds)
    recorded = list_recorded(context)
    missing = [
        name
        for name, found in (("new", context.new), ("recorded", recorded))
        if "v2" not in found
    ]
    assert not missing, (missing, recorded)


@when('the entry of a server of "v2" is read {seconds:d} s after its last server left')
def step_back_entry(context, seconds):
    vm = context.vm = StartedVm(context, "", is_first=False)
    vm.states = [build_state("v1"), build_state("v2")]
    vm.run(5.0)
    vm.states.pop()
    vm.run(float(seconds))
    vm.states.append(build_state("v2", "s-again"))
    # As the part that applies entries does.
    if vm.history.is_new(SERVICE, "v2"):
        vm.history.note_servers(vm.states, vm.clock.now)


@then('no stream may begin at "v2" yet, before the next look at all servers')
def step_none_before_look(context):
    new = context.vm.history.list_new(SERVICE, context.vm.clock.now)
    assert "v2" in new, new


# streams that begin at a build that is not recorded


def build_choice(vm: TakingVm, tried: set[str]) -> ServerChoice:
    """Return the choice of a server for a new stream."""
    choice = object.__new__(ServerChoice)
    choice.origin = None
    choice._tried = tried
    choice._admission = mock.Mock(service=SERVICE)
    choice._admission.route.resumable = True
    choice._context = mock.Mock(continuity=vm.continuity)
    return choice


@when("a stream begins at a VM that can't write, which is lost: {case}")
def step_begin_unwritten(context, case):
    builds = "v1 v2 v2 v2" if "three" in case else "v1 v2"

    async def play():
        vm = TakingVm(context.log_table, builds)
        for number, state in enumerate(vm.states[1:]):
            vm.states[number + 1] = build_state(state.server.build, f"s-v2-{number}")
        vm.observe()
        await vm.records._update()
        now = asyncio.get_running_loop().time()
        excluded = frozenset({"s-v1"} if "refused" in case else ())
        if "not reached" in case:
            vm.states[0].health.ejected_until = math.inf
        choice = build_choice(vm, set(excluded))
        new = choice._list_new(vm.states, excluded, now)
        open_ids = {s.id for s in vm.states if not s.health.is_suspect(now)}
        usable = sorted(open_ids - new - excluded, key=lambda s: s == "s-v1")
        context.began_at = "v1"
        for state in (s for s in vm.states if s.id in usable[:1]):
            context.began_at = state.server.build
            build_path(vm.continuity)._note_intended(state)
        refusing = mock.patch.object(context.log_table, "append", refuse_write)
        with refusing, contextlib.suppress(LogUnavailableError):
            await vm.records._update()
        other = TakingVm(context.log_table, builds)
        await other.records._update()
        context.found = await other.take_up()

    context.loop.run_until_complete(play())


@then('it is not continued at "{build}" by a VM that has just started')
def step_not_continued(context, build):
    began_at = getattr(context, "began_at", "another")
    at = goes_on_at(context.found)
    assert at in ("", began_at), f"began at {began_at}, {context.found}"


@when(
    "a stream of unknown origin is taken up beside a server whose entry states no build"
)
def step_unstated(context):
    async def play():
        begun = TakingVm(context.log_table, "v1")
        begun.states.append(build_state("", "s-unstated"))
        begun.observe()
        await begun.records._update()
        now = asyncio.get_running_loop().time()
        new = build_choice(begun, set())._list_new(begun.states, frozenset(), now)
        context.began_at = "v1" if "s-unstated" in new else "none stated"
        begun.history.note_beginning(name_pair(""))
        await begun.records._update()
        vm = TakingVm(context.log_table, "v1")
        vm.states.append(build_state("", "s-unstated"))
        vm.observe()
        await vm.records._update()
        context.found = await vm.take_up()

    context.loop.run_until_complete(play())


@when(
    'streams begin at "v2" while the store refuses all calls for {first:d} to '
    "{last:d} s"
)
def step_refused_for(context, first, last):
    context.took_s = []
    for tenths in range(first * 10, last * 10, 5):
        context.log_table.put(name_record(name_pair("v2")), None)
        call = (context.log_table, tenths / 10, context.took_s)
        play_virtually(functools.partial(record_after, *call))


async def record_after(table: TableStandIn, seconds: float, took_s: list[float]):
    """Measure how long after its return the table has the record of a build."""
    loop = asyncio.get_running_loop()
    vm = TakingVm(table, "v1")
    work = asyncio.create_task(vm.records.run())
    await asyncio.sleep(5.0)
    vm.states.append(build_state("v2"))
    vm.observe()
    vm.history.note_beginning(name_pair("v2"))
    table.away = True
    await asyncio.sleep(seconds)
    table.away = False
    back_at = loop.time()
    while vm.history.list_begun():
        await asyncio.sleep(0.01)
    took_s.append(round(loop.time() - back_at, 2))
    work.cancel()


@then('the record of "v2" is written within {seconds:g} s after it')
def step_written_within(context, seconds):
    assert max(context.took_s) <= seconds, context.took_s


# a removal that was decided before the build came back


@when('"v3" comes back while the removal of "v2" takes {seconds:g} s')
def step_back_while_removing(context, seconds):
    table = context.log_table
    append = table.append
    vm = StartedVm(context, "", is_first=False)
    vm.states = [build_state("v1")]

    async def append_late(key: str, value: bytes) -> None:
        if key == name_record(name_pair("v2")):
            vm.clock.now += seconds
            vm.confirmed_at = vm.clock.now
            vm.states.append(build_state("v3"))
            vm.history.note_view(vm.confirmed_at)
            vm.history.note_servers(vm.states, vm.clock.now)
        await append(key, value)

    with mock.patch.object(table, "append", append_late):
        for _ in range(round((FULL_RETENTION_S + 5.0) / TICK_S)):
            vm.run(TICK_S)
            if len(vm.states) > 1:
                break


# evidence of a VM that knows less


@when("a stream is taken up at a VM that reads the records alone: {case}")
def step_knows_less(context, case):
    async def play():
        vm = TakingVm(context.log_table, "v1 v2")
        await vm.records._update()
        if "30 s" in case:
            read_at = asyncio.get_running_loop().time() - 30.0
            vm.continuity.read_view = lambda: read_at
        else:
            vm.continuity.knows_members = lambda: False
        context.found = await vm.take_up()

    context.loop.run_until_complete(play())


# streams that break off twice


def add_member(host: str) -> FleetMembers:
    """Return the members of a fleet with another VM."""
    members = FleetMembers("vm-1", "porto")
    entry = msgspec.json.encode(MemberRecord(host, "porto"))
    now = asyncio.get_running_loop().time()
    members.apply_record(Record("vm-2", entry, 0), now)
    return members


@when(
    "a stream goes on at the only recorded build, and again at another VM once "
    '"v2" is recorded'
)
def step_twice(context):
    async def play():
        vm, other = (TakingVm(context.log_table, "v1 v2") for _ in range(2))
        for each in (vm, other):
            await each.records._update()
        sent: list[OriginHint] = []
        now = asyncio.get_running_loop().time()
        vm.continuity.keepers = StreamKeepers(
            vm.continuity.origins, add_member("10.0.0.2")
        )
        vm.continuity.send_parcels = lambda parcels: sent.extend(
            hint for parcel in parcels for hint in parcel.hints
        )
        first = await vm.take_up()
        assert goes_on_at(first) == "v1", first
        record_v2(context.log_table)
        await vm.records._read()
        StreamKeepers(other.continuity.origins, FleetMembers("vm-2", "porto")).apply(
            sent, "10.0.0.1", now
        )
        context.found = await other.take_up(KEY)

    context.loop.run_until_complete(play())
