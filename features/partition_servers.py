"""Backend servers that keep which requests they ran, and for how long."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field

from ramppin_platform.vocabulary import HEADER_NAMES
from standins.backend import BackendStandIn, Reply

PLAIN = "plain"
"""The service whose servers answer whole; those of others stream events."""

EVENTS = 6
EVENT_GAP_S = (0.005, 0.04)
PLAIN_WORK_S = (0.005, 0.03)
LONG_WORK_S = 3.0

LONG_TARGET = b"/s/long"
"""Of streams that run until their callers leave."""


@dataclass
class RunServer(BackendStandIn):
    """One backend server.

    Attributes:
        id: under which it announces itself.
        service: its service.
        domain: its failure domain.
        held: requests that it runs.
        running: cleared while it is silent.
    """

    id: str = ""
    service: str = PLAIN
    domain: str = ""
    held: int = 0
    running: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass
class RunServers:
    """All backend servers of a run.

    Attributes:
        generator: draws how long they work.
        runs: how often each request ran, by its id.
        ended_at: when the last run of each request ended, by its id.
    """

    generator: random.Random
    runs: dict[str, int] = field(default_factory=dict)
    ended_at: dict[str, float] = field(default_factory=dict)
    servers: list[RunServer] = field(default_factory=list)

    async def add(self, service: str, domain: str) -> RunServer:
        """Start a server."""
        server_id = f"i-{len(self.servers) + 1}"
        server = RunServer(
            names=HEADER_NAMES, id=server_id, service=service, domain=domain
        )
        server.running.set()
        await server.start()

        async def serve(reply: Reply) -> None:
            await self._serve(server, reply)

        server.script = serve
        self.servers.append(server)
        return server

    async def _serve(self, server: RunServer, reply: Reply) -> None:
        headers = reply.request.headers
        if headers.get(HEADER_NAMES.server, b"").decode() != server.id:
            await reply.answer(421, b"")
            return
        request_id = reply.request_id.decode()
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        server.held += 1
        try:
            await self._run(server, reply)
        finally:
            server.held -= 1
            self.ended_at[request_id] = time.monotonic()

    async def _run(self, server: RunServer, reply: Reply) -> None:
        if server.service == PLAIN:
            await asyncio.sleep(self.generator.uniform(*PLAIN_WORK_S))
            await server.running.wait()
            await reply.answer(body=reply.request_id)
            return
        load = b"%b: %d,0,8\r\n" % (HEADER_NAMES.load, server.held)
        head = reply.head(200, b"Content-Type: text/event-stream\r\n" + load)
        await server.running.wait()
        await reply.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
        last = int(reply.request.headers.get(HEADER_NAMES.last_event_id, b"0"))
        is_long = reply.request.line.split(b" ")[1] == LONG_TARGET
        for number in range(last + 1, EVENTS + 1):
            gap_s = self.generator.uniform(*EVENT_GAP_S)
            await asyncio.sleep(LONG_WORK_S / EVENTS if is_long else gap_s)
            await server.running.wait()
            await reply.send_chunk(b"id: %d\ndata: %b\n\n" % (number, reply.request_id))
        await reply.send_chunk(b"")
