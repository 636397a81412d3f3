"""Steps: the rules on backend servers, prefixes and connections."""

from __future__ import annotations

import math
import random
from collections import Counter

import msgspec
from behave import then

from features.gateway_support import (
    RULE_ROUTES,
    build_server,
    is_yes,
    read_names,
)
from ramppin.gateway.connection.datagrams import FailureHint
from ramppin.gateway.connection.reuse import choose_idle_limit_s, may_keep, may_reuse
from ramppin.gateway.process.load.gossip import LoadGossip
from ramppin.gateway.process.membership.evidence import FleetEvidence
from ramppin.gateway.process.membership.health import (
    UNRESPONSIVE_AFTER_S,
    Outcome,
    ServerHealth,
)
from ramppin.gateway.process.membership.members import (
    FleetMembers,
    MemberRecord,
)
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.eligibility import (
    find_failing_servers,
    list_eligible,
)
from ramppin.gateway.process.routing.failuregossip import FailureGossip
from ramppin.gateway.process.routing.hints import HintExchange
from ramppin.gateway.process.routing.homes import PrefixHomes
from ramppin.gateway.process.routing.nearestselection import NearestSelection
from ramppin.gateway.process.routing.prefixselection import PrefixSelection
from ramppin.gateway.process.routing.selection import SelectionRequest
from ramppin.gateway.process.routing.serverstate import BackendServer, ServerState
from ramppin.gateway.process.stalldetector import StallDetector
from ramppin.ranking import RendezvousRanking

NOW = 100.0


def prepare_health(health: ServerHealth, state: str) -> None:
    if state == "ejected":
        health.note_outcome(Outcome.UNREACHABLE, NOW)
    elif state == "unresponsive":
        health.note_sent(NOW - UNRESPONSIVE_AFTER_S - 0.1)


@then('of servers "{servers}" with "{tried}" tried the eligible are "{eligible}"')
def step_eligible(context, servers, tried, eligible):
    states = []
    for number, state in enumerate(servers.split()):
        server = BackendServer(f"s{number}", "plain", "127.0.0.1", 1)
        states.append(ServerState(server))
        prepare_health(states[-1].health, state)
    found = list_eligible(states, tried.split(), None, NOW)
    assert " ".join(state.id for state in found) == eligible.replace("none", "")


ORDER = ("first", "second", "third", "fourth")
"""Servers of the prompt's prefix in their order by hash."""

PREFIX = 77


@then(
    'with loads "{loads}", home "{home}" and "{tried}" tried a prompt goes to '
    '"{chosen}" as rank {rank:d}, copied from "{source}", and its home is "{after}"'
)
def step_prompt(context, loads, home, tried, chosen, rank, source, after):
    ids = RendezvousRanking().rank(PREFIX, [f"s{n}" for n in range(len(ORDER))])
    by_name = dict(zip(ORDER, ids, strict=True)) | {"none": None}
    states = [
        build_server(by_name[name], int(load))
        for name, load in zip(ORDER, loads.split(), strict=True)
    ]
    homes = PrefixHomes(lambda server: True)
    if home != "none":
        homes.note_placed(PREFIX, by_name[home], NOW)
    excluded = frozenset(by_name[name] for name in read_names(tried))
    request = SelectionRequest(PREFIX, excluded)
    strategy = PrefixSelection(homes)
    selection = strategy.choose(request, states, NOW)
    found = (selection.state.id, selection.rank, selection.copy_from)
    assert found == (by_name[chosen], rank, by_name[source]), (found, by_name)
    assert homes.find(PREFIX) == by_name[after]


PLAIN_DRAWS = 4000


@then('among servers "{servers}" requests without a prefix go in shares {shares}')
def step_plain_choice(context, servers, shares):
    states = []
    for number, text in enumerate(servers.split()):
        place, load, *told = text.split(":")
        states.append(build_server(f"s{number}", int(load), place))
        states[-1].waiting.apply_peer_count("vm-2", int(*told or "0"), NOW)
    strategy = NearestSelection("near", generator=random.Random(1))
    found = Counter(
        strategy.choose(SelectionRequest(), states, NOW).state.id
        for _ in range(PLAIN_DRAWS)
    )
    for state, share in zip(states, map(float, shares.split()), strict=True):
        drawn = found[state.id] / PLAIN_DRAWS
        assert math.isclose(drawn, share, abs_tol=0.03 if share % 1 else 0), found


def read_number(text: str) -> float | None:
    return None if text == "none" else float(text.removesuffix(" s"))


@then(
    'a connection idle for {idle:g} s on a "{kind}" route with {announced} announced '
    "is used: {used}"
)
def step_reuse(context, idle, kind, announced, used):
    limit_s = choose_idle_limit_s(repeatable=RULE_ROUTES[kind].repeatable)
    assert may_reuse(idle, limit_s, read_number(announced)) is is_yes(used)


@then("with {idle:d} idle connections and {spare} to spare one more is kept: {kept}")
def step_keep(context, idle, spare, kept):
    limit = None if spare == "none" else int(spare)
    assert may_keep(idle, limit) is is_yes(kept)


def build_directory(loads: str) -> ServerDirectory:
    directory = ServerDirectory()
    for number, load in enumerate(loads.split()):
        state = directory.put(BackendServer(f"s{number}", "plain", "127.0.0.1", 1))
        state.note_load(int(load), 0, NOW)
    return directory


def build_hints(others: int) -> tuple[HintExchange, PrefixHomes]:
    members = FleetMembers("vm", "a")
    for number in range(others):
        entry = msgspec.json.encode(MemberRecord(f"10.0.0.{number}", "a"))
        members.apply_record(Record(f"vm-{number}", entry, number), NOW)
    homes = PrefixHomes(lambda server: True)
    news = FailureGossip(ServerDirectory(), "a")
    loads = LoadGossip(ServerDirectory())
    return HintExchange("vm", None, 1, members, homes, news, loads), homes


@then(
    "with {others:d} other VMs a home placed {after:g} s after a message is told in "
    "{soon:g} s"
)
def step_told_at_once(context, others, after, soon):
    hints, homes = build_hints(others)
    assert hints.is_due(NOW)
    assert not hints.is_due(NOW + after)
    homes.note_placed(PREFIX, "s0", NOW + after)
    assert hints.is_due(NOW + after + soon)


@then(
    "with {others:d} other VMs a second build is told in {soon:g} s, unless another VM "
    "reported it"
)
def step_build_told_at_once(context, others, soon):
    for is_reported in (False, True):
        hints, _ = build_hints(others)
        assert hints.is_due(NOW)
        history = hints._continuity.history
        if is_reported:
            history.note_mixed(["m"], NOW)
        for build in ("v1", "v2"):
            server = BackendServer(f"s-{build}", "m", "127.0.0.1", 1, build=build)
            history.note_servers([ServerState(server)], NOW)
        assert hints.is_due(NOW + soon) is not is_reported


@then("with {others:d} other VMs and no datagrams left it is told in the turn")
def step_told_in_turn(context, others):
    hints, homes = build_hints(others)
    assert hints.is_due(NOW)
    hints._datagram_budget = 0.0
    homes.note_placed(PREFIX, "s0", NOW)
    assert not hints.is_due(NOW + 0.2)
    assert hints.is_due(NOW + others / 100)


def build_evidence(text: str) -> FleetEvidence:
    """Return evidence from words ``DOMAIN:COUNT@AGE``."""
    evidence = FleetEvidence()
    told = []
    for word in text.split():
        domain, _, rest = word.partition(":")
        count, _, age = rest.partition("@")
        told.append((NOW - float(age), domain, float(count)))
    for at, domain, count in sorted(told):
        evidence.note_failures(count, domain, at)
    return evidence


@then(
    'a server with the failures "{told}" of {rate:g} requests/s is passed over: {bad}'
)
def step_evidence(context, told, rate, bad):
    found = build_evidence(told.replace("none", "")).is_failing("a", rate, NOW)
    assert found is is_yes(bad), found


@then("of {count:d} servers with {failing:d} that fail {bad:d} are passed over")
def step_bad_servers(context, count, failing, bad):
    states = [build_server(f"s{n}", 0) for n in range(count)]
    for state in states[:failing]:
        state.evidence.note_failures(9.0, "a", NOW)
    assert len(find_failing_servers(states, "a", 5.0, NOW)) == bad


@then("among {count:d} servers a VM that saw {failing:d} fail tells of {told:d}")
def step_tells_failures(context, count, failing, told):
    directory = build_directory(" ".join(["0"] * count))
    for state in list(directory)[:failing]:
        state.health.note_outcome(Outcome.FAILED, NOW)
    found = FailureGossip(directory, "a").collect(NOW)
    assert len(found) == told, found
    assert [state.evidence.is_failing("a", 0.1, NOW) for state in directory] == (
        [False] * count
    )


@then(
    "a request that ends unanswered at a server silent for {silent:g} s is told: {told}"
)
def step_unanswered(context, silent, told):
    state = build_server("s0", 0)
    state.health.note_sent(NOW - silent)
    state.health.note_unanswered(NOW)
    assert bool(state.health.pop_pending_failures()) is is_yes(told)


@then("{count:d} VMs that each see one failure find a server out after {needed:d}")
def step_found_out(context, count, needed):
    directory = build_directory("0 0 0 0 0 0")
    news = FailureGossip(directory, "a")
    for number in range(1, count + 1):
        news.apply([FailureHint("s0", 1)], "a", NOW + 0.01 * number)
        bad = find_failing_servers(list(directory), "a", 30.0, NOW + 0.01 * number)
        assert bool(bad) is (number >= needed), (number, bad)


@then('a VM that was told of failures of "{server}" tells nothing')
def step_tells_no_echo(context, server):
    directory = build_directory("1 1 1 1")
    news = FailureGossip(directory, "a")
    news.apply([FailureHint(server, 5)], "a", NOW)
    assert directory.find(server).evidence.is_failing("a", 1.0, NOW)
    assert not news.collect(NOW + 0.1)


def build_stall_detector(moments: str) -> StallDetector:
    """Return turns of 0.25 s that came at some moments."""
    stall_detector = StallDetector(0.25)
    for moment in read_names(moments):
        stall_detector.note_tick(NOW + float(moment))
    return stall_detector


@then('a process with turns of 0.25 s at "{moments}" is behind at {asked:g}: {behind}')
def step_behind(context, moments, asked, behind):
    assert build_stall_detector(moments).is_behind(NOW + asked) is is_yes(behind)


@then(
    "a server silent for {silent:g} s is not unresponsive to a process that is behind"
)
def step_silent_behind(context, silent):
    context.directory = ServerDirectory(build_stall_detector("0"))
    state = context.directory.put(BackendServer("s0", "plain", "127.0.0.1", 1))
    context.asked_at = NOW + silent
    state.health.note_sent(NOW)
    state.waiting.note_sent("request", NOW)
    assert not state.health.is_unresponsive(context.asked_at)
    state.health.note_unanswered(context.asked_at)
    assert not state.health.pop_pending_failures()


@then("its overdue requests are not told, nor held once they are given up")
def step_nothing_told(context):
    directory, now = context.directory, context.asked_at
    assert not LoadGossip(directory).collect(now).waits
    directory.find("s0").note_ended("request", now)
    assert not directory.find("s0").count_held(now)
