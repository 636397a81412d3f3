"""Steps: removals that a VM has not read itself, and what it answers of them."""

from __future__ import annotations

import asyncio
import random
from unittest import mock

from behave import given, then, when

from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.process.membership.members import Member
from ramppin.gateway.process.recovery import peerreader
from ramppin.gateway.process.recovery.follower import FollowedTable, Follower
from ramppin.gateway.process.recovery.peeranswers import RecordsResponder
from ramppin.gateway.process.recovery.peermessages import RECORDS_TARGET
from ramppin.gateway.process.recovery.peerreader import PeerReader
from ramppin.gateway.process.recovery.relayrules import RelayTimes
from ramppin.gateway.process.recovery.relays import RelayedSource
from ramppin.gateway.process.recovery.replica import Replica
from standins.tables import TableStandIn

TABLE = "servers"
BOUND_S = 2.0


class ReadingVm:
    """A VM with a replica of the table, which reads it in one way."""

    def __init__(self) -> None:
        self.held: set[str] = set()
        self.replica = Replica(TABLE, self._apply)

    def _apply(self, record) -> None:
        if record.value is None:
            self.held.discard(record.key)
        else:
            self.held.add(record.key)

    def answer(self, body: bytes) -> bytes:
        """Answer another VM's request."""
        sent: list[bytes] = []
        connection = mock.Mock(send_answer=lambda status, head, body: sent.append(body))
        request = mock.Mock(
            spec=CallerRequest, target=RECORDS_TARGET.encode(), body=body
        )
        RecordsResponder(connection, {TABLE: self.replica}).accept_request(request)
        [answer] = sent
        return answer


class Link:
    """Carries requests to a VM, in place of a connection."""

    def __init__(self, vm: ReadingVm) -> None:
        self._vm = vm

    async def post(self, target: str, body: bytes, *, timeout_s: float):
        return mock.Mock(body=self._vm.answer(body))

    def close(self) -> None:
        """Nothing to close."""


def build_follower(vm: ReadingVm, source) -> Follower:
    return Follower(
        vm.replica, source, interval_s=0.0, wait_s=0.0, generator=random.Random(1)
    )


async def read_directly(table: TableStandIn) -> ReadingVm:
    """Return a VM that has read the table."""
    vm = ReadingVm()
    await build_follower(vm, table)._read()
    return vm


async def ask_relay(vm: ReadingVm, other: ReadingVm, table: TableStandIn) -> None:
    """Read on through a relay."""
    own, relay = Member("vm-1", "10.0.0.1", 0.0), Member("vm-2", "10.0.0.2", 0.0)
    source = RelayedSource(
        TABLE,
        own,
        table,
        1,
        lambda: [relay],
        mock.Mock(failed_within=lambda seconds, now: False),
        times=RelayTimes.from_bound(BOUND_S),
    )
    source._known_at = asyncio.get_running_loop().time()
    follower = build_follower(vm, source)
    follower._complete = True
    with mock.patch.object(source, "_open_fetcher", return_value=Link(other)):
        assert await follower._read()


async def ask_peer(vm: ReadingVm, other: ReadingVm) -> None:
    """Read on from a peer."""
    follower = build_follower(vm, TableStandIn())
    reader = PeerReader("vm-1", 1, [], lambda: [], random.Random(1))
    table = FollowedTable(vm.replica, follower, 1.0)
    link = mock.Mock(return_value=Link(other))
    with mock.patch.object(peerreader, "Fetcher", link):
        await reader._query_peer("10.0.0.2", [table])


@given('the entries "a b", which a VM has read, and then b is removed and c written')
def step_entries(context):
    async def play():
        table = context.log_table = TableStandIn()
        for key in ("a", "b"):
            table.put(key, b"entry")
        context.vm = await read_directly(table)
        context.other = await read_directly(table)
        table.put("b", None)
        table.put("c", b"entry")

    context.loop.run_until_complete(play())


@when("it reads on through another VM that {case}: {asked}")
def step_read_on(context, case, asked):
    async def play():
        table, vm = context.log_table, context.vm
        other = context.other
        if "all the time" in case:
            batch = await table.read_after(other.replica.position, wait_s=0.0)
            now = asyncio.get_running_loop().time()
            other.replica.apply(batch.records, batch.position, now)
        else:
            other = await read_directly(table)
        if "from such" in case:
            third = ReadingVm()
            await ask_peer(third, other)
            other = third
        if asked == "relay":
            await ask_relay(vm, other, table)
        else:
            await ask_peer(vm, other)

    context.loop.run_until_complete(play())


@then('it holds the entries "{keys}", read up to the log\'s end')
def step_holds(context, keys):
    assert context.vm.held == set(keys.split()), context.vm.held
    assert context.vm.replica.position == context.log_table.end
