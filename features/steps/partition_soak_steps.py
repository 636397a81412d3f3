"""Steps: VMs partitioned from backend servers, with real processes."""

from __future__ import annotations

from behave import then

from features.partition_soak import PartitionSoak, draw_soak


def run(context, soak: PartitionSoak) -> None:
    """Run a soak and check its promises."""
    broken = context.loop.run_until_complete(soak.run())
    assert not broken, (broken, soak.show())


@then(
    "a partition trial of {vms:d} processes, {seconds:d} seconds and seed {seed:d} "
    'in the form "{form}" breaks no promise'
)
def step_trial(context, vms, seconds, seed, form):
    run(context, PartitionSoak(seed, float(seconds), vms, trial=form))


@then(
    "a partition soak of {vms:d} processes, {seconds:d} seconds and seed {seed:d} "
    "breaks no promise"
)
def step_soak(context, vms, seconds, seed):
    run(context, draw_soak(seed, float(seconds), vms))
