"""Steps: answers without length or chunks, which end with their connection."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass

from behave import then, when

from features.gateway_scripts import EVENTS
from features.gateway_support import RawAnswer, encode_request
from features.steps.forwarding_steps import HOSTS, Fleet
from standins.backend import Reply
from standins.common import wait_for

PATHS = ("direct", "forwarded")

TWO_EVENTS = b"".join(EVENTS[:2])
ALL_EVENTS = b"".join(EVENTS)

BODIES = {
    "whole": b"answer",
    "broken off": b"ans",
    "large, broken off": b"x" * 300_000,
    "events": ALL_EVENTS,
    "CRLF events": ALL_EVENTS.replace(b"\n", b"\r\n"),
    "CR events": ALL_EVENTS.replace(b"\n", b"\r"),
    "two events": TWO_EVENTS,
    "a CRLF event": EVENTS[0].replace(b"\n", b"\r\n"),
    "a CR event": EVENTS[0].replace(b"\n", b"\r"),
    "inside an event": TWO_EVENTS + EVENTS[2][:8],
    "one newline short": TWO_EVENTS + EVENTS[2][:-1],
    "inside a CRLF event": b"".join(EVENTS[:2]).replace(b"\n", b"\r\n")[:-2],
    "inside a CR event": b"".join(EVENTS[:2]).replace(b"\n", b"\r")[:-1],
    "inside a comment": TWO_EVENTS + b": ping",
    "inside its first event": EVENTS[0][:8],
    "no event": b"",
    "nothing": b"",
}
"""What servers send and callers get, by the words of the tables."""


@dataclass(frozen=True)
class Row:
    """One answer.

    Attributes:
        route: the request's path.
        answer: what the server sends, in words.
        end: how it ends the connection.
        caller: the protocol that the caller speaks.
        gets: the status, and how the answer ends for the caller.
        holds: the body that the caller gets, in words.
    """

    route: str
    answer: str
    end: str
    caller: str
    gets: str
    holds: str


def run(context, work):
    return context.loop.run_until_complete(asyncio.wait_for(work, 120))


def build_script(row: Row):
    """Return a script that sends the row's answer once, and whole streams after it."""
    sent: list[Reply] = []

    async def script(reply: Reply) -> None:
        is_stream = row.route in ("/stream/", "/resume/")
        kind = b"Content-Type: text/event-stream\r\n" if is_stream else b""
        body = BODIES[row.answer]
        if sent and row.route == "/resume/":
            after = int(reply.request.headers.get(b"last-event-id", b"0"))
            body = b"".join(EVENTS[after:])
            length = b"Content-Length: %d\r\n\r\n" % len(body)
            await reply.send(reply.head(200, kind) + length + body)
            return
        sent.append(reply)
        await reply.send(reply.head(200, kind) + b"\r\n" + body)
        # A reset that overtakes the head would leave another form than the row's.
        await asyncio.sleep(0.02)
        if row.end == "reset":
            reply.reset()
        else:
            reply.writer.close()

    return script


async def ask(fleet: Fleet, row: Row, number: int) -> RawAnswer:
    """Send the row's request to the first VM and return what its caller gets."""
    caller = await fleet.connect("vm-1")
    request = encode_request(row.route, request_id=f"e{number}")
    await caller.send(request.replace(b"HTTP/1.1", row.caller.encode(), 1))
    answer = await caller.read()
    caller.close()
    return answer


def describe_end(answer: RawAnswer) -> str:
    """Return the status, and how the answer ended for its caller."""
    return f"{answer.status}, {answer.end}"


def compare(row: Row, answer: RawAnswer) -> str:
    """Return how an answer differs from its row, or an empty string."""
    found = describe_end(answer)
    if found != row.gets:
        return f"{row}: {found}, {answer.body[-60:]!r}"
    if row.holds != "any" and answer.body != BODIES[row.holds]:
        return f"{row}: another body, {answer.body[-60:]!r}"
    return ""


async def play(fleet: Fleet, rows: list[Row]) -> list[str]:
    """Return how the answers to all rows differ from them, over one path."""
    differences = []
    for number, row in enumerate(rows):
        # A server that broke off an answer is not to be passed over in the next row.
        for fixture in fleet.vms.values():
            for state in fixture.gateway.context.directory:
                state.health.pardon()
        for backend in fleet.first.backends.values():
            backend.script = build_script(row)
        if row.route == "/resume/":
            script = build_script(row)
            for backend in fleet.first.backends.values():
                backend.script = script
        differences.append(compare(row, await ask(fleet, row, number)))
    return [text for text in differences if text]


@when("servers end these answers with their connection")
def step_play(context):
    rows = [Row(**dict(zip(r.headings, r.cells, strict=True))) for r in context.table]
    fleet = context.fleet
    context.differences = []
    assert set(fleet.vms) <= set(HOSTS)
    for path in PATHS:
        if path == "forwarded":
            run(context, cut(fleet))
        found = run(context, play(fleet, rows))
        context.differences += [f"{path}: {text}" for text in found]


async def cut(fleet: Fleet) -> None:
    """Let the first VM reach the servers through the other one alone."""
    fleet.cut("vm-1")


@then("each caller gets what the row says, directly and through another VM")
def step_compare(context):
    assert not context.differences, "\n".join(context.differences)


def build_single_script(fleet: Fleet, route: str, body: bytes, *, terminates: bool):
    """Return a script whose first answer ends with its connection."""
    sent: list[Reply] = []

    async def script(reply: Reply) -> None:
        if sent:
            await reply.answer()
            return
        sent.append(reply)
        kind = b"Content-Type: text/event-stream\r\n" if "stream" in route else b""
        await reply.send(reply.head(200, kind) + b"\r\n" + body)
        if terminates:
            server_id = reply.request.headers[fleet.first.gateway.context.names.server]
            fleet.first.backends[server_id.decode()]._server.close()
        reply.writer.close()

    return script


async def ask_once(context, route: str, answer: str, *, terminates: bool) -> None:
    fleet = context.fleet
    script = build_single_script(fleet, route, BODIES[answer], terminates=terminates)
    for backend in fleet.first.backends.values():
        backend.script = script
    caller = await fleet.connect("vm-1")
    await caller.send(encode_request(route))
    context.answer = await caller.read()


@when('the server of a request to "{route}" {goes} after "{answer}"')
def step_single(context, route, goes, answer):
    run(context, ask_once(context, route, answer, terminates=goes == "terminates"))


@then('its caller gets "{gets}"')
def step_gets(context, gets):
    assert describe_end(context.answer) == gets, context.answer.data[-200:]


@then("1 server counts as terminated under the request")
def step_counted(context):
    quarantine = context.fleet.first.gateway.context.quarantine

    def is_counted() -> bool:
        return [len(record.ends) for _, record in quarantine] == [1]

    run(context, wait_for(is_counted, "the server counts as terminated"))


@then("no server counts as terminated under the request, nor is one suspected")
def step_not_counted(context):
    gateway = context.fleet.first.gateway.context
    checks = gateway.server_checks
    run(context, wait_for(lambda: not checks._running, "the server was checked"))
    assert not gateway.quarantine._losses
    assert not list(gateway.quarantine)


@when('a stream to "/resume/" breaks off after two events and goes on with "{rest}"')
def step_continue(context, rest):
    sent: list[Reply] = []

    async def script(reply: Reply) -> None:
        if not sent:
            sent.append(reply)
            await reply.start_events()
            await reply.send_chunk(TWO_EVENTS)
            await asyncio.sleep(0.02)
            reply.reset()
        elif rest.startswith("JSON"):
            kind = b"Content-Type: application/json\r\nContent-Length: 2\r\n\r\n"
            await reply.send(reply.head(200, kind) + b"{}")
        else:
            kind = b"Content-Type: text/event-stream\r\n\r\n"
            await reply.send(reply.head(200, kind) + b"".join(EVENTS[2:]))
            reply.writer.close()

    run(context, ask_by_script(context, "/resume/", script))


@when('the server of a request to "{route}" fails with 500 and an error without length')
def step_error(context, route):
    async def script(reply: Reply) -> None:
        await reply.send(reply.head(500) + b"\r\nwrong")
        reply.writer.close()

    run(context, ask_by_script(context, route, script))


async def ask_by_script(context, route: str, script) -> None:
    fleet = context.fleet
    for backend in fleet.first.backends.values():
        backend.script = script
    caller = await fleet.connect("vm-1")
    await caller.send(encode_request(route))
    context.answer = await caller.read()


@when(
    'the VM that forwards an answer without length to "{route}" dies after two events'
)
def step_forwarder_dies(context, route):
    fleet = context.fleet

    async def script(reply: Reply) -> None:
        kind = b"Content-Type: text/event-stream\r\n\r\n"
        await reply.send(reply.head(200, kind) + TWO_EVENTS)
        await asyncio.sleep(0.1)
        # The kernel closes the connections of a process that dies in an orderly way.
        for connection in list(fleet.vms["vm-2"].gateway.context.listener.connections):
            connection._transport.close()
        await asyncio.sleep(60)

    run(context, ask_by_script(context, route, script))


INFORMATIONAL = (
    b"",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
)
HEAD_CUTS = (0.0, 0.05, 0.3, 0.6, 0.9, 1.0)
"""Parts of a head after which it breaks off; all of it lacks its last byte."""

TAKEUP = {"Last-Event-Id": "2", "Ramppin-Continues": "b1"}


def build_head_script(before: bytes, share: float, end: str):
    """Return a script that breaks every answer off within its head."""

    async def script(reply: Reply) -> None:
        head = reply.head(200, b"Content-Type: text/event-stream\r\n") + b"\r\n"
        await reply.send(before + head[: round(share * (len(head) - 1))])
        if end == "reset":
            reply.reset()
        else:
            reply.writer.close()

    return script


async def ask_for_heads(fleet: Fleet) -> list[str]:
    """Return the answers that look like a success."""
    found = []
    cases = itertools.product(
        INFORMATIONAL, HEAD_CUTS, ("close", "reset"), ("/again/", "/resume/", "takeup")
    )
    for number, (before, share, end, route) in enumerate(cases):
        for fixture in fleet.vms.values():
            for state in fixture.gateway.context.directory:
                state.health.pardon()
        for backend in fleet.first.backends.values():
            backend.script = build_head_script(before, share, end)
        caller = await fleet.connect("vm-1")
        path = "/resume/" if route == "takeup" else route
        headers = TAKEUP if route == "takeup" else {}
        request = encode_request(path, request_id=f"h{number}", headers=headers)
        await caller.send(request)
        answer = await caller.read()
        caller.close()
        if answer.status == 200:
            found.append(f"{before!r} {share} {end} {route}: {answer.data!r}")
    return found


@when(
    "servers break off within the head of every answer, after each kind of "
    "informational one"
)
def step_break_heads(context):
    context.differences = []
    for path in PATHS:
        if path == "forwarded":
            run(context, cut(context.fleet))
        found = run(context, ask_for_heads(context.fleet))
        context.differences += [f"{path}: {text}" for text in found]


@then("no caller got a 200, directly and through another VM")
def step_no_success(context):
    assert not context.differences, "\n".join(context.differences)
