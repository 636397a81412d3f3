"""Steps that compare what others depend on with what is recorded.

Names of the package, commands, metrics, settings, messages between VMs, and what
processes write and answer. With ``RAMPPIN_WRITE_GOLDEN`` set the files are written.
"""

from __future__ import annotations

import difflib
import json
import os
import tomllib
import zlib
from pathlib import Path
from typing import Any

import msgspec
import typer
from behave import given, then, when
from pydantic import BaseModel, TypeAdapter

import ramppin
from features.gateway_lines import GatewayLines, describe_keys
from features.gateway_support import GatewayFixture
from ramppin import logs
from ramppin.cli import app
from ramppin.gateway.connection.datagrams import (
    BackoffHint,
    BrittleHint,
    BuildHint,
    DemandHint,
    EndHint,
    FailureHint,
    HomeHint,
    LeavingHint,
    LoadHint,
    OriginHint,
    PeerHints,
    SuspectHint,
    WaitHint,
    encode_hints,
)
from ramppin.gateway.process.membership.members import MemberRecord
from ramppin.gateway.process.membership.servernotices import NoticeSource
from ramppin.gateway.process.overload.capacity import CapacitySource
from ramppin.gateway.process.overload.ticket import RefusalRule
from ramppin.gateway.process.quarantine.changes import ChangeKind
from ramppin.gateway.process.recovery.logmonitor import LogCall
from ramppin.gateway.process.recovery.peermessages import (
    PeerAnswer,
    PeerRecord,
    PeerRequest,
    TableState,
    encode_answer,
    encode_peer_request,
)
from ramppin.gateway.process.reporting.exposition import build_family
from ramppin.gateway.process.reporting.metrics import GatewayMetrics, HistogramTally
from ramppin.gateway.process.routing.buildrecords import encode_build, name_record
from ramppin.gateway.process.routing.closure import ClosureReason
from ramppin.gateway.process.routing.homesnapshot import (
    SNAPSHOT_KEY,
    HomeSnapshot,
    encode_snapshot,
)
from ramppin.gateway.process.routing.recordedservers import ServiceBuild
from ramppin.gateway.process.settingsfile import GatewayFile
from ramppin.gateway.request.finalanswer import Ending
from ramppin.gateway.request.result import AttemptEnd
from ramppin.gateway.request.retry import Verdict
from ramppin.gateway.version.routing import RouteKind
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
from ramppin_platform.store import NewestPage, TrimmedAnswer
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


SUSPECT_HINT = SuspectHint(7, [EndHint("s1", 20, 30)], 2, ["s2"], True, 40)

FULL_HINTS = PeerHints(
    "vm-1",
    [HomeHint(99, "s1", 40)],
    False,
    [FailureHint("s1", 1)],
    [LoadHint("s1", 3, 50)],
    [WaitHint("s1", 4)],
    [98],
    [SUSPECT_HINT],
    5,
    [LeavingHint("s2", 60)],
    [BackoffHint("s3", 70)],
)
"""A datagram with an entry of each kind that is sent without overload control."""

DEMAND_HINTS = msgspec.structs.replace(
    FULL_HINTS, demands=[DemandHint("models", 3, [0, 1, 2, 0, 0, 0, 0, 0, 0, 4])]
)
"""A datagram with an entry of each kind."""


def list_peer_messages() -> Any:
    few = [PeerRecord("config", b"{}", 7), PeerRecord("gone", None, 8)]
    many = [PeerRecord(f"key-{n}", b"value" * 10, n) for n in range(MANY_RECORDS)]
    large = encode_answer(PeerAnswer({"servers": TableState(60, 1, many)}))
    gateway = {
        "question": encode_peer_request(PeerRequest("vm-1", {"settings": 7}, 250)),
        "answer": encode_answer(PeerAnswer({"settings": TableState(9, 12, few)})),
        # The compressed bytes depend on the library; what they hold does not.
        "large answer's mark": large[:1],
        "large answer": zlib.decompress(large[1:]),
        "hints": encode_hints(PeerHints("vm-1", [HomeHint(99, "s1", 40)])),
        "full hints": encode_hints(FULL_HINTS),
        "hints with demands": encode_hints(DEMAND_HINTS),
        "hints with services out of reach": encode_hints(
            PeerHints("vm-1", [], unreachable=["model"])
        ),
        "hints with streams of several builds": encode_hints(
            PeerHints(
                "vm-1",
                [],
                mixed=["model"],
                origins=[OriginHint(7, "model", "v2")],
                asked_streams=[9],
            )
        ),
        "hints with a question for a stream": encode_hints(
            PeerHints("vm-1", [], asked_streams=[9], asked_services=["model"])
        ),
        "hints with an only build": encode_hints(
            PeerHints(
                "vm-1",
                [],
                origins=[OriginHint(9)],
                only_builds=[BuildHint("model", "v2")],
            )
        ),
        "hints with brittle servers": encode_hints(
            PeerHints("vm-1", [], brittle=[BrittleHint("model", 4, 250)])
        ),
        "hints with a speed": encode_hints(
            PeerHints("vm-1", [], loads=[LoadHint("s1", 3, 50, 250)])
        ),
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
    homes = [HomeHint(99, "s1", 40)]
    snapshot = HomeSnapshot("vm-1", homes)
    full_snapshot = HomeSnapshot("vm-1", homes, [SUSPECT_HINT])
    build = ServiceBuild("model", "v2")
    return {
        "settings": describe_model(SettingsRecord),
        "leases": describe_model(LeaseRecord),
        "claims": describe_model(ClaimRecord),
        "members": describe_model(MemberRecord),
        "homes": {
            SNAPSHOT_KEY: encode_snapshot(snapshot).hex(),
            "with suspects": encode_snapshot(full_snapshot).hex(),
        },
        "builds": {name_record(build): encode_build(build).hex()},
    }


def list_line_values() -> Any:
    """Return the values that decision lines, metrics and answers take from enums."""
    return {
        "rules": sorted(verdict.name.lower() for verdict in Verdict),
        "rules of overload control": sorted(rule.value for rule in RefusalRule),
        "sources of capacity": sorted(source.value for source in CapacitySource),
        "endings": sorted(ending.name.lower() for ending in Ending),
        "ends of attempts": sorted(end.value for end in AttemptEnd),
        "closure reasons": sorted(reason.value for reason in ClosureReason),
        "sources of closures": sorted(source.value for source in NoticeSource),
        "quarantine events": sorted(kind.value for kind in ChangeKind),
        "log calls": sorted(call.value for call in LogCall),
        "kinds of routes": sorted(kind.value for kind in RouteKind),
        "fields of process logs": sorted(logs._FIELDS),
    }


def list_store_answers() -> Any:
    return {
        "newest records": describe_model(NewestPage),
        "trimmed history": describe_model(TrimmedAnswer),
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
    "values in lines and metrics": list_line_values,
    "store's answers": list_store_answers,
}


@when("the {interface} are listed")
def step_list(context, interface):
    context.found = LISTS[interface]()


# a gateway's lines and answers


@given("a gateway on a log of its own")
def step_gateway(context):
    context.fixture = GatewayFixture()
    context.cleanups.append(context.fixture.stop)
    context.loop.run_until_complete(context.fixture.start())


@when("each kind of decision line is written")
def step_write_lines(context):
    work = GatewayLines(context.fixture).write_all()
    context.found = context.loop.run_until_complete(work)


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
    recorded = path.read_text()
    changes = difflib.unified_diff(recorded.splitlines(), text.splitlines(), n=1)
    assert text == recorded, "\n".join(changes)
