"""Steps: what services can hold, the fleet's demand, and which requests may start."""

from __future__ import annotations

import json
import logging
import math
import random
import re
from contextlib import contextmanager

import msgspec
from behave import then

from ramppin.errors import SettingsError
from ramppin.gateway.connection import datagrams
from ramppin.gateway.connection.datagrams import (
    DemandHint,
    HomeHint,
    PeerHints,
    encode_hints,
)
from ramppin.gateway.process.membership.health import (
    UNRESPONSIVE_AFTER_S,
    Outcome,
)
from ramppin.gateway.process.overload import capacity as capacity_module
from ramppin.gateway.process.overload import demandgossip
from ramppin.gateway.process.overload.capacity import (
    MAX_SLOTS,
    CapacityEstimator,
)
from ramppin.gateway.process.overload.demandgossip import DemandGossip
from ramppin.gateway.process.overload.fleetdemand import (
    DEMAND_TTL_S,
    FULL_EXCHANGE_VMS,
    NO_WAITING,
    RANKS,
    Demand,
    FleetDemand,
)
from ramppin.gateway.process.overload.learnedlimit import LearnedLimit
from ramppin.gateway.process.overload.startlimiter import FleetStartLimiter
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.hints import DATAGRAMS_PER_S
from ramppin.gateway.process.routing.nearestselection import NearestSelection
from ramppin.gateway.process.routing.selection import SelectionRequest
from ramppin.gateway.process.routing.serverstate import BackendServer
from ramppin.gateway.process.stalldetector import STALL_S, StallDetector
from ramppin.gateway.version.routing import ServiceSpec
from ramppin.gateway.version.routingfile import TreeDecoder
from ramppin_platform.records import PlatformDecoder

NOW = 100.0
SERVICE = "models"


def is_near(found: float, expected: float, tolerance: float = 0.01) -> bool:
    return math.isclose(found, expected, rel_tol=tolerance, abs_tol=0.001)


def build_servers(count: int, slots: int = 24) -> ServerDirectory:
    directory = ServerDirectory()
    for number in range(count):
        name = f"s{number}"
        directory.put(BackendServer(name, SERVICE, "127.0.0.1", 1, slots=slots))
    return directory


def build_estimator(directory: ServerDirectory, **fields) -> CapacityEstimator:
    spec = ServiceSpec(SERVICE, **fields)
    return CapacityEstimator(directory, lambda service: spec)


@contextmanager
def count_lines(module):
    lines: list[str] = []
    handler = logging.Handler()
    handler.emit = lambda record: lines.append(record.getMessage())
    module.LOG.addHandler(handler)
    try:
        yield lines
    finally:
        module.LOG.removeHandler(handler)


# what servers can hold


@then(
    'a server with "{entry}" slots by its entry, "{setting}" by the service and '
    '"{report}" by its report may hold {limit:g} requests'
)
def step_slots(context, entry, setting, report, limit):
    directory = build_servers(1, int(entry))
    estimator = build_estimator(directory, slots=int(setting))
    if report != "none":
        estimator.note_slots("s0", int(report), NOW)
    found = estimator.measure(SERVICE, NOW)
    assert found.limit == limit, found


@then(
    "a server with 24 slots, {cache:d} cache tokens and requests of "
    '"{tokens}" tokens may hold {limit:g} requests'
)
def step_cache(context, cache, tokens, limit):
    estimator = build_estimator(build_servers(1), cache_tokens=cache)
    for text in tokens.replace("none", "").split():
        estimator.note_tokens(SERVICE, int(text), NOW)
    found = estimator.measure(SERVICE, NOW)
    assert found.limit == limit, found


@then(
    "after {count:d} requests of {tokens:d} tokens the mean of a service that began "
    "with {first:d} is {mean:d}"
)
def step_mean_tokens(context, count, tokens, first, mean):
    estimator = build_estimator(build_servers(1), cache_tokens=10 * mean)
    estimator.note_tokens(SERVICE, first, NOW)
    assert is_near(estimator.measure(SERVICE, NOW).slots, 10 * mean / first)
    for _ in range(count):
        estimator.note_tokens(SERVICE, tokens, NOW)
    assert is_near(estimator.measure(SERVICE, NOW).slots, 10)


def put_in_state(directory: ServerDirectory, state_name: str) -> None:
    state = directory.find("s0")
    if state_name == "ejected":
        state.health.note_outcome(Outcome.UNREACHABLE, NOW)
    elif state_name == "unresponsive":
        state.health.note_sent(NOW - UNRESPONSIVE_AFTER_S - 0.1)
    elif state_name == "leaving":
        entry = BackendServer("s0", SERVICE, "127.0.0.1", 1, slots=24, draining=True)
        directory.put(entry)
    elif state_name == "cold":
        state.coldness.apply_entry(3.0, NOW)
    elif state_name == "restarted":
        entry = BackendServer("s0", SERVICE, "127.0.0.1", 1, slots=24, started_ms=7)
        directory.put(entry)


@then(
    'with one of 4 servers "{state}" that holds {load:d} of 24 slots the service may '
    "hold {limit:g} requests and holds {held:g}"
)
def step_states(context, state, load, limit, held):
    directory = build_servers(4)
    directory.find("s0").in_flight = 10
    for found in directory:
        found.note_load(10, 0, NOW)
    if state == "restarted":
        # The other servers hold 10 each, and their reports make up the mean.
        for found in directory:
            found.load.reported_at = float("-inf")
            found.in_flight = 10
    put_in_state(directory, state)
    estimator = build_estimator(directory, cold_per_s=10.0)
    found = estimator.measure(SERVICE, NOW)
    assert is_near(found.limit, limit), found
    assert is_near(found.held, held), found


@then(
    "a service with the limit {limit:d}, {slots:d} slots by entry and {ejected:d} "
    "ejected servers that hold nothing may hold {expected:g} requests from the source "
    '"{source}"'
)
def step_setting(context, limit, slots, ejected, expected, source):
    directory = build_servers(4, slots)
    for number in range(ejected):
        directory.find(f"s{number}").health.note_outcome(Outcome.UNREACHABLE, NOW)
    found = build_estimator(directory, limit=limit).measure(SERVICE, NOW)
    assert is_near(found.limit, expected), found
    assert found.source == source, found


@then(
    "with {servers:d} servers of {slots:d} slots a rank with {urgent:d} more urgent "
    "ones leaves {reserve:g} requests free"
)
def step_reserve(context, servers, slots, urgent, reserve):
    estimator = build_estimator(build_servers(servers, slots))
    found = estimator.measure(SERVICE, NOW)
    assert is_near(found.compute_reserve(urgent), reserve), found
    assert found.limit - found.compute_reserve(urgent) >= found.slots - 0.001, found


@then(
    "slots and tokens that are out of range for {seconds:d} s leave {lines:d} lines of "
    "each kind"
)
def step_bad_numbers(context, seconds, lines):
    directory = build_servers(1, MAX_SLOTS + 1)
    estimator = build_estimator(directory, slots=-1)
    with count_lines(capacity_module) as found:
        for tenth in range(10 * seconds):
            now = NOW + tenth / 10
            estimator.note_slots("s0", -1, now)
            estimator.note_tokens(SERVICE, 10**9, now)
            estimator.measure(SERVICE, now)
    kinds = [line.partition(":")[0] for line in found]
    assert len(set(kinds)) == 4, kinds
    assert all(kinds.count(kind) == lines for kind in set(kinds)), kinds


def describe_service(decoder, text: bytes) -> str:
    try:
        table = decoder.decode_table(Record("settings", text, 1))
    except SettingsError as error:
        return f"refused: {error}"
    spec = table.services[SERVICE]
    return f"slots {spec.slots}, tokens {spec.cache_tokens}, limit {spec.limit}"


@then('the service settings "{fields}" give "{expected}"')
def step_tree(context, fields, expected):
    tree = {"version": 1, "hosts": {}, "services": {SERVICE: json.loads(fields)}}
    found = describe_service(TreeDecoder(), json.dumps(tree).encode())
    if expected.startswith("refused"):
        assert found.startswith("refused"), found
        assert expected.partition(": ")[2] in found, found
        assert f"services[...].{next(iter(json.loads(fields)))}" in found, found
    else:
        assert found == expected, found


@then('the platform\'s service settings "{fields}" give "{expected}"')
def step_platform(context, fields, expected):
    service = {"name": SERVICE} | json.loads(fields)
    text = json.dumps({"version": 1, "services": [service]}).encode()
    assert describe_service(PlatformDecoder(), text) == expected


@then('a limit of {initial:g} becomes {limit:g} after "{outcomes}"')
def step_learned(context, initial, limit, outcomes):
    learned = LearnedLimit(initial)
    now = NOW
    for text in outcomes.split(", "):
        if text == "none":
            continue
        count, kind, *at_once = text.split()
        for _ in range(int(count)):
            now += 0.001 if at_once else 0.3
            if kind == "rejected":
                learned.note_rejected(now)
            else:
                took_s = 1.0 if kind == "slow" else 0.1
                learned.note_answered(took_s, now, is_needed=kind != "unneeded")
    assert is_near(learned.limit, limit, 0.02), learned.limit


# the fleet's demand


def build_demand(known: int, domains: int = 1, **fields) -> FleetDemand:
    names = [f"vm-{number}" for number in range(known)]
    return FleetDemand(
        lambda now: names,
        lambda vm: f"domain-{int(vm.rpartition('-')[2]) % domains}",
        "domain-0",
        **fields,
    )


def spread(total: int, parts: int) -> list[int]:
    return [total // parts + (n < total % parts) for n in range(parts)]


@then(
    "of {known:d} known VMs {senders:d} others sent {others:d} waiting requests, and "
    "this VM with {own:d} has the part {part:g}"
)
def step_part(context, known, senders, others, own, part):
    demand = build_demand(known)
    for number, count in enumerate(spread(others, senders) if senders else []):
        waiting = (0, count, *NO_WAITING[2:])
        demand.apply(f"vm-{number + 1}", Demand(SERVICE, 0, waiting), NOW)
    peers = demand.sum_up(SERVICE, NOW)
    found = peers.compute_share(own, peers.waiting[1])
    assert is_near(found, part), (found, peers)


@then("a demand of 3 running requests that arrived {age:g} s ago counts as {running:d}")
def step_age(context, age, running):
    demand = build_demand(2)
    demand.apply("vm-1", Demand(SERVICE, 3), NOW)
    assert demand.sum_up(SERVICE, NOW + age).running == running


@then("after a stall of 3 s a demand counts until 0.1 s after it, and not after that")
def step_stall(context):
    detector = StallDetector(0.25)
    detector.note_tick(NOW)
    demand = build_demand(2, stall_detector=detector)
    demand.apply("vm-1", Demand(SERVICE, 3), NOW)
    woken_at = NOW + 0.25 + 3.0
    assert demand.sum_up(SERVICE, woken_at).running == 3
    detector.note_tick(woken_at)
    assert demand.sum_up(SERVICE, woken_at + STALL_S - 0.01).running == 3
    assert demand.sum_up(SERVICE, woken_at + STALL_S + 0.01).running == 0


@then("of 360 VMs in 4 failure domains the demand of the own domain is scaled by 4")
def step_large(context):
    demand = build_demand(360, 4)
    for number in range(1, 360):
        demand.apply(f"vm-{number}", Demand(SERVICE, 1), NOW)
    peers = demand.sum_up(SERVICE, NOW)
    assert (peers.running, peers.senders, peers.scale) == (89, 89, 4.0), peers
    assert peers.estimate_running(1) == 360


@then(
    "demand of all failure domains counts up to the fleet whose messages arrive in time"
)
def step_full(context):
    assert FULL_EXCHANGE_VMS == DATAGRAMS_PER_S * DEMAND_TTL_S
    demand = build_demand(FULL_EXCHANGE_VMS, 4)
    for number in range(1, FULL_EXCHANGE_VMS):
        demand.apply(f"vm-{number}", Demand(SERVICE, 1), NOW)
    assert demand.sum_up(SERVICE, NOW).senders == FULL_EXCHANGE_VMS - 1


# messages


def build_limiter(
    directory: ServerDirectory, known: int = 1, **fields
) -> FleetStartLimiter:
    spec = ServiceSpec(SERVICE, **fields)
    names = [f"vm-{number}" for number in range(known)]
    return FleetStartLimiter(directory, lambda service: spec, lambda now: names)


def report_loads(directory: ServerDirectory, held: int, now: float) -> None:
    states = list(directory)
    for state, load in zip(states, spread(held, len(states)), strict=True):
        state.note_load(load, 0, now)


@then('demand with {held} of a limit of 30 held is sent in "{messages}" of 4 messages')
def step_sent(context, held, messages):
    directory = build_servers(1)
    gossip = DemandGossip(build_limiter(directory), directory.list_services)
    first, _, later = held.partition(":")
    found = []
    for number in range(1, 5):
        now = NOW + 0.1 * number
        report_loads(directory, int(later or first) if number > 2 else int(first), now)
        hints = gossip.collect(now, near=True)
        assert all(hint.service == SERVICE for hint in hints), hints
        if hints:
            found.append(str(number))
    assert (" ".join(found) or "none") == messages, found


@then(
    "demand of 1 of 1350 without load reports is sent at "
    '"{times}" s of 1.4 s, and none without demand'
)
def step_slow(context, times):
    directory = build_servers(45)
    gossip = DemandGossip(build_limiter(directory), directory.list_services)
    assert gossip.collect(NOW - 1, near=True) == []
    directory.find("s0").in_flight = 1
    found = [
        f"{tenth / 10:.1f}"
        for tenth in range(15)
        if gossip.collect(NOW + tenth / 10, near=True)
    ]
    assert " ".join(found) == times, found


@then(
    "disabled, 72 busy VMs send no demand, and a datagram has the bytes of the earlier "
    "version"
)
def step_disabled(context):
    directory = build_servers(1)
    limiter = build_limiter(directory)
    report_loads(directory, 30, NOW)
    gossip = DemandGossip(limiter, directory.list_services, lambda: False)
    assert limiter.measure_use(SERVICE, NOW) >= 1
    assert [gossip.collect(NOW, near=near) for near in (True, False)] == [[], []]
    hints = PeerHints("vm-1", [HomeHint(99, "s1", 40)])
    # As recorded before the field was added.
    earlier = "9ba4766d2d31919363a2733128c39090909090009090"
    assert encode_hints(hints).hex() == earlier


@then("disabled, the demand of a peer is ignored")
def step_disabled_apply(context):
    directory = build_servers(1)
    limiter = build_limiter(directory, 2)
    gossip = DemandGossip(limiter, directory.list_services, lambda: False)
    gossip.apply("vm-1", [DemandHint(SERVICE, 20, [0] * RANKS)], NOW)
    assert limiter.describe(SERVICE, NOW).held == 0


@then("the hint '{hint}' is \"{outcome}\"")
def step_hint(context, hint, outcome):
    directory = build_servers(1)
    limiter = build_limiter(directory, 2)
    gossip = DemandGossip(limiter, directory.list_services)
    gossip.apply("vm-1", [msgspec.json.decode(hint, type=DemandHint)], NOW)
    held = limiter.describe(SERVICE, NOW).held
    expected = (3, 0) if outcome == "applied" else (0, 1)
    assert (held, gossip.dropped) == expected, (held, gossip.dropped)


@then(
    "{count:d} unknown hints in 0.9 s leave {lines:d} line and are counted as {total:d}"
)
def step_dropped(context, count, lines, total):
    directory = build_servers(1)
    gossip = DemandGossip(build_limiter(directory), directory.list_services)
    with count_lines(demandgossip) as found:
        for number in range(count):
            now = NOW + 0.9 * number / count
            gossip.apply("vm-1", [DemandHint("unknown", 1, [0] * RANKS)], now)
    assert (len(found), gossip.dropped) == (lines, total), found


def read_datagram(data: bytes) -> list[PeerHints]:
    found: list[PeerHints] = []
    link = datagrams.DatagramLink(lambda hints, host: found.append(hints))
    link.datagram_received(data, ("127.0.0.1", 1))
    return found


FULL = PeerHints("vm-1", [], demands=[DemandHint(SERVICE, 3, [0] * RANKS)])


@then("a datagram without demand gives none, and one with a further field is read")
def step_versions(context):
    [earlier] = read_datagram(encode_hints(PeerHints("vm-1", [])))
    assert earlier.demands == []
    fields = msgspec.msgpack.decode(encode_hints(FULL))
    [later] = read_datagram(msgspec.msgpack.encode([*fields, ["unknown"]]))
    assert later.demands == FULL.demands


@then("a datagram whose demand is not a list of hints is dropped as malformed")
def step_malformed(context):
    fields = msgspec.msgpack.decode(encode_hints(FULL))
    for wrong in (5, ["models"], [["models", "many", []]], [["models"]], None):
        data = msgspec.msgpack.encode([*fields[:-1], wrong])
        assert read_datagram(data) == [], wrong


# which requests may start


def parse_ranks(text: str) -> list[int]:
    waiting = [0] * RANKS
    for rank, count in re.findall(r"(\d+):(\d+)", text):
        waiting[int(rank)] = int(count)
    return waiting


def wait_at_peer(limiter: FleetStartLimiter, waiting: list[int], now: float) -> None:
    limiter.apply_peer_demand("vm-1", Demand(SERVICE, 0, tuple(waiting)), now)


@then('a service whose reporting servers hold {held:d} of 24 slots is "{state}"')
def step_busy(context, held, state):
    directory = build_servers(3, 8)
    report_loads(directory, held, NOW)
    limiter = build_limiter(directory)
    assert limiter.is_busy(SERVICE, NOW) == (state == "busy")


@then("requests to a service without servers may start")
def step_no_servers(context):
    limiter = build_limiter(ServerDirectory(), 72)
    assert not limiter.is_busy(SERVICE, NOW)
    assert limiter.may_start(SERVICE, 9, NOW)
    assert limiter.describe(SERVICE, NOW).limit == 0


def build_busy(held: int, known: int = 2) -> FleetStartLimiter:
    """Return a limiter of a service of 4 servers with 24 slots, whose limit is 120."""
    directory = build_servers(4)
    report_loads(directory, held, NOW)
    return build_limiter(directory, known)


@then(
    'with {held:d} of 120 held by 4 servers and ranks "{waiting}" waiting in the fleet '
    'a request of rank {rank:d} "{may}" start'
)
def step_ranks(context, held, waiting, rank, may):
    limiter = build_busy(held)
    wait_at_peer(limiter, parse_ranks("0:1 2:1"), NOW - 1)
    wait_at_peer(limiter, parse_ranks(waiting), NOW)
    found = limiter.may_start(SERVICE, rank, NOW)
    assert found == (may == "may"), limiter.describe(SERVICE, NOW)


def start_all(limiter: FleetStartLimiter, own: int, now: float) -> int:
    """Start what may start; the servers do not get it, so that what they hold stays."""
    count = 0
    while count < own and limiter.may_start(SERVICE, 0, now):
        limiter.note_started(SERVICE, 0, now)
        count += 1
    return count


def build_waiting(free: int, own: int, others: int) -> FleetStartLimiter:
    limiter = build_busy(120 - free)
    limiter.note_waiting(SERVICE, [own, *[0] * 9], NOW)
    wait_at_peer(limiter, [others, *[0] * 9], NOW)
    return limiter


@then(
    "with {free:d} requests free, {own:d} own and {others:d} other waiting ones "
    "{count:d} start at once"
)
def step_at_once(context, free, own, others, count):
    found = start_all(build_waiting(free, own, others), own, NOW)
    assert found == count, found


@then(
    "with {free:d} requests free, {own:d} own and {others:d} other waiting ones "
    "{count:d} start within {seconds:g} s"
)
def step_within(context, free, own, others, count, seconds):
    limiter = build_waiting(free, own, others)
    directory = limiter._directory
    found = 0
    for step in range(1 + round(seconds / 0.01)):
        now = NOW + step * 0.01
        # Others end as many as start, so that what is free stays.
        report_loads(directory, 120 - free, now)
        wait_at_peer(limiter, [others, *[0] * 9], now)
        limiter._services[SERVICE].recent.clear()
        found += start_all(limiter, own, now)
    assert abs(found - count) <= 1, found


@then(
    "with {reported:d} of {servers:d} servers reported, {known:d} known VMs and "
    '{in_flight:d} in flight a request "{may}" start'
)
def step_starting(context, reported, servers, known, in_flight, may):
    directory = build_servers(servers)
    states = list(directory)
    states[0].in_flight = in_flight
    for state in states[:reported]:
        state.note_load(0, 0, NOW)
    names = [f"vm-{number}" for number in range(known)]
    spec = ServiceSpec(SERVICE)
    limiter = FleetStartLimiter(directory, lambda service: spec, lambda now: names)
    assert limiter.may_start(SERVICE, 0, NOW) == (may == "may")


@then(
    "without load reports, {own:d} own in flight and {others:d} of others of a limit "
    'of 120 a request "{may}" start'
)
def step_cap(context, own, others, may):
    directory = build_servers(4)
    limiter = build_limiter(directory, 2)
    limiter.is_busy(SERVICE, NOW)
    now = NOW + 3
    next(iter(directory)).in_flight = own
    waiting = (others // 10, *NO_WAITING[1:])
    demand = Demand(SERVICE, others - waiting[0], waiting)
    limiter.apply_peer_demand("vm-1", demand, now)
    assert limiter.may_start(SERVICE, 0, now) == (may == "may")


@then(
    "without load reports, {running:d} running and {waiting:d} waiting requests of "
    'others make 96 slots "{state}"'
)
def step_unreported(context, running, waiting, state):
    limiter = build_limiter(build_servers(4), 2)
    limiter.is_busy(SERVICE, NOW)
    demand = Demand(SERVICE, running, (0, waiting, *NO_WAITING[2:]))
    limiter.apply_peer_demand("vm-1", demand, NOW + 3)
    assert limiter.is_busy(SERVICE, NOW + 3) == (state == "busy")


@then(
    'with {held:d} of 120 held, ranks "{own}" own and "{others}" other waiting '
    "requests rank {rank:d} expects {rate:g} starts a second"
)
def step_rate(context, held, own, others, rank, rate):
    limiter = build_busy(held)
    limiter.note_waiting(SERVICE, parse_ranks(own), NOW)
    wait_at_peer(limiter, parse_ranks(others), NOW)
    found = limiter.estimate_start_rate(SERVICE, rank, NOW)
    assert is_near(found, rate), found


@then(
    "the description of a busy service has its limit, held, free, share, source and age"
)
def step_describe(context):
    limiter = build_busy(100)
    limiter.note_waiting(SERVICE, parse_ranks("0:5"), NOW)
    wait_at_peer(limiter, parse_ranks("0:15"), NOW)
    found = limiter.describe(SERVICE, NOW + 0.05)
    assert (found.limit, found.source) == (120, "reports"), found
    assert is_near(found.held, 100, 0.02), found
    assert is_near(found.free, 120 - found.held), found
    assert is_near(found.share, found.free / 4), found
    assert is_near(found.age_s, 0.05), found


# ranks beyond the limit


@then(
    "with {servers:d} servers of {slots:d} slots and {cache:d} cache tokens rank "
    "{position:d} of {ranks:d} in use leaves {reserve:g} requests free"
)
def step_room(context, servers, slots, cache, position, ranks, reserve):
    estimator = build_estimator(build_servers(servers, slots), cache_tokens=cache)
    found = estimator.measure(SERVICE, NOW).compute_reserve(position, ranks)
    assert is_near(found, reserve), found


@then(
    "rejections while all 4 servers are leaving do not set the limit for their return"
)
def step_learned_closed(context):
    # The limit of the whole service began at 1 and grew by single requests.
    directory = build_servers(4, 0)
    limiter = build_limiter(directory)
    for is_leaving in (True, False):
        for number in range(4):
            fields = {"draining": is_leaving}
            entry = BackendServer(f"s{number}", SERVICE, "127.0.0.1", 1, **fields)
            directory.put(entry)
        if is_leaving:
            limiter.note_rejected(SERVICE, NOW)
    assert limiter.describe(SERVICE, NOW).limit == 32


@then(
    "at servers that order their queues by priority, with {held:d} of 120 held, ranks "
    '"{used}" in use and "{waiting}" waiting, a request of rank {rank:d} "{may}" start'
)
def step_beyond(context, held, used, waiting, rank, may):
    directory = build_servers(4)
    report_loads(directory, held, NOW)
    limiter = build_limiter(directory, 2, cache_tokens=437_820)
    wait_at_peer(limiter, parse_ranks(used), NOW - 1)
    wait_at_peer(limiter, parse_ranks(waiting), NOW)
    found = limiter.may_start(SERVICE, rank, NOW)
    assert found == (may == "may"), limiter.describe(SERVICE, NOW)


@then(
    'with servers that hold "{loads}" and {cache:d} cache tokens a request of rank '
    '{rank:d} goes to "{servers}"'
)
def step_server(context, loads, cache, rank, servers):
    directory = build_servers(4)
    # Without a limit, the server with most of this VM's requests is chosen last.
    directory.find("s1").in_flight = 5
    for state, load in zip(directory, loads.split(), strict=True):
        state.note_load(int(load), 0, NOW)
    limiter = build_limiter(directory, 2, cache_tokens=cache)
    wait_at_peer(limiter, parse_ranks("0:1 2:1"), NOW)
    limit = limiter.find_server_limit(SERVICE, rank, NOW)
    for seed in range(20):
        strategy = NearestSelection("", generator=random.Random(seed))
        request = SelectionRequest(max_load=limit)
        found = strategy.choose(request, list(directory), NOW).state.id
        assert found in servers.split(), (found, limit)


# how often capacity is measured


@then(
    "a service that holds {held:d} of 120 is measured {count:d} times for 10 requests "
    "in 1 s"
)
def step_measured(context, held, count):
    limiter = build_busy(held)
    directory, estimator = limiter._directory, limiter._estimator
    measure, calls = estimator.measure, []
    estimator.measure = lambda *args: calls.append(args) or measure(*args)
    for number in range(10):
        now = NOW + 0.1 * number
        report_loads(directory, held, now)
        limiter.is_busy(SERVICE, now)
    assert len(calls) == count, len(calls)


@then(
    'a service that holds 40 of 120 is "{state}" 0.1 s after its last measurement when '
    '"{event}"'
)
def step_quiet(context, state, event):
    limiter = build_busy(40)
    for now in (NOW, NOW + 0.1):
        report_loads(limiter._directory, 40, now)
        limiter.is_busy(SERVICE, now)
    now = NOW + 0.2
    number = next(map(int, re.findall(r"\d+", event)), 0)
    if "report" in event:
        report_loads(limiter._directory, number, now)
    elif "start" in event:
        for _ in range(number):
            limiter.note_started(SERVICE, 0, now)
            limiter._directory.find("s0").in_flight += 1
    assert limiter.is_busy(SERVICE, now) == (state == "busy")
