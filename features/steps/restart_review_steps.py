"""Steps: origins and records of builds that prove less than they seem to."""

from __future__ import annotations

import asyncio
from unittest import mock

import msgspec
from behave import given, then, when

from features.gateway_support import is_yes
from features.steps.restart_steps import (
    KEY,
    SERVICE,
    StartedVm,
    build_state,
)
from ramppin.errors import LogUnavailableError
from ramppin.gateway.process.membership.members import FleetMembers, MemberRecord
from ramppin.gateway.process.recovery.recordapplier import RecordApplier
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.recovery.sources import RecordBatch
from ramppin.gateway.process.routing.buildhistory import BuildHistory
from ramppin.gateway.process.routing.continuity import Continuation, StreamContinuity
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.originrecords import OriginRecords
from ramppin.gateway.process.routing.recordedservers import ServiceBuild
from ramppin.gateway.process.routing.serverstate import BackendServer, ServerState
from ramppin.gateway.process.routing.streamkeepers import Parcel, StreamKeepers
from ramppin.gateway.process.routing.streamorigins import StreamOrigin, StreamOrigins
from ramppin.gateway.request.directpath import DirectPath
from ramppin.gateway.request.serverchoice import ServerChoice
from standins.tables import TableStandIn

EPOCH_S = 1_700_000_000.0

V1, V2 = StreamOrigin(SERVICE, "v1"), StreamOrigin(SERVICE, "v2")
BOTH = (build_state("v1"), build_state("v2"))
OTHER_HOST = "10.0.0.2"


class OriginVm:
    """What one VM holds of origins, in a service of two builds."""

    def __init__(self, name: str, table: TableStandIn, *others: str) -> None:
        self.time_s = EPOCH_S
        self.members = FleetMembers(name, "porto")
        self.now = asyncio.get_running_loop().time()
        for host in others:
            entry = msgspec.json.encode(MemberRecord(host, "porto"))
            self.members.apply_record(Record(f"vm-{host}", entry, 0), self.now)
        self.records = OriginRecords(
            name, table, self.members, read_time=lambda: self.time_s
        )
        self.continuity = StreamContinuity(records=self.records)
        self.continuity.history.past_known.set()
        self.continuity.history.note_servers(BOTH, self.now)

    async def write(self) -> None:
        """Write what is due."""
        await self.records._write_all()

    async def take_up(self) -> Continuation:
        """Return where the stream may go on here."""
        return await self.continuity.find(KEY, SERVICE)


def goes_on_at(found: Continuation) -> str:
    """Return the build at which a stream goes on, or an empty string."""
    return found.origin.build if found.is_allowed and found.origin else ""


# attempts at two builds


@given('an attempt at "v1" that was recorded and failed')
def step_failed_attempt(context):
    async def play():
        context.log_table = TableStandIn()
        context.recorder = OriginVm("recorder", context.log_table)
        context.recorder.continuity.note_intended(KEY, V1, context.recorder.now)
        await context.recorder.write()

    context.loop.run_until_complete(play())


@when('the stream begins at "v2" and is recorded, and all VMs are lost')
def step_second_attempt(context):
    async def play():
        vm = context.recorder
        is_recorded = vm.continuity.note_intended(KEY, V2, vm.now)
        await vm.write()
        vm.continuity.note_began(KEY, V2, vm.now, is_recorded=is_recorded)
        context.found = await OriginVm("vm-9", context.log_table).take_up()

    context.loop.run_until_complete(play())


@when('the stream begins at "v2" while the store takes no writes, and all VMs are lost')
def step_second_attempt_unwritten(context):
    with mock.patch.object(context.log_table, "append", refuse_write):
        step_second_attempt(context)


async def refuse_write(key: str, value: bytes) -> None:
    """Fail, as a table does that takes no writes."""
    raise LogUnavailableError("503")


@when('a request is sent to a server of "{first}" and then to one of "{second}"')
def step_two_attempts(context, first, second):
    async def play():
        continuity = context.continuity = mock.Mock(
            note_intended=mock.Mock(return_value=True)
        )
        continuity.history.may_be_mixed.return_value = True
        path = build_path(continuity)
        for build in (first, second):
            path._note_intended(build_state(build))
        path._note_event(build_state(second))

    context.loop.run_until_complete(play())


@then("with its first event the stream is recorded again: {is_again}")
def step_again(context, is_again):
    was_recorded = context.continuity.note_began.call_args.kwargs["is_recorded"]
    assert was_recorded != is_yes(is_again)


@when('another VM reads the records, and the stream begins at "v2" and is recorded')
def step_read_between(context):
    async def play():
        other = OriginVm("vm-9", context.log_table)
        await other.records.find(KEY + (1 << 40))
        vm = context.recorder
        is_recorded = vm.continuity.note_intended(KEY, V2, vm.now)
        await vm.write()
        vm.continuity.note_began(KEY, V2, vm.now, is_recorded=is_recorded)
        other.records._read_at -= 10.0
        context.found = await other.take_up()

    context.loop.run_until_complete(play())


@then('it does not go on at "{build}"')
@then('it does not go on at "{build}" at that VM')
@then('it does not go on at "{build}" there')
def step_not_at(context, build):
    assert goes_on_at(context.found) != build, context.found


# servers of doubted build


@when('a stream begins at a server of "v1" that may have started again: {case}')
def step_doubted(context, case):
    async def play():
        table = TableStandIn()
        vm = OriginVm("vm-1", table)
        sent: list[Parcel] = []
        vm.continuity.keepers = StreamKeepers(
            vm.continuity.origins,
            OriginVm("vm-1", table, OTHER_HOST).members,
            vm.records,
        )
        vm.continuity.send_parcels = sent.extend
        state = build_state("v1")
        path = build_path(vm.continuity)
        if "before" in case:
            state.note_refused_connection(vm.now)
        path._note_intended(state)
        await vm.write()
        state.note_refused_connection(vm.now)
        path._note_event(state)
        await vm.write()
        context.here = await vm.take_up()
        other = OriginVm("vm-9", table)
        keepers = StreamKeepers(other.continuity.origins, other.members)
        keepers.apply([h for parcel in sent for h in parcel.hints], OTHER_HOST, vm.now)
        context.found = await other.take_up()

    context.loop.run_until_complete(play())


def build_path(continuity: StreamContinuity) -> DirectPath:
    """Return the path of a request that begins a stream."""
    path = object.__new__(DirectPath)
    path._loop = asyncio.get_running_loop()
    path._intended = None
    path._is_moved = False
    path._choice = mock.Mock(origin=None)
    path._context = mock.Mock(continuity=continuity)
    path._served = mock.Mock(origin=None, stream_key=KEY)
    path._served.admission.service = SERVICE
    path._served.admission.route.resumable = True
    return path


@then("no VM lets it go on")
def step_nowhere(context):
    assert not context.here.is_allowed, context.here
    assert not context.found.is_allowed, context.found


# streams of two builds


@when('a keeper knows a stream of two builds, of which the records still contain "v2"')
def step_two_origins(context):
    async def play():
        table = TableStandIn()
        keeper = OriginVm("vm-1", table)
        await record(keeper, V2)
        keeper.continuity.origins.note(KEY, V1, keeper.now)
        keeper.continuity.origins.note(KEY, V2, keeper.now)
        answering = StreamKeepers(keeper.continuity.origins, keeper.members)
        other = OriginVm("vm-9", table, OTHER_HOST)
        asking = StreamKeepers(other.continuity.origins, other.members)
        other.continuity.keepers = asking

        def send_question(key: int, service: str, hosts: list[str]) -> None:
            asking.apply(answering.answer([key], keeper.now), OTHER_HOST, other.now)

        other.continuity.send_question = send_question
        context.found = await other.take_up()

    context.loop.run_until_complete(play())


async def record(vm: OriginVm, origin: StreamOrigin) -> None:
    """Write the stream's origin to the records."""
    vm.records.note(KEY, origin, vm.now)
    await vm.write()


@then("a VM that asks the keeper refuses the stream")
def step_conflict(context):
    assert not context.found.is_allowed, context.found


# records of builds that are back


@when('"v1" is back at one VM, and another removes its record and dies: {case}')
def step_back(context, case):
    one = StartedVm(context, "v1 v2", is_first=False)
    other = StartedVm(context, "v1 v2", is_first=False)
    # The other VM writes at once, this one only if it does not.
    one.records._is_writer = lambda now: False
    run_both(one, other, 5.0)
    for vm in (one, other):
        vm.states = [build_state("v2")]
    if "suspended" in case:
        run_both(one, other, 1.0)
        one.run(29.0)
        one.states.append(build_state("v1"))
        one.run(40.0)
        other.tick()
    else:
        run_both(one, other, 59.8)
        one.states.append(build_state("v1"))
        run_both(one, other, 0.6)
    # The other VM is dead from here on.
    one.run(10.0)


def run_both(one: StartedVm, other: StartedVm, seconds: float) -> None:
    """Let time pass at two VMs with one clock and current lists."""
    for _ in range(round(seconds * 10)):
        one.run(0.1)
        other.confirmed_at = other.clock.now
        other.tick()


@when(
    'the store loses all answers for 5 s as "v1" expires, and "v1" comes back meanwhile'
)
def step_answers_lost(context):
    vm = context.vm = StartedVm(context, "v1 v2", is_first=False)
    vm.run(1.0)
    vm.states = [build_state("v2")]
    vm.run(59.0)
    with lose_answers(context.log_table):
        vm.run(3.0)
        vm.states.append(build_state("v1"))
        vm.run(2.0)
    vm.run(10.0)


def lose_answers(table: TableStandIn) -> mock._patch:
    """Let calls take effect, and fail all the same."""

    async def append(key: str, value: bytes) -> None:
        table.put(key, value)
        raise LogUnavailableError("no answer within 1.0 s")

    async def read_newest(*, timeout_s: float) -> RecordBatch:
        # Only the read before the removal is answered.
        if any(not r.value for r in table._records):
            raise LogUnavailableError("no answer within 1.0 s")
        return await TableStandIn.read_newest(table, timeout_s=timeout_s)

    return mock.patch.multiple(table, append=append, read_newest=read_newest)


# builds that are new


@when(
    'servers of "v1" serve, and {seconds:g} s after the first list servers of "v2" '
    "come: {case}"
)
def step_new_build(context, seconds, case):
    history, now = BuildHistory(), 1000.0
    history.note_servers(BOTH[:1], now)
    context.came_at = now + seconds
    context.states = [build_state("v1"), build_state("v2")]
    history.note_servers(context.states, context.came_at)
    context.choice = build_choice(history, case, context.states)


@when(
    'the records contain "{recorded}", and streams may begin at servers of "v1" and '
    '"v2": {case}'
)
def step_unrecorded_build(context, recorded, case):
    history, context.came_at = BuildHistory(), 1000.0
    states = context.states = [build_state("v1"), build_state("v2")]
    if "three" in case:
        states += [build_state("v2", "s-2"), build_state("v2", "s-3")]
    history.note_servers(states, context.came_at)
    if recorded != "unread":
        pairs = [ServiceBuild(SERVICE, build) for build in recorded.split()]
        history.note_recorded(pairs, context.came_at)
    context.choice = build_choice(history, case, states)
    if "is open" in case:
        del states[0]


def build_choice(
    history: BuildHistory, case: str, states: list[ServerState]
) -> ServerChoice:
    """Return the choice of a server for a new stream."""
    if "healthy" in case:
        states[0].health.ejected_until = float("inf")
    choice = object.__new__(ServerChoice)
    choice.origin = None
    choice._admission = mock.Mock(service=SERVICE)
    choice._admission.route.resumable = "not resumable" not in case
    choice._context = mock.Mock()
    choice._context.continuity.history = history
    return choice


@then('a stream may begin at "{builds}"')
def step_may_begin_now(context, builds):
    step_may_begin(context, 0.1, builds)


@then('"{build}" is to be recorded: {is_due}')
def step_due(context, build, is_due):
    history = context.choice._context.continuity.history
    context.choice._list_new(context.states, frozenset(), context.came_at)
    due = history.list_unrecorded(context.came_at + 0.1)
    assert (ServiceBuild(SERVICE, build) in due) == is_yes(is_due), due


@then('a stream that begins {later:g} s later may begin at "{builds}"')
def step_may_begin(context, later, builds):
    now = context.came_at + later
    new = context.choice._list_new(context.states, frozenset(), now)
    healthy = [s for s in context.states if not s.health.is_suspect(now)]
    found = sorted({s.server.build for s in healthy if s.id not in new})
    assert found == builds.replace("none", "").split(), found


# servers that start again under their id


@when(
    'a stream begins at a server of the only build "v1", whose new entry with "v2" is '
    "read 0.5 s later"
)
def step_restarted(context):
    async def play():
        now = asyncio.get_running_loop().time()
        directory, continuity = ServerDirectory(), StreamContinuity()
        history = continuity.history
        history.past_known.set()

        def note_builds(at: float) -> None:
            history.note_servers(directory, at)

        names = ("s1", "s2")
        entries = {
            name: BackendServer(name, SERVICE, "127.0.0.1", 9, started_ms=1, build="v1")
            for name in names
        }
        newer = BackendServer("s1", SERVICE, "127.0.0.1", 9, started_ms=2, build="v2")
        decoder = mock.Mock(
            decode_server=lambda record: newer if record.offset else entries[record.key]
        )
        gateway = mock.Mock(
            directory=directory,
            continuity=continuity,
            note_builds=note_builds,
            table=None,
        )
        gateway.find_cold_rate.return_value = 0.0
        applier = RecordApplier("settings", decoder, gateway, lambda now: None)
        for name in names:
            applier.apply_server(Record(name, b"entry", 0))
        assert history.find_only_build(SERVICE, now) == "v1"
        # The process that answers at the address of s1 is of v2.
        state = directory.find_newest("s1")
        build_path(continuity)._note_event(state)
        applier.apply_server(Record("s1", b"entry", 1))
        assert history.is_mixed(SERVICE, now)
        context.found = await continuity.find(KEY, SERVICE)

    context.loop.run_until_complete(play())


# origins that were not recorded


@when("a stream begins at a VM that was not in the list of VMs as the request was sent")
def step_unlisted(context):
    async def play():
        table = TableStandIn()
        vm = OriginVm("vm-1", table)
        vm.continuity.keepers = StreamKeepers(
            vm.continuity.origins, vm.members, vm.records
        )
        vm.records._is_listed = lambda: False
        is_recorded = vm.continuity.note_intended(KEY, V1, vm.now)
        vm.records._is_listed = lambda: True
        vm.continuity.note_began(KEY, V1, vm.now, is_recorded=is_recorded)
        await vm.write()
        context.found = await OriginVm("vm-9", table).take_up()

    context.loop.run_until_complete(play())


@then("its origin is recorded")
def step_is_recorded(context):
    assert goes_on_at(context.found) == "v1", context.found


@when("two recorders of one shard record a stream each within one slot")
def step_two_recorders(context):
    context.log_table = TableStandIn()

    async def play() -> None:
        for number, vm in enumerate(("vm-1", "vm-2")):
            members = FleetMembers(vm, "porto")
            records = OriginRecords(vm, context.log_table, members, lambda: 5000.0)
            key = KEY + (number << 20)
            assert records.note(key, StreamOrigin(SERVICE, "v1"), 0.0)
            await records._write_all()

    context.loop.run_until_complete(play())


@then("a VM that has just started finds where both began")
def step_both_found(context):
    records = OriginRecords("vm-3", context.log_table, FleetMembers("vm-3", "porto"))

    async def find() -> list:
        return [(await records.find(KEY + (number << 20)))[0] for number in range(2)]

    found = context.loop.run_until_complete(find())
    assert found == [StreamOrigin(SERVICE, "v1")] * 2, found


@then("a keeper that has just started gives no answer about an unknown stream")
def step_new_keeper(context):
    keepers = StreamKeepers(StreamOrigins(), FleetMembers("vm-1", "porto"))
    answers = keepers.answer([KEY], 0.1)
    assert not answers, answers
