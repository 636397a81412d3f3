"""Steps: decisions of the memory budget, with given sizes and an injected clock."""

from __future__ import annotations

import json
import os
import random
import tempfile
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when

from ramppin.gateway.process.config import Address, GatewayConfig
from ramppin.gateway.process.gateway import Gateway
from ramppin.gateway.process.memory import (
    CHECKS_PER_SWEEP,
    FREE_BYTES,
    Holding,
    MemoryBudget,
    MemoryHolder,
    OutputBuffer,
    Peer,
    compute_budget_bytes,
)
from ramppin.gateway.process.overload.rules import OverloadRules
from ramppin.gateway.process.recovery.tables import GatewaySources
from ramppin.gateway.process.reporting.decisions import DecisionLog
from ramppin.gateway.process.settingsfile import load_gateway_file
from ramppin.gateway.version.routingfile import TreeDecoder
from ramppin_platform.settings import PlatformSettings
from standins.tables import TableStandIn

KB = 1024
"""Sizes in these tables are in units of which a connection may hold 64 in any case."""

NOW = 100.0


class FakeHolder(MemoryHolder):
    """A connection whose peers read what they are told to.

    Attributes:
        unread: bytes that the caller has not read.
        measured: how often it was measured.
        aborted: whether a connection of it was aborted.
    """

    request_headers = ()

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.holding = Holding(self)
        self.unread = 0
        self.measured = 0
        self.aborted = False

    def measure_buffers(self, now: float) -> None:
        self.measured += 1
        self.holding.to_caller.note(self.unread, now)
        self.budget.update(self.holding)
        if self.holding.paused and self.budget.may_resume(self.holding):
            self.holding.paused = False

    def abort_peer(self, peer: Peer) -> None:
        self.aborted = True
        self.unread = 0
        self.holding.request_bytes = 0
        self.holding.to_caller.note(0, NOW)
        self.holding.to_server.note(0, NOW)
        self.budget.remove(self.holding)

    def hold(self, held: int, unread: int, received: int, now: float) -> None:
        """Hold bytes, a part of which is in the buffer to the caller."""
        self.unread = unread
        self.holding.answer_bytes = received
        self.holding.request_bytes = held - unread
        self.holding.to_caller.note(unread, now)
        self.budget.update(self.holding)


@then("a memory limit of {limit:d} MB gives a budget of {budget:g} MB")
def step_budget_bytes(context, limit, budget):
    assert compute_budget_bytes(limit * 1_000_000) == budget * 1_000_000


# where it is enabled

RULES = {
    "enabled": OverloadRules(enabled=True),
    "disabled": OverloadRules(enabled=False),
    "absent": None,
}
LIMITS = {"unknown": None, "200 MB": 200_000_000}


@given(
    'a gateway with a memory limit "{memory}" whose configuration has overload '
    'control "{process}"'
)
def step_gateway(context, memory, process):
    address = Address("127.0.0.1", 0)
    config = GatewayConfig(
        vm="v",
        failure_domain="porto",
        callers=address,
        readiness=address,
        peers=address,
        records=address,
        overload=RULES[process],
        memory_limit_bytes=LIMITS[memory],
    )
    tables = {
        name: TableStandIn()
        for name in ("settings", "servers", "members", "homes", "builds", "origins")
    }
    descriptor = os.open(os.devnull, os.O_WRONLY)

    async def close() -> None:
        os.close(descriptor)

    async def build() -> Gateway:
        sources = GatewaySources(**tables, decoder=TreeDecoder())
        return Gateway(config, sources, DecisionLog("v", descriptor=descriptor))

    context.cleanups.append(close)
    context.gateway = context.loop.run_until_complete(build())


@given('whose routing settings have overload control "{routing}"')
def step_routing(context, routing):
    gateway = context.gateway
    if routing == "enabled":
        # What the rules of the routing settings do once they are in force.
        gateway.context.overload = SimpleNamespace()
        gateway._apply_memory_budget()
    else:
        table = SimpleNamespace(overload=RULES["disabled"])
        gateway.context.note_table(table) if routing == "disabled" else None


@then("its memory budget is {state}")
def step_enabled(context, state):
    assert (context.gateway.context.listener.memory is not None) == (state == "enabled")


@then('the memory limit "{value}" in the settings of "{format_}" counts as {found}')
def step_settings(context, value, format_, found):
    if format_ == "platform":
        limit = read_platform_limit(value)
    else:
        limit = read_own_limit(value)
    assert found == f"{limit} bytes", limit


def read_platform_limit(value: str) -> int | str:
    fields = {
        "node_name": "vm-1",
        "ip": "127.0.0.1",
        "zone": "a",
        "listen.frontend": "127.0.0.1:1",
        "listen.readiness": "127.0.0.1:2",
        "listen.control_plane": "127.0.0.1:3",
        "internal_port_range": "4,5",
    }
    if value != "none":
        fields["limits.memory_mb"] = value
    config = PlatformSettings(fields, "test").build_config()
    return config.memory_limit_bytes or "no"


def read_own_limit(value: str) -> int | str:
    settings = {"vm": "v", "tables": "tables.jsonc"}
    if value != "none":
        settings["memory_mb"] = int(value)
    with tempfile.TemporaryDirectory() as scratch:
        path = Path(scratch) / "gateway.jsonc"
        path.write_text(json.dumps(settings))
        found = load_gateway_file(path)
    refused = "refused"
    return found.map(lambda f: f.build_config().memory_limit_bytes or "no").value_or(
        refused
    )


# pauses and bodies


@given('a budget of {size:d} kB, of which other connections hold "{others}"')
def step_budget_with_others(context, size, others):
    context.budget = MemoryBudget(size * KB)
    if others == "none":
        return
    count, each = map(int, others.split(" x "))
    for _ in range(count):
        holder = FakeHolder(context.budget)
        holder.hold(each * KB, each * KB, each * KB, NOW)


@given("a budget of {size:d} kB")
def step_budget(context, size):
    context.budget = MemoryBudget(size * KB)
    context.readers = {}


@given(
    "a connection that holds {held:d} kB, {unread:d} kB of them unread, after "
    "{received:d} kB of an answer"
)
def step_connection(context, held, unread, received):
    context.holder = FakeHolder(context.budget)
    context.holder.hold(held * KB, unread * KB, received * KB, NOW)


@then("reading its answer goes on: {reads}")
def step_reads(context, reads):
    is_paused = context.budget.should_pause(context.holder.holding)
    assert is_paused == (reads == "no")


@then("once paused it would be resumed: {resumes}")
def step_resumes(context, resumes):
    may_resume = context.budget.may_resume(context.holder.holding)
    assert may_resume == (resumes == "yes")


@then("a body of {size:d} kB is accepted: {accepted}")
def step_body(context, size, accepted):
    found = context.budget.may_accept_body(size * KB, size * KB)
    assert found == (accepted == "yes")


# aborts


@given('these readers, whose buffers filled {age:g} s ago: "{readers}"')
def step_readers(context, age, readers):
    for text in readers.split():
        name, _, rest = text.partition("=")
        kind, _, sizes = rest.partition(":")
        held, read = (int(size) * KB for size in sizes.split("/"))
        holder = context.readers[name] = FakeHolder(context.budget)
        begin = NOW - age
        if kind == "server":
            # The whole body is held until the request ends; a piece is in the buffer.
            holder.holding.request_bytes = held
            holder.holding.to_server.note(held + read, begin)
            holder.holding.to_server.note(held, NOW)
            context.budget.update(holder.holding)
            continue
        received = FREE_BYTES if kind == "small" else held + read
        holder.hold(held + read, held + read, received, begin)
        holder.hold(held, held, received, NOW) if read else None
        holder.holding.to_caller.allocated = held
        context.budget.update(holder.holding)
        if kind == "drained":
            holder.unread = held // 10


@when("the budget is enforced")
def step_enforce(context):
    context.budget.enforce(NOW)


@then('"{names}" are aborted')
def step_aborted(context, names):
    expected = set(names.split()) - {"none"}
    found = {name for name, holder in context.readers.items() if holder.aborted}
    assert found == expected, found


@then('a write buffer with the sizes "{sizes}" occupies {kb:d} kB')
def step_occupied(context, sizes, kb):
    buffer = OutputBuffer()
    for size in sizes.split():
        buffer.note(int(size) * KB, NOW)
    assert buffer.allocated == kb * KB, buffer.allocated


@given("{count:d} readers")
def step_many_readers(context, count):
    context.holders = [FakeHolder(context.budget) for _ in range(count)]
    for holder in context.holders:
        holder.hold(100 * KB, 100 * KB, 100 * KB, NOW)


@when("{count:d} sweeps are made")
def step_sweeps(context, count):
    context.measured = []
    for _ in range(count):
        before = sum(holder.measured for holder in context.holders)
        context.budget.sweep(NOW)
        after = sum(holder.measured for holder in context.holders)
        context.measured.append(after - before)


@then("no sweep measured more than {limit:d} connections")
def step_sweep_limit(context, limit):
    assert limit == CHECKS_PER_SWEEP
    assert max(context.measured) <= limit


@then("each of the {count:d} was measured")
def step_all_measured(context, count):
    assert sum(holder.measured > 0 for holder in context.holders) == count


# the load pattern

STEP_S = 0.125
SWEEP_S = 0.25
PIECE_BYTES = 32_768
PIECES_PER_STEP = 3
SMALL_BYTES = 60_000


class Reader(FakeHolder):
    """A caller that reads at a rate, whose answer is read piece by piece.

    Attributes:
        was_paused: whether reading its answer was ever paused.
    """

    def __init__(self, budget, size: int, rate: float, starts_at: float) -> None:
        super().__init__(budget)
        self.size = size
        self.rate = rate
        self.starts_at = starts_at
        self.was_paused = False

    def read(self, now: float) -> None:
        """Let the caller read, and report an empty buffer as a transport does."""
        if self.unread and not self.aborted:
            self.unread = max(0, self.unread - int(self.rate * STEP_S))
            if not self.unread:
                self.measure_buffers(now)

    def receive(self, now: float) -> None:
        """Receive a piece of the answer, unless it is paused."""
        holding, budget = self.holding, self.budget
        if now < self.starts_at or self.aborted or holding.paused:
            return
        size = min(PIECE_BYTES, self.size - holding.answer_bytes)
        if size <= 0:
            return
        holding.answer_bytes += size
        self.unread += size
        holding.to_caller.note(self.unread, now, added=size)
        budget.update(holding)
        budget.enforce(now)
        if not self.aborted and budget.should_pause(holding):
            holding.paused = self.was_paused = True


@when(
    "for {seconds:d} s {slow:d} callers that read 1 kB a second get answers of "
    "{size:d} kB within {arrive:d} s beside {fast:d} that read 500 kB a second"
)
def step_load_pattern(context, seconds, slow, size, arrive, fast):
    generator = random.Random(1)
    budget = context.budget = MemoryBudget(compute_budget_bytes(200_000_000))

    def build(large: int, rate: float) -> Reader:
        starts_at = NOW + generator.random() * arrive
        small = generator.random() < 1 / 3
        return Reader(budget, SMALL_BYTES if small else large, rate, starts_at)

    context.slow = [build(size * 1000, 1000.0) for _ in range(slow)]
    context.fast = [build(size * 1000, 500_000.0) for _ in range(fast)]
    readers = [*context.slow, *context.fast]
    context.most = 0
    for step in range(int(seconds / STEP_S)):
        now = NOW + step * STEP_S
        for reader in readers:
            reader.read(now)
        generator.shuffle(readers)
        for _ in range(PIECES_PER_STEP):
            for reader in readers:
                reader.receive(now)
                context.most = max(context.most, budget.total_bytes)
        if step % round(SWEEP_S / STEP_S) == 0:
            budget.sweep(now)


@then("no more than 50 MB and one piece were held at any time")
def step_held(context):
    assert context.most <= 50_000_000 + PIECE_BYTES, context.most
    # Otherwise the pattern does not load the budget.
    assert context.most > 49_000_000, context.most


@then("no answer of up to 64 kB was paused or aborted")
def step_small(context):
    small = [r for r in [*context.slow, *context.fast] if r.size <= FREE_BYTES]
    assert small
    assert not any(r.aborted or r.was_paused for r in small)


@then("none of those that read 500 kB a second was aborted")
def step_fast(context):
    assert sum(r.aborted for r in context.fast) == 0


@then("at least {count:d} slow answers were not aborted")
def step_survivors(context, count):
    found = sum(not r.aborted for r in context.slow)
    assert found >= count, found
