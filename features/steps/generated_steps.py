"""Steps that try the synchronous parts with generated events."""

from __future__ import annotations

import math
from collections import defaultdict

from behave import then
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from ramppin import (
    Allocator,
    Grant,
    LeaseHolder,
    LeaseTable,
    Member,
    PlaceId,
    PlaceRequest,
    Refusal,
    Settings,
    SettingsTree,
    compute_cap,
)

GENERATED = settings(
    derandomize=True,
    max_examples=150,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)

ASK = st.tuples(
    st.just("ask"),
    st.integers(1, 3),
    st.integers(0, 12),
    st.integers(0, 3),
    st.booleans(),
)
RELEASE = st.tuples(
    st.just("release"), st.integers(0, 30), st.booleans(), st.booleans()
)
LOSE = st.tuples(st.just("lose"), st.integers(1, 3))
MEMBERS = st.tuples(st.just("members"), st.integers(1, 6), st.integers(0, 6))
REPORT = st.tuples(st.just("report"), st.integers(1, 6), st.integers(0, 6))
SYNC = st.tuples(st.just("sync"), st.integers(1, 3))

KINDS = {
    "asks and releases": st.one_of(ASK, ASK, RELEASE),
    "asks, releases and lost VMs": st.one_of(ASK, ASK, RELEASE, LOSE),
    "asks, releases and members": st.one_of(ASK, ASK, RELEASE, MEMBERS),
    "asks, releases, reports and syncs": st.one_of(ASK, ASK, RELEASE, REPORT, SYNC),
}


class AllocatorDriver:
    """Drives an allocator and checks it after each event."""

    def __init__(self) -> None:
        rules = {"slots": 5, "max_waiting": 6, "suspend_after": 2}
        pool = {"backend_servers": {}, "rules": rules}
        tree = SettingsTree.model_validate({"pools": {"p": pool}, "services": {}})
        self.allocator = Allocator(Settings(0, tree).resolve_pool("p"))
        self.now = 0.0
        self.number = 0
        self.asked: dict[PlaceId, str] = {}
        self.held: dict[PlaceId, str] = {}
        self.set_members(4, 0)

    def set_members(self, count: int, leaving: int) -> None:
        members = [
            Member(f"engine-{n}", leaving=n <= leaving) for n in range(1, count + 1)
        ]
        self.take(self.allocator.set_members(members, self.now))

    def apply(self, event) -> None:
        self.now += 0.07
        kind, *values = event
        getattr(self, f"do_{kind}")(*values)
        wake = self.allocator.next_wake()
        if wake is not None and wake <= self.now:
            self.take(self.allocator.tick(self.now))
        self.check_counts()

    def do_ask(self, vm, chat, customer, returning) -> None:
        self.number += 1
        place = PlaceId(f"vm-{vm}", self.number)
        self.asked[place] = "waiting"
        request = PlaceRequest(
            place,
            chat,
            f"customer-{customer}",
            max_in_flight=4 if customer == 0 else 0,
            wait_for_cached_s=0.2,
            max_wait_s=1.0,
            returning=returning,
        )
        self.take(self.allocator.ask(request, self.now))

    def do_release(self, index, failed, running) -> None:
        places = list(self.held)
        if places:
            place = places[index % len(places)]
            del self.held[place]
            decisions = self.allocator.release(
                place, self.now, failed=failed, running=running
            )
            self.take(decisions)

    def do_lose(self, vm) -> None:
        name = f"vm-{vm}"
        self.held = {p: s for p, s in self.held.items() if p.vm != name}
        for place, state in self.asked.items():
            if place.vm == name and state == "waiting":
                self.asked[place] = "lost"
        self.take(self.allocator.handle_vm_loss(name, self.now))

    def do_members(self, count, leaving) -> None:
        self.set_members(count, leaving)

    def do_report(self, server, running) -> None:
        decisions = self.allocator.observe_load(
            f"engine-{server}", running, self.now, self.now
        )
        self.take(decisions)

    def do_sync(self, vm) -> None:
        for place, server in self.held.items():
            if place.vm == f"vm-{vm}":
                self.allocator.restore(place, server, "customer-1")

    def take(self, decisions) -> None:
        for decision in decisions:
            assert self.asked[decision.place] == "waiting", "two decisions for one ask"
            if isinstance(decision, Grant):
                self.check_grant(decision)
                self.held[decision.place] = decision.backend_server
                self.asked[decision.place] = "granted"
            else:
                assert isinstance(decision, Refusal)
                assert decision.retry_after_s >= 1.0
                self.asked[decision.place] = "refused"

    def check_grant(self, grant: Grant) -> None:
        assert grant.load <= grant.cap, grant
        promised = max(1, math.ceil(1.25 * grant.total / grant.members))
        assert grant.load <= promised, grant
        server = self.allocator.load.servers[grant.backend_server]
        assert not server.leaving
        assert server.count <= 5

    def check_counts(self) -> None:
        load = self.allocator.load
        serving = [server for server in load.servers.values() if server.serving]
        assert load.total == sum(server.count for server in serving)
        assert load.members == len(serving)
        by_server = defaultdict(int)
        for held in load.held.values():
            by_server[held.server.name] += 1
        for name, server in load.servers.items():
            assert server.places == by_server[name]
        assert set(self.held) <= set(load.held)
        orphans = sum(load.held[p].server.serving for p in load.list_orphans())
        unexplained = sum(server.unexplained for server in serving)
        assert load.doubtful == orphans + unexplained


@then(
    "generated {events} keep these of the allocator: bound, counts, one decision each"
)
def step_allocator(context, events):
    @GENERATED
    @given(st.lists(KINDS[events], max_size=60))
    def run(sequence):
        driver = AllocatorDriver()
        for event in sequence:
            driver.apply(event)

    run()


class LeaseDriver:
    """Some VMs, each with clock, cuts and pauses of its own, over one log."""

    TTL_S = 1.5
    VMS = ("vm-1", "vm-2", "vm-3")

    def __init__(self) -> None:
        self.now = 100.0
        self.log: list[dict] = []
        self.holders = {}
        self.read = dict.fromkeys(self.VMS, 0)
        self.cut = dict.fromkeys(self.VMS, False)
        self.paused = dict.fromkeys(self.VMS, False)
        self.outage = False
        for number, vm in enumerate(self.VMS):
            holder = LeaseHolder(vm, number + 1, self.TTL_S, LeaseTable())
            holder.note_log(self.now, up=True)
            self.holders[vm] = holder

    def apply(self, event) -> None:
        kind, *values = event
        getattr(self, f"do_{kind}")(*values)
        self.check()

    def do_step(self, seconds) -> None:
        self.now += seconds
        for vm in self.VMS:
            if not self.paused[vm]:
                self.run(vm)

    def do_pause(self, index) -> None:
        vm = self.VMS[index]
        self.paused[vm] = not self.paused[vm]

    def do_cut(self, index) -> None:
        vm = self.VMS[index]
        self.cut[vm] = not self.cut[vm]

    def do_outage(self) -> None:
        self.outage = not self.outage

    def do_late_read(self, index) -> None:
        """A VM appends without reading, as when its answer is late."""
        vm = self.VMS[index]
        if not self.paused[vm]:
            self.append(vm)

    def run(self, vm) -> None:
        holder = self.holders[vm]
        up = not self.outage and not self.cut[vm]
        holder.note_log(self.now, up=up)
        if up:
            self.append(vm)
            for offset in range(self.read[vm], len(self.log)):
                holder.apply(offset, self.log[offset], self.now)
            self.read[vm] = len(self.log)
        elif holder.list_owned():
            self.ask_peers(vm)

    def append(self, vm) -> None:
        if self.outage or self.cut[vm]:
            return
        plan = self.holders[vm].plan(["pool"], self.VMS, self.now)
        records = [*plan.claims, *([plan.renewal] if plan.renewal else [])]
        self.log += [record.model_dump() for record in records]

    def ask_peers(self, vm) -> None:
        views = []
        for other in self.VMS:
            if other == vm:
                continue
            table = self.holders[other].table
            known = {shard: lease.epoch for shard, lease in table.leases.items()}
            views.append({} if self.paused[other] else known)
        self.holders[vm].extend_by_peers(self.now, views)

    def may_grant(self, vm) -> bool:
        holder = self.holders[vm]
        start = holder.get_grant_start("pool")
        started = start is not None and self.now >= start
        return started and holder.may_grant("pool", self.now)

    def check(self) -> None:
        granting = [vm for vm in self.VMS if not self.paused[vm] and self.may_grant(vm)]
        assert len(granting) <= 1, granting


LEASE_EVENTS = st.one_of(
    st.tuples(st.just("step"), st.sampled_from([0.05, 0.25, 0.25, 0.5, 1.0, 2.0])),
    st.tuples(st.just("step"), st.sampled_from([0.05, 0.25, 0.25, 0.5, 1.0, 2.0])),
    st.tuples(st.just("step"), st.just(0.25)),
    st.tuples(st.just("pause"), st.integers(0, 2)),
    st.tuples(st.just("cut"), st.integers(0, 2)),
    st.tuples(st.just("outage")),
    st.tuples(st.just("late_read"), st.integers(0, 2)),
)


@then("generated pauses, cuts and outages never let two VMs grant at once")
def step_leases(context):
    granted = []

    @settings(GENERATED, max_examples=600)
    @given(st.lists(LEASE_EVENTS, min_size=20, max_size=80))
    def run(sequence):
        driver = LeaseDriver()
        for event in sequence:
            driver.apply(event)
            granted.append(any(driver.may_grant(vm) for vm in driver.VMS))

    run()
    assert sum(granted) * 10 > len(granted), "hardly ever was a shard served"


@then("a backend server may hold {cap:d} after a placement")
def step_cap(context, cap):
    row = context.active_outline
    found = compute_cap(float(row["bound"]), int(row["total"]), int(row["members"]))
    assert found == cap, found
