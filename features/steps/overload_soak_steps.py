"""Steps: overload of a service, with real processes."""

from __future__ import annotations

from behave import then, when

from features.overload_soak import TRIAL_S, TRIALS, OverloadSoak, draw_soak, sum_up


def play(context, trial, first, last, contracts="pressure"):
    asked, context.shares = [], []
    for seed in range(first, last + 1):
        pattern = TRIALS[trial]
        soak = OverloadSoak(seed, TRIAL_S, pattern=pattern, contracts=contracts)
        context.loop.run_until_complete(soak.run())
        asked += soak.asked
        context.shares.append(soak.measure_share("i-0"))
    return asked


@when('the trial "{trial}" is played with seeds {first:d} to {last:d}')
def step_play(context, trial, first, last):
    context.asked = play(context, trial, first, last)


@when('"{trial}" is played without overload control with seeds {first:d} to {last:d}')
def step_play_before(context, trial, first, last):
    context.before = sum_up(play(context, trial, first, last, contracts=""))


@then("callers get at least")
def step_check(context):
    rows = {
        row["requests"]: sum_up(context.asked, row["requests"]) for row in context.table
    }
    low = [
        (row["requests"], row["share"], rows[row["requests"]])
        for row in context.table
        if rows[row["requests"]][row["share"]] < float(row["least"])
    ]
    assert not low, low


@then("of {group} not served, {share:f} are refused at once")
def step_check_refused(context, group, share):
    row = sum_up(context.asked, group)
    assert row["refused"] >= share * (1 - row["served"]), row


@then("at least {share:f} of those served without it are served")
def step_check_total(context, share):
    row = sum_up(context.asked)
    assert row["served"] >= share * context.before["served"], (row, context.before)


@then("the slow server runs between {least:f} and {most:f} of the requests")
def step_check_share(context, least, most):
    assert all(least <= share <= most for share in context.shares), context.shares


@then("an overload soak of {seconds:d} seconds with seed {seed:d} breaks no promise")
def step_soak(context, seconds, seed):
    soak = draw_soak(seed, float(seconds))
    broken = context.loop.run_until_complete(soak.run())
    assert not broken, (broken, soak.show())
