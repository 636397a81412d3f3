"""Overload of a service: a trial of what callers get, and a soak of the promises.

The trial plays a load pattern and prints a table; the soak plays overload while VMs are
killed, paused and restarted, datagrams between halves of the VMs are lost, the store
refuses and servers go silent.

    python -m features.overload_soak --trial priorities|customers|slow --seeds 1-3
    python -m features.overload_soak --seeds 1-10 --harms stop_vm,lose_datagrams

Promises, from what callers and servers observe: a request that got 429 or 503 never
ran, and none ran twice; an urgent request is not refused while its VM starts a less
urgent one; the servers hold no more than the service's limit allows; every caller has
an answer or a closed connection half a second after its deadline.
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
PATIENCE_S = 4.0
"""Seconds without a first byte after which callers disconnect, four times the route's
target. The callers here stay, so that what they get later is seen."""

HONOURED_SHARE = 1 / 3
"""Share of the time left up to which callers honour ``Retry-After``."""

PROMPT_S = 1.0
"""Seconds within which a first byte is in time, and a refusal at once."""


def compute_limit(capacity: int = SLOTS) -> int:
    """Return what the service can hold: slots and queue margin of each server."""
    return SERVERS * (capacity + max(1, capacity // 4))


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


TRIALS: dict[str, dict] = {
    # Priorities 0 and 1 need 0.9 of the throughput: no order could serve both if they
    # needed more than all of it.
    "priorities": {"load": 1.8, "priority_weights": (1.0, 1.0, 2.0)},
    "customers": {"load": 1.1, "weights": (1.0, 1.0, 8.0)},
    "slow": {"load": 0.9, "slowness": 3.0},
    "half": {"load": 0.5, "capacity": 24, "pace": 0.4, "reports": 3},
    "half_without_reports": {"load": 0.5, "capacity": 24, "pace": 0.4, "reports": 0},
    "two_thirds": {"load": 0.65, "capacity": 40, "pace": 0.4, "reports": 3},
}
"""Load patterns by name, attributes of the soak."""

TRIAL_S = 8.0


@dataclass
class Call:
    """One request to one VM.

    Attributes:
        deadline_at: when its caller needs the whole answer.
        ended_at: when the answer was whole, the connection closed or the caller left.
        is_first: whether it is the first try of its request.
        is_last: whether the caller did not repeat it.
    """

    id: str
    vm: str
    priority: int
    customer: str
    sent_at: float
    deadline_at: float
    first_at: float = math.inf
    ended_at: float = math.inf
    is_first: bool = True
    is_last: bool = True
    answer: RawAnswer = field(default_factory=RawAnswer)

    @property
    def is_refused(self) -> bool:
        """Whether the answer guarantees that the request never runs."""
        return self.answer.status in (429, 503)

    @property
    def first_byte_s(self) -> float:
        """Seconds from the caller's first try to the first byte of this answer."""
        return self.first_at - (self.deadline_at - DEADLINE_S)

    @property
    def outcome(self) -> str:
        """What became of it, one of :data:`OUTCOMES`."""
        if self.answer.status == 200 and self.answer.whole:
            return "served"
        if self.is_refused:
            is_prompt = self.ended_at - self.sent_at <= PROMPT_S
            return "refused" if is_prompt else "late 503"
        is_held = self.ended_at >= self.deadline_at - TURN_S
        return "held" if is_held or self.answer.status == 504 else "failed"


@dataclass
class OverloadSoak(SeriesSoak):
    """One run with one seed.

    Attributes:
        load: multiple of the servers' throughput that callers ask for.
        weights: load of each customer in relation to the others.
        priority_weights: the same of each priority.
        slowness: of one of the servers.
        reports: figures of the servers' load reports: 0, 3 or 4.
        contracts: the settings field that enables overload control by ``pressure``.
        capacity: requests that a server runs at a time.
        pace: factor by which all work takes longer than usual.
        calls: what callers sent.
        held: requests at each server, sampled each report delay.
        disturbances: when harm was done.
    """

    vms: int = 6
    load: float = 1.8
    weights: tuple[float, ...] = (1.0, 1.0, 1.0)
    priority_weights: tuple[float, ...] = (1.0, 1.0, 1.0)
    slowness: float = 1.0
    reports: int = 4
    contracts: str = "pressure"
    capacity: int = SLOTS
    pace: float = 1.0
    calls: list[Call] = field(default_factory=list)
    held: list[dict[str, int]] = field(default_factory=list)
    disturbances: list[Span] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.servers = OverloadServers(self.random, self.reports, self.capacity)
        self.relay = DatagramRelay(self.hosts)
        self.fixture.more_settings = {"contracts": self.contracts}

    def _list_callers(self):
        return [(self.per_s, self._ask)]

    async def _start(self) -> None:
        await self.fixture.store.start()
        if self.harms:
            await self.relay.start()
        value = json.dumps(build_overload_config(self.capacity)).encode()
        self.fixture.store.put("keyed.op", "config", value)
        for number in range(SERVERS):
            server = await self.servers.add(f"i-{number}", SERVICE)
            server.slowness = self.pace * (1.0 if number else self.slowness)
            self.fixture.backends[server.id] = server
            zone = DOMAINS[number]
            self.fixture.announce(server.id, SERVICE, zone=zone, capacity=self.capacity)
        self.per_s = self.load * self.servers.compute_throughput()
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

    async def _ask(self) -> None:
        [priority] = self.random.choices(PRIORITIES, self.priority_weights)
        [customer] = self.random.choices(CUSTOMERS, self.weights)
        deadline_at = time.monotonic() + DEADLINE_S
        vm = ""
        for is_repetition in (False, True):
            vm = self._choose_vm(vm)
            name, now = f"{len(self.calls)}", time.monotonic()
            call = Call(name, vm, priority, customer, now, deadline_at)
            call.is_first = not is_repetition
            self.calls.append(call)
            await self._call(call)
            if is_repetition or not call.is_refused:
                return
            call.is_last = False
            found = re.search(rb"retry-after: ([\d.]+)", call.answer.head)
            left_s = deadline_at - time.monotonic()
            pause_s = float(found[1]) if found else 0.0
            await asyncio.sleep(min(pause_s, HONOURED_SHARE * left_s))

    def _choose_vm(self, last: str) -> str:
        """Return a VM for a try; not the one of the try before."""
        return self.random.choice([name for name in self.running if name != last])

    async def _call(self, call: Call) -> None:
        left_s, caller = call.deadline_at - call.sent_at, None
        subject = self.random.randrange(SUBJECTS)
        lines = [f"POST /p{call.priority}/x HTTP/1.1", "Host: h.example"]
        lines += [f"Api-Key: {call.customer}", f"Attempt-Id: {call.id}"]
        # A repetition has the same body, so a VM can recognise it.
        body = f"{call.deadline_at:.6f}".encode()
        lines += [f"Deadline-Ms: {left_s * 1000:.0f}", f"Content-Length: {len(body)}"]
        lines += [f"Prefix-Hash: {subject + 16:x}:300,{call.id}:9"]
        try:
            async with asyncio.timeout(left_s + DEADLINE_MARGIN_S):
                port = self.fixture.ports[call.vm]
                found = await asyncio.open_connection(self.hosts[call.vm], port)
                caller = RawCaller(0, *found)
                await caller.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                call.answer.data = await found[0].read(65536)
                call.first_at = time.monotonic()
                await caller.read(call.answer)
        except OSError:
            pass  # the VM was killed, or the time is over
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

    def _show(self, at: float) -> str:
        return f"{at - self.started_at:.2f} s"

    def _find_runs(self) -> list[str]:
        """Return requests that ran twice, or ran although they were refused."""
        runs = self.servers.runs
        twice = [f"{name} ran at {ran}" for name, ran in runs.items() if len(ran) > 1]
        return twice + [
            f"{call.id} ran, got {call.answer.status} from {call.vm} at "
            f"{self._show(call.ended_at)}"
            for call in self.calls
            if call.is_refused and call.id in runs
        ]

    def _find_passed_over(self) -> list[str]:
        """Return refusals after which the VM started a less urgent request it had."""
        broken = []
        for refused in self.calls:
            at = refused.ended_at
            if not refused.is_refused or not self._is_calm(at):
                continue
            limit_at = min(refused.sent_at + PATIENCE_S, refused.deadline_at)
            until = at + FORECAST_SHARE * (limit_at - at)
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
                    f"at {self._show(at)}, sent at {self._show(refused.sent_at)},"
                    f" and started {len(started)} less urgent ones, {name} of priority "
                    f"{priority} at {self._show(first_at)}"
                )
        return broken

    def _find_reached(self, call: Call) -> float:
        return self.servers.reached.get(call.id, (math.inf, ""))[0]

    def _find_overfilled(self) -> list[str]:
        """Return the moment at which the servers held most beyond the limit."""
        most = (
            compute_limit(self.capacity)
            + self.vms
            + math.ceil(self.per_s * REPORT_DELAY_S)
        )
        arrivals = self.servers.arrivals.get(SERVICE, [])
        held = [(1 + SERVERS * a.mean, a.at) for a in arrivals if self._is_calm(a.at)]
        over = [self._show(at) for count, at in held if count > most]
        count, at = max(held, default=(0.0, 0.0))
        line = f"servers held {count:.0f} at {self._show(at)}, {most} allowed"
        return [f"{line}; {len(over)} times from {over[0]} on"] if over else []

    def _find_open(self) -> list[str]:
        """Return calls without an end from VMs that were not paused at either end.

        A VM counts the deadline of a request that it did not read from its wake.
        """
        return [
            f"{call.id} had no end from {call.vm} at {self._show(call.ended_at)}"
            for call in self.calls
            # A pause is recorded at its end.
            if call.ended_at >= call.deadline_at + DEADLINE_MARGIN_S
            and self.was_calm(call.vm, call.sent_at + MAX_PAUSE_S, MAX_PAUSE_S)
            and self.was_calm(call.vm, call.ended_at + MAX_PAUSE_S, MAX_PAUSE_S + 1.0)
        ]

    def show(self) -> str:
        """Return what was done and what callers got."""
        outcomes = Counter(
            call.outcome for call in self.calls if call.is_last
        ).most_common()
        got = ", ".join(f"{name} {count}" for name, count in outcomes)
        most = max(sum(held.values()) for held in self.held)
        form = f"load {self.load} {self.weights}, reports {self.reports}"
        return f"{form}; {got}; held {most} at most; {' '.join(self.faults)}"

    def measure_share(self, server_id: str) -> float:
        """Return the share of the requests that began to run at a server."""
        placed = [server for ran in self.servers.runs.values() for server in ran]
        return placed.count(server_id) / max(1, len(placed))

    def show_servers(self) -> str:
        """Return what each server held in each second, and its share of the runs."""
        lines, per_s = [], round(1 / REPORT_DELAY_S)
        for server in self.servers:
            held = " ".join(f"{sample[server.id]:2}" for sample in self.held[::per_s])
            share = self.measure_share(server.id)
            lines.append(f"    {server.id} share {share:.3f} held {held}")
        return "\n".join(lines)


def build_overload_config(capacity: int = SLOTS) -> dict:
    """Return a configuration with three priorities and three customers."""
    config = build_config()
    stream = config["routes"][1] | {"stream_resume": False, "max_attempts": 1}
    stream |= {"timeout_ms": 2 * DEADLINE_S * 1000}
    config["routes"] = [
        stream | {"name": f"p{n}", "path_prefix": f"/p{n}/", "priority": n}
        for n in PRIORITIES
    ]
    config["services"] = [{"name": SERVICE, "engine": {"capacity": capacity}}]
    config["tenants"] = [{"name": name, "api_keys": [name]} for name in CUSTOMERS]
    return config


def sum_up(calls: list[Call], group: str = "all") -> dict[str, float]:
    """Return the shares of each outcome, and times of the first byte in seconds.

    Args:
        calls: what callers sent; those that were repeated don't count.
        group: ``priority N``, a customer, both joined by a slash, or ``all``.
    """
    chosen = [
        call
        for call in calls
        if call.is_last
        and {f"priority {call.priority}", call.customer, "all"} >= set(group.split("/"))
    ]
    outcomes = Counter(call.outcome for call in chosen)
    first = sorted(c.first_byte_s for c in chosen if c.outcome == "served") or [
        math.nan
    ]
    outcomes["in 1 s"] = sum(seconds <= PROMPT_S for seconds in first)
    row = {name: outcomes[name] / max(1, len(chosen)) for name in OUTCOMES}
    p99 = first[math.ceil(0.99 * len(first)) - 1]
    return row | {"median": statistics.median(first), "p99": p99, "asked": len(chosen)}


def show_table(calls: list[Call]) -> str:
    """Return what each priority and each customer got."""
    names = [f"priority {n}" for n in PRIORITIES]
    pairs = [f"{name}/{customer}" for name in names for customer in CUSTOMERS]
    lines = []
    for group in (*names, *CUSTOMERS, *pairs, "all"):
        row = sum_up(calls, group)
        lines = lines or [" " * 16 + " ".join(f"{name:>8}" for name in row)]
        figures = " ".join(f"{value:8.3f}" for value in row.values())
        lines.append(f"{group:<16}{figures}")
    return "\n".join(lines)


async def play_trial(
    name: str, seeds: str, contracts: str = "pressure", seconds: float = TRIAL_S
) -> list[OverloadSoak]:
    """Play a trial with seeds, written FIRST-LAST, and return the runs."""
    first, _, last = seeds.partition("-")
    soaks = [
        OverloadSoak(seed, seconds, contracts=contracts, **TRIALS[name])
        for seed in range(int(first), int(last or first) + 1)
    ]
    for soak in soaks:
        await soak.run()
    return soaks


def show_trial(options: argparse.Namespace) -> int:
    """Play a trial and print what callers got."""
    name, contracts = options.trial, options.contracts
    soaks = asyncio.run(play_trial(name, options.seeds, contracts))
    for soak in soaks:
        print(f"seed {soak.seed}: {soak.per_s:.1f} requests per second; {soak.show()}")
        print(soak.show_servers())
    calls = [call for soak in soaks for call in soak.calls]
    print(f"{name}, contracts={contracts}\n{show_table(calls)}")
    return 0


def draw_soak(
    seed: int, seconds: float, vms: int = 6, harms: tuple[str, ...] = HARMS
) -> OverloadSoak:
    """Return a run whose load the seed draws."""
    generator = random.Random(f"form-{seed}")
    load = generator.choice((1.3, 1.8, 2.5))
    weights = generator.choice(((1.0, 1.0, 1.0), (1.0, 1.0, 8.0)))
    reports = generator.choice((3, 4))
    return OverloadSoak(
        seed, seconds, vms, harms, load=load, weights=weights, reports=reports
    )


def run_seed(seed: int, options: argparse.Namespace) -> list[str]:
    """Run one seed of the soak and print what it did."""
    harms = tuple(options.harms.split(",")) if options.harms else ()
    return draw_soak(seed, options.seconds, options.vms, harms).run_and_show()


def main() -> int:
    """Run the trial or the soak and return the exit code."""
    parser = build_parser(__doc__, seconds=20.0, vms=OverloadSoak.vms)
    parser.add_argument("--trial", choices=TRIALS, help="load pattern to play")
    parser.add_argument("--harms", default=",".join(HARMS), help="joined by commas")
    parser.add_argument("--contracts", default="pressure", help="empty for none")
    options = parser.parse_args()
    return show_trial(options) if options.trial else run_seeds(options, run_seed)


if __name__ == "__main__":
    sys.exit(main())
