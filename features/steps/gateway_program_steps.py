"""Steps: the gateway as a program of its own."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from features.gateway_support import HOST, KEY, RawCaller, encode_request
from standins.backend import BackendStandIn, Reply
from standins.common import wait_for


def run(context, work):
    return context.loop.run_until_complete(work)


def build_tables(prefix: str, port: int, version: int) -> dict:
    return {
        "routing": {
            "version": version,
            "services": {"plain": {}},
            "hosts": {HOST: {"routes": {prefix: {"service": "plain"}}}},
            "customers": {"choir": {"keys": [KEY]}},
        },
        "backend_servers": {"p1": {"service": "plain", "address": f"127.0.0.1:{port}"}},
    }


async def start_program(folder: Path, settings: dict | None):
    path = folder / "gateway.jsonc"
    if settings is not None:
        path.write_text(json.dumps(settings))
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "ramppin",
        "gateway",
        "--settings",
        str(path),
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
    )


@given("the gateway program with tables in a file before one plain server")
def step_program(context):
    async def start():
        scratch = tempfile.TemporaryDirectory()
        folder = Path(scratch.name)
        backend = BackendStandIn()
        await backend.start()
        context.tables = folder / "tables.jsonc"
        context.backend = backend
        context.tables.write_text(json.dumps(build_tables("/old/", backend.port, 1)))
        settings = {"vm": "v", "caller_port": 0, "tables": "tables.jsonc"}
        process = await start_program(folder, settings)

        async def stop():
            if process.returncode is None:
                process.kill()
            await process.wait()
            await backend.stop()
            scratch.cleanup()

        context.cleanups.append(stop)
        line = await asyncio.wait_for(process.stderr.readline(), 30)
        context.port = int(line.split(b"callers=")[1].split()[0])
        context.process = process
        await wait_for(lambda: is_served(context, "/old/"), "it serves")

    run(context, start())


async def is_served(context, path: str) -> bool:
    caller = await RawCaller(context.port).open()
    await caller.send(encode_request(path))
    answer = await caller.read()
    caller.close()
    return answer.status == 200


@when('its file moves the route "{old}" to "{new}"')
def step_move(context, old, new):
    context.tables.write_text(json.dumps(build_tables(new, context.backend.port, 2)))


@then('the program soon serves "{new}" and no longer "{old}"')
def step_serves(context, new, old):
    async def check():
        await wait_for(lambda: is_served(context, new), "the new route")
        assert not await is_served(context, old)

    run(context, check())


@given("its server sends half of an answer of {size:d} kB without a length, and waits")
def step_half(context, size):
    context.half = size * 500

    async def answer(reply: Reply) -> None:
        await reply.send(reply.head(200) + b"\r\n" + b"x" * context.half)
        await asyncio.sleep(60)

    context.backend.script = answer


@given("its server sends an answer of {size:d} kB without a length")
def step_unframed(context, size):
    context.size = size * 1000

    async def answer(reply: Reply) -> None:
        await reply.send(reply.head(200) + b"\r\n" + b"x" * context.size)
        reply.writer.close()

    context.backend.script = answer


@when("a caller of {protocol} has that half, and the program is killed")
def step_killed(context, protocol):
    request = encode_request("/old/").replace(b"HTTP/1.1", protocol.encode(), 1)

    async def ask():
        reader, writer = await asyncio.open_connection("127.0.0.1", context.port)
        writer.write(request)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
        assert b"chunked" not in head.lower(), head
        assert b"content-length" not in head.lower(), head
        await asyncio.wait_for(reader.readexactly(context.half), 10)
        context.process.kill()
        try:
            rest = await asyncio.wait_for(reader.read(), 10)
            context.end = "in order" if not rest else "more"
        except ConnectionResetError:
            context.end = "reset"
        writer.close()

    run(context, ask())


@then("the caller's connection is reset")
def step_reset(context):
    assert context.end == "reset", context.end


@when("a caller that reads nothing for {pause:d} s reads it then")
def step_slow(context, pause):
    async def ask():
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", context.port, limit=1024
        )
        writer.write(encode_request("/old/"))
        await asyncio.sleep(pause)
        await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
        body = await asyncio.wait_for(reader.read(), 30)
        writer.close()
        return body

    context.body = run(context, ask())


@then("the caller has the whole answer, and its connection ended in order")
def step_whole(context):
    assert len(context.body) == context.size, len(context.body)


@when("the file becomes unreadable")
def step_unreadable(context):
    context.tables.write_text("{ not JSON")


@then('the program still serves "{path}"')
def step_still(context, path):
    for _ in range(3):
        assert run(context, is_served(context, path))


@when("the program gets SIGTERM")
def step_sigterm(context):
    context.process.send_signal(signal.SIGTERM)


@then("it exits with {code:d} within its drain time")
def step_exits(context, code):
    assert run(context, asyncio.wait_for(context.process.wait(), 20)) == code


GOOD = {"vm": "v", "tables": "tables.jsonc"}
BAD = {
    "no file": None,
    "an unknown field": GOOD | {"unknown": 1},
    "a port too large": GOOD | {"caller_port": 70_000},
    "no tables": {"vm": "v"},
}


@when("the gateway program starts with settings that have {what}")
def step_bad(context, what):
    async def start():
        with tempfile.TemporaryDirectory() as scratch:
            process = await start_program(Path(scratch), BAD[what])
            _, errors = await asyncio.wait_for(process.communicate(), 30)
            return process.returncode, errors.decode()

    context.exit_code, context.errors = run(context, start())


@then('it exits with {code:d} and says "{text}"')
def step_says(context, code, text):
    assert context.exit_code == code, context.errors
    assert text.lower() in context.errors.lower(), context.errors
    assert "Traceback" not in context.errors
