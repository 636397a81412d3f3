"""Result of one attempt, which is the input to the rules in :mod:`~.retry`."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ramppin.gateway.connection.answerend import AnswerEnd
from ramppin.gateway.connection.upstream import AnswerHead
from ramppin.gateway.request.servernotice import NO_NOTICE, ServerNotice


class AttemptEnd(Enum):
    """How an attempt ended; the value is the field ``end`` of its log line."""

    DELIVERED = "delivered"
    """The complete answer was sent to the caller."""

    REJECTED = "rejected"
    """The server stated that it did not run the request."""

    FAILED = "failed"
    """The server answered with an error, or its answer was incomplete."""

    RELAYED = "relayed"
    """Another VM gave the final answer, which is relayed."""

    NOT_SENT = "not sent"
    """No byte of the request was sent to the server."""

    TIMED_OUT = "timed out"
    """The request's time limit expired before the answer was complete."""

    CALLER_DISCONNECTED = "caller left"
    """The caller closed its connection."""

    STOPPED = "stopped"
    """The gateway process stopped."""

    @property
    def proves_not_run(self) -> bool:
        """Whether the request has certainly not run in this attempt."""
        return self in (AttemptEnd.REJECTED, AttemptEnd.NOT_SENT)


@dataclass(slots=True)
class AttemptResult:
    """Result of an attempt.

    Attributes:
        end: how the attempt ended.
        status: HTTP status of the server's answer; 0 if there was none.
        answer_end: what showed the end of the answer.
        answer: head and body of a complete answer that was not forwarded.
        last_event_id: ID of the last event sent to the caller, or None.
        message: description of the failure, for the log.
        first_byte_at: event-loop time at which the first byte was sent to the caller.
        longest_pause_s: longest pause between pieces of the stream so far in seconds;
            None with fewer than two pieces.
        lost: whether the connection was lost before the answer was complete, or the
            server is known to have terminated.
        is_checked: whether the server was checked after the answer had ended.
        notice: the server's notice about itself.
        served_by: the server that answered a forwarded request, or empty.
    """

    end: AttemptEnd
    status: int = 0
    answer_end: AnswerEnd = AnswerEnd.NOT_SEEN
    answer: tuple[AnswerHead, bytes] | None = None
    last_event_id: bytes | None = None
    message: str = ""
    first_byte_at: float | None = None
    longest_pause_s: float | None = None
    lost: bool = False
    is_checked: bool = False
    notice: ServerNotice = NO_NOTICE
    served_by: str = ""
