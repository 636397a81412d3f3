"""Many VMs before few plain servers: what stalls, and what comes in bunches.

The VMs choose with the gateway's own code. Servers report no load. A server may go
silent, VMs may freeze and wake, callers may come in bunches; a server that is silent
keeps what it was sent, also what its VM has given up.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

import msgspec

from bench.vms.clock import LATENCY_S, ModelVm, Stall, VmClock
from bench.vms.result import Choice, Result
from ramppin.gateway.connection.datagrams import PeerHints
from ramppin.gateway.process.membership.health import Outcome
from ramppin.gateway.process.routing.nearestselection import NearestSelection
from ramppin.gateway.process.routing.selection import SelectionRequest
from ramppin.gateway.process.routing.serverstate import BackendServer, ServerState

SERVICE = "plain"
SLOTS = 6
WORK_S = 0.0225
"""Mean time that a server works on a request, as the users' plain servers do."""

TIME_LIMIT_S = 0.676
"""Time after which a VM gives a request up: the shortest limit of the users' routes."""

WARM_UP_S = 3.0
"""Seconds at the start that are not counted."""


@dataclass(frozen=True, slots=True)
class Bunch:
    """Callers of one failure domain that come at one moment."""

    at: float
    callers: int
    domain: int


@dataclass(frozen=True, slots=True)
class PlainPattern:
    """One pattern of load and stalls.

    Attributes:
        name: what it shows.
        vms: VMs that requests come in at.
        domains: failure domains; each has one server.
        per_s: requests a second, fleet-wide.
        silent: spans in which a server answers nothing.
        frozen: spans in which the VMs of a failure domain freeze.
        bunches: callers that come at one moment.
        first_domain_share: share of the requests that come in at the first failure
            domain, beyond its part.
        seconds: length of the run.
        seed: of everything random.
    """

    name: str
    vms: int = 87
    domains: int = 4
    per_s: float = 121.0
    silent: tuple[Stall, ...] = ()
    frozen: tuple[Stall, ...] = ()
    bunches: tuple[Bunch, ...] = ()
    first_domain_share: float = 0.0
    seconds: float = 15.0
    seed: int = 1


def list_plain_patterns(seed: int) -> list[PlainPattern]:
    """Return the patterns that the table shows, each with one seed."""
    silent = (Stall(4.0, 2.0, 0), Stall(7.5, 0.6, 1), Stall(9.0, 1.2, 2))
    frozen = tuple(Stall(4.0 + 1.6 * n, 1.2, n % 4) for n in range(6))
    bunches = tuple(Bunch(4.0 + 0.9 * n, 30, n % 4) for n in range(10))
    stalls = [(4.0 + 2.0 * n, server) for n in range(4) for server in range(4)]
    most_stall = tuple(Stall(at, 0.6, server) for at, server in stalls if server < 3)
    all_stall = tuple(Stall(at, 0.5, server) for at, server in stalls)
    within = tuple(Bunch(4.3 + n, 30, n % 4) for n in range(9))
    patterns = [
        PlainPattern("calm"),
        PlainPattern("one domain's callers", first_domain_share=0.7),
        PlainPattern("silent server", silent=silent),
        PlainPattern("frozen VMs", frozen=frozen),
        PlainPattern("bunches", bunches=bunches),
        PlainPattern("most servers stall", silent=most_stall, bunches=within),
        PlainPattern("all servers stall", silent=all_stall, bunches=within),
        PlainPattern("all", silent=silent, frozen=frozen, bunches=bunches),
    ]
    return [replace(pattern, seed=seed) for pattern in patterns]


@dataclass(slots=True, eq=False)
class PlainRequest:
    """One request on its way.

    Attributes:
        vm: that sent it.
        state: what that VM knows of the server.
        sent_at: when.
        work_s: time that the server needs.
        ended: whether the VM has an answer or gave it up.
        cancelled: whether the server need not answer.
    """

    vm: ModelVm
    state: ServerState
    sent_at: float
    work_s: float
    ended: bool = False
    cancelled: bool = False


@dataclass
class PlainServer:
    """A server with slots and a queue that reports no load.

    Attributes:
        silent_until: the clock's time until which it does nothing.
    """

    id: str
    silent_until: float = 0.0
    running: int = 0
    waiting: deque[PlainRequest] = field(default_factory=deque)

    @property
    def load(self) -> int:
        """Requests that it holds."""
        return self.running + len(self.waiting)


@dataclass(frozen=True, slots=True)
class Telling:
    """What VMs hear of each other.

    Attributes:
        waits: whether they tell each other requests that wait.
        lost_share: share of the datagrams that are lost.
        deaf_share: share of the VMs that are cut off from all others.
    """

    waits: bool = True
    lost_share: float = 0.0
    deaf_share: float = 0.0


WHOLE = Telling()


class PlainFleet(VmClock):
    """All VMs and plain servers of one run.

    Args:
        pattern: the load.
        telling: what VMs hear of each other.
    """

    def __init__(self, pattern: PlainPattern, telling: Telling = WHOLE) -> None:
        change = {} if telling.waits else {"change_hints": leave_waits_out}
        super().__init__(pattern.vms, pattern.domains, **change)
        self.pattern = pattern
        self._telling = telling
        self._loss = random.Random(pattern.seed + 1)
        self._deaf = {vm.host for vm in self.vms[: self._count_deaf()]}
        self._random = random.Random(pattern.seed)
        self._servers = [
            PlainServer(f"plain-{number}") for number in range(pattern.domains)
        ]
        self._strategies = {
            vm.name: NearestSelection(
                vm.domain, generator=random.Random(f"{pattern.seed} {vm.name}")
            )
            for vm in self.vms
        }
        self.given_up = 0

    def run(self) -> Result:
        """Run the pattern to its end."""
        self.introduce_vms()
        self.start_turns(self._random.random)
        for number, server in enumerate(self._servers):
            entry = BackendServer(server.id, SERVICE, "127.0.0.1", 1, f"d{number}")
            for vm in self.vms:
                vm.directory.put(entry)
        self._plan_stalls()
        for at, vm in self._draw_requests():
            self.run_until(at)
            self.call_at_vm(vm, self._place, vm)
        return self.tally.sum_up(self.pattern, "as it is")

    def deliver(self, sender: str, hints: PeerHints, hosts: list[str]) -> None:
        """Deliver a VM's message to those that hear it."""
        if self._by_name[sender].host in self._deaf:
            return
        lost_share = self._telling.lost_share
        heard = [
            host
            for host in hosts
            if host not in self._deaf and self._loss.random() >= lost_share
        ]
        super().deliver(sender, hints, heard)

    def _count_deaf(self) -> int:
        return round(self._telling.deaf_share * self.pattern.vms)

    def _plan_stalls(self) -> None:
        for stall in self.pattern.silent:
            server = self._servers[stall.number or 0]
            self.after(stall.start_s, self._silence, server, stall)
        self.plan_freezes(self.pattern.frozen)

    def _silence(self, server: PlainServer, stall: Stall) -> None:
        server.silent_until = self.now + stall.length_s
        self.after(stall.length_s, self._fill_slots, server)

    def _draw_requests(self) -> Iterator[tuple[float, ModelVm]]:
        """Draw when requests come, and at which VM."""
        pattern = self.pattern
        by_domain = [
            [vm for vm in self.vms if vm.domain == f"d{number}"]
            for number in range(pattern.domains)
        ]
        found = []
        now = 0.0
        while now < pattern.seconds:
            now += self._random.expovariate(pattern.per_s)
            in_first = self._random.random() < pattern.first_domain_share
            vms = by_domain[0] if in_first else self.vms
            found.append((now, self._random.choice(vms)))
        for bunch in pattern.bunches:
            vms = by_domain[bunch.domain]
            found += [
                (bunch.at, self._random.choice(vms)) for _ in range(bunch.callers)
            ]
        yield from sorted(found, key=lambda item: item[0])

    # a request, as the gateway's exchange keeps it

    def _place(self, vm: ModelVm) -> None:
        states = vm.directory.list_open(SERVICE)
        strategy = self._strategies[vm.name]
        selection = strategy.choose(SelectionRequest(), states, self.now)
        assert selection is not None
        state = selection.state
        work_s = self._random.expovariate(1 / WORK_S)
        request = PlainRequest(vm, state, self.now, work_s)
        state.in_flight += 1
        state.health.note_sent(self.now)
        state.waiting.note_sent(request, self.now)
        server = next(s for s in self._servers if s.id == state.id)
        self.after(LATENCY_S, self._arrive, server, request)
        self.after(TIME_LIMIT_S, self.call_at_vm, vm, self._give_up, request)

    def _give_up(self, request: PlainRequest) -> None:
        if request.ended:
            return
        self.given_up += 1
        request.cancelled = True
        state = request.state
        state.health.note_unanswered(self.now)
        state.health.note_received(self.now, awaited=state.in_flight > 1)
        self._end(request)

    def _take_answer(self, request: PlainRequest) -> None:
        if request.ended:
            return
        state = request.state
        state.health.note_received(self.now, awaited=state.in_flight > 1)
        state.health.note_outcome(Outcome.ANSWERED, self.now)
        state.waiting.note_bytes(request, self.now)
        state.times.wait.note(self.now - request.sent_at)
        state.times.stay.note(self.now - request.sent_at)
        self._end(request)

    def _end(self, request: PlainRequest) -> None:
        request.ended = True
        request.state.note_ended(request, self.now)
        request.state.in_flight -= 1

    # the servers

    def _arrive(self, server: PlainServer, request: PlainRequest) -> None:
        if self.now > WARM_UP_S:
            loads = [other.load for other in self._servers]
            mean = sum(loads) / len(loads)
            self.tally.choices.append(Choice(self.now, server.load, mean, False))
        server.waiting.append(request)
        self._fill_slots(server)

    def _fill_slots(self, server: PlainServer) -> None:
        if server.silent_until > self.now:
            return
        while server.waiting and server.running < SLOTS:
            request = server.waiting.popleft()
            if request.cancelled:
                continue
            server.running += 1
            self.after(request.work_s, self._finish, server, request)

    def _finish(self, server: PlainServer, request: PlainRequest) -> None:
        if server.silent_until > self.now:
            left_s = server.silent_until - self.now
            self.after(left_s, self._finish, server, request)
            return
        server.running -= 1
        self.after(LATENCY_S, self.call_at_vm, request.vm, self._take_answer, request)
        self._fill_slots(server)


def leave_waits_out(hints: PeerHints) -> PeerHints:
    """Return a message without the waits that it tells."""
    return msgspec.structs.replace(hints, waits=[]) if hints.waits else hints


def play_plain(pattern: PlainPattern, telling: Telling = WHOLE) -> Result:
    """Play one pattern."""
    return PlainFleet(pattern, telling).run()
