"""Steps: servers that are cold take few requests a second."""

from __future__ import annotations

import asyncio
import json
import math
import random
from collections import Counter
from dataclasses import replace

from behave import given, then, when

from bench.vms.coldstarts import Turns as ColdWayTurns
from bench.vms.coldstarts import list_cold_patterns, play_cold
from features.gateway_support import build_server, read_names
from features.platform_support import PlatformFixture, build_config
from ramppin.gateway.process.limits.coldquota import ColdQuota, ColdRules
from ramppin.gateway.process.membership.coldness import ServerColdness
from ramppin.gateway.process.routing.homes import PrefixHomes
from ramppin.gateway.process.routing.prefixselection import PrefixSelection
from ramppin.gateway.process.routing.selection import SelectionRequest
from ramppin.gateway.process.stalldetector import StallDetector
from ramppin.ranking import RendezvousRanking
from standins.common import wait_for

NOW = 100.0
HOST = "127.0.0.1"
MOST_IN_A_SECOND = 24
SEED = 1
SECONDS = 12.0
COLD_MS = 20_000
"""Longer than a scenario lasts."""


def run(context, work):
    return context.loop.run_until_complete(work)


# the rules


@when('{vms:d} VMs want to send a cold server requests as in "{name}"')
def step_play(context, vms, name):
    [pattern] = [p for p in list_cold_patterns(vms, SEED) if p.name == name]
    context.result = play_cold(replace(pattern, seconds=SECONDS), ColdWayTurns)


@then(
    "in no second it gets over {most:d}, and of the places it gives {used:f} are used"
)
def step_result(context, most, used):
    assert context.result.worst <= most == MOST_IN_A_SECOND, context.result
    assert context.result.used >= used, context.result


@then(
    "a cold server with {per_s:g} a second, {overage:g} and {slack:g} gives "
    "{places:d} places in {window:g} s"
)
def step_places(context, per_s, overage, slack, places, window):
    rules = ColdRules(overage, slack)
    assert rules.compute_quota(per_s) == places
    quota = ColdQuota("vm-1", lambda now: ["vm-1"], rules, lambda: 1000.0)
    assert quota.count_remaining("i-1", per_s, NOW) == places
    assert quota.measure_wait_s(per_s) == window


@then(
    "of 12 places a VM that knows {vms:d} VMs, itself included, has from "
    "{least:d} to {most:d}"
)
def step_own_places(context, vms, least, most):
    names = [f"vm-{number}" for number in range(1, vms + 1)]
    found = []
    for window in range(200):
        quota = ColdQuota(
            "vm-1", lambda now: names, ColdRules(1.5, 5.0), lambda w=window: w + 0.5
        )
        found.append(quota.count_remaining("i-1", 13.0, NOW))
    assert (min(found), max(found)) == (least, most), Counter(found)
    if vms:
        mean = sum(found) / len(found)
        assert math.isclose(mean, 12 / vms, rel_tol=0.35), mean


@then('with "{words}" a server is cold for {left:g} s more')
@then('with "" a server is cold for {left:g} s more')
def step_coldness(context, left, words=""):
    coldness, now = ServerColdness(), NOW
    for word in words.split():
        if word.startswith("@"):
            now += float(word[1:])
        elif word.startswith("?"):
            coldness.assume_cold(float(word[1:]), now)
        else:
            coldness.apply_entry(float(word), now)
    assert math.isclose(coldness.measure_remaining_s(now), left, abs_tol=1e-6)
    assert coldness.is_cold(now) == (left > 0)


ORDER = ("first", "second", "third", "fourth")
"""Servers of the prompt's prefix in their order by hash."""

PREFIX = 77


@then(
    'with loads "{loads}", home "{home}" and cold "{cold}" a prompt goes to '
    '"{chosen}" and its home is "{after}"'
)
def step_prompt(context, loads, home, cold, chosen, after):
    ids = RendezvousRanking().rank(PREFIX, [f"s{n}" for n in range(len(ORDER))])
    by_name = dict(zip(ORDER, ids, strict=True))
    states = {
        name: build_server(by_name[name], int(load))
        for name, load in zip(ORDER, loads.split(), strict=True)
    }
    for name in read_names(cold):
        states[name].coldness.apply_entry(COLD_MS / 1000, NOW)
    homes = PrefixHomes(lambda server: True)
    if home != "none":
        homes.note_placed(PREFIX, by_name[home], NOW)
    strategy = PrefixSelection(homes, generator=random.Random(1))
    found = strategy.choose(SelectionRequest(PREFIX), list(states.values()), NOW)
    assert found.state is states[chosen], (found, by_name)
    assert homes.find(PREFIX) == by_name[after]


PERIOD_S = 0.25


@then("after a stall of {late:g} s, {after} s after its wake a VM waits for {wait:g} s")
def step_catch_up(context, late, after, wait):
    stall_detector = StallDetector(PERIOD_S)
    stall_detector.note_tick(NOW)
    now = NOW + PERIOD_S + late
    if after != "*":
        stall_detector.note_tick(now)
        stall_detector.note_tick(now)
        now += float(after)
    assert math.isclose(stall_detector.measure_catch_up_s(now), wait, abs_tol=1e-6)


# the whole path


DOMAINS = ("porto", "faro")


@given("a gateway and servers of which {cold:d} are cold, taking {per_s:g} a second")
def step_gateway(context, cold, per_s):
    async def start():
        fixture = context.platform = PlatformFixture()
        context.cleanups.append(fixture.stop)
        await fixture.store.start()
        config = build_config()
        config["services"][0] |= {"cold_start_s": 20.0, "cold_per_s": per_s}
        config["services"][0] |= {"max_connections": 900}
        value = json.dumps(config).encode()
        fixture.store.put("keyed.op", "config", value)
        context.cold = {f"i-{domain}" for domain in DOMAINS[:cold]}
        for domain in DOMAINS:
            name = f"i-{domain}"
            await fixture.add_backend(name, "plain")
            cold_ms = COLD_MS if name in context.cold else 0
            fixture.announce(name, "plain", zone=domain, cold_ms=cold_ms)
        await fixture.start_gateway("vm-1", HOST)

    run(context, start())


async def ask_at_once(context, count: int) -> tuple[Counter, Counter]:
    """Send requests at one moment; return the statuses, and arrivals by server."""
    fixture = context.platform
    before = {name: len(b.received) for name, b in fixture.backends.items()}
    answers = await asyncio.gather(*(fixture.ask("/a/x") for _ in range(count)))
    for answer in answers:
        if answer.status != 200:
            assert b"retry-after" in answer.head.lower(), answer.head
    got = {name: len(b.received) - before[name] for name, b in fixture.backends.items()}
    return Counter(answer.status for answer in answers), Counter(got)


@then(
    '{count:d} requests at once end as "{ends}" with {most:d} at the most at each '
    "cold server"
)
def step_ask(context, count, ends, most):
    statuses, got = run(context, ask_at_once(context, count))
    if ends == "all served":
        assert statuses == {200: count}, statuses
    else:
        assert set(statuses) == {200, 503}, statuses
        log = context.platform.find_log("vm-1")
        run(
            context,
            wait_for(lambda: '"rule":"cold"' in log.read_text(), "the rule cold"),
        )
    assert all(got[name] <= most for name in context.cold), got


@when('the operator empties "{domain}" and takes it back')
def step_empty_and_take_back(context, domain):
    store, log = context.platform.store, context.platform.find_log("vm-1")

    async def play():
        store.put("keyed.op", f"evacuate/{domain}", b"{}")
        await wait_for(lambda: "domain_evacuated" in log.read_text(), "it is emptied")
        store.put("keyed.op", f"evacuate/{domain}", None)
        await wait_for(lambda: "domain_restored" in log.read_text(), "it is back")

    run(context, play())


@when('the operator takes "{domain}" back, which a VM did not know to be emptied')
def step_take_back_unknown(context, domain):
    store, log = context.platform.store, context.platform.find_log("vm-1")

    async def play():
        store.put("keyed.op", f"evacuate/{domain}", None)
        await wait_for(lambda: "domain_restored" in log.read_text(), "it is back")

    run(context, play())


@then(
    '{count:d} requests at once end as "all served" with {most:d} at the most at each '
    'of "{domain}"'
)
def step_ask_domain(context, count, most, domain):
    statuses, got = run(context, ask_at_once(context, count))
    assert statuses == {200: count}, statuses
    assert got[f"i-{domain}"] <= most, got


@then("lines, metrics and the dump tell which servers are cold")
def step_told(context):
    fixture = context.platform

    async def check():
        metrics = await fixture.read_metrics("vm-1", HOST)
        assert 'ramppin_gateway_cold_servers{service="plain"} 1.0' in metrics
        dump = json.loads(await fixture.ask_operator("vm-1", HOST, "/dump"))
        cold = {s["id"]: s["cold_s"] for s in dump["servers"]}
        assert cold["i-porto"] > 0 == cold["i-faro"], cold
        # The next entry that tells it is written as a line.
        fixture.announce("i-faro", "plain", zone="faro", cold_ms=COLD_MS)
        log = fixture.find_log("vm-1")
        await wait_for(lambda: '"server_cold"' in log.read_text(), "a line")

    run(context, check())


@when("the cold servers tell that they are warm")
def step_warm(context):
    async def play():
        for name in context.cold:
            domain = name.removeprefix("i-")
            context.platform.announce(name, "plain", zone=domain, cold_ms=0)

        async def is_warm() -> bool:
            metrics = await context.platform.read_metrics("vm-1", HOST)
            return 'ramppin_gateway_cold_servers{service="plain"} 0.0' in metrics

        await wait_for(is_warm, "no server is cold")

    run(context, play())


@then("{count:d} requests at once go to each server as to the others")
def step_even(context, count):
    statuses, got = run(context, ask_at_once(context, count))
    assert statuses == {200: count}, statuses
    assert min(got.values()) > count / 5, got


@then("two lives of a VM within one window give no more places than one")
def step_two_lives(context):
    def begin() -> ColdQuota:
        return ColdQuota("vm-1", lambda now: ["vm-1"], ColdRules(), lambda: 1000.1)

    first, spent = begin(), 0
    places = first.count_remaining("i-1", 12.0, NOW)
    while first.count_remaining("i-1", 12.0, NOW) > 0:
        first.note_sent("i-1")
        spent += 1
    again = begin().count_remaining("i-1", 12.0, NOW)
    assert spent + again <= places, (spent, again, places)
