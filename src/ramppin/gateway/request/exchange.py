"""Processing of one caller request from its arrival to its final answer.

Applies decisions made elsewhere: admission (:mod:`~.admission`), the request's turn
under overload control (:mod:`~.queueing`), server selection
(:mod:`ramppin.gateway.process.routing.selection`), retries (:mod:`~.retry`) and the
final answer (:mod:`~.finalanswer`). Owns the request's progress, but neither the
caller's connection nor the shared state of the process.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from ramppin.gateway.connection.callerwire import CallerConnection
from ramppin.gateway.connection.httpwire import Headers, find_header, keep_end_to_end
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.connection.upstream import UpstreamConnection
from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.process.membership.servernotices import NoticeSource
from ramppin.gateway.process.overload.control import OverloadControl
from ramppin.gateway.process.overload.ticket import Turn
from ramppin.gateway.process.routing.selection import Selection
from ramppin.gateway.process.routing.serverstate import ServerState
from ramppin.gateway.request.admission import (
    Admission,
    Denial,
    admit,
    choose_first_read_wait_s,
    parse_deadline,
)
from ramppin.gateway.request.attempt import Attempt
from ramppin.gateway.request.connecting import connect
from ramppin.gateway.request.crashwatch import CrashWatch
from ramppin.gateway.request.finalanswer import (
    Ending,
    FinalAnswer,
    answer_denied,
    answer_failed,
    answer_left,
    answer_refused,
    answer_stopped,
)
from ramppin.gateway.request.queueing import Queueing
from ramppin.gateway.request.report import RequestReport
from ramppin.gateway.request.result import AttemptEnd, AttemptResult
from ramppin.gateway.request.retry import Progress, Verdict
from ramppin.gateway.request.retrying import RetryControl
from ramppin.gateway.request.serverchoice import ServerChoice
from ramppin.gateway.request.servernotice import ServerNotice
from ramppin.gateway.request.upstreamhead import RequestHeadBuilder

_REPLACED = frozenset({b"content-length", b"retry-after"})
"""Headers of a relayed answer that the gateway replaces."""


class Exchange:
    """One request and its answer.

    Args:
        context: state shared by all exchanges of the process.
        connection: the caller's connection.
        request: the complete request.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        context: GatewayContext,
        connection: CallerConnection,
        request: CallerRequest,
    ) -> None:
        self._context = context
        self._connection = connection
        self._request = request
        self._loop = asyncio.get_running_loop()
        self._attempt: Attempt | None = None
        self._queueing: Queueing | None = None
        self._disconnected = False
        self._last_server = ""
        self._progress = Progress()
        self._ends_at = 0.0
        self._request_id = request.find(context.names.request_id) or b""
        self._report = RequestReport(context, self._request_id, request.arrived)

    # called by the caller's connection

    def disconnect(self) -> None:
        """Cancel the exchange because the caller disconnected."""
        self._disconnected = True
        if self._queueing is not None:
            self._queueing.cancel()
        if self._attempt is not None:
            self._attempt.cancel(AttemptEnd.CALLER_DISCONNECTED)

    def set_paused(self, paused: bool) -> None:
        """Pause or resume reading the server's answer."""
        if self._attempt is not None:
            self._attempt.set_paused(paused)

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
                self._answer(answer_denied(admitted, self._measure_time_left_s()))
                return
            self._ends_at = self._request.arrived + admitted.time_limit_s
            context.retry_budget.note_request(admitted.service, self._loop.time())
            if context.overload is None:
                await self._serve(admitted)
            else:
                await self._serve_in_turn(admitted, context.overload)
        except Exception:
            # After an unexpected error the caller must not wait for an answer.
            self._connection.abort()
            raise
        finally:
            context.in_flight -= 1
            # It refers back to the exchange, and the garbage collector would free its
            # answer and the request's body late.
            self._attempt = None

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

    async def _serve_in_turn(
        self, admission: Admission, control: OverloadControl
    ) -> None:
        """Serve the request once overload control lets it start."""
        queueing = self._queueing = Queueing(
            self._context, control, admission, self._request, self._find_deadline_s()
        )
        try:
            decision = await queueing.run()
            self._report.note_decision(decision)
            if self._disconnected:
                self._note_given_up(admission, answer_left())
                self._report.count_request(admission.service, 0)
            elif decision.turn is Turn.START:
                await self._serve(admission)
            else:
                if decision.rule is not None:
                    rank = queueing.ticket.rank
                    self._report.count_refusal(admission.service, rank, decision.rule)
                self._end(admission, answer_refused(decision))
        finally:
            queueing.end()

    async def _serve(self, admission: Admission) -> None:
        builder = RequestHeadBuilder(
            self._context.names, self._request, admission.route, admission.customer
        )
        # Crashes are recorded beyond the exchange. Otherwise a request that crashes
        # every server that runs it is sent to one server after another, by all VMs.
        watch = CrashWatch(self._context, admission.fingerprint)
        choice = ServerChoice(self._context, admission, watch)
        retries = RetryControl(
            self._context, admission, self._progress, choice, watch, self._report
        )
        last: AttemptResult | None = None
        while not self._disconnected:
            now = self._loop.time()
            verdict = retries.judge_try(self._ends_at - now, now)
            selection = choice.select(now) if verdict.allows else verdict
            if isinstance(selection, Verdict):
                pause_s = choice.choose_retry_after_s(self._loop.time(), self._ends_at)
                final = answer_stopped(self._progress, last, selection, pause_s)
                self._end(admission, final, choice.closed)
                return
            started = self._loop.time()
            last = await self._try(admission, selection, builder, choice, retries)
            now = self._loop.time()
            watch.note_attempt(selection.state, last, started, now)
            if last.notice.backoff_s > 0:
                self._progress.backoff_refusals += 1
            if last.end is AttemptEnd.DELIVERED or self._disconnected:
                self._report.note_attempt(admission, selection, last, now)
                status = 0 if self._disconnected else last.status
                self._report.count_request(admission.service, status)
                return
            if last.last_event_id is not None:
                builder.resume_after(last.last_event_id)
            verdict = retries.judge_retry(last, now)
            self._report.note_attempt(admission, selection, last, now, verdict)
            if not verdict.allows:
                pause_s = choice.choose_retry_after_s(self._loop.time(), self._ends_at)
                final = answer_failed(self._progress, last, verdict, pause_s)
                self._end(admission, final, choice.closed)
                return

    # sending

    async def _try(
        self,
        admission: Admission,
        selection: Selection,
        builder: RequestHeadBuilder,
        choice: ServerChoice,
        retries: RetryControl,
    ) -> AttemptResult:
        """Make one attempt at the selected server."""
        state = selection.state
        self._progress.tries += 1
        self._last_server = state.server.name
        # Counted before connecting, so that other selections include this request.
        state.in_flight += 1
        started = self._loop.time()
        try:
            connection = await connect(self._context, admission.route, state)
            if isinstance(connection, AttemptResult):
                return connection
            now = self._loop.time()
            is_late = self._disconnected or self._ends_at <= now
            obstacle = (
                "caller disconnected or time limit expired"
                if is_late
                else choice.find_obstacle(state, now)
            )
            if obstacle:
                self._context.pool.release_unused(connection)
                return AttemptResult(AttemptEnd.NOT_SENT, message=obstacle)
            result = await self._send(
                admission, selection, builder, retries, connection
            )
            took_s = self._loop.time() - started
            if result.end is AttemptEnd.DELIVERED:
                state.times.stay.note(took_s)
            if self._queueing is not None:
                self._queueing.note_attempt(state.server, result.end, took_s)
            result.lost = connection.was_lost or state.restarted
            if connection.was_timed_out:
                self._context.pool.note_timed_out(connection)
            share = self._context.share_connections(admission.service)
            spare = None if share is None else share - state.in_flight
            self._context.pool.release(connection, spare_connections=spare)
            return result
        finally:
            state.in_flight -= 1

    async def _send(
        self,
        admission: Admission,
        selection: Selection,
        builder: RequestHeadBuilder,
        retries: RetryControl,
        connection: UpstreamConnection,
    ) -> AttemptResult:
        """Send the request over a connection and forward its answer."""
        now, state, route = self._loop.time(), selection.state, admission.route
        attempt = Attempt(
            self._context.names,
            self._connection,
            self._request_id,
            state,
            previous=self._attempt,
            streams=route.kind.is_stream,
            resumable=route.resumable,
            may_take_over=lambda: self._may_take_over(retries),
            note_notice=lambda notice: self._note_notice(state, notice),
            note_load=self._choose_load_listener(state),
        )
        self._attempt = attempt
        source = self._context.directory.find_copy_source(selection.copy_from, now)
        head = builder.build(state.server.name, self._ends_at - now, source)
        self._progress.runs += 1
        state.health.note_sent(now)
        result = await attempt.run(connection, head, self._request, self._ends_at)
        if result.end is AttemptEnd.REJECTED:
            self._progress.runs -= 1
        self._progress.answer_started = attempt.answer_started
        return result

    def _may_take_over(self, retries: RetryControl) -> bool:
        """Return whether another server may take over from the current one."""
        if self._attempt is not None:
            self._progress.answer_started = self._attempt.answer_started
        return retries.judge_takeover(self._loop.time()).allows

    def _choose_load_listener(
        self, state: ServerState
    ) -> Callable[[int | None], None] | None:
        """Return what is called after a load report of a server, or None."""
        overload = self._context.overload
        if overload is None:
            return None
        if state.server.slots > 0:
            # The slots in a server's entry take precedence over those of its reports.
            return overload.note_load
        return lambda slots: overload.note_report(state.id, slots)

    def _note_notice(self, state: ServerState, notice: ServerNotice) -> None:
        """Record a notice that a server sent in an answer."""
        notices, now = self._context.directory.notices, self._loop.time()
        if notice.leaving:
            notices.note_leaving(state.id, NoticeSource.ANSWER, now)
        if notice.backoff_s > 0:
            notices.note_backoff(state.id, notice.backoff_s, now)

    # final answer

    def _end(
        self,
        admission: Admission,
        final: FinalAnswer,
        closed: tuple[str, ...] = (),
    ) -> None:
        """End a request for which no attempt delivered an answer."""
        if self._disconnected:
            return
        self._note_given_up(admission, final, closed)
        self._report.count_request(admission.service, final.status)
        self._answer(final)

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
            server=self._last_server,
            closed=closed,
            time_left_s=self._ends_at - now,
            now=now,
        )

    def _answer(self, final: FinalAnswer) -> None:
        """Send the final answer to the caller, or abort its connection."""
        if final.ending is Ending.CUT:
            self._connection.abort()
            return
        headers: Headers = []
        body = b""
        if final.server_answer is not None:
            head, body = final.server_answer
            headers = keep_end_to_end(head.headers, _REPLACED)
        if final.retry_after_s is not None:
            headers.append((b"Retry-After", b"%.2f" % final.retry_after_s))
        names = self._context.names
        if self._request_id and find_header(headers, names.request_id) is None:
            headers = [(names.request_id, self._request_id), *headers]
        self._connection.send_answer(final.status, headers, body)
