"""Steps: origins of streams and their keepers, without I/O."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Iterable

import msgspec
from behave import then

from ramppin.gateway.connection.datagrams import OriginHint
from ramppin.gateway.process.membership.members import FleetMembers, MemberRecord
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.routing.buildhistory import BuildHistory
from ramppin.gateway.process.routing.continuity import StreamContinuity
from ramppin.gateway.process.routing.serverstate import BackendServer, ServerState
from ramppin.gateway.process.routing.streamkeepers import StreamKeepers
from ramppin.gateway.process.routing.streamorigins import (
    CONFLICT_BUILD,
    MAX_ORIGINS,
    StreamOrigin,
    StreamOrigins,
    hash_stream,
)

BUILDS = ("v1", "v2", "v3")
DOMAINS = ("porto", "braga", "faro")
STEPS = 100
HEARTBEAT_S = 1.0
LOSS = 0.03


class KeeperVm:
    """One VM of a fleet: what it knows, and whether it runs."""

    def __init__(self, host: str, number: int) -> None:
        self.host = host
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.is_running = True
        self.inbox: deque[list[OriginHint]] = deque()
        self.start()

    def start(self) -> None:
        """Start anew with nothing but the list of VMs."""
        self.origins = StreamOrigins()
        self.members = FleetMembers(self.host, self.domain)
        self.keepers = StreamKeepers(self.origins, self.members)
        self.inbox.clear()

    def learn_members(self, others: Iterable[KeeperVm], now: float) -> None:
        """Hear from the VMs that run."""
        for other in others:
            if self.members.note_received(other.host, other.host, now):
                continue
            entry = MemberRecord(other.host, other.domain)
            record = Record(other.host, msgspec.json.encode(entry), 0)
            assert self.members.apply_record(record, now)

    def read(self, now: float) -> None:
        """Apply what has arrived."""
        while self.inbox:
            self.keepers.apply(self.inbox.popleft(), "", now)


class KeeperFleet:
    """VMs that tell and ask each other, on a clock of their own.

    Attributes:
        truth: the build that began each stream, and the VMs that were told.
        wrong: answers that named another build.
        asked: questions where a VM that was told lives, and how many were answered.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.heard_at = -HEARTBEAT_S
        self.vms: dict[str, KeeperVm] = {}
        for number in range(self.random.randint(3, 8)):
            host = f"10.0.0.{number}"
            self.vms[host] = KeeperVm(host, number)
        self.truth: dict[int, str] = {}
        self.told: dict[int, set[str]] = {}
        self.wrong: list[str] = []
        self.asked = self.answered = 0

    def run(self) -> None:
        """Play a random sequence of events."""
        for _ in range(STEPS):
            self.now += self.random.uniform(0.01, 0.5)
            running = [vm for vm in self.vms.values() if vm.is_running]
            if self.now >= self.heard_at + HEARTBEAT_S:
                self.heard_at = self.now
                for vm in running:
                    vm.learn_members((v for v in running if v is not vm), self.now)
            event = self.random.choices(
                (self.begin, self.take_up, self.forge, self.restart, self.suspend),
                (5, 5, 2, 0.4, 0.4),
            )[0]
            event(self.random.choice(running))

    def begin(self, vm: KeeperVm) -> None:
        """Let a stream begin at a VM, which tells its keepers."""
        key = hash_stream("choir", b"a%d" % len(self.truth))
        build = self.random.choice(BUILDS)
        origin = StreamOrigin("model", build)
        vm.origins.note(key, origin, self.now)
        self.truth[key], self.told[key] = build, {vm.host}
        for parcel in vm.keepers.address([(key, origin)], self.now):
            self.send(parcel.host, parcel.hints)
            if self.vms[parcel.host].is_running:
                self.told[key].add(parcel.host)

    def send(self, host: str, hints: list[OriginHint]) -> None:
        """Deliver a datagram, or lose it."""
        if self.random.random() >= LOSS:
            self.vms[host].inbox.append(hints)

    def take_up(self, vm: KeeperVm) -> None:
        """Let a stream be taken up at a VM, which asks if it does not know."""
        if not self.truth:
            return
        key = self.random.choice(list(self.truth)[-20:])
        self.ask(vm, key, self.truth[key])

    def forge(self, vm: KeeperVm) -> None:
        """Let a caller name streams that never began, or another customer's."""
        for number in range(5):
            self.ask(vm, hash_stream("band", b"a%d" % number), "")

    def ask(self, vm: KeeperVm, key: int, build: str) -> None:
        vm.read(self.now)
        found = vm.origins.find(key, self.now)
        hosts = vm.keepers.list_asked(key, self.now)
        lost = [self.random.random() < 2 * LOSS for _ in hosts]
        # A question is asked twice.
        again = [self.random.random() < 2 * LOSS for _ in hosts]
        for host, first, second in zip(hosts, lost, again, strict=True):
            other = self.vms[host]
            if found is None and other.is_running and not (first and second):
                other.read(self.now)
                answers = other.keepers.answer([key], self.now)
                vm.keepers.apply(answers, host, self.now)
        found = vm.origins.find(key, self.now)
        if found is not None and found.build != build:
            self.wrong.append(f"{found.build} for {build!r}")
        lives = any(self.vms[name].is_running for name in self.told.get(key, ()))
        if build and lives:
            self.asked += 1
            self.answered += found is not None

    def restart(self, vm: KeeperVm) -> None:
        """Kill a VM and start it anew."""
        for told in self.told.values():
            told.discard(vm.host)
        vm.start()
        others = (v for v in self.vms.values() if v.is_running and v is not vm)
        vm.learn_members(others, self.now)

    def suspend(self, vm: KeeperVm) -> None:
        """Let a VM read nothing for a while; it goes on where it was."""
        if sum(other.is_running for other in self.vms.values()) <= 2:
            return
        vm.is_running = False
        for other in self.vms.values():
            if not other.is_running and other is not vm:
                other.is_running = True


@then(
    "in {count:d} random runs of fleets that keep origins no answer names another build"
)
def step_runs(context, count):
    context.fleets = [KeeperFleet(seed) for seed in range(count)]
    for fleet in context.fleets:
        fleet.run()
        assert not fleet.wrong, fleet.wrong[:3]


@then("{share:g} of the questions are answered where a VM that was told lives")
def step_answered(context, share):
    asked = sum(fleet.asked for fleet in context.fleets)
    answered = sum(fleet.answered for fleet in context.fleets)
    assert answered >= share * asked, (answered, asked)


@then('after "{seen}" the service is {mixed} at {at:g} s')
def step_history(context, seen, mixed, at):
    history = BuildHistory()
    for moment in seen.split(", "):
        when, *builds = moment.split()
        if builds == ["report"]:
            history.note_mixed(["m"], float(when))
            continue
        names = ["" if build == "none" else build for build in builds]
        states = [
            ServerState(BackendServer(f"s{n}", "m", "127.0.0.1", n, build=name))
            for n, name in enumerate(names)
        ]
        history.note_servers(states, float(when))
    assert history.is_mixed("m", at) == (mixed == "mixed")


def find_twice(first: str, second: str) -> str:
    origins = StreamOrigins()
    origins.note(7, StreamOrigin("m", first), 0.0)
    origins.note(7, StreamOrigin("m", second), 1.0)
    found = origins.find(7, 2.0)
    assert found is not None
    return found.build


@then('a stream noted at "{first}" and again at "{second}" is found at "{build}"')
def step_twice(context, first, second, build):
    assert find_twice(first, second) == build


@then('a stream noted at "{first}" and again at "{second}" is found at ""')
def step_twice_unknown(context, first, second):
    assert find_twice(first, second) == CONFLICT_BUILD


@then('the keys of "{attempt}" of "{one}" and of "{other}" differ')
def step_keys(context, attempt, one, other):
    keys = {hash_stream(customer, attempt.encode()) for customer in (one, other)}
    assert len(keys) == 2


async def ask_three(answers: str) -> tuple[StreamOrigin | None, list[list[str]]]:
    """Return what a question to three VMs brings, and who was asked each time.

    Args:
        answers: for each round, what the VMs answer, ``-`` for nothing.
    """
    members = FleetMembers("10.0.0.9", "porto")
    now = asyncio.get_running_loop().time()
    for number in range(3):
        host = f"10.0.0.{number}"
        value = msgspec.json.encode(MemberRecord(host, DOMAINS[number]))
        members.apply_record(Record(host, value, 0), now)
    continuity = StreamContinuity()
    continuity.keepers = StreamKeepers(continuity.origins, members)
    rounds, asked = deque(answers.split(", ")), []

    def send_question(key: int, service: str, hosts: list[str]) -> None:
        asked.append(sorted(hosts))
        for number, answer in enumerate(rounds.popleft().split()):
            service = "m" if answer == "v1" else ""
            hint = OriginHint(key, service, answer if service else "")
            if answer != "-":
                continuity.keepers.apply([hint], f"10.0.0.{number}", now)

    continuity.send_question = send_question
    continuity.history.past_known.set()
    continuity.history.note_mixed(["m"], now, 60.0)
    found = await continuity.find(7, "m")
    return found.origin, asked


@then('a question that three VMs answer with "{answers}" brings "{build}"')
def step_ask(context, answers, build):
    origin, asked = context.loop.run_until_complete(ask_three(answers))
    assert (origin.build if origin else "none") == build
    silent = [
        n for n, answer in enumerate(answers.split(", ")[0].split()) if answer == "-"
    ]
    if len(asked) > 1:
        assert asked[1] == [f"10.0.0.{number}" for number in silent], asked


@then("after {count:d} streams {kept:d} are kept, the newest")
def step_bounded(context, count, kept):
    assert kept == MAX_ORIGINS
    origins = StreamOrigins()
    for key in range(count):
        origins.note(key, StreamOrigin("m", "v1"), 0.0)
    assert len(origins) == kept
    assert origins.find(count - 1, 0.0) is not None
    assert origins.find(count - kept - 1, 0.0) is None
