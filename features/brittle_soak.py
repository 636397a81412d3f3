"""Brittle servers under overload: a trial of how often they fall over.

Six servers say in all their answers from 3 s on that they are brittle, and let fewer
requests wait from 6 s on. One that turns more requests away within a second than it
said falls over: its connections are reset, and it is back after 3 s. Promises: they
fall over no more often than 2 + a tenth of their number; 0.85 of what they bear is
served meanwhile; nothing runs twice, and what was refused never ran.

    python -m features.brittle_soak --seeds 1-3
    python -m features.brittle_soak --reports 0 --contracts pressure --seeds 1-3
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import sys
import time
from collections import deque
from dataclasses import dataclass, field
from functools import partial

from features.overload_servers import QUEUE, SLOTS, OverloadServer, OverloadServers
from features.overload_soak import (
    PRIORITIES,
    SERVICE,
    OverloadSoak,
    build_overload_config,
    sum_up,
)
from features.soak_runs import build_parser, run_seeds
from features.soak_vms import DOMAINS
from ramppin_platform.vocabulary import HEADER_NAMES
from standins.backend import Reply
from standins.common import wait_for

SERVERS = 6
BRITTLE_HEADER = b"Server-Brittle"
SAID_AT_S, SHRUNK_AT_S = 3.0, 6.0
TOLERANCE = 4
SHORT_QUEUE = 4
FALL_S = 3.0
PORT_RETRY_S = 0.05

MAX_FALLS = 2 + SERVERS / 10
MIN_SERVED_SHARE = 0.85
KILL_AT_S = 7.0


@dataclass
class Brittleness:
    """How brittle all servers of a run are.

    Attributes:
        said_from: when their answers begin to say so.
        shrunk_from: when they let fewer wait.
        falls: when servers fell over, by the harness's clock.
        rejected: requests that servers turned away since they let fewer wait.
    """

    said_from: float = math.inf
    shrunk_from: float = math.inf
    falls: list[float] = field(default_factory=list)
    rejected: int = 0


class BrittleServer(OverloadServer):
    """A server whose answers also say that it is brittle."""

    def __init__(
        self, server_id: str, service: str, reports: int, brittleness: Brittleness
    ) -> None:
        super().__init__(server_id, service, reports)
        self._brittleness = brittleness

    def encode_report(self) -> bytes:
        """Return the header lines in which it speaks of itself."""
        words = super().encode_report()
        if time.monotonic() >= self._brittleness.said_from:
            words += b"%b: %d\r\n" % (BRITTLE_HEADER, TOLERANCE)
        return words


class BrittleServers(OverloadServers):
    """Servers that fall over if they turn too many requests away."""

    def __init__(self, generator, reports: int, short_queue: int) -> None:
        super().__init__(generator, reports)
        self._short_queue = short_queue
        self.brittleness = Brittleness()
        self._rejected: dict[str, deque[float]] = {}
        self._falling: set[asyncio.Task[None]] = set()

    async def add(self, server_id: str, service: str) -> OverloadServer:
        """Start a server."""
        server = BrittleServer(server_id, service, self.reports, self.brittleness)
        await server.start()
        server.script = partial(self._serve, server)
        self._servers.append(server)
        return server

    async def _serve(self, server: OverloadServer, reply: Reply) -> None:
        now = time.monotonic()
        is_shrunk = now >= self.brittleness.shrunk_from
        room = SLOTS + (self._short_queue if is_shrunk else QUEUE)
        if server.held < room:
            await super()._serve(server, reply)
            return
        self._note_arrival(server)
        headers = b"%b: 1\r\n" % HEADER_NAMES.not_run
        await reply.answer(503, b"", headers=headers + server.encode_report())
        self._note_rejected(server, now)

    def _note_rejected(self, server: OverloadServer, now: float) -> None:
        if now < self.brittleness.shrunk_from:
            return
        self.brittleness.rejected += 1
        rejected = self._rejected.setdefault(server.id, deque())
        rejected.append(now)
        while rejected[0] < now - 1.0:
            rejected.popleft()
        if len(rejected) <= TOLERANCE:
            return
        rejected.clear()
        self.brittleness.falls.append(now)
        task = asyncio.ensure_future(self._fall(server))
        self._falling.add(task)
        task.add_done_callback(self._falling.discard)

    async def _fall(self, server: OverloadServer) -> None:
        await server.stop()
        await asyncio.sleep(FALL_S)
        while not await self._start_again(server):
            await asyncio.sleep(PORT_RETRY_S)

    async def _start_again(self, server: OverloadServer) -> bool:
        """Start a server at its port; return whether the port was free."""
        try:
            await server.start(server.port)
        except OSError:
            return False
        return True


@dataclass
class BrittleSoak(OverloadSoak):
    """One run with one seed.

    Attributes:
        killed_vms: VMs that are killed for good after 7 s.
        short_queue: requests that a server lets wait from 6 s on.
    """

    load: float = 1.5
    contracts: str = ""
    killed_vms: int = 0
    short_queue: int = SHORT_QUEUE

    def __post_init__(self) -> None:
        super().__post_init__()
        self.servers = BrittleServers(self.random, self.reports, self.short_queue)

    async def _start(self) -> None:
        await self.fixture.store.start()
        value = json.dumps(build_overload_config()).encode()
        self.fixture.store.put("keyed.op", "config", value)
        for number in range(SERVERS):
            server = await self.servers.add(f"i-{number}", SERVICE)
            self.fixture.backends[server.id] = server
            domain = DOMAINS[number % len(DOMAINS)]
            self.fixture.announce(server.id, SERVICE, zone=domain)
        self.per_s = self.load * self.servers.compute_throughput()
        first, *others = self.hosts
        await self._begin(first)
        await asyncio.gather(*map(self._begin, others))
        await wait_for(self._know_each_other, "VMs know each other")
        self.callers.launch(self._sample())

    async def _harm_until(self, until: float) -> None:
        brittleness = self.servers.brittleness
        brittleness.said_from = self.started_at + SAID_AT_S
        brittleness.shrunk_from = self.started_at + SHRUNK_AT_S
        if not self.killed_vms:
            return
        await asyncio.sleep(KILL_AT_S)
        for vm in self.fault_random.sample(list(self.hosts), self.killed_vms):
            await self._kill(vm)

    @property
    def served_share(self) -> float:
        """Requests served while the servers were brittle, of what they bear."""
        begin = self.servers.brittleness.shrunk_from
        end = self.started_at + self.seconds
        served = sum(
            call.outcome == "served" and begin <= call.ended_at < end
            for call in self.calls
        )
        return served / ((end - begin) * self.servers.compute_throughput())

    def _check(self) -> list[str]:
        broken, falls = self._find_runs(), len(self.servers.brittleness.falls)
        if falls > MAX_FALLS:
            broken.append(f"{falls} falls, {MAX_FALLS} allowed")
        if self.served_share < MIN_SERVED_SHARE:
            broken.append(f"{self.served_share:.2f} of what servers bear is served")
        return broken

    def show(self) -> str:
        """Return what became of servers and callers."""
        falls = self.servers.brittleness.falls
        at = " ".join(f"{moment - self.started_at:.1f}" for moment in falls)
        begin = self.servers.brittleness.shrunk_from
        calls = [call for call in self.calls if call.sent_at >= begin]
        shares = [
            f"{sum_up(calls, f'priority {number}')['served']:.2f}"
            for number in PRIORITIES
        ]
        return (
            f"{len(falls)} falls ({at}), {self.servers.brittleness.rejected} rejected; "
            f"{self.served_share:.2f} of what servers bear; "
            f"served by priority {' '.join(shares)}; {super().show()}"
        )


def run_seed(seed: int, options: argparse.Namespace) -> list[str]:
    """Run one seed and print what it did."""
    soak = BrittleSoak(
        seed,
        options.seconds,
        options.vms,
        reports=options.reports,
        contracts=options.contracts,
        killed_vms=options.killed,
        load=options.load,
        short_queue=options.queue,
    )
    return soak.run_and_show()


def main() -> int:
    """Run seeds and return the exit code."""
    parser = build_parser(__doc__, seconds=16.0, vms=6)
    parser.add_argument("--reports", type=int, default=4, help="0, 3 or 4 figures")
    parser.add_argument("--contracts", default="", help="pressure, or empty")
    parser.add_argument("--killed", type=int, default=0, help="VMs killed after 7 s")
    parser.add_argument("--queue", type=int, default=SHORT_QUEUE, help="places left")
    parser.add_argument("--load", type=float, default=1.5, help="of what servers bear")
    return run_seeds(parser.parse_args(), run_seed)


if __name__ == "__main__":
    sys.exit(main())
