"""Classifies the answers of backend servers.

A success is accepted only with the server's signature header and without a content
coding; otherwise an intermediary could have sent it. A server that did not run a
request marks its answer with a header, or sends ``421`` if it is not the one addressed.
Pure.
"""

from __future__ import annotations

from enum import Enum

from ramppin.gateway.connection.httpwire import HeaderNames, find_header
from ramppin.gateway.connection.upstream import AnswerHead
from ramppin.gateway.process.membership.health import Outcome
from ramppin.gateway.request.result import AttemptEnd
from ramppin.gateway.request.servernotice import MISDIRECTED

NOT_RUN_STATUSES = frozenset({400, 408, 421, 425, 429, 503})
"""HTTP statuses with which a server may state that it did not run a request."""


class AnswerKind(Enum):
    """Class of an answer."""

    SUCCESS = "success with the server's signature"
    UNSIGNED = "success without the server's signature or with a content coding"
    REJECTED = "the server did not run the request"
    MISDIRECTED = "the server is not the one addressed"
    CLIENT_ERROR = "the request is invalid"
    SERVER_ERROR = "the server failed"
    FORWARD_REFUSED = "another VM did not forward the request"
    RELAYED = "another VM gave the final answer"

    @property
    def end(self) -> AttemptEnd:
        """How the attempt ends."""
        return _ENDS[self]

    @property
    def outcome(self) -> Outcome:
        """Outcome to record for the server's health."""
        return _OUTCOMES[self]


_ENDS = {
    AnswerKind.SUCCESS: AttemptEnd.DELIVERED,
    AnswerKind.UNSIGNED: AttemptEnd.FAILED,
    AnswerKind.REJECTED: AttemptEnd.REJECTED,
    AnswerKind.MISDIRECTED: AttemptEnd.REJECTED,
    AnswerKind.CLIENT_ERROR: AttemptEnd.FAILED,
    AnswerKind.SERVER_ERROR: AttemptEnd.FAILED,
    AnswerKind.FORWARD_REFUSED: AttemptEnd.NOT_SENT,
    AnswerKind.RELAYED: AttemptEnd.RELAYED,
}

_OUTCOMES = {
    AnswerKind.SUCCESS: Outcome.ANSWERED,
    AnswerKind.UNSIGNED: Outcome.FAILED,
    AnswerKind.REJECTED: Outcome.REJECTED,
    AnswerKind.MISDIRECTED: Outcome.UNREACHABLE,
    AnswerKind.CLIENT_ERROR: Outcome.ANSWERED,
    AnswerKind.SERVER_ERROR: Outcome.FAILED,
    AnswerKind.FORWARD_REFUSED: Outcome.REJECTED,
    AnswerKind.RELAYED: Outcome.ANSWERED,
}


def judge_forwarded_answer(head: AnswerHead, names: HeaderNames) -> AnswerKind:
    """Return the class of another VM's answer to a forwarded request.

    Args:
        head: status and headers.
        names: configured header names.
    """
    if find_header(head.headers, names.forward_refused) is not None:
        return AnswerKind.FORWARD_REFUSED
    if 200 <= head.status < 300:
        return judge_answer(head, names)
    return AnswerKind.RELAYED


def judge_answer(head: AnswerHead, names: HeaderNames) -> AnswerKind:
    """Return the class of an answer.

    Args:
        head: status and headers.
        names: configured header names.
    """
    if 200 <= head.status < 300:
        is_own = find_header(head.headers, names.signature) is not None
        is_coded = find_header(head.headers, b"content-encoding") is not None
        return AnswerKind.SUCCESS if is_own and not is_coded else AnswerKind.UNSIGNED
    if head.status == MISDIRECTED:
        return AnswerKind.MISDIRECTED
    is_marked = find_header(head.headers, names.not_run) is not None
    if is_marked and head.status in NOT_RUN_STATUSES:
        return AnswerKind.REJECTED
    is_server_error = head.status >= 500
    return AnswerKind.SERVER_ERROR if is_server_error else AnswerKind.CLIENT_ERROR
