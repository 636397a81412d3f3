"""The path from this VM to the backend servers, over connections of its own."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from ramppin.gateway.connection.upstream import UpstreamConnection
from ramppin.gateway.process.membership.servernotices import NoticeSource
from ramppin.gateway.process.overload.brittleness import REJECTION_BACKOFF_S
from ramppin.gateway.process.routing.recordedservers import ServiceBuild
from ramppin.gateway.process.routing.selection import Selection
from ramppin.gateway.process.routing.serverstate import BackendServer, ServerState
from ramppin.gateway.process.routing.streamorigins import StreamOrigin, build_conflict
from ramppin.gateway.request.attempt import Attempt
from ramppin.gateway.request.connecting import connect
from ramppin.gateway.request.crashwatch import CrashWatch
from ramppin.gateway.request.destination import ServerDestination
from ramppin.gateway.request.path import Path, ServedRequest
from ramppin.gateway.request.processcheck import ProcessCheck
from ramppin.gateway.request.result import AttemptEnd, AttemptResult
from ramppin.gateway.request.retry import Verdict
from ramppin.gateway.request.retrying import RetryControl
from ramppin.gateway.request.serverchoice import ServerChoice
from ramppin.gateway.request.servernotice import ServerNotice
from ramppin.gateway.request.upstreamhead import RequestHeadBuilder


class DirectPath(Path):
    """Makes attempts at backend servers.

    Args:
        served: the request.
        choice: selects the servers.
        watch: records whether servers crash while running the request.
        retries: decides whether another server may take over.

    .. versionadded:: 0.5
    """

    def __init__(
        self,
        served: ServedRequest,
        choice: ServerChoice,
        watch: CrashWatch,
        retries: RetryControl,
    ) -> None:
        self._served = served
        self._context = served.context
        self._choice = choice
        self._watch = watch
        self._retries = retries
        self._loop = asyncio.get_running_loop()
        self._selection: Selection | None = None
        self._intended: StreamOrigin | None = None
        self._is_moved = False
        self._process_check = ProcessCheck(
            self._context.report_path, self._context.report_start
        )
        choice.origin = served.origin
        admission = served.admission
        self._builder = RequestHeadBuilder(
            served.context.names, served.request, admission.route, admission.customer
        )

    def select(self, now: float) -> Verdict:
        """Select a backend server."""
        service = self._served.admission.service
        failed = self._context.reachability.list_failed(service)
        if not failed or not self._context.reachability.avoids(service):
            failed = frozenset()
        selection = self._choice.select(now, failed)
        if isinstance(selection, Verdict):
            return selection
        self._selection = selection
        return Verdict.SEND

    async def send(self) -> AttemptResult:
        """Send the request to the selected server."""
        selection, served = self._get_selection(), self._served
        state = selection.state
        served.last_server = state.server.name
        # Counted before connecting, so that other selections include this request.
        state.in_flight += 1
        started = self._loop.time()
        try:
            connection = await connect(self._context, served.admission.route, state)
            if isinstance(connection, AttemptResult):
                return connection
            if await self._is_other_process(connection, state):
                connection.abort()
                message = "another process answers at the server's address"
                return AttemptResult(AttemptEnd.NOT_SENT, message=message)
            if not connection.alive:
                connection = await connect(self._context, served.admission.route, state)
                if isinstance(connection, AttemptResult):
                    return connection
            obstacle = self._find_obstacle(state)
            if obstacle:
                self._context.pool.release_unused(connection)
                return AttemptResult(AttemptEnd.NOT_SENT, message=obstacle)
            self._note_intended(state)
            result = await self._send_over(connection)
            self._note_sent(state, connection, result, self._loop.time() - started)
            return result
        finally:
            state.in_flight -= 1

    async def _is_other_process(
        self, connection: UpstreamConnection, state: ServerState
    ) -> bool:
        """Return whether the server has started anew, if a stream depends on that."""
        admission, now = self._served.admission, self._loop.time()
        history = self._context.continuity.history
        is_mixed = history.may_be_mixed(admission.service, now)
        if not is_mixed or not admission.route.resumable:
            return False
        is_other = await self._process_check.is_other(
            connection, state.server.started_ms
        )
        if is_other:
            state.note_refused_connection(self._loop.time())
        return is_other

    def note_result(self, result: AttemptResult, started: float, now: float) -> None:
        """Record whether the server may have crashed."""
        state = self._get_selection().state
        self._watch.note_attempt(state, result, started, now)

    def report(
        self, result: AttemptResult, now: float, verdict: Verdict | None = None
    ) -> None:
        """Log and count the attempt at the server."""
        served = self._served
        served.report.note_attempt(
            served.admission, self._get_selection(), result, now, verdict
        )

    def _get_selection(self) -> Selection:
        assert self._selection is not None
        return self._selection

    def _find_obstacle(self, state: ServerState) -> str:
        """Return why the request may no longer be sent, or an empty string."""
        now = self._loop.time()
        if self._served.disconnected or self._served.ends_at <= now:
            return "caller disconnected or time limit expired"
        return self._choice.find_obstacle(state, now)

    async def _send_over(self, connection: UpstreamConnection) -> AttemptResult:
        """Send the request over a connection and forward its answer."""
        served, selection = self._served, self._get_selection()
        now, state, route = self._loop.time(), selection.state, served.admission.route
        destination = ServerDestination(
            self._context.names,
            state,
            note_notice=lambda notice: self._note_notice(state, notice),
            note_load=self._choose_load_listener(state),
            note_answered=lambda: self._context.reachability.note_answered(
                state, connection.opened_at, self._loop.time()
            ),
        )
        attempt = Attempt(
            self._context.names,
            served.connection,
            served.request_id,
            destination,
            previous=served.attempt,
            streams=route.kind.is_stream,
            resumable=route.resumable,
            may_take_over=self._may_take_over,
            note_event=lambda: self._note_event(state),
            has_terminated=self._choose_check(state),
        )
        served.attempt = attempt
        source = self._find_copy_source(selection, now)
        if served.is_forwarded:
            served.connection.answer_headers = [
                (self._context.names.served_by, state.id.encode())
            ]
        if served.last_event_id is not None:
            self._builder.resume_after(served.last_event_id)
        head = self._builder.build(state.server.name, served.ends_at - now, source)
        served.progress.runs += 1
        state.health.note_sent(now)
        result = await attempt.run(connection, head, served.request, served.ends_at)
        if result.end.proves_not_run:
            served.progress.runs -= 1
        served.progress.answer_started = attempt.answer_started
        return result

    def _choose_check(
        self, state: ServerState
    ) -> Callable[[], Awaitable[bool | None]] | None:
        """Return what checks the server after its answer, if another may follow."""
        if not self._served.admission.route.repeatable:
            return None
        return lambda: self._context.server_checks.has_terminated(state)

    def _find_copy_source(
        self, selection: Selection, now: float
    ) -> BackendServer | None:
        """Return the server to copy a prefix from, if it has the same build."""
        source = self._context.directory.find_copy_source(selection.copy_from, now)
        is_same = source and source.build == selection.state.server.build
        return source if is_same else None

    def _note_intended(self, state: ServerState) -> None:
        """Record that a stream is about to begin at the build of a server.

        Nothing is recorded if another process may answer there, with another build.
        """
        served, now = self._served, self._loop.time()
        if not served.admission.route.resumable or served.origin is not None:
            return
        build = ServiceBuild(state.server.service, state.server.build)
        self._context.continuity.history.note_beginning(build)
        origin = StreamOrigin(*build)
        if origin == self._intended or state.is_build_doubted(now):
            return
        self._is_moved = self._is_moved or self._intended is not None
        is_recorded = self._context.continuity.note_intended(
            served.stream_key, origin, now
        )
        self._intended = origin if is_recorded else None

    def _note_event(self, state: ServerState) -> None:
        """Bind a stream to the build of the server that sent its first event."""
        served, now = self._served, self._loop.time()
        if not served.admission.route.resumable or served.origin is not None:
            return
        service = state.server.service
        continuity = self._context.continuity
        origin = StreamOrigin(service, state.server.build)
        is_mixed = continuity.history.may_be_mixed(service, now)
        if is_mixed and state.is_build_doubted(now):
            origin = build_conflict(service)
        served.origin = self._choice.origin = origin
        # After an attempt at another build, the record of this one must not be missing.
        is_recorded = origin == self._intended and not self._is_moved
        continuity.note_began(served.stream_key, origin, now, is_recorded=is_recorded)

    def _note_sent(
        self,
        state: ServerState,
        connection: UpstreamConnection,
        result: AttemptResult,
        took_s: float,
    ) -> None:
        """Record an attempt that was sent, and return its connection to the pool."""
        served, context = self._served, self._context
        if result.end is AttemptEnd.DELIVERED:
            state.times.stay.note(took_s)
        if result.end is AttemptEnd.REJECTED and result.notice.brittle:
            now = self._loop.time()
            context.directory.notices.note_backoff(state.id, REJECTION_BACKOFF_S, now)
            context.brittle.note_rejected(state.server.service, now)
        if served.queueing is not None:
            served.queueing.note_attempt(state.server, result.end, took_s)
        result.lost = result.lost or connection.was_lost or state.restarted
        # Not if it timed out: a server that does not read its requests is reached.
        is_cut = connection.was_lost and result.end is AttemptEnd.FAILED
        if is_cut and result.status == 0:
            now = self._loop.time()
            context.reachability.note_failed(state, now, connection.opened_at)
        if connection.was_timed_out:
            context.pool.note_timed_out(connection)
        share = context.share_connections(served.admission.service)
        spare = None if share is None else share - state.in_flight
        context.pool.release(connection, spare_connections=spare)

    def _may_take_over(self) -> bool:
        """Return whether another server may take over from the current one."""
        served = self._served
        if served.attempt is not None:
            served.progress.answer_started = served.attempt.answer_started
        return self._retries.judge_takeover(self._loop.time()).allows

    def _choose_load_listener(
        self, state: ServerState
    ) -> Callable[[int | None], None] | None:
        """Return what is called after a load report of a server, or None."""
        service, now = state.server.service, self._loop.time()
        overload = self._context.find_overload(service, now)
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
        if notice.brittle:
            self._context.brittle.note(state.server.service, notice.brittle, now)
            self._context.note_brittle()
