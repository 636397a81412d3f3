"""Replays load patterns with the state machines of many VMs on one injected clock.

Each VM has its own directory, start limiter and exchange of hints; datagrams are handed
from one exchange to the others after the latency between VMs. Requests wait at their VM
in order of rank. Servers run as many requests as they have slots, queue the others, and
report their load with the head of an answer.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from ramppin.gateway.connection.datagrams import PeerHints
from ramppin.gateway.process.load.gossip import LoadGossip
from ramppin.gateway.process.membership.members import FleetMembers, MemberRecord
from ramppin.gateway.process.overload.demandgossip import DemandGossip
from ramppin.gateway.process.overload.fleetdemand import RANKS
from ramppin.gateway.process.overload.startlimiter import FleetStartLimiter
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.failuregossip import FailureGossip
from ramppin.gateway.process.routing.hints import MIN_PERIOD_S, HintExchange
from ramppin.gateway.process.routing.homes import PrefixHomes
from ramppin.gateway.process.routing.serverstate import BackendServer, ServerState
from ramppin.gateway.version.routing import ServiceSpec

SERVICE = "models"
START = 1000.0
STEP_S = 0.01
LATENCY_S = 0.001
HEAD_S = 0.1
"""Seconds from the begin of a request at a server to the head of its answer."""


@dataclass(frozen=True)
class Pattern:
    """A load pattern.

    Attributes:
        vms: number of VMs.
        domains: number of failure domains.
        servers: number of servers.
        slots: slots of each server.
        stay_s: mean seconds for which a request runs.
        load: demand as a multiple of what the servers complete.
        ranks: share of the demand by rank.
        states_slots: whether entries of servers state their slots.
        reports: whether servers report their load.
        spec: settings of the service.
        seed: seed of arrivals and times.
    """

    vms: int = 72
    domains: int = 4
    servers: int = 45
    slots: int = 24
    stay_s: float = 2.7
    load: float = 1.8
    ranks: tuple[float, ...] = (0.4, 0.3, 0.3)
    states_slots: bool = True
    reports: bool = True
    spec: ServiceSpec = field(default_factory=lambda: ServiceSpec(SERVICE))
    seed: int = 1

    @property
    def all_slots(self) -> int:
        return self.servers * self.slots

    @property
    def throughput_per_s(self) -> float:
        return self.all_slots / self.stay_s


class FleetLink:
    """Hands datagrams of one VM to the others."""

    def __init__(self, fleet: Fleet, vm: ReplayedVm) -> None:
        self._fleet = fleet
        self._vm = vm

    def send(self, hints: PeerHints, hosts: Iterable[str], port: int) -> None:
        self._fleet.deliver(self._vm, hints, hosts)

    def close(self) -> None:
        pass


class ReplayedServer:
    """A server with slots and a queue."""

    def __init__(self, fleet: Fleet, name: str, slots: int) -> None:
        self._fleet = fleet
        self.name = name
        self.slots = slots
        self.running: set[int] = set()
        self.queue: list[tuple[int, int, ReplayedVm, ServerState, float]] = []

    @property
    def held(self) -> int:
        return len(self.running) + len(self.queue)

    def accept(
        self, rank: int, vm: ReplayedVm, state: ServerState, sent_at: float
    ) -> None:
        number = next(self._fleet.numbers)
        heapq.heappush(self.queue, (rank, number, vm, state, sent_at))
        self.run_next()

    def run_next(self) -> None:
        while self.queue and len(self.running) < self.slots:
            _, number, vm, state, sent_at = heapq.heappop(self.queue)
            self.running.add(number)
            stay_s = self._fleet.draw_stay()
            self._fleet.call_later(
                min(HEAD_S, stay_s / 2), lambda v=vm, s=state: self.report(v, s)
            )
            self._fleet.call_later(
                stay_s,
                lambda n=number, v=vm, s=state, at=sent_at: self.finish(n, v, s, at),
            )

    def report(self, vm: ReplayedVm, state: ServerState) -> None:
        if self._fleet.pattern.reports:
            now = self._fleet.now
            state.note_load(len(self.running), len(self.queue), now)
            vm.limiter.note_slots(state.id, self.slots, now)

    def finish(
        self, number: int, vm: ReplayedVm, state: ServerState, sent_at: float
    ) -> None:
        self.running.discard(number)
        self.run_next()
        vm.note_ended(state, sent_at)

    def clear(self) -> None:
        """End all requests: the VMs that sent them are gone."""
        self.running.clear()
        self.queue.clear()


class ReplayedVm:
    """One VM: its state machines, and requests that wait in order of rank."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self._fleet = fleet
        self.name = f"vm-{number}"
        self.host = f"10.0.{number // 250}.{number % 250 + 1}"
        self.domain = f"domain-{number % fleet.pattern.domains}"
        self.phase_s = fleet.generator.random() * MIN_PERIOD_S
        self.visible: set[str] | None = None

    def open(self) -> None:
        """Start the process, with nothing but the tables of VMs and servers."""
        fleet = self._fleet
        self.waiting = [0] * RANKS
        self.started_of = [0] * RANKS
        self.members = FleetMembers(self.name, self.domain)
        for vm in fleet.vms:
            entry = msgspec.json.encode(MemberRecord(vm.host, vm.domain))
            self.members.apply_record(Record(vm.name, entry, 1), fleet.now)
        self.directory = ServerDirectory()
        for server in fleet.servers:
            self.directory.put(fleet.describe_server(server))
        self.limiter = FleetStartLimiter(
            self.directory,
            lambda service: fleet.pattern.spec,
            self.list_vms,
            self.members.find_failure_domain,
            self.domain,
        )
        self.demands = DemandGossip(
            self.limiter, self.directory.list_services, lambda: fleet.is_enabled
        )
        self.exchange = HintExchange(
            self.name,
            FleetLink(fleet, self),
            1,
            self.members,
            PrefixHomes(self.directory.is_open),
            FailureGossip(self.directory, self.domain),
            LoadGossip(self.directory),
            demands=self.demands,
        )

    def list_vms(self, now: float) -> list[str]:
        names = [self.name, *(m.vm for m in self.members.list_recent(now))]
        return [n for n in names if self.visible is None or n in self.visible]

    def receive(self, rank: int) -> None:
        """Receive a request: start it at once, or let it wait."""
        now = self._fleet.now
        if not any(self.waiting) and not self.limiter.is_busy(SERVICE, now):
            self.start(rank)
            return
        self.waiting[rank] += 1
        self.limiter.note_waiting(SERVICE, self.waiting, now)
        self.pump()

    def pump(self) -> None:
        """Start what may start, the most urgent requests first."""
        now = self._fleet.now
        for rank in range(RANKS):
            while self.waiting[rank] and self.limiter.may_start(SERVICE, rank, now):
                self.waiting[rank] -= 1
                self.limiter.note_waiting(SERVICE, self.waiting, now)
                self.start(rank)

    def start(self, rank: int) -> None:
        """Send a request to the less loaded one of two random servers."""
        fleet = self._fleet
        self.limiter.note_started(SERVICE, rank, fleet.now)
        self.started_of[rank] += 1
        states = [
            state
            for state in self.directory.list_open(SERVICE)
            if not state.health.is_suspect(fleet.now)
        ]
        pair = fleet.generator.sample(states, min(2, len(states)))
        state = min(pair, key=lambda found: found.find_known_load(fleet.now))
        state.in_flight += 1
        sent_at = fleet.now
        server = fleet.find_server(state.server.name)
        fleet.call_later(LATENCY_S, lambda: server.accept(rank, self, state, sent_at))

    def note_ended(self, state: ServerState, sent_at: float) -> None:
        now = self._fleet.now
        state.in_flight -= 1
        state.times.stay.note(now - sent_at)
        self.limiter.note_answered(SERVICE, now - sent_at, now)
        self.pump()


@dataclass
class Sample:
    """What servers and VMs held at one moment."""

    at: float
    held: int
    idle: int
    waiting: int


class Fleet:
    """VMs and servers on one clock.

    Args:
        pattern: the load pattern.
    """

    def __init__(self, pattern: Pattern) -> None:
        self.pattern = pattern
        self.generator = random.Random(pattern.seed)
        self.now = START
        self.numbers = itertools.count()
        self.is_enabled = True
        self.samples: list[Sample] = []
        self.demand_messages = 0
        self.is_cut: Callable[[ReplayedVm, ReplayedVm], bool] = lambda a, b: False
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.servers = [
            ReplayedServer(self, f"s{number}", pattern.slots)
            for number in range(pattern.servers)
        ]
        self._by_name = {server.name: server for server in self.servers}
        self.vms = [ReplayedVm(self, number) for number in range(pattern.vms)]
        self._by_host = {vm.host: vm for vm in self.vms}
        for vm in self.vms:
            vm.open()

    def describe_server(self, server: ReplayedServer) -> BackendServer:
        slots = server.slots if self.pattern.states_slots else 0
        return BackendServer(server.name, SERVICE, "127.0.0.1", 1, slots=slots)

    def find_server(self, name: str) -> ReplayedServer:
        return self._by_name[name]

    def draw_stay(self) -> float:
        return self.pattern.stay_s * self.generator.uniform(0.5, 1.5)

    def call_later(self, delay_s: float, work: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self.numbers), work))

    def deliver(self, sender: ReplayedVm, hints: PeerHints, hosts) -> None:
        hosts = list(hosts)
        if hints.demands:
            self.demand_messages += len(hosts)
        for host in hosts:
            vm = self._by_host[host]
            if not self.is_cut(sender, vm):
                self.call_later(
                    LATENCY_S,
                    lambda v=vm: v.exchange.apply(hints, sender.host, self.now),
                )

    def restart(self) -> None:
        """Restart all VMs at once; servers end the requests of lost connections."""
        self._events.clear()
        for server in self.servers:
            server.clear()
        for vm in self.vms:
            vm.open()

    def play(self, seconds: float) -> list[Sample]:
        """Play for some seconds and return the samples of that time."""
        first = len(self.samples)
        for _ in range(round(seconds / STEP_S)):
            self._step()
        return self.samples[first:]

    def _step(self) -> None:
        end = self.now + STEP_S
        rate = self.pattern.load * self.pattern.throughput_per_s / len(self.vms)
        while self._events and self._events[0][0] <= end:
            at, _, work = heapq.heappop(self._events)
            self.now = max(self.now, at)
            work()
        self.now = end
        ranks = range(len(self.pattern.ranks))
        for vm in self.vms:
            if self.generator.random() < rate * STEP_S:
                [rank] = self.generator.choices(ranks, self.pattern.ranks)
                vm.receive(rank)
            elif any(vm.waiting):
                vm.pump()
            if (end - vm.phase_s) % MIN_PERIOD_S < STEP_S:
                vm.exchange.send_due(end)
        self.samples.append(
            Sample(
                end,
                sum(server.held for server in self.servers),
                sum(max(0, s.slots - len(s.running)) for s in self.servers),
                sum(sum(vm.waiting) for vm in self.vms),
            )
        )

    def count_in_flight(self) -> int:
        """Return the requests that VMs have at servers or on the way there."""
        return sum(state.in_flight for vm in self.vms for state in vm.directory)
