"""Steps: entries of backend servers that are good, bad, or of another start."""

from __future__ import annotations

import asyncio
import json
from collections import Counter

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as generated
from hypothesis import strategies as st

from features.platform_support import PlatformFixture
from ramppin.errors import SettingsError
from ramppin.gateway.connection.datagrams import (
    FailureHint,
    LoadHint,
    PeerHints,
    WaitHint,
)
from ramppin.gateway.process.load.news import LoadNews
from ramppin.gateway.process.membership.health import Outcome
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.routing.directory import BackendServer, ServerDirectory
from ramppin.gateway.process.routing.homes import HomeNotice, PrefixHomes
from ramppin.gateway.process.routing.incarnation import judge_start
from ramppin.gateway.process.routing.servernews import ServerNews
from ramppin_platform.records import PlatformDecoder
from standins.common import wait_for

NOW = 100.0
OFFSET = 77
ASKED = 30
"""Requests that pass a server in use by, by chance alone, once in 2**30 tries."""
MAX_SHOWN = 500
HOST = "127.0.0.1"

GOOD = {
    "service": "plain",
    "address": "127.0.0.1:8080",
    "zone": "porto",
    "version": "v1",
    "capacity": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
}


def change(**fields: object) -> bytes:
    return json.dumps(GOOD | fields).encode()


def leave_out(name: str) -> bytes:
    return json.dumps({k: v for k, v in GOOD.items() if k != name}).encode()


ENTRIES = {
    "good": change(),
    "draining": change(state="draining"),
    "with a start": change(born=1_796_245_138_226),
    "with unknown fields": change(phase="unified", models=[{"name": "m"}]),
    "born as a fraction": change(born=1.5),
    "born below zero": change(born=-1),
    "born too large": change(born=10**400),
    "an empty service": change(service=""),
    "an unknown state": change(state="resting"),
    "a negative capacity": change(capacity=-1),
    "a huge capacity": change(capacity=10**400),
    "no port": change(address="127.0.0.1"),
    "port 0": change(address="127.0.0.1:0"),
    "port 99999": change(address="127.0.0.1:99999"),
    "a port of many digits": change(address="127.0.0.1:" + "9" * 5000),
    "a port of other digits": change(address="10.0.0.1:²"),
    "a host that is a name": change(address="server.example:8080"),
    "a list": b"[1, 2]",
    "not a number": change(capacity=float("nan")),
    "an infinite number": change(cold_remaining_ms=float("inf")),
    "half an entry": change()[:40],
    "not UTF-8": b'{"service": "\xff\xfe"}',
    "no bytes": b"",
    "nested deeply": b"[" * 100_000,
    "a megabyte": b'"' + b"x" * 1_000_000,
    "a key that is no id": change(),
}
ENTRIES |= {f"without {name}": leave_out(name) for name in GOOD}
ENTRIES |= {f"{name} of another type": change(**{name: {}}) for name in (*GOOD, "born")}
KEYS = {"a key that is no id": "i-\x00\n"}


@then('an entry "{entry}" is {taken:w}, naming "{part}"')
@then('an entry "{entry}" is {taken:w}, naming ""')
def step_entry(context, entry, taken, part=""):
    record = Record(KEYS.get(entry, "i-1"), ENTRIES[entry], OFFSET)
    shown = ""
    try:
        PlatformDecoder().decode_server(record)
    except SettingsError as error:
        shown = error.show()
    assert bool(shown) == (taken == "refused"), shown
    if shown:
        assert str(OFFSET) in shown, shown
        assert part in shown, shown
        assert len(shown) < MAX_SHOWN, len(shown)


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3)
    ),
    max_leaves=6,
)
CONFIG_FIELDS = ("version", "routes", "services", "limits", "tenants")


@then("entries and configurations of any bytes are taken or refused")
def step_any_bytes(context):
    decoder = PlatformDecoder()

    def decode(value: bytes) -> None:
        record = Record("config", value, OFFSET)
        for read in (decoder.decode_server, decoder.decode_table):
            try:
                read(record)
            except SettingsError:
                continue

    @settings(max_examples=300, suppress_health_check=list(HealthCheck), deadline=None)
    @generated(st.binary(max_size=200))
    def try_bytes(value):
        decode(value)

    @settings(max_examples=300, suppress_health_check=list(HealthCheck), deadline=None)
    @generated(st.dictionaries(st.sampled_from((*GOOD, "born")), VALUES))
    def try_entry(fields):
        decode(json.dumps(GOOD | fields).encode())

    @settings(max_examples=300, suppress_health_check=list(HealthCheck), deadline=None)
    @generated(st.dictionaries(st.sampled_from(CONFIG_FIELDS), VALUES))
    def try_config(fields):
        decode(json.dumps({"version": 1} | fields).encode())

    try_bytes()
    try_entry()
    try_config()


# the whole path


def run(context, work):
    return context.loop.run_until_complete(work)


@given('a gateway process before the servers "{names}"')
def step_gateway(context, names):
    async def start():
        fixture = context.platform = PlatformFixture()
        context.cleanups.append(fixture.stop)
        await fixture.start()
        for name in names.split():
            service = "llm" if len(names.split()) == 1 else "plain"
            await fixture.add_backend(name, service)
            fixture.announce(name, service, born=1)
        await fixture.start_gateway("vm-1", HOST)

    run(context, start())


async def count_served(fixture: PlatformFixture) -> Counter:
    """Send some requests; return how many each server got of them."""
    before = {name: len(b.received) for name, b in fixture.backends.items()}
    for _ in range(ASKED):
        answer = await fixture.ask("/a/x")
        assert answer.status == 200, answer.data
    return Counter(
        {name: len(b.received) - before[name] for name, b in fixture.backends.items()}
    )


async def wait_until_served(fixture: PlatformFixture, names: set[str]) -> None:
    async def is_so() -> bool:
        return {
            n for n, count in (await count_served(fixture)).items() if count
        } == names

    await wait_for(is_so, f"requests go to {sorted(names)} alone")


@then(
    'through each of these entries all requests go to "{other}", and back to both '
    "after it"
)
def step_whole_path(context, other):
    fixture, both = context.platform, set(context.platform.backends)
    context.refused = [row["entry"] for row in context.table]

    async def play():
        for name in context.refused:
            fixture.store.put("keyed.servers", "i-1", ENTRIES[name])
            await wait_until_served(fixture, {other})
            fixture.announce("i-1", "plain", born=1)
            await wait_until_served(fixture, both)

    run(context, play())


@then("each such entry is one line with the server and what is wrong")
def step_lines(context):
    lines = [
        json.loads(line)
        for line in context.platform.find_log("vm-1").read_text().splitlines()
        if '"event":"server_refused"' in line
    ]
    assert len(lines) == len(context.refused), len(lines)
    assert all(line["server"] == "i-1" and line["reason"] for line in lines)


# another start


def read_start(text: str) -> int | None:
    return None if text == "none" else int(text)


@then('an entry with the start {told} where {known} is known is "{verdict}"')
def step_start(context, told, known, verdict):
    assert judge_start(read_start(known), read_start(told)).value == verdict


def build_server(started_ms: int) -> BackendServer:
    return BackendServer("i-1", "llm", HOST, 1, started_ms=started_ms)


@then("a server that starts again under its id is known anew")
def step_known_anew(context):
    context.directory = directory = ServerDirectory()
    context.homes = homes = PrefixHomes(directory.is_open)
    old = directory.put(build_server(5))
    old.note_load(9, 0, NOW)
    old.in_flight = 2
    old.waiting.take_told("vm-2", 3, NOW)
    old.health.note_outcome(Outcome.UNREACHABLE, NOW)
    old.evidence.note_failures(9, "porto", NOW)
    homes.note_placed(7, old.id, NOW)
    new = directory.put(build_server(6))
    assert directory.list_open("llm") == [new]
    assert new.find_known_load(NOW) == 0
    assert not new.health.is_suspect(NOW)
    assert not new.evidence.is_bad("porto", 1.0, NOW)
    assert homes.find(7) is None
    assert directory.find_source(homes.find_last(7), NOW) is None
    assert old.restarted
    assert not old.open
    context.old, context.new = old, new


@then("what others tell of its earlier start is passed over")
def step_told_of_old(context):
    directory, old_id = context.directory, context.old.id
    hints = PeerHints(
        "vm-2", [], loads=[LoadHint(old_id, 9, 0)], waits=[WaitHint(old_id, 4)]
    )
    LoadNews(directory).take(hints, NOW)
    ServerNews(directory, "porto").take([FailureHint(old_id, 9)], "porto", NOW)
    context.homes.take_notice(HomeNotice(7, old_id, 1.0), NOW)
    assert context.new.find_known_load(NOW) == 0
    assert not context.new.evidence.is_bad("porto", 1.0, NOW)
    assert context.homes.find(7) is None


@then("an earlier start that is told later is not taken")
def step_earlier(context):
    async def play():
        fixture = PlatformFixture()
        context.cleanups.append(fixture.stop)
        await fixture.start()
        await fixture.add_backend("i-1", "plain")
        fixture.announce("i-1", "plain", born=6)
        await fixture.start_gateway("vm-1", HOST)
        fixture.announce("i-1", "plain", state="draining", born=5)
        await wait_for(
            lambda: '"event":"server_older"' in fixture.find_log("vm-1").read_text(),
            "the earlier start is told",
        )
        return await count_served(fixture)

    assert run(context, play()) == Counter({"i-1": ASKED})


@when('"{name}" answers nothing and starts again under its id')
def step_restart(context, name):
    fixture = context.platform
    backend = fixture.backends[name]

    async def hang(reply):
        await asyncio.sleep(60)

    async def answer(reply):
        await reply.start_events()
        await reply.send_chunk(b"id: 1\ndata: x\n\n")
        await reply.send_chunk(b"")

    async def play():
        backend.script = hang
        stream = asyncio.ensure_future(fixture.ask("/s/x", Prefix_Hash="aa:5"))
        await wait_for(lambda: len(backend.received) == 1, "the stream has arrived")
        backend.script = answer
        fixture.announce(name, "llm", born=2)
        context.stream = await stream

    run(context, play())


@then("a stream that may be resumed is answered by the new start")
def step_stream(context):
    assert context.stream.status == 200, context.stream.data
    assert context.stream.whole


@then("a request that may run once ends without a second run")
def step_once(context):
    fixture = context.platform

    async def hang(reply):
        await asyncio.sleep(60)

    async def play():
        backend = await fixture.add_backend("i-2", "plain")
        fixture.announce("i-2", "plain", born=1)
        backend.script = hang
        caller = await fixture.connect("vm-1", HOST)
        lines = b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nApi-Key: k1\r\n"
        await wait_for(lambda: is_known(fixture, "i-2"), "the server is known")
        await caller.send(
            lines + b"Attempt-Id: b1\r\nDeadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n"
        )
        await wait_for(lambda: len(backend.received) == 1, "the request has arrived")
        fixture.announce("i-2", "plain", born=2)
        answer = await caller.read()
        return answer.status, len(backend.received)

    assert run(context, play()) == (504, 1)


def is_known(fixture: PlatformFixture, name: str) -> bool:
    lines = fixture.find_log("vm-1").read_text().splitlines()
    return any('"server_known"' in line and f'"{name}"' in line for line in lines)
