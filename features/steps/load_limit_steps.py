"""Steps: the bound on load before servers that report none, and with real processes."""

from __future__ import annotations

from dataclasses import replace

from behave import then, when

from bench.vms.plain import Telling, list_plain_patterns, play_plain
from features.load_soak import LoadSoak

TELLINGS = {
    "": Telling(),
    "that tell no waits": Telling(waits=False),
    "that hear 2 of 5 datagrams": Telling(lost_share=0.6),
    "of which 1 in 10 hears none": Telling(deaf_share=0.1),
}


@when(
    "{vms:d} VMs before {servers:d} plain servers play these patterns with seeds "
    "{first:d} to {last:d}"
)
def step_play(context, vms, servers, first, last):
    play(context, vms, servers, range(first, last + 1), "")


@when(
    "{vms:d} VMs {telling} before {servers:d} plain servers play these patterns with "
    "seeds {first:d} to {last:d}"
)
def step_play_told(context, vms, telling, servers, first, last):
    play(context, vms, servers, range(first, last + 1), telling)


def play(context, vms, servers, seeds, telling):
    context.limits = {row["pattern"]: float(row["share"]) for row in context.table}
    patterns = [
        replace(pattern, vms=vms, domains=servers)
        for seed in seeds
        for pattern in list_plain_patterns(seed)
    ]
    assert context.limits.keys() <= {pattern.name for pattern in patterns}
    context.results = [
        play_plain(pattern, TELLINGS[telling])
        for pattern in patterns
        if pattern.name in context.limits
    ]


@then("in the worst 5 s no more than each share of the choices is over the limit")
def step_check(context):
    over = [
        f"{result.pattern} with seed {result.seed}: {result.worst_share:.3f}"
        for result in context.results
        if result.worst_share > context.limits[result.pattern]
    ]
    assert not over, over


@then("in the worst 5 s more than each share of the choices is over the limit")
def step_check_over(context):
    kept = [
        f"{result.pattern} with seed {result.seed}: {result.worst_share:.3f}"
        for result in context.results
        if result.worst_share <= context.limits[result.pattern]
    ]
    assert not kept, kept


@then(
    "a load soak of {vms:d} processes, {seconds:d} seconds and seed {seed:d} with "
    '"{harms}" keeps the bound'
)
def step_soak(context, vms, seconds, seed, harms):
    soak = LoadSoak(seed, float(seconds), vms, tuple(harms.split()))
    broken = context.loop.run_until_complete(soak.run())
    assert not broken, (broken, soak.faults)
