"""What a server says of itself in an answer: that it leaves, that it wants rest.

Read from the head, so that it is known while the rest of a stream still comes. No I/O.
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

MISDIRECTED = 421
"""HTTP status of a server that is not the one addressed (RFC 9110, section
15.5.20)."""

BACKOFF_STATUSES = frozenset({429, 503})
"""HTTP statuses with which ``Retry-After`` asks for rest; with others it says when a
resource has moved (RFC 9110, section 10.2.3)."""

MAX_BACKOFF_S = 365 * 86_400.0
"""Seconds of the longest rest: no process runs for longer."""

_SECONDS = re.compile(rb"\d+(\.\d*)?|\.\d+")


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What one answer says of its server.

    Attributes:
        leaving: whether the server leaves, and takes nothing new.
        backoff_s: seconds for which this VM must send nothing; 0 if it sets none.
        unreadable: a time of rest that can't be read, or empty.

    .. versionadded:: 0.3
    """

    leaving: bool = False
    backoff_s: float = 0.0
    unreadable: bytes = b""


NO_NOTICE = ServerNotice()


def parse_notice(
    head: AnswerHead, names: HeaderNames, wall_clock: Callable[[], float] = time.time
) -> ServerNotice:
    """Return what the head of an answer says of the server that was addressed.

    Args:
        head: status and headers.
        names: names of headers.
        wall_clock: returns Unix time in seconds, for answers that do not tell theirs.
    """
    if head.status == MISDIRECTED:
        # Another server has the address now: it speaks of itself.
        return NO_NOTICE
    leaving = find_header(head.headers, names.leaving) == b"1"
    if head.status not in BACKOFF_STATUSES:
        return ServerNotice(leaving) if leaving else NO_NOTICE
    values = [v.strip() for n, v in head.headers if n.lower() == b"retry-after"]
    backoffs = [_parse_backoff_s(value, head.headers, wall_clock) for value in values]
    readable = [backoff_s for backoff_s in backoffs if backoff_s is not None]
    unreadable = [v for v, s in zip(values, backoffs, strict=True) if s is None]
    # Of several the longest: what a shorter one allows, the longer one forbids.
    backoff_s = min(MAX_BACKOFF_S, max(readable, default=0.0))
    return ServerNotice(leaving, backoff_s, unreadable[0] if unreadable else b"")


def _parse_backoff_s(
    value: bytes, headers: Headers, wall_clock: Callable[[], float]
) -> float | None:
    """Return seconds of rest, from a number or a date; None if it is neither."""
    if _SECONDS.fullmatch(value):
        return float(value)
    until = _read_date(value)
    if until is None:
        return None
    sent_at = _read_date(find_header(headers, b"date") or b"")
    return max(0.0, until - (wall_clock() if sent_at is None else sent_at))


def _read_date(value: bytes) -> float | None:
    """Return the Unix time of a date as HTTP writes it, or None."""
    try:
        date = parsedate_to_datetime(value.decode("latin-1"))
    except (ValueError, TypeError, OverflowError):
        return None
    aware = date if date.tzinfo else date.replace(tzinfo=UTC)
    return (aware - _EPOCH).total_seconds()


_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
