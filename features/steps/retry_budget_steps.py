"""Steps about the retry budget of a fleet."""

from __future__ import annotations

import asyncio

import msgspec
from behave import then, when

from features.retry_fleet import play
from ramppin.gateway.process.membership.members import MemberRecord
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.upkeep import SWEEP_S


@then("no window has more repeats than the fleet is allowed")
def step_fleet_within_budget(context):
    over = {}
    for row in context.table:
        for seed in map(int, row["seeds"].split()):
            excess = play(row["form"], seed).measure_excess()
            if excess > 0:
                over[f"{row['form']} {seed}"] = round(excess, 1)
    assert not over, f"repeats over the allowance: {over}"


@when("the VM has heard nothing of {count:d} others for {silence:d} s")
def step_cut_off(context, count, silence):
    gateway = context.fixture.gateway
    seen_at = context.loop.time() - silence
    for number in range(count):
        entry = MemberRecord(f"127.0.9.{number + 1}", "faro")
        record = Record(f"other-{number}", msgspec.json.encode(entry), number + 1)
        gateway.tables.members.apply_record(record, seen_at)

    async def wait_for_sweep():
        await asyncio.sleep(2 * SWEEP_S)

    context.loop.run_until_complete(wait_for_sweep())


@then("its share of a server's connections is {share:d}")
def step_connection_share(context, share):
    found = context.fixture.gateway.context.share_connections("plain")
    assert found == share, found
