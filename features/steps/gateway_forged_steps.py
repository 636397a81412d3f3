"""Steps: callers that send headers which only ramppin sets."""

from __future__ import annotations

from behave import given, then, when

from features.gateway_support import GatewayFixture, build_tree, encode_request
from ramppin.gateway.connection.httpwire import HeaderNames
from standins.backend import Reply

NAMES = HeaderNames()
FORGED = b"77:7"
"""A value that ramppin sets for none of its headers, and that is a prompt part."""

OWN_HEADER = "X-Own"

ONE_EVENT = b"id: 1\ndata: piece 1\n\n"


def run(context, work):
    return context.loop.run_until_complete(work)


async def refuse_orders(reply: Reply) -> None:
    """Refuse what names a reservation or a copy that is not here."""
    headers = reply.request.headers
    if NAMES.reservation in headers or NAMES.resume_from in headers:
        await reply.answer(503, b"", headers=b"%b: 1\r\n" % NAMES.not_run)
    else:
        await reply.answer(body=ONE_EVENT)


async def build_gateway(context) -> GatewayFixture:
    fixture = GatewayFixture()
    context.cleanups.append(fixture.stop)
    await fixture.start()
    fixture.publish(build_tree())
    for server_id, service in (("p1", "plain"), ("m1", "model"), ("m2", "model")):
        backend = await fixture.add_backend(server_id, service)
        backend.script = refuse_orders
    await fixture.wait_until_ready(3)
    return fixture


@given("a gateway before a plain and a model server that refuses orders")
def step_gateway(context):
    context.fixture = run(context, build_gateway(context))


def insert_headers(request: bytes, lines: list[bytes]) -> bytes:
    """Return a request with further lines at the end of its head."""
    head, _, body = request.partition(b"\r\n\r\n")
    return b"\r\n".join([head, *lines]) + b"\r\n\r\n" + body


def forge(route: str, field: str, how: str) -> bytes:
    """Return a request with a caller's own value of a header."""
    name = getattr(NAMES, field)
    line = name + b": " + FORGED
    # The caller's first key counts: without one of its own, the forged one would.
    request = encode_request(route, request_id="a1")
    if field == "request_id":
        request = request.replace(b"Ramppin-Request-Id: a1\r\n", b"")
    if how == "behind the body":
        head = request.partition(b"\r\nContent-Length")[0]
        chunked = head + b"\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
        return chunked + line + b"\r\n\r\n"
    lines = {
        "once": [line],
        "in capitals": [name.upper() + b": " + FORGED],
        "twice": [line, name.title() + b": " + FORGED],
        "listed in Connection": [line, b"Connection: keep-alive, " + name],
    }
    return insert_headers(request, lines[how])


async def send(context, data: bytes):
    caller = await context.fixture.connect()
    await caller.send(data)
    return await caller.read()


@when('through the gateway a caller sets for "{route}" the "{field}" {how}')
def step_forge(context, route, field, how):
    context.answer = run(context, send(context, forge(route, field, how)))


@when('through the gateway a caller lists a header of its own in "{how}"')
def step_listed(context, how):
    listing = [f"Connection: {OWN_HEADER}".encode()]
    if how == "the second Connection":
        listing.insert(0, b"Connection: keep-alive")
    lines = [f"{OWN_HEADER}: 1".encode(), *listing]
    request = insert_headers(encode_request("/once/"), lines)
    context.answer = run(context, send(context, request))


def find_received(context):
    """Return the one request that servers got."""
    [received] = context.fixture.list_received()
    return received


@then('one server got the request, without the caller\'s "{field}"')
def step_without(context, field):
    values = find_received(context).headers
    assert values.get(getattr(NAMES, field)) != FORGED, values


@then('one server got the request, with the caller\'s "{field}"')
def step_with(context, field):
    values = find_received(context).headers
    assert values.get(getattr(NAMES, field)) == FORGED, values


@then("one server got the request, without that header")
def step_without_own(context):
    assert OWN_HEADER.lower().encode() not in find_received(context).headers
