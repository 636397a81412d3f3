"""Steps: gateway processes that are stopped for a while, as where a machine stalls."""

from __future__ import annotations

import asyncio
import re
import signal

from behave import given, then, when

from features.platform_support import PlatformFixture, encode_request
from standins.common import wait_for

HOST = "127.0.0.1"
EVENT_GAP_S = 0.1
BETWEEN_STOPS_S = 0.4


def run(context, work):
    return context.loop.run_until_complete(work)


def build_script(events: int):
    async def stream(reply) -> None:
        head = reply.head(200, b"Content-Type: text/event-stream\r\n")
        await reply.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(1, events + 1):
            await reply.send_chunk(b"id: %d\ndata: x\n\n" % number)
            await asyncio.sleep(EVENT_GAP_S)
        await reply.send_chunk(b"")

    return stream


@given('a gateway process before the servers "{names}" that stream for {seconds:g} s')
def step_streaming(context, names, seconds):
    async def start():
        fixture = context.platform = PlatformFixture()
        context.cleanups.append(fixture.stop)
        context.events = round(seconds / EVENT_GAP_S)
        await fixture.start()
        for name in names.split():
            server = await fixture.add_backend(name, "llm")
            server.script = build_script(context.events)
        await fixture.start_gateway("vm-1", HOST)

    run(context, start())


@when(
    "{count:d} streams begin and the process is stopped {stops:d} times for "
    "{seconds:g} s"
)
def step_stop(context, count, stops, seconds):
    fixture = context.platform

    async def ask():
        caller = await fixture.connect("vm-1", HOST)
        await caller.send(encode_request("/s/x", "k1", {}))
        answer = await caller.read()
        caller.close()
        return answer

    async def play():
        asked = [asyncio.ensure_future(ask()) for _ in range(count)]
        for _ in range(stops):
            await asyncio.sleep(BETWEEN_STOPS_S)
            fixture.processes["vm-1"].send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            fixture.processes["vm-1"].send_signal(signal.SIGCONT)
        context.answers = await asyncio.gather(*asked)
        log = fixture.find_log("vm-1")
        # Lines of a stop are written with the one that tells it.
        await wait_for(
            lambda: log.read_text().count('"event":"stalled"') == stops,
            "all stops are told",
        )

    run(context, play())


@then("each stream is whole and came from one server")
def step_whole(context):
    for answer in context.answers:
        ids = [int(found) for found in re.findall(rb"id: (\d+)", answer.data)]
        assert answer.status == 200, answer.data
        assert ids == list(range(1, context.events + 1)), ids
    received = sum(len(b.received) for b in context.platform.backends.values())
    assert received == len(context.answers), received


@then("no line says that a server went silent")
def step_no_silence(context):
    lines = context.platform.find_log("vm-1").read_text().splitlines()
    assert not [line for line in lines if "went silent" in line]
