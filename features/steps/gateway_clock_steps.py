"""Steps: VMs that are suspended for a while; the clock jumps, nothing else moves."""

from __future__ import annotations

import asyncio
import inspect
import json
import socket
import time

import msgspec
from behave import given, then, when

from features.gateway_support import GatewayFixture, build_tree, encode_request
from ramppin.clock import ClockLoop, read_clock
from ramppin.gateway.process.membership.members import FleetMembers, MemberRecord
from ramppin.gateway.process.recovery.replica import Record
from ramppin.logs import RepeatLimit
from ramppin.router.process.membership.leases import LeaseHolder, LeaseTable
from ramppin.router.process.parts import RouterParts
from ramppin.router.process.router import Router
from standins.common import wait_for

TAKERS = {taker.__name__: taker for taker in (RouterParts, Router, RepeatLimit)}
SOON_S = 0.5


class JumpingClock:
    """The steady clock, and what a suspension adds to it."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def __call__(self) -> float:
        return time.monotonic() + self.suspended_s


def run(context, work):
    return context.loop.run_until_complete(work)


def use_clock(context) -> None:
    context.clock = JumpingClock()
    context.loop.close()
    context.loop = ClockLoop(context.clock)
    asyncio.set_event_loop(context.loop)


@given("a gateway whose VM can be suspended, before a server that answers {how}")
def step_gateway(context, how):
    use_clock(context)

    async def answer(reply) -> None:
        if how == "nothing":
            await asyncio.sleep(60.0)
        await reply.answer(headers=b"Ramppin-Load: 1,0,8\r\n")

    async def start() -> None:
        fixture = context.fixture = GatewayFixture()
        context.cleanups.append(fixture.stop)
        fixture.publish(build_tree())
        backend = await fixture.add_backend("i-1", "plain")
        backend.script = answer
        await fixture.start()
        await fixture.wait_until_ready(1)

    run(context, start())


@when("a request with 10 s is sent and the VM is suspended for {seconds:g} s")
def step_send(context, seconds):
    async def send() -> None:
        fixture = context.fixture
        caller = await fixture.connect()
        await caller.send(encode_request("/again/x", request_id="r1"))
        await wait_for(fixture.list_received, "the server has the request")
        context.asked = asyncio.ensure_future(caller.read())
        context.clock.suspended_s += seconds

    run(context, send())


@then("its caller still waits")
def step_waits(context):
    run(context, asyncio.sleep(0.2))
    assert not context.asked.done()
    context.asked.cancel()


@then("its caller gets 504 within {seconds:g} s")
def step_timed_out(context, seconds):
    begin = time.monotonic()
    answer = run(context, context.asked)
    assert answer.status == 504, answer.data
    assert time.monotonic() - begin < seconds


@when("a request is answered and the VM is suspended for {seconds:g} s")
def step_answered(context, seconds):
    answer = run(context, context.fixture.ask("/again/x", request_id="r1"))
    assert answer.status == 200, answer.data
    stall_detector = context.fixture.gateway.context.directory.stall_detector
    run(context, wait_for(lambda: stall_detector._due_at is not None, "a first turn"))
    context.clock.suspended_s += seconds


@then("the age of the server's load report is {seconds:g} s at least")
def step_age(context, seconds):
    [state] = list(context.fixture.gateway.context.directory)
    assert state.load.measure_age(context.loop.time()) >= seconds


@then("the connection that rested is used again: {used}")
def step_reused(context, used):
    pool = context.fixture.gateway.context.pool
    opened = pool.opened
    answer = run(context, context.fixture.ask("/again/x", request_id="r2"))
    assert answer.status == 200, answer.data
    assert (pool.opened == opened) == (used == "yes")


@then("a line tells that the process stalled for {seconds:g} s at least")
def step_stalled(context, seconds):
    def find() -> list[dict]:
        lines = context.fixture.log_path.read_text().splitlines()
        found = [json.loads(line) for line in lines]
        return [line for line in found if line["event"] == "stalled"]

    run(context, wait_for(find, "a line about the stall"))
    # The turn was due 0.25 s after the one before, some of which had passed.
    assert find()[0]["late_ms"] >= seconds * 1000 - 250


@given("a gateway whose VM can be suspended, before a server that takes no connection")
def step_full(context):
    use_clock(context)

    async def start() -> None:
        fixture = context.fixture = GatewayFixture()
        context.cleanups.append(fixture.stop)
        fixture.publish(build_tree())
        backend = await fixture.add_backend("i-1", "plain")
        await backend.stop()
        listener = socket.create_server(("127.0.0.1", backend.port), backlog=0)
        # The kernel takes one connection beyond the backlog, and drops what follows.
        waiting = [socket.socket() for _ in range(3)]
        for connection in waiting:
            connection.setblocking(False)
            connection.connect_ex(("127.0.0.1", backend.port))
        context.kept = [listener, *waiting]
        await fixture.start()
        await fixture.wait_until_ready(1)

    run(context, start())


@when("a request is sent there and the VM is running")
@when("a request is sent there and the VM is suspended for {seconds:g} s")
def step_send_there(context, seconds=0.0):
    async def send() -> None:
        fixture = context.fixture
        stall_detector = fixture.gateway.context.directory.stall_detector
        await wait_for(lambda: stall_detector._due_at is not None, "a first turn")
        caller = await fixture.connect()
        await caller.send(encode_request("/again/x", request_id="r1"))
        pool = fixture.gateway.context.pool
        await wait_for(lambda: pool.opened, "a connection is being opened")
        context.clock.suspended_s += seconds
        await caller.read()

    run(context, send())


@then("the server is {judged}")
def step_judged(context, judged):
    [state] = list(context.fixture.gateway.context.directory)
    assert (state.health.ejected_until > 0) == (judged == "ejected")


@when(
    "a VM that knows {live:d} live ones, and {gone:d} that is gone, is suspended for "
    "{seconds:g} s"
)
def step_members(context, live, gone, seconds):
    context.members = members = FleetMembers("vm-0", "porto")
    entry = msgspec.json.encode(MemberRecord("127.0.0.9", "porto"))
    for n in range(live + gone):
        seen_at = 100.0 if n < live else 50.0
        members.apply_record(Record(f"vm-{n + 1}", entry, n), seen_at)
    context.now = 101.0 + seconds
    members.note_stall(seconds, context.now)


@then("it counts {count:d} as live when it goes on")
def step_live(context, count):
    assert len(context.members.list_live(context.now)) == count


@then("it counts {count:d} as live {seconds:d} s later if it hears of none")
def step_live_later(context, count, seconds):
    assert len(context.members.list_live(context.now + seconds)) == count


@then("the clock of a process is the system's clock since boot")
def step_clock(context):
    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert before <= read_clock() <= time.clock_gettime(time.CLOCK_BOOTTIME)
    loop = ClockLoop()
    assert before <= loop.time() <= time.clock_gettime(time.CLOCK_BOOTTIME)
    loop.close()


@then('these take it where none is given: "{names}"')
def step_takers(context, names):
    for name in names.split():
        parameter = inspect.signature(TAKERS[name]).parameters["clock"]
        assert parameter.default is read_clock, name


@when(
    "a router's lease of {ttl:g} s is renewed and its VM is suspended for {seconds:g} s"
)
def step_lease(context, ttl, seconds):
    clock = JumpingClock()
    context.holder = holder = LeaseHolder("vm-1", 1, ttl, LeaseTable())
    holder.note_log(clock() - ttl, up=True)
    [claim] = holder.plan(["s"], ["vm-1"], clock()).claims
    holder.apply(0, claim.model_dump(), clock())
    renewal = holder.plan(["s"], ["vm-1"], clock()).renewal
    holder.apply(1, renewal.model_dump(), clock())
    assert holder.may_grant("s", clock())
    clock.suspended_s += seconds
    context.lease_clock = clock


@then("it still holds the lease")
def step_holds(context):
    assert context.holder.may_grant("s", context.lease_clock())


@then("it does not hold the lease")
def step_holds_not(context):
    assert not context.holder.may_grant("s", context.lease_clock())
