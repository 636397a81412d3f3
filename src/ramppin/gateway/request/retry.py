"""Whether a request is sent, and sent again.

All rules on a further attempt stand here: before one is made
(:func:`judge_try`), after one has ended (:func:`judge_retry`), and while one
waits for a server that is unresponsive (:func:`judge_takeover`). They read typed
inputs, do no I/O and change nothing; :class:`~.exchange.Exchange` carries them
out and takes what the budget allows.

The reasons: a request that may have run must not run again unless its route says
that it may; retries must not multiply the load of a failure, so all VMs together
stay within a budget (:mod:`ramppin.gateway.process.limits.retrybudget`).
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from ramppin.gateway.process.routing.closure import ClosureReason
from ramppin.gateway.request.result import AttemptEnd
from ramppin.gateway.version.routing import Route

MAX_TRIES = 4
"""Servers that one request may try, failed connections included, and those left out
that turned it away for a time of rest."""

MAX_BACKOFF_REFUSALS = 8
"""Servers that may turn one request away for a time of rest. Each costs milliseconds
and is closed from then on, so trying on serves the requests that come after as well."""

MIN_TIME_LEFT_S = 0.02
"""Seconds below which another attempt could not be answered in time."""


@dataclass(slots=True)
class Progress:
    """How far a request has come.

    Attributes:
        tries: servers tried, failed connections included.
        backoff_refusals: those of them that turned it away for a time of rest.
        runs: attempts that a server may have run.
        answer_started: whether the caller has got a part of an answer.
    """

    tries: int = 0
    backoff_refusals: int = 0
    runs: int = 0
    answer_started: bool = False


class Verdict(Enum):
    """Whether a request is sent, or the rule that forbids it."""

    SEND = "it may be sent"
    QUARANTINED = "servers ended under it, one after the other"
    NO_SERVER = "no server is left to choose from"
    COLD = "its servers are cold, and this VM has no place there now"
    RESTING = "its servers have asked this VM for rest"
    EVACUATED = "all its servers stand in emptied failure domains"
    LEAVING = "all its servers say that they leave"
    TRIES_SPENT = "it has tried as many servers as one request may"
    TIME_SPENT = "too little time is left"
    TIMED_OUT = "its time was over during an attempt"
    NOT_REPEATABLE = "it may have run, and its route may not be repeated"
    ATTEMPTS_SPENT = "servers may have run it as often as its route allows"
    ANSWER_STARTED = "its caller has a part of an answer that can't be resumed"
    BUDGET_SPENT = "the budget of retries is spent"

    @property
    def allows(self) -> bool:
        """Whether the request may be sent."""
        return self is Verdict.SEND


_CLOSURE_VERDICTS = {
    ClosureReason.COLD: Verdict.COLD,
    ClosureReason.RESTING: Verdict.RESTING,
    ClosureReason.EVACUATED: Verdict.EVACUATED,
    ClosureReason.LEAVING: Verdict.LEAVING,
}
"""What is told where servers are closed for several reasons: what ends first."""


def judge_try(
    progress: Progress, time_left_s: float, *, is_quarantined: bool = False
) -> Verdict:
    """Return whether a request may be sent to one more server.

    Args:
        progress: how far the request has come.
        time_left_s: seconds until the request is given up.
        is_quarantined: whether it is refused since servers ended under it.
    """
    if is_quarantined:
        return Verdict.QUARANTINED
    if progress.tries - progress.backoff_refusals >= MAX_TRIES:
        return Verdict.TRIES_SPENT
    if progress.backoff_refusals >= MAX_BACKOFF_REFUSALS:
        return Verdict.TRIES_SPENT
    if time_left_s < MIN_TIME_LEFT_S:
        return Verdict.TIME_SPENT
    return Verdict.SEND


def judge_no_server(reasons: Collection[ClosureReason]) -> Verdict:
    """Return why no server is left to choose from.

    Args:
        reasons: what closes the servers that the request has not tried.
    """
    for reason, verdict in _CLOSURE_VERDICTS.items():
        if reason in reasons:
            return verdict
    return Verdict.NO_SERVER


def judge_retry(
    route: Route,
    progress: Progress,
    end: AttemptEnd,
    *,
    has_budget: bool,
    crashes_servers: bool = False,
) -> Verdict:
    """Return whether a request may be sent again after an attempt.

    An attempt of which no byte left costs no budget: no server saw it.

    Args:
        route: the request's route.
        progress: how far the request has come.
        end: how the attempt ended.
        has_budget: whether the budget allows one more retry.
        crashes_servers: whether its server may have ended, and sending it again is likely
            to end one more.
    """
    if end is AttemptEnd.NOT_SENT:
        return Verdict.SEND
    if end is AttemptEnd.TIMED_OUT:
        return Verdict.TIMED_OUT
    if crashes_servers:
        return Verdict.QUARANTINED
    if end is not AttemptEnd.REJECTED:
        verdict = _judge_run_again(route, progress)
        if not verdict.allows:
            return verdict
    return Verdict.SEND if has_budget else Verdict.BUDGET_SPENT


def judge_takeover(
    route: Route, progress: Progress, *, has_other_server: bool, has_budget: bool
) -> Verdict:
    """Return whether another server may take over from an unresponsive one.

    The attempt is given up only if another can follow at once; otherwise the
    request is better off waiting.

    Args:
        route: the request's route.
        progress: how far the request has come, the waiting attempt included.
        has_other_server: whether a server is open, untried and not suspect.
        has_budget: whether the budget allows one more retry.
    """
    verdict = _judge_run_again(route, progress)
    if not verdict.allows:
        return verdict
    if not has_other_server:
        return Verdict.NO_SERVER
    return Verdict.SEND if has_budget else Verdict.BUDGET_SPENT


def _judge_run_again(route: Route, progress: Progress) -> Verdict:
    """Return whether a request that may have run may run once more."""
    if not route.repeatable:
        return Verdict.NOT_REPEATABLE
    if progress.runs >= route.max_attempts:
        return Verdict.ATTEMPTS_SPENT
    if progress.answer_started and not route.resumable:
        return Verdict.ANSWER_STARTED
    return Verdict.SEND
