"""Steps: bytes without end, sent to a real process from each side."""

from __future__ import annotations

import asyncio
import contextlib
import time
from pathlib import Path

from behave import then, when

from standins.backend import Reply

HOST = "127.0.0.1"
VM = "vm-1"
PIECE = 65_536
HEADS = {
    "a server": b"HTTP/1.1 200 OK\r\n",
    "the store": b"HTTP/1.1 200 OK\r\n",
}
REQUEST_LINE = b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nApi-Key: k1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n"
ENDLESS = {
    "head lines": (b"", b"X-Line: 1\r\n"),
    "one header": (b"X-Long: ", b"x"),
    "interim answers": (b"\r\n", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "blank lines": (b"", b"\r\n"),
    "a chunk line": (CHUNKED + b"1;x=", b"x"),
    "a trailer": (CHUNKED + b"0\r\nX-Long: ", b"x"),
}
"""What follows the first line, and what goes on."""

BARE = ("interim answers", "blank lines")
"""Forms without a first line before them."""

PORTS = {"a caller": "callers", "a prober": "readiness", "another VM": "records"}


def run(context, work):
    return context.loop.run_until_complete(asyncio.wait_for(work, 60))


def measure_rss_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def write_endless(writer: asyncio.StreamWriter, who: str, form: str) -> None:
    """Write until the other side closes."""
    begin, more = ENDLESS[form]
    first = b"" if form in BARE else HEADS.get(who, REQUEST_LINE)
    piece = more * (PIECE // len(more))
    with contextlib.suppress(OSError):
        writer.write(first + (b"" if form in BARE else begin))
        while True:
            writer.write(piece)
            await writer.drain()


async def send_from_outside(context, who: str, form: str) -> None:
    """Send over one connection after the other."""
    port = context.platform.find_started(VM)[PORTS[who]]
    while True:
        _, writer = await asyncio.open_connection(HOST, port)
        await write_endless(writer, who, form)
        writer.close()


async def send_from_store(context, form: str) -> None:
    """Let every call to the store be answered without end."""
    store = context.platform.store

    async def serve(reader, writer) -> None:
        await reader.read(1)
        await write_endless(writer, "the store", form)

    store.serve = serve
    for task in list(store._tasks):
        task.cancel()
    await asyncio.sleep(60)


async def send_from_server(context, form: str) -> None:
    """Let a server answer all of its requests without end."""
    backend = context.platform.backends["i-1"]

    async def answer(reply: Reply) -> None:
        await write_endless(reply.writer, "a server", form)

    backend.script = answer
    await asyncio.sleep(60)


def begin_sending(context, who: str, form: str) -> asyncio.Task:
    if who == "the store":
        work = send_from_store(context, form)
    elif who == "a server":
        work = send_from_server(context, form)
    else:
        work = send_from_outside(context, who, form)
    return asyncio.ensure_future(work)


@when("bytes without end are sent for {seconds:g} s by {who}: {form}")
def step_send(context, who, form, seconds):
    fixture = context.platform
    context.rows = []

    async def play() -> None:
        await fixture.count_served(10)
        pid = fixture.processes[VM].pid
        before_mb = measure_rss_mb(pid)
        sending = begin_sending(context, who, form)
        until = time.monotonic() + seconds
        most_mb = before_mb
        while time.monotonic() < until:
            began = time.monotonic()
            before = len(fixture.backends["i-2"].received)
            answer = await fixture.ask("/a/x")
            took_s = time.monotonic() - began
            is_sound = len(fixture.backends["i-2"].received) > before
            context.rows.append((is_sound, answer.status, took_s))
            most_mb = max(most_mb, measure_rss_mb(pid))
        sending.cancel()
        context.grown_mb = most_mb - before_mb

    run(context, play())


@then("the process has grown by {most:d} MB at most")
def step_grown(context, most):
    assert context.grown_mb <= most, context.grown_mb


@then('meanwhile requests at "i-2" were answered within {most:g} s each')
def step_answered(context, most):
    sound = [row for row in context.rows if row[0]]
    assert sound, context.rows
    assert all(status == 200 for _, status, _ in sound), sound
    assert max(took_s for *_, took_s in sound) < most, sound
