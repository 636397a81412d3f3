"""Steps: the gateway's synchronous parts, driven without I/O."""

from __future__ import annotations

import itertools
import json

from behave import then
from hypothesis import given as generated
from hypothesis import settings as generation
from hypothesis import strategies as st

from features.gateway_support import build_tree
from ramppin.errors import SettingsError
from ramppin.gateway.process.limits.retrybudget import (
    RetryBudget,
    RetryRules,
    RetryWindow,
)
from ramppin.gateway.process.membership.health import (
    UNRESPONSIVE_AFTER_S,
    Outcome,
    ServerHealth,
)
from ramppin.gateway.process.recovery.removalhold import find_hold_end
from ramppin.gateway.process.recovery.replica import Record, Replica
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.eligibility import (
    list_eligible,
    share_connections,
)
from ramppin.gateway.process.routing.homes import HomeAnnouncement, PrefixHomes
from ramppin.gateway.process.routing.prefixselection import PrefixSelection
from ramppin.gateway.process.routing.selection import SelectionRequest
from ramppin.gateway.process.routing.serverstate import BackendServer
from ramppin.gateway.request.events import EventSplitter
from ramppin.gateway.version.routingfile import TreeDecoder
from ramppin.ranking import hash_name, mix

GENERATION = generation(max_examples=60, deadline=None, derandomize=True)


def decode(tree):
    return TreeDecoder().decode_table(Record("settings", json.dumps(tree).encode(), 0))


@then('the route of "{host}" "{path}" is "{name}"')
def step_route(context, host, path, name):
    routes = {prefix: {"service": "plain"} for prefix in ("/", "/x/", "/x/y/")}
    table = decode(build_tree(hosts={"a.example": {"routes": routes}}))
    found = table.find_route(host, path)
    assert found is not None
    assert found.name == name, found.name


@then('the route of "{host}" "{path}" is ""')
def step_no_route(context, host, path):
    routes = {prefix: {"service": "plain"} for prefix in ("/", "/x/", "/x/y/")}
    table = decode(build_tree(hosts={"a.example": {"routes": routes}}))
    assert table.find_route(host, path) is None


@then(
    "{requests:d} requests and {asked:d} retries allow {at_once:d}, "
    "and as many again in the window {allowed:d}"
)
def step_retries(context, requests, asked, at_once, allowed):
    window = RetryWindow(ratio=0.2, window_s=10.0, extra=2)

    def ask(now):
        return sum(window.consume(now) for _ in range(asked))

    for _ in range(requests):
        window.note_request(5.0)
    made = ask(6.0)
    assert made == at_once, made
    for _ in range(requests):
        window.note_request(11.9)
    made += ask(12.0)
    assert made == allowed, made
    if requests:
        assert not window.consume(14.9)
    assert window.consume(16.5)


@then('the time limit set at "{levels}" is {value:f}')
def step_inherit(context, levels, value):
    chosen = levels.split()

    def rules(level, limit):
        return {"time_limit_s": limit} if level in chosen else {}

    tree = {
        "version": 1,
        "rules": rules("fleet", 1.0),
        "services": {"plain": {"rules": rules("service", 2.0)}},
        "hosts": {
            "a.example": {
                "rules": rules("host", 3.0),
                "routes": {"/x/": {"service": "plain", "rules": rules("route", 4.0)}},
            }
        },
    }
    assert decode(tree).routes[0].time_limit_s == value


BAD_SETTINGS = {
    "no service": {"hosts": {"a.example": {"routes": {"/x/": {"service": "none"}}}}},
    "no slash": {"hosts": {"a.example": {"routes": {"/x": {"service": "plain"}}}}},
    "unknown field": {"services": {"plain": {"slot": 1}}},
    "wrong type": {"limits": {"max_body_bytes": "many"}},
}


@then('settings with "{what}" are refused at "{place}"')
def step_bad(context, what, place):
    found = None
    try:
        decode(build_tree(**BAD_SETTINGS[what]))
    except SettingsError as error:
        found = error
    assert found is not None, "accepted"
    assert found.path == place, found.show()
    assert place in found.show()


# homes


def build_homes(usable):
    return PrefixHomes(lambda server: server in usable)


HOME_CASES = {
    "one places, others learn it": [("first", 0.2)],
    "two at the same time": [("first", 1.0), ("second", 1.2)],
    "an older and a younger": [("first", 9.0), ("second", 1.0)],
    "the older server is gone": [("gone", 9.0), ("second", 1.0)],
}


@then('homes announced in any order end as "{end}" for "{case}"')
def step_homes(context, end, case):
    key = 12345
    announced = HOME_CASES[case]
    if end == "higher":
        names = [server for server, _ in announced]
        end = max(names, key=lambda server: mix(key, hash_name(server)))
    for order in itertools.permutations(announced):
        homes = build_homes({"first", "second"})
        for server, age_s in order:
            homes.apply_announcement(HomeAnnouncement(key, server, age_s), 100.0)
        assert homes.find(key) == end, order


def build_states(count):
    directory = ServerDirectory()
    for number in range(count):
        directory.put(BackendServer(f"s{number}", "m", "127.0.0.1", number))
    return directory


def place_all(strategy, directory, keys, now):
    places = {}
    for key in keys:
        selection = strategy.choose(
            SelectionRequest(key), directory.list_open("m"), now
        )
        places[key] = selection.state.id
    return places


def build_strategy(directory: ServerDirectory, **bounds: float) -> PrefixSelection:
    homes = PrefixHomes(directory.is_open)
    return PrefixSelection(homes, **bounds)


@then("{count:d} prefixes placed on {servers:d} servers stay when {more:d} more join")
def step_join(context, count, servers, more):
    directory = build_states(servers)
    strategy = build_strategy(directory)
    keys = range(1, count + 1)
    before = place_all(strategy, directory, keys, 1.0)
    for number in range(servers, servers + more):
        directory.put(BackendServer(f"s{number}", "m", "127.0.0.1", number))
    assert place_all(strategy, directory, keys, 2.0) == before


@then("{count:d} prefixes on {servers:d} servers move only from the one that leaves")
def step_leave(context, count, servers):
    directory = build_states(servers)
    strategy = build_strategy(directory)
    keys = range(1, count + 1)
    before = place_all(strategy, directory, keys, 1.0)
    directory.put(BackendServer("s0", "m", "127.0.0.1", 0, draining=True))
    after = place_all(strategy, directory, keys, 2.0)
    moved = {key for key in keys if before[key] != after[key]}
    assert moved == {key for key in keys if before[key] == "s0"}
    assert "s0" not in after.values()


@then("{count:d} generated placements leave no server above the bound")
def step_bound(context, count):
    directory = build_states(6)
    strategy = build_strategy(directory, bound=1.8, slack=2.0)

    @GENERATION
    @generated(st.lists(st.integers(0, 9), min_size=30, max_size=80))
    def check(keys):
        for state in directory:
            state.in_flight = 0
        for key in keys:
            states = directory.list_open("m")
            mean = sum(state.in_flight for state in states) / len(states)
            chosen = strategy.choose(SelectionRequest(key), states, 1.0).state
            assert chosen.in_flight < 1.8 * mean + 2.0
            chosen.in_flight += 1

    check()


@then(
    'the stream "{stream}" in pieces of any size gives whole events up to '
    '"{whole}", last id "{last}"'
)
def step_split(context, stream, whole, last):
    check_split(stream, whole, last)


@then(
    'the stream "{stream}" in pieces of any size gives whole events up to '
    '"", last id "{last}"'
)
def step_split_none(context, stream, last):
    check_split(stream, "", last)


def check_split(stream: str, whole: str, last: str) -> None:
    data = stream.encode().decode("unicode_escape").encode()
    for size in range(1, len(data) + 1):
        splitter = EventSplitter()
        pieces = [data[at : at + size] for at in range(0, len(data), size)]
        found = b"".join(splitter.feed(piece) for piece in pieces)
        assert found == whole.encode().decode("unicode_escape").encode(), (size, found)
        assert (splitter.last_id or b"none") == last.encode(), size


def read_share(text: str) -> int | None:
    return None if text == "none" else int(text)


@then(
    'with "{loads}" requests in flight and a share of {share} '
    'the choice is among "{left}"'
)
def step_usable(context, loads, share, left):
    directory = build_states(len(loads.split()))
    for state, load in zip(directory, loads.split(), strict=True):
        state.in_flight = int(load)
    found = list_eligible(directory.list_open("m"), (), read_share(share), 1.0)
    assert [state.id for state in found] == left.split(), found


@then("of {most:d} connections a VM among {vms} has {share}")
def step_share(context, most, vms, share):
    known = None if vms == "unknown" else int(vms)
    assert share_connections(most, known) == read_share(share)


# health


@then('after "{outcomes}" a server is {state:w}')
def step_health(context, outcomes, state):
    health, now = ServerHealth(), 100.0
    for outcome in outcomes.split():
        now += 0.01
        if outcome == "wait":
            now += 10.0
        elif outcome == "sent":
            health.note_sent(now)
        elif outcome == "received":
            health.note_received(now, awaited=False)
        elif outcome == "silence":
            now += UNRESPONSIVE_AFTER_S + 0.1
        else:
            health.note_outcome(Outcome(outcome), now)
    assert health.is_suspect(now) == (state == "suspect")


# outages


def check_hold(course: str, now: float, end: float | None) -> None:
    words = course.split()
    regained = "regained" in words
    found = find_hold_end(
        reachable="lost" not in words or regained,
        regained_at=float(words[-1]) if regained else float("-inf"),
        now=now,
    )
    assert found == end or abs(found - end) < 1e-9, found


@then('an entry that vanishes at {now:f} after "{course}" is held until "{end:f}"')
def step_hold(context, now, course, end):
    check_hold(course, now, end)


@then('an entry that vanishes at {now:f} after "{course}" is held until ""')
def step_no_hold(context, now, course):
    check_hold(course, now, None)


# replica


@then("a replica fed with generated batches keeps the newest of each key")
def step_replica(context):
    @GENERATION
    @generated(
        st.lists(
            st.tuples(st.sampled_from("abc"), st.sampled_from([None, b"1", b"2"])),
            max_size=12,
        ),
        st.lists(st.tuples(st.integers(0, 12), st.integers(0, 12)), max_size=12),
    )
    def check(values, reads):
        log = [Record(key, value, at) for at, (key, value) in enumerate(values)]
        seen = {}

        def take(record):
            assert seen.get(record.key, -1) < record.offset
            seen[record.key] = record.offset

        replica = Replica("t", take)
        known = 0
        for start, end in reads:
            low, high = sorted((min(start, len(log)), min(end, len(log))))
            if low <= replica.position:
                replica.apply(log[low:high], high, float(high))
                known = max(known, high)
        newest = {record.key: record.offset for record in log[:known]}
        assert seen == newest
        assert replica.position == known

    check()


@then(
    "of {fleet} extra retries of {sharing} VMs one may make {extra:d}, "
    "and all keep within them"
)
def step_extra(context, fleet, sharing, extra):
    fleet_extra = None if fleet == "none" else int(fleet)
    budget = RetryBudget(RetryRules(ratio=0.0, fleet_extra=fleet_extra))
    sharing_vms = None if sharing == "unknown" else int(sharing)
    budget.set_sharing_vms(sharing_vms)
    made = sum(budget.consume("plain", 0.0) for _ in range(100))
    assert made == extra, made
    if fleet_extra is not None and sharing_vms:
        assert extra * sharing_vms <= fleet_extra
