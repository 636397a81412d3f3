"""Steps: VMs that read the log for others."""

from __future__ import annotations

import asyncio
import json

import msgspec
from behave import given, then, when

from features.gateway_support import build_tree, read_names
from ramppin.errors import LogUnavailableError
from ramppin.gateway.connection.datagrams import PeerHints
from ramppin.gateway.process.load.gossip import LoadGossip
from ramppin.gateway.process.membership.members import (
    FleetMembers,
    Member,
    MemberRecord,
)
from ramppin.gateway.process.recovery.logmonitor import LogMonitor, MonitoredSource
from ramppin.gateway.process.recovery.relayrules import (
    RelayTimes,
    choose_own_relay,
    choose_relays,
)
from ramppin.gateway.process.recovery.relays import RelayedSource
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.recovery.sources import RecordBatch
from ramppin.gateway.process.reporting.metrics import GatewayMetrics
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.failuregossip import FailureGossip
from ramppin.gateway.process.routing.hints import HintExchange
from ramppin.gateway.process.routing.homes import PrefixHomes
from ramppin.ranking import hash_name
from standins.common import wait_for
from standins.tables import TableStandIn

NOW = 100.0
EASY_BOUND_S = 20.0
LONG_WAIT_S = 30.0


def run(context, work):
    return context.loop.run_until_complete(work)


def find_address(vm: str) -> str:
    """Return the address of a VM by its name, a letter and a number."""
    return f"10.0.{ord(vm[0])}.{vm[1:]}"


def read_record(text: str) -> tuple[Record, float]:
    """Read ``NAME[*WEIGHT][:lost|:away]``; the letter is the failure domain."""
    name, _, state = text.partition(":")
    name, _, weight = name.partition("*")
    entry = MemberRecord(find_address(name), name[0], float(weight or 1))
    last_seen_at = NOW - 60 if state == "lost" else NOW
    return Record(name, msgspec.json.encode(entry), 0), last_seen_at


def build_members(own: str, vms: str) -> FleetMembers:
    members = FleetMembers(own, own[0])
    for text in vms.split():
        record, last_seen_at = read_record(text)
        members.apply_record(record, last_seen_at)
        if text.endswith(":away"):
            address = find_address(record.key)
            members.note_received(record.key, address, NOW, log_up=False)
    return members


def build_monitor() -> LogMonitor:
    return LogMonitor(GatewayMetrics().log_calls)


def check_relays(vms: str, name: str, relays: list[str]) -> None:
    weights = dict(vm.partition(":")[0].partition("*")[::2] for vm in vms.split())
    own = Member(name, name, NOW, name[0], float(weights[name] or 1))
    own.log_up = f"{name}:away" not in vms.split()
    found = choose_relays([own, *build_members(name, vms).list_live(NOW)])
    assert [member.vm for member in found] == relays, found


@then('among "{vms}" the VM "{own}" sends heartbeats to {which} VMs each {period:g} s')
def step_heartbeat(context, vms, own, which, period):
    members = build_members(own, expand(vms))
    found = members.choose_heartbeat_s(near=which == "near")
    assert found == period, found


@then('among "{vms}" the VM "{own}" counts as live "{live}" after {passed:g} s')
def step_live(context, vms, own, live, passed):
    found = build_members(own, expand(vms)).list_live(NOW + passed)
    assert sorted({vm.failure_domain for vm in found}) == live.split(), found


def expand(vms: str) -> str:
    """Turn ``a:3 b:2`` into ``a1 a2 a3 b1 b2``."""
    parts = (part.partition(":")[::2] for part in vms.split())
    return " ".join(f"{d}{n}" for d, count in parts for n in range(1, int(count) + 1))


@then('with the VMs "{vms}" the relays of "{name}" are "{relays}"')
def step_relays(context, vms, name, relays):
    check_relays(vms, name, relays.split())


@then('with the VMs "{vms}" the relays of "{name}" are ""')
def step_no_relays(context, vms, name):
    check_relays(vms, name, [])


@then('among "{vms}" there are {count:d} relays, in {domains:d} failure domains')
def step_relay_count(context, vms, count, domains):
    live = [
        Member(name, name, NOW, failure_domain=name[0]) for name in expand(vms).split()
    ]
    found = choose_relays(live)
    assert len(found) == count, found
    assert len({relay.failure_domain for relay in found}) == domains, found


def build_member(name: str) -> Member:
    return Member(name, name, NOW, failure_domain=name[0])


@then('"{vm}" asks "{asked}" among the relays "{relays}" while it avoids "{avoided}"')
def step_own_relay(context, vm, asked, relays, avoided):
    members = [build_member(name) for name in read_names(relays)]
    found = choose_own_relay(build_member(vm), members, read_names(avoided))
    assert (found.vm if found else "none") == asked, found


@when("the table is read {count:d} times and waits {wait:g} s in vain")
def step_read_in_vain(context, count, wait):
    async def read():
        batch = await context.relayed.read_after(0, wait_s=0.0)
        for _ in range(count):
            batch = await context.relayed.read_after(batch.position, wait_s=wait)
            assert batch.relayed
            assert not batch.records, batch

    run(context, read())


@then("no question waits at the relay")
def step_none_waits(context):
    waiting = context.fixture.gateway.tables.settings._callbacks
    assert not waiting, waiting


@then(
    'a read of "{records}" that waits 1.0 s and takes {took:g} s waited {waited:g} s '
    "in vain"
)
def step_waited(context, records, took, waited):
    found = (Record("a", b"", 0),) if records == "one" else ()
    batch = RecordBatch(found, 1).with_wait(1.0, took)
    assert batch.waited_s == waited, batch


@then('after the calls "{calls}" the log is {state:w} to this VM {passed:g} s later')
def step_log_state(context, calls, state, passed):
    monitor = build_monitor()
    for outcome in read_names(calls):
        if outcome == "ok":
            monitor.note_answered()
        else:
            monitor.note_failed(NOW)
    assert monitor.is_up(NOW + passed) is (state == "up")


@when("the log is lost to the reader too")
def step_lost_here(context):
    context.direct.away = True


@then("{count:d} further questions cost at most {calls:d} call to the log")
def step_spared(context, count, calls):
    async def read():
        failures = 0
        while failures < count:
            try:
                batch = await context.relayed.read_after(
                    context.position, wait_s=LONG_WAIT_S
                )
                assert batch.relayed
            except LogUnavailableError:
                failures += 1

    run(context, read())
    assert context.direct.reads <= calls, context.direct.reads


@then("after the relay's return a question is answered by it")
def step_relay_back(context):
    context.fixture.settings.away = False
    reads = context.direct.reads

    async def read():
        try:
            batch = await context.relayed.read_after(context.position, wait_s=0.0)
        except LogUnavailableError:
            return False
        return batch.relayed

    run(context, wait_for(read, "the relay answered"))
    assert context.direct.reads == reads


@then('a VM that learns that the log is "{state}" tells it with its next message')
def step_tells(context, state):
    is_up = state == "up"
    sent = []

    class Link:
        def send(self, hints, hosts, port):
            sent.append((hints.log_up, hosts))

    members = build_members("a1", "a1 a2 b1")
    hints = HintExchange(
        "a1",
        Link(),
        1,
        members,
        PrefixHomes(lambda server: True),
        FailureGossip(ServerDirectory(), "a"),
        LoadGossip(ServerDirectory()),
        lambda now: is_up,
    )
    hints._sent_log_up = not is_up
    hints._sent_at = dict.fromkeys((True, False), float("inf"))
    hints.send_due(NOW)
    assert [up for up, _ in sent] == [is_up, is_up], sent
    hints.apply(PeerHints("b1", [], is_up), find_address("b1"), NOW)
    [other] = [vm for vm in members.list_last_seen_first() if vm.vm == "b1"]
    assert other.log_up is is_up


@given("a table read through that gateway as its relay")
def step_table(context):
    open_relayed(context, EASY_BOUND_S)


HOSTS = {"well": "127.0.0.1", "gone": "127.0.0.9"}
"""Where a gateway listens, and where none does."""


@given("a table read through two relays, the first {first:w}, the other {other:w}")
def step_two_relays(context, first, other):
    relays = [Member("r1", HOSTS[first], 0.0), Member("r2", HOSTS[other], 0.0)]
    open_relayed(context, EASY_BOUND_S, relays)
    if hash_name("vm-2") % 2:
        relays.reverse()


@then("a read of the table comes from the {source}, after {reads:d} reads of the log")
def step_read_source(context, source, reads):
    batch = run(context, context.relayed.read_after(0, wait_s=0.0))
    relay = {"first relay": "r1", "other relay": "r2"}.get(source)
    assert batch.relayed is (relay is not None)
    assert relay is None or context.relayed._fetcher_vm == relay
    assert context.direct.reads == reads


@given("a table read through that gateway within a bound of {bound:g} s")
def step_bounded_table(context, bound):
    open_relayed(context, bound)


def open_relayed(context, bound_s: float, relays: list[Member] | None = None) -> None:
    context.bound_s = bound_s
    relays = relays or [Member("vm-1", "127.0.0.1", 0.0)]
    context.direct = TableStandIn()
    monitor = build_monitor()
    context.relayed = RelayedSource(
        "settings",
        Member("vm-2", "127.0.0.1", 0.0),
        MonitoredSource("settings", context.direct, monitor),
        context.fixture.gateway.records_port,
        lambda: relays,
        monitor,
        times=RelayTimes.from_bound(bound_s),
    )

    def close():
        if context.relayed._fetcher is not None:
            context.relayed._fetcher.close()
        return asyncio.sleep(0)

    context.cleanups.append(close)


@then("the table soon gives version {version:d} without a read of the log")
def step_gives(context, version):
    async def read():
        batch = await context.relayed.read_after(0, wait_s=0.5)
        found = [json.loads(record.value)["version"] for record in batch.records]
        return found == [version]

    run(context, wait_for(read, "the version came"))
    assert context.direct.reads == 0


@when("{count:d} large versions are published")
def step_large(context, count):
    hosts = {
        f"h{number}.example": {"routes": {"/a/": {"service": "plain"}}}
        for number in range(300)
    }
    for version in range(10, 10 + count):
        context.fixture.publish(build_tree(version, hosts=hosts))
    end = context.fixture.settings.end
    gateway = context.fixture.gateway
    run(context, wait_for(lambda: gateway.tables.settings.position == end, "all read"))
    context.last_version = 10 + count - 1


@then("one read of the table gives the last one alone in under {limit:d} bytes")
def step_last_alone(context, limit):
    async def read():
        fetcher = context.relayed._open_fetcher(Member("vm-1", "127.0.0.1", 0.0))
        sizes = []
        post = fetcher.post

        async def measure(*arguments, **options):
            answer = await post(*arguments, **options)
            sizes.append(len(answer.body))
            return answer

        fetcher.post = measure
        batch = await context.relayed.read_after(0, wait_s=0.1)
        return batch, sizes

    batch, sizes = run(context, read())
    [record] = batch.records
    assert json.loads(record.value)["version"] == context.last_version
    assert len(sizes) == 1
    assert sizes[0] < limit, sizes


@when('the relay is "{trouble}"')
def step_trouble(context, trouble):
    async def make():
        gateway = context.fixture.gateway
        if trouble == "gone":
            await gateway.stop()
        elif trouble == "old":
            context.fixture.settings.away = True
            follower = gateway.tables.settings_follower
            await wait_for(lambda: not follower.reachable, "the relay lost the log")
            gateway.tables.settings.confirmed_at -= 60.0

    run(context, make())
    context.position = 1_000 if trouble == "behind" else 0
    for number in range(context.position + 1):
        context.direct.put("settings", json.dumps(build_tree(number + 1)).encode())


@when("the relay's knowledge is {age:g} s old as version {version:d} is published")
def step_late_news(context, age, version):
    replica = context.fixture.gateway.tables.settings
    position = replica.position
    confirmed_at = replica.confirmed_at

    async def publish():
        context.fixture.publish(build_tree(version))
        await wait_for(lambda: replica.position > position, "the relay has the news")
        replica.confirmed_at = min(
            confirmed_at, asyncio.get_running_loop().time() - age
        )

    run(context, publish())


@then("the next question comes from the relay as well")
def step_next_question(context):
    position = context.fixture.gateway.tables.settings.position
    batch = run(context, context.relayed.read_after(position, wait_s=LONG_WAIT_S))
    assert batch.relayed
    assert context.direct.reads == 0


@when("the relay loses the log after an answer")
def step_loses(context):
    async def lose():
        batch = await context.relayed.read_after(0, wait_s=0.0)
        assert batch.relayed
        context.position = batch.position
        context.fixture.settings.away = True

    run(context, lose())


@then("the log itself is read within {share:g} of the bound")
def step_found_out(context, share):
    async def read():
        loop = asyncio.get_running_loop()
        started = loop.time()
        while context.direct.reads == 0:
            await context.relayed.read_after(context.position, wait_s=LONG_WAIT_S)
        return loop.time() - started

    took_s = run(context, read())
    assert took_s < share * context.bound_s, took_s


@then("a table with the bound {bound:g} s is relayed as {what}")
def step_times(context, bound, what):
    times = RelayTimes.from_bound(bound)
    found = {
        "a relay's read waits": times.choose_relay_wait(0.8, 2.0),
        "a relay's read after news waits": times.choose_relay_wait(bound, 2.0),
        "a question after old news waits": times.choose_wait(
            bound, 2.0, after_stale_update=True
        ),
        "a first question waits": times.choose_wait(float("inf"), 2.0),
        "a question with 0.5 s old knowledge waits": times.choose_wait(0.5, 2.0),
    }
    name, _, wanted = what.rpartition(" ")
    assert abs(found[name] - float(wanted)) < 1e-9, found


@then(
    "within a bound of {bound:g} s and with pauses of {pause:g} s "
    "a relay's answers are taken at any moment"
)
def step_young(context, bound, pause):
    times = RelayTimes.from_bound(bound)
    wait_s = times.choose_relay_wait(pause, LONG_WAIT_S)
    oldest_s = pause + wait_s
    assert oldest_s <= times.max_age_s, (oldest_s, times)


@then("a read of the table comes from the log")
def step_from_log(context):
    batch = run(context, context.relayed.read_after(context.position, wait_s=0.1))
    assert context.direct.reads == 1
    assert batch.position == context.direct.end
    assert batch.age_s == 0.0
