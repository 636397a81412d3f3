"""Steps about the retry budget of a fleet."""

from __future__ import annotations

from behave import then

from features.retry_fleet import play


@then("no window has more repeats than the fleet is allowed")
def step_fleet_within_budget(context):
    over = {}
    for row in context.table:
        for seed in map(int, row["seeds"].split()):
            excess = play(row["form"], seed).measure_excess()
            if excess > 0:
                over[f"{row['form']} {seed}"] = round(excess, 1)
    assert not over, f"repeats over the allowance: {over}"
