"""A booking that ran is answered with 503 and when to come back."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins2 import (
    Client,
    Engine,
    Fleet,
    Request,
    has_trouble,
    run_case,
)

HOST = "ficu95.example"
PROMISES = {408, 421, 429, 503}
CONTACT_S = 3.0
ENGINES = 8
GREY = "i-3"
BOOKINGS = 190
BOOKINGS_PER_S = 30.0


def build_config() -> dict[str, object]:
    """Return a configuration with one route that can't be repeated."""
    return {
        "version": 7,
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
        "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
        "tenants": [{"name": "hule930", "api_keys": ["k1"], "priority": 1}],
    }


def may_fail(engine: Engine) -> bool:
    """Return whether an engine fails the request that it has just begun."""
    is_grey = has_trouble() and engine.engine_id == GREY
    return is_grey and len(engine.runs) % 5 in (0, 2)


async def run_and_fail(
    engine: Engine, request: Request, writer: asyncio.StreamWriter
) -> None:
    """Work on a request; the grey engine fails two of five after that."""
    engine.begin(request)
    fails = may_fail(engine)
    await asyncio.sleep(0.06)
    if fails:
        engine.record.note(
            f"engine {engine.engine_id} fails {request.headers['attempt-id']} with "
            "503, without Not-Executed"
        )
    await engine.answer(writer, request, 503 if fails else 200, b"x")


async def play(fleet: Fleet) -> bool:
    """Send bookings; return whether one that ran was called not run."""
    record = fleet.record
    fleet.store.put("keyed.op", "config", build_config())
    for number in range(1, ENGINES + 1):
        await fleet.add_engine(f"i-{number}", "reservas", run_and_fail)
    [gateway] = await fleet.start_gateways(1)
    client = Client(gateway, record, HOST)
    await asyncio.sleep(CONTACT_S)
    wrong: list[str] = []
    doubled: list[str] = []

    def has_run(attempt: str) -> bool:
        return any(attempt in engine.runs for engine in fleet.engines)

    async def book(number: int) -> None:
        """Book one hall, and once more after a promise that it was not booked."""
        first, second = f"b{number}-1", f"b{number}-2"
        answer = await client.ask("/puxa403/2f", first, key="k1")
        if answer.status not in PROMISES:
            return
        if has_run(first):
            wrong.append(first)
        await asyncio.sleep(float(answer.headers.get("retry-after", "0.1")))
        await client.ask("/puxa403/2f", second, key="k1")
        if has_run(first) and has_run(second):
            doubled.append(f"b{number}")

    bookings = []
    for number in range(BOOKINGS):
        bookings.append(asyncio.create_task(book(number)))
        await asyncio.sleep(1 / BOOKINGS_PER_S)
    await asyncio.gather(*bookings)
    record.note(f"ran, and called not run: {sorted(wrong)}")
    record.note(f"booked twice by clients that trusted that: {sorted(doubled)}")
    return bool(wrong)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
