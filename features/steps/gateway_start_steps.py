"""Steps: callers that come to VMs which have just started."""

from __future__ import annotations

import math
from collections.abc import Callable

from behave import then, when

from ramppin.gateway.request.admission import Denial, choose_first_read_wait_s
from ramppin.gateway.request.finalanswer import answer_denied

CALLERS = 400
READ_S = 0.1
"""Seconds from the log's return until a VM knows its settings."""

HONOURED_SHARE = 1 / 3
"""Part of the time left up to which a caller heeds a pause."""


def is_served(came_at: float, deadline_s: float, known_at: float, pause) -> bool:
    """Return whether one of a caller's two tries meets a VM that knows its settings."""
    now, ends_at = came_at, came_at + deadline_s
    for _ in range(2):
        now += choose_first_read_wait_s(ends_at - now)
        if now >= known_at:
            return True
        now += min(pause(ends_at - now), HONOURED_SHARE * (ends_at - now))
    return False


def measure_served(
    deadline_s: float, away_s: float, pause: Callable[[float], float]
) -> float:
    """Return the share of callers that are served, of those that come meanwhile."""
    known_at = away_s + READ_S
    arrivals = [known_at * number / CALLERS for number in range(CALLERS)]
    served = [is_served(at, deadline_s, known_at, pause) for at in arrivals]
    return sum(served) / CALLERS


def choose_pause_s(time_left_s: float) -> float:
    return answer_denied(Denial.NO_SETTINGS, time_left_s).retry_after_s


@when(
    "callers with {deadline:g} s and one retry come while the log is away for "
    "{away:g} s"
)
def step_come(context, deadline, away):
    context.served = measure_served(deadline, away, choose_pause_s)
    context.served_before = measure_served(deadline, away, lambda left: 0.5)


@then("at least {share:g} of them reach a VM that knows its settings")
def step_served(context, share):
    assert context.served >= share, context.served


@then("with a pause of 0.5 s at most {share:g} of them would")
def step_before(context, share):
    assert context.served_before <= share, context.served_before


@then("at a VM without settings a caller with {left} s left pauses {pause:g} s")
def step_pause(context, left, pause):
    time_left_s = None if left == "none" else float(left)
    found = answer_denied(Denial.NO_SETTINGS, time_left_s).retry_after_s
    assert math.isclose(found, pause, abs_tol=1e-9), found
