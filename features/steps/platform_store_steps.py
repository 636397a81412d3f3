"""Steps: answers of the store, as the adapter reads them."""

from __future__ import annotations

import asyncio
import json
import struct
import tempfile

from behave import given, then, when

from features.gateway_support import keep_lines
from features.platform_support import StoreStandIn, build_config
from ramppin.errors import LogTrimmedError, LogUnavailableError
from ramppin.gateway.connection.fetch import FetchedAnswer, Fetcher
from ramppin.gateway.process.recovery.replica import Record
from ramppin_platform.records import PlatformDecoder
from ramppin_platform.settings import PlatformSettings
from ramppin_platform.store import StoreTable


class ScriptedFetcher(Fetcher):
    """Answers every call alike."""

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__("127.0.0.1", 1, "store")
        self._answer = FetchedAnswer(status, body)

    async def get(self, target: str, *, timeout_s: float) -> FetchedAnswer:
        await asyncio.sleep(0)
        return self._answer


def pack(*records: bytes, first: int = 0) -> bytes:
    parts = [struct.pack(">I", len(record)) + record for record in records]
    return struct.pack(">QQ", 9, first) + b"".join(parts)


RECORD = b"\x01kvalue"
FIRST = json.dumps({"first": 9}).encode()
READS = {
    "two records": (200, pack(RECORD, RECORD)),
    "no record": (200, pack()),
    "nothing at all": (200, b""),
    "half a head": (200, pack()[:8]),
    "an end inside a record": (200, pack(RECORD, RECORD)[:-2]),
    "an end inside a length": (200, pack(RECORD) + b"\x00\x00"),
    "an empty record": (200, pack(b"", RECORD)),
    "a key longer than its record": (200, pack(b"\x09key", RECORD)),
    "a key that is not text": (200, pack(b"\x01\xffvalue", RECORD)),
    "history that was dropped": (200, pack(first=9)),
    "410 with the first offset": (410, FIRST),
    "410 without a body": (410, b""),
}


def build_page(value: str) -> bytes:
    item = {"key_file": "k", "value": value, "offset": 3}
    return json.dumps({"items": [item], "end": 4}).encode()


PAGES = {
    "one item": (200, build_page("dg==")),
    "a value that is not base64": (200, build_page("d")),
    "a page that is not JSON": (200, b"<html>"),
}


async def show(work) -> str:
    try:
        batch = await work
    except LogTrimmedError as error:
        return f"the log trimmed to {error.first}"
    except LogUnavailableError:
        return "the log unavailable"
    offsets = " ".join(str(record.offset) for record in batch.records)
    return f"offsets {offsets}" if offsets else "no offset"


@then(
    'a read after position {position:d} that is answered with "{answer}" finds {found}'
)
def step_read(context, position, answer, found):
    table = StoreTable(ScriptedFetcher(*READS[answer]), "topic")
    shown = context.loop.run_until_complete(
        show(table.read_after(position, wait_s=0.0))
    )
    assert shown == found, shown


@then('a read of the newest records that is answered with "{answer}" finds {found}')
def step_newest(context, answer, found):
    table = StoreTable(ScriptedFetcher(*PAGES[answer]), "topic")
    shown = context.loop.run_until_complete(show(table.read_newest(timeout_s=1.0)))
    assert shown == found, shown


@when('a configuration with a route of the type "{kind}" is decoded')
def step_decode(context, kind):
    keep_lines(context)
    config = build_config()
    config["routes"][0]["type"] = kind
    record = Record("config", json.dumps(config).encode(), 0)
    context.routing = PlatformDecoder().decode_table(record)


@then('its requests are sent "{sent}"')
def step_sent(context, sent):
    assert context.routing.routes[0].kind.value == sent


@then('of the type "{kind}" the log says {said}')
def step_told(context, kind, said):
    found = any(repr(kind) in line for line in context.kept.lines)
    assert found is {"of it": True, "nothing": False}[said], context.kept.lines


@then('a settings file with the line "{line}" has {count:d} skipped lines')
def step_skipped(context, line, count):
    with tempfile.NamedTemporaryFile("w", suffix=".conf") as file:
        file.write(f"node_name=vm-1\n\n{line}\n")
        file.flush()
        settings = PlatformSettings.read(file.name)
    assert settings.skipped_lines == ((3,) if count else ())


@given("a table of the store with a record, which was read before")
def step_table(context):
    context.store = StoreStandIn()
    context.loop.run_until_complete(context.store.start())
    context.store.put("t", "k", b"v")
    context.store.delays_s["t"] = 0.05
    host, port = "127.0.0.1", context.store.port
    context.store_table = StoreTable(Fetcher(host, port, "store"), "t")
    context.loop.run_until_complete(context.store_table.read_newest(timeout_s=1.0))


@when("it is read and written at one moment, the {first} first")
def step_read_and_write(context, first):
    table, found = context.store_table, {}

    async def read() -> None:
        found["read"] = await table.read_newest(timeout_s=1.0)

    async def write() -> None:
        began = context.loop.time()
        await table.append("other", b"w")
        found["write_s"] = context.loop.time() - began

    async def play() -> None:
        calls = [read(), write()] if first == "read" else [write(), read()]
        found["errors"] = await asyncio.gather(*calls, return_exceptions=True)
        await context.store.stop()

    context.loop.run_until_complete(play())
    context.found = found


@then("the read finds the record, and the write ends within 0.5 s")
def step_own_answers(context):
    assert context.found["errors"] == [None, None], context.found
    assert "k" in [record.key for record in context.found["read"].records]
    assert context.found["write_s"] < 0.5, context.found
