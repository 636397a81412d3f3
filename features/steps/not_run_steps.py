"""Steps about refusals that say not-run."""

from __future__ import annotations

import asyncio
import time

from behave import given, then, when

from features.support import Caller, start_fleet
from standins.common import wait_for

COUNT = 12


def list_starts(fleet, sources) -> dict[str, int]:
    found: dict[str, int] = {}
    for stand_in in sources.values():
        for event in stand_in.history.events:
            if event["event"] == "start":
                request = event["request"].rsplit(".", 1)[0]
                found[request] = found.get(request, 0) + 1
    return found


async def fail(fleet, failure: str) -> None:
    servers = list(fleet.services.values())
    if failure in ("both servers are gone", "one server is gone"):
        gone = list(fleet.services)[: 2 if failure.startswith("both") else 1]
        for name in gone:
            await fleet.stand_ins[name].stop()
    for server in servers:
        if failure == "the servers lose their answers":
            server.faults.lose_answers = 1000
        if failure == "the servers answer too late":
            server._work_s = 2.0
        if failure == "the servers are frozen":
            server.faults.frozen = True


@when("bookings without a key are sent while {failure}")
def step_book(context, failure):
    fleet = context.fleet
    late = failure in ("the servers answer too late", "the servers are frozen")
    timeout = 0.005 if failure == "the caller leaves" else 60.0

    async def book(number):
        vm = f"vm-{number % 2 + 1}"
        headers = {"Ramppin-Deadline": "0.4"} if late else {}
        url = f"{fleet.get_caller_url(vm)}/services/booking/bookings"
        return await Caller().send(
            "POST", url, data=b"hall", headers=headers, timeout_s=timeout
        )

    async def book_all():
        await fail(fleet, failure)
        answers = []
        for number in range(COUNT):
            answers.append(await book(number))
        return answers

    context.answers = context.loop.run_until_complete(book_all())
    for server in fleet.services.values():
        server.faults.frozen = False


@then("each booking that is called not-run did not run")
def step_not_run(context):
    starts = list_starts(context.fleet, context.fleet.services)
    for answer in context.answers:
        if answer.outcome == "not-run":
            assert answer.headers["ramppin-request-id"] not in starts
            assert int(answer.headers["retry-after"]) >= 1


@then("each booking that ran is called {outcomes}")
def step_ran(context, outcomes):
    starts = list_starts(context.fleet, context.fleet.services)
    assert all(count == 1 for count in starts.values()), starts
    for answer in context.answers:
        if answer.headers.get("ramppin-request-id") in starts:
            assert answer.outcome in outcomes.split(" or "), answer


@then("the outcomes are {outcomes}")
def step_outcomes(context, outcomes):
    found = {answer.outcome or "none" for answer in context.answers}
    assert found == set(outcomes.split(", ")), (
        found,
        [a for a in context.answers if a.outcome == "not-run"][:2],
    )


@given("the pool of engines has {slots:d} slots and waits of at most {wait:g} seconds")
def step_small(context, slots, wait):
    tree = context.fleet.tree
    tree["pools"]["engines"]["rules"] = {"slots": slots, "reserve": 0}
    tree["services"]["assistant"]["rules"] = {"max_wait_s": wait}
    context.loop.run_until_complete(restart(context, tree))
    context.longest_wait = wait


async def restart(context, tree) -> None:
    await context.fleet.stop()
    context.cleanups.clear()
    await start_fleet(context, tree, context.fleet.options)


@when("{count:d} callers chat at once")
def step_chat(context, count):
    url = context.fleet.get_caller_url("vm-1")

    async def ask(number):
        begin = time.monotonic()
        messages = [{"role": "user", "content": f"question {number}"}]
        answer = await Caller().chat(url, messages, max_tokens=150)
        return answer, time.monotonic() - begin

    async def ask_all():
        return await asyncio.gather(*(ask(number) for number in range(count)))

    timed = context.loop.run_until_complete(ask_all())
    context.answers = [answer for answer, _ in timed]
    context.times = [spent for answer, spent in timed if answer.status != 200]


@then("some are refused with a wait's reason, Retry-After and not-run")
def step_some_refused(context):
    refused = [answer for answer in context.answers if answer.status != 200]
    assert refused
    assert len(refused) < len(context.answers)
    for answer in refused:
        code = answer.json()["error"]["code"]
        assert code in ("wait_ended", "wait_too_long", "queue_full"), code
        assert answer.outcome == "not-run"
        assert int(answer.headers["retry-after"]) >= 1


@then("no refusal came later than the longest wait and a second")
def step_soon(context):
    assert max(context.times) < context.longest_wait + 1.0, context.times


@then("what was refused did not run")
def step_refused_not_run(context):
    async def settle():
        await wait_for(lambda: not context.fleet.routers["vm-1"].placer.held, "idle")

    context.loop.run_until_complete(settle())
    starts = list_starts(context.fleet, context.fleet.engines)
    refused = [
        a.headers["ramppin-request-id"] for a in context.answers if a.status > 200
    ]
    assert not set(refused) & set(starts)
