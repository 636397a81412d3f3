"""Backend servers with slots and a queue by arrival order, and lossy datagrams."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from functools import partial

from features.load_servers import LoadServer, LoadServers
from ramppin_platform.vocabulary import HEADER_NAMES
from standins.backend import Reply

SLOTS, QUEUE = 8, 24

FIRST_EVENT_S = 0.15
EVENTS, EVENT_GAP_S = 5, 0.22
WORK_S = FIRST_EVENT_S + EVENTS * EVENT_GAP_S
"""Mean seconds for which a request occupies a slot."""


class OverloadServer(LoadServer):
    """A backend server that runs some requests at a time and queues some more.

    Attributes:
        slowness: factor by which its work takes longer than usual.
        reports: figures of its load report: 0, 3 or 4.
        capacity: requests that it runs at a time.
    """

    def __init__(
        self, server_id: str, service: str, reports: int, capacity: int = SLOTS
    ) -> None:
        super().__init__(server_id, service)
        self.slowness, self.reports, self.capacity = 1.0, reports, capacity
        self.busy, self.slots = 0, asyncio.Semaphore(capacity)

    def encode_report(self) -> bytes:
        """Return the header line with its load; empty if it reports none."""
        figures = (
            self.busy,
            self.held - self.busy,
            self.capacity,
            int(self.slowness * 100),
        )
        chosen = b",".join(b"%d" % figure for figure in figures[: self.reports])
        return b"%b: %b\r\n" % (HEADER_NAMES.load, chosen) if chosen else b""


class OverloadServers(LoadServers):
    """All backend servers of a run.

    Attributes:
        reached: when a request reached a server, and which, by request id.
        runs: servers at which a request began to run, by request id.
    """

    def __init__(self, generator, reports: int, capacity: int = SLOTS) -> None:
        super().__init__(generator)
        self.reports, self.capacity = reports, capacity
        self.reached: dict[str, tuple[float, str]] = {}
        self.runs: dict[str, list[str]] = {}

    async def add(self, server_id: str, service: str) -> OverloadServer:
        """Start a server."""
        server = OverloadServer(server_id, service, self.reports, self.capacity)
        await server.start()
        server.script = partial(self._serve, server)
        self._servers.append(server)
        return server

    async def _serve(self, server: OverloadServer, reply: Reply) -> None:
        self._note_arrival(server)
        request_id = reply.request_id.decode()
        self.reached.setdefault(request_id, (time.monotonic(), server.id))
        if server.held >= server.capacity + QUEUE:
            not_run = b"%b: 1\r\n" % HEADER_NAMES.not_run
            await reply.answer(503, b"", headers=not_run + server.encode_report())
            return
        server.held += 1
        try:
            async with server.slots:
                await server.running.wait()
                self.runs.setdefault(request_id, []).append(server.id)
                server.busy += 1
                try:
                    await self._stream(server, reply)
                finally:
                    server.busy -= 1
        finally:
            server.held -= 1

    async def _stream(self, server: OverloadServer, reply: Reply) -> None:
        await asyncio.sleep(FIRST_EVENT_S * server.slowness)
        await server.running.wait()
        kind = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        await reply.send(reply.head(200, kind + server.encode_report()) + b"\r\n")
        for number in range(EVENTS):
            await reply.send_chunk(b"id: %d\ndata: x\n\n" % number)
            gap_s = EVENT_GAP_S * server.slowness * self._random.uniform(0.5, 1.5)
            await asyncio.sleep(gap_s)
            await server.running.wait()
        await reply.send_chunk(b"")

    def compute_throughput(self) -> float:
        """Return the requests per second that the servers can run."""
        return sum(s.capacity / (WORK_S * s.slowness) for s in self._servers)


@dataclass
class DatagramRelay:
    """Passes the datagrams of VMs on, or loses those between two halves of them.

    A VM sends its datagrams to its own peer port at the addresses of the others. Here
    each VM has a peer port of its own, so those of one VM to another reach a socket of
    the relay, which sends them on from the sender's address to the receiver's port.

    Attributes:
        hosts: addresses of the VMs by name.
        half: VMs cut off from the others; empty to pass everything on.
        ports: the peer port of each VM.
    """

    hosts: dict[str, str]
    half: frozenset[str] = frozenset()
    ports: dict[str, int] = field(default_factory=dict)
    _links: dict = field(default_factory=dict)

    async def start(self) -> None:
        """Bind a socket for each pair of sender and receiver."""
        loop = asyncio.get_running_loop()
        pairs = [(s, r) for s in self.hosts for r in self.hosts if s != r]
        for sender, receiver in pairs:
            address = self.hosts[receiver], self.ports.get(sender, 0)
            transport, _ = await loop.create_datagram_endpoint(
                partial(_Link, self, sender, receiver), local_addr=address
            )
            self.ports[sender] = transport.get_extra_info("sockname")[1]
            self._links[sender, receiver] = transport

    def stop(self) -> None:
        """Close the sockets."""
        for link in self._links.values():
            link.close()

    def pass_on(self, data: bytes, sender: str, receiver: str) -> None:
        """Send a datagram on, unless its VMs are in different halves."""
        if (sender in self.half) == (receiver in self.half):
            address = self.hosts[receiver], self.ports[receiver]
            self._links[receiver, sender].sendto(data, address)


@dataclass
class _Link(asyncio.DatagramProtocol):
    relay: DatagramRelay
    sender: str
    receiver: str

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.relay.pass_on(data, self.sender, self.receiver)
