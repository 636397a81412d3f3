"""What became of one attempt of a request; the rules of :mod:`retry` read it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ramppin.gateway.connection.upstream import AnswerHead
from ramppin.gateway.request.servernotice import NO_NOTICE, ServerNotice


class AttemptEnd(Enum):
    """How an attempt ended; the value is the field ``end`` of its log line."""

    DELIVERED = "delivered"
    """The caller has the whole answer."""

    REJECTED = "rejected"
    """The server says that it did not run the request."""

    FAILED = "failed"
    """The server answered with a failure, or its answer ended early."""

    NOT_SENT = "not sent"
    """No byte of the request left for the server."""

    TIMED_OUT = "timed out"
    """The request's time was over before the answer was."""

    CALLER_DISCONNECTED = "caller left"
    """The caller closed its connection."""


@dataclass(slots=True)
class AttemptResult:
    """What became of an attempt.

    Attributes:
        end: how it ended.
        status: the server's HTTP status; 0 if there was none.
        answer: head and body of a whole answer that was not passed on.
        last_event_id: the last event that the caller got, or None.
        message: what was wrong, for the log.
        first_byte_at: the loop's time at which the caller got the first byte.
        lost: whether the connection ended before the answer did, or the server is
            known to have ended.
        notice: what the server said of itself.
    """

    end: AttemptEnd
    status: int = 0
    answer: tuple[AnswerHead, bytes] | None = None
    last_event_id: bytes | None = None
    message: str = ""
    first_byte_at: float | None = None
    lost: bool = False
    notice: ServerNotice = NO_NOTICE
