"""Log lines, explanations and metrics of one request.

Fields and events of the log lines are a documented interface for operators
(docs/OPERATIONS.md, features/interfaces).
"""

from __future__ import annotations

import logging
from collections.abc import Sequence

from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.process.overload.ticket import RefusalRule, Turn, TurnDecision
from ramppin.gateway.process.routing.selection import Selection
from ramppin.gateway.request.admission import Admission, Denial
from ramppin.gateway.request.attributes import Attribute
from ramppin.gateway.request.finalanswer import FinalAnswer
from ramppin.gateway.request.fingerprint import format_fingerprint
from ramppin.gateway.request.result import AttemptEnd, AttemptResult
from ramppin.gateway.request.retry import Progress, Verdict

MAX_REPORT_AGE_S = 999.0
"""Age in seconds that log lines show for a load report that was never received."""

MAX_LOGGED_ID = 64
"""Bytes that log lines show of the id that a caller's header names."""

NOT_QUEUED = TurnDecision(Turn.START)
"""Decision about a request that did not ask for its turn."""

MAX_LOGGED_PARTS = 16
"""Parts of a prompt that a log line shows."""

LOG = logging.getLogger(__name__)


class RequestReport:
    """Reports the decisions about one request.

    Args:
        context: destination of log lines, explanations and metrics.
        request_id: the request ID, or empty.
        arrived: event-loop time at which the request was complete.
        continues: the attempt whose stream the request takes up, or empty.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        context: GatewayContext,
        request_id: bytes,
        arrived: float,
        continues: bytes = b"",
    ) -> None:
        self._context = context
        self._request_id = request_id.decode("latin-1")
        self._arrived = arrived
        self._continues = continues[:MAX_LOGGED_ID].decode("latin-1")
        self._decision = NOT_QUEUED

    def note_decision(self, decision: TurnDecision) -> None:
        """Keep the decision of overload control about the request, for its lines."""
        self._decision = decision

    def note_denied(self, denial: Denial) -> None:
        """Log that the request was refused before a server was selected."""
        self._context.decisions.note(
            "denied",
            request_id=self._request_id,
            status=denial.status,
            reason=denial.reason,
            version=self._context.version,
        )

    def note_ignored_deadline(self, value: bytes) -> None:
        """Log that the caller's deadline is not a number and the route's applies."""
        LOG.warning(
            "a caller's deadline is not a number, the route's time limit holds: %.40r",
            value,
            extra={"request_id": self._request_id, "step": "admit"},
        )

    def note_attempt(
        self,
        admission: Admission,
        selection: Selection,
        result: AttemptResult,
        now: float,
        verdict: Verdict | None = None,
    ) -> None:
        """Log and count the result of an attempt.

        Args:
            admission: result of the request's admission.
            selection: the server that was tried and the reasons for its selection.
            result: result of the attempt.
            now: current event-loop time.
            verdict: the rule that allowed or forbade a retry; None if the answer was
                delivered or the caller disconnected.
        """
        chosen = {
            "build": selection.state.server.build,
            "copy_from": selection.copy_from or "",
            "rank": selection.rank,
            "shared_by": selection.shared_by,
            "load": round(selection.load),
            "bound": _round_bound(selection.bound),
            "mean": round(selection.mean, 1),
            "slowness": round(selection.slowness, 2),
            "in_flight": selection.in_flight,
            "closed": selection.closed,
            "report_age_s": round(min(selection.report_age_s, MAX_REPORT_AGE_S), 2),
        }
        server = selection.state.server.name
        self._note_attempt(admission, server, "", chosen, result, now, verdict)

    def note_forwarded(
        self,
        admission: Admission,
        vm: str,
        result: AttemptResult,
        now: float,
        verdict: Verdict | None = None,
    ) -> None:
        """Log and count the result of an attempt through another VM.

        Args:
            admission: result of the request's admission.
            vm: name of the other VM, whose lines show how it chose the server.
            result: result of the attempt.
            now: current event-loop time.
            verdict: as for :meth:`note_attempt`.
        """
        self._context.metrics.forwarded.inc(admission.service, result.end.value)
        server = result.served_by.partition("@")[0]
        self._note_attempt(admission, server, vm, {}, result, now, verdict)

    def _note_attempt(
        self,
        admission: Admission,
        server: str,
        through: str,
        chosen: dict[str, object],
        result: AttemptResult,
        now: float,
        verdict: Verdict | None,
    ) -> None:
        fields: dict[str, object] = {
            "request_id": self._request_id,
            "continues": self._continues,
            "fingerprint": format_fingerprint(admission.fingerprint),
            "route": admission.route.name,
            "version": admission.table.version,
            "server": server,
            "through": through,
            "prefix": _format_prefix(admission.prefix_key),
            "parts": _format_parts(admission) if result.lost else [],
            **chosen,
            "end": result.end.value,
            "status": result.status,
            "answer_end": result.answer_end.value,
            "leaving": result.notice.leaving,
            "rest_s": round(result.notice.backoff_s, 3),
            "message": result.message,
            "took_ms": round((now - self._arrived) * 1000),
            "waited_ms": _to_ms(self._decision.waited_s),
            "first_ms": self._measure_first_ms(result),
            "target_ms": _to_ms(admission.route.target_s),
            "pause_ms": _to_ms(result.longest_pause_s),
            "target_pause_ms": _to_ms(admission.route.target_pause_s),
            "rule": verdict.name.lower() if verdict else "",
        }
        self._count_attempt(admission.service, result)
        self._context.explanations.add(self._request_id, fields)
        if result.end is AttemptEnd.DELIVERED:
            self._context.decisions.note_answered(**fields)
        else:
            self._context.decisions.note("attempt_failed", **fields)

    def note_given_up(
        self,
        admission: Admission,
        progress: Progress,
        final: FinalAnswer,
        *,
        server: str,
        closed: tuple[str, ...],
        suspects: Sequence[Attribute],
        time_left_s: float,
        now: float,
    ) -> None:
        """Log the final answer to a request for which no attempt delivered one.

        Args:
            admission: result of the request's admission.
            progress: progress of the request.
            final: the final answer.
            server: the last server tried, or empty.
            closed: servers that were closed at the last selection, as ``REASON:ID``.
            suspects: attributes of the request that may crash servers.
            time_left_s: seconds until the request's time limit.
            now: current event-loop time.
        """
        context = self._context
        fields: dict[str, object] = {
            "request_id": self._request_id,
            "fingerprint": format_fingerprint(admission.fingerprint),
            "route": admission.route.name,
            "version": admission.table.version,
            "ending": final.ending.name.lower(),
            "rule": final.reason.name.lower(),
            "status": final.status,
            "server": server,
            "retry_after_s": final.retry_after_s,
            "time_left_ms": round(time_left_s * 1000),
            "took_ms": round((now - self._arrived) * 1000),
            "waited_ms": _to_ms(self._decision.waited_s),
            "estimate_ms": _to_ms(self._decision.estimate_s),
            "ahead": self._decision.ahead,
            "tries": progress.tries,
            "runs": progress.runs,
            "closed": closed,
            "suspects": [
                {"fingerprint": format_fingerprint(found.key), "part": found.part}
                for found in suspects[:MAX_LOGGED_PARTS]
            ],
            "open_servers": len(context.directory.list_open(admission.service)),
            "servers_age_s": context.measure_servers_age(now),
        }
        context.decisions.note("given_up", **fields)
        context.explanations.add(self._request_id, fields)

    def count_request(self, service: str, status: int) -> None:
        """Count a finished request; status 0 if its caller disconnected."""
        self._context.metrics.requests.inc(service, str(status))

    def count_refusal(self, service: str, rank: int, rule: RefusalRule) -> None:
        """Count a request that overload control refused."""
        metrics = self._context.metrics
        metrics.overload_refusals.inc(service, rule.value, str(rank))
        if rule is RefusalRule.DISPLACED:
            metrics.displaced.inc(service)

    def count_retry(self, service: str) -> None:
        """Count a retry that the budget allowed."""
        self._context.metrics.retries.inc(service)

    def count_refused_retry(self, service: str) -> None:
        """Count a retry that the budget did not allow."""
        self._context.metrics.retries_refused.inc(service)

    def _measure_first_ms(self, result: AttemptResult) -> int | None:
        """Return the milliseconds from arrival to the first byte of the answer."""
        if result.first_byte_at is None:
            return None
        return round((result.first_byte_at - self._arrived) * 1000)

    def _count_attempt(self, service: str, result: AttemptResult) -> None:
        metrics = self._context.metrics
        metrics.attempts.inc(service, result.end.value)
        if result.first_byte_at is not None:
            taken_s = result.first_byte_at - self._arrived
            metrics.first_byte_seconds.observe(taken_s, service)


def _to_ms(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * 1000)


def _format_prefix(key: int | None) -> str:
    """Return a prefix key as 16 hex digits, or an empty string for None."""
    return "" if key is None else f"{key:016x}"


def _format_parts(admission: Admission) -> list[str]:
    """Return the ids of the first parts of a prompt."""
    shown = admission.part_ids[:MAX_LOGGED_PARTS]
    return [part[:MAX_LOGGED_ID].decode("latin-1") for part in shown]


def _round_bound(bound: float) -> float | None:
    return round(bound, 1) if bound != float("inf") else None
