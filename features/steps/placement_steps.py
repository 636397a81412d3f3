"""Steps about placement: replays, and the allocator by itself."""

from __future__ import annotations

from dataclasses import replace

from behave import given, then, when

from bench.replay import Replay
from bench.scenarios import ASSOCIATION, NOMINATIONS, list_deployments
from ramppin import (
    Allocator,
    Member,
    PlaceId,
    PlaceRequest,
    Reason,
    RendezvousRanking,
    Settings,
    SettingsTree,
)

BASES = {"association": ASSOCIATION, "nominations": NOMINATIONS}
DURATION_S = 240.0


def build_allocator(engines: int, **rules) -> Allocator:
    pool = {"backend_servers": {}, "rules": {"bound": 10.0, "slots": 100} | rules}
    tree = SettingsTree.model_validate({"pools": {"p": pool}, "services": {}})
    allocator = Allocator(Settings(0, tree).resolve_pool("p"))
    members = [Member(f"engine-{n}") for n in range(1, engines + 1)]
    allocator.set_members(members, now=0.0)
    return allocator


def ask(allocator, number: int, chat: int, *, now: float = 0.0, returning=False):
    request = PlaceRequest(PlaceId("vm-1", number), chat, "choir", returning=returning)
    return allocator.ask(request, now)


@when("the replay of the {deployment} runs, {run}, through ramppin and its baselines")
def step_replay(context, deployment, run):
    scenarios = {s.name: s for s in list_deployments(BASES[deployment])}
    scenario = replace(scenarios[f"{deployment}, {run}"], duration_s=DURATION_S)
    policies = ("ramppin", "bounded, perfect", "random", "hash alone")
    context.results = {p: Replay(scenario, p).run() for p in policies}


@then("ramppin put no engine over the bound")
def step_none_over(context):
    result = context.results["ramppin"]
    assert result.requests > 1000
    assert result.over_bound == 0, result


@then("ramppin's reuse is above that of the bounded hash with perfect knowledge")
def step_reuse(context):
    ours, perfect = context.results["ramppin"], context.results["bounded, perfect"]
    assert ours.reuse > perfect.reuse, (ours.reuse, perfect.reuse)


@then("ramppin's skew at the 99th percentile is below that of random and of hash alone")
def step_skew(context):
    ours = context.results["ramppin"].load_p99
    assert ours < context.results["random"].load_p99
    assert ours < context.results["hash alone"].load_p99


@when("the replay of the {deployment} runs calm and with a surge")
def step_surge(context, deployment):
    scenarios = {s.name: s for s in list_deployments(BASES[deployment])}
    calm = replace(scenarios[f"{deployment}, steady"], duration_s=DURATION_S)
    surge = replace(scenarios[f"{deployment}, surge"], duration_s=DURATION_S)
    context.calm = Replay(calm, "ramppin").run()
    context.results = {"ramppin": Replay(surge, "ramppin").run()}


@then("the quiet customers' 99th percentile of waiting is within {factor:g} of calm")
def step_quiet(context, factor):
    calm = context.calm.quiet_wait_p99_s
    surge = context.results["ramppin"].quiet_wait_p99_s
    assert surge <= factor * calm, (surge, calm)


@given("{chats:d} chats placed on {engines:d} engines")
def step_placed(context, chats, engines):
    context.allocator = build_allocator(engines)
    context.placed = {}
    for chat in range(1, chats + 1):
        [grant] = ask(context.allocator, chat, chat * 7919)
        context.placed[chat] = grant.backend_server
        context.allocator.release(grant.place, 0.0)


@when("one engine leaves and each chat returns")
def step_leave(context):
    members = [Member(f"engine-{n}", leaving=n == 4) for n in range(1, 10)]
    context.allocator.set_members(members, now=1.0)
    context.moved = {}
    for chat, before in context.placed.items():
        [grant] = ask(
            context.allocator, 10_000 + chat, chat * 7919, now=1.0, returning=True
        )
        if grant.backend_server != before:
            context.moved[chat] = before
        context.allocator.release(grant.place, 1.0)


@then("only chats of that engine moved")
def step_only(context):
    owned = {c for c, server in context.placed.items() if server == "engine-4"}
    assert set(context.moved) == owned
    assert len(owned) > 10


@given("a chat whose first choice is full")
def step_full(context):
    context.allocator = build_allocator(3, slots=1, spill="next")
    context.chat = 424242
    names = [f"engine-{n}" for n in (1, 2, 3)]
    context.ranked = RendezvousRanking().rank(context.chat, names)
    for number in range(1, 200):
        first = RendezvousRanking().rank(number, names)[0]
        if first == context.ranked[0]:
            [context.blocker] = ask(context.allocator, number, number)
            return


@when("it is placed elsewhere and returns after its first choice has room")
def step_elsewhere(context):
    [grant] = ask(context.allocator, 1000, context.chat)
    assert grant.reason is Reason.SPILLED
    assert grant.backend_server == context.ranked[1]
    context.allocator.release(grant.place, 1.0)
    context.allocator.release(context.blocker.place, 1.0)
    [context.grant] = ask(
        context.allocator, 1001, context.chat, now=2.0, returning=True
    )


@then("it goes to where it was placed")
def step_home(context):
    assert context.grant.reason is Reason.HOME
    assert context.grant.backend_server == context.ranked[1]


@given("an allocator of {engines:d} engines with room")
def step_room(context, engines):
    context.allocator = build_allocator(engines, suspend_s=2.0)


def ask_on(allocator, server: str, number: int, now: float):
    """Ask for a chat whose first choice is the server."""
    names = list(allocator.load.servers)
    for chat in range(number * 1000 + 1, number * 1000 + 1000):
        if RendezvousRanking().rank(chat, names)[0] == server:
            [grant] = ask(allocator, number, chat, now=now, returning=True)
            return grant
    raise AssertionError


@when("an engine fails {count:d} times in a row")
def step_fail(context, count):
    for number in range(1, count + 1):
        grant = ask_on(context.allocator, "engine-1", number, 1.0)
        assert grant.backend_server == "engine-1"
        context.allocator.release(grant.place, 1.0, failed=True)


@then("it gets nothing until its pause is over")
def step_paused(context):
    grant = ask_on(context.allocator, "engine-1", 50, 2.9)
    assert grant.backend_server != "engine-1"
    assert context.allocator.next_wake() <= 3.0
    context.allocator.tick(3.0)


@then("then one request, and more after each success")
def step_gently(context):
    allocator = context.allocator
    first = ask_on(allocator, "engine-1", 60, 4.0)
    assert first.backend_server == "engine-1"
    second = ask_on(allocator, "engine-1", 61, 4.0)
    assert second.backend_server != "engine-1"
    allocator.release(first.place, 5.0)
    taken = [ask_on(allocator, "engine-1", 70 + n, 6.0) for n in range(3)]
    servers = [grant.backend_server for grant in taken]
    assert servers[:2] == ["engine-1", "engine-1"]
    assert servers[2] != "engine-1"


@given("an allocator that knows nothing of a chat")
def step_new(context):
    context.allocator = build_allocator(5)
    context.chat = 777
    names = list(context.allocator.load.servers)
    context.ranked = RendezvousRanking().rank(context.chat, names)


@when("a cache event says that the chat is not on its first choice")
def step_event(context):
    context.allocator.observe_cache(context.ranked[3], context.chat, present=True)


@then("the chat goes where the event says")
def step_there(context):
    [grant] = ask(context.allocator, 1, context.chat, returning=True)
    assert grant.backend_server == context.ranked[3]


@then("an event that it was evicted sends it to its first choice again")
def step_evicted(context):
    context.allocator.observe_cache(context.ranked[3], context.chat, present=False)
    [grant] = ask(context.allocator, 2, context.chat, returning=True)
    assert grant.backend_server == context.ranked[0]


@given("an allocator of {engines:d} engines, bound {bound:g} and floor {floor:d}")
def step_bounded(context, engines, bound, floor):
    context.allocator = build_allocator(engines, bound=bound, floor=floor, spill="next")


@when("{places:d} places are granted, and the VM of {lost:d} of them is lost")
def step_lose(context, places, lost):
    allocator = context.allocator
    for number in range(1, places + 1):
        vm = "vm-1" if number <= lost else "vm-2"
        request = PlaceRequest(PlaceId(vm, number), number * 7919, "choir")
        decisions = allocator.ask(request, float(number))
        assert decisions, "no place though a second apart"
    allocator.handle_vm_loss("vm-1", 100.0)
    allocator.load.estimate_transit(100.0, 0.0)


@then("a backend server may hold at most {cap:d}")
def step_at_most(context, cap):
    assert context.allocator.load.cap == cap, context.allocator.load.cap
