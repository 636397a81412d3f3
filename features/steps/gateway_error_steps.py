"""Steps: errors that must leave a line."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import socket

from behave import given, then, when

from features.gateway_support import keep_lines
from ramppin.gateway.process.reporting import decisions
from ramppin.gateway.process.reporting.decisions import DecisionLog
from ramppin.logs import RepeatLimit
from standins.backend import Reply
from standins.common import wait_for


def run(context, work):
    return context.loop.run_until_complete(work)


@then('the process\'s own log shows "{text}"')
def step_own_log(context, text):
    def is_told() -> bool:
        return any(text in line for line in context.kept.lines)

    run(context, wait_for(is_told, f"a line with {text}"))


# requests

DEADLINE = {"Ramppin-Deadline-Ms": "soon"}
LOADS = {
    "a load report that is not numbers": b"Ramppin-Load: few,none,8\r\n",
    "a load report of one number": b"Ramppin-Load: 3\r\n",
}


@when("a request is sent with {what}")
def step_wrong(context, what):
    keep_lines(context)
    headers = DEADLINE if "deadline" in what else {}

    async def answer(reply: Reply) -> None:
        await reply.answer(headers=LOADS.get(what, b""))

    for backend in context.fixture.backends.values():
        backend.script = answer
    context.raw = run(context, context.fixture.ask("/once/", headers=headers))


@then("it is answered {status:d}")
def step_status(context, status):
    assert context.raw.status == status, context.raw


@when('the datagram "{data}" reaches the gateway')
def step_datagram(context, data):
    keep_lines(context)
    port = context.fixture.gateway._hints._port
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(data.encode(), ("127.0.0.1", port))


@when("the reader of the servers fails")
def step_reader_fails(context):
    keep_lines(context)

    async def fail(position: int, *, wait_s: float) -> None:
        await asyncio.sleep(0)
        raise RuntimeError("broken on purpose")

    context.fixture.servers.read_after = fail


# decision lines


def open_decisions(context) -> int:
    """Open a decision log on a pipe; return the reader's end."""
    reader, writer = os.pipe()

    async def close() -> None:
        os.close(writer)

    context.cleanups.append(close)
    context.decisions = DecisionLog("vm-1", descriptor=writer)
    return reader


@given("a decision log whose reader is gone")
def step_gone(context):
    keep_lines(context)
    os.close(open_decisions(context))


@given("a decision log whose reader does not read")
def step_slow(context):
    context.reader = open_decisions(context)
    os.set_blocking(context.reader, False)


@when("{count:d} decision lines are written")
def step_write(context, count):
    for number in range(count):
        if number and number % decisions.FAILURE_LINES_PER_S == 0:
            context.decisions.refill()
        context.decisions.note("given_up", number=number, padding="x" * 100)
    context.decisions.flush()


@then("the next second counts {count:d} dropped lines")
def step_dropped(context, count):
    context.decisions.refill()
    line = json.loads(context.decisions._lines[0])
    assert (line["event"], line["count"]) == ("lines_dropped", count), line


@then("the reader gets whole lines, and with those dropped they are {count:d}")
def step_whole(context, count):
    data = b""
    for _ in range(20):
        try:
            data += os.read(context.reader, 1 << 20)
        except BlockingIOError:
            context.decisions.refill()
            context.decisions.flush()
    os.close(context.reader)
    lines = [json.loads(line) for line in data.splitlines()]
    given_up = [line["number"] for line in lines if line["event"] == "given_up"]
    dropped = sum(line["count"] for line in lines if line["event"] == "lines_dropped")
    assert given_up == list(range(len(given_up)))
    assert dropped > 0
    assert len(given_up) + dropped == count, (len(given_up), dropped)


# limited lines


def build_record(text: str) -> logging.LogRecord:
    return logging.LogRecord("ramppin.x", logging.WARNING, "", 0, text, (), None)


@then(
    "of {lines:d} lines of one kind, spread over {seconds:d} s, {written:d} are "
    "written and {suppressed:d} counted as suppressed"
)
def step_limit(context, lines, seconds, written, suppressed):
    now = 0.0
    limit = RepeatLimit(clock=lambda: now)
    found, told = 0, 0
    for number in range(lines):
        now = number * seconds / lines
        record = build_record("a fault")
        found += limit.filter(record)
        told += getattr(record, "suppressed", 0)
    assert (found, told) == (written, suppressed), (found, told)


@then("of {count:d} kinds of line each is written once")
def step_kinds(context, count):
    limit = RepeatLimit(clock=lambda: 0.0)
    assert all(limit.filter(build_record(f"fault {n}")) for n in range(count))
