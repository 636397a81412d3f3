"""Steps: connections whose peer is silent, and clocks that jump."""

from __future__ import annotations

import errno
import re
import socket
from pathlib import Path

from behave import then, when

from features.gateway_support import encode_request
from ramppin.errors import BrokenAnswerError
from ramppin.gateway.connection.answerend import AnswerEnd
from ramppin.gateway.connection.upstream import (
    AnswerHead,
    AnswerReceiver,
    open_connection,
)

GATEWAY = Path("src/ramppin/gateway")
TIME_OF_DAY = re.compile(r"\btime\.(time|time_ns)\(|datetime\.|\.now\(|\butcnow\b")
LINES_ALONE = {"process/reporting/decisions.py"}


def run(context, work):
    return context.loop.run_until_complete(work)


class Failure(AnswerReceiver):
    """Keeps how an answer failed."""

    def __init__(self) -> None:
        self.error: BrokenAnswerError | None = None

    def accept_head(self, head: AnswerHead) -> bool:
        return True

    def accept_body(self, data: bytes) -> None: ...

    def accept_end(self, end: AnswerEnd) -> None: ...

    def accept_failure(self, error: BrokenAnswerError, end: AnswerEnd) -> None:
        self.error = error


@when("a request is answered while its connections stay open")
def step_answered(context):
    async def ask():
        context.caller = await context.fixture.connect()
        await context.caller.send(encode_request("/again/"))
        answer = await context.caller.read()
        assert answer.status == 200, answer.data

    run(context, ask())


def find_socket(context, which: str) -> socket.socket:
    gateway = context.fixture.gateway
    if which == "from a caller":
        [connection] = gateway.context.listener.connections
    else:
        [connection] = [
            kept for idle in gateway.context.pool._idle.values() for kept in idle
        ]
    return connection._transport.get_extra_info("socket")


@then("the connection {which} ends after {limit:d} ms without acknowledgement")
def step_user_timeout(context, which, limit):
    raw = find_socket(context, which)
    assert raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == limit


@then(
    "the connection {which} is probed after {idle:d} s, each {probe:d} s, {n:d} times"
)
def step_probes(context, which, idle, probe, n):
    raw = find_socket(context, which)
    found = [
        raw.getsockopt(socket.IPPROTO_TCP, name)
        for name in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT)
    ]
    assert found == [idle, probe, n], found
    assert raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1


@when("a request's connection to a server goes silent while others rest beside it")
def step_goes_silent(context):
    async def go_silent():
        pool = context.fixture.gateway.context.pool
        made = {}
        for name, backend in context.fixture.backends.items():
            made[name] = [
                await open_connection("127.0.0.1", backend.port, name, timeout_s=5)
                for _ in range(3)
            ]
        for connection in (*made["p1"][1:], *made["p2"]):
            pool.release_unused(connection)
        dead, receiver = made["p1"][0], Failure()
        dead.send(b"GET / HTTP/1.1\r\n\r\n", b"", receiver)
        dead.connection_lost(TimeoutError(errno.ETIMEDOUT, "timed out"))
        assert receiver.error is not None
        assert dead.was_timed_out
        pool.note_timed_out(dead)

    run(context, go_silent())


@then("no connection to that server rests, and those to the other do")
def step_rests(context):
    idle = context.fixture.gateway.context.pool._idle
    assert not idle.get("p1"), idle
    assert len(idle["p2"]) == 3, idle


@then("the gateway reads the time of day for its lines alone")
def step_time_of_day(context):
    found = {
        str(path.relative_to(GATEWAY))
        for path in GATEWAY.rglob("*.py")
        if TIME_OF_DAY.search(path.read_text())
    }
    assert found == LINES_ALONE, found
