"""Parsing of a caller's request headers."""

from __future__ import annotations

from starlette.requests import Request

from ramppin.errors import RefusedError
from ramppin.router.connection.backends import filter_headers
from ramppin.router.process.claims.claims import read_issue_time
from ramppin.router.request.call import Call
from ramppin.router.request.problem import VERSION_HEADER

PRIVATE_HEADERS = ("authorization", "host", "content-length", "idempotency-key")
"""Headers of a caller that are not forwarded to the backend server unchanged."""


def build_call(request: Request, path: str) -> Call:
    """Build the call for a caller's request.

    Args:
        request: the caller's HTTP request.
        path: its path relative to the service.

    Raises:
        RefusedError: a header is invalid; the message names it.
    """
    key = request.headers.get("idempotency-key", "")
    query = f"?{request.url.query}" if request.url.query else ""
    headers = filter_headers(request.headers, *PRIVATE_HEADERS, VERSION_HEADER.lower())
    return Call(
        request.method,
        path + query,
        headers,
        key,
        _read_issued(request, key) if key else None,
    )


def _read_issued(request: Request, key: str) -> float | None:
    text = request.headers.get("idempotency-key-issued", "")
    if not text:
        return read_issue_time(key)
    try:
        return float(text)
    except ValueError as error:
        raise RefusedError(
            f"Idempotency-Key-Issued: {text!r} is no time",
            status=400,
            code="bad_request",
            step="claim",
            hint="seconds since 1970, for instance 1764668400",
        ) from error


def read_deadline(request: Request) -> float | None:
    """Return the caller's deadline in seconds from now, or None if it sets none.

    Raises:
        RefusedError: the header is not a number of seconds in the allowed range.
    """
    text = request.headers.get("ramppin-deadline", "")
    if not text:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < 86_400:
        raise RefusedError(
            f"Ramppin-Deadline: {text!r} is no time",
            status=400,
            code="bad_request",
            step="admit",
            hint="seconds from now, for instance 30",
        )
    return seconds
