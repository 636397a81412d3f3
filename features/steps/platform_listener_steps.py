"""Steps: the callers' socket that is opened before the program is imported."""

from __future__ import annotations

import asyncio
import re
import signal
import socket
import tempfile
from pathlib import Path

from behave import given, then, when

from features.gateway_support import (
    GatewayFixture,
    RawCaller,
    build_tree,
    encode_request,
)
from features.platform_support import PlatformFixture
from ramppin.gateway.process.recovery.filewatch import FileWatch, measure_file
from ramppin_platform.listener import open_callers_socket
from standins.common import wait_for

FILES = {
    "an address": b"zone=a\nlisten.frontend=127.0.0.1:0\n",
    "no address": b"zone=a\n",
    "an empty address": b"listen.frontend=\n",
    "no port": b"listen.frontend=127.0.0.1:soon\n",
    "a port too high": b"listen.frontend=127.0.0.1:70000\n",
    "a foreign address": b"listen.frontend=192.0.2.1:0\n",
    "no text": b"listen.frontend=\xff\xfe\n",
}


def run(context, work):
    return context.loop.run_until_complete(work)


def open_from_file(data: bytes | None):
    """Return the socket that a settings file with some bytes opens."""
    with tempfile.TemporaryDirectory() as scratch:
        path = Path(scratch) / "local.conf"
        if data is not None:
            path.write_bytes(data)
        return open_callers_socket(str(path))


@then('with a settings file that has "{what}" a socket listens: {listens:w}')
def step_listens(context, what, listens):
    found = open_from_file(FILES.get(what))
    assert (found is not None) is (listens == "yes"), found
    if found is not None:
        found.close()


@given("a callers' socket that listens before its gateway")
def step_early(context):
    context.callers_socket = open_from_file(FILES["an address"])


@when("a caller connects and sends a request")
def step_early_caller(context):
    async def send():
        port = context.callers_socket.getsockname()[1]
        caller = await RawCaller(port).open()
        await caller.send(encode_request("/once/"))
        return caller

    context.caller = run(context, send())


@when("the gateway starts on that socket")
def step_late_gateway(context):
    async def start():
        fixture = GatewayFixture(callers_socket=context.callers_socket)
        context.cleanups.append(fixture.stop)
        fixture.publish(build_tree())
        await fixture.add_backend("p1", "plain")
        await fixture.start()

    run(context, start())


@then("the caller is answered {status:d}")
def step_early_answer(context, status):
    answer = run(context, context.caller.read())
    context.caller.close()
    assert answer.status == status, answer.data


HANGUP_HOST = "127.0.77.1"


@when("a gateway process gets SIGHUP as soon as its callers' port is open")
def step_early_hangup(context):
    async def play():
        fixture = context.platform = PlatformFixture()
        await fixture.start()
        context.cleanups.append(fixture.stop)
        starting = asyncio.ensure_future(fixture.start_gateway("vm-1", HANGUP_HOST))
        await wait_for(lambda: "vm-1" in fixture.processes, "the process runs")
        await wait_for(lambda: is_open(fixture), "the port is open")
        fixture.processes["vm-1"].send_signal(signal.SIGHUP)
        await starting

    context.loop.run_until_complete(play())


def is_open(fixture: PlatformFixture) -> bool:
    text = (Path(fixture.scratch.name) / "vm-1.conf").read_text()
    [port] = re.findall(r"listen.frontend=.*:(\d+)", text)
    with socket.socket() as probe:
        return probe.connect_ex((HANGUP_HOST, int(port))) == 0


@then("it starts, and ends with exit code 0 on SIGTERM")
def step_ends_well(context):
    code = context.loop.run_until_complete(context.platform.terminate("vm-1"))
    assert code == 0, code


@given("a settings file that changes after it was read, before its watch begins")
def step_changed_file(context):
    context.scratch = tempfile.TemporaryDirectory()
    path = Path(context.scratch.name) / "local.conf"
    path.write_text("a=1\n")
    context.changes = []
    seen = measure_file(str(path))
    path.write_text("a=2, and more\n")
    context.watch = FileWatch(str(path), lambda: context.changes.append(1), seen)


@then("the watch reports the change")
def step_reported(context):
    context.watch.check()
    context.scratch.cleanup()
    assert context.changes == [1], context.changes
