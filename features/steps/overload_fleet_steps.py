"""Steps: many VMs that fill a service, replayed on one clock."""

from __future__ import annotations

from behave import then, when

from features.overload_fleet import Fleet, Pattern
from ramppin.gateway.process.overload.capacity import REPORT_DELAY_S
from ramppin.gateway.process.overload.fleetdemand import RANKS

STAY_S = 0.9
PLAIN_STAY_S = 0.2
FILLED_S = 2.0
"""Seconds after which a service is filled, in which its slots are not yet used."""


def start_fleet(context, vms, load, servers, **fields) -> Fleet:
    fields = {"stay_s": STAY_S} | fields
    context.fleet = Fleet(Pattern(vms=vms, servers=servers, load=load, **fields))
    return context.fleet


@when("{vms:d} VMs send {load:g} times what {servers:d} servers complete for {s:g} s")
def step_send(context, vms, load, servers, s):
    context.samples = start_fleet(context, vms, load, servers).play(s)


@when(
    "{vms:d} VMs of which one exchanges no datagrams send {load:g} times what "
    "{servers:d} servers complete for {seconds:g} s"
)
def step_deaf(context, vms, load, servers, seconds):
    fleet = start_fleet(context, vms, load, servers)
    cut = fleet.vms[0]
    fleet.is_cut = lambda a, b: a is cut or b is cut
    context.samples = fleet.play(seconds)


@when(
    "{vms:d} VMs send {load:g} times what {servers:d} plain servers of {slots:d} slots "
    "complete for {seconds:g} s"
)
def step_plain(context, vms, load, servers, slots, seconds):
    fleet = start_fleet(
        context, vms, load, servers, slots=slots, stay_s=PLAIN_STAY_S, reports=False
    )
    context.samples = fleet.play(seconds)


@then("at most {most:d} requests are held, and of the slots at most {share:g} are idle")
def step_plain_held(context, most, share):
    assert max(sample.held for sample in context.samples) <= most
    check_idle(context, context.samples, share)


def compute_bound(fleet: Fleet) -> float:
    """Return the limit, one request per VM, and what ends in one report delay."""
    pattern = fleet.pattern
    slots = sum(server.slots for server in fleet.servers)
    limit = slots + sum(max(1, server.slots / 4) for server in fleet.servers)
    return limit + pattern.vms + slots / pattern.stay_s * REPORT_DELAY_S


def check_held(context, samples) -> None:
    most = max(sample.held for sample in samples)
    assert most <= compute_bound(context.fleet), most


def check_idle(context, samples, share: float) -> None:
    slots = sum(server.slots for server in context.fleet.servers)
    unused = sum(min(sample.idle, sample.waiting) for sample in samples)
    found = unused / len(samples) / slots
    assert found <= share, found


@then("no more than the limit is held")
def step_held(context):
    check_held(context, context.samples)


@then(
    "no more than the limit is held, and of the slots at most {share:g} are idle while "
    "requests wait"
)
def step_held_and_idle(context, share):
    check_held(context, context.samples)
    first = context.samples[0].at + FILLED_S
    check_idle(context, [s for s in context.samples if s.at > first], share)


@then(
    "of rank 0 at least {share:g} have started, and more of rank {more:d} than of "
    "rank {fewer:d}"
)
def step_order(context, share, more, fewer):
    vms = context.fleet.vms
    started = [sum(vm.started_of[rank] for vm in vms) for rank in range(RANKS)]
    waiting = sum(vm.waiting[0] for vm in vms)
    assert started[0] >= share * (started[0] + waiting), (started, waiting)
    assert started[more] > started[fewer] > 0, started


@when("{seconds:g} s more are played")
def step_more(context, seconds):
    context.started_before = [list(vm.started_of) for vm in context.fleet.vms]
    context.samples = context.fleet.play(seconds)


def list_new_starts(context) -> list[list[int]]:
    """Return the starts of each VM by rank in the last part of the replay."""
    pairs = zip(context.fleet.vms, context.started_before, strict=True)
    return [
        [after - before for after, before in zip(vm.started_of, first, strict=True)]
        for vm, first in pairs
    ]


@then("no request has waited")
def step_no_wait(context):
    assert all(sample.waiting == 0 for sample in context.samples)


@when("half of the VMs are cut off from the others for {seconds:g} s")
def step_cut(context, seconds):
    fleet = context.fleet
    half = {vm.name for vm in fleet.vms[::2]}
    fleet.is_cut = lambda a, b: (a.name in half) != (b.name in half)
    context.samples = fleet.play(seconds)


@when("the VMs have removed those of the other half and play {seconds:g} s")
def step_remove(context, seconds):
    fleet = context.fleet
    for vm in fleet.vms:
        vm.visible = {peer.name for peer in fleet.vms if not fleet.is_cut(vm, peer)}
    assert all(len(vm.list_vms(fleet.now)) == 36 for vm in fleet.vms)
    context.samples = fleet.play(seconds)


@then("no more than twice the free capacity is used")
def step_twice(context):
    # What both halves use beyond the free capacity is corrected with the next reports,
    # so that it is bounded by what starts within one report delay.
    check_held(context, context.samples)


@when("all VMs restart and receive {count:d} requests each")
def step_restart(context, count):
    fleet = context.fleet
    fleet.restart()
    for vm in fleet.vms:
        for _ in range(count):
            vm.receive(0)


@then("at most the limit and one request per VM are sent before servers report")
def step_sent(context):
    fleet = context.fleet
    sent = fleet.count_in_flight()
    slots = fleet.pattern.all_slots
    assert 0 < sent <= 1.25 * slots + fleet.pattern.vms, sent
    assert sent < sum(sum(vm.waiting) for vm in fleet.vms)


@then("no more than the limit is held in the next {seconds:g} s")
def step_next(context, seconds):
    check_held(context, context.fleet.play(seconds))


@then(
    "the VM without datagrams starts from {least:g} to {most:g} times the mean of the "
    "others"
)
def step_part(context, least, most):
    cut, *others = list_new_starts(context)
    mean = sum(map(sum, others)) / len(others)
    assert least * mean <= sum(cut) <= most * mean, (cut, mean)


@then("it starts more of rank 0 than of the other ranks together")
def step_ranks(context):
    started = list_new_starts(context)[0]
    assert started[0] > sum(started[1:]), started


@when("the slots of all servers are halved")
def step_halve(context):
    fleet = context.fleet
    for server in fleet.servers:
        server.slots //= 2
    for vm in fleet.vms:
        for server in fleet.servers:
            vm.directory.put(fleet.describe_server(server))


@then(
    "within {seconds:g} s no more than the new limit is held, and in the next "
    "{later:g} s at most {share:g} of the slots are idle"
)
def step_halved(context, seconds, later, share):
    context.fleet.play(seconds)
    samples = context.fleet.play(later)
    check_held(context, samples)
    check_idle(context, samples, share)
