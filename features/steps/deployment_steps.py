"""Steps with a deployment of real processes under load and failures."""

from __future__ import annotations

import asyncio
import re

from behave import given, then, when

from features import checker
from features.load import Load
from features.support import build_tree
from standins.common import wait_for
from standins.deployment import Deployment

OPTIONS = {
    "engine": ["--token-s", "0.05", "--prefill-token-s", "0.001"],
    "service": ["--work-s", "0.4"],
}
ANSWERS_AFTER = 60


@given(
    "a deployment of {routers:d} routers before {engines:d} engines "
    "and {servers:d} plain servers"
)
def step_deployment(context, routers, engines, servers):
    tree = build_tree(engines, servers)
    deployment = Deployment(tree, routers=routers, options=OPTIONS)
    context.deployment = deployment
    context.cleanups.append(deployment.stop)
    context.loop.run_until_complete(deployment.start())


@given("{chats:d} chat callers and {books:d} booking callers, seed {seed:d}")
def step_load(context, chats, books, seed):
    context.load = Load(context.deployment, seed=seed, tokens=30)
    context.loop.run_until_complete(context.load.warm_up())
    context.load_tasks = [
        context.loop.create_task(context.load.run_chats(chats)),
        context.loop.create_task(context.load.run_bookings(books)),
    ]
    context.loop.run_until_complete(wait_for_answers(context, ANSWERS_AFTER))


async def wait_for_answers(context, count: int) -> None:
    """Return once so many more chats were answered whole."""
    events = context.load.events
    begin = len(events)

    def enough() -> bool:
        fresh = [e for e in events[begin:] if e["status"] == 200 and e["whole"]]
        chats = [e for e in fresh if "key" not in e]
        return len(chats) >= count

    await wait_for(enough, f"{count} more chats answered")


@when("this happens: {what}")
def step_happens(context, what):
    context.loop.run_until_complete(perform(context, what))


@when("the fleet serves again")
def step_serves(context):
    context.loop.run_until_complete(wait_for_answers(context, ANSWERS_AFTER))


async def perform(context, what: str) -> None:
    """Let something fail, and go on once it has."""
    deployment: Deployment = context.deployment
    if what == "nothing":
        return
    owned = re.match(r"the owner of (\w+) is (.*)", what)
    if owned:
        shard, how = owned.groups()
        owner = await wait_for(lambda: deployment.find_owner(shard), "an owner")
        await FAILURES[how](context, owner)
        return
    if what == "a router that owns nothing is killed":
        await kill_idle_router(context)
        return
    name, how = re.match(r"(?:the )?([\w-]+) (?:is )?(.*)", what).groups()
    await FAILURES[how](context, name)


async def kill(context, name: str) -> None:
    await context.deployment.kill(name)
    if name.startswith("vm-"):
        await context.deployment.drop_vm(name)


async def kill_idle_router(context) -> None:
    deployment = context.deployment
    owners = [await deployment.find_owner(s) for s in deployment.tree["pools"]]
    idle = [name for name in deployment.routers if name not in owners]
    await kill(context, idle[0])


async def freeze(context, name: str) -> None:
    """Freeze a process past its lease, and let it wake as if still owner."""
    deployment = context.deployment
    shards = list(deployment.tree["pools"])
    owned = [s for s in shards if await deployment.find_owner(s) == name]
    context.load.avoid = frozenset({name})
    deployment.freeze(name)

    async def is_taken_over() -> bool:
        others = [vm for vm in deployment.routers if vm != name]
        for shard in owned:
            owners = [await deployment.owns(vm, shard) for vm in others]
            if not any(owners):
                return False
        return True

    await wait_for(is_taken_over, "other owners")
    await wait_for_answers(context, ANSWERS_AFTER // 2)
    deployment.thaw(name)
    context.load.avoid = frozenset()


async def take_log_down(context, name: str) -> None:
    """Take the log down, serve chats without it, and bring it back."""
    await context.deployment.set_fault(name, outage=True)
    await wait_for_answers(context, 2 * ANSWERS_AFTER)
    context.cleanups.append(lambda: asyncio.sleep(0))
    context.loop.create_task(bring_back(context, name))


async def bring_back(context, name: str) -> None:
    await asyncio.sleep(3)
    await context.deployment.set_fault(name, outage=False)


async def lose_answers(context, name: str) -> None:
    await context.deployment.set_fault(name, lose_answers=15)
    await wait_for_answers(context, ANSWERS_AFTER)
    await context.deployment.set_fault(name, lose_answers=0)
    context.deployment.note("mended", server=name)


async def break_streams(context, name: str) -> None:
    await context.deployment.set_fault(name, break_after=5)
    await wait_for_answers(context, ANSWERS_AFTER)
    await context.deployment.set_fault(name, break_after=0)
    context.deployment.note("mended", server=name)


async def cut_from_log(context, name: str) -> None:
    await context.deployment.set_fault("log", cut=[name])
    await wait_for_answers(context, ANSWERS_AFTER)
    await context.deployment.set_fault("log", cut=[])


FAILURES = {
    "killed": kill,
    "frozen": freeze,
    "down": take_log_down,
    "loses answers": lose_answers,
    "breaks its streams": break_streams,
    "cut from the log": cut_from_log,
}


async def finish(context) -> None:
    """Stop the load and collect the history."""
    context.load.stopping = True
    await asyncio.gather(*context.load_tasks)
    truth = await context.deployment.collect_truth()
    context.history = sorted(truth + context.load.events, key=lambda e: e["t"])


async def explain(context, violations) -> None:
    """Print why the requests that broke a promise went where they went."""
    for violation in violations:
        request = violation.event.get("request", "").rsplit(".", 1)[0]
        for vm in context.deployment.routers:
            path = f"/explain/{request}"
            status, found = await context.deployment.ask_operator(vm, path)
            if status == 200:
                steps = [(s["at_s"], s["peer"], s["finding"]) for s in found["steps"]]
                print(violation.what, violation.event["t"], steps[:3])
                break
        show_around(context.history, violation.event["t"])


def show_around(events, moment: float) -> None:
    """Print what backend servers did around a moment."""
    for event in events:
        if event["event"] in ("start", "end") and abs(event["t"] - moment) < 0.15:
            when = (event["t"] - moment) * 1000
            print(
                f"{when:+7.1f} ms {event['source']} {event['event']} {event['request']}"
            )


@then('the history keeps the promises "{promises}"')
def step_promises(context, promises):
    if "load" in context:
        context.loop.run_until_complete(finish(context))
    tree = context.deployment.tree
    pools = {
        name: list(node["backend_servers"]) for name, node in tree["pools"].items()
    }
    events = context.history
    checks = {
        "bound": lambda: checker.check_bound(events, pools, dict.fromkeys(pools, 1.25)),
        "whole": lambda: checker.check_whole(events),
        "not-run": lambda: checker.check_not_run(events),
        "once": lambda: checker.check_once(events),
        "leaving": lambda: checker.check_leaving(events, allowed_s=4.0),
        "stop": lambda: checker.check_stop(events),
        "settings": lambda: checker.check_settings(events),
    }
    if "bound" in promises:
        bounds = dict.fromkeys(pools, 1.25)
        checked, strict = checker.check_bound(events, pools, bounds, window_s=0.0)
        print(f"bound at the instant: {checked} checked, {len(strict)} over")
    for promise in promises.split(", "):
        checked, found = checks[promise]()
        print(f"{promise}: {checked} checked, {len(found)} violations")
        context.loop.run_until_complete(explain(context, found[:4]))
        assert not found, (promise, len(found), checked, found[:3])


@then("at least {count:d} answers were whole")
def step_enough(context, count):
    whole = [e for e in context.history if e["event"] == "answer" and e["whole"]]
    assert len(whole) >= count, len(whole)


@then("at most {percent:d} percent of the answers were unknown")
def step_unknown(context, percent):
    answers = [e for e in context.history if e["event"] == "answer"]
    unknown = [e for e in answers if e["outcome"] == "unknown"]
    assert len(unknown) * 100 <= percent * len(answers), (
        len(unknown),
        len(answers),
        unknown[:3],
    )
