"""Steps: a short soak with a seed."""

from __future__ import annotations

from behave import then

from features.gateway_soak import Soak


@then("a soak of {seconds:d} seconds with seed {seed:d} breaks no promise")
def step_soak(context, seconds, seed):
    broken = context.loop.run_until_complete(Soak(seed, float(seconds)).run())
    assert not broken, broken
