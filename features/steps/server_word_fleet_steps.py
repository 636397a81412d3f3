"""Steps: VMs that tell each other of servers that leave, without I/O."""

from __future__ import annotations

import random

from behave import given, then, when

from bench.vms.clock import VmClock
from features.gateway_support import read_names
from ramppin.gateway.connection.datagrams import LeavingHint
from ramppin.gateway.process.membership.servernotices import NoticeSource
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.eligibility import list_eligible
from ramppin.gateway.process.routing.noticegossip import NoticeGossip
from ramppin.gateway.process.routing.serverstate import BackendServer

UNIX_S = 1_700_000_000


def build_entry(server_id: str, *, draining: bool = False) -> BackendServer:
    name, _, started = server_id.partition("@")
    started_ms = (UNIX_S + int(started)) * 1000 if started else None
    return BackendServer(
        name, "llm", "127.0.0.1", 1, draining=draining, started_ms=started_ms
    )


class Vm:
    """What one VM knows of servers, and what it tells."""

    def __init__(self, servers: list[str]) -> None:
        self.directory = ServerDirectory(read_time=lambda: UNIX_S + 65)
        self.gossip = NoticeGossip(self.directory)
        for server_id in servers:
            self.directory.put(build_entry(server_id))

    def find_id(self, server_id: str) -> str:
        return build_entry(server_id).id


def collect(vm: Vm, now: float) -> list[LeavingHint]:
    """Return what a VM tells in a message of this moment, as its hints are built."""
    hints = vm.gossip.collect(now)
    return hints or vm.gossip.collect_rebroadcast(now, near=True)


@given('VMs "{vms}" that know the servers "{servers}"')
def step_vms(context, vms, servers):
    context.now = 100.0
    context.servers = servers.split()
    context.vms = {name: Vm(context.servers) for name in vms.split()}


@when('"{vm}" hears from "{server}" that it leaves')
def step_hear(context, vm, server):
    found = context.vms[vm]
    notices = found.directory.notices
    notices.note_leaving(found.find_id(server), NoticeSource.ANSWER, context.now)


@when('"{vm}" hears from {count:d} servers that they leave')
def step_hear_many(context, vm, count):
    for number in range(count):
        for other in context.vms.values():
            other.directory.put(build_entry(f"s-{number}"))
        step_hear(context, vm, f"s-{number}")


@then('"{vm}" has something urgent to tell')
def step_urgent(context, vm):
    assert context.vms[vm].gossip.is_urgent


@then('"{vm}" has nothing urgent to tell')
def step_not_urgent(context, vm):
    assert not context.vms[vm].gossip.is_urgent
    assert not context.vms[vm].gossip.has_pending


@then('the next {count:d} messages of "{vm}", 0.2 s apart, tell of "{told}"')
def step_messages(context, count, vm, told):
    found = []
    for _ in range(count):
        hints = collect(context.vms[vm], context.now)
        found.append(" ".join(hint.server for hint in hints) or "-")
        context.now += 0.2
    if told == "nothing":
        assert set(found) == {"-"}, found
        return
    # Then all words are told each second.
    assert found[:4] == ["i-1"] * 4, found
    later = found[4:]
    assert later.count("i-1") == 1, found
    assert set(later) == {"i-1", "-"}, found


@when('"{vm}" is told by "{other}"')
def step_told(context, vm, other):
    hints = collect(context.vms[other], context.now)
    assert hints
    context.vms[vm].gossip.apply(hints, context.now)


@when('"{vm}" is told by "{other}" after {seconds:g} s')
def step_told_after(context, vm, other, seconds):
    context.now += seconds
    step_told(context, vm, other)
    if "i-1" not in {state.server.name for state in context.vms[vm].directory}:
        context.vms[vm].directory.put(build_entry("i-1"))


@when('{count:d} messages of "{vm}" are lost')
def step_lost(context, count, vm):
    for _ in range(count):
        collect(context.vms[vm], context.now)


@when('"{vm}" does nothing')
def step_nothing(context, vm):
    assert vm in context.vms


@when('"{vm}" starts again')
def step_start(context, vm):
    context.vms[vm] = Vm(context.servers)


@when('"{vm}" does not know the entry of "{server}"')
def step_unknown(context, vm, server):
    left = [server_id for server_id in context.servers if server_id != server]
    context.vms[vm] = Vm(left)


@when('the entry of "{server}" tells "{vm}" that it leaves')
def step_entry(context, server, vm):
    context.vms[vm].directory.put(build_entry(server, draining=True))


@when('the entry of "{server}" vanishes for "{vm}"')
def step_vanish(context, server, vm):
    context.vms[vm].directory.mark_missing(server)
    context.vms[vm].directory.remove_missing(context.now)


@when('all read an entry of "{server}" that tells the start {start:d}')
def step_start_again(context, server, start):
    for vm in context.vms.values():
        vm.directory.put(build_entry(f"{server}@{start}"))


@when('"{vm}" is told of "{server}" with an age of {age:d} ms')
def step_age(context, vm, server, age):
    context.vms[vm].gossip.apply([LeavingHint(server, age)], context.now)


@then('"{server}" is closed to "{closed}" and open to "{others}"')
def step_closed(context, server, closed, others):
    for name, vm in context.vms.items():
        is_open = vm.directory.is_open(vm.find_id(server))
        assert is_open == (name in read_names(others)), name
        assert is_open != (name in read_names(closed)), name


@then(
    'no message of "{vm}" tells of more than {most:d} servers, and "{other}" knows all '
    "{count:d} in the end"
)
def step_many(context, vm, most, other, count):
    for _ in range(count):
        hints = collect(context.vms[vm], context.now)
        assert len(hints) <= most, len(hints)
        context.vms[other].gossip.apply(hints, context.now)
        context.now += 0.08
    directory = context.vms[other].directory
    left = [state.id for state in directory if state.leaving]
    assert len(left) == count, len(left)


# rests


@when('"{vms}" were asked by "{server}" for {rest:g} s of rest, and told it')
def step_asked(context, vms, server, rest):
    for name in read_names(vms):
        vm = context.vms[name]
        vm.directory.notices.note_backoff(server, rest, context.now)
        hints = vm.gossip.collect_backoffs(context.now)
        for other in context.vms.values():
            if other is not vm:
                other.gossip.apply_backoffs(name, hints, context.now)


@when('"{vm}" is asked by "{server}" for {rest:g} s of rest')
def step_is_asked(context, vm, server, rest):
    context.vms[vm].directory.notices.note_backoff(server, rest, context.now)


@then('after {seconds:g} s "{vm}" prefers "{servers}"')
def step_prefers(context, seconds, vm, servers):
    states = context.vms[vm].directory.list_open("llm")
    found = list_eligible(states, (), None, context.now + seconds)
    assert [state.id for state in found] == servers.split(), found


@then('"{vm}" tells the rests of "{servers}", and then none')
def step_tells_rests(context, vm, servers):
    gossip = context.vms[vm].gossip
    assert gossip.is_urgent
    found = [hint.server for hint in gossip.collect_backoffs(context.now)]
    assert found == servers.split(), found
    assert not gossip.is_urgent
    assert not gossip.collect_backoffs(context.now)


# many VMs on one clock


class DeafClock(VmClock):
    """VMs whose messages of the first second are lost, and which know one server."""

    def __init__(self, vms: int, domains: int) -> None:
        super().__init__(vms, domains)
        self.sent = 0
        self.introduce_vms()
        self.start_turns(random.Random(1).random)
        for vm in self.vms:
            vm.directory.put(build_entry("i-1"))

    def deliver(self, sender, hints, hosts) -> None:
        self.sent += len(hosts)
        if self.now > 1.0:
            super().deliver(sender, hints, hosts)


@when(
    "one of {vms:d} VMs in {domains:d} failure domains hears that a server leaves, and "
    "messages of the first second are lost"
)
def step_deaf(context, vms, domains):
    context.clock = DeafClock(vms, domains)
    notices = context.clock.vms[0].directory.notices
    notices.note_leaving("i-1", NoticeSource.ANSWER, 0.0)
    context.clock.run_until(1.0)


@then(
    "{seconds:g} s later all know it, and no VM sent more than {messages:d} messages a "
    "second"
)
def step_all_know(context, seconds, messages):
    clock = context.clock
    clock.run_until(1.0 + seconds)
    unaware = [vm.name for vm in clock.vms if vm.directory.is_open("i-1")]
    assert not unaware, unaware
    assert clock.sent / len(clock.vms) / clock.now <= messages, clock.sent


@when("a VM has heard of {count:d} servers that they leave")
def step_many_leaving(context, count):
    context.vm = Vm([f"i-{number}" for number in range(count)])
    notices = context.vm.directory.notices
    for number in range(count):
        server_id = context.vm.find_id(f"i-{number}")
        notices.note_leaving(server_id, NoticeSource.PEER, 100.0 + number / 100)


@then("another one learns of all {count:d} by {beats:d} heartbeats alone")
def step_all_learned(context, count, beats):
    learned = set()
    for beat in range(beats):
        hints = context.vm.gossip.collect_rebroadcast(110.0 + 2.5 * beat, near=True)
        assert len(hints) <= 12, len(hints)
        learned |= {hint.server for hint in hints}
    assert len(learned) == count, len(learned)
