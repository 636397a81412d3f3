"""The demo: a small fleet in one process, to try ramppin in a minute."""

from __future__ import annotations

import asyncio
import signal
import uuid
from typing import Any

from ramppin.router.version.tree import hash_key
from standins.engine import EngineOptions
from standins.fleet import OPERATOR_KEY, FleetInProcess, FleetOptions

API_KEY = "demo-key"


def build_demo_tree() -> dict[str, Any]:
    """Return the settings of the demo."""
    domains = ("porto", "pelotas")
    return {
        "fleet": {"bound": 1.25},
        "pools": {
            "engines": {
                "reports_load": True,
                "backend_servers": {
                    f"engine-{number}": {
                        "address": "127.0.0.1:1",
                        "failure_domain": domains[number % 2],
                    }
                    for number in range(1, 4)
                },
            },
            "booking-servers": {
                "backend_servers": {
                    f"booking-{number}": {
                        "address": "127.0.0.1:1",
                        "failure_domain": domains[number % 2],
                    }
                    for number in range(1, 3)
                },
            },
        },
        "services": {
            "assistant": {
                "kind": "model",
                "pool": "engines",
                "models": ["choir-assistant"],
            },
            "booking": {
                "kind": "plain",
                "pool": "booking-servers",
                "routes": [
                    {
                        "methods": ["POST"],
                        "path": "/bookings",
                        "rules": {"repeatable": False},
                    }
                ],
            },
        },
        "customers": {"demo": {"key_hashes": [hash_key(API_KEY)]}},
    }


def make_key() -> str:
    """Return a UUID of version 7 for a call that must run once."""
    import secrets
    import time

    value = int(time.time() * 1000) << 80 | secrets.randbits(80)
    value = value & ~(0xF << 76) | (0x7 << 76)
    return str(uuid.UUID(int=value & ~(0x3 << 62) | (0x2 << 62)))


def build_help(fleet: FleetInProcess) -> str:
    """Return what the demo prints: addresses, a key, and lines to try."""
    first, second = fleet.get_caller_url("vm-1"), fleet.get_caller_url("vm-2")
    operator = fleet.get_operator_url("vm-2")
    return f"""
ramppin demo: two router VMs before three model engines and two booking servers

  callers     {first}  (vm-1)
              {second}  (vm-2)
  operators   {fleet.get_operator_url("vm-1")}  (vm-1)
              {operator}  (vm-2)
  API key     {API_KEY}

A chat, streamed:

  curl -sN {first}/v1/chat/completions \\
    -H 'Authorization: Bearer {API_KEY}' -H 'Content-Type: application/json' \\
    -d '{{"model": "choir-assistant", "stream": true, "messages": [{{"role": "user", "content": "Plan our rehearsals"}}]}}'

A booking that runs once, however often it is sent, through either VM:

  curl -si {second}/services/booking/bookings -d '{{"hall": "A"}}' \\
    -H 'Authorization: Bearer {API_KEY}' -H 'Idempotency-Key: {make_key()}'

Why it went where it went (take Ramppin-Request-Id from the answer):

  RAMPPIN_OPERATOR_URL={operator} RAMPPIN_OPERATOR_KEY={OPERATOR_KEY} \\
    ramppin explain REQUEST_ID

Ctrl-C stops the demo.
"""  # noqa: E501


async def run_demo(port: int) -> None:
    """Serve until interrupted.

    Args:
        port: of the first VM for callers; 0 picks a free one.
    """
    options = FleetOptions(caller_port=port, engine=EngineOptions(token_s=0.05))
    fleet = FleetInProcess(build_demo_tree(), options)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(name, stop.set)
    await fleet.start()
    print(build_help(fleet), flush=True)
    await stop.wait()
    await fleet.stop()
