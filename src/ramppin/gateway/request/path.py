"""A path on which the attempts of one request are made, and the request's state.

An exchange makes one attempt after another and asks a path where each one goes. The
rules that allow an attempt (:mod:`~.retry`) are the same for all paths.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ramppin.gateway.connection.callerwire import CallerConnection
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.process.routing.streamorigins import StreamOrigin, hash_stream
from ramppin.gateway.request.admission import Admission
from ramppin.gateway.request.attempt import Attempt
from ramppin.gateway.request.queueing import Queueing
from ramppin.gateway.request.report import RequestReport
from ramppin.gateway.request.result import AttemptResult
from ramppin.gateway.request.retry import Progress, Verdict


@dataclass(slots=True)
class ServedRequest:
    """An admitted request and how far it is.

    Attributes:
        context: state shared by all exchanges.
        connection: the caller's connection.
        request: the caller's request.
        request_id: its id, or empty.
        admission: result of its admission.
        report: writes its lines.
        progress: attempts made so far.
        ends_at: event-loop time at which its time limit expires.
        queueing: its turn under overload control; None without it.
        attempt: the attempt in progress, or the last one.
        disconnected: whether the caller has disconnected.
        last_server: name of the last server or VM tried, or empty.
        last_event_id: id of the last event sent to the caller, or None.
        is_forwarded: whether another VM passed it on.
        unreached: attempts over the direct path that sent no byte.
        origin: where its stream began, whose build alone may continue it; None while
            any server may serve it.
    """

    context: GatewayContext
    connection: CallerConnection
    request: CallerRequest
    request_id: bytes
    admission: Admission
    report: RequestReport
    progress: Progress
    ends_at: float
    queueing: Queueing | None = None
    attempt: Attempt | None = None
    disconnected: bool = False
    last_server: str = ""
    last_event_id: bytes | None = None
    is_forwarded: bool = False
    unreached: int = 0
    origin: StreamOrigin | None = None

    @property
    def stream_key(self) -> int:
        """Key of the stream that the request begins or takes up."""
        customer = self.admission.customer
        began_as = self.request.find(self.context.names.continues)
        return hash_stream(
            customer.name if customer else "", began_as or self.request_id
        )


class Path(ABC):
    """Where the attempts of one request go."""

    @abstractmethod
    def select(self, now: float) -> Verdict:
        """Select where the next attempt goes; return why there is nowhere to go."""

    @abstractmethod
    async def send(self) -> AttemptResult:
        """Make the attempt that was selected last."""

    @abstractmethod
    def note_result(self, result: AttemptResult, started: float, now: float) -> None:
        """Record how the attempt ended.

        Args:
            result: its result.
            started: event-loop time at which it started.
            now: event-loop time.
        """

    @abstractmethod
    def report(
        self, result: AttemptResult, now: float, verdict: Verdict | None = None
    ) -> None:
        """Log and count the attempt.

        Args:
            result: its result.
            now: event-loop time.
            verdict: the rule that allowed or forbade a retry; None if the answer was
                delivered or the caller disconnected.
        """
