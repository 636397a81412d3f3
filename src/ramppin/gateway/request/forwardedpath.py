"""The path to the backend servers through one other VM.

Taken where this VM's own path fails. The other VM serves the request like one of its
own callers': it admits it, selects servers, retries, and keeps to its limits. It never
forwards the request again, so that a request passes through two VMs at most.
"""

from __future__ import annotations

import asyncio

from ramppin.errors import NotSentError
from ramppin.gateway.connection.httpwire import find_header
from ramppin.gateway.connection.upstream import UpstreamConnection
from ramppin.gateway.process.membership.health import Outcome
from ramppin.gateway.process.routing.forwarders import Forwarder
from ramppin.gateway.request.forwardedattempt import (
    CONFIRM_TIMEOUT_S,
    ForwardedAttempt,
    VmDestination,
)
from ramppin.gateway.request.forwardedhead import ForwardedHeadBuilder
from ramppin.gateway.request.path import Path, ServedRequest
from ramppin.gateway.request.result import AttemptEnd, AttemptResult
from ramppin.gateway.request.retry import Verdict
from ramppin.gateway.request.retrying import RetryControl

MAX_FORWARDS = 3
"""Maximum number of VMs that one request may try."""


class ForwardedPath(Path):
    """Makes attempts through other VMs.

    Args:
        served: the request.
        retries: decides whether another VM may take over.

    Attributes:
        is_exhausted: whether no further VM can be tried.

    .. versionadded:: 0.5
    """

    def __init__(self, served: ServedRequest, retries: RetryControl) -> None:
        self._served = served
        self._context = served.context
        self._retries = retries
        self._loop = asyncio.get_running_loop()
        self._builder: ForwardedHeadBuilder | None = None
        self._tried: set[str] = set()
        self._forwarder: Forwarder | None = None
        self.is_exhausted = False

    def select(self, now: float) -> Verdict:
        """Select a VM."""
        forwarders = self._context.forwarders
        service = self._served.admission.service
        self._forwarder = None
        if forwarders is not None and len(self._tried) < MAX_FORWARDS:
            self._forwarder = forwarders.choose(service, self._tried, now)
        if self._forwarder is None:
            self.is_exhausted = True
            return Verdict.UNREACHABLE
        self._tried.add(self._forwarder.vm)
        return Verdict.SEND

    async def send(self) -> AttemptResult:
        """Pass the request to the selected VM."""
        forwarder, served = self._get_forwarder(), self._served
        served.last_server = forwarder.vm
        forwarder.in_flight += 1
        try:
            connection = await self._connect(forwarder)
            if isinstance(connection, AttemptResult):
                return connection
            if served.disconnected or served.ends_at <= self._loop.time():
                self._context.pool.release_unused(connection)
                message = "caller disconnected or time limit expired"
                return AttemptResult(AttemptEnd.NOT_SENT, message=message)
            return await self._send_over(connection, forwarder)
        finally:
            forwarder.in_flight -= 1

    def note_result(self, result: AttemptResult, started: float, now: float) -> None:
        """Record that another VM reached the server that answered."""
        if result.served_by:
            self._context.reachability.note_peer_reached(result.served_by, now, now)

    def report(
        self, result: AttemptResult, now: float, verdict: Verdict | None = None
    ) -> None:
        """Log and count the attempt through the VM."""
        served, vm = self._served, self._get_forwarder().vm
        served.report.note_forwarded(served.admission, vm, result, now, verdict)

    def _get_forwarder(self) -> Forwarder:
        assert self._forwarder is not None
        return self._forwarder

    async def _connect(
        self, forwarder: Forwarder
    ) -> UpstreamConnection | AttemptResult:
        """Return a connection to a VM, or the result if there is none."""
        context = self._context
        try:
            return await context.pool.acquire(
                f"vm:{forwarder.vm}",
                forwarder.host,
                context.forward_port,
                # A VM that closes an idle connection has not confirmed the request.
                repeatable=True,
                source_host=context.forward_host,
                timeout_s=CONFIRM_TIMEOUT_S,
            )
        except NotSentError as error:
            forwarder.health.note_outcome(Outcome.UNREACHABLE, self._loop.time())
            return AttemptResult(AttemptEnd.NOT_SENT, message=error.message)

    async def _send_over(
        self, connection: UpstreamConnection, forwarder: Forwarder
    ) -> AttemptResult:
        served, context = self._served, self._context
        if self._builder is None:
            self._builder = ForwardedHeadBuilder(context.names, served.request)
        destination = VmDestination(context.names, forwarder, served.admission.service)
        attempt = ForwardedAttempt(
            served, destination, self._builder.build_rest(), self._may_take_over
        )
        served.attempt = attempt
        time_left_s = served.ends_at - self._loop.time()
        head = self._builder.build(time_left_s, served.last_event_id)
        served.progress.runs += 1
        result = await attempt.run(connection, head, served.request, served.ends_at)
        if result.end.proves_not_run or self._is_confirmed_not_run(result):
            served.progress.runs -= 1
        served.progress.answer_started = attempt.answer_started
        result.served_by = destination.served_by
        context.pool.release(connection)
        return result

    def _is_confirmed_not_run(self, result: AttemptResult) -> bool:
        """Return whether the other VM's final answer states that nothing has run."""
        if result.end is not AttemptEnd.RELAYED or result.answer is None:
            return False
        name = self._context.names.confirmed_not_run
        return find_header(result.answer[0].headers, name) is not None

    def _may_take_over(self) -> bool:
        """Return whether another VM may take over from the current one."""
        served = self._served
        if served.attempt is not None:
            served.progress.answer_started = served.attempt.answer_started
        return self._retries.judge_takeover(self._loop.time()).allows
