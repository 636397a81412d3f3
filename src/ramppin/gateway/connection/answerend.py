"""What shows that a backend server's answer has ended.

An answer states in its head how its end will show (RFC 9112, section 6.3). One without
length or chunks ends with its connection: a complete one looks like one that was cut
off, so its end is not confirmed. No I/O.
"""

from __future__ import annotations

from enum import Enum

from ramppin.gateway.connection.httpwire import Headers, find_header

NO_BODY_STATUSES = frozenset({204, 304})
"""Statuses of answers without a body."""

IDENTITY = b"identity"
"""Transfer coding of older servers for none at all (RFC 2616, section 3.6)."""


class AnswerEnd(Enum):
    """What showed the end; the value is the field ``answer_end`` of log lines."""

    NOT_SEEN = ""
    """The answer did not end, or there was none."""

    NO_BODY = "no body"
    LENGTH = "length"
    LAST_CHUNK = "last chunk"
    CLOSE = "close"
    LOST = "lost"
    """The connection ended before the end that the head stated."""

    TIMED_OUT = "timed out"
    """The server's side of the connection sent no acknowledgements."""

    MALFORMED = "malformed"
    """What arrived was no answer in the protocol."""

    @property
    def is_confirmed(self) -> bool:
        """Whether the server itself stated where the answer ends."""
        return self in _CONFIRMED


_CONFIRMED = frozenset({AnswerEnd.NO_BODY, AnswerEnd.LENGTH, AnswerEnd.LAST_CHUNK})


def find_stated_end(status: int, headers: Headers, *, is_head: bool) -> AnswerEnd:
    """Return what will show the end of an answer.

    Args:
        status: its HTTP status.
        headers: its headers as received.
        is_head: whether it answers a HEAD request.
    """
    if is_head or status in NO_BODY_STATUSES:
        return AnswerEnd.NO_BODY
    coding = find_header(headers, b"transfer-encoding")
    if coding is not None and coding.strip().lower() != IDENTITY:
        return AnswerEnd.LAST_CHUNK
    if read_length(headers) is not None:
        return AnswerEnd.LENGTH
    return AnswerEnd.CLOSE


def read_length(headers: Headers) -> int | None:
    """Return the value of ``Content-Length``, or None."""
    value = find_header(headers, b"content-length")
    return int(value) if value is not None and value.isdigit() else None
