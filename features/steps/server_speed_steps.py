"""Steps: the speed of a server, from its load reports and its answers."""

from __future__ import annotations

import asyncio
import logging
import math

import msgspec
from behave import then, when

from features.gateway_support import keep_lines
from features.steps.server_speed_pause_steps import (
    EVENT,
    SilentConnection,
    SteppedStream,
    run,
)
from ramppin.gateway.connection.answerend import AnswerEnd
from ramppin.gateway.connection.datagrams import LoadHint, PeerHints, encode_hints
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.process.load.gossip import LoadGossip
from ramppin.gateway.process.load.speed import ServerSpeed, UsualTimes
from ramppin.gateway.process.load.view import measure_loads
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.serverstate import BackendServer, ServerState
from ramppin.gateway.process.stalldetector import StallDetector
from ramppin.gateway.request.promptkey import hash_prefix
from ramppin.logs import RepeatLimit

NOW = 100.0
TICK_S = 0.05


def build_directory() -> ServerDirectory:
    directory = ServerDirectory()
    directory.put(BackendServer("s0", "m", "127.0.0.1", 1))
    return directory


@then("a figure of {figure:d} counts as {slowness:g} after {age:g} s")
def step_age(context, figure, slowness, age):
    speed = ServerSpeed()
    speed.note_report(figure, NOW)
    found = speed.find_slowness(NOW + age)
    assert math.isclose(found, slowness), found


def report_load(stream: SteppedStream, report: bytes) -> None:
    stream.begin()
    stream.attempt.accept_head(stream.build_head(200, (stream.names.load, report)))


@when('a server answers with the load report "{report}"')
def step_answer(context, report):
    context.warnings = keep_lines(context)
    stream = context.stream = SteppedStream(context, streams=True, resumable=False)

    async def answer() -> None:
        report_load(stream, report.encode())

    run(context, answer())


@when("a server answers with a load report whose figure has {digits:d} digits")
def step_answer_long(context, digits):
    step_answer(context, "5,1,8," + "9" * digits)


@then("it counts as {slowness:g} and a load of {load:d}, with {count:d} warnings")
def step_counts(context, slowness, load, count):
    state = context.stream.state
    assert math.isclose(found := state.speed.find_slowness(0.0), slowness), found
    assert state.find_known_load(0.0) == load
    warnings = [line for line in context.warnings.lines if "ignored" in str(line)]
    assert len(warnings) == count, warnings


class CountingHandler(logging.Handler):
    """Counts the lines that pass its filters."""

    def __init__(self) -> None:
        super().__init__()
        self.count = 0

    def emit(self, record: logging.LogRecord) -> None:
        self.count += 1


@then("{count:d} malformed figures in a second leave at most {most:d} lines")
def step_rate(context, count, most):
    handler = CountingHandler()
    handler.addFilter(RepeatLimit(clock=lambda: 0.0))
    logger = logging.getLogger("ramppin.gateway.request.destination")
    logger.addHandler(handler)
    stream = SteppedStream(context, streams=True, resumable=False)

    async def answer() -> None:
        for number in range(count):
            report_load(stream, b"1,0,8,x%d" % number)

    try:
        run(context, answer())
    finally:
        logger.removeHandler(handler)
    assert 0 < handler.count <= most, handler.count


# the long-term average


def build_speeds(count: int) -> list[ServerSpeed]:
    usual = UsualTimes()
    speeds = [ServerSpeed(usual) for _ in range(count)]
    for speed in speeds:
        speed.note_report(100, NOW)
    return speeds


def note(speed: ServerSpeed, what: str, seconds: float, tokens: int, at: float) -> None:
    if what == "waits":
        speed.note_wait(seconds, tokens, at)
    else:
        speed.note_pauses(seconds, at)


@then(
    "after {count:d} {what} each its average is {low:g} to {high:g} and that of the "
    "others at most {most:g}"
)
def step_average(context, count, what, low, high, most):
    ratio = float(context.scenario.name.split(" times")[0].split()[-1])
    speeds = build_speeds(4)
    for number in range(count):
        for speed in speeds:
            seconds = 0.02 * (ratio if speed is speeds[0] else 1.0)
            note(speed, what, seconds, 100, NOW + number)
    first, *others = [speed.find_slowness(NOW + count + 9) for speed in speeds]
    assert low <= first <= high, first
    assert max(others) <= most, others


@then(
    "after {count:d} waits of {long:d} ms for {tokens:d} tokens at one server and of "
    "{short:d} ms for {few:d} tokens at 3 its average is {low:g} to {high:g}"
)
def step_length(context, count, long, tokens, short, few, low, high):
    speeds = build_speeds(4)
    for number in range(count):
        speeds[0].note_wait(long / 1000, tokens, NOW + number)
        for speed in speeds[1:]:
            speed.note_wait(short / 1000, few, NOW + number)
    found = speeds[0].find_slowness(NOW + count + 9)
    assert low <= found <= high, found


@then(
    "after {count:d} usual waits one that is {ratio:d} times as long leaves the "
    "average at {low:g} to {high:g}"
)
def step_one_wait(context, count, ratio, low, high):
    [speed] = build_speeds(1)
    for number in range(count):
        speed.note_wait(0.02, 100, NOW + number)
    speed.note_wait(0.02 * ratio, 100, NOW + count)
    found = speed.find_slowness(NOW + count + 9)
    assert low <= found <= high, found


EASY = b"a:10000,b:100"
ANSWERS = 100
USUAL_ANSWERS = 3
USUAL_S = 0.1
TOKENS = {
    "prompts of 2001 own tokens": b"a:10000,b:2001",
    "parts without numbers": b"a:10000,b",
}


class LearningService(SteppedStream):
    """A service of two servers, of which the first takes longer."""

    def __init__(self, context, what: str) -> None:
        super().__init__(context, streams=True, resumable=False)
        self.what = what
        self.detector = StallDetector(TICK_S)
        directory = ServerDirectory(stall_detector=self.detector)
        self.slow = directory.put(BackendServer("s0", "m", "127.0.0.1", 1))
        self.quick = directory.put(BackendServer("s1", "m", "127.0.0.1", 1))
        if what == "a cold server":
            self.slow.coldness.assume_cold(1e6, 0.0)

    def build_request(self) -> CallerRequest:
        parts = EASY
        if self.state is self.slow:
            parts = TOKENS.get(self.what, EASY)
            if self.what == "prompts whose prefix was not cached":
                self.slow.long_prompts.note_started(hash_prefix(parts), self.clock)
            if self.what == "prompts without parts of 2001 tokens":
                size = (self.names.request_size, b"2001,10")
                return CallerRequest(b"POST", b"/", [size])
        return CallerRequest(b"POST", b"/", [(self.names.prompt_parts, parts)])

    def pass_time(self, seconds: float) -> None:
        """Let time pass, with or without ticks of the stall detector."""
        is_stall = self.what == "a stall of this VM" and self.state is self.slow
        ends_at = self.clock + seconds
        while not is_stall and self.clock < ends_at:
            self.detector.note_tick(self.clock)
            self.clock = min(ends_at, self.clock + TICK_S)
        self.clock = ends_at

    async def answer(self, state: ServerState, seconds: float) -> None:
        """Run one attempt whose wait and pauses have the same length."""
        self.state, is_slow = state, state is self.slow
        self.attempt = None
        attempt = self.build_attempt()
        task = asyncio.create_task(
            attempt.run(SilentConnection(), b"", self.build_request(), 1e9)
        )
        await asyncio.sleep(0)
        self.pass_time(seconds)
        figure = b"1,0,8" if self.what == NO_FIGURE else b"1,0,8,100"
        status = 429 if is_slow and self.what == "rejections" else 200
        load = (self.names.load, figure)
        attempt.accept_head(self.build_head(status, load, (self.names.not_run, b"1")))
        attempt.accept_body(EVENT)
        if is_slow and self.what.startswith("a stream after"):
            attempt.set_paused(True)
            self.pass_time(5.0)
            attempt.set_paused(False)
        self.pass_time(seconds)
        attempt.accept_body(EVENT)
        attempt.accept_end(AnswerEnd.LENGTH)
        await task


NO_FIGURE = "no figure was ever reported"


@then(
    "{count:d} answers that take {ratio:g} times as long leave the average at "
    "{average}: {what}"
)
def step_learned(context, count, ratio, average, what):
    service = LearningService(context, what)

    async def play() -> None:
        for _ in range(count):
            await service.answer(service.slow, ratio * USUAL_S)
            for _ in range(USUAL_ANSWERS):
                await service.answer(service.quick, USUAL_S)

    run(context, play())
    found = service.slow.speed.find_slowness(service.clock + 9)
    low, _, high = average.partition(" to ")
    assert float(low) <= found <= float(high or low), found


@then(
    "a {source} of {figure:d} that is received {after:g} s after a stall of "
    "{stall:g} s counts as {slowness:g}"
)
def step_stall(context, source, figure, after, stall, slowness):
    detector = StallDetector(TICK_S)
    speed = ServerSpeed(stall_detector=detector)
    detector.note_tick(NOW)
    resumed = NOW + TICK_S + stall
    detector.note_tick(resumed)
    now = resumed + after
    while (tick := detector._due_at) is not None and tick <= now:
        detector.note_tick(tick)
    if source == "figure":
        speed.note_report(figure, now)
    else:
        speed.apply_peer_report(figure, now, now)
    assert math.isclose(found := speed.find_slowness(now), slowness), found


# messages between VMs


@then(
    'after an own figure "{own}" and a peer\'s of {percent:d} that is {age:d} ms old a '
    "server counts as {slowness:g}"
)
def step_peer(context, own, percent, age, slowness):
    directory = build_directory()
    [state] = directory
    if own:
        figure, _, own_age = own.partition("@")
        state.speed.note_report(int(figure), NOW - int(own_age) / 1000)
    LoadGossip(directory).apply_loads([LoadHint("s0", 5, age, percent)], NOW)
    assert math.isclose(found := state.speed.find_slowness(NOW), slowness), found


@then(
    'after an own figure "" and a peer\'s of {percent:d} that is {age:d} ms old a '
    "server counts as {slowness:g}"
)
def step_peer_alone(context, percent, age, slowness):
    step_peer(context, "", percent, age, slowness)


@then(
    "a peer's figure of {usual:d} leaves the view without speeds, and one of {other:d} "
    "does not"
)
def step_view(context, usual, other):
    directory = build_directory()
    LoadGossip(directory).apply_loads([LoadHint("s0", 5, 0, usual)], NOW)
    assert not measure_loads(list(directory), NOW).slowness
    LoadGossip(directory).apply_loads([LoadHint("s0", 5, 0, other)], NOW + 1)
    assert measure_loads(list(directory), NOW + 1).slowness


def send_report(figure: int | None) -> LoadHint:
    directory = build_directory()
    [state] = directory
    state.note_load(5, 0, NOW)
    if figure is not None:
        state.speed.note_report(figure, NOW)
    [hint] = LoadGossip(directory).collect(NOW + 0.1).near
    return hint


@then("a report of {load:d} requests with the figure {figure:d} is sent as {sent}")
def step_sent(context, load, figure, sent):
    hint = send_report(figure)
    assert f"{hint.requests} and {hint.speed}" == sent, hint


@then("a report of {load:d} requests without a figure is sent as {sent}")
def step_sent_without(context, load, sent):
    hint = send_report(None)
    assert f"{hint.requests} and {hint.speed}" == sent, hint


OlderLoadHint = msgspec.defstruct(
    "OlderLoadHint",
    [("server", str), ("requests", int), ("age_ms", int)],
    array_like=True,
)
OlderHints = msgspec.defstruct(
    "OlderHints",
    [
        ("vm", str),
        ("homes", list),
        ("log_up", bool),
        ("failures", list),
        ("loads", list[OlderLoadHint]),
    ],
    array_like=True,
)
"""A datagram as builds without speed read and write it."""


@then(
    "a load with the figure {figure:d} takes {count:d} elements, and an older build "
    "reads it"
)
def step_bytes(context, figure, count):
    data = encode_hints(PeerHints("vm-1", [], loads=[LoadHint("s0", 5, 20, figure)]))
    assert len(msgspec.msgpack.decode(data)[4][0]) == count
    older = msgspec.msgpack.decode(data, type=OlderHints)
    assert older.loads == [OlderLoadHint("s0", 5, 20)]
    newer = msgspec.msgpack.decode(data, type=PeerHints)
    assert newer.loads == [LoadHint("s0", 5, 20, figure)]


@then("a load of 3 elements is read with the figure {figure:d}")
def step_older(context, figure):
    data = msgspec.msgpack.encode(
        OlderHints("vm-1", [], True, [], [OlderLoadHint("s0", 5, 20)])
    )
    newer = msgspec.msgpack.decode(data, type=PeerHints)
    assert newer.loads == [LoadHint("s0", 5, 20, figure)]
