"""A soak of VMs that are partitioned from backend servers: real processes.

Some VMs lose their links to all servers, to those of one service or of one failure
domain; callers, the store and the other VMs still reach them. New connections hang, are
refused or are reset; open ones are silent, reset, live on, or carry requests and no
answers. Meanwhile VMs are killed, stopped for a while and told to stop, and the store
refuses. Promises: from 3 s after a cut from all servers, first tries at the VMs cut off
are served two thirds as often as those at the others; from 1.5 s on 0.95 as often; no
request that may run once runs twice; what was refused never ran; answers are whole and
in order; work ends half a second after its caller has left.

    python -m features.partition_soak --seconds 14 --seeds 1-50
    python -m features.partition_soak --trial hang --seeds 1-3
    python -m features.partition_soak --silence 1.3 --seeds 1-3

Other trials are refused, live, reset and one_way.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import statistics
import sys
import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from functools import partial
from pathlib import Path

from features.cut_vm import CUT_VARIABLE, Cut
from features.gateway_support import RawAnswer, RawCaller
from features.partition_servers import EVENTS, LONG_TARGET, PLAIN, RunServers
from features.platform_support import build_config
from features.soak_runs import build_parser, run_seeds
from features.soak_vms import DOMAINS, SeriesSoak
from standins.common import wait_for

MODEL = "llm"
ENGINES, PLAIN_SERVERS = 8, 4
PLAIN_PER_S, PROMPTS_PER_S, LEAVERS_PER_S = 40.0, 40.0, 2.0
DEADLINE_MS = 6000

FORMS = {
    "hang": Cut("hang", "silent"),
    "refused": Cut("refused", "reset"),
    "live": Cut("refused", "pass"),
    "reset": Cut("reset", "reset"),
    "one_way": Cut("hang", "one_way"),
}
"""What becomes of new and of open connections."""

SILENCE_GAP_S = 0.7
"""Seconds between two silences."""

RULE_S, RULE_SHARE = 3.0, 2 / 3
"""Seconds after a cut began, and the share of the others' rate, by the users' rule."""

TARGET_S, TARGET_SHARE = 1.5, 0.95
"""The same by the project's target."""

LEAVE_S = 0.5
"""Seconds within which work ends whose caller has left."""

CALM_S = 3.0
"""Seconds after a disturbance in which a VM's requests are not counted."""

CUT_AT_S = 2.0
"""Seconds until the cut of a trial begins."""

HARMS = (
    "cut_some",
    "cut_some",
    "cut_most",
    "cut_domain",
    "cut_service",
    "kill_vm",
    "stop_vm",
    "drain_vm",
    "refuse_store",
)


@dataclass
class Tries:
    """First tries at VMs of one kind, and how many were served."""

    asked: int = 0
    served: int = 0

    def note(self, served: bool) -> None:
        """Count a try."""
        self.asked += 1
        self.served += served

    @property
    def share(self) -> float:
        """Of the tries that were served."""
        return self.served / self.asked if self.asked else 1.0


@dataclass
class CutSpan:
    """A cut of some VMs from all servers."""

    vms: frozenset[str]
    begin: float
    end: float


@dataclass
class PartitionSoak(SeriesSoak):
    """One run with one seed.

    Attributes:
        trial: form of the only cut, at 2 s and until the end; empty for harms.
        cut_share: share of the VMs that a trial cuts off.
        silence_s: seconds for which one server after the other is silent, in a run
            without other harms; 0 for none.
        plain_s: how long plain requests took that were served, by whether their VM was
            cut off.
        held_s: how long VMs cut off held requests that they did not serve.
        unserved: what these VMs tell of them.
    """

    trial: str = ""
    cut_share: float = 0.5
    silence_s: float = 0.0
    statuses: Counter = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)
    spans: list[CutSpan] = field(default_factory=list)
    held_s: list[float] = field(default_factory=list)
    plain_s: dict[bool, list[float]] = field(
        default_factory=lambda: {True: [], False: []}
    )
    unserved: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.servers = RunServers(self.random)
        self.fixture.program = "features.cut_vm"
        self._ids = 0
        self._cut_until = float("-inf")
        self._stops: list[tuple[str, float, float]] = []
        self._outages: list[tuple[str, float, float]] = []
        self.excused: list[str] = []
        self.events: list[str] = []
        self._tries: dict[tuple[float, bool], Tries] = {
            (after_s, cut): Tries()
            for after_s in (RULE_S, TARGET_S)
            for cut in (False, True)
        }

    def _list_callers(self):
        return [
            (PLAIN_PER_S, partial(self._ask, "/a/x")),
            (PROMPTS_PER_S, partial(self._ask, "/s/x")),
            (LEAVERS_PER_S, self._ask_and_leave),
        ]

    async def _start(self) -> None:
        await self.fixture.store.start()
        config = build_config()
        config["services"][0] |= {"max_connections": 400}
        value = json.dumps(config).encode()
        self.fixture.store.put("keyed.op", "config", value)
        for number in range(ENGINES + PLAIN_SERVERS):
            service = MODEL if number < ENGINES else PLAIN
            server = await self.servers.add(service, DOMAINS[number % len(DOMAINS)])
            self.fixture.backends[server.id] = server
            self.fixture.announce(server.id, service, zone=server.domain)
        first, *rest = self.hosts
        await self._begin(first)
        await asyncio.gather(*map(self._begin, rest))
        await wait_for(self._know_each_other, "VMs know each other")

    async def _stop(self) -> None:
        await self.callers.cancel()
        await self.fixture.stop()

    async def _begin(self, vm: str) -> None:
        self.fixture.more_environment = {
            CUT_VARIABLE: str(self._find_cut_file(vm)),
            "RAMPPIN_TEST_STORE_PORT": str(self.fixture.store.port),
        }
        await super()._begin(vm)
        self._note_event(f"{vm} started")
        now = time.monotonic()
        self._outages = [
            (name, begin, now if name == vm and end == float("inf") else end)
            for name, begin, end in self._outages
        ]

    async def _kill(self, vm: str) -> None:
        self._outages.append((vm, time.monotonic(), float("inf")))
        await super()._kill(vm)

    async def _harm_until(self, until: float) -> None:
        if self.silence_s:
            await self._silence_servers(until)
            return
        if not self.trial:
            await super()._harm_until(until)
            return
        await asyncio.sleep(CUT_AT_S)
        count = round(self.cut_share * self.vms)
        vms = self.fault_random.sample(list(self.hosts), count)
        await self._cut(vms, FORMS[self.trial], until - time.monotonic())

    # cuts

    def _find_cut_file(self, vm: str) -> Path:
        return Path(self.fixture.scratch.name) / f"{vm}.cut"

    def _write_cut(self, vm: str, cut: Cut) -> None:
        path = self._find_cut_file(vm)
        path.with_suffix(".new").write_text(json.dumps(asdict(cut)))
        path.with_suffix(".new").replace(path)

    async def _cut(self, vms: list[str], cut: Cut, for_s: float) -> None:
        """Cut VMs off for a while; one cut at a time, or none might reach a service."""
        begin = time.monotonic()
        self._note_event(f"{cut.new}/{cut.open} {' '.join(sorted(vms))}")
        self._cut_until = begin + for_s
        if cut.ports is None:
            self.spans.append(CutSpan(frozenset(vms), begin, begin + for_s))
        else:
            for vm in vms:
                self.disturbed_at[vm].append(begin + for_s)
        for vm in vms:
            self._write_cut(vm, cut)
        await asyncio.sleep(for_s)
        for vm in vms:
            self._write_cut(vm, Cut())

    def _note_event(self, what: str) -> None:
        self.events.append(f"{what} @{time.monotonic() - self.started_at:.2f}")

    def _draw_form(self) -> Cut:
        return FORMS[self.fault_random.choice(list(FORMS))]

    async def _cut_share(self, share: float) -> None:
        form, for_s = self._draw_form(), self.fault_random.uniform(2.0, 6.0)
        vms = self.fault_random.sample(list(self.hosts), round(share * self.vms))
        if time.monotonic() >= self._cut_until:
            await self._cut(vms, form, for_s)

    async def _cut_some(self) -> None:
        """Cut half of the VMs off from all servers."""
        await self._cut_share(0.5)

    async def _cut_most(self) -> None:
        """Cut three quarters of the VMs off from all servers."""
        await self._cut_share(0.75)

    async def _cut_part(self, ports: list[int]) -> None:
        form, for_s = self._draw_form(), self.fault_random.uniform(1.0, 3.0)
        vms = self.fault_random.sample(list(self.hosts), self.vms // 2)
        if time.monotonic() >= self._cut_until:
            await self._cut(vms, Cut(form.new, form.open, ports), for_s)

    async def _cut_domain(self) -> None:
        """Cut VMs off from the servers of one failure domain."""
        domain = self.fault_random.choice(DOMAINS)
        servers = self.servers.servers
        await self._cut_part([s.port for s in servers if s.domain == domain])

    async def _cut_service(self) -> None:
        """Cut VMs off from the servers of one service."""
        service = self.fault_random.choice((MODEL, PLAIN))
        servers = self.servers.servers
        await self._cut_part([s.port for s in servers if s.service == service])

    async def _silence_servers(self, until: float) -> None:
        """Let one sound server after the other be silent for a while."""
        while time.monotonic() < until - self.silence_s - SILENCE_GAP_S:
            await asyncio.sleep(SILENCE_GAP_S)
            server = self.fault_random.choice(self.servers.servers)
            server.running.clear()
            await asyncio.sleep(self.silence_s)
            server.running.set()

    async def _stop_vm(self) -> None:
        # The draw is repeated there.
        state = self.fault_random.getstate()
        vm = self.fault_random.choice(list(self.hosts))
        self.fault_random.setstate(state)
        began = time.monotonic()
        self._stops.append((vm, began, float("inf")))
        self._note_event(f"{vm} stopped")
        await super()._stop_vm()
        self._note_event(f"{vm} goes on")
        self._stops.remove((vm, began, float("inf")))
        self._stops.append((vm, began, time.monotonic()))

    async def _drain_vm(self) -> None:
        """Stop a VM as planned, and start it again."""
        vm = self.fault_random.choice(list(self.hosts))
        if self.running.pop(vm, None) is None:
            return
        self.disturbed_at[vm].append(time.monotonic())
        self._outages.append((vm, time.monotonic(), float("inf")))
        process = self.fixture.processes[vm]
        process.send_signal(signal.SIGTERM)
        await process.wait()
        await self._begin(vm)

    # callers

    def _build_lines(self, path: str, request_id: str) -> list[str]:
        lines = [f"POST {path} HTTP/1.1", "Host: h.example", "Api-Key: k1"]
        lines += [f"Attempt-Id: {request_id}", f"Deadline-Ms: {DEADLINE_MS}"]
        if path.startswith("/s/"):
            subject = self.random.randrange(30)
            lines.append(f"Prefix-Hash: {subject + 16:x}:500,{self._ids:x}:9")
        return [*lines, "Content-Length: 2"]

    async def _ask(self, path: str) -> None:
        vm = self.random.choice(list(self.hosts))
        if vm not in self.running:
            return
        self._ids += 1
        request_id = f"{vm}_{self._ids}"
        sent_at = time.monotonic()
        answer = await self.send(vm, self._build_lines(path, request_id), b"hi")
        now = time.monotonic()
        served = answer.status == 200 and answer.whole
        self.statuses[200 if served else answer.status or "closed"] += 1
        self._check_answer(path, request_id, answer)
        if self.was_calm(vm, now, CALM_S) and vm in self.running:
            is_late = self._note_first_try(vm, sent_at, now, served)
            if served and path.startswith("/a/"):
                self.plain_s[is_late].append(now - sent_at)
            if is_late and not served:
                self.unserved.append(await self._explain(vm, request_id, answer))

    async def _explain(self, vm: str, request_id: str, answer: RawAnswer) -> str:
        """Return what a VM tells operators of a request that it did not serve."""
        target = f"/explain/{request_id}"
        found = await self.fixture.ask_operator(vm, self.hosts[vm], target)
        tried = " ".join(
            f"{d.get('through') or d['server']}:{d.get('end', '')}:{d['rule']}"
            for d in json.loads(found).get("decisions", [])
        )
        at = f"{time.monotonic() - self.started_at:.2f}"
        return f"{request_id} @{at}: {answer.status} {tried}"

    def _note_first_try(
        self, vm: str, sent_at: float, now: float, served: bool
    ) -> bool:
        """Count a first try; return whether its VM should have served it."""
        is_due = False
        for span in self.spans:
            if not self._has_way(span, sent_at) or not self._has_way(span, now):
                continue
            for after_s in (RULE_S, TARGET_S):
                if span.begin + after_s <= sent_at < span.end:
                    self._tries[after_s, vm in span.vms].note(served)
            is_late = span.begin + TARGET_S <= sent_at < span.end
            if is_late and vm in span.vms:
                is_due = True
                if not served:
                    self.held_s.append(now - sent_at)
        return is_due

    def _has_way(self, span: CutSpan, at: float) -> bool:
        """Return whether a VM that runs reaches the servers during a cut."""
        absences = (*self._stops, *self._outages)
        absent = {vm for vm, begin, end in absences if begin <= at < end}
        return bool(set(self.hosts) - span.vms - absent)

    def _check_answer(self, path: str, request_id: str, answer: RawAnswer) -> None:
        runs = self.servers.runs.get(request_id, 0)
        if path.startswith("/a/") and runs > 1:
            self.broken.append(f"{request_id} ran {runs} times")
        if answer.status in (429, 503) and runs:
            self.broken.append(f"{request_id} ran and was refused: {answer.status}")
        if answer.status != 200 or not answer.whole:
            return
        wanted = request_id.encode()
        if path.startswith("/s/"):
            numbers = range(1, EVENTS + 1)
            wanted = b"".join(b"id: %d\ndata: %b\n\n" % (n, wanted) for n in numbers)
        if answer.body != wanted:
            self.broken.append(f"{request_id} got {answer.body[:80]!r}")

    async def _ask_and_leave(self) -> None:
        """Send a request, leave while it runs, and check that its work ends."""
        vm = self.random.choice(list(self.hosts))
        if vm not in self.running:
            return
        self._ids += 1
        request_id = f"{vm}_{self._ids}"
        lines = self._build_lines(LONG_TARGET.decode(), request_id)
        try:
            found = await asyncio.open_connection(
                self.hosts[vm], self.fixture.ports[vm]
            )
        except OSError:
            return
        caller = RawCaller(0, *found)
        await caller.send("\r\n".join(lines).encode() + b"\r\n\r\nhi")
        await asyncio.sleep(self.random.uniform(0.05, 0.8))
        caller.close()
        left_at = time.monotonic()
        await asyncio.sleep(LEAVE_S + 0.3)
        calm = self.was_calm(vm, time.monotonic(), CALM_S) and vm in self.running
        if self.servers.runs.get(request_id) and calm and not self._is_cut_at(left_at):
            ended_at = self.servers.ended_at.get(request_id, float("inf"))
            if ended_at > left_at + LEAVE_S:
                worked_s = ended_at - left_at
                # A stopped VM notices nothing, nor does its server.
                stops = self._list_stopped(left_at)
                if vm in stops:
                    self.excused.append(f"{request_id} at {vm}")
                    return
                told = await self._explain(vm, request_id, RawAnswer())
                through = [stopped for stopped in stops if stopped in told]
                if through:
                    self.excused.append(f"{request_id} through {through[0]}")
                    return
                self.broken.append(
                    f"{request_id} worked on for {worked_s:.2f} s after its caller "
                    f"left at {left_at - self.started_at:.2f}: {told}; stops: {stops}"
                )

    def _list_stopped(self, left_at: float) -> list[str]:
        """Return the VMs that were stopped while the work should have ended."""
        until = left_at + LEAVE_S
        return [vm for vm, begin, end in self._stops if begin < until and end > left_at]

    def _is_cut_at(self, moment: float) -> bool:
        """Return whether a cut began at most a second before; it holds closes up."""
        return any(
            span.begin <= moment + LEAVE_S < span.begin + 1 for span in self.spans
        )

    # the promises

    def _check(self) -> list[str]:
        broken = list(self.broken)
        for after_s, share in ((RULE_S, RULE_SHARE), (TARGET_S, TARGET_SHARE)):
            cut, others = self._tries[after_s, True], self._tries[after_s, False]
            failed = cut.asked - cut.served + others.asked - others.served
            allowed = 10 + (cut.asked + others.asked) / 50
            is_kept = cut.share >= share * others.share
            if not is_kept and (after_s == TARGET_S or failed > allowed):
                broken.append(
                    f"from {after_s} s on VMs cut off served {cut.served} of "
                    f"{cut.asked}, the others {others.served} of {others.asked}"
                )
        return broken

    def show(self) -> str:
        """Return what was done and what callers got."""
        cut, others = self._tries[TARGET_S, True], self._tries[TARGET_S, False]
        statuses = " ".join(f"{s}:{n}" for s, n in self.statuses.most_common())
        repeated = sum(runs > 1 for runs in self.servers.runs.values())
        held = sorted(self.held_s)
        middle = f"{held[len(held) // 2]:.3f}" if held else "none"
        medians = [
            statistics.median(self.plain_s[is_cut] or [0.0]) * 1000
            for is_cut in (True, False)
        ]
        return (
            f"median {medians[0]:.0f} ms cut off, {medians[1]:.0f} ms else; "
            f"cut off {cut.served} of {cut.asked}, others {others.served} of "
            f"{others.asked}; failed ones held {middle} s; answers {statuses}; "
            f"{repeated} ran again; "
            f"{' '.join(self.faults)}; {', '.join(self.events)}; "
            f"worked on for a stopped VM: {self.excused}; "
            f"unserved: {self.unserved[:4]}"
        )


def draw_soak(seed: int, seconds: float, vms: int) -> PartitionSoak:
    """Return a run whose harms the seed draws."""
    generator = random.Random(f"form-{seed}")
    harms = generator.sample(HARMS, generator.randint(4, len(HARMS)))
    return PartitionSoak(seed, seconds, vms, tuple(sorted({"cut_some", *harms})))


def run_seed(seed: int, options: argparse.Namespace) -> list[str]:
    """Run one seed and print what it did."""
    if options.trial:
        soak = PartitionSoak(
            seed,
            options.seconds,
            options.vms,
            trial=options.trial,
            cut_share=options.share,
        )
    elif options.silence:
        soak = PartitionSoak(
            seed, options.seconds, options.vms, silence_s=options.silence
        )
    elif options.harms:
        harms = tuple(options.harms.split(","))
        soak = PartitionSoak(seed, options.seconds, options.vms, harms)
    else:
        soak = draw_soak(seed, options.seconds, options.vms)
    return soak.run_and_show()


def main() -> int:
    """Run seeds and return the exit code."""
    parser = build_parser(__doc__, seconds=14.0, vms=8)
    parser.add_argument("--harms", default="", help="kinds of harm, by commas")
    parser.add_argument("--trial", default="", choices=["", *FORMS])
    parser.add_argument("--silence", type=float, default=0.0, help="seconds")
    parser.add_argument("--share", type=float, default=0.5, help="of VMs cut off")
    return run_seeds(parser.parse_args(), run_seed)


if __name__ == "__main__":
    sys.exit(main())
