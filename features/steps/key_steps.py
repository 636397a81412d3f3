"""Steps about requests that must run at most once."""

from __future__ import annotations

import asyncio
import time
import uuid

from behave import given, then, when

from features.gateway_support import is_yes
from features.support import Caller
from ramppin.router.connection.log import LogClient
from ramppin.router.process.claims.claims import ClaimTable
from standins.common import StandIn, wait_for
from standins.demo import make_key


def count_runs(context) -> int:
    return sum(
        event["event"] == "start" and event["key"] == context.key
        for service in context.fleet.services.values()
        for event in service.history.events
    )


async def book(context, vm: str, *, body: bytes = b"hall A", **options):
    url = f"{context.fleet.get_caller_url(vm)}/services/booking/bookings"
    headers = {"Idempotency-Key": context.key} | options.pop("headers", {})
    return await Caller().send("POST", url, data=body, headers=headers, **options)


@given("the plain servers {how} keys")
def step_honour(context, how):
    for service in context.fleet.services.values():
        service._honours_keys = how == "honour"


@when("one key is sent {count:d} times at once through all VMs")
def step_at_once(context, count):
    context.key = make_key()
    vms = list(context.fleet.routers)

    async def send_all():
        sends = [book(context, vms[n % len(vms)]) for n in range(count)]
        return await asyncio.gather(*sends)

    context.answers = context.loop.run_until_complete(send_all())


async def start_trouble(context, trouble: str) -> None:
    fleet = context.fleet
    if trouble == "the log loses the claim's confirmation":
        fleet.log.faults.lose_answers = 3
    if trouble == "the log is down":
        fleet.log.faults.outage = True
    for name, service in fleet.services.items():
        if trouble == "the server loses the answer":
            service.faults.lose_answers = 100
        if trouble == "the servers are gone at first":
            await fleet.stand_ins[name].stop()


async def go_on(context, trouble: str) -> None:
    """Change what the trouble changes after the first try."""
    fleet = context.fleet
    if trouble == "the servers are gone at first":
        for name, service in fleet.services.items():
            port = fleet.stand_ins[name].port
            await fleet.start_stand_in(name, StandIn(service.app, port=port))
        await wait_for(lambda: is_serving(fleet), "servers back in service")
    if trouble == "the holder is stopped after it ran":
        await fleet.routers["vm-1"].stop()
        fleet.vms.drop("vm-1", at_once=True)


def is_serving(fleet) -> bool:
    return any(
        server.serving
        for router in fleet.routers.values()
        if "servers" in router.host.owned
        for server in router.host.owned["servers"].allocator.load.servers.values()
    )


@when("one key is sent through each VM in turn while {trouble}")
def step_in_turn(context, trouble):
    context.key = make_key()

    async def send_all():
        await start_trouble(context, trouble)
        answers = []
        for vm in list(context.fleet.routers):
            answers.append(await book(context, vm))
            if len(answers) == 1:
                await go_on(context, trouble)
        return answers

    context.answers = context.loop.run_until_complete(send_all())


@then("it ran {runs}")
def step_runs(context, runs):
    wanted = {"once": 1, "never": 0}[runs]
    assert count_runs(context) == wanted, count_runs(context)


@then("every answer is the same")
def step_same(context):
    assert {answer.status for answer in context.answers} == {200}, context.answers
    assert len({answer.body for answer in context.answers}) == 1


@then("the answers that came are the same")
def step_came_same(context):
    bodies = {answer.body for answer in context.answers if answer.status == 200}
    assert len(bodies) == 1, context.answers


@then("the answers were {outcomes}")
def step_outcomes(context, outcomes):
    found = [answer.outcome for answer in context.answers]
    assert found == outcomes.split(", "), (found, [a.body for a in context.answers])


@then("every refusal says when to come back")
def step_come_back(context):
    for answer in context.answers:
        if answer.status != 200:
            assert int(answer.headers["retry-after"]) >= 1


@then("it runs once when the log is back")
def step_back(context):
    async def send():
        context.fleet.log.faults.outage = False
        tails = [router.claims_tail for router in context.fleet.routers.values()]
        await wait_for(lambda: all(tail.up for tail in tails), "the log readable")
        return [await book(context, vm) for vm in context.fleet.routers]

    context.answers = context.loop.run_until_complete(send())
    step_same(context)
    step_runs(context, "once")


@when("a key that {what} is sent")
def step_bad_key(context, what):
    now = time.time()
    context.key = str(uuid.uuid4()) if what == "has no age" else make_key()
    issued = {"is too old": now - 3600, "comes from the future": now + 600}.get(what)
    headers = {"Idempotency-Key-Issued": str(issued)} if issued else {}
    context.answer = context.loop.run_until_complete(
        book(context, "vm-1", headers=headers)
    )


@when("one key is sent with two bodies")
def step_two_bodies(context):
    context.key = make_key()

    async def send():
        await book(context, "vm-1", body=b"hall A")
        return await book(context, "vm-2", body=b"hall B")

    context.answer = context.loop.run_until_complete(send())


async def book_before_claims_are_read(context):
    """Start a VM that can't read the claims before it has made one itself."""
    may_read = asyncio.Event()
    read = LogClient.read

    async def read_late(client, stream, start, **options):
        if stream == "claims":
            await may_read.wait()
        return await read(client, stream, start, **options)

    LogClient.read = read_late
    try:
        router = await context.fleet.start_router("vm-2")
        await wait_for(lambda: not router.find_unready(), "ready")
        booking = asyncio.create_task(book(context, "vm-2"))
        await wait_for(lambda: router.claimer.appends or booking.done(), "claimed")
    finally:
        LogClient.read = read
        may_read.set()
    return await booking


@when("the claims before a new VM's start are trimmed and the key returns there {when}")
def step_trimmed(context, when):
    fleet = context.fleet

    async def send():
        context.key = make_key()
        first = await book(context, "vm-1")
        old, context.key = context.key, make_key()
        await book(context, "vm-1")
        context.key = old
        fleet.log.trim("claims", 1)
        if when == "before it has read the rest":
            return first, await book_before_claims_are_read(context)
        router = await fleet.start_router("vm-2")
        await wait_for(lambda: router.claims_tail.caught_up, "claims read")
        await wait_for(lambda: not router.find_unready(), "ready")
        return first, await book(context, "vm-2")

    first, context.answer = context.loop.run_until_complete(send())
    assert first.outcome == "ran"


@when("a caller leaves while its keyed booking runs, and repeats through another VM")
def step_leave(context):
    context.key = make_key()
    for service in context.fleet.services.values():
        service._work_s = 0.5

    async def send():
        await book(context, "vm-1", timeout_s=0.2)
        return await book(context, "vm-2")

    context.answer = context.loop.run_until_complete(send())


@when("a repeat reaches a VM that lists the key's holder {late_s:d} seconds late")
def step_unlisted(context, late_s):
    context.key = make_key()
    fleet = context.fleet
    fleet.vms.late_for = {"vm-1": float(late_s), "vm-2": float(late_s)}

    async def send():
        holder = await fleet.start_router("vm-3", listed_at_once=False)
        await wait_for(lambda: not holder.find_unready(), "the new VM ready")
        await book(context, "vm-3")
        unlisted = fleet.routers["vm-2"].membership.find_address("vm-3") is None
        assert unlisted, "the holder is listed before the repeat"
        return await book(context, "vm-2")

    context.answer = context.loop.run_until_complete(send())


@then("the repeat got the answer")
def step_repeat(context):
    assert context.answer.status == 200, context.answer
    assert context.answer.outcome == "ran"


@when("{count:d} bookings without a key lose their answers")
def step_lose(context, count):
    for service in context.fleet.services.values():
        service.faults.lose_answers = 1000

    async def send():
        sends = []
        for number in range(count):
            url = context.fleet.get_caller_url(f"vm-{number % 2 + 1}")
            url = f"{url}/services/booking/bookings"
            sends.append(Caller().send("POST", url, data=f"hall {number}".encode()))
        return await asyncio.gather(*sends)

    context.answers = context.loop.run_until_complete(send())


@then("each ran at most once and is called unknown")
def step_at_most_once(context):
    starts = [
        event["request"].rsplit(".", 1)[0]
        for service in context.fleet.services.values()
        for event in service.history.events
        if event["event"] == "start"
    ]
    assert len(starts) == len(set(starts))
    for answer in context.answers:
        ran = answer.headers["ramppin-request-id"] in starts
        assert answer.outcome in (("unknown",) if ran else ("unknown", "not-run"))


@then("with a first kept claim that is {first}, a key of {age:g} s is too old: {old}")
def step_too_old(context, first, age, old):
    now = 1000.0
    table = ClaimTable(window_s=600.0)
    record = {"vm": "vm-1", "run": 1, "number": 1, "at": now - 60, "items": []}
    if first == "not decodable":
        record = {"at": "noon"}
    if first != "not trimmed":
        table.note_trimmed(record)
    table.apply(7, record, now)
    assert table.is_too_old(now - age, now) == is_yes(old)
