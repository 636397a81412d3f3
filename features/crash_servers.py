"""Backend servers that end under marked requests, and count what reached them."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections import Counter
from dataclasses import dataclass, field

from ramppin_platform.vocabulary import HEADER_NAMES
from standins.backend import RESET_ON_CLOSE, BackendStandIn, Received, Reply

PLAIN = "plain"
"""The service whose servers answer at once; those of others stream events."""

PLAIN_WORK_S = 0.02
EVENTS_PER_ANSWER = 6
EVENT_GAP_S = 0.05

BIND_TRIES, BIND_PAUSE_S = 100, 0.05

CRASH_MARK = b"crash-"
"""Begins the body of a request that ends its server; all of the body names it."""


@dataclass(frozen=True, slots=True)
class CrashArrival:
    """A harmful request that reached a server.

    Attributes:
        at: when, in seconds of the harness's clock.
        request_id: as the server got it.
    """

    at: float
    request_id: str


@dataclass
class CrashRecord:
    """What servers saw of one harmful request."""

    arrivals: list[CrashArrival] = field(default_factory=list)
    ends: list[float] = field(default_factory=list)


class CrashServer(BackendStandIn):
    """A backend server whose process can end, and start again at its address."""

    def __init__(self, service: str) -> None:
        super().__init__(names=HEADER_NAMES)
        self.service = service
        self.writers: set[asyncio.StreamWriter] = set()
        self.running = False
        self.started_at = 0.0

    async def begin(self) -> None:
        """Start, at the address that it had before if there was one."""
        for _ in range(BIND_TRIES):
            try:
                await self.start(self.port)
                break
            except OSError:
                # A connection of another process has the port for the moment.
                await asyncio.sleep(BIND_PAUSE_S)
        self.running, self.started_at = True, time.time()

    async def serve(self, reader, writer) -> None:
        """Serve one connection, which the process's end closes."""
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def end(self, *, resets: bool) -> None:
        """End the process: every connection closes, and none is taken any more.

        Args:
            resets: whether connections are reset, or closed.
        """
        self.running = False
        for writer in self.writers:
            if resets:
                raw = writer.get_extra_info("socket")
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        await self.stop()


@dataclass
class CrashServers:
    """What all servers of a run do, and what they saw.

    Attributes:
        generator: draws how long they work.
        crash_after_s: seconds from a harmful request's arrival to its server's end.
        crash_share: share of its runs in which a harmful request ends its server.
        events_first: events of a stream that arrive before its server ends.
        records: of the harmful requests, by name.
        served: harmless requests that were answered, by their body.
        ended: servers to be started again.
    """

    generator: random.Random
    crash_after_s: float = 0.05
    crash_share: float = 1.0
    events_first: int = 0
    records: dict[str, CrashRecord] = field(default_factory=dict)
    served: Counter = field(default_factory=Counter)
    ended: asyncio.Queue = field(default_factory=asyncio.Queue)

    async def add(self, service: str) -> CrashServer:
        """Start a server."""
        server = CrashServer(service)
        server.script = lambda reply: self._work(server, reply)
        await server.begin()
        return server

    def find_cause(self, request: Received) -> str | None:
        """Return the name of what ends the server of a request, or None."""
        body = request.body
        return body.decode() if body.startswith(CRASH_MARK) else None

    async def _work(self, server: CrashServer, reply: Reply) -> None:
        body = reply.request.body
        cause = self.find_cause(reply.request)
        if cause is not None:
            await self._crash(server, reply, cause)
            return
        if server.service == PLAIN:
            await asyncio.sleep(self.generator.expovariate(1 / PLAIN_WORK_S))
            await reply.answer(body=reply.request_id)
        else:
            await self._stream(reply)
        self.served[body] += 1

    async def _crash(self, server: CrashServer, reply: Reply, name: str) -> None:
        """End the server some time after a harmful request began."""
        record = self.records.setdefault(name, CrashRecord())
        arrival = CrashArrival(time.monotonic(), reply.request_id.decode())
        record.arrivals.append(arrival)
        if self.generator.random() >= self.crash_share:
            await self._stream(reply)
            return
        asyncio.get_running_loop().call_later(
            self.crash_after_s, self._end, server, record
        )
        if server.service != PLAIN:
            await reply.start_events()
        for number in range(1, self.events_first + 1):
            await reply.send_chunk(b"id: %d\ndata: x\n\n" % number)
        await asyncio.sleep(60.0)

    def _end(self, server: CrashServer, record: CrashRecord) -> None:
        if not server.running:
            return
        server.running = False
        record.ends.append(time.monotonic())
        self.ended.put_nowait(server)

    async def _stream(self, reply: Reply) -> None:
        head = reply.head(200, b"Content-Type: text/event-stream\r\n")
        await reply.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(1, EVENTS_PER_ANSWER + 1):
            await asyncio.sleep(self.generator.expovariate(1 / EVENT_GAP_S))
            await reply.send_chunk(b"id: %d\ndata: x\n\n" % number)
        await reply.send_chunk(b"")


@dataclass
class PartServers(CrashServers):
    """Servers that end under each prompt with a bad part.

    Attributes:
        bad_parts: ids of the bad parts; each is the name of its record.
    """

    bad_parts: frozenset[str] = frozenset()

    def find_cause(self, request: Received) -> str | None:
        """Return the id of the first bad part of a prompt, or None."""
        parts = request.headers.get(HEADER_NAMES.prompt_parts, b"").decode()
        ids = [part.partition(":")[0] for part in parts.split(",")]
        return next((part for part in ids if part in self.bad_parts), None)
