"""State and sending of one request, from arrival to answer or refusal."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, replace

from ramppin.errors import (
    BrokenAnswerError,
    NotSentError,
    PlaceLostError,
    RamppinError,
    RefusedError,
)
from ramppin.router.connection.backends import BackendAnswer, BackendRequest
from ramppin.router.process.routing.placer import Place, Wanted
from ramppin.router.request.context import RequestContext
from ramppin.router.request.identity import RequestId
from ramppin.router.request.outcome import Outcome
from ramppin.router.request.placement import Grant, Reason, Refusal
from ramppin.router.request.trace import Trace
from ramppin.router.version.tree import RequestPolicy, Settings

RETRY_AFTER_FAILURE_S = 1.0
"""Retry-After of a request that failed at a backend server."""

OWNER_REPLY_MARGIN_S = 0.5
"""Time to wait for the shard owner's refusal after the maximum wait has passed."""

_REFUSALS = {
    Reason.QUEUE_FULL: (429, "too many requests wait for the pool"),
    Reason.WAIT_TOO_LONG: (429, "the wait would be longer than allowed"),
    Reason.WAIT_ENDED: (503, "no place came free in time"),
    Reason.NO_BACKEND_SERVER: (503, "no backend server is in service"),
}


@dataclass(frozen=True, slots=True)
class SentAttempt:
    """An attempt whose response headers have arrived.

    Attributes:
        place: the place that the attempt holds.
        address: address of the backend server.
        attempt: id of the attempt, sent to the backend server.
        answer: the answer, whose body is still to be read.
    """

    place: Place
    address: str
    attempt: str
    answer: BackendAnswer


class RequestRun:
    """State of one request: its settings, deadline, trace and attempts.

    Args:
        context: components of the process that the request uses.
        settings: settings in force when the request arrived; used until it ends.
        request_id: id of the request.
        customer: the customer that sent the request.
        service: the requested service.
        route: index of the route, or -1.
        deadline_s: the caller's deadline in seconds from now; None for none.

    Attributes:
        sent: whether a byte of the request may have been sent.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        context: RequestContext,
        settings: Settings,
        request_id: RequestId,
        customer: str,
        service: str,
        *,
        route: int = -1,
        deadline_s: float | None = None,
    ) -> None:
        self.context = context
        self.settings = settings
        self.id = str(request_id)
        self.customer = customer
        self.service = service
        self.route = route
        self.policy: RequestPolicy = settings.resolve_request(service, customer, route)
        self.pool = settings.tree.services[service].pool
        self.sent = False
        self._cancellable = False
        self._orphan_hold_s = settings.resolve_pool(self.pool).orphan_hold_s
        self.started = context.clock()
        limit = self.policy.deadline_s
        self.deadline = self.started + min(limit, deadline_s or limit)
        self.trace = Trace(
            self.id,
            context.vm,
            settings.version,
            customer,
            service,
            self.policy.sources + settings.resolve_pool(self.pool).sources,
        )
        context.traces.put(self.trace)
        context.retries.note_request(settings.resolve_pool(self.pool).retry_ratio)

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline, at least 0."""
        return max(0.0, self.deadline - self.context.clock())

    def note(self, step: str, finding: str, *rules: str, peer: str = "") -> None:
        """Add a step to the trace, with the rules it applied."""
        at = self.context.clock() - self.started
        self.trace.add(at, step, finding, *rules, peer=peer)

    async def place(
        self, chat: int, *, returning: bool = False, exclude: tuple[str, ...] = ()
    ) -> Place:
        """Acquire a place on a backend server.

        Raises:
            RefusedError: no place was granted.
        """
        wanted = Wanted(
            self.pool,
            chat,
            self.service,
            self.route,
            self.customer,
            returning,
            exclude,
        )
        wait = self.policy.max_wait_s + OWNER_REPLY_MARGIN_S
        deadline = min(self.deadline, self.context.clock() + wait)
        decision = await self.context.placer.place(wanted, deadline)
        if isinstance(decision, Refusal):
            raise self._build_refusal_error(decision)
        self._note_grant(decision.grant, decision.owner)
        return decision

    def free(
        self, place: Place, *, failed: bool = False, running: bool = False
    ) -> None:
        """Release a place; see ``Placer.free``."""
        self.context.placer.free(place, failed=failed, running=running)

    async def send(
        self,
        build: Callable[[str, str], BackendRequest],
        *,
        chat: int = 0,
        returning: bool = False,
        cancellable: bool = False,
    ) -> SentAttempt:
        """Send the request; retry only if no byte of it was sent.

        Args:
            build: builds the request for a backend server and an attempt id.
            chat: key of the chat; 0 for none.
            returning: whether an earlier request of the chat was answered.
            cancellable: whether the backend server accepts a request to cancel.

        Raises:
            RefusedError: no place was granted, the retries are spent, or the
                answer was lost.
        """
        self._cancellable = cancellable
        exclude: tuple[str, ...] = ()
        number = 0
        while True:
            place = await self.place(chat, returning=returning, exclude=exclude)
            number += 1
            try:
                return await self._attempt(build, place, number)
            except NotSentError as error:
                if not isinstance(error, PlaceLostError):
                    exclude = (*exclude, place.grant.backend_server)
                self._check_retry(error, number)

    def finish(self, outcome: Outcome, code: str = "") -> None:
        """Record the outcome of the request; later calls have no effect."""
        if not self.trace.outcome:
            self.trace.outcome = outcome.value
            self.note(
                "finish", f"outcome {outcome.value}" + (f", {code}" if code else "")
            )
            self.context.metrics.requests.labels(
                self.service, outcome.value, code
            ).inc()

    def find_address(self, server: str) -> str | None:
        """Return the address of a backend server, or None if the settings lack it."""
        node = self.settings.tree.pools[self.pool].backend_servers.get(server)
        return node.address if node else None

    def _get_address(self, server: str) -> str:
        address = self.find_address(server)
        if address is None:
            raise NotSentError("its address is not known yet", step="send", peer=server)
        return address

    async def _attempt(
        self, build: Callable[[str, str], BackendRequest], place: Place, number: int
    ) -> SentAttempt:
        server = place.grant.backend_server
        attempt = f"{self.id}.{number}"
        try:
            address = self._get_address(server)
            sending = self._start_sending(build, place, address, attempt)
            answer = await self._await_answer(sending, place, address, attempt)
        except NotSentError as error:
            self.sent = False
            self.free(place, failed=not isinstance(error, PlaceLostError))
            raise
        except BrokenAnswerError as error:
            raise self._build_lost_answer_error(error) from error
        answer.set_timeout(self.remaining_s)
        self.context.metrics.first_byte_seconds.labels(self.service).observe(
            self.context.clock() - self.started
        )
        self.note("send", f"status {answer.status}", peer=server)
        return SentAttempt(place, address, attempt, answer)

    def _start_sending(
        self,
        build: Callable[[str, str], BackendRequest],
        place: Place,
        address: str,
        attempt: str,
    ) -> asyncio.Task[BackendAnswer]:
        server = place.grant.backend_server
        built = build(server, attempt)
        request = replace(
            built,
            timeout_s=built.timeout_s + self._orphan_hold_s,
            may_send=lambda: self.context.placer.is_valid(place),
        )
        self.sent = True
        return self.context.spawn(self.context.backends.send(server, address, request))

    async def _await_answer(
        self,
        sending: asyncio.Task[BackendAnswer],
        place: Place,
        address: str,
        attempt: str,
    ) -> BackendAnswer:
        """Await the response headers; drain an abandoned attempt in the background."""
        server = place.grant.backend_server
        try:
            await asyncio.wait({sending}, timeout=self.remaining_s)
        except asyncio.CancelledError:
            self.context.spawn(self._drain_abandoned(sending, place, address, attempt))
            raise
        if not sending.done():
            self.context.spawn(self._drain_abandoned(sending, place, address, attempt))
            raise BrokenAnswerError("no answer in time", step="send", peer=server)
        try:
            return sending.result()
        except BrokenAnswerError:
            self.free(place, failed=True, running=True)
            raise

    async def _drain_abandoned(
        self,
        sending: asyncio.Task[BackendAnswer],
        place: Place,
        address: str,
        attempt: str,
    ) -> None:
        """Hold the place of an abandoned attempt until it has ended at the server."""
        if self._cancellable:
            with contextlib.suppress(RamppinError):
                await self.context.backends.cancel_stream(address, attempt)
        try:
            answer = await sending
            answer.set_timeout(self._orphan_hold_s)
            await answer.read()
            self.free(place)
        except NotSentError:
            self.free(place, failed=True)
        except BrokenAnswerError:
            self.free(place, failed=True, running=True)

    def _check_retry(self, error: NotSentError, number: int) -> None:
        self.note("send", f"not sent: {error.message}", "retries", peer=error.peer)
        if self.remaining_s <= 0:
            code, why = "deadline", "the deadline has passed"
        elif number > self.policy.retries:
            code, why = "unreachable", "no attempt is left"
        elif not self.context.retries.try_spend():
            code, why = "retry_budget", "the budget of retries is spent"
        else:
            self.context.metrics.retries.labels(self.service).inc()
            return
        raise RefusedError(
            f"the backend server could not be reached, and {why}",
            status=503,
            code=code,
            retry_after=RETRY_AFTER_FAILURE_S,
            step=error.step,
            peer=error.peer,
        ) from error

    def _build_lost_answer_error(self, error: BrokenAnswerError) -> RefusedError:
        late = self.remaining_s <= 0
        self.note("send", f"answer lost: {error.message}", peer=error.peer)
        return RefusedError(
            "the deadline passed" if late else "the answer was lost",
            status=504 if late else 502,
            code="deadline" if late else "answer_lost",
            retry_after=RETRY_AFTER_FAILURE_S,
            outcome=Outcome.UNKNOWN,
            step=error.step,
            peer=error.peer,
        )

    def _build_refusal_error(self, refusal: Refusal) -> RefusedError:
        status, message = _REFUSALS[refusal.reason]
        self.note("place", message, "max_wait_s", "max_waiting", "max_in_flight")
        return RefusedError(
            message,
            status=status,
            code=refusal.reason.value,
            retry_after=refusal.retry_after_s,
            step="place",
            peer=self.pool,
        )

    def _note_grant(self, grant: Grant, owner: str) -> None:
        metrics = self.context.metrics
        metrics.placements.labels(self.pool, grant.reason.value).inc()
        metrics.place_seconds.labels(self.service).observe(
            self.context.clock() - self.started
        )
        finding = (
            f"{grant.backend_server} by {grant.reason.value}: load {grant.load} of at "
            f"most {grant.cap}, {grant.total} in the pool over {grant.members} "
            f"members, waited {grant.waited_s:.3f} s"
        )
        self.note(
            "place", finding, "bound", "slots", "spill", "wait_for_cached_s", peer=owner
        )
