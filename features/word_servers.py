"""Backend servers that say in their answers that they leave, or want rest.

Each start of a server keeps what reached it and what it said, so that a soak can tell
which requests a VM should not have sent.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from ramppin_platform.vocabulary import HEADER_NAMES
from standins.backend import BackendStandIn, Reply

PLAIN = "plain"
"""The service whose servers answer whole; those of others stream events."""

START_HEADER = b"x-start"
"""Of answers: which start of which server gave it."""

SENT_HEADER = b"x-sent-at"
"""Of requests: the harness's clock when the caller sent it."""

ALL_VMS: frozenset[str] = frozenset()
"""Stands for all VMs where VMs are named to which a server turns requests away."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a server."""

    at: float
    vm: str
    sent_at: float


@dataclass(frozen=True, slots=True)
class AskedRest:
    """A rest that a server asked a VM for.

    Attributes:
        vm: the VM.
        asked_at: when it answered so.
        until: when the rest ends.
    """

    vm: str
    asked_at: float
    until: float


@dataclass(slots=True)
class Shedding:
    """A time for which a server turns requests away.

    Attributes:
        begin: its begin.
        end: its end.
        vms: whose requests; :data:`ALL_VMS` for those of all.
        marked: whether its answers say that the request did not run.
    """

    begin: float
    end: float
    vms: frozenset[str] = ALL_VMS
    marked: bool = True

    def concerns(self, vm: str, at: float) -> bool:
        """Return whether it turns a VM away at a moment."""
        return self.begin <= at < self.end and (not self.vms or vm in self.vms)


@dataclass
class WordServer(BackendStandIn):
    """One start of a backend server.

    Attributes:
        id: under which it announces itself.
        service: its service.
        domain: where it stands.
        born_ms: Unix time of its start; None if it does not say.
        started_at: the harness's clock at its start.
        leaving_since: when it began to say that it leaves, or None.
        first_said_at: when an answer first said so, or None.
        ended_at: when it was stopped, or None.
        entry_gone_at: moments at which its entry vanished or came back.
        sheddings: times for which it turns requests away.
        arrivals: what reached it, misdirected requests left out.
        rests: which it asked for.
    """

    id: str = ""
    service: str = PLAIN
    domain: str = ""
    born_ms: int | None = None
    started_at: float = 0.0
    leaving_since: float | None = None
    first_said_at: float | None = None
    ended_at: float | None = None
    entry_gone_at: list[float] = field(default_factory=list)
    sheddings: list[Shedding] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    rests: list[AskedRest] = field(default_factory=list)

    @property
    def start_name(self) -> str:
        """Names this start of the server."""
        return f"{self.id}@{self.born_ms or 0}"

    def find_shedding(self, vm: str, at: float) -> Shedding | None:
        """Return the longest time for which it turns a VM away at a moment."""
        found = [s for s in self.sheddings if s.concerns(vm, at)]
        return max(found, key=lambda shedding: shedding.end, default=None)

    def was_open(self, vm: str, begin: float, end: float, known_s: float) -> bool:
        """Return whether it took a VM's requests during a span, and was known to.

        Args:
            vm: the VM.
            begin: of the span.
            end: of the span.
            known_s: seconds after which all VMs know its entry.
        """
        if self.ended_at is not None or self.leaving_since is not None:
            return False
        changed = [self.started_at, *self.entry_gone_at]
        if any(moment + known_s > begin for moment in changed):
            return False
        return not any(
            (not s.vms or vm in s.vms) and s.begin < end and s.end > begin - known_s
            for s in self.sheddings
        )


class WordServers:
    """All backend servers of a run, those that have ended too.

    Args:
        generator: draws how long they work.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._servers: list[WordServer] = []

    def __iter__(self) -> Iterator[WordServer]:
        return iter(self._servers)

    def list_running(self, service: str) -> list[WordServer]:
        """Return the servers of a service that run and do not leave."""
        return [
            server
            for server in self._servers
            if server.service == service
            and server.ended_at is None
            and server.leaving_since is None
        ]

    async def add(
        self, server_id: str, service: str, domain: str, born_ms: int | None
    ) -> WordServer:
        """Start a server."""
        server = WordServer(
            names=HEADER_NAMES,
            id=server_id,
            service=service,
            domain=domain,
            born_ms=born_ms,
            started_at=time.monotonic(),
        )
        await server.start()

        async def serve(reply: Reply) -> None:
            await self._serve(server, reply)

        server.script = serve
        self._servers.append(server)
        return server

    async def _serve(self, server: WordServer, reply: Reply) -> None:
        headers = reply.request.headers
        if headers.get(HEADER_NAMES.server, b"").decode() != server.id:
            await reply.answer(421, b"")
            return
        now = time.monotonic()
        vm = reply.request_id.decode().partition("_")[0]
        server.arrivals.append(Arrival(now, vm, float(headers[SENT_HEADER])))
        word = b"%b: %b\r\n" % (START_HEADER, server.start_name.encode())
        if server.leaving_since is not None:
            server.first_said_at = server.first_said_at or now
            word += b"%b: 1\r\n" % HEADER_NAMES.leaving
        shedding = server.find_shedding(vm, now)
        if shedding is not None:
            await self._turn_away(server, reply, vm, shedding, word)
            return
        if server.service == PLAIN:
            await asyncio.sleep(self._random.uniform(0.005, 0.03))
            await reply.answer(headers=word)
            return
        head = reply.head(200, b"Content-Type: text/event-stream\r\n" + word)
        await reply.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(1, 4):
            await asyncio.sleep(self._random.uniform(0.005, 0.04))
            await reply.send_chunk(b"id: %d\ndata: x\n\n" % number)
        await reply.send_chunk(b"")

    async def _turn_away(
        self, server: WordServer, reply: Reply, vm: str, shedding: Shedding, word: bytes
    ) -> None:
        """Answer 503 and ask for what is left of the time."""
        now = time.monotonic()
        # Rounded down: what is asked for never lasts beyond its own end.
        rest_s = int((shedding.end - now) * 1000) / 1000
        word += b"Retry-After: %.3f\r\n" % rest_s
        if shedding.marked:
            word += b"%b: 1\r\n" % HEADER_NAMES.not_run
        server.rests.append(AskedRest(vm, now, now + rest_s))
        await reply.answer(503, b"shed", headers=word)
