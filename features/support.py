"""What steps share: fleets, callers and waiting for conditions."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import json5

from ramppin.router.version.tree import hash_key
from standins.fleet import FleetInProcess, FleetOptions


def load_example(name: str) -> dict[str, Any]:
    """Return one of the examples' settings trees."""
    with open(f"examples/{name}.jsonc", encoding="utf-8") as file:
        return json5.load(file)


def build_tree(
    engines: int = 3,
    servers: int = 2,
    *,
    pool_rules: dict | None = None,
    service_rules: dict | None = None,
    customers: tuple[str, ...] = ("choir", "band"),
) -> dict[str, Any]:
    """Return a small settings tree; a customer's key is ``key-NAME``."""

    def nodes(kind: str, count: int) -> dict[str, Any]:
        domains = ("porto", "pelotas", "caxias")
        return {
            f"{kind}-{n}": {
                "address": "127.0.0.1:1",
                "failure_domain": domains[n % 3],
            }
            for n in range(1, count + 1)
        }

    return {
        "fleet": {},
        "pools": {
            "engines": {
                "reports_load": True,
                "rules": pool_rules or {},
                "backend_servers": nodes("engine", engines),
            },
            "servers": {"backend_servers": nodes("server", servers)},
        },
        "services": {
            "assistant": {
                "kind": "model",
                "pool": "engines",
                "models": ["m"],
                "rules": service_rules or {},
            },
            "booking": {
                "kind": "plain",
                "pool": "servers",
                "routes": [
                    {
                        "methods": ["POST"],
                        "path": "/bookings",
                        "rules": {"repeatable": False},
                    }
                ],
            },
        },
        "customers": {
            name: {"key_hashes": [hash_key(f"key-{name}")]} for name in customers
        },
    }


async def start_fleet(
    context, tree: dict[str, Any], options: FleetOptions | None = None
) -> FleetInProcess:
    """Start a fleet in this process; it stops with the scenario."""
    fleet = FleetInProcess(tree, options)
    context.cleanups.append(fleet.stop)
    await fleet.start()
    context.fleet = fleet
    return fleet


@dataclass
class Answer:
    """What a caller got.

    Attributes:
        status: the HTTP status; 0 if the connection broke before it came.
        headers: the headers.
        body: what came of the body.
        whole: whether the body came to its end.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False

    @property
    def outcome(self) -> str:
        """The outcome that the answer claims."""
        return self.headers.get("ramppin-outcome", "")

    def json(self) -> Any:
        """Return the body's JSON."""
        return json.loads(self.body)


class Caller:
    """Sends requests as one customer."""

    def __init__(self, customer: str = "choir") -> None:
        self.key = f"key-{customer}"

    async def send(
        self, method: str, url: str, *, timeout_s: float = 60.0, **options: Any
    ) -> Answer:
        """Send a request on a connection of its own; never raises."""
        headers = {"Authorization": f"Bearer {self.key}"}
        headers |= options.pop("headers", {})
        answer = Answer(0)
        try:
            async with (
                aiohttp.ClientSession(
                    timeout=aiohttp.ClientTimeout(total=timeout_s)
                ) as session,
                session.request(method, url, headers=headers, **options) as reply,
            ):
                answer.status = reply.status
                answer.headers = {k.lower(): v for k, v in reply.headers.items()}
                async for part in reply.content.iter_any():
                    answer.body += part
                answer.whole = True
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        return answer

    async def chat(
        self, base_url: str, messages: list[dict], *, stream: bool = False, **extra: Any
    ) -> Answer:
        """Send a chat."""
        headers = extra.pop("headers", {})
        body = {"model": extra.pop("model", "m"), "messages": messages}
        body |= {"stream": stream} | extra
        url = f"{base_url}/v1/chat/completions"
        return await self.send("POST", url, json=body, headers=headers)


def read_events(body: bytes) -> tuple[str, str, bool]:
    """Return a stream's text, its last event id, and whether it was whole."""
    text, last_id, whole = "", "", False
    for event in body.decode().split("\n\n"):
        for line in event.splitlines():
            if line.startswith("id: "):
                last_id = line[4:]
            elif line == "data: [DONE]":
                whole = True
            elif line.startswith("data: "):
                chunk = json.loads(line[6:])
                for choice in chunk.get("choices", []):
                    text += choice["delta"].get("content", "")
    return text, last_id, whole
