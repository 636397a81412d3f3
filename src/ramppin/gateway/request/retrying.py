"""Decides about the attempts of one request, from the state that the decision needs.

Gathers what the rules in :mod:`~.retry` take as arguments, and counts retries in the
budget of the process.
"""

from __future__ import annotations

from collections.abc import Callable

from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.request.admission import Admission
from ramppin.gateway.request.crashwatch import CrashWatch
from ramppin.gateway.request.report import RequestReport
from ramppin.gateway.request.result import AttemptEnd, AttemptResult
from ramppin.gateway.request.retry import (
    Progress,
    Verdict,
    judge_retry,
    judge_takeover,
    judge_try,
)
from ramppin.gateway.request.serverchoice import ServerChoice


class RetryControl:
    """Decides whether one request is sent, retried or taken over.

    Args:
        context: state shared by all exchanges.
        admission: result of the request's admission.
        progress: progress of the request, which the exchange updates.
        choice: selects the servers of the request.
        watch: records whether servers crash while running the request.
        report: counts retries that the budget did not allow.
        has_other_path: returns whether the request may take another path now.

    .. versionadded:: 0.3
    """

    def __init__(
        self,
        context: GatewayContext,
        admission: Admission,
        progress: Progress,
        choice: ServerChoice,
        watch: CrashWatch,
        report: RequestReport,
        has_other_path: Callable[[float], bool] = lambda now: False,
    ) -> None:
        self._budget = context.retry_budget
        self._admission = admission
        self._progress = progress
        self._choice = choice
        self._watch = watch
        self._report = report
        self._has_other_path = has_other_path

    def judge_try(self, time_left_s: float, now: float) -> Verdict:
        """Return whether the request may be sent to one more server.

        Args:
            time_left_s: seconds until the request's time limit expires.
            now: current event-loop time.
        """
        is_quarantined = not self._watch.may_try(now)
        return judge_try(self._progress, time_left_s, is_quarantined=is_quarantined)

    def judge_retry(self, result: AttemptResult, now: float) -> Verdict:
        """Return whether the request may be retried; count a retry in the budget.

        Args:
            result: result of the last attempt.
            now: current event-loop time.
        """
        service = self._admission.service
        verdict = judge_retry(
            self._admission.route,
            self._progress,
            result.end,
            has_budget=self._budget.allows_retry(service, now),
            crashes_servers=result.lost and self._watch.may_crash_another(),
        )
        if verdict is Verdict.BUDGET_SPENT:
            self._report.count_refused_retry(service)
        elif verdict.allows and result.end is not AttemptEnd.NOT_SENT:
            self._budget.consume(service, now)
            self._report.count_retry(service)
        return verdict

    def judge_takeover(self, now: float) -> Verdict:
        """Return whether another server may take over from the current one."""
        return judge_takeover(
            self._admission.route,
            self._progress,
            has_other_server=(
                self._has_other_path(now) or self._choice.has_other_server(now)
            ),
            has_budget=self._budget.allows_retry(self._admission.service, now),
        )
