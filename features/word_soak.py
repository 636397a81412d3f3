"""A soak of what servers say of themselves in their answers: real processes.

Servers say that they leave, in each answer, while their entries tell it late or never;
they turn requests away and ask for rest, all VMs or some, alone or a whole service at
once; entries vanish and come back; servers that left are back under a new id, or under
their own with a later start. Meanwhile the store refuses, says nothing, or turns half
of the VMs away, and VMs are killed, stopped for a while, started late, and all killed.
Promises: no request that its caller sent later than 2 s after a VM passed on an answer
that says so reaches a leaving server from that VM; later than 2 s after any VM was told
so none sends it anything; later than 0.5 s after a server asked a VM for rest, no more
than two requests of that VM reach it until its end; while a server of the service is
open, no caller of a calm VM is refused, unless the fleet's retries are spent, and nine
in ten are served.

    python -m features.word_soak --seconds 12 --seeds 1-50

A seed sets what happens when; when each process gets its turn is the machine's.
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
from functools import partial

from features.gateway_support import RawAnswer
from features.platform_support import StoreStandIn, build_config
from features.soak_runs import build_parser, run_seeds
from features.soak_vms import DOMAINS, SeriesSoak
from features.word_promises import DRAIN_S, WordPromises
from features.word_servers import (
    ALL_VMS,
    PLAIN,
    SENT_HEADER,
    START_HEADER,
    Shedding,
    WordServer,
    WordServers,
)
from ramppin_platform.vocabulary import HEADER_NAMES
from standins.common import wait_for

MODEL = "llm"
ENGINES, PLAIN_SERVERS = 8, 4
PLAIN_PER_S, PROMPTS_PER_S = 40.0, 60.0
SUBJECTS = 30
DEADLINE_MS = 6000

KNOWN_S = 4.0
"""Seconds after which a calm VM knows an entry, while the store answers."""

MIN_OPEN = 2
"""Servers of a service that do not leave at any time."""

SOON_S = 0.3
"""Seconds after a first answer that says so in which nine in ten VMs should know it."""

MIN_SERVED_SHARE = 0.9
"""Of the requests to which a server was open all along; the others of its service may
turn them away first, or end under them."""

HARMS = (
    "leave",
    "leave",
    "leave_unheard",
    "rest_some",
    "rest_some",
    "rest_plain",
    "vanish",
    "refuse_store",
    "silence_store",
    "turn_vms_away",
    "kill_vm",
    "stop_vm",
    "start_vm",
)
"""Kinds of harm, methods of the soak; ``kill_all`` comes beside them in a fifth of the
seeds."""


@dataclass
class WordSoak(SeriesSoak):
    """One run with one seed.

    Attributes:
        statuses: what callers got.
        refused_open: callers refused while a server was open, and when.
        open_asked: requests to calm VMs to which a server was open all along.
        open_served: those of them that were served.
        budget_refused: those refused since the fleet's retries were spent.
        returned: refused callers that came back when they were told to.
        returns_served: those of them that were served then.
    """

    statuses: Counter = field(default_factory=Counter)
    refused_open: list[str] = field(default_factory=list)
    open_asked: int = 0
    open_served: int = 0
    budget_refused: int = 0
    returned: int = 0
    returns_served: int = 0

    def __post_init__(self) -> None:
        super().__post_init__()
        self.servers = WordServers(self.random)
        self.promises = WordPromises(self.servers, self.disturbed_at, KNOWN_S)
        store = self.fixture.store
        self._side_door = StoreStandIn(topics=store.topics, newest=store.newest)
        self._ids = 0
        self._starts = 0
        self._late_vms: list[str] = []
        self._store_harmed_at = float("-inf")

    def _list_callers(self):
        return [
            (PLAIN_PER_S, partial(self._ask, "/a/x")),
            (PROMPTS_PER_S, partial(self._ask, "/s/x")),
        ]

    def _may_harm(self, name: str) -> bool:
        return name != "kill_all" or not self.power_losses

    async def _start(self) -> None:
        await self.fixture.store.start()
        await self._side_door.start()
        config = build_config()
        config["services"][0] |= {"max_connections": 400}
        value = json.dumps(config).encode()
        self.fixture.store.put("keyed.op", "config", value)
        for number in range(ENGINES + PLAIN_SERVERS):
            await self._add_server(MODEL if number < ENGINES else PLAIN)
        names = list(self.hosts)
        if "start_vm" in self.harms:
            self._late_vms = names[-1:]
        first, *rest = [vm for vm in names if vm not in self._late_vms]
        await self._begin(first)
        await asyncio.gather(*map(self._begin, rest))
        await wait_for(self._know_each_other, "VMs know each other")

    async def _stop(self) -> None:
        await self.callers.cancel()
        await self.fixture.stop()
        await self._side_door.stop()

    async def _begin(self, vm: str) -> None:
        number = int(vm.partition("-")[2])
        domain = DOMAINS[number % len(DOMAINS)]
        door = self._side_door if number % 2 else None
        await self.fixture.start_gateway(vm, self.hosts[vm], domain, store=door)
        self.running[vm] = self.hosts[vm]
        self.disturbed_at[vm].append(time.monotonic())

    # backend servers

    async def _add_server(
        self, service: str, same_as: WordServer | None = None
    ) -> None:
        """Start a server: a new one, or one that is back under its id."""
        self._starts += 1
        domain = same_as.domain if same_as else DOMAINS[self._starts % len(DOMAINS)]
        server_id = same_as.id if same_as else f"i-{self._starts}"
        born_ms = int(time.time() * 1000) + self._starts
        server = await self.servers.add(server_id, service, domain, born_ms)
        self.fixture.backends[server_id] = server
        await self._write_entry(server)

    async def _write_entry(self, server: WordServer, state: str = "ready") -> None:
        """Write a server's entry, once the store takes it."""
        store = self.fixture.store
        await wait_for(lambda: not (store.refuse or store.silent), "the store answers")
        if self.fixture.backends.get(server.id) is server:
            self.fixture.announce(
                server.id,
                server.service,
                state,
                zone=server.domain,
                born=server.born_ms,
            )

    async def _end_server(self, server: WordServer) -> None:
        """End a server that left; another comes in its place, or it under its id."""
        server.ended_at = time.monotonic()
        if self.fixture.backends.get(server.id) is server:
            del self.fixture.backends[server.id]
        await server.stop()
        if self.fault_random.random() < 0.5:
            await self._add_server(server.service, same_as=server)
            return
        self.fixture.store.put("keyed.servers", server.id, None)
        await self._add_server(server.service)

    # callers

    async def _ask(self, path: str) -> None:
        """Send a request; come back once if it is refused and told when."""
        sent_at = time.monotonic()
        pause_s = await self._try(path)
        if pause_s is None or time.monotonic() + pause_s > sent_at + DEADLINE_MS / 1000:
            return
        await asyncio.sleep(pause_s)
        self.returned += 1
        await self._try(path, is_return=True)

    async def _try(self, path: str, *, is_return: bool = False) -> float | None:
        """Send a request; return the time after which it may come back, or None."""
        vm = self.random.choice(list(self.hosts))
        if vm not in self.running:
            return None
        self._ids += 1
        sent_at = time.monotonic()
        lines = [f"POST {path} HTTP/1.1", "Host: h.example", "Api-Key: k1"]
        lines += [
            f"Attempt-Id: {vm}_{self._ids}",
            f"Deadline-Ms: {DEADLINE_MS}",
        ]
        lines += [f"{SENT_HEADER.decode()}: {sent_at}", "Content-Length: 2"]
        if path.startswith("/s/"):
            subject = self.random.randrange(SUBJECTS)
            lines += [f"Prefix-Hash: {subject + 16:x}:500,{self._ids:x}:9"]
        answer = await self.send(vm, lines, b"hi")
        served = answer.status == 200 and answer.whole
        self.statuses[200 if served else answer.status or "closed"] += 1
        self.returns_served += served and is_return
        self._note_told(vm, answer)
        await self._note_outcome(vm, path, answer, sent_at)
        if answer.status != 503 or START_HEADER in answer.head:
            return None
        return float(read_headers(answer)[b"retry-after"])

    def _note_told(self, vm: str, answer: RawAnswer) -> None:
        """Note that a VM passed on the word of a server that leaves."""
        headers = read_headers(answer)
        if answer.whole and headers.get(HEADER_NAMES.leaving) == b"1":
            start = headers[START_HEADER].decode()
            self.promises.note_told(vm, start, time.monotonic())

    async def _note_outcome(
        self, vm: str, path: str, answer: RawAnswer, sent_at: float
    ) -> None:
        """Note what became of a request while a server was open to its calm VM."""
        now = time.monotonic()
        calm = self.was_calm(vm, now, KNOWN_S) and vm in self.running
        if not calm or now - self._store_harmed_at < KNOWN_S:
            return
        service = MODEL if path.startswith("/s/") else PLAIN
        is_open = [
            server.id
            for server in self.servers
            if server.service == service and server.was_open(vm, sent_at, now, KNOWN_S)
        ]
        if not is_open:
            return
        self.open_asked += 1
        self.open_served += answer.status == 200 and answer.whole
        if answer.status == 503 and START_HEADER not in answer.head:
            at = f"{sent_at - self.started_at:.2f}"
            why = await self._explain(vm, answer)
            if why.endswith("budget_spent"):
                # The fleet must keep within its retries, whoever is open.
                self.budget_refused += 1
                return
            self.refused_open.append(f"{vm} {path} @{at}, open {is_open}: {why}")

    async def _explain(self, vm: str, answer: RawAnswer) -> str:
        """Return what a VM tells operators of a request that it refused."""
        request_id = read_headers(answer)[HEADER_NAMES.request_id].decode()
        target = f"/explain/{request_id}"
        found = await self.fixture.ask_operator(vm, self.hosts[vm], target)
        decisions = json.loads(found)["decisions"]
        return " ".join(f"{d['server']}:{d['rule']}" for d in decisions)

    # harm: what servers say

    def _draw_servers(self, service: str, most: int) -> list[WordServer]:
        running = self.servers.list_running(service)
        count = min(most, max(0, len(running) - MIN_OPEN))
        return self.fault_random.sample(running, count)

    async def _leave(self) -> None:
        """Some servers leave; their entries say so when the store takes it."""
        service = self.fault_random.choice((MODEL, MODEL, PLAIN))
        servers = self._draw_servers(service, self.fault_random.randint(1, 3))
        await asyncio.gather(
            *(self._leave_one(s, self.fault_random.uniform(0.0, 3.0)) for s in servers)
        )

    async def _leave_unheard(self) -> None:
        """Three servers leave, and their entries go on to say that they are ready."""
        for server in self._draw_servers(MODEL, 3):
            server.leaving_since = time.monotonic()

    async def _leave_one(self, server: WordServer, entry_after_s: float) -> None:
        server.leaving_since = time.monotonic()
        await asyncio.sleep(entry_after_s)
        await self._write_entry(server, "draining")
        await asyncio.sleep(DRAIN_S + self.fault_random.uniform(0.3, 2.0))
        await self._end_server(server)

    async def _rest_some(self) -> None:
        """Some engines turn requests away, those of all VMs or of some."""
        most = self.fault_random.choice((1, 2, ENGINES // 2, ENGINES))
        running = self.servers.list_running(MODEL)
        servers = self.fault_random.sample(running, min(most, len(running)))
        self._shed(servers, self.fault_random.choice((0.2, 1.0, 3.0, 3.0, 6.0, 10.0)))

    async def _rest_plain(self) -> None:
        """All plain servers turn requests away."""
        self._shed(self.servers.list_running(PLAIN), 3.0)

    def _shed(self, servers: list[WordServer], rest_s: float) -> None:
        vms = ALL_VMS
        if self.fault_random.random() < 0.3:
            chosen = self.fault_random.sample(list(self.hosts), max(1, self.vms // 2))
            vms = frozenset(chosen)
        marked = self.fault_random.random() < 0.85
        begin = time.monotonic()
        for server in servers:
            shedding = Shedding(begin, begin + rest_s, vms, marked)
            server.sheddings.append(shedding)

    async def _vanish(self) -> None:
        """Entries of some servers vanish, and come back as they were."""
        service = self.fault_random.choice((MODEL, PLAIN))
        servers = self.servers.list_running(service)
        servers += [s for s in self.servers if s.leaving_since and not s.ended_at]
        chosen = self.fault_random.sample(servers, max(1, len(servers) // 2))
        for server in chosen:
            server.entry_gone_at.append(time.monotonic())
            self.fixture.store.put("keyed.servers", server.id, None)
        await asyncio.sleep(self.fault_random.uniform(0.3, 1.0))
        for server in chosen:
            server.entry_gone_at.append(time.monotonic())
            await self._write_entry(server)

    # harm: the store and the VMs

    async def _refuse_store(self) -> None:
        self._side_door.refuse = 503
        await super()._refuse_store()
        self._side_door.refuse = 0
        self._store_harmed_at = time.monotonic()

    async def _silence_store(self) -> None:
        """Let the store answer nothing for a while."""
        doors = (self.fixture.store, self._side_door)
        for door in doors:
            door.silent = True
        await asyncio.sleep(self.fault_random.uniform(1.0, 6.0))
        for door in doors:
            door.silent = False
        self._store_harmed_at = time.monotonic()

    async def _turn_vms_away(self) -> None:
        """Let the store refuse half of the VMs, and serve the others."""
        self._side_door.refuse = self.fault_random.choice((429, 503))
        await asyncio.sleep(self.fault_random.uniform(1.0, 6.0))
        self._side_door.refuse = 0
        self._store_harmed_at = time.monotonic()

    async def _start_vm(self) -> None:
        """Start a VM that was not there before."""
        if self._late_vms:
            await self._begin(self._late_vms.pop())

    # the promises

    def _check(self) -> list[str]:
        broken = self.promises.list_broken()
        if self.refused_open:
            count = len(self.refused_open)
            broken.append(f"{count} refused, one open: {self.refused_open[:3]}")
        if self.open_served < MIN_SERVED_SHARE * self.open_asked:
            shares = f"{self.open_served} of {self.open_asked}"
            broken.append(f"only {shares} were served, a server being open")
        return broken

    def show(self) -> str:
        """Return what was done and what callers got."""
        promises = self.promises
        late = sum(promises.count_late(s) for s in self.servers)
        untold = sum(promises.count_untold(s, SOON_S) for s in self.servers)
        rests = [n for s in self.servers for n in promises.count_in_rests(s)]
        rejections = sum(len(s.rests) for s in self.servers)
        after = sum(
            arrival.at > server.leaving_since
            for server in self.servers
            if server.leaving_since is not None
            for arrival in server.arrivals
        )
        statuses = " ".join(f"{s}:{n}" for s, n in self.statuses.most_common())
        return (
            f"leaving: {after} arrivals, {untold} untold, {late} late; "
            f"rests: {rejections} rejections, most in one {max(rests, default=0)}; "
            f"open {self.open_asked}, {self.open_served} served, "
            f"{self.budget_refused} out of retries; "
            f"came back {self.returned}, {self.returns_served} served; "
            f"answers {statuses}; {' '.join(self.faults)}"
        )


def read_headers(answer: RawAnswer) -> dict[bytes, bytes]:
    """Return an answer's headers, their names in lower case."""
    lines = answer.head.split(b"\r\n")
    return dict(line.split(b": ", 1) for line in lines if b": " in line)


def draw_soak(seed: int, seconds: float, vms: int) -> WordSoak:
    """Return a run whose form the seed draws."""
    generator = random.Random(f"form-{seed}")
    harms = generator.sample(HARMS, generator.randint(4, len(HARMS)))
    if generator.random() < 0.2:
        harms.insert(0, "kill_all")
    return WordSoak(seed, seconds, vms, tuple(harms))


def run_seed(seed: int, options: argparse.Namespace) -> list[str]:
    """Run one seed and print what it did."""
    if not options.harms:
        return draw_soak(seed, options.seconds, options.vms).run_and_show()
    harms = tuple(options.harms.split(","))
    return WordSoak(seed, options.seconds, options.vms, harms).run_and_show()


def main() -> int:
    """Run seeds and return the exit code."""
    parser = build_parser(__doc__, seconds=12.0, vms=6)
    parser.add_argument("--harms", default="", help="kinds of harm, by commas")
    return run_seeds(parser.parse_args(), run_seed)


if __name__ == "__main__":
    sys.exit(main())
