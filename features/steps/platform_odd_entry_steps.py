"""Steps: odd entries in all tables, written before or after processes start."""

from __future__ import annotations

import msgspec
from behave import given, then

from features.platform_support import PlatformFixture
from ramppin_platform.vocabulary import (
    BUILDS_TOPIC,
    EVACUATION_PREFIX,
    HOMES_TOPIC,
    MEMBERS_TOPIC,
    ORIGINS_TOPIC,
    SERVERS_TOPIC,
    SETTINGS_TOPIC,
)
from standins.common import wait_for

TOPICS = (
    SERVERS_TOPIC,
    MEMBERS_TOPIC,
    HOMES_TOPIC,
    BUILDS_TOPIC,
    ORIGINS_TOPIC,
    SETTINGS_TOPIC,
)
HOSTS = {"vm-1": "127.0.0.1", "vm-2": "127.0.78.2"}
THIRD = ("vm-3", "127.0.78.3")


def build_entry(**changes: str) -> bytes:
    """Return a server's entry in JSON, some fields replaced by raw text."""
    fields = {
        "service": '"llm"',
        "address": '"127.0.0.1:80"',
        "zone": '"porto"',
        "version": '"v1"',
        "capacity": "8",
        "state": '"ready"',
        "cold_remaining_ms": "0",
        "sequence": "1",
    } | changes
    text = ",".join(f'"{name}":{value}' for name, value in fields.items())
    return f"{{{text}}}".encode()


ODD = {
    "deep object": b'{"a":' * 50_000 + b"1" + b"}" * 50_000,
    "deep list": b"[" * 60_000 + b"]" * 60_000,
    "long number": build_entry(capacity="9" * 5000),
    "infinite number": build_entry(capacity="1e400"),
    "no number": build_entry(capacity="NaN"),
    "port too high": build_entry(address='"127.0.0.1:99999"'),
    "port below zero": build_entry(address='"127.0.0.1:-1"'),
    "foreign digits": build_entry(address='"127.0.0.1:\uff18\uff10"'),
    "cold for ever": build_entry(cold_remaining_ms="1e308"),
    "late start": build_entry(born="99999999999999999999999"),
    "all bytes": bytes(range(256)),
    "deep packed list": b"\x91" * 60_000 + b"\xc0",
    "deep packed map": b"\x81\xa1a" * 30_000 + b"\xc0",
    "packed infinities": msgspec.msgpack.encode([float("inf"), -1, 2**63, "x" * 9000]),
    "null": b"null",
    "list": b"[1,2,[3]]",
}


def put_odd(fixture: PlatformFixture) -> None:
    """Write all odd entries into all tables."""
    for topic in TOPICS:
        for key, value in ODD.items():
            for name in (key, f"0/{key}", f"llm/{key}", EVACUATION_PREFIX + key):
                fixture.store.put(topic, name, value)


@given("two gateway processes, and odd entries in all tables {when}")
def step_odd_entries(context, when):
    async def play():
        fixture = context.platform = PlatformFixture()
        await fixture.start()
        context.cleanups.append(fixture.stop)
        if when.startswith("before"):
            put_odd(fixture)
        for vm, host in HOSTS.items():
            await fixture.start_gateway(vm, host)
        put_odd(fixture)
        if when.startswith("read by"):
            view = await fixture.open_view(THIRD[0])
            view.refuse = 503
            await fixture.start_gateway(*THIRD, store=view)

    context.loop.run_until_complete(play())


@then("all processes follow a server that is added, and end with exit code 0")
def step_followed(context):
    async def play():
        fixture = context.platform
        await fixture.add_backend("p2", "plain")
        for vm in fixture.processes:
            await wait_for(lambda vm=vm: fixture.is_known(vm, "p2"), "p2 is known")
        for vm in fixture.processes:
            log = fixture.find_log(vm).read_text()
            assert "background task failed" not in log, log[-2000:]
            assert await fixture.terminate(vm) == 0

    context.loop.run_until_complete(play())
