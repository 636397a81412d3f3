"""Final answer to a request for which no attempt delivered an answer.

Such a request is answered immediately. ``503`` with ``Retry-After`` states that it did
not run and when to retry; ``502`` and ``504`` state that it may have run, so they have
no ``Retry-After``. A stream that has started is aborted, so that the caller can't
mistake it for a complete answer. What a relayed status may promise is limited by
:mod:`~.promise`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ramppin.gateway.connection.httpwire import find_header
from ramppin.gateway.connection.upstream import AnswerHead
from ramppin.gateway.process.overload.ticket import RefusalRule, TurnDecision
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
"""Status of a request that a server may have run and that timed out."""


class Ending(Enum):
    """How a request without a delivered answer is ended."""

    REFUSE = "the gateway sends its own error response"
    RELAY = "the server's error response is relayed"
    CUT = "the connection is closed without further bytes"


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """Final answer to a request.

    Attributes:
        ending: how the request is ended.
        status: HTTP status of the answer or, for an aborted stream, of the server's
            last answer.
        reason: the rule that ended the request.
        retry_after_s: value of ``Retry-After`` in seconds, which replaces that of a
            relayed answer; None to send no such header.
        server_answer: head and body to relay; None for any other ending.
    """

    ending: Ending
    status: int
    reason: Verdict | Denial | RefusalRule
    retry_after_s: float | None = None
    server_answer: tuple[AnswerHead, bytes] | None = None


def answer_denied(denial: Denial, time_left_s: float | None = None) -> FinalAnswer:
    """Return the answer to a request that was not admitted.

    Only denials by a VM that is starting or stopping have ``Retry-After``: a retry
    after any other denial would be denied again.

    Args:
        denial: why the request was not admitted.
        time_left_s: seconds until the caller's deadline; None if it is unknown.
    """
    pause_s = None
    if denial is Denial.NO_SETTINGS:
        pause_s = choose_start_pause_s(time_left_s)
    elif denial is Denial.STOPPING:
        pause_s = STOP_PAUSE_S
    return FinalAnswer(Ending.REFUSE, denial.status, denial, pause_s)


def answer_refused(decision: TurnDecision) -> FinalAnswer:
    """Return the answer to a request that overload control refused; it never ran.

    Args:
        decision: the refusal; it has no rule if the request waited at a VM that is
            stopping.
    """
    if decision.rule is None:
        reason = Denial.STOPPING
        return FinalAnswer(Ending.REFUSE, NOT_RUN_STATUS, reason, STOP_PAUSE_S)
    return FinalAnswer(
        Ending.REFUSE, NOT_RUN_STATUS, decision.rule, decision.retry_after_s
    )


def answer_unreachable() -> FinalAnswer:
    """Return the answer to a forwarded request whose servers are out of reach."""
    reason = Verdict.UNREACHABLE
    return FinalAnswer(Ending.REFUSE, NOT_RUN_STATUS, reason, STOP_PAUSE_S)


def answer_unknown_origin(retry_after_s: float) -> FinalAnswer:
    """Return the answer to a request that takes up a stream of unknown origin."""
    reason = Verdict.BUILD_UNKNOWN
    return FinalAnswer(Ending.REFUSE, NOT_RUN_STATUS, reason, retry_after_s)


def answer_ended(progress: Progress) -> FinalAnswer:
    """Return the answer to a request that is in flight as this VM stops.

    Args:
        progress: progress of the request, whose answer has not started.
    """
    if progress.runs == 0:
        return answer_denied(Denial.STOPPING)
    return FinalAnswer(Ending.REFUSE, MAY_HAVE_RUN_STATUS, Denial.STOPPING)


def answer_left() -> FinalAnswer:
    """Return the end of a request whose caller disconnected while it waited."""
    return FinalAnswer(Ending.CUT, 0, Verdict.CALLER_LEFT)


def answer_stopped(
    progress: Progress,
    last: AttemptResult | None,
    reason: Verdict,
    retry_after_s: float,
) -> FinalAnswer:
    """Return the answer to a request for which no further server can be tried.

    Args:
        progress: progress of the request.
        last: the last attempt, after which a retry was allowed; None if there was none.
        reason: the rule that stopped the request.
        retry_after_s: value of ``Retry-After`` in seconds if no server ran the request.
    """
    if progress.answer_started:
        return FinalAnswer(Ending.CUT, last.status if last else 0, reason)
    if progress.runs == 0:
        return FinalAnswer(Ending.REFUSE, NOT_RUN_STATUS, reason, retry_after_s)
    if last is not None and last.end is AttemptEnd.TIMED_OUT:
        return FinalAnswer(Ending.REFUSE, TIMED_OUT_STATUS, reason)
    return FinalAnswer(Ending.REFUSE, MAY_HAVE_RUN_STATUS, reason)


def read_retry_after_s(head: AnswerHead) -> float | None:
    """Return the seconds in another VM's ``Retry-After``, or None."""
    value = find_header(head.headers, b"retry-after")
    try:
        return None if value is None else float(value)
    except ValueError:
        return None


def answer_failed(
    progress: Progress, last: AttemptResult, reason: Verdict, retry_after_s: float
) -> FinalAnswer:
    """Return the answer to a request that may not be retried.

    Args:
        progress: progress of the request.
        last: the attempt after which no retry is allowed.
        reason: the rule that forbids a retry.
        retry_after_s: value of ``Retry-After`` in seconds if no server ran the request.
    """
    is_relayed = last.end is AttemptEnd.RELAYED and not progress.answer_started
    if is_relayed and last.answer is not None:
        pause_s = read_retry_after_s(last.answer[0])
        return FinalAnswer(Ending.RELAY, last.status, reason, pause_s, last.answer)
    has_answer = last.answer is not None and last.end is AttemptEnd.FAILED
    if has_answer and not progress.answer_started:
        # The server's Retry-After applies to this VM; other servers may be open.
        pause_s = retry_after_s if last.status in BACKOFF_STATUSES else None
        return FinalAnswer(Ending.RELAY, last.status, reason, pause_s, last.answer)
    return answer_stopped(progress, last, reason, retry_after_s)
