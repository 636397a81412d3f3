"""Steps that compare what others depend on with what is recorded.

Names of the package, commands, metrics, settings, messages between VMs, and what
processes write and answer. With ``RAMPPIN_WRITE_GOLDEN`` set the files are written.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import tempfile
import tomllib
import zlib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import typer
from behave import given, then, when
from pydantic import BaseModel, TypeAdapter

import ramppin
from features.gateway_support import (
    GatewayFixture,
    build_tree,
    encode_request,
)
from ramppin.cli import app
from ramppin.gateway.connection.datagrams import HomeHint, PeerHints
from ramppin.gateway.process.membership.members import MemberRecord
from ramppin.gateway.process.membership.serverwords import WordSource
from ramppin.gateway.process.recovery.peermessages import (
    PeerAnswer,
    PeerQuestion,
    PeerRecord,
    TableState,
    encode_answer,
    encode_question,
)
from ramppin.gateway.process.reporting.decisions import DecisionLog
from ramppin.gateway.process.reporting.exposition import build_family
from ramppin.gateway.process.reporting.metrics import GatewayMetrics, HistogramTally
from ramppin.gateway.process.routing.homesnapshot import SNAPSHOT_KEY, HomeSnapshot
from ramppin.gateway.process.settingsfile import GatewayFile
from ramppin.gateway.process.turns import STALL_S
from ramppin.gateway.request.admission import Denial
from ramppin.gateway.request.result import AttemptEnd
from ramppin.gateway.version.routingfile import RoutingTree, ServerNode
from ramppin.router.connection import messages
from ramppin.router.connection.links import Meter
from ramppin.router.process.claims.claims import ClaimRecord
from ramppin.router.process.config import RouterConfig
from ramppin.router.process.membership.leases import LeaseRecord
from ramppin.router.process.reporting.metrics import Metrics
from ramppin.router.version.acceptance import SettingsRecord
from ramppin.router.version.schema import SettingsTree
from ramppin_platform import vocabulary
from ramppin_platform.records import ConfigRecord, ServerRecord
from ramppin_platform.settings import PlatformSettings
from standins.common import wait_for
from standins.fleet import OPERATOR_KEY

RECORDED = Path("features/interfaces")
COMMENTS = frozenset({"title", "description"})
MANY_RECORDS = 60
"""Records of an answer that is large enough to be compressed."""


# shapes


def strip_schema(schema: Any, definitions: dict[str, Any]) -> Any:
    """Return a JSON schema without comments and without names of classes."""
    if isinstance(schema, list):
        return [strip_schema(item, definitions) for item in schema]
    if not isinstance(schema, dict):
        return schema
    if "$ref" in schema:
        name = schema["$ref"].rpartition("/")[2]
        return strip_schema(definitions[name], definitions)
    found = {}
    for key, value in schema.items():
        if key == "properties":
            found[key] = {
                name: strip_schema(part, definitions) for name, part in value.items()
            }
        elif key not in COMMENTS and key != "$defs":
            found[key] = strip_schema(value, definitions)
    return found


def describe_model(model: Any) -> Any:
    """Return the fields that a model takes."""
    if isinstance(model, type) and issubclass(model, msgspec.Struct):
        schema = msgspec.json.schema(model)
    elif isinstance(model, type) and issubclass(model, BaseModel):
        schema = model.model_json_schema()
    else:
        schema = TypeAdapter(model).json_schema()
    return strip_schema(schema, schema.get("$defs", {}))


def describe_keys(value: Any) -> Any:
    """Return the keys of a JSON value; of a list, those of its first item."""
    if isinstance(value, dict):
        return {key: describe_keys(part) for key, part in value.items()}
    if isinstance(value, list):
        return [describe_keys(part) for part in value[:1]]
    return "value"


def describe_metrics(metrics: object) -> list[dict[str, object]]:
    """Return name, type, labels and buckets of each metric."""
    found = []
    for metric in vars(metrics).values():
        if not hasattr(metric, "describe"):
            continue
        described = metric.describe()
        for family in described:
            entry = {
                "name": family.name,
                "type": family.type,
                "labels": list(getattr(metric, "_labelnames", ())),
            }
            if family.type == "histogram":
                entry["buckets"] = [str(bound) for bound in metric._upper_bounds]
            found.append(entry)
    return sorted(found, key=lambda entry: str(entry["name"]))


def describe_tallies(metrics: GatewayMetrics) -> list[dict[str, object]]:
    """Return name, type, labels and buckets of each metric of a gateway."""
    found = []
    for tally in metrics.list_tallies():
        family = build_family(tally)
        entry: dict[str, object] = {
            "name": family.name,
            "type": family.type,
            "labels": list(tally.labels),
        }
        if isinstance(tally, HistogramTally):
            bounds = (*tally.buckets, float("inf"))
            entry["buckets"] = [str(bound) for bound in bounds]
        found.append(entry)
    return sorted(found, key=lambda entry: str(entry["name"]))


# what is listed


def list_package_names() -> Any:
    return [name for name in ramppin.__all__ if hasattr(ramppin, name)]


def list_commands() -> Any:
    def describe(command: Any) -> Any:
        if hasattr(command, "commands"):
            parts = command.commands.items()
            return {name: describe(part) for name, part in sorted(parts)}
        return [
            {
                "names": [*param.opts, *param.secondary_opts],
                "kind": param.param_type_name,
                "required": param.required,
                "default": str(param.default),
                "variable": param.envvar,
            }
            for param in command.params
        ]

    return describe(typer.main.get_command(app))


def list_router_metrics() -> Any:
    meter = Meter()
    metrics = Metrics(meter)
    families = {family.name for family in metrics.registry.collect()}
    return {"declared": describe_metrics(metrics), "families": sorted(families)}


def list_settings_fields() -> Any:
    return {
        "router": describe_model(RouterConfig),
        "router's tree": describe_model(SettingsTree),
        "gateway": describe_model(GatewayFile),
        "gateway's routing": describe_model(RoutingTree),
        "gateway's backend servers": describe_model(ServerNode),
    }


class NotingFields(dict):
    """Notes which fields are asked for."""

    def __init__(self, fields: dict[str, str]) -> None:
        super().__init__(fields)
        self.asked: set[str] = set()

    def get(self, name, default=None):
        self.asked.add(name)
        return super().get(name, default)


def list_platform_fields() -> Any:
    fields = NotingFields(
        {
            "node_name": "vm-1",
            "ip": "127.0.0.1",
            "zone": "a",
            "listen.frontend": "127.0.0.1:1",
            "listen.readiness": "127.0.0.1:2",
            "listen.control_plane": "127.0.0.1:3",
            "internal_port_range": "4,5",
        }
    )
    PlatformSettings(fields, "test").build_config()
    names = vocabulary.HEADER_NAMES
    return {
        "deploy": tomllib.loads(Path("deploy/system.toml").read_text()),
        "settings file": sorted(fields.asked),
        "configuration": describe_model(ConfigRecord),
        "backend server": describe_model(ServerRecord),
        "topics": [
            vocabulary.SETTINGS_TOPIC,
            vocabulary.SERVERS_TOPIC,
            vocabulary.MEMBERS_TOPIC,
            vocabulary.HOMES_TOPIC,
        ],
        "settings key": vocabulary.SETTINGS_KEY,
        "variable": vocabulary.SETTINGS_VARIABLE,
        "ready": vocabulary.READY_PATH.decode(),
        "headers": sorted(
            getattr(names, name).decode()
            for name in names.__dataclass_fields__
            if isinstance(getattr(names, name), bytes)
        ),
    }


ROUTER_MESSAGES = (
    messages.Sync("p", 3, (messages.HeldPlaceInfo(1, "engine-1", "choir"),)),
    messages.Ask("p", 1, 42, "assistant", 0, "choir", True, 900, ("engine-2",)),
    messages.Granted(1, "engine-1", "home", 2, 3, 4, 5, 6, 7),
    messages.Refused(1, "queue_full", 250),
    messages.NotOwner(1, 3),
    messages.Free("p", 1, True, False),
    messages.AskEpochs(1),
    messages.Epochs(1, {"p": 3}),
    messages.AskRecords(1, "settings", 5),
    messages.Records(1, ((5, "{}"),)),
    messages.AskTrace(1, "vm-1.a.1"),
    messages.TraceReply(1, "{}"),
    messages.AskClaim(1, "key", 2, "vm-1.a.1", 500),
    messages.ClaimReply(1, "ran", 200, (("a", "b"),), b"body"),
)


def list_peer_messages() -> Any:
    few = [PeerRecord("config", b"{}", 7), PeerRecord("gone", None, 8)]
    many = [PeerRecord(f"key-{n}", b"value" * 10, n) for n in range(MANY_RECORDS)]
    large = encode_answer(PeerAnswer({"servers": TableState(60, 1, many)}))
    gateway = {
        "question": encode_question(PeerQuestion("vm-1", {"settings": 7}, 250)),
        "answer": encode_answer(PeerAnswer({"settings": TableState(9, 12, few)})),
        # The compressed bytes depend on the library; what they hold does not.
        "large answer's mark": large[:1],
        "large answer": zlib.decompress(large[1:]),
        "hints": msgspec.msgpack.encode(PeerHints("vm-1", [HomeHint(99, "s1", 40)])),
    }
    router = {
        type(message).__name__: messages.encode_message(message)
        for message in ROUTER_MESSAGES
    }
    return {
        "gateway": {name: data.hex() for name, data in gateway.items()},
        "router": {name: data.hex() for name, data in router.items()},
    }


def list_stored_records() -> Any:
    snapshot = HomeSnapshot("vm-1", [HomeHint(99, "s1", 40)])
    return {
        "settings": describe_model(SettingsRecord),
        "leases": describe_model(LeaseRecord),
        "claims": describe_model(ClaimRecord),
        "members": describe_model(MemberRecord),
        "homes": {SNAPSHOT_KEY: msgspec.msgpack.encode(snapshot).hex()},
    }


LISTS = {
    "names of the package": list_package_names,
    "commands and options": list_commands,
    "gateway's metrics": lambda: describe_tallies(GatewayMetrics()),
    "router's metrics": list_router_metrics,
    "settings' fields": list_settings_fields,
    "platform's fields": list_platform_fields,
    "peers' messages": list_peer_messages,
    "stored records": list_stored_records,
}


@when("the {interface} are listed")
def step_list(context, interface):
    context.found = LISTS[interface]()


# a gateway's lines and answers


@dataclass
class Operator:
    """Asks a gateway's operations listener."""

    port: int

    async def ask(self, target: str) -> Any:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        request = f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        writer.write(request.encode())
        data = await asyncio.wait_for(reader.read(), 20)
        writer.close()
        return json.loads(data.partition(b"\r\n\r\n")[2])


@given("a gateway on a log of its own")
def step_gateway(context):
    context.fixture = GatewayFixture()
    context.cleanups.append(context.fixture.stop)
    context.loop.run_until_complete(context.fixture.start())


@when("each kind of decision line is written")
def step_write_lines(context):
    work = write_lines(context.fixture)
    context.found = context.loop.run_until_complete(work)


async def write_lines(fixture: GatewayFixture) -> dict[str, Any]:
    """Let a gateway write each kind of line; return the fields by event."""
    gateway = fixture.gateway
    path = fixture.log_path

    async def wait_for_event(event: str) -> None:
        def is_written() -> bool:
            gateway.context.decisions.flush()
            return event in read_events(path)

        await wait_for(is_written, f"a line {event}")

    await fixture.ask("/again/", request_id="early")
    await wait_for_event("denied")
    await fixture.add_backend("p1", "plain", slots=2)
    fixture.publish(build_tree(3))
    await fixture.wait_until_ready(1)
    fixture.publish(build_tree(2))
    await wait_for_event("settings_older")
    for value, event in ((b"{}", "domain_evacuated"), (None, "domain_restored")):
        fixture.settings.put("evacuated/faro", value)
        await wait_for_event(event)
    fixture.publish({"version": "none"})
    await wait_for_event("settings_refused")
    fixture.announce("p1", "plain", slots=2, cold_s=1.0)
    await wait_for_event("server_cold")
    fixture.announce("p1", "plain", slots=2)
    fixture.servers.put("bad", b"{}")
    await wait_for_event("server_refused")

    await fixture.ask("/again/", request_id="served")
    await wait_for_event("answered")
    caller = await fixture.connect()
    await caller.send(encode_request("/again/", headers={"Long": "x" * 5000}))
    await caller.read()
    await wait_for_event("refused")
    await fixture.backends["p1"].stop()
    await fixture.ask("/again/", request_id="failed")
    await wait_for_event("given_up")
    await wait_for_event("attempt_failed")

    now = asyncio.get_running_loop().time()
    gateway.context.directory.words.note_leaving("p2", WordSource.ANSWER, now)
    await wait_for_event("server_closed")
    gateway.context.directory.words.note_rest("p2", 0.1, now)
    await wait_for_event("server_opened")
    quarantine = gateway.context.quarantine
    begin = asyncio.get_running_loop().time() - 100.0
    for n in range(3):
        quarantine.note_lost(0xAB, f"s-{n}", begin + n, begin + n + 1)
        quarantine.note_server_ended(f"s-{n}")
    await wait_for_event("quarantined")
    assert quarantine.admit(0xAB, asyncio.get_running_loop().time())
    await wait_for_event("quarantine_trial")
    operator = Operator(gateway.operations_port)
    answers = {
        "/dump": describe_keys(await operator.ask("/dump")),
        "/explain served": describe_keys(await operator.ask("/explain/served")),
        "/explain failed": describe_keys(await operator.ask("/explain/failed")),
        "/explain unknown": describe_keys(await operator.ask("/explain/unknown")),
        "given up": describe_keys((await operator.ask("/explain/failed"))["decisions"]),
    }
    decisions = (await operator.ask("/explain/failed"))["decisions"]
    answers["given up"] = describe_keys(decisions[-1:])
    quarantine.clear(0xAB, asyncio.get_running_loop().time())
    await wait_for_event("quarantine_cleared")
    fixture.servers.put("p1", None)
    await wait_for_event("server_gone")
    gateway.reload(gateway.config)
    await wait_for_event("reloaded")
    gateway._note_turn(STALL_S, asyncio.get_running_loop().time())
    await wait_for_event("stalled")
    gateway.start_drain()
    await wait_for_event("draining")
    await gateway.stop()
    await wait_for_event("stopped")
    events = read_events(path) | await write_start_line_without_operators()
    events |= write_dropped_line()
    return {
        "events": dict(sorted(events.items())),
        "answers": answers,
        "ends of attempts": sorted(end.value for end in AttemptEnd),
        "denials": sorted([denial.status, denial.reason] for denial in Denial),
    }


async def write_start_line_without_operators() -> dict[str, list[str]]:
    """Return the line of a gateway whose operations port is taken."""
    with socket.create_server(("127.0.0.1", 0)) as taken:
        fixture = GatewayFixture(operations_port=taken.getsockname()[1])
        await fixture.start()
        fixture.gateway.context.decisions.flush()
        events = read_events(fixture.log_path)
        await fixture.stop()
    return {"operations_unavailable": events["operations_unavailable"]}


def write_dropped_line() -> dict[str, list[str]]:
    """Return the line that tells how many were dropped."""
    with tempfile.NamedTemporaryFile() as file:
        decisions = DecisionLog("vm-1", descriptor=file.fileno())
        for _ in range(1000):
            decisions.note("started")
        decisions.refill()
        decisions.flush()
        events = read_events(Path(file.name))
    return {"lines_dropped": events["lines_dropped"]}


def read_events(path: Path) -> dict[str, list[str]]:
    """Return the fields of each event, in their order."""
    lines = path.read_text().splitlines()
    return {line["event"]: list(line) for line in map(json.loads, lines)}


# a router's answers


@when("the router's state is asked for")
def step_router_state(context):
    context.found = context.loop.run_until_complete(ask_router(context.fleet))


async def ask_router(fleet: Any) -> dict[str, Any]:
    import aiohttp

    found = {}
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        for path in ("/dump", "/status", "/settings", "/settings/history"):
            async with session.get(fleet.get_operator_url("vm-1") + path) as reply:
                found[path] = describe_keys(await reply.json())
    # Which VM owns a shard and what was sent so far differ from run to run.
    found["/dump"].pop("owned_shards")
    found["/dump"].pop("links")
    return found


@then('they are as recorded in "{name}"')
def step_compare(context, name):
    path = RECORDED / f"{name}.json"
    text = json.dumps(context.found, indent=1, ensure_ascii=False) + "\n"
    if os.environ.get("RAMPPIN_WRITE_GOLDEN"):
        path.write_text(text)
    assert text == path.read_text(), text
