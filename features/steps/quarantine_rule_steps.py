"""Steps: the rules on requests under which servers end, without I/O."""

from __future__ import annotations

import random
import re

import msgspec
from behave import then, when

from bench.vms.crashes import CrashPattern, play_crashes
from ramppin.gateway.connection.datagrams import HomeHint, PeerHints, SuspectHint
from ramppin.gateway.process.quarantine.gossip import QuarantineGossip
from ramppin.gateway.process.quarantine.quarantine import Quarantine
from ramppin.gateway.process.quarantine.recordtable import MAX_RECORDS

REQUEST = 0x5EED_0000_0000_0001
ROUND_S = 0.08
LOST = re.compile(r"(\w+):([\d.]+)-([\d.]+)([+?])|ok:([\d.]+)")


def lose(quarantine, server, sent_at, lost_at, request=REQUEST, *, certain=True):
    quarantine.note_lost(request, server, sent_at, lost_at)
    if certain:
        quarantine.note_server_ended(server)


@when('a VM loses servers under a request: "{lost}"')
@when('a VM loses servers under a request: ""')
def step_lose(context, lost=""):
    context.quarantine = Quarantine()
    for server, sent_at, lost_at, certain, served_at in LOST.findall(lost):
        if served_at:
            context.quarantine.note_served(REQUEST, float(served_at))
        else:
            is_certain = certain == "+"
            times = float(sent_at), float(lost_at)
            lose(context.quarantine, server, *times, certain=is_certain)


@then("it counts {ends:d} ends and {state} the request")
def step_count(context, ends, state):
    record = context.quarantine.find(REQUEST)
    assert (record.count_ends() if record else 0) == ends
    assert context.quarantine.admit([REQUEST], 5.0) == (state == "sends")


@then('the copy that was lost at "{own}" is {state} again')
def step_send_again(context, own, state):
    found = context.quarantine.may_crash_another(REQUEST, own.split())
    assert found == (state == "not sent")


@when("a VM loses {ends:d} servers under a request that ran well before, one a second")
def step_lose_served(context, ends):
    context.quarantine = Quarantine()
    context.quarantine.note_served(REQUEST, 0.0)
    for n in range(ends):
        lose(context.quarantine, f"s-{n}", float(n), n + 1.0)
    context.last_end_at = float(ends)


@then("after them the request is {state}")
def step_is(context, state):
    admitted = context.quarantine.admit([REQUEST], context.last_end_at)
    assert admitted == (state == "sent")


@when("a VM loses {ends:d} servers under a request, one a second")
def step_lose_each_second(context, ends):
    context.quarantine = Quarantine()
    for n in range(ends):
        lose(context.quarantine, f"s-{n}", float(n), n + 1.0)
    context.last_end_at = float(ends)


@then("the request is refused for {rest:d} s, and one copy of three is sent after that")
def step_rest(context, rest):
    over_at = context.last_end_at + rest
    times = (context.last_end_at, over_at - 0.01, over_at, over_at + 0.01, over_at + 59)
    admitted = [context.quarantine.admit([REQUEST], at) for at in times]
    assert admitted == [False, False, True, False, False], admitted
    assert context.quarantine.measure_remaining_refusal_s([REQUEST], over_at - 1) >= 1


@then("a copy on trial that ends a server prolongs the time to {rest:d} s")
def step_prolong(context, rest):
    assert context.quarantine.admit([REQUEST], 70.0)
    lose(context.quarantine, "s-9", 70.0, 71.0)
    assert context.quarantine.measure_remaining_refusal_s([REQUEST], 71.0) == rest


@then("a copy on trial that runs well clears the request")
def step_clear(context):
    assert context.quarantine.admit([REQUEST], 191.0)
    context.quarantine.note_served(REQUEST, 192.0)
    assert all(context.quarantine.admit([REQUEST], 192.0) for _ in range(3))
    assert not context.quarantine.quarantined


@then('lines tell "{kinds}"')
def step_lines(context, kinds):
    changes = context.quarantine.pop_changes()
    assert [change.kind.value for change in changes] == kinds.split()
    assert len(changes[0].ends) == 3


# many VMs


class VmGroup:
    """VMs that tell each other in rounds, with datagrams that get lost."""

    def __init__(self, count: int, lost_share: float = 0.0) -> None:
        self.random = random.Random(4)
        self.quarantines = [Quarantine() for _ in range(count)]
        self.gossip = [QuarantineGossip(q, self.random) for q in self.quarantines]
        self.lost_share = lost_share
        self.cut = set()
        self.now = 100.0

    def lose_at(self, vm: int, server: str) -> None:
        lose(self.quarantines[vm], server, self.now - 0.05, self.now)

    def play(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += ROUND_S
            for vm in range(len(self.gossip)):
                self.tell(vm)

    def tell(self, vm: int) -> None:
        hints = self.gossip[vm].collect(self.now)
        for peer in range(len(self.gossip)):
            if peer == vm or self.is_lost(vm, peer):
                continue
            self.take(peer, vm, hints)

    def take(self, vm: int, peer: int, hints: list[SuspectHint]) -> None:
        """Let a VM take what a peer tells, and answer it."""
        gossip, digest = self.gossip[vm], self.gossip[peer].digest
        outdated = gossip.apply(hints, self.now)
        answers = gossip.reply(f"vm-{peer}", digest, self.now)
        for answer in [outdated, *answers] if outdated else answers:
            if not self.is_lost(vm, peer):
                self.take(peer, vm, answer)

    def is_lost(self, vm: int, peer: int) -> bool:
        return bool({vm, peer} & self.cut) or self.random.random() < self.lost_share

    def list_refusing(self) -> list[bool]:
        return [not q.admit([REQUEST], self.now) for q in self.quarantines]


@when(
    "{vms:d} VMs each meet a harmful request in turn while {lost:d} of 10 datagrams "
    "get lost"
)
def step_meet(context, vms, lost):
    group = context.group = VmGroup(vms, lost / 10)
    for vm in range(3):
        group.lose_at(vm, f"s-{vm}")
        group.now += 0.2
    context.since = group.now


@when("{vms:d} VMs each meet a harmless request in turn which one of them saw run well")
def step_meet_served(context, vms):
    group = context.group = VmGroup(vms)
    group.quarantines[vms - 2].note_served(REQUEST, group.now)
    for vm in range(3):
        group.lose_at(vm, f"s-{vm}")
        group.now += 0.2


@then("every VM refuses it within {seconds:g} s")
def step_all_refuse(context, seconds):
    group = context.group
    while not all(group.list_refusing()) and group.now < context.since + seconds:
        group.play(ROUND_S)
    assert all(group.list_refusing()), group.list_refusing()


@when("{vms:d} VMs refuse a request and one that {what} hears of them")
def step_late(context, vms, what):
    group = context.group = VmGroup(vms)
    late = vms - 1
    group.cut = {late}
    for vm in range(3):
        group.lose_at(vm, f"s-{vm}")
        group.now += 0.2
    group.play(20.0)
    assert group.list_refusing() == [True] * late + [False]
    group.cut = set()
    context.since = group.now


@when("{vms:d} VMs refuse a request and one of them sees it run well")
def step_see_served(context, vms):
    group = context.group = VmGroup(vms)
    for vm in range(3):
        group.lose_at(vm, f"s-{vm}")
        group.now += 0.2
    group.play(1.0)
    assert all(group.list_refusing())
    group.cut = {vms - 1}
    group.quarantines[4].note_served(REQUEST, group.now)


@then("no VM refuses it after {seconds:g} s")
def step_none_refuses(context, seconds):
    context.group.play(seconds)
    assert not any(context.group.list_refusing()[:-1])


@then("a VM that was cut off meanwhile does not bring it back")
def step_not_back(context):
    group = context.group
    assert group.list_refusing()[-1]
    group.cut = set()
    group.play(3.0)
    assert not any(group.list_refusing())


@when(
    "{vms:d} VMs refuse a request, one sees it run well, and a stopped one reads of it "
    "{late:d} s late"
)
def step_read_late(context, vms, late):
    group = context.group = VmGroup(vms)
    stopped = vms - 1
    group.cut = {stopped}
    for vm in range(3):
        group.lose_at(vm, f"s-{vm}")
        group.now += 0.2
    group.play(0.4)
    unread = group.gossip[0].collect_quarantined(group.now, 6)
    group.quarantines[4].note_served(REQUEST, group.now + 0.1)
    group.play(late)
    group.gossip[stopped].apply(unread, group.now)
    assert group.list_refusing() == [False] * stopped + [True]
    group.cut = set()


@then("every VM sends it after {seconds:g} s")
def step_all_send(context, seconds):
    context.group.play(seconds)
    assert not any(context.group.list_refusing())


# memory, and messages of other versions


@when("a VM loses a server under each of {count:d} requests")
def step_lose_many(context, count):
    context.quarantine = Quarantine()
    for n in range(3):
        lose(context.quarantine, f"s-{n}", float(n), n + 1.0)
    for n in range(count):
        lose(context.quarantine, f"t-{n}", 4.0 + n, 4.5 + n, request=n + 1)


@then("it keeps {count:d} of them, and those that are refused longest")
def step_kept(context, count):
    quarantine = context.quarantine
    kept = quarantine.list_records(range(1, 20_000))
    assert count == MAX_RECORDS == len(kept) + 1
    assert min(kept) > 1
    assert quarantine.quarantined == {REQUEST}


@then("a message without suspects is read as one that refuses none")
def step_old_message(context):
    old = msgspec.msgpack.encode(["vm-1", [[9, "i-1", 40]], True, [], [], [], []])
    hints = msgspec.msgpack.decode(old, type=PeerHints)
    assert hints.suspects == []
    assert hints.quarantine_digest == 0


OldHints = msgspec.defstruct(
    "OldHints", [("vm", str), ("homes", list[HomeHint])], array_like=True
)


@then("a message with suspects is read by a VM that does not know them")
def step_new_message(context):
    new = PeerHints(
        "vm-1", [HomeHint(9, "i-1", 40)], suspects=[SuspectHint(8)], quarantine_digest=8
    )
    found = msgspec.msgpack.decode(msgspec.msgpack.encode(new), type=OldHints)
    assert found.homes == new.homes


# the model of many VMs


@when(
    "a harmful request comes 3 times a second to {vms:d} VMs that lose {lost:d} of 10 "
    "datagrams"
)
def step_model(context, vms, lost):
    context.vms = vms
    context.results = [
        play_crashes(CrashPattern(vms, seed, lost / 10)) for seed in (1, 2, 3)
    ]


@when("a harmful request comes to {vms:d} VMs that tell each other nothing")
def step_model_silent(context, vms):
    context.results = [
        play_crashes(CrashPattern(vms, seed, tells=False)) for seed in (1, 2, 3)
    ]


@then(
    "with seeds 1 to 3 it ends {ends:d} servers at most, and {late:d} copies at most "
    "come late"
)
def step_model_ends(context, ends, late):
    for result in context.results:
        assert result.ends <= ends, result
        assert result.late <= late, result


@then("every VM that may refuse it does")
def step_model_refuse(context):
    for result in context.results:
        assert result.refusing == context.vms, result


@then("with seeds 1 to 3 it ends {ends:d} servers or more")
def step_model_many(context, ends):
    for result in context.results:
        assert result.ends >= ends, result
