"""Measures the bytes of one read of the log and of the list, headers included."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import aiohttp

from ramppin.errors import RamppinError
from ramppin.router.connection.log import LogClient
from ramppin.router.connection.vmlist import VmListClient
from standins.common import StandIn
from standins.log import LogStandIn
from standins.vms import VmListStandIn

Ask = Callable[[str, aiohttp.ClientSession], Awaitable[object]]


async def _capture_request(ask: Ask) -> bytes:
    """Return the bytes that a client sends."""
    captured = bytearray()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        captured.extend(await reader.readuntil(b"\r\n\r\n"))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with aiohttp.ClientSession() as session:
        with contextlib.suppress(RamppinError):
            await ask(f"http://127.0.0.1:{port}", session)
    server.close()
    return bytes(captured)


async def _measure_reply(request: bytes, stand_in: StandIn) -> int:
    """Return the bytes of a stand-in's reply."""
    await stand_in.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", stand_in.port)
    writer.write(request.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
    reply = await reader.read()
    writer.close()
    await stand_in.stop()
    return len(reply)


async def _measure() -> dict[str, float]:
    async def read_log(url: str, session: aiohttp.ClientSession) -> object:
        return await LogClient(url, session, vm="vm-100").read("leases", 100_000)

    async def read_list(url: str, session: aiohttp.ClientSession) -> object:
        return await VmListClient(url, session, vm="vm-100").read()

    sizes: dict[str, float] = {}
    request = await _capture_request(read_log)
    reply = await _measure_reply(request, StandIn(LogStandIn().app))
    sizes["one read of the log, no record"] = len(request) + reply
    log = LogStandIn()
    renewal = {
        "kind": "renew",
        "vm": "vm-100",
        "run": 2**32 - 1,
        "number": 100_000,
        "epochs": {"pool-10": 100_000},
    }
    for _ in range(100):
        log.append("leases", renewal)
    request = request.replace(b"from=100000", b"from=0")
    full = await _measure_reply(request, StandIn(log.app))
    sizes["one renewal in a read"] = (full - reply) / 100
    request = await _capture_request(read_list)
    for entries in (0, 1270):
        vms = VmListStandIn(lag_s=0.0)
        for number in range(entries):
            name = f"vm-{number}"
            entry = {"name": name, "role": "router", "state": "live"}
            vms.put(entry | {"address": "10.100.100.100:8082"}, at_once=True)
        size = len(request) + await _measure_reply(request, StandIn(vms.app))
        sizes[f"one read of the list, {entries} VMs"] = size
    return sizes


def measure_wire() -> dict[str, float]:
    """Return the bytes of each kind of read."""
    return asyncio.run(_measure())
