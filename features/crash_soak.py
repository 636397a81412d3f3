"""A soak of requests under which backend servers end: gateway processes, real signals.

Some prompts and plain requests end each server that runs them; the server is back some
seconds later, under a new id or under its own with a later start. They come again and
again at any VM, beside harmless requests of which two are popular: the same path,
customer and body each time, so that one of them is in flight at most ends. VMs are
killed, stopped for a while, started late; the store refuses for a while; all VMs are
killed at once. Promises: of a harmful request no more than 3 copies reach a server
later than 3 s after the third server that it ended, from VMs that ran for those 3 s; it
ends 5 servers at most, 1 more for each VM that was stopped, 2 more for each time that
all VMs are killed, 5 more where the store refuses besides; no harmless request is
turned away for what servers did.

    python -m features.crash_soak --seconds 9 --seeds 1-50

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
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from functools import partial

from features.crash_servers import CRASH_MARK, PLAIN, CrashServer, CrashServers
from features.platform_support import build_config
from features.soak_runs import build_parser, run_seeds
from features.soak_vms import DOMAINS, VmSoak
from standins.common import wait_for

ENGINES, PLAIN_SERVERS = 12, 6
PROMPTS_PER_S, PLAIN_PER_S, POPULAR_PER_S, HARMFUL_PER_S = 15.0, 15.0, 5.0, 3.0
DEADLINE_MS = 4000

RETURN_S = 2.0
"""Seconds until a server that ended is back."""

LAPSE_S = 1.5
"""Seconds until the entry of a server that ended is gone, where its id is not kept."""

CONTACT_S = 3.0
"""Seconds in which what a VM saw must have reached the others."""

MOST_LATE, MOST_ENDS = 3, 5

ENDS_FOR_POWER, ENDS_FOR_POWER_WITHOUT_STORE = 2, 5
"""Servers more that a harmful request may end for each time that all VMs are killed.
What they knew lies in the store alone then: if that refuses to take or tell it, the
fleet learns anew."""

ENDS_FOR_STOP = 1
"""The same for each time that a VM is stopped: when it goes on it may read a caller's
copy before it reads what the others told meanwhile."""

HARMFUL_AFTER_S = 1.0
"""Seconds of calm first. A popular request that never ran well can't be told from
a harmful one while servers end faster than it takes."""

MIN_SERVED_SHARE = 0.5

HARMS = ("kill_vm", "stop_vm", "refuse_store", "start_vm")
"""Kinds of harm, methods of the soak; ``kill_all`` is asked for by name, once a run."""

HARMFUL_ID = "bad"
"""Begins the id of a harmful request; the number of its VM follows."""


@dataclass
class CrashSoak(VmSoak):
    """One run with one seed.

    Attributes:
        harms: names of the kinds of harm to choose from; empty for none.
        harmful: harmful requests, each of which comes again and again.
        same_id: whether a server that is back keeps its id.
    """

    harmful: int = 1
    same_id: bool = False
    crash_share: float = 1.0
    statuses: Counter = field(default_factory=Counter)
    turned_away: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.servers = CrashServers(
            self.random,
            crash_after_s=self.fault_random.uniform(0.02, 0.12),
            crash_share=self.crash_share,
        )
        self.resets = self.fault_random.random() < 0.5
        self._ids = 0

    async def run(self) -> list[str]:
        """Run, and return what broke a promise."""
        await self._start()
        try:
            self.started_at = time.monotonic()
            until = self.started_at + self.seconds
            reviving = asyncio.ensure_future(self._revive())
            await asyncio.gather(
                *(
                    self.callers.come_until(until, *kind)
                    for kind in self._list_callers()
                ),
                self._harm_servers_until(until),
                self._harm_until(until),
            )
            await self.callers.wait()
            reviving.cancel()
            self._read_lines()
        finally:
            await self._stop()
        return self._check()

    # servers

    async def _start(self) -> None:
        await self.fixture.store.start()
        config = build_config()
        route = config["routes"][0]
        config["routes"].append(
            route
            | {"name": "r3", "path_prefix": "/r/"}
            | {"type": "idempotent", "max_attempts": 2}
        )
        config["services"][0] |= {"max_connections": 400}
        value = json.dumps(config).encode()
        self.fixture.store.put("keyed.op", "config", value)
        for number in range(ENGINES + PLAIN_SERVERS):
            service = "llm" if number < ENGINES else PLAIN
            server = await self.servers.add(service)
            self._announce(f"i-{number}", server)
        names = list(self.hosts)
        self.late = names.pop() if "start_vm" in self.harms else None
        await self._begin(names[0])
        await asyncio.gather(*map(self._begin, names[1:]))
        # Before that they can't tell each other anything.
        await wait_for(self._know_each_other, "VMs know each other")

    async def _stop(self) -> None:
        await self.callers.cancel()
        await self.fixture.stop()

    def _announce(self, server_id: str, server: CrashServer) -> None:
        self.fixture.backends[server_id] = server
        domain = DOMAINS[server.port % len(DOMAINS)]
        born = int(server.started_at * 1000)
        self.fixture.announce(server_id, server.service, zone=domain, born=born)

    async def _revive(self) -> None:
        """End each server under which a harmful request ran, and start it again."""
        while True:
            server = await self.servers.ended.get()
            await server.end(resets=self.resets)
            self.callers.launch(self._start_again(server))

    async def _start_again(self, server: CrashServer) -> None:
        [server_id] = [i for i, b in self.fixture.backends.items() if b is server]
        if not self.same_id:
            await asyncio.sleep(LAPSE_S)
            self.fixture.store.put("keyed.servers", server_id, None)
            del self.fixture.backends[server_id]
            server_id = f"{server_id}x"
        await asyncio.sleep(RETURN_S - (0.0 if self.same_id else LAPSE_S))
        await server.begin()
        self._announce(server_id, server)

    # callers

    def _list_callers(self) -> list[tuple[float, Callable[[], Coroutine]]]:
        """Return what callers ask, and how often a second."""
        return [
            (PROMPTS_PER_S, partial(self._ask, "/s/x", "calm")),
            (PLAIN_PER_S, partial(self._ask, "/r/x", "plain")),
            (POPULAR_PER_S, partial(self._ask, "/s/x", "popular", body=b"popular")),
            (POPULAR_PER_S, partial(self._ask, "/r/y", "popular", body=b"")),
        ]

    async def _harm_servers_until(self, until: float) -> None:
        """Let the harmful requests come."""
        await asyncio.sleep(HARMFUL_AFTER_S)
        paths = ("/s/x", "/r/x")
        asked = [
            partial(self._ask_harmful, paths[n % 2], n) for n in range(self.harmful)
        ]
        await asyncio.gather(
            *(self.callers.come_until(until, HARMFUL_PER_S, ask) for ask in asked)
        )

    async def _ask_harmful(self, path: str, number: int) -> None:
        vm = self._choose_vm()
        prefix = f"{HARMFUL_ID}{int(vm.partition('-')[2]):04d}"
        body = CRASH_MARK + b"%d" % number
        await self._ask(path, "harmful", vm=vm, prefix=prefix, body=body)

    def _choose_vm(self) -> str:
        return self.random.choice(list(self.hosts))

    async def _ask(
        self,
        path: str,
        kind: str,
        *,
        vm: str | None = None,
        prefix: str = "",
        body: bytes | None = None,
    ) -> None:
        vm = vm or self._choose_vm()
        if vm not in self.running:
            return
        self._ids += 1
        request_id = f"{prefix}{self._ids:06x}"
        body = b"%d" % self._ids if body is None else body
        lines = [f"POST {path} HTTP/1.1", "Host: h.example", "Api-Key: k1"]
        lines += [f"Attempt-Id: {request_id}", f"Deadline-Ms: {DEADLINE_MS}"]
        lines += [f"Content-Length: {len(body)}"]
        if path.startswith("/s/"):
            lines += [f"Prefix-Hash: {self._ids % 20 + 16:x}:500,{self._ids:x}:9"]
        answer = await self.send(vm, lines, body)
        served = answer.status == 200 and answer.whole
        self.statuses[kind, 200 if served else answer.status or "closed"] += 1

    # harm

    async def _start_vm(self) -> None:
        if self.late is not None:
            vm, self.late = self.late, None
            await self._begin(vm)

    # the promises

    def _read_lines(self) -> None:
        """Note harmless requests that were turned away for what servers did."""
        for vm in self.hosts:
            log = self.fixture.find_log(vm)
            if not log.exists():
                continue
            for line in log.read_text().splitlines():
                if '"given_up"' in line and '"rule":"quarantined"' in line:
                    self._note_turned_away(line)

    def _note_turned_away(self, line: str) -> None:
        if f'"request_id":"{HARMFUL_ID}' not in line:
            self.turned_away.append(line)

    def _check(self) -> list[str]:
        broken = [f"turned away: {line}" for line in self.turned_away[:3]]
        had_store = "refuse_store" not in self.harms
        for_power = ENDS_FOR_POWER if had_store else ENDS_FOR_POWER_WITHOUT_STORE
        most_ends = MOST_ENDS + for_power * self.power_losses
        most_ends += ENDS_FOR_STOP * self.stops
        for name, record in self.servers.records.items():
            ends, late = len(record.ends), self.count_late(name)
            if late > MOST_LATE:
                broken.append(f"{name}: {late} arrivals long after its third end")
            if self.crash_share == 1.0 and ends > most_ends:
                broken.append(f"{name}: ended {ends} servers")
        served = sum(n for (_, status), n in self.statuses.items() if status == 200)
        asked = sum(n for (kind, _), n in self.statuses.items() if kind != "harmful")
        if served < MIN_SERVED_SHARE * asked:
            broken.append(f"only {served} of {asked} harmless requests were served")
        return broken

    def count_late(self, name: str) -> int:
        """Return how many copies came long after the third end, from calm VMs."""
        record = self.servers.records[name]
        if len(record.ends) < 3:
            return 0
        since = record.ends[2] + CONTACT_S
        late = [arrival for arrival in record.arrivals if arrival.at > since]
        return sum(self._was_calm(arrival.request_id, arrival.at) for arrival in late)

    def _was_calm(self, request_id: str, at: float) -> bool:
        vm = f"vm-{int(request_id[len(HARMFUL_ID) : len(HARMFUL_ID) + 4])}"
        return self.was_calm(vm, at, CONTACT_S)

    def show(self) -> str:
        """Return what harmful requests did, and what harmless ones got."""
        harm = ", ".join(
            f"{name}: {len(r.ends)} ends, {len(r.arrivals)} arrivals, "
            f"{self.count_late(name)} late"
            for name, r in sorted(self.servers.records.items())
        )
        kinds = sorted({kind for kind, _ in self.statuses} - {"harmful"})
        served = ", ".join(
            f"{kind} {self.statuses[kind, 200]} of "
            f"{sum(n for (k, _), n in self.statuses.items() if k == kind)}"
            for kind in kinds
        )
        return f"{harm}; served: {served}; {' '.join(self.faults)}"


def draw_soak(seed: int, seconds: float, vms: int) -> CrashSoak:
    """Return a run whose form the seed draws."""
    generator = random.Random(f"form-{seed}")
    count = generator.randint(0, len(HARMS))
    harms = tuple(generator.sample(HARMS, count))
    if generator.random() < 0.2:
        harms = ("kill_all", *harms)
    return CrashSoak(
        seed,
        seconds,
        vms,
        harms,
        harmful=generator.choice((1, 1, 2, 3)),
        same_id=generator.random() < 0.5,
    )


def run_seed(seed: int, options: argparse.Namespace) -> list[str]:
    """Run one seed and print what it did."""
    soak = draw_soak(seed, options.seconds, options.vms)
    broken = asyncio.run(soak.run())
    state = "BROKEN" if broken else "kept"
    print(f"seed {seed}: {state}; same id {soak.same_id}; {soak.show()}")
    return broken


def main() -> int:
    """Run the seeds and return the exit code."""
    parser = build_parser(__doc__, seconds=9.0, vms=8)
    return run_seeds(parser.parse_args(), run_seed)


if __name__ == "__main__":
    sys.exit(main())
