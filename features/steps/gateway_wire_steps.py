"""Steps: the gateway before scripted backend servers."""

from __future__ import annotations

import asyncio
import json

from behave import given, then, when

from features.gateway_scripts import EVENTS, Scripts
from features.gateway_support import (
    GatewayFixture,
    RawAnswer,
    build_tree,
    encode_request,
)
from ramppin.gateway.process.limits.drain import DrainTimes
from ramppin.gateway.process.limits.retrybudget import RetryRules
from standins.common import wait_for


def run(context, work):
    return context.loop.run_until_complete(work)


async def build_gateway(context, backends, drain_times=None) -> GatewayFixture:
    fixture = GatewayFixture(drain_times=drain_times or DrainTimes())
    context.cleanups.append(fixture.stop)
    await fixture.start()
    fixture.publish(build_tree())
    for server_id, service in backends:
        await fixture.add_backend(server_id, service)
    await fixture.wait_until_ready(len(backends))
    return fixture


@given("a gateway before two plain servers")
def step_plain(context):
    context.fixture = run(
        context, build_gateway(context, [("p1", "plain"), ("p2", "plain")])
    )


@given("a gateway with short drain times before two plain servers")
def step_plain_short(context):
    times = DrainTimes(
        detection_s=0.3, accept_all_s=0.5, min_close_age_s=2.0, limit_s=5.0
    )
    context.fixture = run(
        context, build_gateway(context, [("p1", "plain"), ("p2", "plain")], times)
    )


@given("a gateway before two model servers")
def step_model(context):
    context.fixture = run(
        context, build_gateway(context, [("m1", "model"), ("m2", "model")])
    )


@given("a third plain server that is announced and does not listen")
def step_dead(context):
    async def add():
        backend = await context.fixture.add_backend("p3", "plain")
        await backend.stop()
        await context.fixture.wait_until_ready(3)

    run(context, add())


@given('backend servers that answer by "{name}"')
def step_script(context, name):
    context.scripts = Scripts()
    script = context.scripts.find(name)
    for backend in context.fixture.backends.values():
        backend.script = script


@given("servers that take {count:d} connections in all")
def step_few_connections(context, count):
    services = build_tree()["services"] | {"plain": {"max_connections": count}}
    context.fixture.publish(build_tree(2, services=services))
    gateway = context.fixture.gateway.context
    run(context, wait_for(lambda: gateway.version == 2, "version 2 in force"))


@when('{count:d} callers have requests at "{route}" that end together')
def step_together(context, count, route):
    async def ask_all():
        callers = [await context.fixture.connect() for _ in range(count)]
        for number, caller in enumerate(callers):
            await caller.send(encode_request(route, request_id=f"together-{number}"))
        await wait_for(
            lambda: len(context.fixture.list_received()) == count, "all are at work"
        )
        context.scripts.go_on.set()
        return [await caller.read() for caller in callers]

    answers = run(context, ask_all())
    assert [answer.status for answer in answers] == [200] * count


@then("at most {count:d} connection to each backend server is kept")
def step_kept(context, count):
    backends = context.fixture.backends.values()

    def are_few() -> bool:
        return max(b.connections - b.ended for b in backends) <= count

    async def measure_wait() -> float:
        began = context.loop.time()
        await wait_for(are_few, "surplus connections end")
        return context.loop.time() - began

    # A connection that was kept would end only after the pool's time, 4 s.
    assert run(context, measure_wait()) < 2.0


@given("a budget of {count:d} retry")
def step_budget(context, count):
    rules = RetryRules(ratio=0.0, extra=count)
    context.fixture.gateway.context.retry_budget.replace_rules(rules)


@given('a server "{server_id}" that is announced and does not listen')
def step_not_listening(context, server_id):
    run(context, context.fixture.backends[server_id].stop())


@when('through the gateway a caller sends {count:d} requests to "{route}", one by one')
def step_send_one_by_one(context, count, route):
    async def send():
        directory = context.fixture.gateway.context.directory
        answers = []
        for _ in range(count):
            for state in directory:
                state.health.ejected_until = float("-inf")
            answers.append(await context.fixture.ask(route))
        return answers

    context.answers = run(context, send())


@then(
    'each that began is cut after the events "{numbers}", whichever server came first'
)
def step_each_cut(context, numbers):
    expected = b"".join(EVENTS[int(number) - 1] for number in numbers.split())
    begun = [answer for answer in context.answers if answer.status == 200]
    assert len(begun) > 4, context.answers
    for answer in begun:
        assert answer.data.count(b"HTTP/1.1") == 1, answer.data
        assert not answer.whole
        assert answer.body == expected, answer.data


# requests


def frame(body: bytes, framing: str) -> bytes:
    if framing == "chunks":
        half = len(body) // 2
        parts = [part for part in (body[:half], body[half:]) if part]
        return b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts) + b"0\r\n\r\n"
    return body


@when(
    'through the gateway a caller sends "{method}" to "{path}" '
    "with a body of {size:d} bytes framed by {framing}"
)
def step_send_framed(context, method, path, size, framing):
    context.body = bytes(index % 251 for index in range(size))
    head = f"{method} {path} HTTP/1.1\r\nHost: assist.example\r\n"
    head += "Ramppin-Request-Id: a1\r\nRamppin-Api-Key: key-choir\r\nX-Own: Yes\r\n"
    head += "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nRamppin-Customer: forged\r\n"
    if framing == "length":
        head += f"Content-Length: {size}\r\n"
    elif framing == "chunks":
        head += "Transfer-Encoding: chunked\r\n"
    data = head.encode() + b"\r\n" + frame(context.body, framing)

    async def send():
        caller = await context.fixture.connect()
        await caller.send(data)
        return await caller.read()

    context.answer = run(context, send())


@then('one backend server got "{line}" with the same body')
def step_got(context, line):
    [received] = context.fixture.list_received()
    context.received = received
    assert received.line == f"{line} HTTP/1.1".encode(), received.line
    assert received.body == context.body
    assert received.headers[b"x-own"] == b"Yes"
    assert b"x-hop" not in received.headers
    assert b"transfer-encoding" not in received.headers


@then('it got the customer "{customer}", the server\'s id, and no key')
def step_got_headers(context, customer):
    headers = context.received.headers
    assert headers[b"ramppin-customer"] == customer.encode()
    assert headers[b"ramppin-backend-server"].decode() in context.fixture.backends
    assert b"ramppin-api-key" not in headers
    assert int(headers[b"ramppin-deadline-ms"]) <= 10_000


BYTES = {
    "other host": encode_request("/once/", host="other.example"),
    "no route": encode_request("/nowhere/"),
    "no key": encode_request("/once/", key=None),
    "wrong key": encode_request("/once/", key="wrong"),
    "large header": encode_request("/once/", headers={"X-Large": "x" * 3000}),
    "large body": encode_request("/once/", body=b"x" * 6000),
    "large chunks": encode_request("/once/", method="PUT")[:-2]
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + frame(b"x" * 6000, "chunks"),
    "smuggled": encode_request("/once/")[:-2]
    + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "two lengths": encode_request("/once/")[:-2] + b"Content-Length: 5\r\n\r\nabcde",
    "noise": b"\x00\x01\x02 noise\r\n\r\n",
    "public": encode_request("/open/", key=None),
}


@when(
    "through the gateway a caller sends a head of {head:d} bytes in two pieces "
    "and a body of {body:d} bytes"
)
def step_two_pieces(context, head, body):
    plain = encode_request("/once/", body=b"b" * body)
    padding = head - plain.index(b"\r\n\r\n") - len("X-Pad: \r\n")
    request = encode_request(
        "/once/", body=b"b" * body, headers={"X-Pad": "x" * padding}
    )
    send_in_pieces(context, request[:100], request[100:])


@when("through the gateway a caller sends a header of {size:d} bytes without its end")
def step_endless(context, size):
    request = encode_request("/once/", headers={"X-Large": "x" * size})
    send_in_pieces(context, request[:200], request[200 : size - 200])


ENDLESS = {
    "a trailer": (b"0\r\nX-Long: ", b"x", b"\r\n\r\n"),
    "a chunk line": (b"1;x=", b"x", b"\r\nb\r\n0\r\n\r\n"),
    "trailers": (b"0\r\n", b"X-Some: 1\r\n", b"\r\n"),
}
"""What begins a part of a request, what it goes on with, and its end."""

PIECE_BYTES = 900


@when(
    "through the gateway a caller sends a chunked body with {part} of {size:d} bytes "
    "that {ends}"
)
def step_endless_part(context, part, size, ends):
    begin, more, end = ENDLESS[part]
    head = encode_request("/once/", method="PUT")[:-2]
    head += b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n"
    pieces = size // PIECE_BYTES
    piece = more * (PIECE_BYTES // len(more))

    async def send():
        caller = await context.fixture.connect()
        await caller.send(head + begin)
        for _ in range(pieces):
            # Each piece is read by itself.
            await asyncio.sleep(0.002)
            await caller.send(piece)
        if ends == "ends":
            await caller.send(end)
        return await caller.read()

    context.answer = run(context, send())


def send_in_pieces(context, first: bytes, second: bytes) -> None:
    listener = context.fixture.gateway.context.listener

    async def send():
        caller = await context.fixture.connect()
        await caller.send(first)
        await wait_for(
            lambda: any(not c.idle for c in listener.connections), "a head began"
        )
        await caller.send(second)
        return await caller.read()

    context.answer = run(context, send())


STOPPED = {
    "nothing": b"",
    "blank lines": b"\r\n\r\n",
    "half a head": encode_request("/once/")[:40],
    "half a body": encode_request("/once/", body=b"x" * 100)[:-50],
    "a request, half a head": encode_request("/once/") + encode_request("/once/")[:40],
}


@when('through the gateway a caller sends "{sent}" and stops')
def step_send_and_stop(context, sent):
    async def send():
        context.caller = await context.fixture.connect()
        await context.caller.send(STOPPED[sent])
        listener = context.fixture.gateway.context.listener
        await wait_for(lambda: len(listener.connections) == 1, "it is connected")
        [context.connection] = listener.connections
        if sent.startswith("a request"):
            await context.caller.read()
        elif sent == "nothing":
            return
        else:
            await wait_for(
                lambda: context.connection.idle_until is None, "bytes were taken"
            )

    run(context, send())


@then("after {limit} without a byte the connection ends with {end:d}")
def step_ends(context, limit, end):
    limits = context.fixture.gateway.context.listener.limits
    wait_s = {
        "the idle timeout": limits.idle_timeout_s,
        "the header timeout": limits.header_timeout_s,
    }[limit]

    async def wait():
        now = asyncio.get_running_loop().time()
        context.connection.check_timeouts(now + wait_s * 0.5)
        assert not context.connection.closed, "ended early"
        context.connection.check_timeouts(now + wait_s)
        return await context.caller.wait_for_end()

    data = run(context, wait())
    assert RawAnswer(data).status == end, data


@then(
    'the gateway\'s log has a line "{event}" with the status {status:d} and "{reason}"'
)
def step_log_line(context, event, status, reason):
    def find_line():
        context.fixture.gateway.context.decisions.flush()
        lines = map(json.loads, context.fixture.log_path.read_text().splitlines())
        return any(
            (line["event"], line.get("status")) == (event, status)
            and line["reason"].startswith(reason)
            for line in lines
        )

    run(context, wait_for(find_line, "the line is written"))


@when('through the gateway a caller sends the bytes of "{name}"')
def step_send_bytes(context, name):
    async def send():
        caller = await context.fixture.connect()
        await caller.send(BYTES[name])
        return await caller.read()

    context.answer = run(context, send())


@then("no backend server got anything")
def step_got_nothing(context):
    assert not context.fixture.list_received()


@when('through the gateway a caller sends a request to "{route}"')
def step_send(context, route):
    context.answer = run(context, context.fixture.ask(route))


@when(
    'through the gateway a caller sends "{method}" to "{route}" twice on one connection'
)
def step_send_twice(context, method, route):
    async def add_models() -> None:
        for server_id in ("m1", "m2"):
            backend = await context.fixture.add_backend(server_id, "model")
            backend.script = context.fixture.backends["p1"].script
        await context.fixture.wait_until_ready(4)

    async def read_head(caller) -> bytes:
        return await asyncio.wait_for(caller.reader.readuntil(b"\r\n\r\n"), 1.0)

    async def send():
        await add_models()
        caller = await context.fixture.connect()
        answers = []
        for number in range(2):
            await caller.send(
                encode_request(route, method=method, request_id=f"h{number}")
            )
            answers.append(RawAnswer(await read_head(caller)))
        return answers

    context.answers = run(context, send())


@then('each is answered with {status:d} and the length "{length}" within 1 s')
def step_each_head(context, status, length):
    for number, answer in enumerate(context.answers):
        assert answer.status == status, answer.data
        assert b"ramppin-request-id: h%d" % number in answer.head, answer.data
        assert b"transfer-encoding" not in answer.head, answer.data
        _, found, rest = answer.head.partition(b"content-length: ")
        assert (rest.split(b"\r\n")[0].decode() if found else "none") == length


@then("the answer is {status:d}")
def step_status(context, status):
    assert context.answer.status == status, context.answer.data


ENDS = {"whole": "framed", "broken": "broken", "closed": "until close"}
"""How an answer ends for its caller, by the words of the tables."""


@then("the answer is {status:d} and {whole:w}")
def step_status_whole(context, status, whole):
    assert context.answer.status == status, context.answer.data
    assert context.answer.end == ENDS[whole], context.answer.data


@then('the body is "{body}"')
def step_body(context, body):
    assert context.answer.body == body.encode(), context.answer.data


@then('the body is ""')
def step_no_body(context):
    assert context.answer.body == b"", context.answer.data


@then("at most {count:d} requests were received")
def step_runs(context, count):
    assert len(context.fixture.list_received()) <= count


@then("every connection to backend servers ends")
def step_connections_end(context):
    backends = context.fixture.backends.values()
    run(
        context,
        wait_for(
            lambda: all(b.ended == b.connections for b in backends),
            "all connections ended",
        ),
    )


@then("at most {count:d} connections reached backend servers")
def step_connections(context, count):
    backends = context.fixture.backends.values()
    assert sum(backend.connections for backend in backends) <= count


@when(
    'through the gateway a caller sends {count:d} requests to "{route}" '
    "on one connection"
)
def step_send_many(context, count, route):
    async def send():
        answers = []
        caller = await context.fixture.connect()
        for number in range(count):
            await caller.send(encode_request(route, request_id=f"r{number}"))
            answers.append(await caller.read())
        return answers

    context.answers = run(context, send())


@when(
    'through the gateway a caller sends {count:d} requests to "{route}" '
    "at once on one connection"
)
def step_send_ahead(context, count, route):
    async def send():
        caller = await context.fixture.connect()
        requests = [
            encode_request(route, request_id=f"r{number}") for number in range(count)
        ]
        await caller.send(b"".join(requests))
        data = b""
        while data.count(b"answer") < count:
            part = await asyncio.wait_for(caller.reader.read(65536), 20)
            assert part, data
            data += part
        return [RawAnswer(b"HTTP/1.1" + p) for p in data.split(b"HTTP/1.1")[1:]]

    context.answers = run(context, send())


@then("each answer is 200 with its own id")
def step_each(context):
    for number, answer in enumerate(context.answers):
        assert answer.status == 200, answer.data
        assert b"ramppin-request-id: r%d" % number in answer.head, answer.data
        assert b"surplus" not in answer.data


@then("the answer {says} when to come back")
def step_tells(context, says):
    assert (b"retry-after:" in context.answer.head) == (says == "says")


@when('through the gateway a caller sends a request to "{route}" and disconnects')
def step_leave(context, route):
    async def leave():
        caller = await context.fixture.connect()
        await caller.send(encode_request(route))
        await wait_for(context.fixture.list_received, "the request arrived")
        caller.close()

    run(context, leave())


@then("a backend server sees its connection close")
def step_sees_close(context):
    backends = context.fixture.backends.values()
    run(
        context,
        wait_for(lambda: any(b.closed for b in backends), "the server saw the leave"),
    )
