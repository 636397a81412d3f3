"""Steps: VMs, builds and a failing log on a virtual clock."""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import replace

from behave import then, when

from features.build_fleet import UNTOLD, BuildFleet, Kind

UNRECORDED = Kind(stay_s=0.0, leaves_recorded=False, log_fails=False)

KINDS = {
    "builds change and the log fails": Kind(),
    "one build, the log serves": Kind(changes=False, log_fails=False),
    "datagrams are lost as well": Kind(loss=0.05),
    "builds that stay shortly": Kind(stay_s=0.0),
    "builds that leave unrecorded": UNRECORDED,
}


@when("the schedules {first:d} to {last:d} are played: {kind}")
def step_play(context, first, last, kind):
    seeds = range(first, last + 1)
    play_fleets(context, [BuildFleet(seed, KINDS[kind]) for seed in seeds])


@when('"{script}" is played {count:d} times with {rule}')
def step_play_script(context, script, count, rule):
    kind = replace(
        UNRECORDED,
        serves_unread="unread" in rule,
        reads_first="any order" not in rule,
    )
    fleets = [BuildFleet(seed, kind, script) for seed in range(count)]
    play_fleets(context, fleets)


def play_fleets(context, fleets: list[BuildFleet]) -> None:
    """Play schedules, and collect what they count."""
    context.counts, context.wrong = Counter(), []
    # A line for each failed call of the log costs more than the schedules.
    logging.disable(logging.WARNING)
    try:
        for fleet in fleets:
            fleet.play()
            context.counts += fleet.counts
            wrong = fleet.wrong[:1]
            context.wrong += [f"seed {fleet.seed}: {event}" for event in wrong]
    finally:
        logging.disable(logging.NOTSET)
    print(f"{len(fleets)} schedules: {dict(context.counts)}")


@then("no stream goes on at a build that did not begin it")
def step_none_wrong(context):
    assert not context.wrong, context.wrong[:5]


@then("at most {count:d} do before the VM could be told of a new build")
def step_untold(context, count):
    assert context.counts[UNTOLD] <= count, context.counts


@then("at least {count:d} take-ups are allowed for each ground but a new stream")
def step_grounds(context, count):
    grounds = ("known here", "known elsewhere", "one build", "recorded")
    for ground in grounds:
        allowed = context.counts[f"allowed: {ground}"]
        assert allowed >= count, (ground, context.counts)


@then("no take-up is refused, and {share:g} of them go on")
def step_all_go_on(context, share):
    counts = context.counts
    refused = {name for name in counts if name.startswith("refused")}
    assert not refused, counts
    assert counts["went on"] >= share * counts["taken up"], counts
