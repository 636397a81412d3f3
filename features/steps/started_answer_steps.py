"""Steps: answers of VMs that have just started, and what others conclude from them."""

from __future__ import annotations

import asyncio
from unittest import mock

from behave import given, then, when

from features.steps.relayed_removal_steps import (
    BOUND_S,
    TABLE,
    Link,
    ReadingVm,
    ask_peer,
    ask_relay,
    build_follower,
    read_directly,
)
from ramppin.gateway.process.membership.members import (
    Member,
)
from ramppin.gateway.process.recovery import peerreader
from ramppin.gateway.process.recovery.relayrules import RelayTimes
from ramppin.gateway.process.recovery.relays import RelayedSource
from ramppin.gateway.process.recovery.sources import RecordBatch, RecordSource
from standins.tables import TableStandIn

SHORT_S = 0.01
"""Seconds after which all that can be done at once is done."""


class LateLink(Link):
    """Carries a request at once, and its answer when it is released."""

    def __init__(self, vm: ReadingVm) -> None:
        super().__init__(vm)
        self.released = asyncio.Event()

    async def post(self, target: str, body: bytes, *, timeout_s: float):
        answer = await super().post(target, body, timeout_s=timeout_s)
        await self.released.wait()
        return answer


class LateSource(RecordSource):
    """A table whose first answer arrives when it is released.

    Args:
        table: the table.
        is_read_late: whether the store reads it then as well, and not at once.
    """

    def __init__(self, table: TableStandIn, *, is_read_late: bool) -> None:
        self.released = asyncio.Event()
        self._table = table
        self._is_read_late = is_read_late

    async def read_newest(self, *, timeout_s: float) -> RecordBatch:
        if self._is_read_late:
            await self.released.wait()
        batch = await self._table.read_newest(timeout_s=timeout_s)
        await self.released.wait()
        return batch

    async def read_after(self, position: int, *, wait_s: float) -> RecordBatch:
        return await self._table.read_after(position, wait_s=wait_s)


class LateAnswer:
    """A VM that waits for an answer with the entries "a b"."""

    def __init__(self) -> None:
        self.table = TableStandIn()
        self.table.put("a", b"entry")

    async def begin(self, late: str) -> None:
        """Ask, and let the answer be built."""
        if "own" in late:
            await self._begin_own_read()
        elif "peer" in late:
            await self._begin_at_peer()
        else:
            await self._begin_at_relay()
        await asyncio.sleep(SHORT_S)

    async def _begin_own_read(self) -> None:
        self.table.put("b", b"entry")
        self.vm = ReadingVm()
        source = LateSource(self.table, is_read_late=False)
        self.follower = build_follower(self.vm, source)
        self.late = asyncio.create_task(self.follower._read())
        self.release = source.released.set
        self.read_whole = self._ask_started_peer

    async def _begin_at_peer(self) -> None:
        self.table.put("b", b"entry")
        self.vm = ReadingVm()
        source = LateSource(self.table, is_read_late=True)
        self.follower = build_follower(self.vm, source)
        first_read = asyncio.create_task(self.follower._read())
        await asyncio.sleep(SHORT_S)
        link = LateLink(await read_directly(self.table))
        with mock.patch.object(peerreader, "Fetcher", mock.Mock(return_value=link)):
            self.late = asyncio.create_task(ask_late_peer(self.vm, link))
            await asyncio.sleep(SHORT_S)
        self.release = link.released.set

        async def read_whole() -> None:
            source.released.set()
            await first_read

        self.read_whole = read_whole

    async def _begin_at_relay(self) -> None:
        self.vm = await read_directly(self.table)
        self.table.put("b", b"entry")
        link = LateLink(await read_directly(self.table))
        source = build_relayed(self.table)
        self.follower = build_follower(self.vm, source)
        self.follower._complete = True
        source._open_fetcher = mock.Mock(return_value=link)
        self.late = asyncio.create_task(self.follower._read())
        self.release = link.released.set
        self.read_whole = self._ask_started_peer

    async def _ask_started_peer(self) -> None:
        await ask_peer(self.vm, await read_directly(self.table))


async def ask_late_peer(vm: ReadingVm, link: LateLink) -> None:
    """Read on from a peer whose answer is late."""
    reader = peerreader.PeerReader("vm-1", 1, [], lambda: [], mock.Mock())
    table = mock.Mock(replica=vm.replica)
    with mock.patch.object(peerreader, "Fetcher", mock.Mock(return_value=link)):
        await reader._query_peer("10.0.0.3", [table])


def build_relayed(table: TableStandIn) -> RelayedSource:
    """Return the table as it is read through a relay."""
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
    return source


@given('a table with the entry "a", and a VM whose answer from {late} is late')
def step_late(context, late):
    async def play():
        context.late = LateAnswer()
        await context.late.begin(late)

    context.loop.run_until_complete(play())


@when('"b" is removed and "c" written, and a whole table arrives before that answer')
def step_whole_first(context):
    async def play():
        late = context.late
        late.table.put("b", None)
        late.table.put("c", b"entry")
        await late.read_whole()
        assert late.vm.held == {"a", "c"}, late.vm.held
        assert not late.late.done()
        late.release()
        await late.late

    context.loop.run_until_complete(play())


@then('that VM holds the entries "{keys}" and reads on from the log\'s end')
def step_holds_on(context, keys):
    late = context.late
    assert late.vm.replica.position == late.table.end
    assert late.vm.held == set(keys.split()), late.vm.held


# removals of long ago


async def read_again(vm: ReadingVm, table: TableStandIn, *, is_complete: bool) -> None:
    """Read on from the log, or the whole table if it dropped what is next."""
    follower = build_follower(vm, table)
    follower._complete = is_complete
    await follower._read()


@given('a VM that read of the removal of "b", and not that it came back and went again')
def step_early_removal(context):
    async def play():
        table = context.log_table = TableStandIn()
        table.put("a", b"entry")
        table.put("b", b"entry")
        context.other = await read_directly(table)
        table.put("b", None)
        await read_again(context.other, table, is_complete=True)
        table.put("b", b"entry")
        context.vm = await read_directly(table)
        assert context.vm.held == {"a", "b"}
        table.put("b", None)

    context.loop.run_until_complete(play())


@when(
    "it reads the whole table from {source}, and a VM that has read the new "
    '"b" asks it as a {asked}'
)
def step_ask_whole(context, source, asked):
    async def play():
        table, vm, other = context.log_table, context.vm, context.other
        if "dropped" in source:
            table.forget_history()
            await read_again(other, table, is_complete=False)
        else:
            await ask_relay(other, await read_directly(table), table)
        assert other.held == {"a"}
        if asked == "relay":
            await ask_relay(vm, other, table)
        else:
            await ask_peer(vm, other)

    context.loop.run_until_complete(play())


@then('that VM then holds the entries "{keys}"')
def step_then_holds(context, keys):
    assert context.vm.replica.position == context.log_table.end
    assert context.vm.held == set(keys.split()), context.vm.held


# a table without entries


@then(
    "a whole table without entries, after a wait of {wait:g} s that took {took:g} s, "
    "waited {waited:g} s"
)
def step_empty_whole(context, wait, took, waited):
    batch = RecordBatch((), 31, relayed=True, is_whole=True).with_wait(wait, took)
    assert batch.waited_s == waited, batch.waited_s
