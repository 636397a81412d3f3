"""Once the last keys are taken away, requests with any key run, and without one."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins2 import (
    CannotRunError,
    Client,
    Fleet,
    has_trouble,
    run_case,
    run_well,
)

HOST = "ficu95.example"
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0


def build_config(version: int, keys: list[str]) -> dict[str, object]:
    """Return a configuration with one route and one tenant."""
    return {
        "version": version,
        "routes": [
            {
                "name": "hall-booking",
                "host": HOST,
                "path_prefix": "/puxa403/",
                "type": "non_idempotent",
                "timeout_ms": 1500,
                "target_latency_ms": 300,
                "service": "reservas",
                "max_attempts": 1,
                "priority": 2,
            }
        ],
        "services": [
            {"name": "reservas", "health_path": "/healthz", "max_connections": 110}
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": keys, "priority": 1}],
    }


KEYS = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"]
"""The keys of the only tenant."""

STRANGE_KEY = "never-held-by-any-tenant"

REVOKE_GAP_S = 1.5
"""Seconds from one key's end to the next one's."""


async def play(fleet: Fleet) -> bool:
    """Take away the tenant's two keys; return whether requests without one ran."""
    record, versions = fleet.record, [7, 11, 12]
    fleet.store.put("keyed.op", "config", build_config(versions[0], KEYS))
    engine = await fleet.add_engine("i-7f3a91c2", "reservas", run_well)
    [gateway] = await fleet.start_gateways(1)
    client = Client(gateway, record, HOST)
    await asyncio.sleep(CONTACT_S)
    before = [
        await client.ask("/puxa403/2f", "a0", key=KEYS[0]),
        await client.ask("/puxa403/2f", "a1", key=STRANGE_KEY),
    ]
    if [answer.status for answer in before] != [200, 401]:
        raise CannotRunError("the deployment does not serve as it should")
    for count, version in enumerate(versions[1:], start=1):
        left = KEYS[count:] if has_trouble() else KEYS
        fleet.store.put("keyed.op", "config", build_config(version, left))
        record.note(f"the store acknowledges version {version} with the keys {left}")
        await asyncio.sleep(REVOKE_GAP_S)
    await asyncio.sleep(2 * CONFIG_APPLY_S)
    if has_trouble():
        await client.ask("/puxa403/2f", "taken-1", key=KEYS[0])
        await client.ask("/puxa403/2f", "taken-2", key=KEYS[1])
    await client.ask("/puxa403/2f", "strange", key=STRANGE_KEY)
    await client.ask("/puxa403/2f", "no-key", key=None)
    wrong = {"taken-1", "taken-2", "strange", "no-key"} & set(engine.runs)
    record.note(f"requests without a key in force that ran: {sorted(wrong)}")
    return bool(wrong)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
