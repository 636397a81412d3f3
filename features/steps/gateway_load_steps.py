"""Steps: what a VM knows of the load of backend servers."""

from __future__ import annotations

import itertools
import math
import random

import msgspec
from behave import then

from features.gateway_support import read_names
from ramppin.gateway.connection.datagrams import LoadHint, PeerHints, WaitHint
from ramppin.gateway.process.load.gossip import LoadGossip
from ramppin.gateway.process.load.times import ServiceTimes
from ramppin.gateway.process.load.view import estimate_weighted_mean, measure_loads
from ramppin.gateway.process.membership.members import FleetMembers, MemberRecord
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.failuregossip import FailureGossip
from ramppin.gateway.process.routing.hints import MAX_BURST_DATAGRAMS, HintExchange
from ramppin.gateway.process.routing.homes import PrefixHomes
from ramppin.gateway.process.routing.serverstate import BackendServer, ServerState

NOW = 100.0
MEAN = 2.0


def build_state(server_id: str) -> ServerState:
    return ServerState(BackendServer(server_id, "m", "127.0.0.1", 1))


def build_directory(count: int) -> ServerDirectory:
    directory = ServerDirectory()
    for number in range(count):
        directory.put(BackendServer(f"s{number}", "m", "127.0.0.1", 1))
    return directory


@then(
    "a load of {reported} reported with {then_:d} in flight counts as {load:g} "
    "with {now:d} in flight {age:g} s later"
)
def step_load(context, reported, then_, load, now, age):
    state = build_state("s0")
    state.in_flight = then_
    if reported != "none":
        state.note_load(int(reported), 0, NOW)
    state.in_flight = now
    found = state.estimate_load(NOW + age, MEAN)
    assert math.isclose(found, load, abs_tol=0.01), found


@then('servers with loads "{servers}" have the mean {mean:g}')
def step_mean(context, servers, mean):
    states = []
    for number, text in enumerate(read_names(servers)):
        load, _, reported = text.partition(":")
        states.append(build_state(f"s{number}"))
        if reported:
            states[-1].note_load(int(load), 0, NOW)
        else:
            states[-1].in_flight = int(load)
    found = measure_loads(states, NOW).mean
    assert math.isclose(found, mean, abs_tol=0.001), found


DRAWS = 30


@then(
    "of {servers:d} servers with loads drawn around 4 the mean of {seen:d} that were "
    "met errs by at most {error:g} in the mean"
)
def step_weigh(context, servers, seen, error):
    errors = []
    for seed in range(DRAWS):
        draw = random.Random(seed).random
        loads = [1 + sum(draw() < 0.3 for _ in range(10)) for _ in range(servers)]
        chances = [draw() ** (1 / load) for load in loads]
        met = sorted(range(servers), key=lambda n: -chances[n])[:seen]
        found = estimate_weighted_mean([loads[n] for n in met], servers)
        errors.append(found - sum(loads) / servers)
    assert abs(sum(errors)) / DRAWS <= error, errors


@then(
    "a report of 3 requests {known} s ago and one of 9 told as {told:g} s old "
    "leave {load:d} known"
)
def step_take_told(context, known, told, load):
    directory = build_directory(1)
    [state] = directory
    if known != "none":
        state.note_load(3, 0, NOW - float(known))
    LoadGossip(directory).apply_loads([LoadHint("s0", 9, round(told * 1000))], NOW)
    assert state.find_known_load(NOW) == load


@then('of reports "{reports}" those of "{near}" are told near and those of "{far}" far')
def step_collect(context, reports, near, far):
    words = [word.split(":") for word in reports.split()]
    directory = build_directory(len(words))
    for server_id, load in words:
        directory.find(server_id).note_load(int(load), 0, NOW)
    found = LoadGossip(directory).collect(NOW)
    assert sorted(hint.server for hint in found.near) == read_names(near), found
    assert sorted(hint.server for hint in found.far) == read_names(far), found


@then("a VM tells its own report once, and none that it was told")
def step_tell_once(context):
    directory = build_directory(2)
    news = LoadGossip(directory)
    directory.find("s0").note_load(5, 1, NOW)
    news.apply_loads([LoadHint("s1", 4, 10)], NOW)
    assert news.collect(NOW + 0.02).near == [LoadHint("s0", 6, 20)]
    assert news.collect(NOW + 0.03).near == []


class RecordingLink:
    """Keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[str] = []
        self.waits: list[WaitHint] = []

    def send(self, hints, hosts, port):
        self.waits.extend(hints.waits)
        if hints.loads or hints.waits:
            self.sent.extend(hosts)


HOSTS = {"here": "10.1", "there": "10.2"}
"""First bytes of the addresses of VMs, by failure domain."""


def build_exchange(near: int, far: int):
    members = FleetMembers("vm", "here")
    domains = itertools.chain(["here"] * near, ["there"] * far)
    for number, domain in enumerate(domains):
        host = f"{HOSTS[domain]}.{number // 250}.{number % 250}"
        entry = msgspec.json.encode(MemberRecord(host, domain))
        members.apply_record(Record(f"vm-{number}", entry, number), NOW)
    directory = build_directory(5)
    link = RecordingLink()
    hints = HintExchange(
        "vm",
        link,
        1,
        members,
        PrefixHomes(directory.is_open),
        FailureGossip(directory, "here"),
        LoadGossip(directory),
    )
    # What is told in turn has just been told.
    hints.send_due(NOW)
    hints.send_due(NOW)
    return hints, link, directory


@then(
    "with {near:d} near VMs and {far:d} far ones a low report is told in {period:g} s "
    "to the near ones alone"
)
def step_period(context, near, far, period):
    hints, link, directory = build_exchange(near, far)
    directory.find("s0").note_load(1, 0, NOW)
    if period > 0.08:
        hints.send_due(NOW + period - 0.01)
        assert link.sent == []
    hints.send_due(NOW + period)
    assert len(link.sent) == near, link.sent
    assert all(host.startswith(HOSTS["here"]) for host in link.sent)


def note_high(directory: ServerDirectory) -> None:
    for number, load in enumerate((1, 1, 1, 1, 9)):
        directory.find(f"s{number}").note_load(load, 0, NOW)


@then("a high report is told to {near:d} near VMs and {far:d} far ones in {period:g} s")
def step_high(context, near, far, period):
    hints, link, directory = build_exchange(near, far)
    hints._datagram_budget = float(MAX_BURST_DATAGRAMS)
    note_high(directory)
    hints.send_due(NOW + period)
    assert len(link.sent) == near + far, len(link.sent)


@then("with no datagrams left it is told to the near ones alone")
def step_high_no_budget(context):
    hints, link, directory = build_exchange(31, 163)
    hints._datagram_budget = 0.0
    note_high(directory)
    hints.send_due(NOW + 0.08)
    assert len(link.sent) == 31, len(link.sent)


USUAL_S = 0.1


def build_usual_state() -> ServerState:
    state = build_state("s0")
    state.times.wait.mean_s = USUAL_S
    return state


def play_request(state: ServerState, text: str) -> None:
    """Send a request at its time, and answer it or give it up at another."""
    start, mark, end = text.replace("A", " A ").replace("B", " B ").partition(" ")
    request = object()
    state.waiting.note_sent(request, NOW + float(start))
    state.in_flight += 1
    if not mark:
        return
    kind, at = end.split()
    if kind == "A":
        state.waiting.note_bytes(request, NOW + float(at))
    state.note_ended(request, NOW + float(at))
    state.in_flight -= 1


@then(
    'requests "{requests}" make {overdue:d} overdue 1 s later, and the server holds '
    "{held:d}"
)
def step_overdue(context, requests, overdue, held):
    state = build_usual_state()
    for text in read_names(requests):
        play_request(state, text)
    assert state.count_overdue(NOW + 1) == overdue, state.count_overdue(NOW + 1)
    assert state.count_held(NOW + 1) == held, state.count_held(NOW + 1)


@then("after {passed:g} s a request given up as overdue counts as {held:d}")
def step_abandoned(context, passed, held):
    state = build_usual_state()
    play_request(state, "0.0B0.5")
    assert state.count_held(NOW + 0.5 + passed) == held


@then('where others told "{told}" a server with 1 request of this VM holds {held:d}')
def step_told_waits(context, told, held):
    directory = build_directory(1)
    [state] = directory
    state.in_flight = 1
    news = LoadGossip(directory)
    for text in read_names(told):
        vm, count, ago = text.split(":")
        hints = PeerHints(vm, [], waits=[WaitHint("s0", int(count))])
        news.apply(hints, NOW - float(ago))
    assert state.count_held(NOW) == held, state.count_held(NOW)


@then("a server that reported 1 and of which others tell 5 overdue counts as 5")
def step_waits_beside_report(context):
    state = build_state("s0")
    state.note_load(1, 0, NOW)
    state.waiting.apply_peer_count("a", 5, NOW)
    assert state.find_known_load(NOW) == 5
    assert state.estimate_load(NOW, 1.0) == 5


@then('overdue requests are told at "{moments}" s while they last, and their end once')
def step_tell_waits(context, moments):
    hints, link, directory = build_exchange(2, 3)
    state = directory.find("s0")
    state.times.wait.mean_s = 0.01
    start = NOW + 1.0
    state.waiting.note_sent("r", start - 0.5)
    told = []
    for turn in range(8):
        if turn == 7:
            state.waiting.note_bytes("r", start + turn * 0.08)
            state.note_ended("r", start + turn * 0.08)
        link.sent.clear()
        hints.send_due(start + turn * 0.08)
        if link.waits:
            told.append((round(turn * 0.08, 2), link.waits.pop(), len(link.sent)))
        link.waits.clear()
    at = [moment for moment, hint, _ in told if hint.count]
    assert at == [float(text) for text in moments.split()], told
    assert told[-1] == (0.56, WaitHint("s0", 0), 5), told
    assert all(reached == 5 for _, _, reached in told), told


@then('after "{stayed}" a request is said to stay {mean:g} s')
def step_lifetime(context, stayed, mean):
    stay = ServiceTimes().stay
    for text in read_names(stayed):
        stay.note(float(text))
    assert math.isclose(stay.mean_s, mean, abs_tol=0.001), stay.mean_s
