"""Steps: failure domains that the operator has emptied."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from dataclasses import replace

from behave import given, then, when

from features.gateway_support import read_names
from features.platform_support import PlatformFixture, StoreStandIn
from ramppin.errors import SettingsError
from ramppin.gateway.process.membership.health import Outcome
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.routing.closure import ClosureReason
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.gate import ServerGate
from ramppin.gateway.process.routing.homes import PrefixHomes
from ramppin.gateway.process.routing.nearestselection import NearestSelection
from ramppin.gateway.process.routing.prefixselection import PrefixSelection
from ramppin.gateway.process.routing.selection import SelectionRequest
from ramppin.gateway.process.routing.serverstate import BackendServer
from ramppin_platform.records import PlatformDecoder
from standins.common import wait_for

NOW = 100.0
DOMAINS = ("porto", "faro", "evora")
HOSTS = {"vm-1": "127.0.0.1", "vm-2": "127.0.0.2"}
SECOND = "vm-2"
ASKED = 24
"""Requests to each VM that must all go to the servers that are left."""

REFUSED_WITHIN_S = 0.5
SLOW_S = 1.0


def run(context, work):
    return context.loop.run_until_complete(work)


# the rules


def build_directory() -> ServerDirectory:
    directory = ServerDirectory()
    for domain in DOMAINS:
        directory.put(BackendServer(f"i-{domain}", "llm", "127.0.0.1", 1, domain))
    return directory


@then(
    'with "{emptied}" emptied and "{restored}" taken back, servers of "{left}" are open'
)
def step_open(context, emptied, restored, left):
    directory = build_directory()
    for offset, domain in enumerate(read_names(emptied)):
        directory.evacuations.begin(domain, offset, NOW)
    for domain in read_names(restored):
        directory.evacuations.end(domain)
    found = [state.server.failure_domain for state in directory.list_open("llm")]
    assert found == read_names(left), found
    for state in directory:
        assert directory.is_open(state.id) == (state in directory.list_open("llm"))
    survey = ServerGate(directory, None, lambda service: 0.0).survey("llm", NOW)
    assert survey.states == directory.list_open("llm")
    reasons = [closure.reason for closure in survey.closed.values()]
    assert reasons == [ClosureReason.EVACUATED] * (len(DOMAINS) - len(found)), reasons


WAYS = {
    "has its prefix's home there",
    "has a hot prefix",
    "tried every other server",
    "finds every other server ejected",
    "finds every other server full",
    "is a suspect",
    "has no prefix",
}
PREFIX = 77


@then('a request that "{way}" finds no server of an emptied failure domain')
def step_ways(context, way):
    assert way in WAYS, way
    directory = build_directory()
    homes = PrefixHomes(directory.is_open)
    homes.note_placed(PREFIX, "i-porto", NOW)
    directory.evacuations.begin("porto", 7, NOW)
    others = [directory.find(f"i-{domain}") for domain in DOMAINS[1:]]
    exclude, most, suspect = frozenset(), None, None
    if way == "has a hot prefix":
        for _ in range(9):
            homes.hot.note_home_at_bound(PREFIX, 3, NOW)
    elif way == "tried every other server":
        exclude = frozenset(state.id for state in others)
    elif way == "finds every other server ejected":
        for state in others:
            state.health.note_outcome(Outcome.UNREACHABLE, NOW)
    elif way == "finds every other server full":
        most = 1
        for state in others:
            state.in_flight = 9
    elif way == "is a suspect":
        suspect = 5
    strategies = [PrefixSelection(homes, generator=random.Random(1))]
    if way == "has no prefix":
        strategies = [NearestSelection("porto", generator=random.Random(1))]
    request = SelectionRequest(PREFIX, exclude, most, suspect_key=suspect)
    for strategy in strategies:
        for _ in range(30):
            found = strategy.choose(request, directory.list_open("llm"), NOW)
            left = None if found is None else found.state.server.failure_domain
            assert left != "porto"
            assert (found is None) == bool(exclude)


@then('a prompt whose home {why} goes elsewhere and is copied from "{source}"')
def step_copied(context, why, source):
    directory = build_directory()
    homes = PrefixHomes(directory.is_open)
    homes.note_placed(PREFIX, "i-porto", NOW)
    home = directory.find("i-porto")
    if why == "stands in an emptied domain":
        directory.evacuations.begin("porto", 7, NOW)
    elif why.startswith("is draining"):
        directory.put(replace(home.server, draining=True))
    elif why == "has ended":
        directory.mark_missing("i-porto")
    elif why == "is at the bound":
        home.in_flight = 9
    if why.endswith("and fails"):
        home.health.note_outcome(Outcome.UNREACHABLE, NOW)
    strategy = PrefixSelection(homes, generator=random.Random(1))
    request = SelectionRequest(PREFIX)
    found = strategy.choose(request, directory.list_open("llm"), NOW)
    assert found.state is not home
    copied = directory.find_copy_source(found.copy_from, NOW)
    assert copied == (home.server if source == "home" else None), found


@then('a record "{key}" empties "{domain}"')
def step_record(context, key, domain):
    record = Record(key.replace("\\x00", "\x00"), b"{}", 3)
    try:
        found = PlatformDecoder().find_evacuated(record) or "none"
    except SettingsError:
        found = "refused"
    assert found == domain, found


# the whole path


@given('gateways before servers in "{domains}"')
def step_gateways(context, domains):
    async def start():
        fixture = context.platform = PlatformFixture()
        context.cleanups.append(fixture.stop)
        await fixture.start()
        for domain in domains.split():
            await fixture.add_backend(f"i-{domain}", "plain")
            fixture.announce(f"i-{domain}", "plain", zone=domain)
        # The second one reads the same records, behind a door of its own.
        context.door = StoreStandIn()
        context.cleanups.append(context.door.stop)
        await context.door.start()
        context.door.topics = fixture.store.topics
        context.door.newest = fixture.store.newest
        await start_gateways(context)

    run(context, start())


async def start_gateways(context) -> None:
    for vm, host in HOSTS.items():
        store = context.door if vm == SECOND else None
        await context.platform.start_gateway(vm, host, store=store)


@when("the VMs start again")
def step_start_again(context):
    async def play():
        fixture = context.platform
        for vm in HOSTS:
            fixture.processes[vm].kill()
            await fixture.processes[vm].wait()
        await start_gateways(context)

    run(context, play())


@when('the operator empties "{domain}"')
def step_empty(context, domain):
    context.platform.store.put("keyed.op", f"evacuate/{domain}", b"{}")


@when('the operator takes "{domain}" back')
def step_take_back(context, domain):
    context.platform.store.put("keyed.op", f"evacuate/{domain}", None)


@when("the store turns the second VM away")
def step_turn_away(context):
    context.door.refuse = 503


@when("the store drops the settings' history")
def step_drop(context):
    context.platform.store.drop_history("keyed.op")


@then('requests go to servers in "{domains}" alone')
def step_served(context, domains):
    names = {f"i-{domain}" for domain in domains.split()}

    async def ask() -> None:
        for vm, host in HOSTS.items():

            async def is_so(vm=vm, host=host) -> bool:
                found = await context.platform.count_served(ASKED, vm=vm, host=host)
                return {name for name, count in found.items() if count} == names

            await wait_for(is_so, f"requests at {vm} go to {sorted(names)} alone")

    run(context, ask())


@then('requests are refused at once, with when to come back and the rule "{rule}"')
def step_refused(context, rule):
    fixture = context.platform

    async def ask() -> None:
        for vm, host in HOSTS.items():

            async def is_refused(vm=vm, host=host) -> bool:
                return (await fixture.ask("/a/x", vm=vm, host=host)).status == 503

            await wait_for(is_refused, f"{vm} refuses")
            before = Counter({n: len(b.received) for n, b in fixture.backends.items()})
            started = context.loop.time()
            answer = await fixture.ask("/a/x", vm=vm, host=host)
            assert answer.status == 503
            assert b"retry-after" in answer.head.lower()
            assert context.loop.time() - started < REFUSED_WITHIN_S
            after = Counter({n: len(b.received) for n, b in fixture.backends.items()})
            assert before == after
            await wait_for(
                lambda vm=vm: f'"rule":"{rule}"' in fixture.find_log(vm).read_text(),
                f"a line with the rule {rule}",
            )

    run(context, ask())


async def answer_late(reply):
    await asyncio.sleep(SLOW_S)
    await reply.answer()


@when('a slow request runs at each server and the operator empties "{domain}"')
def step_slow(context, domain):
    fixture = context.platform

    async def play() -> None:
        for backend in fixture.backends.values():
            backend.script = answer_late
        context.slow = [
            asyncio.ensure_future(fixture.ask("/a/x", vm=vm, host=host))
            for vm, host in HOSTS.items()
            for _ in range(8)
        ]

        def is_busy() -> bool:
            return all(backend.received for backend in fixture.backends.values())

        await wait_for(is_busy, "each server has a request")
        step_empty(context, domain)

    run(context, play())


@then("the slow requests are answered whole")
def step_slow_answered(context):
    answers = run(context, asyncio.gather(*context.slow))
    assert all(answer.status == 200 and answer.whole for answer in answers)


@then('lines, metrics and the dump tell that "{domain}" is emptied')
def step_told(context, domain):
    check_told(context, [domain], "domain_evacuated")


@then("lines, metrics and the dump tell that nothing is emptied")
def step_nothing_told(context):
    check_told(context, [], "domain_restored")


def check_told(context, domains: list[str], event: str) -> None:
    fixture = context.platform

    async def check() -> None:
        for vm, host in HOSTS.items():
            await wait_for(
                lambda vm=vm: f'"event":"{event}"' in fixture.find_log(vm).read_text(),
                event,
            )
            metrics = await fixture.read_metrics(vm, host)
            count = f"ramppin_gateway_evacuated_domains {len(domains)}.0"
            assert count in metrics
            dump = json.loads(await fixture.ask_operator(vm, host, "/dump"))
            assert [found["domain"] for found in dump["evacuations"]] == domains

    run(context, check())
