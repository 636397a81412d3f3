"""Backend servers that count what they hold, and every request that reaches them."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Iterator

from features.load_arrivals import Arrival
from ramppin_platform.vocabulary import HEADER_NAMES
from standins.backend import BackendStandIn, Reply

PLAIN = "plain"
"""The service whose servers report no load; those of others stream events."""

PLAIN_WORK_S = 0.0225
EVENTS_PER_ANSWER = 6
EVENT_GAP_S = 0.05


class LoadServer(BackendStandIn):
    """A backend server that counts what it holds.

    Attributes:
        id: under which it announces itself.
        service: its service.
        held: requests that it has and has not answered.
        running: cleared while it answers nothing.
    """

    def __init__(self, server_id: str, service: str) -> None:
        super().__init__(names=HEADER_NAMES)
        self.id = server_id
        self.service = service
        self.held = 0
        self.running = asyncio.Event()
        self.running.set()


class LoadServers:
    """All backend servers of a run.

    Args:
        generator: draws how long they work.

    Attributes:
        arrivals: requests that reached the servers, by service.
    """

    def __init__(self, generator: random.Random) -> None:
        self.arrivals: dict[str, list[Arrival]] = {}
        self._random = generator
        self._servers: list[LoadServer] = []

    def __iter__(self) -> Iterator[LoadServer]:
        return iter(self._servers)

    async def add(self, server_id: str, service: str) -> LoadServer:
        """Start a server."""
        server = LoadServer(server_id, service)
        await server.start()
        server.script = self._build_script(server)
        self._servers.append(server)
        return server

    def _build_script(self, server: LoadServer):
        work = self._answer if server.service == PLAIN else self._stream

        async def serve(reply: Reply) -> None:
            self._note_arrival(server)
            server.held += 1
            try:
                await server.running.wait()
                await work(server, reply)
            finally:
                server.held -= 1

        return serve

    def _note_arrival(self, server: LoadServer) -> None:
        peers = [peer for peer in self._servers if peer.service == server.service]
        mean = sum(peer.held for peer in peers) / len(peers)
        arrival = Arrival(time.monotonic(), server.id, server.held, mean)
        self.arrivals.setdefault(server.service, []).append(arrival)

    async def _answer(self, server: LoadServer, reply: Reply) -> None:
        await asyncio.sleep(self._random.expovariate(1 / PLAIN_WORK_S))
        await server.running.wait()
        await reply.answer(body=reply.request_id)

    async def _stream(self, server: LoadServer, reply: Reply) -> None:
        load = b"Engine-Load: %d,0,12\r\n" % server.held
        head = reply.head(200, b"Content-Type: text/event-stream\r\n" + load)
        await reply.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(1, EVENTS_PER_ANSWER + 1):
            await asyncio.sleep(self._random.expovariate(1 / EVENT_GAP_S))
            await server.running.wait()
            await reply.send_chunk(b"id: %d\ndata: x\n\n" % number)
        await reply.send_chunk(b"")
