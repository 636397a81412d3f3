"""What answers an attempt, and what this VM learns about it from the answer.

An attempt passes what it observes to its destination: when bytes were sent and
received, the answer's head, and how it ended. The destination classifies the answer and
updates the state from which later requests are routed.
"""

from __future__ import annotations

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable

from ramppin.gateway.connection.httpwire import HeaderNames, Headers, find_header
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.connection.upstream import AnswerHead
from ramppin.gateway.process.load.speed import MAX_PERCENT, MIN_PERCENT, parse_speed
from ramppin.gateway.process.membership.health import Outcome
from ramppin.gateway.process.routing.serverstate import ServerState
from ramppin.gateway.request.answerkind import AnswerKind, judge_answer
from ramppin.gateway.request.servernotice import ServerNotice, parse_notice
from ramppin.gateway.request.speedsamples import count_learned_tokens

SPEED_INDEX = 3
"""Position of the speed in a load report."""

LOG = logging.getLogger(__name__)


class Destination(ABC):
    """Receives the observations of attempts at one peer.

    Each method takes the event-loop time ``now``; ``attempt`` identifies the attempt.

    Args:
        names: configured header names.
    """

    def __init__(self, names: HeaderNames) -> None:
        self._names = names

    @abstractmethod
    def judge(self, head: AnswerHead) -> AnswerKind:
        """Return the class of an answer."""

    @abstractmethod
    def is_stalled(self, received_at: float, now: float) -> bool:
        """Return whether an attempt waits for a peer that is unresponsive.

        Args:
            received_at: event-loop time of the attempt's last byte, or of its start.
            now: event-loop time.
        """

    @abstractmethod
    def note_sent(self, attempt: object, request: CallerRequest, now: float) -> None:
        """Record that the request is sent."""

    @abstractmethod
    def note_received(self, now: float, *, due: bool) -> None:
        """Record that data arrived, or that none is expected any more.

        Args:
            now: event-loop time.
            due: whether more data of the answer is expected.
        """

    @abstractmethod
    def note_outcome(self, outcome: Outcome, now: float) -> None:
        """Record the outcome of the attempt."""

    @abstractmethod
    def note_unanswered(self, now: float) -> None:
        """Record that the attempt is given up without an answer."""

    @abstractmethod
    def note_bytes(self, attempt: object, now: float) -> None:
        """Record that bytes of the answer arrived."""

    @abstractmethod
    def note_paused(self, attempt: object) -> None:
        """Record that this VM stopped reading the answer."""

    @abstractmethod
    def note_resumed(self, attempt: object, received_at: float) -> None:
        """Record that this VM reads the answer again."""

    def note_notice(self, head: AnswerHead) -> ServerNotice:
        """Record the notice in a head, even if it answers another request.

        A late answer to an earlier request comes from the same server.
        """
        return parse_notice(head, self._names)

    @abstractmethod
    def note_head(
        self, head: AnswerHead, kind: AnswerKind, wait_s: float, now: float
    ) -> None:
        """Record the head of the answer to this attempt.

        Args:
            head: the head.
            kind: its class.
            wait_s: seconds since the request was sent.
            now: event-loop time.
        """

    @abstractmethod
    def note_pause(self, pause_s: float | None, now: float) -> None:
        """Record that a piece of a stream arrived.

        Args:
            pause_s: seconds since the piece before; None for the first.
            now: event-loop time.
        """

    @abstractmethod
    def note_success(self, now: float) -> None:
        """Record that a successful answer is complete."""

    @abstractmethod
    def note_ended(self, attempt: object, now: float) -> None:
        """Record that the attempt has ended, answered or not."""


class ServerDestination(Destination):
    """A backend server that this VM reaches directly; used for one attempt.

    Args:
        names: configured header names.
        state: the server.
        note_notice: called with the server's notice when an answer's head arrives.
        note_load: called with the slots that a load report states, after the report
            was recorded; None if nothing follows.
        note_answered: called when an answer's head arrives.

    .. versionadded:: 0.5
    """

    def __init__(
        self,
        names: HeaderNames,
        state: ServerState,
        *,
        note_notice: Callable[[ServerNotice], None],
        note_load: Callable[[int | None], None] | None = None,
        note_answered: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__(names)
        self._state = state
        self._apply_notice = note_notice
        self._note_load_change = note_load
        self._note_answered = note_answered
        self._learned_tokens: int | None = None
        self._pause_sum_s = 0.0
        self._pause_count = 0
        self._has_piece = False

    def judge(self, head: AnswerHead) -> AnswerKind:
        """Return the class of the server's answer."""
        return judge_answer(head, self._names)

    def is_stalled(self, received_at: float, now: float) -> bool:
        """Return whether the server is unresponsive or has restarted."""
        state = self._state
        return state.restarted or state.health.is_stalled(received_at, now)

    def note_sent(self, attempt: object, request: CallerRequest, now: float) -> None:
        """Record the request as waiting for the server."""
        self._state.waiting.note_sent(attempt, now)
        self._learned_tokens = count_learned_tokens(
            request, self._names, self._state, now
        )

    def note_received(self, now: float, *, due: bool) -> None:
        """Record in the server's health that data arrived, or that none is due."""
        awaited = due or self._state.in_flight > 1
        self._state.health.note_received(now, awaited=awaited)

    def note_outcome(self, outcome: Outcome, now: float) -> None:
        """Record the outcome in the server's health."""
        self._state.health.note_outcome(outcome, now)

    def note_unanswered(self, now: float) -> None:
        """Record a failure if the server is unresponsive."""
        self._state.health.note_unanswered(now)

    def note_bytes(self, attempt: object, now: float) -> None:
        """Record that the server answers the request."""
        self._state.waiting.note_bytes(attempt, now)

    def note_paused(self, attempt: object) -> None:
        """Stop counting the request as waiting."""
        self._state.waiting.note_paused(attempt)

    def note_resumed(self, attempt: object, received_at: float) -> None:
        """Count the request as waiting again."""
        self._state.waiting.note_sent(attempt, received_at)

    def note_notice(self, head: AnswerHead) -> ServerNotice:
        """Record the server's notice, and warn of an unreadable one."""
        notice = super().note_notice(head)
        self._apply_notice(notice)
        if notice.unreadable:
            LOG.warning(
                "Retry-After is neither seconds nor a date and is ignored: %.40r",
                notice.unreadable,
                extra={"peer": self._state.server.name, "step": "answer"},
            )
        return notice

    def note_head(
        self, head: AnswerHead, kind: AnswerKind, wait_s: float, now: float
    ) -> None:
        """Learn the server's load and speed."""
        self._note_answered()
        self._state.times.wait.note(wait_s)
        self._note_load(head.headers, now)
        if kind is AnswerKind.SUCCESS and self._learned_tokens is not None:
            self._state.speed.note_wait(wait_s, self._learned_tokens, now)

    def note_pause(self, pause_s: float | None, now: float) -> None:
        """Learn the server's speed from a pause of a stream."""
        if self._learned_tokens is None:
            return
        # The pause before its first piece may be another server's.
        if pause_s is not None and self._has_piece and self._state.speed.may_learn(now):
            self._pause_sum_s += pause_s
            self._pause_count += 1
        self._has_piece = True

    def note_success(self, now: float) -> None:
        """Record the mean pause of the stream."""
        if self._pause_count:
            mean_s = self._pause_sum_s / self._pause_count
            self._state.speed.note_pauses(mean_s, now)

    def note_ended(self, attempt: object, now: float) -> None:
        """Record that the request no longer waits."""
        self._state.note_ended(attempt, now)

    def _note_load(self, headers: Headers, now: float) -> None:
        """Record the load that an answer reports, ``RUNNING,WAITING,SLOTS[,SPEED]``."""
        report = find_header(headers, self._names.load)
        if report is None:
            return
        numbers = report.split(b",")
        if len(numbers) >= 2 and numbers[0].isdigit() and numbers[1].isdigit():
            self._state.note_load(int(numbers[0]), int(numbers[1]), now)
            if len(numbers) > SPEED_INDEX:
                self._note_speed(numbers[SPEED_INDEX], now)
            if self._note_load_change is not None:
                self._note_load_change(_parse_slots(numbers))
            return
        LOG.warning(
            "a load report is not RUNNING,WAITING and is ignored: %.40r",
            report,
            extra={"peer": self._state.server.name, "step": "answer"},
        )

    def _note_speed(self, figure: bytes, now: float) -> None:
        """Record the speed in a load report; ignore a malformed one."""
        percent = parse_speed(figure)
        if percent is not None:
            self._state.speed.note_report(percent, now)
            return
        LOG.warning(
            "a server's speed is not a number from %d to %d and is ignored: %.40r",
            MIN_PERCENT,
            MAX_PERCENT,
            figure,
            extra={"peer": self._state.server.name, "step": "answer"},
        )


def _parse_slots(numbers: list[bytes]) -> int | None:
    """Return the slots of a load report; None if it states none or is malformed."""
    try:
        return int(numbers[2]) if len(numbers) > 2 else None
    except ValueError:
        return None
