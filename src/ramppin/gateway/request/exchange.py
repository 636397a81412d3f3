"""Processing of one caller request from its arrival to its final answer.

Applies decisions made elsewhere: admission (:mod:`~.admission`), the request's turn
under overload control (:mod:`~.queueing`), the path of each attempt (:mod:`~.path`),
retries (:mod:`~.retry`) and the final answer (:mod:`~.finalanswer`). Owns the request's
progress, but neither the caller's connection nor the shared state of the process.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import replace

from ramppin.gateway.connection.callerwire import CallerConnection
from ramppin.gateway.connection.httpwire import Headers, find_header, keep_end_to_end
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.process.overload.control import OverloadControl
from ramppin.gateway.process.overload.ticket import Turn
from ramppin.gateway.process.routing.continuity import (
    BEGINS,
    NOWHERE,
    Continuation,
    Ground,
)
from ramppin.gateway.process.routing.streamorigins import StreamOrigin, hash_stream
from ramppin.gateway.request.admission import (
    Admission,
    Denial,
    admit,
    choose_first_read_wait_s,
    parse_deadline,
)
from ramppin.gateway.request.attributes import list_attributes
from ramppin.gateway.request.crashwatch import CrashWatch
from ramppin.gateway.request.directpath import DirectPath
from ramppin.gateway.request.finalanswer import (
    NOT_RUN_STATUS,
    Ending,
    FinalAnswer,
    answer_denied,
    answer_ended,
    answer_failed,
    answer_left,
    answer_refused,
    answer_stopped,
    answer_unknown_origin,
    answer_unreachable,
)
from ramppin.gateway.request.forwardedpath import ForwardedPath
from ramppin.gateway.request.path import Path, ServedRequest
from ramppin.gateway.request.promise import limit_promise
from ramppin.gateway.request.queueing import Queueing
from ramppin.gateway.request.report import RequestReport
from ramppin.gateway.request.result import AttemptEnd, AttemptResult
from ramppin.gateway.request.retry import Progress, Verdict
from ramppin.gateway.request.retryafter import choose_retry_after_s
from ramppin.gateway.request.retrying import RetryControl
from ramppin.gateway.request.serverchoice import ServerChoice

MAX_UNREACHED = 2
"""Attempts of a request that may find no connection before it takes the path through
another VM, if its VM has found none to several servers in a row."""

ORIGIN_PAUSE_S = 0.3
"""Pause in seconds before a stream of unknown origin is taken up again: the VMs that
store the origin may be reachable by then."""

_REPLACED = frozenset({b"content-length", b"retry-after"})
"""Headers of a relayed answer that the gateway replaces."""


class Exchange:
    """One request and its answer.

    Args:
        context: state shared by all exchanges of the process.
        connection: the caller's connection.
        request: the complete request.
        is_forwarded: whether another VM passed it on; it is not passed on again.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        context: GatewayContext,
        connection: CallerConnection,
        request: CallerRequest,
        *,
        is_forwarded: bool = False,
    ) -> None:
        self._context = context
        self._connection = connection
        self._request = request
        self._is_forwarded = is_forwarded
        if is_forwarded:
            connection.answer_headers = []
        self._loop = asyncio.get_running_loop()
        self._served: ServedRequest | None = None
        self._watch: CrashWatch | None = None
        self._queueing: Queueing | None = None
        self._disconnected = False
        self._ended = False
        self._progress = Progress()
        self._ends_at = 0.0
        self._request_id = request.find(context.names.request_id) or b""
        self._report = RequestReport(
            context,
            self._request_id,
            request.arrived,
            request.find(context.names.continues) or b"",
        )

    # called by the caller's connection

    def disconnect(self) -> None:
        """Cancel the exchange because the caller disconnected."""
        self._cancel(AttemptEnd.CALLER_DISCONNECTED)

    def end_now(self) -> None:
        """Answer the request because the process stops, and cancel the exchange.

        An answer that has started can't be ended as if it were whole.
        """
        if self._disconnected or self._connection.answer_started:
            return
        final = answer_ended(self._progress)
        served = self._served
        if served is not None:
            final = self._limit_promise(served.admission, final)
            self._note_given_up(served.admission, final)
        else:
            self._report.note_denied(Denial.STOPPING)
        self._answer(final, may_forward_elsewhere=True)
        self._ended = True
        self._cancel(AttemptEnd.STOPPED)

    def _cancel(self, end: AttemptEnd) -> None:
        self._disconnected = True
        if self._queueing is not None:
            self._queueing.cancel()
        served = self._served
        if served is not None:
            served.disconnected = True
            if served.attempt is not None:
                served.attempt.cancel(end)

    def set_paused(self, paused: bool) -> None:
        """Pause or resume reading the server's answer."""
        if self._served is not None and self._served.attempt is not None:
            self._served.attempt.set_paused(paused)

    # processing the request

    async def run(self) -> None:
        """Serve the request."""
        context = self._context
        context.in_flight += 1
        try:
            if not context.first_read.is_set():
                await self._wait_for_first_read()
            await self._wait_after_stall()
            if self._disconnected:
                return
            admitted = self._admit()
            if isinstance(admitted, Denial):
                self._report.note_denied(admitted)
                final = answer_denied(admitted, self._measure_time_left_s())
                self._answer(final, may_forward_elsewhere=True)
                return
            self._ends_at = self._request.arrived + admitted.time_limit_s
            if self._is_forwarded and not await self._has_path(admitted.service):
                self._end(admitted, answer_unreachable(), may_forward_elsewhere=True)
                return
            continuation = await self._find_continuation(admitted)
            if not continuation.is_allowed:
                self._refuse_unknown_origin(admitted, continuation)
                return
            if self._disconnected:
                return
            origin = continuation.origin
            if origin is not None:
                admitted = replace(admitted, service=origin.service)
            # Crashes are recorded beyond the exchange. Otherwise what crashes every
            # server that runs it is sent to one server after another, by all VMs.
            watch = CrashWatch(context, list_attributes(admitted))
            self._watch = watch
            if self._refuse_quarantined(admitted, watch):
                return
            is_avoided = context.reachability.avoids(admitted.service)
            if not is_avoided:
                # Otherwise the VM that serves it counts it.
                context.retry_budget.note_request(admitted.service, self._loop.time())
            control = context.find_overload(admitted.service, self._loop.time())
            if control is None or is_avoided:
                await self._serve(admitted, watch, origin)
            else:
                await self._serve_in_turn(admitted, control, watch, origin)
        except Exception:
            # After an unexpected error the caller must not wait for an answer.
            self._connection.abort()
            raise
        finally:
            context.in_flight -= 1
            # It refers back to the exchange, and the garbage collector would free its
            # answer and the request's body late.
            if self._served is not None:
                self._served.attempt = None
            self._served = None

    async def _wait_for_first_read(self) -> None:
        """Wait until settings and servers have been read for the first time."""
        wait_s = choose_first_read_wait_s(self._find_deadline_s())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._context.first_read.wait()

    async def _wait_after_stall(self) -> None:
        """Wait after a long stall until this VM has read the updates it missed."""
        pause_s = self._context.directory.stall_detector.measure_catch_up_s(
            self._loop.time()
        )
        if pause_s > 0:
            await asyncio.sleep(pause_s)

    def _find_deadline_s(self) -> float | None:
        """Return the caller's deadline in seconds, or None if it sent none."""
        return parse_deadline(self._request.find(self._context.names.deadline_ms))

    def _measure_time_left_s(self) -> float | None:
        """Return the seconds until the caller's deadline, or None if it sent none."""
        deadline_s = self._find_deadline_s()
        if deadline_s is None:
            return None
        return self._request.arrived + deadline_s - self._loop.time()

    def _admit(self) -> Admission | Denial:
        context = self._context
        admitted = admit(
            self._request,
            table=context.table,
            names=context.names,
            drain=context.drain,
            generator=context.generator,
            now=self._loop.time(),
        )
        if isinstance(admitted, Admission) and admitted.ignored_deadline is not None:
            self._report.note_ignored_deadline(admitted.ignored_deadline)
        return admitted

    async def _find_continuation(self, admission: Admission) -> Continuation:
        """Return where a stream that the request takes up may go on."""
        request, names = self._request, self._context.names
        takes_up = request.find(names.last_event_id) is not None
        if not admission.route.resumable:
            return BEGINS
        if not takes_up:
            await self._context.continuity.wait_for_records(admission.service)
            return BEGINS
        customer = admission.customer.name if admission.customer else ""
        began_as = request.find(names.continues) or self._request_id
        key = hash_stream(customer, began_as)
        found = await self._context.continuity.find(key, admission.service)
        services = {part.service for part in admission.route.services}
        if found.origin is not None and found.origin.service not in services:
            found = NOWHERE
        result = "allowed" if found.is_allowed else "unknown"
        self._context.metrics.takeups.inc(admission.service, result)
        self._note_takeup(admission, began_as, found)
        return found

    def _note_takeup(
        self, admission: Admission, began_as: bytes, found: Continuation
    ) -> None:
        """Log why a stream may go on or not, and what this VM holds of builds."""
        history = self._context.continuity.history
        service, now = admission.service, self._loop.time()
        self._context.decisions.note(
            "stream_taken_up",
            request_id=self._request_id.decode("latin-1"),
            continues=began_as.decode("latin-1"),
            service=service,
            is_allowed=found.is_allowed,
            ground=str(found.ground),
            asked=found.asked,
            build=found.origin.build if found.origin else "",
            builds=history.list_builds(service),
            mixed=history.is_mixed(service, now),
            past_known=history.past_known.is_set(),
            servers_age_s=self._context.measure_servers_age(now),
        )

    def _refuse_unknown_origin(self, admission: Admission, found: Continuation) -> None:
        """Refuse to continue a stream whose build is unknown.

        If it will never be known, the pause is all the time that the caller has left.
        """
        time_left_s = self._ends_at - self._loop.time()
        pause_s = choose_retry_after_s(
            opening_s=ORIGIN_PAUSE_S,
            time_left_s=time_left_s,
            rank=admission.route.priority,
            point=self._context.generator.random(),
        )
        if found.ground in (Ground.LOST, Ground.CONFLICT):
            pause_s = max(pause_s, time_left_s)
        self._end(admission, answer_unknown_origin(pause_s))

    def _refuse_quarantined(self, admission: Admission, watch: CrashWatch) -> bool:
        """Refuse a request that is known to crash servers; return whether it is."""
        remaining_s = watch.measure_remaining_refusal_s(self._loop.time())
        if remaining_s <= 0:
            return False
        rule = Verdict.QUARANTINED
        self._end(admission, answer_stopped(self._progress, None, rule, remaining_s))
        return True

    async def _serve_in_turn(
        self,
        admission: Admission,
        control: OverloadControl,
        watch: CrashWatch,
        origin: StreamOrigin | None,
    ) -> None:
        """Serve the request once overload control lets it start."""
        queueing = self._queueing = Queueing(
            self._context, control, admission, self._request, self._find_deadline_s()
        )
        try:
            decision = await queueing.run()
            self._report.note_decision(decision)
            if self._ended:
                return
            if self._disconnected:
                self._note_given_up(admission, answer_left())
                self._report.count_request(admission.service, 0)
            elif decision.turn is Turn.START:
                await self._serve(admission, watch, origin)
            else:
                if decision.rule is not None:
                    rank = queueing.ticket.rank
                    self._report.count_refusal(admission.service, rank, decision.rule)
                self._end(admission, answer_refused(decision))
        finally:
            queueing.end()

    async def _serve(
        self, admission: Admission, watch: CrashWatch, origin: StreamOrigin | None
    ) -> None:
        served = self._served = ServedRequest(
            self._context,
            self._connection,
            self._request,
            self._request_id,
            admission,
            self._report,
            self._progress,
            self._ends_at,
            self._queueing,
            is_forwarded=self._is_forwarded,
            origin=origin,
        )
        choice = ServerChoice(self._context, admission, watch)
        retries = RetryControl(
            self._context,
            admission,
            self._progress,
            choice,
            watch,
            self._report,
            lambda now: self._has_other_path(admission.service, now),
        )
        direct = DirectPath(served, choice, watch, retries)
        forwarded = ForwardedPath(served, retries)
        last: AttemptResult | None = None
        while not self._disconnected:
            now = self._loop.time()
            path = self._choose_path(served, direct, forwarded, now)
            verdict = retries.judge_try(self._ends_at - now, now)
            if verdict.allows:
                verdict = path.select(now)
                if forwarded.is_exhausted and path is forwarded:
                    continue
            if not verdict.allows:
                pause_s = choice.choose_retry_after_s(self._loop.time(), self._ends_at)
                final = answer_stopped(self._progress, last, verdict, pause_s)
                self._end(admission, final, choice.closed)
                return
            self._progress.tries += path is direct
            started = self._loop.time()
            last = await path.send()
            now = self._loop.time()
            served.unreached += path is direct and last.end is AttemptEnd.NOT_SENT
            path.note_result(last, started, now)
            if path is direct and last.notice.backoff_s > 0:
                self._progress.backoff_refusals += 1
            if last.end is AttemptEnd.DELIVERED or self._disconnected:
                path.report(last, now)
                status = 0 if self._disconnected else last.status
                self._report.count_request(admission.service, status)
                return
            if last.last_event_id is not None:
                served.last_event_id = last.last_event_id
            verdict = retries.judge_retry(last, now)
            path.report(last, now, verdict)
            if not verdict.allows:
                pause_s = choice.choose_retry_after_s(self._loop.time(), self._ends_at)
                final = answer_failed(self._progress, last, verdict, pause_s)
                self._end(admission, final, choice.closed)
                return

    def _choose_path(
        self,
        served: ServedRequest,
        direct: DirectPath,
        forwarded: ForwardedPath,
        now: float,
    ) -> Path:
        """Return the path of the next attempt."""
        if self._is_forwarded or forwarded.is_exhausted:
            return direct
        service, reachability = served.admission.service, self._context.reachability
        has_failed = served.unreached >= MAX_UNREACHED
        if reachability.avoids(service):
            return forwarded
        if has_failed and reachability.is_at_fault(service):
            return forwarded
        return direct

    async def _has_path(self, service: str) -> bool:
        """Return whether this VM may serve another VM's request."""
        context = self._context
        if context.reachability.avoids(service):
            return False
        return context.prove_path is None or await context.prove_path(service)

    def _has_other_path(self, service: str, now: float) -> bool:
        """Return whether another VM can serve the request."""
        forwarders = self._context.forwarders
        if self._is_forwarded or forwarders is None:
            return False
        is_avoided = self._context.reachability.avoids(service)
        return is_avoided and forwarders.is_available(service, now)

    # final answer

    def _end(
        self,
        admission: Admission,
        final: FinalAnswer,
        closed: tuple[str, ...] = (),
        *,
        may_forward_elsewhere: bool = False,
    ) -> None:
        """End a request for which no attempt delivered an answer."""
        if self._disconnected:
            return
        final = self._limit_promise(admission, final)
        self._note_given_up(admission, final, closed)
        self._report.count_request(admission.service, final.status)
        is_unreached = self._context.reachability.avoids(admission.service)
        self._answer(final, may_forward_elsewhere=may_forward_elsewhere or is_unreached)

    def _limit_promise(self, admission: Admission, final: FinalAnswer) -> FinalAnswer:
        """Return the answer, without a promise that may not hold."""
        is_repeatable = admission.route.repeatable
        return limit_promise(final, self._progress, repeatable=is_repeatable)

    def _note_given_up(
        self,
        admission: Admission,
        final: FinalAnswer,
        closed: tuple[str, ...] = (),
    ) -> None:
        now = self._loop.time()
        self._report.note_given_up(
            admission,
            self._progress,
            final,
            server=self._served.last_server if self._served else "",
            closed=closed,
            suspects=self._watch.list_suspects() if self._watch else [],
            time_left_s=self._ends_at - now,
            now=now,
        )

    def _answer(
        self, final: FinalAnswer, *, may_forward_elsewhere: bool = False
    ) -> None:
        """Send the final answer to the caller, or abort its connection.

        Args:
            final: the answer.
            may_forward_elsewhere: whether another VM may serve a request that was
                passed on and has not run.
        """
        if final.ending is Ending.CUT:
            self._connection.abort()
            return
        headers: Headers = []
        body = b""
        is_confirmed = True
        if final.server_answer is not None:
            head, body = final.server_answer
            is_confirmed = head.stated_end.is_confirmed
            dropped = _REPLACED | self._context.names.between_vms
            headers = keep_end_to_end(head.headers, dropped)
        if final.retry_after_s is not None:
            headers.append((b"Retry-After", b"%.2f" % final.retry_after_s))
        names = self._context.names
        is_own = final.ending is Ending.REFUSE and final.status == NOT_RUN_STATUS
        if self._is_forwarded and may_forward_elsewhere and is_own:
            headers.append((names.forward_refused, final.reason.name.encode()))
        if self._is_forwarded and self._progress.runs == 0:
            headers.append((names.confirmed_not_run, b"1"))
        if self._request_id and find_header(headers, names.request_id) is None:
            headers = [(names.request_id, self._request_id), *headers]
        self._connection.send_answer(
            final.status, headers, body, is_confirmed=is_confirmed
        )
