"""A soak of streams before servers of several builds: real processes.

Callers break streams off and take them up at another VM, while VMs are killed, stopped
for a while and all lose power, servers are killed, start again under their id with
another build, and a build is rolled out server by server; the store refuses. Some
answers have neither length nor chunks and end with their connection, whole or broken
off. Promises, the first two as the users' rules word them: no more than two streams
hold events of two builds; of 12 or more streams taken up at calm VMs while two servers
of their build serve, the share that goes on is at least half of that of new ones that
begin; no event is lost or repeated; no answer is framed as complete that is not.

    python -m features.build_soak --seconds 12 --seeds 1-50
    python -m features.build_soak --harms kill_vm --seeds 1-5
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

from features.gateway_support import RawAnswer, RawCaller
from features.platform_support import build_config
from features.soak_runs import build_parser, run_seeds
from features.soak_vms import DOMAINS, SeriesSoak
from ramppin_platform.vocabulary import HEADER_NAMES
from standins.backend import BackendStandIn, Reply
from standins.common import wait_for

STREAMS_PER_S = 25.0
EVENTS, EVENT_GAP_S = 20, 0.08
SERVERS_A_BUILD = 4
MAX_TRIES = 4
ANSWER_TIMEOUT_S = 6.0

MAX_MIXED = 2
"""Streams that may hold events of two builds, by the users' rule."""

MIN_TAKEUPS, MIN_SHARE = 12, 0.5
"""Take-ups that count, and their share of the new streams' share, by the same."""

CALM_S = 3.0
"""Seconds after a disturbance in which a VM does not count as in touch."""

UNFRAMED_SHARE, BROKEN_SHARE = 0.3, 0.1
"""Share of answers without length or chunks, and of those that are broken off."""

HARMS = (
    "kill_vm",
    "stop_vm",
    "kill_all",
    "kill_server",
    "restart_server",
    "roll_out",
    "refuse_store",
)


@dataclass
class Stream:
    """One stream over all of its caller's tries."""

    body: bytes = b""
    first_id: str = ""
    numbers: list[int] = field(default_factory=list)
    tries: list[str] = field(default_factory=list)
    builds: set[str] = field(default_factory=set)

    @property
    def last(self) -> int:
        """Number of the last event that arrived, or 0."""
        return self.numbers[-1] if self.numbers else 0


class BuildServer(BackendStandIn):
    """A server whose events name the build of the process that writes them."""

    def __init__(self, server_id: str, build: str, generator: random.Random) -> None:
        super().__init__(names=HEADER_NAMES)
        self.server_id, self.build = server_id, build
        self.is_leaving = False
        self.born_ms = 0
        self._random = generator
        self.script = self._stream

    async def _stream(self, reply: Reply) -> None:
        if reply.request.line.startswith(b"GET /report"):
            await reply.answer(body=b'{"phase":"unified","born":%d}' % self.born_ms)
            return
        draw = self._random.random()
        breaks = self._random.random() < BROKEN_SHARE
        build, after = (
            self.build,
            int(reply.request.headers.get(b"last-event-id", b"0")),
        )
        if draw < UNFRAMED_SHARE:
            head = reply.head(200, b"Content-Type: text/event-stream\r\n")
            await reply.send(head + b"\r\n")
            send = reply.send
        else:
            await reply.start_events()
            send = reply.send_chunk
        for number in range(after + 1, EVENTS + 1):
            writer = f"{build}@{self.server_id}".encode()
            event = b"id: %d\ndata: %b\n\n" % (number, writer)
            if breaks and number == after + 5:
                await send(event[:-1])
                break
            await send(event)
            await asyncio.sleep(EVENT_GAP_S)
        if draw >= UNFRAMED_SHARE and not breaks:
            await reply.send_chunk(b"")
        if draw < UNFRAMED_SHARE or breaks:
            reply.writer.close()


@dataclass
class BuildSoak(SeriesSoak):
    """One run with one seed."""

    streams: list[Stream] = field(default_factory=list)
    statuses: Counter = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)
    begun: list[bool] = field(default_factory=list)
    taken_up: list[bool] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.servers: dict[str, BuildServer] = {}
        self._ids = 0
        self._builds = 2

    def _list_callers(self):
        return [(STREAMS_PER_S, self._play_stream)]

    async def _start(self) -> None:
        await self.fixture.store.start()
        config = build_config()
        config["services"][1] |= {"max_connections": 400}
        value = json.dumps(config).encode()
        self.fixture.store.put("keyed.op", "config", value)
        await self._add_first_servers()
        first, *rest = self.hosts
        await self._begin(first)
        await asyncio.gather(*map(self._begin, rest))
        await wait_for(self._know_each_other, "VMs know each other")

    async def _add_first_servers(self) -> None:
        for number in range(2 * SERVERS_A_BUILD):
            await self._add_server("v1" if number % 2 else "v2")

    async def _stop(self) -> None:
        await self.callers.cancel()
        await self.fixture.stop()

    def _may_harm(self, name: str) -> bool:
        return name != "kill_all" or not self.power_losses

    # servers

    async def _add_server(self, build: str) -> None:
        self._ids += 1
        server = BuildServer(f"e-{self._ids}", build, self.random)
        await server.start()
        self.servers[server.server_id] = self.fixture.backends[server.server_id] = (
            server
        )
        self._announce(server)

    def _announce(self, server: BuildServer, state: str = "ready") -> None:
        """Write a server's entry; one that is ready has just started."""
        if state == "ready":
            server.born_ms = round(time.time() * 1000)
        self.fixture.announce(
            server.server_id,
            "llm",
            state,
            zone=DOMAINS[int(server.server_id.partition("-")[2]) % len(DOMAINS)],
            born=server.born_ms,
            version=server.build,
        )

    def _draw_server(self) -> BuildServer:
        serving = [s for s in self.servers.values() if not s.is_leaving]
        return self.fault_random.choice(serving)

    async def _kill_server(self) -> None:
        """End a server; another one of its build comes a while later."""
        server = self._draw_server()
        server.is_leaving = True
        await server.stop()
        await asyncio.sleep(self.fault_random.uniform(0.5, 1.5))
        self.fixture.store.put("keyed.servers", server.server_id, None)
        await self._add_server(server.build)

    async def _restart_server(self) -> None:
        """Let a server start again under its id and address with another build."""
        server = self._draw_server()
        server.is_leaving = True
        await server.stop()
        await asyncio.sleep(self.fault_random.uniform(0.2, 1.0))
        builds = sorted({s.build for s in self.servers.values()} - {server.build})
        server.build = self.fault_random.choice(builds or [server.build])
        server.born_ms = round(time.time() * 1000)
        await server.start(server.port)
        self._announce(server)
        at = time.monotonic() - self.started_at
        self.faults.append(f"{server.server_id}={server.build}@{at:.2f}")
        server.is_leaving = False

    async def _roll_out(self) -> None:
        """Add servers of a new build while those of the oldest one leave."""
        oldest = min(s.build for s in self.servers.values() if not s.is_leaving)
        self._builds += 1
        build = f"v{self._builds}"
        for server in [s for s in self.servers.values() if s.build == oldest]:
            if server.is_leaving:
                continue
            await self._add_server(build)
            server.is_leaving = True
            self._announce(server, "draining")
            await asyncio.sleep(0.4)

    # callers

    async def _play_stream(self) -> None:
        """Begin a stream; half of the callers break it off, and all take it up."""
        stream = Stream(b"prompt %d" % len(self.streams))
        self.streams.append(stream)
        leaves_after = (
            self.random.randrange(2, EVENTS) if self.random.random() < 0.5 else 0
        )
        for turn in range(MAX_TRIES):
            vm = self.random.choice(list(self.hosts))
            began = time.monotonic()
            answer = await self._try_once(stream, vm, leaves_after if not turn else 0)
            self._note_try(stream, vm, began, answer, is_new=not stream.first_id)
            if stream.last == EVENTS:
                return
            await asyncio.sleep(0.05)

    async def _try_once(self, stream: Stream, vm: str, leaves_after: int) -> RawAnswer:
        self._ids += 1
        request_id = f"r{self._ids}"
        lines = [
            "POST /s/x HTTP/1.1",
            "Host: h.example",
            "Api-Key: k1",
            f"Attempt-Id: {request_id}",
            f"Prefix-Hash: {self.random.randrange(1, 6):x}:100,{self._ids + 99:x}:50",
            "Deadline-Ms: 5000",
            f"Content-Length: {len(stream.body)}",
        ]
        if stream.first_id:
            lines += [f"Last-Event-Id: {stream.last}", f"Resumes: {stream.first_id}"]
        answer = RawAnswer()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                head = "\r\n".join(lines).encode() + b"\r\n\r\n"
                await self._read(vm, head + stream.body, answer, leaves_after)
        except (OSError, TimeoutError):
            answer.was_reset = True
        if not stream.first_id and b"\n\n" in answer.body:
            stream.first_id = request_id
        return answer

    async def _read(
        self, vm: str, request: bytes, answer: RawAnswer, leaves_after: int
    ) -> None:
        port = self.fixture.ports[vm]
        found = await asyncio.open_connection(self.hosts[vm], port)
        caller = RawCaller(0, *found)
        try:
            await caller.send(request)
            while not (b"\r\n\r\n" in answer.data and answer.whole):
                if leaves_after and answer.data.count(b"id: ") >= leaves_after:
                    return
                data = await caller.reader.read(65536)
                if not data:
                    answer.closed = True
                    return
                answer.data += data
        finally:
            caller.close()

    def _note_try(
        self, stream: Stream, vm: str, began: float, answer: RawAnswer, *, is_new: bool
    ) -> None:
        self.statuses[answer.status] += 1
        before = stream.last
        has_begun = bool(stream.numbers)
        body = answer.body if answer.status == 200 else b""
        writers: list[str] = []
        for event in body.split(b"\n\n")[:-1]:
            number, writer = event.removeprefix(b"id: ").split(b"\ndata: ")
            stream.numbers.append(int(number))
            stream.builds.add(writer.decode().partition("@")[0])
            if writer.decode() not in writers:
                writers.append(writer.decode())
        at = began - self.started_at
        stream.tries.append(f"{at:.2f} {vm} {answer.status} {' '.join(writers)}")
        if stream.numbers != list(range(1, len(stream.numbers) + 1)):
            self.broken.append(f"events {stream.numbers} of {stream.first_id}")
        if answer.status == 200 and answer.whole and stream.last != EVENTS:
            self.broken.append(f"{stream.first_id} framed as complete at {stream.last}")
        if not self.was_calm(vm, began + ANSWER_TIMEOUT_S, CALM_S + ANSWER_TIMEOUT_S):
            return
        if not has_begun:
            self.begun.append(bool(stream.numbers))
        elif self._count_servers(stream) >= 2:
            self.taken_up.append(stream.last > before or before == EVENTS)

    def _count_servers(self, stream: Stream) -> int:
        serving = [s for s in self.servers.values() if not s.is_leaving]
        return sum(server.build in stream.builds for server in serving)

    def _check(self) -> list[str]:
        mixed = [s for s in self.streams if len(s.builds) > 1]
        broken = list(self.broken)
        if len(mixed) > MAX_MIXED:
            broken.append(f"{len(mixed)} streams hold events of two builds")
            broken += [f"{s.first_id}: {'; '.join(s.tries)}" for s in mixed]
        if len(self.taken_up) >= MIN_TAKEUPS:
            new = sum(self.begun) / max(1, len(self.begun))
            share = sum(self.taken_up) / len(self.taken_up)
            if share < MIN_SHARE * new:
                broken.append(f"{share:.2f} of those taken up go on, {new:.2f} begin")
        return broken

    def show(self) -> str:
        """Return what was done and what callers got."""
        mixed = sum(len(stream.builds) > 1 for stream in self.streams)
        whole = sum(stream.last == EVENTS for stream in self.streams)
        return (
            f"{len(self.streams)} streams, {whole} whole, {mixed} of two builds; "
            f"{sum(self.begun)} of {len(self.begun)} begun, "
            f"{sum(self.taken_up)} of {len(self.taken_up)} taken up went on; "
            f"answers {dict(self.statuses)}; {' '.join(self.faults)}"
        )


def draw_soak(seed: int, seconds: float, vms: int) -> BuildSoak:
    """Return a run whose harms the seed draws."""
    generator = random.Random(f"form-{seed}")
    harms = generator.sample(HARMS, generator.randint(3, len(HARMS)))
    return BuildSoak(seed, seconds, vms, tuple(sorted(harms)))


def run_seed(seed: int, options: argparse.Namespace) -> list[str]:
    """Run one seed and print what it did."""
    if options.harms:
        harms = tuple(options.harms.split(","))
        soak = BuildSoak(seed, options.seconds, options.vms, harms)
    else:
        soak = draw_soak(seed, options.seconds, options.vms)
    return soak.run_and_show()


def main() -> int:
    """Run seeds and return the exit code."""
    parser = build_parser(__doc__, seconds=12.0, vms=6)
    parser.add_argument("--harms", default="", help="kinds of harm, by commas")
    return run_seeds(parser.parse_args(), run_seed)


if __name__ == "__main__":
    sys.exit(main())
