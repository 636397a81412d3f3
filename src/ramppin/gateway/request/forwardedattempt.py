"""One attempt to have a request served by another VM."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ramppin.gateway.connection.answerend import AnswerEnd
from ramppin.gateway.connection.httpwire import HeaderNames, find_header
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.connection.upstream import AnswerHead, UpstreamConnection
from ramppin.gateway.process.membership.health import Outcome
from ramppin.gateway.process.routing.forwarders import REFUSAL_S, Forwarder
from ramppin.gateway.request.answerkind import AnswerKind, judge_forwarded_answer
from ramppin.gateway.request.attempt import Attempt
from ramppin.gateway.request.destination import Destination
from ramppin.gateway.request.path import ServedRequest
from ramppin.gateway.request.result import AttemptEnd

CONFIRM_TIMEOUT_S = 0.2
"""Seconds in which a VM must connect, and again confirm a request. Later than a busy
VM's longest turn and a round trip between failure domains."""


class VmDestination(Destination):
    """Another VM; used for one attempt.

    Args:
        names: configured header names.
        forwarder: the VM.
        service: the request's service.

    Attributes:
        served_by: id of the server that answered; empty while that is unknown.

    .. versionadded:: 0.5
    """

    def __init__(self, names: HeaderNames, forwarder: Forwarder, service: str) -> None:
        super().__init__(names)
        self._forwarder = forwarder
        self._service = service
        self.served_by = ""

    def judge(self, head: AnswerHead) -> AnswerKind:
        """Return the class of the VM's answer."""
        return judge_forwarded_answer(head, self._names)

    def is_stalled(self, received_at: float, now: float) -> bool:
        """Return whether the VM is unresponsive."""
        return self._forwarder.is_stalled(received_at, now)

    def note_sent(self, attempt: object, request: CallerRequest, now: float) -> None:
        """Record that an answer of the VM is due."""
        self._forwarder.health.note_sent(now)

    def note_received(self, now: float, *, due: bool) -> None:
        """Record in the VM's health that data arrived, or that none is due."""
        awaited = due or self._forwarder.in_flight > 1
        self._forwarder.health.note_received(now, awaited=awaited)

    def note_outcome(self, outcome: Outcome, now: float) -> None:
        """Record the outcome; a refusal concerns the service alone."""
        if outcome is Outcome.REJECTED:
            self._forwarder.refused_until[self._service] = now + REFUSAL_S
            outcome = Outcome.ANSWERED
        self._forwarder.health.note_outcome(outcome, now)

    def note_unanswered(self, now: float) -> None:
        """Record a failure if the VM is unresponsive."""
        self._forwarder.health.note_unanswered(now)

    def note_bytes(self, attempt: object, now: float) -> None:
        """Do nothing: the VM's own requests wait at its servers."""

    def note_paused(self, attempt: object) -> None:
        """Do nothing, as for :meth:`note_bytes`."""

    def note_resumed(self, attempt: object, received_at: float) -> None:
        """Do nothing, as for :meth:`note_bytes`."""

    def note_head(
        self, head: AnswerHead, kind: AnswerKind, wait_s: float, now: float
    ) -> None:
        """Record which server answered."""
        found = find_header(head.headers, self._names.served_by) or b""
        self.served_by = found.decode("latin-1")

    def note_pause(self, pause_s: float | None, now: float) -> None:
        """Do nothing: the pause is not only the server's."""

    def note_success(self, now: float) -> None:
        """Do nothing: the VM learns the server's speed."""

    def note_ended(self, attempt: object, now: float) -> None:
        """Do nothing, as for :meth:`note_bytes`."""


class ForwardedAttempt(Attempt):
    """Sends a request to another VM and relays its answer.

    The rest of the request follows the head once the VM has confirmed it. Until then
    the request can't run, so that any failure leaves it unsent.

    Args:
        served: the request.
        destination: the VM.
        rest: what follows the head.
        may_take_over: returns whether another VM could take over the request.

    .. versionadded:: 0.5
    """

    def __init__(
        self,
        served: ServedRequest,
        destination: VmDestination,
        rest: bytes,
        may_take_over: Callable[[], bool],
    ) -> None:
        route = served.admission.route
        super().__init__(
            served.context.names,
            served.connection,
            served.request_id,
            destination,
            previous=served.attempt,
            streams=route.kind.is_stream,
            resumable=route.resumable,
            may_take_over=may_take_over,
        )
        self._rest = rest
        self._is_confirmed = False
        self._confirm_timer: asyncio.TimerHandle | None = None

    def accept_head(self, head: AnswerHead) -> bool:
        """Process an answer's head, and the mark of one whose end is not confirmed."""
        if find_header(head.headers, self._names.unconfirmed_end) is not None:
            head.stated_end = AnswerEnd.CLOSE
        return super().accept_head(head)

    def accept_continue(self) -> None:
        """Send the rest of the request."""
        if self._result.done() or self._connection is None:
            return
        self._is_confirmed = True
        self._note_bytes(due=True)
        self._connection.send_body(self._rest)

    def _send(
        self, connection: UpstreamConnection, head: bytes, request: CallerRequest
    ) -> None:
        """Send the head, and wait for the VM's confirmation."""
        connection.send(
            head,
            b"",
            self,
            head_request=request.method == b"HEAD",
            counted=self._memory is not None,
        )
        self._confirm_timer = self._loop.call_later(
            CONFIRM_TIMEOUT_S, self._note_unconfirmed
        )

    def _note_unconfirmed(self) -> None:
        if not self._is_confirmed and not self._result.done():
            self._fail("the VM did not confirm the request")

    def _finish(
        self,
        end: AttemptEnd,
        message: str = "",
        answer: tuple[AnswerHead, bytes] | None = None,
        *,
        lost: bool = False,
    ) -> None:
        if self._confirm_timer is not None:
            self._confirm_timer.cancel()
        if not self._is_confirmed:
            if self._connection is not None:
                # The VM waits for the rest of the request.
                self._connection.abort()
            if end in (AttemptEnd.FAILED, AttemptEnd.TIMED_OUT):
                end = AttemptEnd.NOT_SENT
        super()._finish(end, message, answer, lost=lost)
        if not self._is_confirmed and end is AttemptEnd.NOT_SENT:
            self._destination.note_outcome(Outcome.UNREACHABLE, self._loop.time())
