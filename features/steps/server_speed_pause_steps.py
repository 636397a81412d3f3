"""Steps: the longest pause of a stream, on an injected clock."""

from __future__ import annotations

import asyncio
import json

from behave import given, then, when

from features.gateway_support import (
    HOST,
    GatewayFixture,
    build_tree,
)
from ramppin.clock import ClockLoop
from ramppin.errors import SettingsError
from ramppin.gateway.connection.httpwire import HeaderNames
from ramppin.gateway.connection.upstream import AnswerHead
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.routing.serverstate import BackendServer, ServerState
from ramppin.gateway.request.attempt import MAX_BUFFERED_BYTES, Attempt
from ramppin.gateway.request.destination import ServerDestination
from ramppin.gateway.version.routingfile import TreeDecoder
from ramppin.losses import Grouping, LossReport
from ramppin_platform.records import PlatformDecoder

EVENT = b"data: x\n\n"
PART = b"data: "
REQUEST_ID = b"q1"


def run(context, work):
    return context.loop.run_until_complete(work)


class SilentCaller:
    """A caller's connection that accepts everything, without a memory budget."""

    memory = None

    def start_stream(self, status, headers, length, *, is_confirmed) -> None:
        pass

    def send_body(self, data) -> None:
        assert data

    def end_stream(self) -> None:
        pass

    def send_answer(self, status, headers, body, *, is_confirmed) -> None:
        pass


class SilentConnection:
    """A backend server's connection that does nothing."""

    def send(self, head, body, receiver, *, head_request, counted) -> None:
        pass

    def abort(self) -> None:
        pass

    def pause(self) -> None:
        pass

    def resume(self) -> None:
        pass


class SteppedStream:
    """Attempts of one request on a clock that the scenario sets."""

    def __init__(self, context, *, streams: bool, resumable: bool) -> None:
        self.clock = 0.0
        context.loop.close()
        context.loop = ClockLoop(lambda: self.clock)
        asyncio.set_event_loop(context.loop)
        self.streams = streams
        self.resumable = resumable
        self.names = HeaderNames()
        self.attempt: Attempt | None = None
        self.state = ServerState(BackendServer("s0", "m", "127.0.0.1", 1))

    def build_attempt(self) -> Attempt:
        return Attempt(
            self.names,
            SilentCaller(),
            REQUEST_ID,
            ServerDestination(self.names, self.state, note_notice=lambda notice: None),
            previous=self.attempt,
            streams=self.streams,
            resumable=self.resumable,
            may_take_over=lambda: False,
        )

    def build_head(self, status: int = 200, *headers: tuple) -> AnswerHead:
        own = [(self.names.request_id, REQUEST_ID), (self.names.signature, b"1")]
        return AnswerHead(status, [*own, *headers], None)

    def begin(self) -> None:
        self.attempt = self.build_attempt()
        self.attempt._connection = SilentConnection()
        assert self.attempt.accept_head(self.build_head())

    def take(self, step: str) -> None:
        if step == "piece":
            self.attempt.accept_body(EVENT)
        elif step == "large piece":
            # An answer that is no stream is buffered up to a size.
            self.attempt.accept_body(b"x" * (MAX_BUFFERED_BYTES + 1))
        elif step == "part":
            self.attempt.accept_body(PART)
        elif step == "server":
            self.begin()
        else:
            self.attempt.set_paused(step == "hold")


async def measure(stream: SteppedStream, steps: str) -> str:
    stream.begin()
    for step in filter(None, steps.split(", ")):
        at, _, what = step.partition(" ")
        stream.clock = float(at)
        stream.take(what)
    longest_s = stream.attempt.pauses.longest_s
    return "none" if longest_s is None else f"{longest_s * 1000:.0f}"


@then('a stream with "{steps}" has the longest pause "{pause}"')
def step_pause(context, steps, pause):
    stream = SteppedStream(context, streams=True, resumable=True)
    assert (found := run(context, measure(stream, steps))) == pause, found


@then('a stream with "" has the longest pause "{pause}"')
def step_no_piece(context, pause):
    step_pause(context, "", pause)


@then(
    "an answer of a {kind} route in two pieces 0.5 s apart has the longest pause "
    '"{pause}"'
)
def step_kind(context, kind, pause):
    stream = SteppedStream(context, streams=kind == "stream", resumable=False)
    found = run(context, measure(stream, "0.0 large piece, 0.5 large piece"))
    assert found == pause, found


def decode_target(style: str, settings: str) -> float | None:
    if style == "ramppin":
        rules = json.loads("{" + settings + "}")
        node = {"service": "plain", "rules": rules}
        tree = build_tree(hosts={HOST: {"routes": {"/p/": node}}})
        table = TreeDecoder().decode_table(Record("s", json.dumps(tree).encode(), 1))
    else:
        route = {"name": "p", "host": HOST, "path_prefix": "/p/", "type": "streaming"}
        route |= json.loads("{" + settings + "}")
        value = json.dumps({"version": 1, "routes": [route]}).encode()
        table = PlatformDecoder().decode_table(Record("s", value, 1))
    return table.routes[0].target_pause_s


@then('a route with "{settings}" in {style} has the target pause "{target}"')
def step_target(context, settings, style, target):
    try:
        found = decode_target(style, settings.strip('"') and settings)
    except SettingsError:
        assert target == "refused", settings
        return
    assert ("none" if found is None else f"{found * 1000:.0f}") == target, found


@then('a route with "" in {style} has the target pause "{target}"')
def step_no_target(context, style, target):
    step_target(context, "", style, target)


@given(
    "a gateway with a target pause of {target:g} s before a server that pauses "
    "for {pause:g} s"
)
def step_gateway(context, target, pause):
    async def answer(reply) -> None:
        await reply.start_events()
        await reply.send_chunk(EVENT)
        await asyncio.sleep(pause)
        await reply.send_chunk(EVENT)
        await reply.send_chunk(b"")

    async def start() -> None:
        fixture = context.fixture = GatewayFixture()
        context.cleanups.append(fixture.stop)
        await fixture.start()
        rules = {"time_limit_s": 10.0, "target_pause_s": target}
        fixture.publish(build_tree(rules=rules))
        backend = await fixture.add_backend("m1", "model")
        backend.script = answer
        await fixture.wait_until_ready(1)

    run(context, start())


@when("a caller reads a stream of it to its end")
def step_read(context):
    context.answer = run(context, context.fixture.ask("/stream/"))
    assert context.answer.whole
    assert context.answer.body == 2 * EVENT


@then(
    "the line answered has a pause of at least {least:d} ms and the target {target:d}"
)
def step_line(context, least, target):
    context.fixture.gateway.context.decisions.flush()
    context.lines = context.fixture.log_path.read_text().splitlines()
    [line] = [
        line
        for text in context.lines
        if (line := json.loads(text))["event"] == "answered"
    ]
    assert line["pause_ms"] >= least, line
    assert line["target_pause_ms"] == target, line


@then('"ramppin losses" counts it as "{rule}"')
def step_counted(context, rule):
    report = LossReport()
    report.take_lines("gateway", context.lines)
    assert set(report.groups[Grouping.RULE]) == {rule}, report.groups[Grouping.RULE]
