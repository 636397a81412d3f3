"""Steps: what servers say of themselves, with real processes."""

from __future__ import annotations

from behave import then

from features.word_soak import WordSoak, draw_soak


@then(
    "a word soak of {vms:d} processes, {seconds:d} seconds and seed {seed:d} with "
    '"{harms}" breaks no promise'
)
def step_soak(context, vms, seconds, seed, harms):
    soak = WordSoak(seed, float(seconds), vms, tuple(harms.split()))
    broken = context.loop.run_until_complete(soak.run())
    assert not broken, (broken, soak.show())


@then(
    "a word soak of {vms:d} processes, {seconds:d} seconds and seed {seed:d} breaks "
    "no promise"
)
def step_drawn_soak(context, vms, seconds, seed):
    soak = draw_soak(seed, float(seconds), vms)
    broken = context.loop.run_until_complete(soak.run())
    assert not broken, (broken, soak.show())
