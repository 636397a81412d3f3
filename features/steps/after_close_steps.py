"""Steps: requests behind an answer that announces the close of its connection."""

from __future__ import annotations

import asyncio
from unittest import mock

from behave import then, when

from features.gateway_scripts import EVENTS, Scripts
from features.gateway_support import encode_request
from standins.common import wait_for

ROUTE = "/stream/"


def run(context, work):
    return context.loop.run_until_complete(asyncio.wait_for(work, 30))


async def wait_for_events(scripts: Scripts, count: int) -> None:
    await wait_for(lambda: scripts.sent >= count, f"{count} events are sent")


@when(
    "it stops while a stream is answered, and its caller, a {reader} reader, sends "
    "{more:d} requests behind it"
)
def step_stop(context, reader, more):
    fixture, scripts = context.fixture, context.scripts

    async def play() -> None:
        caller = context.caller = await fixture.connect()
        listener = fixture.gateway.context.listener
        fixture.gateway.start_drain()
        await caller.send(encode_request(ROUTE, request_id="first"))
        await wait_for(lambda: scripts.sent, "the answer has begun")
        [connection] = listener.connections
        await wait_for(lambda: connection.answer_started, "the close is announced")
        if reader == "slow":
            connection.memory = mock.Mock(may_start_next=False)
        await caller.send(encode_request(ROUTE, request_id="later") * more)
        await wait_for(lambda: len(connection._queue) == more, "all are read")
        for count in range(2, len(EVENTS) + 1):
            scripts.go_on.set()
            await wait_for_events(scripts, count)
        scripts.go_on.set()
        context.data = await caller.wait_for_end()

    run(context, play())


@then(
    "the stream is whole, and each of the {more:d} is answered 503 with when to come "
    "back"
)
def step_refused(context, more):
    first, *later = context.data.split(b"HTTP/1.1 ")[1:]
    assert first.startswith(b"200 "), first
    assert first.count(b"data: piece") == len(EVENTS), first
    assert first.endswith(b"0\r\n\r\n"), first
    assert len(later) == more, context.data
    assert all(answer.startswith(b"503 ") for answer in later), later
    assert all(b"retry-after" in answer.lower() for answer in later), later


@then("one request reached a server")
def step_one(context):
    received = context.fixture.list_received()
    assert len(received) == 1, received
