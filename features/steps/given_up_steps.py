"""Steps: how a connection to a server ends when its request is given up."""

from __future__ import annotations

import asyncio

from behave import then, when

from features.gateway_support import encode_request
from features.platform_support import encode_request as encode_platform_request
from ramppin.errors import BrokenAnswerError
from ramppin.gateway.connection.answerend import AnswerEnd
from ramppin.gateway.connection.upstream import (
    AnswerHead,
    AnswerReceiver,
    UpstreamConnection,
    open_connection,
)
from standins.common import wait_for

HOST = "127.0.0.1"
REQUEST = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
LARGE_BODY = b"x" * 50_000_000
OPEN_S = 1.0
ANSWERS = {
    "given up within its answer": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi",
    "answered with bytes that are none": b"\x00\x01noise\r\n\r\n",
    "answered for another, and given up": b"HTTP/1.1 200 OK\r\nX-Other: 1\r\n"
    b"Content-Length: 0\r\n\r\n",
    "answered, and dropped": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "answered with the close announced": b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
    b"Content-Length: 0\r\n\r\n",
}
"""What the server sends, by what becomes of the request."""


def run(context, work):
    return context.loop.run_until_complete(asyncio.wait_for(work, 60))


class Receiver(AnswerReceiver):
    """Notes that something of an answer arrived."""

    def __init__(self) -> None:
        self.heads = 0
        self.is_done = False

    def accept_head(self, head: AnswerHead) -> bool:
        self.heads += 1
        return not any(name == b"X-Other" for name, _ in head.headers)

    def accept_body(self, data: bytes) -> None:
        """Ignore the body."""

    def accept_end(self, end: AnswerEnd) -> None:
        self.is_done = True

    def accept_failure(self, error: BrokenAnswerError, end: AnswerEnd) -> None:
        self.is_done = True


async def find_end(case: str) -> str:
    """Return how a server sees the connection of a request end."""
    ended: asyncio.Future[str] = asyncio.get_running_loop().create_future()
    is_read = asyncio.Event()
    may_read = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if case == "partly sent, and given up":
            writer.transport.pause_reading()
            is_read.set()
            await may_read.wait()
            writer.transport.resume_reading()
        elif case != "none":
            await reader.readexactly(len(REQUEST))
            writer.write(ANSWERS.get(case, b""))
            is_read.set()
        try:
            while await reader.read(65536):
                pass
            ended.set_result("a close")
        except ConnectionResetError:
            ended.set_result("a reset")
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    connection = await open_connection(HOST, port, "s", timeout_s=OPEN_S)
    await give_up(connection, case, is_read)
    may_read.set()
    found = await ended
    server.close()
    return found


async def give_up(
    connection: UpstreamConnection, case: str, is_read: asyncio.Event
) -> None:
    """Send a request, and let become of it what the row says."""
    receiver = Receiver()
    if case == "none":
        connection.abort()
        return
    if case == "partly sent, and given up":
        connection.send(REQUEST, LARGE_BODY, receiver)
    else:
        connection.send(REQUEST, b"", receiver)
    await is_read.wait()
    if case.startswith("answered with"):
        await wait_for(lambda: receiver.is_done, "the answer is judged")
        return
    if case in ANSWERS:
        await wait_for(lambda: receiver.heads, "the answer has begun")
    connection.abort()


@then("a connection to a server ends by {end} if its request is {case}")
def step_end(context, end, case):
    assert run(context, find_end(case)) == end


@when('through the gateway a request to "{route}" {case}')
def step_case(context, route, case):
    fixture = context.fixture

    async def play() -> None:
        caller = await fixture.connect()
        await caller.send(encode_request(route))
        await wait_for(lambda: fixture.list_received(), "it is at work")
        if case == "is left by its caller":
            caller.close()
        elif case == "is at work at the stop":
            await fixture.gateway.stop()
        else:
            await caller.read()

    run(context, play())


@then("{count:d} servers see a reset")
def step_resets(context, count):
    backends = context.fixture.backends.values()

    def count_ends() -> int:
        return sum(backend.closed for backend in backends)

    run(context, wait_for(lambda: count_ends() == count, "the connection ends"))
    assert sum(backend.resets for backend in backends) == count


@then("its server sees a reset")
def step_forwarded_reset(context):
    backends = context.fleet.first.backends.values()
    assert sum(backend.resets for backend in backends) == 1


@when("a request is at work and the process is killed")
def step_kill(context):
    fixture = context.platform
    backend = fixture.backends["i-1"]

    async def hang(reply) -> None:
        await asyncio.sleep(60)

    backend.script = hang

    async def play() -> None:
        caller = await fixture.connect("vm-1", HOST)
        await caller.send(encode_platform_request("/s/x", "k1", {}))
        await wait_for(lambda: backend.received, "it is at work")
        fixture.processes["vm-1"].kill()
        caller.close()

    run(context, play())


@then('the server "{name}" sees a reset')
def step_killed(context, name):
    backend = context.platform.backends[name]
    run(context, wait_for(lambda: backend.closed, "the connection ends"))
    assert backend.resets == 1
