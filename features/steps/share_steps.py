"""Steps: shares of what VMs divide, at a VM that has just started."""

from __future__ import annotations

import asyncio

import msgspec
from behave import given, then, when

from features.gateway_support import GatewayFixture, build_tree
from ramppin.gateway.process.membership.members import MemberRecord
from standins.common import wait_for


def run(context, work):
    return context.loop.run_until_complete(work)


@given(
    "a VM whose servers accept {most:d} connections, beside {others:d} VMs, its list "
    "of VMs unread"
)
def step_start(context, most, others):
    async def start():
        fixture = context.fixture = GatewayFixture()
        context.cleanups.append(fixture.stop)
        for number in range(others):
            entry = MemberRecord(f"127.0.9.{number + 1}", "faro")
            fixture.members.put(f"other-{number}", msgspec.json.encode(entry))
        fixture.members.away = True
        tree = build_tree()
        tree["services"]["plain"] = {"max_connections": most}
        fixture.publish(tree)
        await fixture.add_backend("p1", "plain")
        await fixture.start()
        await fixture.wait_until_ready(1)

    run(context, start())


def find_share(context) -> int | None:
    return context.fixture.gateway.context.share_connections("plain")


@then("its share of a server's connections stays {share:d} for {seconds:g} s")
def step_stays(context, share, seconds):
    async def watch():
        end = context.loop.time() + seconds
        while context.loop.time() < end:
            assert find_share(context) == share, find_share(context)
            await asyncio.sleep(0.02)

    run(context, watch())


@when("the list of VMs can be read")
def step_read(context):
    context.fixture.members.away = False


@then("its share of a server's connections becomes {share:d}")
def step_becomes(context, share):
    run(context, wait_for(lambda: find_share(context) == share, "its share"))
