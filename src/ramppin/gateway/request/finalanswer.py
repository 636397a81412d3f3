"""What the caller gets when no attempt has delivered an answer.

A request that is given up on is answered at once. ``503`` and ``Retry-After`` say
that it did not run and when to come back; ``502`` and ``504`` say that it may have
run, so they name no time. A stream that has begun can't be answered any more and
is cut, so that it can't look whole.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ramppin.gateway.connection.upstream import AnswerHead
from ramppin.gateway.request.admission import Denial
from ramppin.gateway.request.result import AttemptEnd, AttemptResult
from ramppin.gateway.request.retry import Progress, Verdict
from ramppin.gateway.request.retryafter import STOP_PAUSE_S, choose_start_pause_s
from ramppin.gateway.request.servernotice import BACKOFF_STATUSES

NOT_RUN_STATUS = 503
"""Status of a request that no server ran."""

MAY_HAVE_RUN_STATUS = 502
"""Status of a request that a server may have run."""

TIMED_OUT_STATUS = 504
"""Status of a request that a server may have run and whose time is over."""


class Ending(Enum):
    """How a request that was not delivered is ended."""

    REFUSE = "an answer of the gateway's own"
    RELAY = "the server's own failure, unchanged"
    CUT = "no further byte, and the connection closed"


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """How a request is ended.

    Attributes:
        ending: what is done.
        status: the HTTP status that is answered or, for a stream that is cut, that
            the server's last answer had.
        reason: the rule that ended the request.
        retry_after_s: when to come back, in seconds; None if it says nothing. It stands
            in place of what a relayed answer says.
        server_answer: head and body that are relayed; None for any other ending.
    """

    ending: Ending
    status: int
    reason: Verdict | Denial
    retry_after_s: float | None = None
    server_answer: tuple[AnswerHead, bytes] | None = None


def answer_denied(denial: Denial, time_left_s: float | None = None) -> FinalAnswer:
    """Return the answer to a request that was not admitted.

    Other denials than those of a VM that starts or stops would be repeated: they name
    no time.

    Args:
        denial: why.
        time_left_s: time until its caller gives up; None if it is unknown.
    """
    pause_s = None
    if denial is Denial.NO_SETTINGS:
        pause_s = choose_start_pause_s(time_left_s)
    elif denial is Denial.STOPPING:
        pause_s = STOP_PAUSE_S
    return FinalAnswer(Ending.REFUSE, denial.status, denial, pause_s)


def answer_stopped(
    progress: Progress,
    last: AttemptResult | None,
    reason: Verdict,
    retry_after_s: float,
) -> FinalAnswer:
    """Return the answer to a request for which no further server can be tried.

    Args:
        progress: how far the request has come.
        last: its last attempt, after which a retry was allowed; None before any.
        reason: the rule that stopped it.
        retry_after_s: when it may come back if no server ran it.
    """
    if progress.answer_started:
        return FinalAnswer(Ending.CUT, last.status if last else 0, reason)
    if progress.runs == 0:
        return FinalAnswer(Ending.REFUSE, NOT_RUN_STATUS, reason, retry_after_s)
    if last is not None and last.end is AttemptEnd.TIMED_OUT:
        return FinalAnswer(Ending.REFUSE, TIMED_OUT_STATUS, reason)
    return FinalAnswer(Ending.REFUSE, MAY_HAVE_RUN_STATUS, reason)


def answer_failed(
    progress: Progress, last: AttemptResult, reason: Verdict, retry_after_s: float
) -> FinalAnswer:
    """Return the answer to a request that may not be sent again.

    Args:
        progress: how far the request has come.
        last: the attempt after which no retry is allowed.
        reason: the rule that forbids it.
        retry_after_s: when it may come back if no server ran it.
    """
    has_answer = last.answer is not None and last.end is AttemptEnd.FAILED
    if has_answer and not progress.answer_started:
        # The server's own time was said to this VM; another may have a server open.
        pause_s = retry_after_s if last.status in BACKOFF_STATUSES else None
        return FinalAnswer(Ending.RELAY, last.status, reason, pause_s, last.answer)
    return answer_stopped(progress, last, reason, retry_after_s)
