"""A heartbeat that a cut held up brings an engine back that is leaving."""

from __future__ import annotations

import asyncio
import contextlib
import json
import struct
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins2 import (
    Client,
    Engine,
    Fleet,
    Listener,
    Request,
    has_trouble,
    read_answer,
    run_case,
)

HOST = "ficu95.example"
DRAIN_S = 2.0
CONTACT_S = 3.0
HEARTBEAT_S = 1.2
CALL_TIMEOUT_S = 1.0
CUT_S = 3.5
RETRANSMITS_S = (0.2, 0.6, 1.4, 3.0, 6.2, 12.6)
"""Seconds after its first sending at which TCP sends data again: 0.2 s, doubled."""

SERVES_ON_S = 5.0
"""Seconds for which the leaving engine serves on after the acknowledgement."""

WORK_S = 0.06


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


class Way(Listener):
    """An engine's way to the store, which may be cut.

    While it is cut, nothing passes. What was sent on a connection that was open before
    is held up: it arrives when TCP sends it again, also if its sender has closed since.
    A connection that is opened during the cut comes to nothing.
    """

    def __init__(self, store_port: int) -> None:
        super().__init__()
        self._store_port = store_port
        self.is_cut = False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass the bytes of one connection on."""
        if self.is_cut:
            await reader.read()
            return
        store_reader, store_writer = await asyncio.open_connection(
            "127.0.0.1", self._store_port
        )
        back = asyncio.create_task(self._pass_back(store_reader, writer))
        try:
            while data := await reader.read(65536):
                sent_at = time.monotonic()
                for after_s in RETRANSMITS_S:
                    if not self.is_cut:
                        break
                    await asyncio.sleep(sent_at + after_s - time.monotonic())
                store_writer.write(data)
                await store_writer.drain()
        finally:
            await asyncio.sleep(0.1)
            back.cancel()
            store_writer.close()

    async def _pass_back(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()


class Heart:
    """Writes an engine's entry each heartbeat, over one connection while it works."""

    def __init__(self, engine: Engine, port: int) -> None:
        self._engine = engine
        self._port = port
        self._link: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.state = "ready"
        self.sequence = 1
        self.acked_at = 0.0

    async def beat(self) -> None:
        """Write until cancelled."""
        while True:
            due_at = time.monotonic() + HEARTBEAT_S
            await self.write()
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))

    async def write(self) -> None:
        """Write the entry, and wait for the acknowledgement for a second."""
        self.sequence += 1
        entry = self._engine.describe("reservas", self.state)
        entry["sequence"] = self.sequence
        engine_id = self._engine.engine_id
        name = engine_id.encode()
        data = bytes([len(name)]) + name + json.dumps(entry).encode()
        body = struct.pack(">I", len(data)) + data
        head = "POST /log-append?topic=keyed.servers&part=0 HTTP/1.1\r\nHost: store\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        what = f"{engine_id}: {self.state}, sequence {self.sequence}"
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                if self._link is None:
                    self._link = await asyncio.open_connection("127.0.0.1", self._port)
                reader, writer = self._link
                writer.write(head.encode() + body)
                await read_answer(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self._engine.record.note(f"no answer of the store to {what}")
            if self._link is not None:
                self._link[1].close()
            self._link = None
            return
        if self.state == "draining" and not self.acked_at:
            self.acked_at = time.monotonic()
            self._engine.record.note(f"the store acknowledges {what}")


async def run_well(
    engine: Engine, request: Request, writer: asyncio.StreamWriter
) -> None:
    """Run a booking."""
    engine.begin(request)
    await asyncio.sleep(WORK_S)
    await engine.answer(writer, request, 200, b"done")


def note_entries(fleet: Fleet, engine_id: str) -> list[str]:
    """Return the entries of an engine in the order in which the store took them."""
    found = []
    for record in fleet.store.topics["keyed.servers"].records:
        end = 1 + record[0]
        if record[1:end].decode() == engine_id and record[end:]:
            entry = json.loads(record[end:])
            found.append(f"{entry['state']} {entry['sequence']}")
    return found


async def play(fleet: Fleet) -> bool:
    """Cut one engine of five off from the store, which then leaves."""
    record = fleet.record
    fleet.store.put("keyed.op", "config", build_config())
    for number in range(1, 6):
        await fleet.add_engine(f"i-{number}", "reservas", run_well)
    leaving = fleet.engines[0]
    way = Way(fleet.store.port)
    await way.start()
    hearts = [
        Heart(engine, way.port if engine is leaving else fleet.store.port)
        for engine in fleet.engines
    ]
    tasks = [asyncio.create_task(heart.beat()) for heart in hearts[1:]]
    [gateway] = await fleet.start_gateways(1)
    client = Client(gateway, record, HOST)
    asked: list[asyncio.Task[object]] = []
    is_over = False

    async def ask_on() -> None:
        while not is_over:
            name = f"a{len(asked)}"
            asked.append(asyncio.create_task(client.ask("/puxa403/2f", name, key="k1")))
            await asyncio.sleep(1 / 30)

    asking = asyncio.create_task(ask_on())
    heart = hearts[0]
    await heart.write()
    await asyncio.sleep(CONTACT_S)
    if has_trouble():
        way.is_cut = True
        record.note(f"i-1 is cut off from the store for {CUT_S} s")
    beating = asyncio.create_task(heart.beat())
    await asyncio.sleep(CUT_S)
    way.is_cut = False
    record.note("the way from i-1 to the store is whole")
    beating.cancel()
    heart.state = "draining"
    tasks.append(asyncio.create_task(heart.beat()))
    while not heart.acked_at:
        await asyncio.sleep(0.01)
    await asyncio.sleep(max(0.0, heart.acked_at + DRAIN_S - time.monotonic()))
    before = len(leaving.runs)
    record.note("drain_ms has passed since the acknowledgement")
    await asyncio.sleep(max(0.0, heart.acked_at + SERVES_ON_S - time.monotonic()))
    is_over = True
    await asking
    await asyncio.gather(*asked)
    for task in tasks:
        task.cancel()
    await way.stop()
    record.note(f"entries of i-1 in the store: {note_entries(fleet, 'i-1')}")
    for line in gateway.list_events("server_known"):
        if line["server"] == "i-1":
            record.note(f"gateway: i-1 known, draining {line['draining']}")
    wrong = leaving.runs[before:]
    record.note(f"requests that reached i-1 later than drain_ms: {wrong}")
    return bool(wrong)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
