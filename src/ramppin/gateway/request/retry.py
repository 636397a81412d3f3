"""Decides whether a request is sent and retried.

Contains all rules for further attempts: before an attempt (:func:`judge_try`), after
it has ended (:func:`judge_retry`), and while it waits for an unresponsive server
(:func:`judge_takeover`). The functions are pure; :class:`~.exchange.Exchange` applies
their verdicts and counts retries in the budget.

A request that may have run must not run again unless its route allows it. Retries must
not multiply the load during a failure, so all VMs together stay within a budget
(:mod:`ramppin.gateway.process.limits.retrybudget`).
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from ramppin.gateway.process.routing.closure import ClosureReason
from ramppin.gateway.request.result import AttemptEnd
from ramppin.gateway.version.routing import Route

MAX_TRIES = 4
"""Maximum number of servers that one request may try, including failed connections but
not servers that refused it with a back-off."""

MAX_BACKOFF_REFUSALS = 8
"""Maximum number of servers that may refuse one request with a back-off. A refusal
costs milliseconds and closes the server to later requests too, so trying others also
benefits those."""

MIN_TIME_LEFT_S = 0.02
"""Minimum remaining time in seconds for an attempt that can be answered in time."""


@dataclass(slots=True)
class Progress:
    """Progress of a request.

    Attributes:
        tries: number of servers tried, including failed connections.
        backoff_refusals: number of those that refused the request with a back-off.
        runs: number of attempts that a server may have run.
        answer_started: whether part of an answer was sent to the caller.
    """

    tries: int = 0
    backoff_refusals: int = 0
    runs: int = 0
    answer_started: bool = False


class Verdict(Enum):
    """Permission to send a request, or the rule that forbids it."""

    SEND = "the request may be sent"
    QUARANTINED = "servers crashed while running the request, one after another"
    NO_SERVER = "no server is available"
    BUILD_UNKNOWN = "it is unknown at which build the stream began"
    NO_BUILD = "no server has the build at which the stream began"
    COLD = "the servers are cold and this VM's quota is used up"
    RESTING = "the servers asked this VM to back off"
    EVACUATED = "all servers are in evacuated failure domains"
    LEAVING = "all servers announced that they are leaving"
    TRIES_SPENT = "the maximum number of servers was tried"
    TIME_SPENT = "not enough time is left for an attempt"
    TIMED_OUT = "the time limit expired during an attempt"
    NOT_REPEATABLE = "the request may have run and its route is not repeatable"
    ATTEMPTS_SPENT = "the request may have run as often as its route allows"
    ANSWER_STARTED = "part of an answer was sent and can't be resumed"
    BUDGET_SPENT = "the retry budget is exhausted"
    UNREACHABLE = "neither this VM nor another one reaches the servers"
    RELAYED = "another VM gave the final answer"
    CALLER_LEFT = "the caller disconnected while the request waited for its turn"

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
"""Verdicts by closure reason. If servers are closed for different reasons, the first
match is reported, which is the reason that ends soonest."""


def judge_try(
    progress: Progress, time_left_s: float, *, is_quarantined: bool = False
) -> Verdict:
    """Return whether a request may be sent to one more server.

    Args:
        progress: progress of the request.
        time_left_s: seconds until the request's time limit expires.
        is_quarantined: whether the request is refused because servers crashed while
            running it.
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
    """Return the verdict for a request for which no server is available.

    Args:
        reasons: closure reasons of the servers that the request has not tried.
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
    """Return whether a request may be retried after an attempt.

    An attempt that sent no byte uses no budget, since it reached no server.

    Args:
        route: the request's route.
        progress: progress of the request.
        end: how the attempt ended.
        has_budget: whether the budget allows one more retry.
        crashes_servers: whether the server may have crashed and a retry is likely to
            crash another one.
    """
    if end is AttemptEnd.NOT_SENT:
        return Verdict.SEND
    if end is AttemptEnd.RELAYED:
        return Verdict.RELAYED
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

    The attempt is cancelled only if another can follow immediately; otherwise waiting
    has the better chance of an answer.

    Args:
        route: the request's route.
        progress: progress of the request, including the waiting attempt.
        has_other_server: whether there is an open, untried server that is not suspect.
        has_budget: whether the budget allows one more retry.
    """
    verdict = _judge_run_again(route, progress)
    if not verdict.allows:
        return verdict
    if not has_other_server:
        return Verdict.NO_SERVER
    return Verdict.SEND if has_budget else Verdict.BUDGET_SPENT


def _judge_run_again(route: Route, progress: Progress) -> Verdict:
    """Return whether a request that may have run may run again."""
    if not route.repeatable:
        return Verdict.NOT_REPEATABLE
    if progress.runs >= route.max_attempts:
        return Verdict.ATTEMPTS_SPENT
    if progress.answer_started and not route.resumable:
        return Verdict.ANSWER_STARTED
    return Verdict.SEND
