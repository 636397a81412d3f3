"""One request of a caller, from its arrival to its final answer.

An exchange finds the route and the customer, lets the selection choose a
backend server, sends the request, and passes the answer on. Another server is
tried only where nothing ran, or where the route may be repeated; each request
gets its final answer at once when it is given up on.
"""

from __future__ import annotations

import asyncio

from ramppin.errors import NotSentError
from ramppin.gateway.connection.callerwire import CallerConnection, Responder
from ramppin.gateway.connection.httpwire import Headers, find_header, keep_end_to_end
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.connection.upstream import UpstreamConnection
from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.process.membership.health import Outcome
from ramppin.gateway.process.routing.selection import Selection, SelectionRequest
from ramppin.gateway.request.admission import Admission, Denial, admit
from ramppin.gateway.request.attempt import Attempt, AttemptEnd, AttemptResult
from ramppin.gateway.request.upstreamhead import RequestHeadBuilder

MAX_TRIES = 4
"""Servers that one request may try, connections that failed included."""

RETRY_AFTER_S = 0.25
START_RETRY_AFTER_S = 0.5
STOP_RETRY_AFTER_S = 0.05
MIN_TIME_LEFT_S = 0.02
"""Time below which another attempt is not worth its price."""

IDLE_LIMIT_ONCE_S = 0.7
"""Longest rest of a connection that carries what can't be repeated."""


class ExchangeResponder(Responder):
    """Runs the exchanges of one caller's connection, one after the other.

    Args:
        context: what all exchanges of the process share.
        connection: the caller's connection.

    .. versionadded:: 0.2
    """

    def __init__(self, context: GatewayContext, connection: CallerConnection) -> None:
        self._context = context
        self._connection = connection
        self._exchange: Exchange | None = None

    def accept_request(self, request: CallerRequest) -> None:
        """Start an exchange."""
        exchange = Exchange(self._context, self._connection, request)
        self._exchange = exchange
        task = asyncio.get_running_loop().create_task(exchange.run())
        self._context.tasks.add(task)
        task.add_done_callback(self._context.finish_task)

    def accept_disconnect(self) -> None:
        """Give the exchange up."""
        if self._exchange is not None:
            self._exchange.disconnect()

    def accept_backpressure(self, *, paused: bool) -> None:
        """Hold the answer's source back, or let it go on."""
        if self._exchange is not None:
            self._exchange.set_paused(paused)


class Exchange:
    """One request and its answer.

    Args:
        context: what all exchanges of the process share.
        connection: the caller's connection.
        request: the request, whole.

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
        self._disconnected = False
        self._tried: set[str] = set()
        self._tries = 0
        self._runs = 0
        self._ends_at = 0.0
        names = context.names
        found = request.find(names.request_id)
        self._request_id = found or b""

    @property
    def _started(self) -> bool:
        """Whether the caller has got a part of an answer, from any attempt."""
        return self._attempt is not None and self._attempt.started

    # what the connection tells

    def disconnect(self) -> None:
        """Give up: the caller is gone."""
        self._disconnected = True
        if self._attempt is not None:
            self._attempt.cancel(AttemptEnd.CALLER_DISCONNECTED)

    def set_paused(self, paused: bool) -> None:
        """Pause or resume the answer's source."""
        if self._attempt is not None:
            self._attempt.set_paused(paused)

    # the request's course

    async def run(self) -> None:
        """Serve the request."""
        context = self._context
        context.in_flight += 1
        try:
            admitted = admit(context, self._request, self._loop.time())
            if isinstance(admitted, Denial):
                self._deny(admitted)
                return
            self._ends_at = self._request.arrived + admitted.time_limit_s
            context.note_request(admitted.service, self._loop.time())
            await self._serve(admitted)
        except Exception:
            # Whatever went wrong here, the caller must not wait for an answer.
            self._connection.abort()
            raise
        finally:
            context.in_flight -= 1

    def _deny(self, denial: Denial) -> None:
        headers: Headers = []
        if denial is Denial.NO_SETTINGS:
            headers = [(b"Retry-After", b"%.2f" % START_RETRY_AFTER_S)]
        elif denial is Denial.STOPPING:
            headers = [(b"Retry-After", b"%.2f" % STOP_RETRY_AFTER_S)]
        self._context.decisions.note(
            "denied",
            request_id=self._request_id.decode("latin-1"),
            status=denial.status,
            reason=denial.reason,
            version=self._context.version,
        )
        self._answer(denial.status, headers)

    async def _serve(self, admission: Admission) -> None:
        context = self._context
        builder = RequestHeadBuilder(
            context.names, self._request, admission.route, admission.customer
        )
        last: AttemptResult | None = None
        while True:
            selection = self._select(admission)
            if selection is None:
                self._give_up(admission, last)
                return
            result = await self._try(admission, selection, builder)
            self._log_attempt(admission, selection, result)
            if result.end is AttemptEnd.DELIVERED or self._disconnected:
                self._count(
                    admission.service, 0 if self._disconnected else result.status
                )
                return
            if result.last_event_id is not None:
                builder.resume_after(result.last_event_id)
            if not self._may_try_again(admission, result):
                self._conclude(admission, result)
                return
            last = result

    def _select(self, admission: Admission) -> Selection | None:
        if self._disconnected or self._tries >= MAX_TRIES:
            return None
        context, now = self._context, self._loop.time()
        if self._ends_at - now < MIN_TIME_LEFT_S:
            return None
        request = SelectionRequest(
            admission.prefix_key,
            frozenset(self._tried),
            context.share_connections(admission.service),
        )
        states = context.directory.list_open(admission.service)
        strategy = context.choose_strategy(admission.prefix_key is not None)
        return strategy.choose(request, states, now)

    async def _try(
        self, admission: Admission, selection: Selection, builder: RequestHeadBuilder
    ) -> AttemptResult:
        context, state = self._context, selection.state
        self._tries += 1
        self._tried.add(state.id)
        # Counted before the connection is there: other requests must see it.
        state.in_flight += 1
        try:
            connection = await self._connect(admission, selection)
            if isinstance(connection, AttemptResult):
                return connection
            now = self._loop.time()
            if self._disconnected or self._ends_at <= now:
                context.pool.release_unused(connection)
                return AttemptResult(AttemptEnd.NOT_SENT, message="too late")
            attempt = Attempt(
                context.names,
                self._connection,
                self._request_id,
                state,
                previous=self._attempt,
                streams=admission.route.kind.is_stream,
                resumable=admission.route.resumable,
                may_move=lambda: self._may_move(admission),
            )
            self._attempt = attempt
            source = context.directory.find_source(selection.copy_from, now)
            head = builder.build(state.server.id, self._ends_at - now, source)
            self._runs += 1
            state.health.note_sent(now)
            result = await attempt.run(
                connection, head, self._request, self._ends_at, admission.route
            )
            if result.end is AttemptEnd.REJECTED:
                self._runs -= 1
            share = context.share_connections(admission.service)
            spare = None if share is None else share - state.in_flight
            context.pool.release(connection, max_idle_connections=spare)
            return result
        finally:
            state.in_flight -= 1

    async def _connect(
        self, admission: Admission, selection: Selection
    ) -> UpstreamConnection | AttemptResult:
        server = selection.state.server
        once = not admission.route.repeatable
        try:
            return await self._context.pool.acquire(
                server.id,
                server.host,
                server.port,
                max_idle_s=IDLE_LIMIT_ONCE_S if once else float("inf"),
            )
        except NotSentError as error:
            selection.state.health.note_outcome(Outcome.UNREACHABLE, self._loop.time())
            return AttemptResult(AttemptEnd.NOT_SENT, message=error.message)

    def _may_move(self, admission: Admission) -> bool:
        """Return whether another server can take over from one that is silent."""
        route, context, now = admission.route, self._context, self._loop.time()
        if not route.repeatable or self._runs >= route.max_attempts:
            return False
        if self._started and not route.resumable:
            return False
        others = [
            state
            for state in context.directory.list_open(admission.service)
            if state.id not in self._tried and not state.health.is_suspect(now)
        ]
        return bool(others) and context.has_retry(admission.service, now)

    def _may_try_again(self, admission: Admission, result: AttemptResult) -> bool:
        route, now = admission.route, self._loop.time()
        if result.end is AttemptEnd.NOT_SENT:
            return True
        if result.end is AttemptEnd.TIMED_OUT:
            return False
        if result.end is not AttemptEnd.REJECTED:
            if not route.repeatable or self._runs >= route.max_attempts:
                return False
            if self._started and not route.resumable:
                return False
        return self._context.take_retry(admission.service, now)

    def _conclude(self, admission: Admission, result: AttemptResult) -> None:
        """Give the final answer after an attempt that is not followed by another."""
        if self._started:
            self._count(admission.service, result.status)
            self._connection.abort()
        elif result.answer is not None and result.end is AttemptEnd.FAILED:
            self._count(admission.service, result.status)
            head, body = result.answer
            self._answer(head.status, keep_end_to_end(head.headers, _LENGTH), body)
        else:
            self._give_up(admission, result)

    def _give_up(self, admission: Admission, last: AttemptResult | None) -> None:
        if self._disconnected:
            return
        if self._started:
            self._count(admission.service, last.status if last else 0)
            self._connection.abort()
            return
        headers: Headers = []
        if self._runs == 0:
            status = 503
            headers = [(b"Retry-After", b"%.2f" % RETRY_AFTER_S)]
        elif last is not None and last.end is AttemptEnd.TIMED_OUT:
            status = 504
        else:
            status = 502
        fields: dict[str, object] = {
            "request_id": self._request_id.decode("latin-1"),
            "route": admission.route.name,
            "version": admission.table.version,
            "status": status,
            "tries": self._tries,
            "runs": self._runs,
            "open_servers": len(self._context.directory.list_open(admission.service)),
            "servers_age_s": self._context.measure_servers_age(self._loop.time()),
        }
        self._context.decisions.note("given_up", **fields)
        self._context.explanations.add(self._request_id.decode("latin-1"), fields)
        self._count(admission.service, status)
        self._answer(status, headers)

    def _count(self, service: str, status: int) -> None:
        self._context.metrics.requests.labels(service, str(status)).inc()

    def _answer(self, status: int, headers: Headers, body: bytes = b"") -> None:
        names = self._context.names
        if self._request_id and find_header(headers, names.request_id) is None:
            headers = [(names.request_id, self._request_id), *headers]
        self._connection.send_whole(status, headers, body)

    def _log_attempt(
        self, admission: Admission, selection: Selection, result: AttemptResult
    ) -> None:
        bound = selection.bound
        fields: dict[str, object] = {
            "request_id": self._request_id.decode("latin-1"),
            "route": admission.route.name,
            "version": admission.table.version,
            "server": selection.state.id,
            "rank": selection.rank,
            "load": selection.load,
            "bound": round(bound, 1) if bound != float("inf") else None,
            "report_age_s": round(min(selection.report_age_s, 999.0), 2),
            "end": result.end.value,
            "status": result.status,
            "message": result.message,
            "took_ms": round((self._loop.time() - self._request.arrived) * 1000),
        }
        context = self._context
        decisions = context.decisions
        metrics = context.metrics
        metrics.attempts.labels(admission.service, result.end.value).inc()
        if result.first_byte_at is not None:
            taken = result.first_byte_at - self._request.arrived
            metrics.first_byte_seconds.labels(admission.service).observe(taken)
        context.explanations.add(self._request_id.decode("latin-1"), fields)
        if result.end is AttemptEnd.DELIVERED:
            decisions.note_answered(**fields)
        else:
            decisions.note("attempt_failed", **fields)


_LENGTH = frozenset({b"content-length"})
