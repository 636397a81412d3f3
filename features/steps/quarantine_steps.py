"""Steps: requests under which servers end, with real processes."""

from __future__ import annotations

from behave import then

from features.crash_soak import CrashSoak
from features.part_soak import FORMS, PartSoak


def play(context, soak):
    broken = context.loop.run_until_complete(soak.run())
    assert not broken, (broken, soak.show())


@then(
    "a crash soak of {vms:d} processes, {seconds:d} seconds and seed {seed:d} breaks "
    "no promise"
)
def step_soak(context, vms, seconds, seed):
    play(context, CrashSoak(seed, float(seconds), vms))


@then(
    "a crash soak of {vms:d} processes, {seconds:d} seconds and seed {seed:d} whose "
    "servers keep their ids breaks no promise"
)
def step_soak_same_id(context, vms, seconds, seed):
    play(context, CrashSoak(seed, float(seconds), vms, same_id=True))


@then(
    "a crash soak of {vms:d} processes, {seconds:d} seconds and seed {seed:d} with "
    '"{harms}" breaks no promise'
)
def step_soak_harmed(context, vms, seconds, seed, harms):
    play(context, CrashSoak(seed, float(seconds), vms, tuple(harms.split())))


@then(
    "a part soak of {vms:d} processes, {seconds:d} seconds, seed {seed:d} and form "
    '"{form}" keeps its promises and goals'
)
def step_part_soak(context, vms, seconds, seed, form):
    found = FORMS[form]
    play(context, PartSoak(seed, float(seconds), vms, found.harms, form=found))
