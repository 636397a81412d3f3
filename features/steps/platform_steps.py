"""Steps: gateway processes through the adapter, before a stand-in store."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from features.platform_support import PlatformFixture, build_config, encode_request
from standins.common import wait_for

EVENTS = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 5)]
PLATFORM_NAMES = re.compile(
    r"(?i:attempt-id|engine-signature|target-instance|not-executed|prefix-hash|"
    r"engine-load|server-leaving|tenant-id|kv-fetch|kv-retention|kv-pin-ms|kv-backup|kv-from|"
    r"expected-version|model-name|token-usage|log-newest|log-read|log-append)|"
    r"keyed\.(op|servers|members|status)|RAMPPIN_SETTINGS\b|listen\.frontend|key_file",
)


def run(context, work):
    return context.loop.run_until_complete(work)


async def start_platform(context, services, *, page=500) -> PlatformFixture:
    fixture = PlatformFixture()
    context.cleanups.append(fixture.stop)
    fixture.store.page = page
    await fixture.start()
    for server_id, service in services:
        await fixture.add_backend(server_id, service)
    await fixture.start_gateway("vm-1", "127.0.0.1")
    return fixture


@given("the platform with a plain server and a gateway process")
def step_plain(context):
    context.platform = run(context, start_platform(context, [("i-1", "plain")]))


@given(
    "the platform whose pages hold {page:d} records, with {count:d} plain servers "
    "and a gateway"
)
def step_pages(context, page, count):
    services = [(f"i-{number}", "plain") for number in range(count)]
    context.platform = run(context, start_platform(context, services, page=page))


@given("the platform with two engines that cut their streams and a gateway process")
def step_engines(context):
    async def abort(reply):
        after = int(reply.request.headers.get(b"last-event-id", b"0"))
        await reply.start_events()
        if after:
            for event in EVENTS[after:]:
                await reply.send_chunk(event)
            await reply.send_chunk(b"")
            return
        await reply.send_chunk(EVENTS[0] + EVENTS[1] + EVENTS[2][:5])
        await asyncio.sleep(0.05)
        reply.reset()

    async def start():
        fixture = await start_platform(context, [("e-1", "llm"), ("e-2", "llm")])
        for backend in fixture.backends.values():
            backend.script = abort
        return fixture

    context.platform = run(context, start())


@when('a request to "{path}" is sent with the key "{key}"')
def step_send(context, path, key):
    context.answer = run(context, context.platform.ask(path, key=key, Tenant_Id="me"))


@when('a stream on "{path}" is sent with the key "{key}"')
def step_stream(context, path, key):
    parts = {"Prefix_Hash": "aa:10,bb:20,cc:5"}
    context.answer = run(context, context.platform.ask(path, key=key, **parts))


@then("its answer is {status:d}")
def step_status(context, status):
    assert context.answer.status == status, context.answer.data
    assert context.answer.whole
    assert (b"retry-after" in context.answer.head) == (status == 503)


@then("the plain server got the platform's headers and no key")
def step_headers(context):
    [received] = context.platform.backends["i-1"].received
    assert received.headers[b"attempt-id"] == b"a1"
    assert received.headers[b"tenant-id"] == b"t1"
    assert received.headers[b"target-instance"] == b"i-1"
    assert 0 < int(received.headers[b"deadline-ms"]) <= 4000
    assert b"api-key" not in received.headers
    assert received.body == b"hi"


@then("it holds the events 1 to 4 once each")
def step_events(context):
    assert context.answer.body == b"".join(EVENTS), context.answer.data


@then("both engines got the request, the second with the last event's id")
def step_both(context):
    received = [b.received for b in context.platform.backends.values()]
    assert [len(one) for one in received] == [1, 1], received
    ids = sorted(one[0].headers.get(b"last-event-id", b"") for one in received)
    assert ids == [b"", b"2"], ids


@when('the key "{_old}" is replaced by "{new}" in version {version:d}')
def step_keys(context, _old, new, version):
    config = build_config(version, keys=(new,))
    context.platform.store.put("keyed.op", "config", json.dumps(config).encode())


@then('a request with the key "{key}" is soon answered {status:d}')
def step_soon(context, key, status):
    async def ask():
        answer = await context.platform.ask("/a/x", key=key)
        return answer.status == status

    run(context, wait_for(ask, f"{key} gets {status}"))


@when('the plain server says "{state}"')
def step_state(context, state):
    context.platform.announce("i-1", "plain", state)


@when('the store is "{trouble}"')
def step_trouble(context, trouble):
    store = context.platform.store
    store.refuse = {"busy": 503, "many": 429}.get(trouble, 0)
    store.silent = trouble == "silent"


@when("the store drops its history")
def step_drop(context):
    context.platform.store.drop_history("keyed.op")


@then('requests with the key "{key}" are still answered {status:d}')
def step_still(context, key, status):
    async def ask_some():
        for _ in range(5):
            answer = await context.platform.ask("/a/x", key=key)
            assert answer.status == status, answer.data

    run(context, ask_some())


@then("requests reach all {count:d} servers")
def step_reach_all(context, count):
    async def ask_until():
        async def reached():
            await context.platform.ask("/a/x")
            backends = context.platform.backends.values()
            return sum(bool(backend.received) for backend in backends) == count

        await wait_for(reached, "every server got a request")

    run(context, ask_until())


@when('a request to "{path}" is at work and the process gets SIGTERM')
def step_sigterm(context, path):
    async def terminate():
        go_on = asyncio.Event()

        async def answer_late(reply):
            await go_on.wait()
            await reply.answer()

        platform = context.platform
        backend = platform.backends["i-1"]
        backend.script = answer_late
        caller = await platform.connect("vm-1", "127.0.0.1")
        await caller.send(encode_request(path, "k1", {}))
        await wait_for(lambda: backend.received, "the request is at work")
        stopped = asyncio.ensure_future(platform.terminate("vm-1"))
        await asyncio.sleep(0)
        go_on.set()
        context.answer = await caller.read()
        context.exit_code = await stopped

    run(context, terminate())


@then("that request is answered {status:d} and the process exits with {code:d}")
def step_exit(context, status, code):
    assert context.answer.status == status, context.answer.data
    assert context.exit_code == code


@when("the process gets SIGHUP")
def step_sighup(context):
    context.platform.processes["vm-1"].send_signal(signal.SIGHUP)


@when("the settings file says grace_s {value:w} and the process gets {signals}")
def step_change_settings(context, value, signals):
    context.platform.change_settings("vm-1", "bounds.grace_s", value)
    if signals == "SIGHUP":
        context.platform.processes["vm-1"].send_signal(signal.SIGHUP)


@then("the log soon shows {text}")
def step_log(context, text):
    path = context.platform.find_log("vm-1")
    run(context, wait_for(lambda: text in path.read_text(), f"{text} in the log"))


GOOD_FIELDS = {
    "node_name": "vm",
    "ip": "127.0.0.1",
    "zone": "z",
    "listen.frontend": "127.0.0.1:0",
    "listen.readiness": "127.0.0.1:0",
    "listen.control_plane": "127.0.0.1:0",
    "internal_port_range": "0,3",
    "platform.address": "127.0.0.1:1",
}
BAD_FIELDS = {
    "a missing name": {"node_name": None},
    "a bad address": {"listen.frontend": "nowhere"},
    "a bad number": {"bounds.grace_s": "soon"},
}


@when("the program starts with settings that have {what}")
def step_bad_settings(context, what):
    async def start():
        with tempfile.TemporaryDirectory() as scratch:
            path = Path(scratch) / "local.conf"
            if what != "no file":
                fields = GOOD_FIELDS | BAD_FIELDS[what]
                lines = [f"{k}={v}\n" for k, v in fields.items() if v is not None]
                path.write_text("".join(lines))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "ramppin_platform",
                env=os.environ | {"RAMPPIN_SETTINGS": str(path)},
                stderr=asyncio.subprocess.PIPE,
            )
            _, errors = await asyncio.wait_for(process.communicate(), 20)
            return process.returncode, errors.decode()

    context.exit_code, context.errors = run(context, start())


@then('it exits with {code:d} and names "{place}"')
def step_names(context, code, place):
    assert context.exit_code == code, context.errors
    assert place in context.errors, context.errors
    assert "Traceback" not in context.errors


@then("no file of the product, its stand-ins or its bench holds a name of the platform")
def step_no_names(context):
    found = []
    for folder in ("src", "standins", "bench"):
        for path in Path(folder).rglob("*.py"):
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if PLATFORM_NAMES.search(line):
                    found.append(f"{path}:{number}: {line.strip()}")
    assert not found, found
