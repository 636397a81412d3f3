"""Steps: servers whose answers have no end, over memory and over real connections."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from itertools import repeat

from behave import given, then

from features.steps.answer_generated_steps import (
    NAMES,
    REQUEST_ID,
    KeepingResponder,
    MemoryTransport,
)
from features.steps.gateway_wire_steps import run
from ramppin.gateway.connection.callerwire import CallerConnection, ListenerState
from ramppin.gateway.connection.upstream import UpstreamConnection
from ramppin.gateway.process.routing.serverstate import BackendServer, ServerState
from ramppin.gateway.request.attempt import Attempt
from ramppin.gateway.request.destination import ServerDestination
from ramppin.gateway.request.result import AttemptEnd
from standins.backend import Reply

HEAD = b"HTTP/1.1 200 OK\r\nRamppin-Request-Id: g1\r\n"
ERROR = b"HTTP/1.1 500 No\r\nRamppin-Request-Id: g1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"6\r\nanswer\r\n"
LAST = b"0\r\n\r\n"
SIGNED = b"%b: s\r\n" % NAMES.signature
READ_BYTES = 32_768
"""Largest piece in which an answer arrives."""

SLACK_BYTES = READ_BYTES + 200
"""Bytes that may be parsed beyond a limit: one read, and the start."""

ENDLESS = {
    "head lines": (HEAD, b"X-Line: some value of a header\r\n"),
    "short head lines": (HEAD, b"a:\r\n"),
    "one header": (HEAD + b"X-Line: ", b"x"),
    "one status line": (b"HTTP/1.1 200 ", b"x"),
    "blank lines": (b"", b"\r\n"),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
    "chunk size": (HEAD + SIGNED + CHUNKED + CHUNK, b"0"),
    "chunk extension": (HEAD + SIGNED + CHUNKED + CHUNK + b"5;x=", b"x"),
    "trailers": (HEAD + SIGNED + CHUNKED + CHUNK + b"0\r\n", b"X-Trailer: some\r\n"),
    "one trailer": (HEAD + SIGNED + CHUNKED + CHUNK + b"0\r\nX-Trailer: ", b"x"),
    "an error's body": (ERROR + b"\r\n", b"no"),
    "an error's chunks": (ERROR + CHUNKED, b"400\r\n%b\r\n" % (b"x" * 1024)),
}
"""The start of each form, and what follows without end."""


def build_whole(head: bytes, *, before: bytes = b"", body: bytes = b"") -> bytes:
    body = body or CHUNK + LAST
    return before + head + SIGNED + CHUNKED + body


LEGAL = {
    "a head of 30 kB": build_whole(HEAD + b"X-Line: %b\r\n" % (b"x" * 30_000)),
    "100 interim answers": build_whole(
        HEAD, before=100 * b"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=x\r\n\r\n"
    ),
    "10 blank lines": build_whole(HEAD, before=10 * b"\r\n"),
    "900 headers": build_whole(HEAD + 900 * b"X-Line: some\r\n"),
    "small chunks": build_whole(HEAD, body=50_000 * b"1\r\nx\r\n" + LAST),
    "a chunk extension": build_whole(
        HEAD, body=b"6;x=%b\r\nanswer\r\n" % (b"x" * 7_000) + LAST
    ),
    "trailers": build_whole(
        HEAD, body=CHUNK + b"0\r\n" + 90 * b"X-Trailer: some\r\n" + b"\r\n"
    ),
    "an error's body": ERROR + b"Content-Length: 1000000\r\n\r\n" + b"x" * 1_000_000,
}


class MemoryAttempt:
    """An attempt at a server whose answer is fed by hand."""

    def __init__(self) -> None:
        responder = KeepingResponder()
        caller = CallerConnection(ListenerState(), lambda connection: responder)
        caller.connection_made(MemoryTransport())
        caller.data_received(b"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
        self.server = UpstreamConnection("s1")
        self.transport = MemoryTransport()
        self.server.connection_made(self.transport)
        state = ServerState(BackendServer("s1", "m", "127.0.0.1", 1))
        attempt = Attempt(
            NAMES,
            caller,
            REQUEST_ID,
            ServerDestination(NAMES, state, note_notice=lambda notice: None),
            previous=None,
            streams=False,
            resumable=False,
            may_take_over=lambda: False,
        )
        ends_at = asyncio.get_running_loop().time() + 60
        work = attempt.run(self.server, b"", responder.request, ends_at)
        self.run = asyncio.create_task(work)


def cut(form: str, generator: random.Random) -> Iterator[bytes]:
    """Return the pieces of an endless answer: all small, or of any size."""
    begin, rest = ENDLESS[form]
    largest = generator.choice((1_400, READ_BYTES))
    data = begin
    for more in repeat(rest * (READ_BYTES // len(rest) + 1)):
        data += more
        while len(data) > READ_BYTES:
            size = generator.randint(1, largest)
            yield data[:size]
            data = data[size:]


async def feed_endless(form: str, seed: int) -> int:
    """Return how many bytes a connection took before it was reset."""
    attempt = MemoryAttempt()
    await asyncio.sleep(0)
    taken = 0
    for piece in cut(form, random.Random(seed)):
        if attempt.transport.end or taken > 4_000_000:
            break
        taken += len(piece)
        attempt.server.data_received(piece)
    assert attempt.transport.end == "reset", (form, seed, taken)
    result = await attempt.run
    assert result.end is AttemptEnd.FAILED, result
    return taken


@then("{form} without end is reset within {limit:d} bytes, wherever it is cut")
def step_endless(context, form, limit):
    for seed in range(20):
        taken = run(context, feed_endless(form, seed))
        assert taken <= limit + SLACK_BYTES, (seed, taken)


async def feed_legal(form: str, seed: int) -> AttemptEnd:
    attempt = MemoryAttempt()
    await asyncio.sleep(0)
    generator, data = random.Random(seed), LEGAL[form]
    largest = generator.choice((1_400, READ_BYTES))
    while data:
        size = generator.randint(1, largest)
        attempt.server.data_received(data[:size])
        data = data[size:]
    assert attempt.transport.end != "reset", (form, seed)
    return (await attempt.run).end


@then("an answer with {form} passes, wherever it is cut")
def step_legal(context, form):
    expected = AttemptEnd.FAILED if "error" in form else AttemptEnd.DELIVERED
    for seed in range(20):
        assert run(context, feed_legal(form, seed)) is expected, seed


class LeapingLoop:
    """Lets the time of an event loop pass at once."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._read = loop.time
        self._ahead = 0.0
        loop.time = lambda: self._read() + self._ahead

    async def leap(self, seconds: float) -> None:
        self._ahead += seconds
        for _ in range(3):
            await asyncio.sleep(0)

    def end(self) -> None:
        del self._loop.time


@then("{form} that arrive one every {gap:f} s end the attempt after {seconds:d} s")
def step_trickle(context, form, gap, seconds):
    async def feed() -> float:
        leaping = LeapingLoop(asyncio.get_running_loop())
        try:
            attempt = MemoryAttempt()
            await asyncio.sleep(0)
            begin, line = ENDLESS[form]
            passed = 0.0
            attempt.server.data_received(begin or line)
            while not attempt.transport.end and passed < 10:
                await leaping.leap(gap)
                passed += gap
                if not attempt.transport.end:
                    attempt.server.data_received(line)
            assert (await attempt.run).end is AttemptEnd.FAILED
            return passed
        finally:
            leaping.end()

    passed = run(context, feed())
    assert seconds - 0.1 <= passed <= seconds + 0.5, passed


@then("a head that comes {seconds:d} s after an interim answer is accepted")
def step_late_head(context, seconds):
    async def feed() -> AttemptEnd:
        leaping = LeapingLoop(asyncio.get_running_loop())
        try:
            attempt = MemoryAttempt()
            await asyncio.sleep(0)
            attempt.server.data_received(b"HTTP/1.1 103 Early Hints\r\n\r\n")
            await leaping.leap(seconds)
            attempt.server.data_received(build_whole(HEAD))
            return (await attempt.run).end
        finally:
            leaping.end()

    assert run(context, feed()) is AttemptEnd.DELIVERED


@given("a server that sends {form} without end, and one that answers")
def step_servers(context, form):
    begin, rest = ENDLESS[form]
    block = rest * (READ_BYTES // len(rest) + 1)
    context.tried = 0
    context.began = context.loop.time()

    async def answer(reply: Reply) -> None:
        context.tried += 1
        if context.tried > 1:
            await reply.answer()
            return
        start = begin.replace(b"g1", reply.request_id)
        await reply.send(start.replace(SIGNED, b"%b: s\r\n" % reply.names.signature))
        while True:
            await reply.send(block)

    for backend in context.fixture.backends.values():
        backend.script = answer


@then("within {seconds:d} s the answer is {status:d}, from the other server")
def step_answer_within(context, status, seconds):
    assert context.answer.status == status, context.answer
    assert context.tried == 2
    took_s = context.loop.time() - context.began
    assert took_s < seconds, took_s
