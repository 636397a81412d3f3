"""Parses a server's notice from response headers: leaving, or a back-off request.

Only an answer's head is needed, so a notice takes effect while the body is still being
streamed. No I/O.
"""

from __future__ import annotations

import re
import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime

from ramppin.gateway.connection.httpwire import HeaderNames, Headers, find_header
from ramppin.gateway.connection.upstream import AnswerHead
from ramppin.gateway.process.overload.brittleness import parse_tolerance

MISDIRECTED = 421
"""HTTP status of a server other than the one addressed (RFC 9110, section 15.5.20)."""

BACKOFF_STATUSES = frozenset({429, 503})
"""HTTP statuses with which ``Retry-After`` asks for a back-off. With others, such as a
redirect, it has another meaning (RFC 9110, section 10.2.3)."""

MAX_BACKOFF_S = 365 * 86_400.0
"""Maximum back-off in seconds: no process runs longer than that."""

_SECONDS = re.compile(rb"\d+(\.\d*)?|\.\d+")


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """Notice of a server in one answer.

    Attributes:
        leaving: whether the server is leaving and accepts no new requests.
        brittle: rejections a second beyond which the server falls over; 0 if it states
            none.
        backoff_s: seconds for which this VM must send nothing; 0 for no back-off.
        unreadable: a ``Retry-After`` value that can't be parsed, or empty.

    .. versionadded:: 0.3
    """

    leaving: bool = False
    backoff_s: float = 0.0
    unreadable: bytes = b""
    brittle: int = 0


NO_NOTICE = ServerNotice()


def parse_notice(
    head: AnswerHead, names: HeaderNames, wall_clock: Callable[[], float] = time.time
) -> ServerNotice:
    """Return the notice of the addressed server from the head of an answer.

    Args:
        head: status and headers.
        names: names of headers.
        wall_clock: returns Unix time in seconds, for answers without ``Date``.
    """
    if head.status == MISDIRECTED:
        # Another server has taken over the address; its headers describe itself.
        return NO_NOTICE
    leaving = find_header(head.headers, names.leaving) == b"1"
    brittle = parse_tolerance(find_header(head.headers, names.brittle))
    if head.status not in BACKOFF_STATUSES:
        is_plain = not (leaving or brittle)
        return NO_NOTICE if is_plain else ServerNotice(leaving, brittle=brittle)
    values = [v.strip() for n, v in head.headers if n.lower() == b"retry-after"]
    backoffs = [_parse_backoff_s(value, head.headers, wall_clock) for value in values]
    readable = [backoff_s for backoff_s in backoffs if backoff_s is not None]
    unreadable = [v for v, s in zip(values, backoffs, strict=True) if s is None]
    # The longest value applies: each value forbids requests for its whole duration.
    backoff_s = min(MAX_BACKOFF_S, max(readable, default=0.0))
    bad_value = unreadable[0] if unreadable else b""
    return ServerNotice(leaving, backoff_s, bad_value, brittle)


def _parse_backoff_s(
    value: bytes, headers: Headers, wall_clock: Callable[[], float]
) -> float | None:
    """Return the back-off in seconds, or None for neither a number nor a date."""
    if _SECONDS.fullmatch(value):
        return float(value)
    until = _read_date(value)
    if until is None:
        return None
    sent_at = _read_date(find_header(headers, b"date") or b"")
    return max(0.0, until - (wall_clock() if sent_at is None else sent_at))


def _read_date(value: bytes) -> float | None:
    """Return the Unix time of an HTTP date, or None if it can't be parsed."""
    try:
        date = parsedate_to_datetime(value.decode("latin-1"))
    except (ValueError, TypeError, OverflowError):
        return None
    aware = date if date.tzinfo else date.replace(tzinfo=UTC)
    return (aware - _EPOCH).total_seconds()


_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
