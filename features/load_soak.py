"""A soak of the bound on load: many gateway processes before few backend servers.

Real processes on a machine that stalls: VMs of one failure domain freeze and wake
together, a server holds its answers back for a while, callers come in bunches, VMs are
killed and start again. Each arrival at a server is counted with what the server and the
others of its service held at that moment. Promise: of the arrivals at a service in any
5 s, those that met a server holding over twice the mean and 3 are fewer than 20, or at
most 3 in 100.

    python -m features.load_soak --vms 40 --seconds 15 --seeds 1-10

A seed sets what happens when; when each process gets its turn is the machine's.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import random
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

from features.gateway_support import RawAnswer, RawCaller
from features.load_arrivals import find_worst
from features.load_servers import LoadServers
from features.platform_support import PlatformFixture, build_config
from features.soak_runs import Callers, build_parser, list_hosts, run_seeds

DOMAINS = ("porto", "braga", "faro", "evora")
ENGINES_PER_DOMAIN = 2
STARTED_AT_ONCE = 8

PLAIN_PER_S, PROMPTS_PER_S = 120.0, 60.0
PLAIN_DEADLINE_MS, PROMPT_DEADLINE_MS = 600, 8000
SUBJECTS = 40

HARMS = ("stall_server", "freeze_domain", "bunch", "hot_subject", "restart")
"""Kinds of harm, methods of the soak. ``bunch_prompts`` is asked for by name: a longer
list would let each seed draw other harms than before."""

ANSWER_TIMEOUT_S = 9.0
MIN_SERVED_SHARE = 0.5


@dataclass
class LoadSoak:
    """One run with one seed.

    Attributes:
        harms: names of the kinds of harm to choose from; empty for a calm run.
        hot_share: share of the prompts that are about one subject at the moment.
    """

    seed: int
    seconds: float
    vms: int = 40
    harms: tuple[str, ...] = HARMS
    plain_per_s: float = PLAIN_PER_S
    prompts_per_s: float = PROMPTS_PER_S
    fixture: PlatformFixture = field(default_factory=PlatformFixture)
    statuses: Counter = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)

    hot_share: float = 0.0

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.servers = LoadServers(self.random)
        # Apart from the callers', so that a seed's faults come at the same moments.
        self.fault_random = random.Random(self.seed)
        self.hosts = list_hosts(self.vms, self.seed)
        self.callers = Callers(self.random)

    def find_domain(self, vm: str) -> str:
        """Return the failure domain of a VM."""
        return DOMAINS[int(vm.partition("-")[2]) % len(DOMAINS)]

    async def run(self) -> list[str]:
        """Run, and return what broke the promise."""
        await self._start()
        try:
            self._started = time.monotonic()
            until = self._started + self.seconds
            await asyncio.gather(
                self.callers.come_until(until, self.plain_per_s, self._ask_plain),
                self.callers.come_until(until, self.prompts_per_s, self._ask_prompt),
                self._harm_until(until),
            )
            await self.callers.wait()
        finally:
            await self._stop()
        return self._check()

    async def _start(self) -> None:
        await self.fixture.store.start()
        config = build_config()
        config["routes"][0] |= {"timeout_ms": PLAIN_DEADLINE_MS + 76}
        config["services"][0] |= {"max_connections": 580}
        value = json.dumps(config).encode()
        self.fixture.store.put("keyed.op", "config", value)
        for number, domain in enumerate(DOMAINS):
            await self._add_server(f"i-plain-{number}", "plain", domain)
            for engine in range(ENGINES_PER_DOMAIN):
                await self._add_server(f"i-llm-{number}-{engine}", "llm", domain)
        names = list(self.hosts)
        await self._start_vm(names[0])
        for first in range(1, len(names), STARTED_AT_ONCE):
            batch = names[first : first + STARTED_AT_ONCE]
            await asyncio.gather(*map(self._start_vm, batch))

    async def _start_vm(self, vm: str) -> None:
        await self.fixture.start_gateway(vm, self.hosts[vm], self.find_domain(vm))

    async def _stop(self) -> None:
        for server in self.servers:
            server.running.set()
        await self.fixture.stop()

    async def _add_server(self, server_id: str, service: str, domain: str) -> None:
        self.fixture.backends[server_id] = await self.servers.add(server_id, service)
        self.fixture.announce(server_id, service, zone=domain)

    # callers

    async def _ask_plain(self, vm: str | None = None) -> None:
        await self._ask(vm, "/a/x", "", PLAIN_DEADLINE_MS)

    async def _ask_prompt(self) -> None:
        subject = int(min(SUBJECTS - 1, self.random.expovariate(3 / SUBJECTS)))
        if self.random.random() < self.hot_share:
            subject = SUBJECTS
        parts = f"Prefix-Hash: {subject + 16:x}:500,{self.random.getrandbits(40):x}:9"
        await self._ask(None, "/s/x", parts, PROMPT_DEADLINE_MS)

    async def _ask(
        self, vm: str | None, path: str, extra: str, deadline_ms: int
    ) -> None:
        vm = vm or self.random.choice(list(self.hosts))
        lines = [f"POST {path} HTTP/1.1", "Host: h.example", "Api-Key: k1"]
        lines += [f"Attempt-Id: {self.random.getrandbits(60):x}"]
        lines += [f"Deadline-Ms: {deadline_ms}", "Content-Length: 0"]
        lines += [extra] if extra else []
        answer = RawAnswer()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    self.hosts[vm], self.fixture.ports[vm]
                )
                caller = RawCaller(0, reader, writer)
                try:
                    await caller.send("\r\n".join(lines).encode() + b"\r\n\r\n")
                    await caller.read(answer)
                finally:
                    caller.close()
        self.statuses[answer.status] += 1

    # faults

    async def _harm_until(self, until: float) -> None:
        running = []
        while self.harms and time.monotonic() < until:
            await asyncio.sleep(self.fault_random.uniform(0.5, 1.5))
            name = self.fault_random.choice(self.harms)
            at = time.monotonic() - self._started
            self.faults.append(f"{name}@{at:.1f}")
            running.append(asyncio.ensure_future(getattr(self, f"_{name}")()))
        await asyncio.gather(*running)

    async def _stall_server(self) -> None:
        """Let a server take requests and answer none."""
        server = self.fault_random.choice(list(self.servers))
        server.running.clear()
        await asyncio.sleep(self.fault_random.uniform(0.3, 2.5))
        server.running.set()

    async def _freeze_domain(self) -> None:
        """Freeze the VMs of a failure domain, and let them wake together."""
        domain = self.fault_random.choice(DOMAINS)
        vms = [vm for vm in self.hosts if self.find_domain(vm) == domain]
        pause_s = self.fault_random.uniform(0.2, 1.5)
        for vm in vms:
            self._signal(vm, signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        for vm in vms:
            self._signal(vm, signal.SIGCONT)

    async def _bunch(self) -> None:
        """Let the callers of a failure domain come at once."""
        await asyncio.sleep(0)
        domain = self.fault_random.choice(DOMAINS)
        vms = [vm for vm in self.hosts if self.find_domain(vm) == domain]
        for _ in range(self.fault_random.randint(10, 40)):
            self.callers.launch(self._ask_plain(self.fault_random.choice(vms)))

    async def _hot_subject(self) -> None:
        """Let many prompts be about one subject for some seconds."""
        self.hot_share = 0.4
        await asyncio.sleep(self.fault_random.uniform(1.0, 3.0))
        self.hot_share = 0.0

    async def _bunch_prompts(self) -> None:
        """Let prompts come at once, many of them about one subject."""
        await asyncio.sleep(0)
        hot_share, self.hot_share = self.hot_share, 0.5
        for _ in range(self.fault_random.randint(10, 40)):
            self.callers.launch(self._ask_prompt())
        await asyncio.sleep(0.02)
        self.hot_share = hot_share

    async def _restart(self) -> None:
        """Kill some VMs, and start them again."""
        picked = self.fault_random.sample(list(self.hosts), max(1, self.vms // 10))
        for vm in picked:
            self._signal(vm, signal.SIGKILL)
        await asyncio.gather(*(self.fixture.processes[vm].wait() for vm in picked))
        await asyncio.gather(*map(self._start_vm, picked))

    def _signal(self, vm: str, number: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.fixture.processes[vm].send_signal(number)

    # the promise

    def _check(self) -> list[str]:
        broken = []
        for service, arrivals in self.servers.arrivals.items():
            worst = find_worst(arrivals)
            if worst.is_broken:
                broken.append(f"{service}: {worst.show(self._started)}")
        served = self.statuses[200]
        if served < MIN_SERVED_SHARE * sum(self.statuses.values()):
            broken.append(f"only {served} of {sum(self.statuses.values())} were served")
        return broken


def run_seed(seed: int, options: argparse.Namespace) -> list[str]:
    """Run one seed and print what it did."""
    harms = tuple(options.harms.split(",")) if options.harms else ()
    soak = LoadSoak(seed, options.seconds, options.vms, harms)
    broken = asyncio.run(soak.run())
    statuses = " ".join(f"{s}:{n}" for s, n in sorted(soak.statuses.items()))
    print(f"seed {seed}: {'BROKEN' if broken else 'kept'}; {statuses}")
    print(f"    {' '.join(soak.faults)}")
    for service, arrivals in sorted(soak.servers.arrivals.items()):
        print(f"    {service}: {find_worst(arrivals).show(soak._started)}")
    return broken


def main() -> int:
    """Run the seeds and return the exit code."""
    parser = build_parser(__doc__, seconds=15.0, vms=LoadSoak.vms)
    parser.add_argument(
        "--harms",
        default=",".join(LoadSoak.harms),
        help="kinds of harm, joined by commas; empty for none",
    )
    return run_seeds(parser.parse_args(), run_seed)


if __name__ == "__main__":
    sys.exit(main())
