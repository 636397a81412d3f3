"""Steps: patterns of load, replayed through many VMs' rules."""

from __future__ import annotations

from dataclasses import replace

from behave import then, when

from bench.vms.fleet import AS_IT_IS, NOT_TOLD, Fleet, Policy
from bench.vms.pattern import list_patterns

SEED = 1
SECONDS = 18.0


def play(context, name: str, vms: int, policy: Policy) -> None:
    [pattern] = [found for found in list_patterns(SEED) if found.name == name]
    pattern = replace(pattern, vms=vms, seconds=SECONDS)
    context.result = Fleet(pattern, policy).run()


@when('the pattern "{name}" is played with {vms:d} VMs')
def step_play(context, name, vms):
    play(context, name, vms, AS_IT_IS)


@when('the pattern "{name}" is played with {vms:d} VMs that tell no loads')
def step_play_alone(context, name, vms):
    play(context, name, vms, NOT_TOLD)


@then("in the worst 5 s at most {share:g} of the choices are over the limit")
def step_most(context, share):
    assert context.result.worst_share <= share, context.result


@then("in the worst 5 s at least {share:g} of the choices are over the limit")
def step_least(context, share):
    assert context.result.worst_share >= share, context.result


@then("a VM sends at most {limit:d} bytes a second")
def step_bytes(context, limit):
    assert context.result.vm_bytes_s <= limit, context.result
