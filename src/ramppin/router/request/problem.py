"""Error responses: OpenAI's format for chats, RFC 9457 for other services."""

from __future__ import annotations

import json
import math

from starlette.responses import Response

from ramppin.errors import RefusedError

OUTCOME_HEADER = "Ramppin-Outcome"
REQUEST_HEADER = "Ramppin-Request-Id"
VERSION_HEADER = "Ramppin-Version"
SERVER_HEADER = "Ramppin-Backend-Server"


def build_headers(request_id: str, version: int, outcome: str) -> dict[str, str]:
    """Return the headers that are part of every answer and error response."""
    return {
        REQUEST_HEADER: request_id,
        VERSION_HEADER: str(version),
        OUTCOME_HEADER: outcome,
    }


def build_chat_error(error: RefusedError, headers: dict[str, str]) -> Response:
    """Return an error response in the format that OpenAI clients parse."""
    kind = "rate_limit_error" if error.status == 429 else "server_error"
    if 400 <= error.status < 429:
        kind = "invalid_request_error"
    body = {
        "error": {
            "message": error.message,
            "type": kind,
            "code": error.code,
            "param": None,
            "step": error.step,
            "peer": error.peer,
            "hint": error.hint,
        }
    }
    return _build(error, body, "application/json", headers)


def build_problem(error: RefusedError, headers: dict[str, str]) -> Response:
    """Return an error response as a problem document (RFC 9457)."""
    body = {
        "type": f"urn:ramppin:{error.code}",
        "title": error.message,
        "status": error.status,
        "code": error.code,
        "step": error.step,
        "peer": error.peer,
        "hint": error.hint,
    }
    return _build(error, body, "application/problem+json", headers)


def _build(
    error: RefusedError, body: object, media_type: str, headers: dict[str, str]
) -> Response:
    retry_after = str(max(1, math.ceil(error.retry_after)))
    extra = headers | {"Retry-After": retry_after, "Ramppin-Outcome": error.outcome}
    return Response(json.dumps(body), error.status, extra, media_type)
