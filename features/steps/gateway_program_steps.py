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
from standins.backend import BackendStandIn
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
