"""Steps: entries of servers that the store took later than newer ones."""

from __future__ import annotations

import asyncio
import json
from unittest import mock

from behave import then, when

from features.platform_support import build_config
from features.steps.platform_entry_steps import run, wait_until_served
from ramppin.gateway.process.recovery.entryorder import (
    DEFAULT_HEARTBEAT_S,
    EntryMark,
    EntryOrder,
)
from ramppin.gateway.process.recovery.recordapplier import RecordApplier
from ramppin.gateway.process.recovery.replica import Record, Replica
from ramppin_platform.records import PlatformDecoder
from ramppin_platform.vocabulary import SETTINGS_KEY
from standins.common import wait_for

KEY = "k"
NAME = "i-1"
LATE = b"late"
AS_OF = 100.0
LINE_S = 3.0
"""Seconds within which a line is written; a VM writes its lines every 0.25 s."""


class EntryWriter:
    """Writes entries of a server as a line of a table says."""

    def __init__(self, context, name: str) -> None:
        self._context = context
        self._fixture = context.platform
        self._name = name
        self._markers = 0

    async def write(self, text: str) -> None:
        """Write one entry, remove it, or wait until the VM has read so far."""
        store = self._fixture.store
        state, _, sequence = text.partition(":")
        if state == "read":
            await self.wait_until_read()
        elif state == "gone":
            store.put("keyed.servers", self._name, None)
        elif state == "bad":
            store.put("keyed.servers", self._name, b"{}")
        else:
            self._fixture.announce(self._name, "plain", state, sequence=int(sequence))

    async def wait_until_read(self) -> None:
        """Wait until the VM that is asked has read all entries."""
        self._markers += 1
        marker = f"marker-{self._markers}"
        self._fixture.backends[marker] = self._fixture.backends[self._name]
        self._fixture.announce(marker, "other")
        del self._fixture.backends[marker]
        vm = self._context.asked_vm
        await wait_for(lambda: self._fixture.is_known(vm, marker), "entries are read")


@when('the store takes the entries "{entries}" of "{name}"')
def step_take(context, entries, name):
    # From here on the server states no start.
    context.entries = EntryWriter(context, name)
    context.platform.store.put("keyed.servers", name, None)

    async def write() -> None:
        await context.entries.wait_until_read()
        await wait_until_served(context, {"i-2"})
        for entry in entries.split():
            await context.entries.write(entry)
        await context.entries.wait_until_read()

    run(context, write())


@when("it starts again under its id and writes {count:d} entries, one each heartbeat")
def step_restart(context, count):
    async def write() -> None:
        for sequence in range(1, count + 1):
            await asyncio.sleep(DEFAULT_HEARTBEAT_S)
            await context.entries.write(f"ready:{sequence}")
        await context.entries.wait_until_read()

    run(context, write())


@then('requests go to "{names}" alone')
def step_used(context, names):
    # A removal takes effect within the upkeep's interval; all else at once.
    run(context, wait_until_served(context, set(names.split())))


@then('a line "{event}" says that "{name}" is leaving')
def step_line(context, event, name):
    def is_written() -> bool:
        lines = context.platform.find_log(context.asked_vm).read_text().splitlines()
        found = [json.loads(line) for line in lines if f'"event":"{event}"' in line]
        return any(line["server"] == name and line["draining"] for line in found)

    written = wait_for(is_written, "the line is written")
    run(context, asyncio.wait_for(written, LINE_S))


def read_mark(text: str) -> EntryMark:
    """Return the mark of an entry such as ``ready:9/5``."""
    state, _, rest = text.partition(":")
    sequence, _, started = rest.partition("/")
    started_ms = int(started) if started else None
    return EntryMark(started_ms, int(sequence), state == "draining")


@then('after the entries "{entries}" the last one is "{verdict}"')
def step_verdict(context, entries, verdict):
    order = EntryOrder(DEFAULT_HEARTBEAT_S)
    found = None
    for entry in entries.split():
        text, _, at = entry.partition("@")
        if text in ("gone", "other"):
            order.note_removed(NAME if text == "gone" else text, float(at))
        else:
            found = order.judge(NAME, read_mark(text), float(at))
    assert found is not None
    assert found.name == verdict, found


def read_record(text: str) -> Record:
    offset, _, value = text.partition(":")
    return Record(KEY, None if value == "none" else value.encode(), int(offset))


def show_records(records) -> str:
    texts = [(r.offset, r.value.decode() if r.value else "none") for r in records]
    return " ".join(f"{offset}:{value}" for offset, value in texts)


def fill_replica(records: str) -> Replica:
    replica = Replica("t", lambda record: record.value != LATE)
    for text in records.split():
        record = read_record(text)
        replica.apply([record], record.offset + 1, AS_OF)
    return replica


def check_replica(records, held, since, whole) -> None:
    replica = fill_replica(records)
    assert show_records(replica._records.values()) == held
    assert show_records(replica.list_since(2)) == since
    assert show_records(replica.list_all()) == whole
    behind = Replica("t", lambda record: record.value != LATE)
    behind.apply(replica.list_since(0), replica.position, AS_OF)
    assert show_records(behind._records.values()) == held


@then(
    'a replica that takes "{records}" keeps "{held}", passes "{since}" on from 2 and '
    '"{whole}" as a whole'
)
def step_replica(context, records, held, since, whole):
    check_replica(records, held, since, whole)


@then(
    'a replica that takes "{records}" keeps "{held}", passes "{since}" on from 2 and '
    '"" as a whole'
)
def step_replica_empty(context, records, held, since):
    check_replica(records, held, since, "")


@then(
    'a replica that takes "{records}" and then a whole table without the key keeps '
    "nothing of it"
)
def step_whole(context, records):
    replica = fill_replica(records)
    replica.replace([], 9, AS_OF)
    assert not replica.list_all()
    assert show_records(replica.list_since(0)) == "2:none"


def build_settings_replica(context) -> Replica:
    """Return a replica whose settings are applied as those of a gateway are."""
    gateway = mock.Mock(table=None, version=-1)

    def note_table(table) -> None:
        gateway.version = table.version

    gateway.note_table = note_table
    context.gateway = gateway
    applier = RecordApplier(SETTINGS_KEY, PlatformDecoder(), gateway, lambda now: None)
    return Replica("settings", applier.apply_settings)


def encode_settings(version: int) -> bytes:
    return json.dumps(build_config(version)).encode()


def play_settings(context, values: list[bytes]) -> list[bytes]:
    """Return what a VM passes on after these records, which its relay took too."""
    replica = build_settings_replica(context)
    for offset, value in enumerate(values):
        replica.apply([Record(SETTINGS_KEY, value, offset)], offset + 1, AS_OF)
    behind = build_settings_replica(context)
    behind.replace(replica.list_all(), replica.position, AS_OF)
    return [record.value for record in replica.list_all()]


@then("a VM that takes version 7 and then version 6 passes both on, and keeps 7")
def step_older_settings(context):
    values = [encode_settings(7), encode_settings(6)]
    assert play_settings(context, values) == values
    assert context.gateway.version == 7


@then(
    "a VM that takes a configuration that can't be read passes the one before on as "
    "well"
)
def step_unreadable_settings(context):
    values = [encode_settings(7), b"{"]
    assert play_settings(context, values) == values
    assert context.gateway.version == 7
