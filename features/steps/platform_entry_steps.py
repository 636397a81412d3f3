"""Steps: entries of backend servers, good ones and those that can't be read."""

from __future__ import annotations

import asyncio
import json
from ipaddress import ip_address

import msgspec
from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as generated
from hypothesis import strategies as st

from features.platform_support import PlatformFixture, StoreStandIn
from ramppin.errors import SettingsError
from ramppin.gateway.connection.datagrams import EndHint, HomeHint, SuspectHint
from ramppin.gateway.process.membership.members import FleetMembers, MemberRecord
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.routing.homes import PrefixHomes
from ramppin.gateway.process.routing.homesnapshot import (
    HomeSnapshot,
    HomeSnapshots,
    decode_snapshot,
)
from ramppin_platform.records import PlatformDecoder
from standins.common import wait_for

OFFSET = 77
NOW = 100.0
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


def run(context, work):
    return context.loop.run_until_complete(work)


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
    "an unknown service": change(service="nowhere", born=1),
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


MEMBER_FIELDS = ("host", "failure_domain", "weight")
KNOWN_HOST = "10.0.0.1"


@then("entries of VMs of any bytes are taken, or leave what was known")
def step_any_member(context):
    def take(value: bytes) -> None:
        members = FleetMembers("vm-1", "porto")
        for offset, found in enumerate((encode_member(KNOWN_HOST), value)):
            members.apply_record(Record("vm-2", found, offset), NOW)
        [member] = members.list_live(NOW)
        ip_address(member.host)

    @settings(max_examples=300, suppress_health_check=list(HealthCheck), deadline=None)
    @generated(st.binary(min_size=1, max_size=100))
    def try_bytes(value):
        take(value)

    @settings(max_examples=300, suppress_health_check=list(HealthCheck), deadline=None)
    @generated(st.dictionaries(st.sampled_from(MEMBER_FIELDS), VALUES))
    def try_fields(fields):
        take(json.dumps({"host": "10.0.0.2"} | fields).encode())

    try_bytes()
    try_fields()


def encode_member(host: str) -> bytes:
    return msgspec.json.encode(MemberRecord(host, "porto"))


@then("snapshots of homes of any bytes are taken, or leave what was known")
def step_any_snapshot(context):
    suspect = SuspectHint(8, [EndHint("i-2@4", 30, 20)], 1, ["i-3@4"], True, 70)
    snapshot = HomeSnapshot("vm-1", [HomeHint(9, "i-1", 40)], [suspect])
    good = msgspec.msgpack.encode(snapshot)

    async def take(value: bytes) -> None:
        homes = PrefixHomes(lambda server: server == "i-1")
        homes.note_placed(7, "i-1", asyncio.get_running_loop().time())
        members = FleetMembers("vm-1", "porto")
        snapshots = HomeSnapshots("vm-1", None, members, homes, lambda: True)
        snapshot = decode_snapshot(value)
        if snapshot is not None:
            snapshots._suspects.apply(snapshot.suspects, 0.0)
            snapshots._apply_homes(snapshot)
        assert homes.find(7) == "i-1"

    @settings(max_examples=300, suppress_health_check=list(HealthCheck), deadline=None)
    @generated(st.binary(max_size=60))
    def try_bytes(value):
        run(context, take(value))

    @settings(max_examples=300, suppress_health_check=list(HealthCheck), deadline=None)
    @generated(st.integers(0, len(good) - 1), st.integers(0, 255))
    def try_one_byte(place, byte):
        run(context, take(good[:place] + bytes([byte]) + good[place + 1 :]))

    try_bytes()
    try_one_byte()


# the whole path


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
        context.asked_vm, context.asked_host = "vm-1", HOST

    run(context, start())


CUT_OFF, CUT_OFF_HOST = "vm-2", "127.0.0.2"


@given("a second one that the store turns away once it has started")
def step_second(context):
    async def start():
        fixture = context.platform
        store = context.cut_off_store = StoreStandIn()
        context.cleanups.append(store.stop)
        await store.start()
        # The same records, behind a door of its own.
        store.topics, store.newest = fixture.store.topics, fixture.store.newest
        await fixture.start_gateway(CUT_OFF, CUT_OFF_HOST, store=store)
        store.refuse = 503
        context.asked_vm, context.asked_host = CUT_OFF, CUT_OFF_HOST

    run(context, start())


@then("the store answered the second one nothing meanwhile")
def step_turned_away(context):
    assert context.cut_off_store.refuse == 503
    assert context.cut_off_store.calls


async def wait_until_served(context, names: set[str]) -> None:
    vm, host = context.asked_vm, context.asked_host

    async def is_so() -> bool:
        found = await context.platform.count_served(ASKED, vm=vm, host=host)
        return {name for name, count in found.items() if count} == names

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
            await wait_until_served(context, {other})
            fixture.announce("i-1", "plain", born=1)
            await wait_until_served(context, both)

    run(context, play())


@then("each of them that can't be read is one line with the server and what is wrong")
def step_lines(context):
    lines = [
        json.loads(line)
        for line in context.platform.find_log(context.asked_vm).read_text().splitlines()
        if '"event":"server_refused"' in line
    ]
    unread = [name for name in context.refused if name != "an unknown service"]
    assert len(lines) == len(unread), len(lines)
    assert all(line["server"] == "i-1" and line["reason"] for line in lines)


@when('another writer leaves these entries of the VM "{vm}"')
def step_members(context, vm):
    for row in context.table:
        context.platform.store.put("keyed.members", vm, row["entry"].encode())


@then('{count:d} entries of "{table}" are counted as refused')
def step_counted(context, count, table):
    line = f'ramppin_gateway_refused_entries_total{{table="{table}"}} {count}.0'

    async def is_counted() -> bool:
        return line in await context.platform.read_metrics("vm-1", HOST)

    run(context, wait_for(is_counted, line))
