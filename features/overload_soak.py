"""Overload of a service: a trial of what callers get, and a soak of the promises.

Gateway processes before servers with slots and a queue by arrival order; routes of
three priorities and three customers. The trial plays one load pattern and prints a
table; the soak plays overload while VMs are killed, paused and restarted, datagrams
between halves of the VMs are lost, the store refuses and servers go silent.

    python -m features.overload_soak --trial priorities|customers|slow --seeds 1-3
    python -m features.overload_soak --seeds 1-10 --harms pause_vm,lose_datagrams

Promises, from what callers and servers observe: a request that got 429 or 503 never
ran, and none ran twice; an urgent request is not refused while its VM starts a less
urgent one; the servers hold no more than the service's limit allows; every caller has
an answer or a closed connection half a second after its deadline. A seed sets what
happens when; when each process gets its turn is the machine's.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import random
import re
import statistics
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from functools import partial

from features.domain_soak import Span
from features.gateway_support import RawAnswer, RawCaller
from features.overload_servers import SLOTS, DatagramRelay, OverloadServers
from features.platform_support import build_config
from features.soak_runs import build_parser, run_seeds
from features.soak_vms import DOMAINS, SeriesSoak
from standins.common import wait_for

SERVICE, SERVERS = "llm", 4
PRIORITIES = (0, 1, 2)
CUSTOMERS = ("ash", "birch", "cedar")
SUBJECTS = 40

DEADLINE_S, DEADLINE_MARGIN_S = 6.0, 0.5
PROMPT_S = 1.0
"""Seconds within which a first byte is in time, and a refusal at once."""

HONOURED_SHARE = 1 / 3
"""Share of the time left up to which callers honour ``Retry-After``."""

LIMIT = SERVERS * (SLOTS + max(1, SLOTS // 4))
"""Requests that the service can hold: slots and queue margin of each server."""

REPORT_DELAY_S = 0.25

SETTLE_S = 3.0
"""Seconds after a harm for which the promises on order and limit are not checked: a
peer's demand counts for 2 s, and what was sent meanwhile must end or be reported."""

FORECAST_SHARE = 0.5
"""Share of a refused request's time left in which its VM must not start a less urgent
one that it had. A VM observes its own admission queue exactly and estimates the rate of
starts; a start in that span means that it estimated over twice the actual wait."""

TURN_S = 0.05
"""Seconds that bytes take between a VM and a caller or a server."""

MAX_PAUSE_S = 3.0
"""Longest pause of a VM; see :meth:`VmSoak._stop_vm`."""

HARMS = ("kill_vm", "stop_vm", "refuse_store", "lose_datagrams", "silence_server")
"""Kinds of harm, methods of the soak."""

OUTCOMES = ("served", "in 1 s", "refused", "late 503", "held", "failed")


@dataclass(frozen=True, slots=True)
class LoadPattern:
    """What callers ask for.

    Attributes:
        load: multiple of the servers' throughput.
        weights: load of each customer in relation to the others.
        slowness: of one of the servers.
        reports: figures of the servers' load reports: 0, 3 or 4.
    """

    load: float
    weights: tuple[float, ...] = (1.0, 1.0, 1.0)
    slowness: float = 1.0
    reports: int = 4


TRIALS = {
    "priorities": LoadPattern(1.8),
    "customers": LoadPattern(1.1, weights=(1.0, 1.0, 8.0)),
    "slow": LoadPattern(0.9, slowness=3.0),
    "calm": LoadPattern(0.6),
}
TRIAL_S = 8.0


@dataclass
class Call:
    """One request to one VM.

    Attributes:
        ended_at: when the answer was whole, the connection closed or the caller left.
        is_open: whether the caller left, half a second after its deadline.
    """

    id: str
    vm: str
    priority: int
    sent_at: float
    deadline_at: float
    first_at: float = math.inf
    ended_at: float = math.inf
    is_open: bool = False
    answer: RawAnswer = field(default_factory=RawAnswer)

    @property
    def is_refused(self) -> bool:
        """Whether the answer guarantees that the request never runs."""
        return self.answer.status in (429, 503)


@dataclass
class Asked:
    """What a caller asked for: a call, and its repetition if that was refused."""

    priority: int
    customer: str
    at: float
    calls: list[Call] = field(default_factory=list)

    @property
    def outcome(self) -> str:
        """What became of it, one of :data:`OUTCOMES`."""
        last = self.calls[-1]
        if last.answer.status == 200 and last.answer.whole:
            return "served"
        if last.is_refused:
            is_prompt = last.ended_at - last.sent_at <= PROMPT_S
            return "refused" if is_prompt else "late 503"
        is_held = last.ended_at >= last.deadline_at - TURN_S
        return "held" if is_held or last.answer.status == 504 else "failed"

    @property
    def first_byte_s(self) -> float:
        """Seconds until the first byte of the last answer."""
        return self.calls[-1].first_at - self.at


@dataclass
class OverloadSoak(SeriesSoak):
    """One run with one seed.

    Attributes:
        contracts: the settings field of that name; ``pressure`` enables overload
            control.
        asked: what callers asked for.
        held: requests at each server, sampled each report delay.
        disturbances: when harm was done.
    """

    vms: int = 6
    pattern: LoadPattern = TRIALS["priorities"]
    contracts: str = "pressure"
    asked: list[Asked] = field(default_factory=list)
    held: list[dict[str, int]] = field(default_factory=list)
    disturbances: list[Span] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.servers = OverloadServers(self.random, self.pattern.reports)
        self.relay = DatagramRelay(self.hosts)
        self.fixture.more_settings = {"contracts": self.contracts}

    @property
    def calls(self) -> list[Call]:
        """All calls that were sent."""
        return [call for asked in self.asked for call in asked.calls]

    def _list_callers(self):
        whole = sum(self.pattern.weights) * len(PRIORITIES)
        return [
            (self.per_s * weight / whole, partial(self._ask, priority, customer))
            for customer, weight in zip(CUSTOMERS, self.pattern.weights, strict=True)
            for priority in PRIORITIES
        ]

    async def _start(self) -> None:
        await self.fixture.store.start()
        if self.harms:
            await self.relay.start()
        value = json.dumps(build_overload_config()).encode()
        self.fixture.store.put("keyed.op", "config", value)
        for number in range(SERVERS):
            server = await self.servers.add(f"i-{number}", SERVICE)
            server.slowness = 1.0 if number else self.pattern.slowness
            self.fixture.backends[server.id] = server
            self.fixture.announce(server.id, SERVICE, zone=DOMAINS[number])
        self.per_s = self.pattern.load * self.servers.compute_throughput()
        first, *others = self.hosts
        await self._begin(first)
        await asyncio.gather(*map(self._begin, others))
        await wait_for(self._know_each_other, "VMs know each other")
        self.callers.launch(self._sample())

    async def _begin(self, vm: str) -> None:
        if self.relay.ports:
            # Read before the first wait of the start, so starts may overlap.
            records, _ = self.fixture.shared_ports or (0, 0)
            self.fixture.shared_ports = records, self.relay.ports[vm]
        await super()._begin(vm)

    async def _stop(self) -> None:
        await self.callers.cancel()
        await self.fixture.stop()
        self.relay.stop()

    async def _sample(self) -> None:
        until = time.monotonic() + self.seconds + DEADLINE_S
        while time.monotonic() < until:
            self.held.append({server.id: server.held for server in self.servers})
            await asyncio.sleep(REPORT_DELAY_S)

    # callers

    async def _ask(self, priority: int, customer: str) -> None:
        asked = Asked(priority, customer, time.monotonic())
        self.asked.append(asked)
        number, vm = len(self.asked), ""
        for attempt in range(2):
            vm = self.random.choice([name for name in self.running if name != vm])
            now, deadline_at = time.monotonic(), asked.at + DEADLINE_S
            call = Call(f"{number}_{attempt}", vm, priority, now, deadline_at)
            asked.calls.append(call)
            await self._call(call, customer)
            if attempt or not call.is_refused:
                return
            found = re.search(rb"retry-after: ([\d.]+)", call.answer.head)
            left_s = deadline_at - time.monotonic()
            pause_s = float(found[1]) if found else 0.0
            await asyncio.sleep(min(pause_s, HONOURED_SHARE * left_s))

    async def _call(self, call: Call, customer: str) -> None:
        left_s, caller = call.deadline_at - call.sent_at, None
        subject = self.random.randrange(SUBJECTS)
        lines = [f"POST /p{call.priority}/x HTTP/1.1", "Host: h.example"]
        lines += [f"Api-Key: {customer}", f"Attempt-Id: {call.id}"]
        lines += [f"Deadline-Ms: {left_s * 1000:.0f}", "Content-Length: 0"]
        lines += [f"Prefix-Hash: {subject + 16:x}:300,{call.id.replace('_', '')}:9"]
        try:
            async with asyncio.timeout(left_s + DEADLINE_MARGIN_S):
                port = self.fixture.ports[call.vm]
                found = await asyncio.open_connection(self.hosts[call.vm], port)
                caller = RawCaller(0, *found)
                await caller.send("\r\n".join(lines).encode() + b"\r\n\r\n")
                call.answer.data = await found[0].read(65536)
                call.first_at = time.monotonic()
                await caller.read(call.answer)
        except TimeoutError:
            call.is_open = True
        except OSError:
            pass  # the VM was killed
        call.ended_at = time.monotonic()
        if caller is not None:
            caller.close()

    # harms

    async def _harm_until(self, until: float) -> None:
        while self.harms:
            await asyncio.sleep(self.fault_random.uniform(SETTLE_S, 2 * SETTLE_S))
            if time.monotonic() > until - 1.0:
                return
            count = self.fault_random.randint(1, min(2, len(self.harms)))
            names = self.fault_random.sample(self.harms, count)
            span = Span(time.monotonic())
            self.disturbances.append(span)
            self.faults.append(f"{'+'.join(names)}@{span.begin - self.started_at:.1f}")
            await asyncio.gather(*(getattr(self, f"_{name}")() for name in names))
            span.end = time.monotonic()

    async def _lose_datagrams(self) -> None:
        """Lose the datagrams between two halves of the VMs for a while."""
        half = self.fault_random.sample(list(self.hosts), self.vms // 2)
        self.relay.half = frozenset(half)
        await asyncio.sleep(self.fault_random.uniform(1.0, 4.0))
        self.relay.half = frozenset()

    async def _silence_server(self) -> None:
        """Let a server answer nothing for a while."""
        server = self.fault_random.choice(list(self.servers))
        server.running.clear()
        await asyncio.sleep(self.fault_random.uniform(0.5, 3.0))
        server.running.set()

    # the promises

    def _check(self) -> list[str]:
        kinds = (self._find_runs, self._find_passed_over, self._find_overfilled)
        return [line for find in (*kinds, self._find_open) for line in find()]

    def _is_calm(self, at: float) -> bool:
        spans = self.disturbances
        return not any(span.begin <= at < span.end + SETTLE_S for span in spans)

    def _show_at(self, at: float) -> str:
        return f"{at - self.started_at:.2f} s"

    def _find_runs(self) -> list[str]:
        """Return requests that ran twice, or ran although they were refused."""
        runs = self.servers.runs
        twice = [
            f"{name} ran {count} times" for name, count in runs.items() if count > 1
        ]
        return twice + [
            f"{call.id} ran, got {call.answer.status} from {call.vm} at "
            f"{self._show_at(call.ended_at)}"
            for call in self.calls
            if call.is_refused and runs[call.id]
        ]

    def _find_passed_over(self) -> list[str]:
        """Return refusals after which the VM started a less urgent request it had."""
        broken = []
        for refused in self.calls:
            at = refused.ended_at
            if not refused.is_refused or not self._is_calm(at):
                continue
            until = at + FORECAST_SHARE * (refused.deadline_at - at)
            started = [
                (self._find_reached(call), call.id, call.priority)
                for call in self.calls
                if call.vm == refused.vm
                and call.priority > refused.priority
                and call.sent_at < at - TURN_S
                and at + TURN_S < self._find_reached(call) < until
            ]
            if started:
                first_at, name, priority = min(started)
                broken.append(
                    f"{refused.vm} refused {refused.id} of priority {refused.priority} "
                    f"at {self._show_at(at)}, sent at {self._show_at(refused.sent_at)},"
                    f" and started {len(started)} less urgent ones, {name} of priority "
                    f"{priority} at {self._show_at(first_at)}"
                )
        return broken

    def _find_reached(self, call: Call) -> float:
        return self.servers.reached.get(call.id, (math.inf, ""))[0]

    def _find_overfilled(self) -> list[str]:
        """Return the moment at which the servers held most beyond the limit."""
        most = LIMIT + self.vms + math.ceil(self.per_s * REPORT_DELAY_S)
        arrivals = self.servers.arrivals.get(SERVICE, [])
        held = [(1 + SERVERS * a.mean, a.at) for a in arrivals if self._is_calm(a.at)]
        over = [pair for pair in held if pair[0] > most]
        if not over:
            return []
        return [
            f"servers held {max(over)[0]:.0f} at {self._show_at(max(over)[1])}, {most} "
            f"allowed; over that at {len(over)} of {len(held)} arrivals, first at "
            f"{self._show_at(over[0][1])}"
        ]

    def _find_open(self) -> list[str]:
        """Return calls without an end from VMs that were not paused shortly before."""
        return [
            f"{call.id} had no end from {call.vm} at {self._show_at(call.ended_at)}"
            for call in self.calls
            if call.is_open
            and not any(
                # A pause is recorded at its end.
                call.ended_at - PROMPT_S < at < call.ended_at + MAX_PAUSE_S
                for at in self.disturbed_at[call.vm]
            )
        ]

    def show(self) -> str:
        """Return what was done and what callers got."""
        outcomes = Counter(asked.outcome for asked in self.asked).most_common()
        got = ", ".join(f"{name} {count}" for name, count in outcomes)
        most = max(sum(held.values()) for held in self.held)
        return f"{self.pattern}; {got}; held {most} at most; {' '.join(self.faults)}"

    def measure_share(self, server_id: str) -> float:
        """Return the share of the requests that began to run at a server."""
        placed = [self.servers.reached[name][1] for name in self.servers.runs]
        return placed.count(server_id) / max(1, len(placed))

    def show_servers(self) -> str:
        """Return what each server held in each second, and its share of the runs."""
        lines, per_s = [], round(1 / REPORT_DELAY_S)
        for server in self.servers:
            held = [sample[server.id] for sample in self.held]
            seconds = [held[n : n + per_s] for n in range(0, len(held), per_s)]
            means = " ".join(f"{statistics.fmean(second):2.0f}" for second in seconds)
            share = self.measure_share(server.id)
            lines.append(f"    {server.id} share {share:.3f} held {means}")
        return "\n".join(lines)


def build_overload_config() -> dict:
    """Return a configuration with three priorities and three customers."""
    config = build_config()
    stream = config["routes"][1] | {"stream_resume": False, "max_attempts": 1}
    stream |= {"timeout_ms": 2 * DEADLINE_S * 1000}
    config["routes"] = [
        stream | {"name": f"p{n}", "path_prefix": f"/p{n}/", "priority": n}
        for n in PRIORITIES
    ]
    config["services"] = [{"name": SERVICE, "engine": {"capacity": SLOTS}}]
    config["tenants"] = [{"name": name, "api_keys": [name]} for name in CUSTOMERS]
    return config


def sum_up(asked: list[Asked], group: str = "all") -> dict[str, float]:
    """Return the shares of each outcome, and times of the first byte in seconds.

    Args:
        asked: what callers asked for.
        group: ``priority N``, a customer, both joined by a slash, or ``all``.
    """
    parts = group.split("/")
    chosen = [
        one
        for one in asked
        if {f"priority {one.priority}", one.customer, "all"}.issuperset(parts)
    ]
    outcomes = Counter(one.outcome for one in chosen)
    first = sorted(one.first_byte_s for one in chosen if one.outcome == "served")
    outcomes["in 1 s"] = sum(seconds <= PROMPT_S for seconds in first)
    row = {name: outcomes[name] / max(1, len(chosen)) for name in OUTCOMES}
    row["median"] = statistics.median(first) if first else math.nan
    row["p99"] = first[math.ceil(0.99 * len(first)) - 1] if first else math.nan
    return row | {"asked": len(chosen)}


def show_table(asked: list[Asked]) -> str:
    """Return what each priority and each customer got."""
    names = [f"priority {n}" for n in PRIORITIES]
    pairs = [f"{name}/{customer}" for name in names for customer in CUSTOMERS]
    lines = []
    for group in (*names, *CUSTOMERS, *pairs, "all"):
        row = sum_up(asked, group)
        lines = lines or [" " * 16 + " ".join(f"{name:>8}" for name in row)]
        figures = " ".join(f"{value:8.3f}" for value in row.values())
        lines.append(f"{group:<16}{figures}")
    return "\n".join(lines)


def show_trial(options: argparse.Namespace) -> int:
    """Play a trial with each seed and print what callers got."""
    first, _, last = options.seeds.partition("-")
    asked = []
    for seed in range(int(first), int(last or first) + 1):
        pattern, seconds = TRIALS[options.trial], options.seconds or TRIAL_S
        soak = OverloadSoak(
            seed, seconds, options.vms, pattern=pattern, contracts=options.contracts
        )
        asyncio.run(soak.run())
        print(f"seed {seed}: {soak.per_s:.1f} requests per second; {soak.show()}")
        print(soak.show_servers(), flush=True)
        asked += soak.asked
    print(f"{options.trial}, contracts={options.contracts}\n{show_table(asked)}")
    return 0


def draw_soak(
    seed: int, seconds: float, vms: int = 6, harms: tuple[str, ...] = HARMS
) -> OverloadSoak:
    """Return a run whose load the seed draws."""
    generator = random.Random(f"form-{seed}")
    load = generator.choice((1.3, 1.8, 2.5))
    weights = generator.choice(((1.0, 1.0, 1.0), (1.0, 1.0, 8.0)))
    pattern = LoadPattern(load, weights, reports=generator.choice((3, 4)))
    return OverloadSoak(seed, seconds, vms, harms, pattern=pattern)


def run_seed(seed: int, options: argparse.Namespace) -> list[str]:
    """Run one seed of the soak and print what it did."""
    harms = tuple(options.harms.split(",")) if options.harms else ()
    soak = draw_soak(seed, options.seconds or 20.0, options.vms, harms)
    return soak.run_and_show()


def main() -> int:
    """Run the trial or the soak and return the exit code."""
    parser = build_parser(__doc__, seconds=0.0, vms=OverloadSoak.vms)
    parser.add_argument("--trial", choices=TRIALS, help="load pattern to play")
    parser.add_argument("--harms", default=",".join(HARMS), help="joined by commas")
    parser.add_argument("--contracts", default="pressure", help="empty for none")
    options = parser.parse_args()
    return show_trial(options) if options.trial else run_seeds(options, run_seed)


if __name__ == "__main__":
    sys.exit(main())
