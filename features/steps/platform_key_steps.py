"""Steps: API keys in the operator's configuration."""

from __future__ import annotations

import asyncio
import json
import random

from behave import then, when

from features.platform_support import build_config, encode_request
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.request.admission import Denial, admit
from ramppin_platform.records import PlatformDecoder
from ramppin_platform.vocabulary import HEADER_NAMES, SETTINGS_KEY
from standins.common import wait_for

HOST = "127.0.0.1"
SPECIAL_KEYS = {"<blank>": " ", "empty": ""}


def run(context, work):
    return context.loop.run_until_complete(work)


def build_tenants(text: str) -> list[dict]:
    """Return the tenants of a row."""
    if text == "empty list":
        return []
    tenants = []
    for part in text.split():
        name, _, keys = part.partition("=")
        found = [SPECIAL_KEYS.get(key, key) for key in keys.split(",") if key]
        tenants.append({"name": name, "api_keys": found})
    return tenants


def encode_config(version: int, tenants: str) -> bytes:
    config = build_config(version)
    config["routes"].append(
        config["routes"][0] | {"name": "r3", "path_prefix": "/p/", "public": True}
    )
    config["tenants"] = build_tenants(tenants)
    if tenants == "no tenants":
        del config["tenants"]
    if tenants == "unreadable":
        config["tenants"] = None
    return json.dumps(config).encode()


@then(
    'under a configuration with "{tenants}" a request with the key "{key}" on a '
    '{route} route is "{found}"'
)
def step_admitted(context, tenants, key, route, found):
    record = Record(SETTINGS_KEY, encode_config(1, tenants), 0)
    headers = [(b"Host", b"h.example")]
    if key != "none":
        headers.append((HEADER_NAMES.api_key, SPECIAL_KEYS.get(key, key).encode()))
    path = b"/p/x" if route == "public" else b"/a/x"
    admitted = admit(
        CallerRequest(b"POST", path, headers),
        table=PlatformDecoder().decode_table(record),
        names=HEADER_NAMES,
        drain=None,
        generator=random.Random(1),
        now=0.0,
    )
    if isinstance(admitted, Denial):
        shown = f"{admitted.status} {admitted.reason}"
    else:
        shown = admitted.customer.name if admitted.customer else "no customer"
    assert shown == found, shown


@when('version {version:d} of the configuration has "{tenants}"')
def step_publish(context, version, tenants):
    value = encode_config(version, tenants)
    context.platform.store.put("keyed.op", SETTINGS_KEY, value)


async def ask(context, key: str) -> int:
    """Return the status of a request with a key, or with none."""
    if key != "none":
        return (await context.platform.ask("/a/x", key=key)).status
    caller = await context.platform.connect("vm-1", HOST)
    request = encode_request("/a/x", "gone", {})
    await caller.send(request.replace(b"Api-Key: gone\r\n", b""))
    answer = await caller.read()
    caller.close()
    return answer.status


@then('requests with the keys "{keys}" are answered 401 and reach no server')
def step_denied(context, keys):
    backends = context.platform.backends.values()
    before = [len(backend.received) for backend in backends]

    async def ask_all() -> list[int]:
        return [await ask(context, key) for key in keys.split()]

    assert set(run(context, ask_all())) == {401}
    assert [len(backend.received) for backend in backends] == before


@then(
    'soon a request with the key "{key}" reaches a server as one of "{tenant}", '
    "whatever tenant its caller names"
)
def step_reaches(context, key, tenant):
    fixture = context.platform

    async def is_so() -> bool:
        await fixture.ask("/a/x", key=key, Tenant_Id="forged")
        received = [r for b in fixture.backends.values() for r in b.received]
        names = {r.headers.get(b"tenant-id", b"").decode() for r in received}
        assert "forged" not in names
        return tenant in names

    run(context, asyncio.wait_for(wait_for(is_so, "the new tenant is named"), 30))
