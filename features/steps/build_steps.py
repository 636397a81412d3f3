"""Steps: streams before servers of several builds, gateways in one process."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from behave import given, then, when

from features.gateway_support import ANSWER_TIMEOUT_S, RawAnswer, encode_request
from features.steps.forwarding_steps import Fleet
from ramppin.gateway.process.routing.streamorigins import StreamOrigin, hash_stream
from standins.backend import Reply
from standins.common import wait_for

EVENTS = 12
EVENT_GAP_S = 0.008
AT_ONCE = 12
SEED = 57
ROUTE = "/resume/"
ASKED_TIMES = 5


def run(context, work):
    return context.loop.run_until_complete(asyncio.wait_for(work, 90))


@dataclass
class Stream:
    """One stream over all of its caller's tries.

    Attributes:
        first_id: the attempt that brought its first event.
        last_event: number of the last event that arrived.
        builds: the builds whose events arrived.
        numbers: the numbers of the events, in their order.
        takeups: whether each take-up went on.
    """

    first_id: str
    last_event: int = 0
    builds: set[bytes] = field(default_factory=set)
    numbers: list[int] = field(default_factory=list)
    takeups: list[bool] = field(default_factory=list)

    @property
    def began(self) -> bool:
        """Whether an event arrived."""
        return bool(self.numbers)

    def note(self, body: bytes) -> None:
        """Take the whole events of an answer."""
        for event in body.split(b"\n\n")[:-1]:
            number, build = event.removeprefix(b"id: ").split(b"\ndata: ")
            self.builds.add(build)
            self.numbers.append(int(number))
            self.last_event = int(number)


class BuildServers:
    """Scripts of servers whose events name their build."""

    def __init__(self) -> None:
        self.break_ids: set[bytes] = set()
        self.gap_s = EVENT_GAP_S

    def build_script(self, build: str):
        async def script(reply: Reply) -> None:
            await reply.start_events()
            after = int(reply.request.headers.get(b"last-event-id", b"0"))
            for number in range(after + 1, EVENTS + 1):
                event = b"id: %d\ndata: %b\n\n" % (number, build.encode())
                await reply.send_chunk(event)
                await asyncio.sleep(self.gap_s)
                if number == after + 4 and reply.request_id in self.break_ids:
                    self.break_ids.discard(reply.request_id)
                    reply.reset()
                    return
            await reply.send_chunk(b"")

        return script


class StreamCallers:
    """Callers that begin streams, break them off, and take them up at other VMs."""

    def __init__(self, fleet: Fleet, servers: BuildServers, seed: int = SEED) -> None:
        self.fleet, self.servers = fleet, servers
        self.generator = random.Random(seed)
        self.streams: list[Stream] = []
        self.statuses: Counter[int] = Counter()

    async def play(self, number: int, takeups: int, *, breaks: bool) -> None:
        """Play one stream; its caller takes it up a number of times."""
        stream = Stream(f"s{number}")
        self.streams.append(stream)
        if breaks:
            self.servers.break_ids.add(stream.first_id.encode())
        vms = self.generator.choices(list(self.fleet.vms), k=takeups + 1)
        for turn, vm in enumerate(vms):
            if turn and not stream.began:
                return
            leaves_after = 2 if turn < takeups else EVENTS
            answer = await self.try_once(stream, vm, turn, leaves_after)
            self.statuses[answer.status] += 1
            before = stream.last_event
            stream.note(answer.body)
            if turn:
                went_on = stream.last_event > before or before == EVENTS
                stream.takeups.append(went_on)
            if stream.last_event == EVENTS:
                return

    async def try_once(
        self, stream: Stream, vm: str, turn: int, leaves_after: int
    ) -> RawAnswer:
        """Send one try, and leave after a number of events."""
        headers = {}
        if turn:
            headers["Last-Event-Id"] = str(stream.last_event)
            headers["Ramppin-Continues"] = stream.first_id
        request_id = f"{stream.first_id}t{turn}" if turn else stream.first_id
        caller = await self.fleet.connect(vm)
        await caller.send(encode_request(ROUTE, request_id=request_id, headers=headers))
        answer = RawAnswer()
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while not answer.whole and answer.data.count(b"id: ") < leaves_after:
                data = await read(caller)
                if not data:
                    break
                answer.data += data
        caller.close()
        return answer


async def read(caller) -> bytes:
    try:
        return await caller.reader.read(65536)
    except ConnectionError:
        return b""


async def start(context, vms: list[str], builds: list[str]) -> None:
    context.fleet = Fleet()
    context.cleanups.append(context.fleet.stop)
    context.servers = BuildServers()
    context.fleet.builds = builds
    await context.fleet.start(vms, 0, len(builds))
    backends = context.fleet.first.backends
    for number, build in enumerate(builds):
        backends[f"m{number}"].script = context.servers.build_script(build)


@given('VMs "{vms}" before two servers of build v1 and two of v2')
def step_fleet(context, vms):
    run(context, start(context, vms.split(), ["v1", "v1", "v2", "v2"]))


@given('VMs "{vms}" before four servers of v1, and two of v2 come')
def step_fleet_later(context, vms):
    run(context, start(context, vms.split(), ["v1"] * 4))
    context.later = ["v2", "v2"]


@given('VMs "{vms}" before four servers of v1')
def step_fleet_single(context, vms):
    run(context, start(context, vms.split(), ["v1"] * 4))


async def add_later(context) -> None:
    """Start the servers of a build that comes later, and wait until all know them."""
    fleet = context.fleet
    for number, build in enumerate(getattr(context, "later", []), 10):
        backend = await fleet.first.add_backend(f"m{number}", "model", build=build)
        backend.script = context.servers.build_script(build)

    def is_known() -> bool:
        vms = [vm.gateway.context for vm in fleet.vms.values()]
        return all(vm.continuity.history.is_mixed("model", 0) for vm in vms)

    if getattr(context, "later", []):
        await wait_for(is_known, "all VMs know the second build")


@when('a caller takes up a stream and names "{named}"')
def step_take_up_unknown(context, named):
    headers = {"Last-Event-Id": "3"}
    if named != "nothing":
        letters = "x" * 1500 if "letters" in named else "a-stranger"
        headers["Ramppin-Continues"] = letters

    async def ask(number: int) -> float:
        caller = await context.fleet.connect("vm-2")
        loop = asyncio.get_running_loop()
        began = loop.time()
        request_id = f"u{number}"
        await caller.send(encode_request(ROUTE, request_id=request_id, headers=headers))
        context.answers.append(await caller.read())
        return loop.time() - began

    context.answers = []
    context.took_s = [run(context, ask(number)) for number in range(ASKED_TIMES)]


@then(
    "it is refused with 503 within {limit_s:g} s, with a time to come back, "
    "and no server got it"
)
def step_refused(context, limit_s):
    for answer in context.answers:
        assert answer.status == 503, answer.data
        assert b"retry-after:" in answer.head, answer.data
    assert context.took_s[0] <= limit_s, context.took_s
    assert not context.fleet.list_received()


@when(
    'a stream begins at "{first}", "{gone}" stops, and the stream is taken up at '
    '"{second}" and "{third}"'
)
def step_begin_and_stop(context, first, gone, second, third):
    fleet = context.fleet
    callers = context.callers = StreamCallers(fleet, context.servers)

    async def play() -> None:
        stream = Stream("s1")
        callers.streams.append(stream)
        stream.note((await callers.try_once(stream, first, 0, 2)).body)
        assert stream.began
        await add_later(context)
        await asyncio.sleep(0.1)
        await fleet.vms[gone].gateway.stop()
        for turn, vm in enumerate((second, third), 1):
            before = stream.last_event
            # Whole events: the last one may be read in part.
            stream.note((await callers.try_once(stream, vm, turn, 4)).body)
            stream.takeups.append(stream.last_event > before)

    run(context, play())


@then("it goes on at both, at the build that began it")
def step_went_on(context):
    [stream] = context.callers.streams
    assert stream.takeups == [True, True], stream
    assert len(stream.builds) == 1, stream


@when(
    '"{vm}" is cut off and the VMs that forward {count:d} of its streams die '
    "in the middle"
)
def step_forwarders_die(context, vm, count):
    fleet = context.fleet
    callers = context.callers = StreamCallers(fleet, context.servers)
    context.servers.gap_s = 0.03

    async def play(number: int) -> None:
        stream = Stream(f"s{number}")
        callers.streams.append(stream)
        stream.note((await callers.try_once(stream, vm, 0, EVENTS)).body)

    async def die() -> None:
        fleet.cut(vm)
        asked = asyncio.gather(*(play(number) for number in range(count)))
        await wait_for(lambda: len(fleet.list_received()) == count, "they run")
        await asyncio.sleep(0.1)
        forwarder = next(
            fixture
            for name, fixture in fleet.vms.items()
            if name != vm and fixture.gateway.context.in_flight
        )
        await forwarder.gateway.stop()
        await asked

    run(context, die())
    assert all(stream.began for stream in callers.streams)


@when(
    "{count:d} streams begin, half of which their callers take up at another VM, "
    "up to {most:d} times"
)
def step_streams(context, count, most):
    context.callers = StreamCallers(context.fleet, context.servers)
    context.plan = [(n, n % 2 and 1 + n % most) for n in range(count)]


@when("a third of them are broken off by their servers")
def step_play(context):
    callers, turns = context.callers, asyncio.Semaphore(AT_ONCE)

    async def play(number: int, takeups: int) -> None:
        async with turns:
            await callers.play(number, takeups, breaks=number % 3 == 0)

    async def play_all() -> None:
        await asyncio.gather(*(play(*row) for row in context.plan))

    run(context, play_all())


@then("no stream holds events of two builds")
def step_one_build(context):
    streams = context.callers.streams
    mixed = [stream for stream in streams if len(stream.builds) > 1]
    assert not mixed, f"{len(mixed)} of {len(streams)} streams: {mixed[:3]}"
    for stream in streams:
        expected = list(range(1, len(stream.numbers) + 1))
        assert stream.numbers == expected, stream


@then("at least {share:g} of those taken up go on, of the share of new ones that begin")
def step_go_on(context, share):
    streams = context.callers.streams
    began = sum(stream.began for stream in streams) / len(streams)
    takeups = [went_on for stream in streams for went_on in stream.takeups]
    assert len(takeups) >= 12, takeups
    found = sum(takeups) / len(takeups)
    assert found >= share * began, (found, began, context.callers.statuses)


KNOWN_MS, STARTED_MS = 1_000, 2_000
REPORTS = {
    "its start": b'{"started_ms":%d}' % STARTED_MS,
    "its start, and closes": b'{"started_ms":%d}' % STARTED_MS,
    "the start that is known": b'{"started_ms":%d}' % KNOWN_MS,
    "nothing": b"{}",
    "no JSON": b"\xff[",
    "not found": b"",
}
"""What the server that started again reports, by the words of the table."""


@given(
    "a gateway before a server that started again as another build, "
    "and one of the build it was"
)
def step_started_again(context):
    async def begin() -> None:
        fleet = context.fleet = Fleet()
        context.cleanups.append(fleet.stop)
        context.servers = BuildServers()
        fleet.builds = ["v1", "v1", "v2"]
        await fleet.start(["vm-1"], 0, 3)
        for number, build in enumerate(fleet.builds):
            backend = fleet.first.backends[f"m{number}"]
            backend.script = context.servers.build_script(build)
            fleet.first.announce(
                f"m{number}", "model", build=build, started_ms=KNOWN_MS
            )
        states = fleet.first.gateway.context.directory
        await wait_for(
            lambda: all(state.server.started_ms for state in states), "starts are known"
        )
        origins = fleet.first.gateway.context.continuity.origins
        key = hash_stream("choir", b"began")
        now = asyncio.get_running_loop().time()
        origins.note(key, StreamOrigin("model", "v1"), now)
        # The other server of the build is preferred last.
        fleet.first.gateway.context.directory.find_newest("m1").in_flight = 5

    run(context, begin())


@given('that server reports "{report}"')
def step_reports(context, report):
    gateway = context.fleet.first.gateway.context
    gateway.report_path, gateway.report_start = b"/report", "started_ms"
    script = context.servers.build_script("v3")

    async def answer(reply: Reply) -> None:
        if not reply.request.line.startswith(b"GET /report"):
            await script(reply)
            return
        closes = b"Connection: close\r\n" if report.endswith("closes") else b""
        status = 404 if report == "not found" else 200
        await reply.answer(status, REPORTS[report], headers=closes)
        if closes:
            reply.writer.close()

    async def answer_same(reply: Reply) -> None:
        if reply.request.line.startswith(b"GET /report"):
            await reply.answer(200, REPORTS["the start that is known"])
        else:
            await context.servers.build_script("v1")(reply)

    backends = context.fleet.first.backends
    backends["m0"].script = answer
    backends["m1"].script = answer_same


@when("a caller takes up a stream of that build, and another one begins a stream")
def step_take_up_again(context):
    headers = {"Last-Event-Id": "3", "Ramppin-Continues": "began"}

    async def ask() -> None:
        ask = context.fleet.ask
        context.answers = [
            await ask("vm-1", ROUTE, request_id="t1", headers=headers),
            await ask("vm-1", ROUTE, request_id="n1"),
        ]

    run(context, ask())


@then('the stream goes on at the "{server}" server, and the new one is served')
def step_goes_on_at(context, server):
    taken_up, new = context.answers
    assert taken_up.status == 200, taken_up.data
    assert new.status == 200, new.data
    assert new.whole, new.data
    expected = b"data: v1\n" if server == "other" else b"data: v3\n"
    assert expected in taken_up.body, taken_up.data
    assert taken_up.body.count(b"data: ") == EVENTS - 3, taken_up.data
