"""Steps: streams through the gateway."""

from __future__ import annotations

import asyncio

from behave import then, when

from features.gateway_scripts import EVENTS
from features.gateway_support import RawAnswer, encode_request


def run(context, work):
    return context.loop.run_until_complete(work)


@then('the events are "{numbers}"')
def step_events(context, numbers):
    expected = b"".join(EVENTS[int(number) - 1] for number in numbers.split())
    assert context.answer.body == expected, context.answer.data


@then('the events are ""')
def step_no_events(context):
    assert context.answer.body == b""


@then('the second request asked to continue after "{event_id}"')
def step_continued(context, event_id):
    received = sorted(
        context.fixture.list_received(),
        key=lambda request: request.headers.get(b"last-event-id", b""),
    )
    assert received[1].headers[b"last-event-id"] == event_id.encode()
    servers = {r.headers[b"ramppin-backend-server"] for r in received}
    assert len(servers) == 2, servers


@when('a caller begins a stream on "{route}"')
def step_begin(context, route):
    async def begin():
        context.caller = await context.fixture.connect()
        await context.caller.send(encode_request(route))

    run(context, begin())


@then("each event arrives before the next is made")
def step_as_they_come(context):
    async def follow():
        data = b""
        for number, event in enumerate(EVENTS, 1):
            while event not in data:
                part = await asyncio.wait_for(context.caller.reader.read(65536), 20)
                assert part, data
                data += part
            assert context.scripts.sent <= number
            context.scripts.go_on.set()
        answer = await context.caller.read(RawAnswer(data))
        assert answer.whole

    run(context, follow())


@when('a caller begins a stream on "{route}" and does not read')
def step_begin_unread(context, route):
    async def begin():
        caller = await context.fixture.connect()
        caller.writer.transport.pause_reading()
        await caller.send(encode_request(route))

    run(context, begin())


@then("the backend server is paused, with less than {limit:d} bytes in the gateway")
def step_paused(context, limit):
    # What the kernel's buffers take differs from machine to machine (up to 32 MB each);
    # what the gateway keeps itself does not.
    listener = context.fixture.gateway.context.listener

    async def settle():
        before, same = -1, 0
        while same < 20:
            await asyncio.sleep(0.02)
            same = same + 1 if context.scripts.sent == before else 0
            before = context.scripts.sent
            for connection in listener.connections:
                size = connection._transport.get_write_buffer_size()
                assert size < limit, size

    run(context, settle())
    assert context.scripts.sent > 0
