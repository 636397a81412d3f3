"""Steps: overload of a service, with real processes."""

from __future__ import annotations

from behave import then, when

from features.crowd_soak import CrowdSoak
from features.overload_soak import draw_soak, play_trial, sum_up


def play(context, trial, seeds, **options):
    context.soaks = context.loop.run_until_complete(play_trial(trial, seeds, **options))
    return [call for soak in context.soaks for call in soak.calls]


@when('the trial "{trial}" is played with seeds {seeds}')
def step_play(context, trial, seeds):
    context.calls = play(context, trial, seeds)


@when('"{trial}" is played without overload control with seeds {seeds}')
def step_play_before(context, trial, seeds):
    context.before = sum_up(play(context, trial, seeds, contracts=""))


@then("callers get at least")
def step_check(context):
    found = [(sum_up(context.calls, row["requests"]), row) for row in context.table]
    low = [
        (row["requests"], row["share"], shares)
        for shares, row in found
        if shares[row["share"]] < float(row["least"])
    ]
    assert not low, low


@then("of {group} not served, {share:f} are refused at once")
def step_check_refused(context, group, share):
    row = sum_up(context.calls, group)
    assert row["refused"] >= share * (1 - row["served"]), row


@then("at least {share:f} of those served without it are served")
def step_check_total(context, share):
    row = sum_up(context.calls)
    assert row["served"] >= share * context.before["served"], (row, context.before)


@then("the slow server runs between {least:f} and {most:f} of the requests")
def step_check_share(context, least, most):
    shares = [soak.measure_share("i-0") for soak in context.soaks]
    assert all(least <= share <= most for share in shares), shares


@then("an overload soak of {seconds:d} seconds with seed {seed:d} breaks no promise")
def step_soak(context, seconds, seed):
    soak = draw_soak(seed, float(seconds))
    broken = context.loop.run_until_complete(soak.run())
    assert not broken, (broken, soak.show())


@then("a crowd soak of {vms:d} processes with seed {seed:d} {how} breaks no promise")
def step_crowd(context, vms, seed, how):
    contracts = "pressure" if how == "with overload control" else ""
    soak = CrowdSoak(seed, vms=vms, contracts=contracts)
    broken = context.loop.run_until_complete(soak.run())
    assert not broken, (broken, soak.show())
