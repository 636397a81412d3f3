"""Steps: what VMs that start write over the snapshot of homes."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from features.gateway_support import GatewayFixture, build_tree
from ramppin.errors import LogUnavailableError
from ramppin.gateway.connection.datagrams import EndHint, HomeHint, SuspectHint
from ramppin.gateway.process.membership.members import FleetMembers
from ramppin.gateway.process.quarantine.gossip import QuarantineGossip
from ramppin.gateway.process.quarantine.quarantine import Quarantine
from ramppin.gateway.process.routing.homes import PrefixHomes
from ramppin.gateway.process.routing.homesnapshot import (
    SNAPSHOT_KEY,
    HomeSnapshot,
    HomeSnapshots,
    decode_snapshot,
    encode_snapshot,
)
from standins.common import wait_for
from standins.tables import TableStandIn

SERVER = "p1"


class UnreadTable(TableStandIn):
    """A table that takes writes while reads of the whole fail.

    Attributes:
        refuses_reads: such reads fail.
        written: all snapshots that were written, the oldest first.
    """

    def __init__(self) -> None:
        super().__init__()
        self.refuses_reads = False
        self.written: list[HomeSnapshot] = []

    async def read_newest(self, *, timeout_s: float = 0.0):
        if self.refuses_reads:
            raise LogUnavailableError("refused", step="read", peer="table")
        return await super().read_newest(timeout_s=timeout_s)

    async def append(self, key: str, value: bytes) -> None:
        await super().append(key, value)
        self.written.append(decode_snapshot(value))


def run(context, work):
    return context.loop.run_until_complete(work)


def build_suspect(key: int) -> SuspectHint:
    """Return a request under which three servers ended, one after the other."""
    ends = [EndHint(f"i-{at}", at * 1000, 100) for at in (1, 2, 3)]
    return SuspectHint(key, ends, 3)


@given("no snapshot")
def step_none(context):
    context.kept_table = UnreadTable()


@given("a snapshot with the home {home:d} and the quarantined request {request:d}")
def step_snapshot(context, home, request):
    context.kept_table = UnreadTable()
    snapshot = HomeSnapshot(
        "vm-0", [HomeHint(home, SERVER, 40)], [build_suspect(request)]
    )
    context.kept_table.put(SNAPSHOT_KEY, encode_snapshot(snapshot))


@when("a VM starts for which, for {away:g} s, the {missing} can't be read")
def step_start(context, away, missing):
    table = context.kept_table
    known = {"servers": not (away and missing == "servers")}
    table.refuses_reads = bool(away) and missing == "snapshot"
    table.frozen = bool(away) and missing == "answer"
    context.homes = PrefixHomes(lambda server: known["servers"])
    context.suspects = QuarantineGossip(Quarantine())
    snapshots = HomeSnapshots(
        "vm-1",
        table,
        FleetMembers("vm-1", "porto"),
        context.homes,
        lambda: known["servers"],
        context.suspects,
    )

    async def end():
        await asyncio.sleep(away)
        table.refuses_reads = table.frozen = False
        known["servers"] = True

    async def start():
        context.tasks = [
            asyncio.create_task(snapshots.run()),
            asyncio.create_task(end()),
        ]

    run(context, start())


def place(context, home):
    context.homes.note_placed(home, SERVER, context.loop.time())


def quarantine(context, request):
    context.suspects.apply([build_suspect(request)], context.loop.time())


@when(
    "after {after:g} s it places the home {home:d} and quarantines the request "
    "{request:d}"
)
def step_observe(context, after, home, request):
    run(context, asyncio.sleep(after))
    place(context, home)
    quarantine(context, request)


@when("after {after:g} s it places the home {home:d}")
def step_place(context, after, home):
    run(context, asyncio.sleep(after))
    place(context, home)


@when("after {after:g} s it quarantines the request {request:d}")
def step_quarantine(context, after, request):
    run(context, asyncio.sleep(after))
    quarantine(context, request)


def list_homes(snapshot: HomeSnapshot) -> set[int]:
    return {hint.key for hint in snapshot.homes}


def list_requests(snapshot: HomeSnapshot) -> set[int]:
    return {hint.fingerprint for hint in snapshot.suspects}


async def wait_for_content(context, homes, requests, within_s):
    """Wait until the snapshot has some homes and requests."""
    written = context.kept_table.written
    deadline = context.loop.time() + within_s
    while context.loop.time() < deadline:
        newest = written[-1] if written else HomeSnapshot("", [])
        if homes <= list_homes(newest) and requests <= list_requests(newest):
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f"snapshots: {written}")


@then("no snapshot lacks the home {home:d} or the request {request:d}")
def step_keeps(context, home, request):
    context.kept = home, request


@then(
    "the snapshot has the homes {first:d} and {second:d} and the requests {third:d} "
    "and {fourth:d} within {within:g} s"
)
def step_has_all(context, first, second, third, fourth, within):
    run(context, wait_for_content(context, {first, second}, {third, fourth}, within))
    home, request = context.kept
    for snapshot in context.kept_table.written:
        assert home in list_homes(snapshot), context.kept_table.written
        assert request in list_requests(snapshot), context.kept_table.written


@then("the snapshot has the home {home:d} within {within:g} s")
def step_has_home(context, home, within):
    run(context, wait_for_content(context, {home}, set(), within))


@then("the snapshot has the request {request:d} within {within:g} s")
def step_has_request(context, request, within):
    run(context, wait_for_content(context, set(), {request}, within))


@given("a VM that has read all but the list of VMs")
def step_without_members(context):
    async def start():
        fixture = context.fixture = GatewayFixture()
        context.cleanups.append(fixture.stop)
        context.kept_table = fixture.homes = UnreadTable()
        fixture.members.away = True
        fixture.publish(build_tree())
        await fixture.add_backend(SERVER, "plain")
        await fixture.start()
        await fixture.wait_until_ready(1)
        # The read of the snapshot, which the VM does not report.
        await wait_for(lambda: fixture.homes.reads > 0, "the snapshot was read")
        await asyncio.sleep(0.1)

    run(context, start())


@when("it has placed a prefix and a quarantine has begun")
def step_change(context):
    gateway = context.fixture.gateway
    context.homes, context.suspects = gateway.homes, gateway._suspects
    place(context, 2)
    quarantine(context, 88)


@then("it writes no snapshot within {within:g} s")
def step_not_written(context, within):
    run(context, asyncio.sleep(within))
    assert not context.kept_table.written, context.kept_table.written


@when("it has read the list of VMs")
def step_members(context):
    context.fixture.members.away = False


@then("it writes a snapshot soon")
def step_written(context):
    run(context, wait_for_content(context, {2}, {88}, 5))
