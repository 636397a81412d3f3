"""Steps: what records of builds and origins cost at the platform's store."""

from __future__ import annotations

from behave import then, when

from bench.vms.buildstarts import list_start_patterns, play_starts

SEED = 1


@when('{vms:d} VMs play "{name}" with {per_s:d} streams a second')
def step_play(context, vms, name, per_s):
    patterns = list_start_patterns(vms, float(per_s), SEED)
    [context.pattern] = [p for p in patterns if p.name == name]
    context.result = play_starts(context.pattern)


@then("in the worst second there are at most {reads:d} reads and {writes:d} writes")
def step_calls(context, reads, writes):
    result = context.result
    assert result.reads_per_s <= reads, result.reads_per_s
    assert result.writes_per_s <= writes, result.writes_per_s
    assert result.builds.failed + result.origins.failed == 0


@then("each of {vms:d} VMs has what it needs within {wait_s:g} s")
def step_wait(context, vms, wait_s):
    result = context.result
    assert len(result.known_s) == vms, len(result.known_s)
    if context.pattern.lost_at is not None:
        assert len(result.found_s) == vms, len(result.found_s)
    assert result.longest_wait_s <= wait_s, result.longest_wait_s
