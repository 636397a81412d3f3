"""Steps: a gateway that stops as planned."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import socket
from dataclasses import replace

from behave import given, then, when

from features.gateway_support import (
    HOST,
    RawAnswer,
    RawCaller,
    build_tree,
    encode_request,
)
from ramppin.gateway.process.limits.drain import POLL_S, Drain, DrainTimes
from ramppin.signals import SignalTime
from standins.common import wait_for


def run(context, work):
    return context.loop.run_until_complete(work)


@given("a caller with an open connection")
def step_open_connection(context):
    async def open_one():
        context.caller = await context.fixture.connect()
        await context.caller.send(encode_request("/once/"))
        answer = await context.caller.read()
        assert answer.status == 200, answer.data

    run(context, open_one())


async def begin_request(context) -> None:
    context.caller = await context.fixture.connect()
    await context.caller.send(encode_request("/once/"))
    await wait_for(context.fixture.list_received, "the request arrived")


@when("a caller has a request in flight and the gateway begins a planned stop")
def step_in_flight_stop(context):
    async def stop():
        await begin_request(context)
        context.fixture.gateway.start_drain()

    run(context, stop())


@when("a caller has a request in flight and the gateway began a planned stop long ago")
def step_in_flight_long_ago(context):
    async def stop():
        await begin_request(context)
        context.fixture.gateway.start_drain()
        drain = context.fixture.gateway.context.drain
        loop = asyncio.get_running_loop()
        await wait_for(
            lambda: not drain.may_accept(10.0, loop.time()), "late in the stop"
        )

    run(context, stop())


@then("a connection of {age:g} s that is idle is {fate} {passed:g} s after the stop")
def step_resting(context, age, fate, passed):
    times = DrainTimes(detection_s=2.3, min_close_age_s=0.5)
    drain = Drain(times, SignalTime(earliest=0.0, handled=0.0))
    assert drain.may_close(passed - age, passed) == (fate == "closed")


@then("it is not ready")
def step_not_ready(context):
    async def ask():
        port = context.fixture.gateway.readiness_port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return line

    line = run(context, ask())
    assert b" 503 " in line, line


@then("the request in flight is answered whole with a request to close")
def step_finished(context):
    context.scripts.go_on.set()
    answer = run(context, context.caller.read())
    assert answer.status == 200, answer.data
    assert answer.whole
    assert b"connection: close" in answer.head


@then("the gateway stops")
def step_stops(context):
    run(context, asyncio.wait_for(context.fixture.gateway.stopped.wait(), 20))


@then('a new request to "{route}" is refused with when to come back')
def step_refused(context, route):
    answer = run(context, context.fixture.ask(route))
    assert answer.status == 503, answer.data
    assert b"retry-after:" in answer.head


@then("a request on a connection opened {polls:d} polls ago gets an answer")
def step_opened_before(context, polls):
    async def ask():
        caller = await context.fixture.connect()
        await asyncio.sleep(polls * POLL_S)
        await caller.send(encode_request("/once/"))
        return await caller.read()

    answer = run(context, ask())
    assert answer.status == 503, answer.data


@then('a new request to "{route}" is taken')
def step_taken(context, route):
    async def ask():
        before = len(context.fixture.list_received())
        caller = await context.fixture.connect()
        await caller.send(encode_request(route))
        await wait_for(
            lambda: len(context.fixture.list_received()) > before, "it was taken"
        )
        context.scripts.go_on.set()
        return await caller.read()

    answer = run(context, ask())
    assert answer.status == 200, answer.data


@when("the gateway begins a planned stop")
def step_stop(context):
    async def stop():
        context.fixture.gateway.start_drain()
        await asyncio.sleep(0)

    run(context, stop())


@then("the open connection is closed by the gateway")
def step_closed(context):
    assert run(context, context.caller.wait_for_end()) == b""


@when("the gateway has written {lines:d} lines and stops at once")
def step_many_lines(context, lines):
    gateway = context.fixture.gateway
    for number in range(lines):
        gateway.context.decisions.note("denied", number=number)
    run(context, gateway.stop())


@then('its last line is "{event}"')
def step_last_line(context, event):
    last = context.fixture.log_path.read_text().splitlines()[-1]
    assert json.loads(last)["event"] == event, last


@given(
    "a stop whose signal came between 0 s and {handled:g} s, with a delay of "
    "{delay:g} s since"
)
def step_signal(context, handled, delay):
    context.drain = Drain(DrainTimes(), SignalTime(earliest=0.0, handled=handled))
    context.drain.note_delay(delay)


@then("requests of {limit:g} s are taken at {taken:g} s and refused at {refused:g} s")
def step_taken_until(context, limit, taken, refused):
    assert context.drain.may_accept(limit, taken)
    assert not context.drain.may_accept(limit, refused)


@then("it ends at {ends:g} s")
def step_ends(context, ends):
    assert math.isclose(context.drain.ends_at, ends), context.drain.ends_at


def end_at_once(gateway) -> None:
    """Begin a planned stop whose limit is reached at once."""
    times = replace(gateway.config.drain_times, limit_s=0.0)
    gateway.reload(replace(gateway.config, drain_times=times))
    gateway.start_drain()


@when("a planned stop reaches its limit in the turn in which a request is read")
def step_limit_while_read(context):
    async def stop():
        gateway = context.fixture.gateway
        [connection] = gateway.context.listener.connections
        connection.data_received(encode_request("/once/"))
        end_at_once(gateway)
        await gateway.stopped.wait()

    run(context, stop())


@when("a caller has a request in flight and a planned stop reaches its limit")
def step_limit_in_flight(context):
    async def stop():
        await begin_request(context)
        end_at_once(context.fixture.gateway)
        await context.fixture.gateway.stopped.wait()

    run(context, stop())


@then("the caller gets a {status:d} that {promise}")
def step_last_answer(context, status, promise):
    answer = run(context, context.caller.read())
    assert answer.status == status, answer.data
    assert answer.whole
    is_promised = promise == "says when to come back"
    assert (b"retry-after:" in answer.head) == is_promised, answer.head


@when("{count:d} requests are sent at once and the gateway begins a planned stop")
def step_at_once(context, count):
    async def stop():
        context.caller = await context.fixture.connect()
        await context.caller.send(encode_request("/once/") * count)
        await wait_for(context.fixture.list_received, "the first arrived")
        context.fixture.gateway.start_drain()
        context.scripts.go_on.set()

    run(context, stop())


@then("{count:d} requests are answered, and the last answer closes the connection")
def step_all_answered(context, count):
    data = run(context, context.caller.wait_for_end()).lower()
    assert data.count(b"http/1.1 200") == count, data
    assert data.count(b"connection: close") == 1, data
    assert data.rindex(b"connection: close") > data.rindex(b"http/1.1 200"), data


@given("backend servers that begin an answer and end it on demand")
def step_begin_answer(context):
    context.go_on = asyncio.Event()
    context.note_end = lambda: None

    async def script(reply) -> None:
        await reply.start_events()
        await reply.send_chunk(b"id: 1\ndata: x\n\n")
        await context.go_on.wait()
        await reply.send_chunk(b"")
        context.note_end()

    for backend in context.fixture.backends.values():
        backend.script = script
    tree = build_tree()
    routes = tree["hosts"][HOST]["routes"]
    routes["/stream/"] = routes["/stream/"] | {"service": "plain"}
    context.fixture.publish(tree | {"version": 2})


@when("a stopping gateway has begun an answer, and another request follows")
def step_follow(context):
    async def play():
        gateway = context.fixture.gateway
        await wait_for(lambda: gateway.context.version == 2, "new settings")
        gateway.start_drain()
        context.caller = await context.fixture.connect()
        await context.caller.send(encode_request("/stream/"))
        context.first = RawAnswer()
        while b"data: x" not in context.first.data:
            context.first.data += await context.caller.reader.read(65536)
        await context.caller.send(encode_request("/stream/", request_id="a2"))
        [connection] = gateway.context.listener.connections
        await wait_for(lambda: connection._queue, "the other request was read")
        context.go_on.set()
        context.first.data += await context.caller.wait_for_end()

    run(context, play())


@then("the answer is whole, and the other request is refused without running")
def step_follow_refused(context):
    first, _, second = context.first.data.partition(b"\r\n0\r\n\r\n")
    assert b"connection: close" in first.lower(), first
    assert second.startswith(b"HTTP/1.1 503 "), second
    assert b"Retry-After" in second, second
    ids = [r.headers[b"ramppin-request-id"] for r in context.fixture.list_received()]
    assert ids == [b"a1"], ids


@given("backend servers that answer {size:d} bytes")
def step_long_answer(context, size):
    async def script(reply) -> None:
        await reply.answer(body=b"x" * size)

    for backend in context.fixture.backends.values():
        backend.script = script


@when("a caller of a stopping gateway reads nothing for 0.3 s and sends more meanwhile")
def step_send_more(context):
    async def play():
        gateway = context.fixture.gateway
        gateway.start_drain()
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        raw.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(raw, ("127.0.0.1", gateway.caller_port))
        [connection] = await wait_for(
            lambda: list(gateway.context.listener.connections), "it is open"
        )
        await loop.sock_sendall(raw, encode_request("/once/"))
        await wait_for(lambda: connection.closed, "the answer was written")
        for _ in range(3):
            await asyncio.sleep(0.1)
            with contextlib.suppress(ConnectionError):
                await loop.sock_sendall(raw, b"POST /once/ HTTP/1.1\r\n")
        reader, writer = await asyncio.open_connection(sock=raw)
        context.caller = RawCaller(0, reader, writer)
        context.fixture.callers.append(context.caller)
        context.first = await context.caller.read()

    run(context, play())


@then("it still gets the whole answer")
def step_whole(context):
    answer = context.first
    assert answer.whole, (len(answer.data), answer.was_reset)


@when("the end of an answer arrives just before a planned stop reaches its limit")
def step_end_arrives(context):
    async def play():
        gateway = context.fixture.gateway
        await wait_for(lambda: gateway.context.version == 2, "new settings")
        context.caller = await context.fixture.connect()
        await context.caller.send(encode_request("/stream/"))
        context.first = RawAnswer()
        while b"data: x" not in context.first.data:
            context.first.data += await context.caller.reader.read(65536)
        # The stop runs in the turn in which the loop would read the end.
        context.note_end = lambda: end_at_once(gateway)
        context.go_on.set()
        await gateway.stopped.wait()
        context.first.data += await context.caller.wait_for_end()

    run(context, play())


@then("the caller gets the whole answer")
def step_got_whole(context):
    assert context.first.whole, context.first.data
