"""Steps: emptied failure domains and cold servers, with real processes."""

from __future__ import annotations

from behave import then

from features.domain_soak import draw_soak


@then(
    "a domain soak of {vms:d} processes, {seconds:d} seconds and seed {seed:d} breaks "
    "no promise"
)
def step_soak(context, vms, seconds, seed):
    soak = draw_soak(seed, float(seconds), vms)
    broken = context.loop.run_until_complete(soak.run())
    assert not broken, (broken, soak.show())
