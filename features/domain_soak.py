"""A soak of failure domains that are emptied and of cold servers: real processes.

The operator empties failure domains and takes them back, some for a moment, up to two
at a time; their servers are cold when they are back, or not. Servers of a domain end
and come back cold under new ids. A hot prompt asks for one server more often than it
takes while cold. VMs are killed, stopped for a while, and all killed at once; the store
refuses for a while. Promises: later than the bound after the operator's word no request
reaches a server of the domain until it is taken back, from VMs that ran for a while,
while the store answered; in no second does a cold server get more than it bears, from
whichever VM; half of the requests are served.

    python -m features.domain_soak --seconds 12 --seeds 1-50

A seed sets what happens when; when each process gets its turn is the machine's.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import time
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import partial

from features.platform_support import build_config
from features.soak_runs import build_parser, run_seeds
from features.soak_vms import DOMAINS, SeriesSoak
from ramppin_platform.vocabulary import HEADER_NAMES
from standins.backend import BackendStandIn, Reply
from standins.common import wait_for

ENGINES_PER_DOMAIN = 2
PLAIN_PER_S, PROMPTS_PER_S, HOT_PER_S = 30.0, 40.0, 60.0
SUBJECTS = 30
DEADLINE_MS = 4000

COLD_S = 3.0
COLD_PER_S, COLD_OVERAGE, COLD_SLACK = 13.0, 1.5, 5.0
MOST_IN_A_SECOND = COLD_PER_S * COLD_OVERAGE + COLD_SLACK
HEARTBEAT_S = 1.2
"""Seconds between two entries of a server."""

EVACUATION_S = 5.0
"""Seconds after the operator's word from which on nothing may reach the domain."""

CONTACT_S = 4.0
"""Seconds for which a VM and the store must have been well for the bound to hold."""

MIN_SERVED_SHARE = 0.5

HARMS = ("kill_vm", "stop_vm", "refuse_store", "evacuate", "evacuate", "return_cold")
"""Kinds of harm, methods of the soak; ``kill_all`` comes beside them in a fifth of the
seeds."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a server."""

    at: float
    vm: str


@dataclass(slots=True)
class Span:
    """A time for which something held; without an end so far."""

    begin: float
    end: float = float("inf")

    def has(self, at: float, *, after_s: float = 0.0) -> bool:
        """Return whether a moment lies in it, some seconds after its begin."""
        return self.begin + after_s < at < self.end


@dataclass
class ServerRecord:
    """What befell one start of a server."""

    domain: str
    arrivals: list[Arrival] = field(default_factory=list)
    cold: list[Span] = field(default_factory=list)


@dataclass
class DomainSoak(SeriesSoak):
    """One run with one seed."""

    statuses: Counter = field(default_factory=Counter)
    records: dict[str, ServerRecord] = field(default_factory=dict)
    evacuations: dict[str, list[Span]] = field(default_factory=dict)
    outages: list[Span] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.fixture.more_settings = {
            "bounds.cold_overage": str(COLD_OVERAGE),
            "bounds.cold_slack": str(COLD_SLACK),
            "bounds.evacuation_ms": str(int(EVACUATION_S * 1000)),
        }
        self.services: dict[str, str] = {}
        self._ids = 0
        self._starts = 0

    def _list_callers(self):
        return [
            (PLAIN_PER_S, partial(self._ask, "/a/x")),
            (PROMPTS_PER_S, partial(self._ask, "/s/x")),
            (HOT_PER_S, partial(self._ask, "/s/x", subject=SUBJECTS)),
        ]

    async def _start(self) -> None:
        await self.fixture.store.start()
        config = build_config()
        config["services"][0] |= {"max_connections": 400}
        config["services"][1] |= {"cold_start_s": COLD_S, "cold_per_s": COLD_PER_S}
        value = json.dumps(config).encode()
        self.fixture.store.put("keyed.op", "config", value)
        for domain in DOMAINS:
            await self._add_server("plain", domain)
            for _ in range(ENGINES_PER_DOMAIN):
                await self._add_server("llm", domain)
        names = list(self.hosts)
        await self._begin(names[0])
        await asyncio.gather(*map(self._begin, names[1:]))
        await wait_for(self._know_each_other, "VMs know each other")

    async def _stop(self) -> None:
        await self.callers.cancel()
        await self.fixture.stop()

    # backend servers

    async def _add_server(self, service: str, domain: str) -> str:
        self._starts += 1
        server_id = f"i-{domain}-{self._starts}"
        backend = BackendStandIn(names=HEADER_NAMES)
        await backend.start()
        backend.script = partial(self._serve, server_id)
        self.fixture.backends[server_id] = backend
        self.services[server_id] = service
        self.records[server_id] = ServerRecord(domain)
        self._announce(server_id)
        return server_id

    def _announce(self, server_id: str, cold_s: float = 0.0) -> None:
        self.fixture.announce(
            server_id,
            self.services[server_id],
            zone=self.records[server_id].domain,
            cold_ms=int(cold_s * 1000),
        )

    async def _serve(self, server_id: str, reply: Reply) -> None:
        vm = reply.request_id.decode().partition("_")[0]
        self.records[server_id].arrivals.append(Arrival(time.monotonic(), vm))
        wanted = reply.request.headers.get(HEADER_NAMES.server, b"").decode()
        if wanted != server_id:
            await reply.answer(421, b"")
            return
        await asyncio.sleep(self.random.uniform(0.01, 0.06))
        if self.services[server_id] == "plain":
            await reply.answer()
            return
        await reply.start_events()
        await reply.send_chunk(b"id: 1\ndata: piece\n\n")
        await reply.send_chunk(b"")

    async def _be_cold(self, server_id: str) -> None:
        """Tell for how long a server is cold, with each heartbeat, until it is warm."""
        span = Span(time.monotonic(), time.monotonic() + COLD_S)
        spans = self.records[server_id].cold
        if spans and spans[-1].has(span.begin):
            # It turned cold again before it was warm, and tells the later end alone.
            spans[-1].end = span.end
            return
        spans.append(span)
        while (left_s := span.end - time.monotonic()) > 0:
            if server_id not in self.fixture.backends:
                return
            self._announce(server_id, left_s)
            await asyncio.sleep(min(HEARTBEAT_S, left_s))
        if server_id in self.fixture.backends:
            self._announce(server_id)

    def _list_engines(self, domain: str) -> list[str]:
        return [
            server_id
            for server_id in self.fixture.backends
            if self.services[server_id] == "llm"
            and self.records[server_id].domain == domain
        ]

    # callers

    async def _ask(self, path: str, subject: int | None = None) -> None:
        vm = self.random.choice(list(self.hosts))
        if vm not in self.running:
            return
        self._ids += 1
        if subject is None:
            subject = self.random.randrange(SUBJECTS)
        lines = [f"POST {path} HTTP/1.1", "Host: h.example", "Api-Key: k1"]
        lines += [f"Attempt-Id: {vm}_{self._ids}", f"Deadline-Ms: {DEADLINE_MS}"]
        lines += ["Content-Length: 2"]
        if path.startswith("/s/"):
            lines += [f"Prefix-Hash: {subject + 16:x}:500,{self._ids:x}:9"]
        answer = await self.send(vm, lines, b"hi")
        served = answer.status == 200 and answer.whole
        self.statuses[200 if served else answer.status or "closed"] += 1

    # harm

    async def _refuse_store(self) -> None:
        outage = Span(time.monotonic())
        self.outages.append(outage)
        await super()._refuse_store()
        outage.end = time.monotonic()

    async def _evacuate(self) -> None:
        """Empty a failure domain and take it back, its engines cold or not."""
        emptied = [
            d for d, spans in self.evacuations.items() if spans[-1].end == float("inf")
        ]
        left = [domain for domain in DOMAINS if domain not in emptied]
        if len(left) < 3:
            return
        domain = self.fault_random.choice(left)
        hold_s = self.fault_random.choice((0.3, 3.0, 8.0))
        is_cold = self.fault_random.random() < 0.6
        span = Span(time.monotonic())
        self.evacuations.setdefault(domain, []).append(span)
        key = f"evacuate/{domain}"
        self.fixture.store.put("keyed.op", key, b"{}")
        await asyncio.sleep(hold_s)
        if is_cold:
            for server_id in self._list_engines(domain):
                self.callers.launch(self._be_cold(server_id))
            await asyncio.sleep(0.3)
        self.fixture.store.put("keyed.op", key, None)
        span.end = time.monotonic()

    async def _return_cold(self) -> None:
        """End the engines of a failure domain; others come in their place, cold."""
        domain = self.fault_random.choice(DOMAINS)
        ended = self._list_engines(domain)
        for server_id in ended:
            backend = self.fixture.backends.pop(server_id)
            await backend.stop()
            self.fixture.store.put("keyed.servers", server_id, None)
        await asyncio.sleep(self.fault_random.uniform(0.2, 1.0))
        for _ in ended:
            server_id = await self._add_server("llm", domain)
            self.callers.launch(self._be_cold(server_id))

    # the promises

    def _check(self) -> list[str]:
        broken = []
        for server_id, record in self.records.items():
            late = self._count_late(record)
            if late:
                broken.append(f"{server_id}: {late} arrivals while it was emptied")
            worst = max(
                (self._find_worst(record, span) for span in record.cold), default=0
            )
            if worst > MOST_IN_A_SECOND:
                broken.append(f"{server_id}: {worst} arrivals in a second, cold")
        served, asked = self.statuses[200], sum(self.statuses.values())
        if served < MIN_SERVED_SHARE * asked:
            broken.append(f"only {served} of {asked} requests were served")
        return broken

    def _count_late(self, record: ServerRecord) -> int:
        """Return how many requests of calm VMs reached an emptied domain too late."""
        spans = self.evacuations.get(record.domain, [])
        return sum(
            any(span.has(arrival.at, after_s=EVACUATION_S) for span in spans)
            and self.was_calm(arrival.vm, arrival.at, CONTACT_S)
            and self._was_store_well(arrival.at)
            for arrival in record.arrivals
        )

    def _was_store_well(self, at: float) -> bool:
        return not any(
            outage.begin < at and outage.end > at - CONTACT_S for outage in self.outages
        )

    def _find_worst(self, record: ServerRecord, cold: Span) -> int:
        """Return the most arrivals in one second of a server that was cold."""
        return count_most(a.at for a in record.arrivals if cold.has(a.at))

    def show(self) -> str:
        """Return what was done and what callers got."""
        cold = [
            self._find_worst(record, span)
            for record in self.records.values()
            for span in record.cold
        ]
        emptied = sum(len(spans) for spans in self.evacuations.values())
        statuses = " ".join(f"{s}:{n}" for s, n in self.statuses.most_common())
        return (
            f"emptied {emptied} times, cold {len(cold)} times, most in a second "
            f"{max(cold, default=0)}; answers {statuses}; {' '.join(self.faults)}"
        )


def count_most(moments: Iterable[float]) -> int:
    """Return the most moments that lie within one second."""
    most, recent = 0, deque()
    for moment in sorted(moments):
        recent.append(moment)
        while recent[0] <= moment - 1.0:
            recent.popleft()
        most = max(most, len(recent))
    return most


def draw_soak(seed: int, seconds: float, vms: int) -> DomainSoak:
    """Return a run whose form the seed draws."""
    generator = random.Random(f"form-{seed}")
    harms = generator.sample(HARMS, generator.randint(2, len(HARMS)))
    if "evacuate" not in harms:
        harms.append("evacuate")
    if generator.random() < 0.2:
        harms.insert(0, "kill_all")
    return DomainSoak(seed, seconds, vms, tuple(harms))


def run_seed(seed: int, options: argparse.Namespace) -> list[str]:
    """Run one seed and print what it did."""
    return draw_soak(seed, options.seconds, options.vms).run_and_show()


def main() -> int:
    """Run seeds and return the exit code."""
    options = build_parser(__doc__, seconds=12.0, vms=8).parse_args()
    return run_seeds(options, run_seed)


if __name__ == "__main__":
    sys.exit(main())
