"""Requests to services other than chat, and helpers for their answers."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass

from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response

from ramppin.errors import (
    BrokenAnswerError,
)
from ramppin.router.connection.backends import (
    BackendAnswer,
    BackendRequest,
    filter_headers,
)
from ramppin.router.request.answer import StreamedAnswer
from ramppin.router.request.outcome import Outcome
from ramppin.router.request.problem import SERVER_HEADER, build_headers
from ramppin.router.request.run import RequestRun, SentAttempt

COOKIE_HEADER = "set-cookie"


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's request to a service, parsed from HTTP.

    Attributes:
        method: the HTTP method.
        path: path and query relative to the service.
        headers: the headers to forward to the backend server.
        key: the caller's ``Idempotency-Key``, or ``""``.
        issued: time at which the key was issued; None if there is no key or no time.
    """

    method: str
    path: str
    headers: dict[str, str]
    key: str = ""
    issued: float | None = None


class CallRun:
    """Sends a call without an idempotency key once and streams the answer back.

    Args:
        run: state of the request.
        call: the call to forward.
        request: the caller's HTTP request, from which the body is streamed.

    .. versionadded:: 0.1
    """

    def __init__(self, run: RequestRun, call: Call, request: Request) -> None:
        self._run = run
        self._call = call
        self._request = request
        self._outcome = Outcome.UNKNOWN
        self._complete = False
        self._failed = False

    async def answer(self) -> Response:
        """Return the answer as a stream.

        Raises:
            RefusedError: no backend server answered.
        """
        sent = await self._run.send(self._build_request)
        headers = build_answer_headers(self._run, sent)
        response = StreamedAnswer(
            self._relay(sent),
            sent.answer.status,
            headers,
            on_close=lambda: self._close(sent),
        )
        add_cookies(response, list_cookies(sent.answer))
        return response

    def _build_request(self, server: str, attempt: str) -> BackendRequest:
        call = self._call
        has_body = any(
            name in self._request.headers
            for name in ("content-length", "transfer-encoding")
        )
        return BackendRequest(
            call.method,
            call.path,
            call.headers | {"X-Request-Id": attempt},
            self._stream_body() if has_body else None,
            self._run.remaining_s,
            fresh=not self._run.policy.repeatable,
        )

    async def _stream_body(self) -> AsyncIterator[bytes]:
        try:
            async for part in self._request.stream():
                if part:
                    yield part
        except ClientDisconnect as error:
            raise ConnectionResetError("the caller went away") from error

    async def _relay(self, sent: SentAttempt) -> AsyncIterator[bytes]:
        try:
            async for part in sent.answer.iter_parts():
                yield part
            self._outcome = classify_answer(sent.answer)
            self._complete = True
        except BrokenAnswerError as error:
            self._failed = True
            self._run.note("relay", f"broken: {error.message}", peer=error.peer)
            raise

    def _close(self, sent: SentAttempt) -> None:
        sent.answer.close()
        self._run.free(sent.place, failed=self._failed, running=not self._complete)
        self._run.finish(self._outcome)


def list_cookies(answer: BackendAnswer) -> list[str]:
    """Return the values of ``Set-Cookie``, the only header kept as several fields."""
    return answer.headers.getall(COOKIE_HEADER, [])


def add_cookies(response: Response, cookies: Iterable[str]) -> None:
    """Add each cookie as a separate header field (RFC 6265, section 3)."""
    for cookie in cookies:
        response.headers.append(COOKIE_HEADER, cookie)


def classify_status(status: int) -> Outcome:
    """Return the outcome of a completely answered request; 5xx gives ``UNKNOWN``."""
    return Outcome.RAN if status < 500 else Outcome.UNKNOWN


def classify_answer(answer: BackendAnswer) -> Outcome:
    """Return the outcome of an answer; ``UNKNOWN`` if nothing shows its end."""
    return classify_status(answer.status) if answer.is_framed else Outcome.UNKNOWN


def build_answer_headers(run: RequestRun, sent: SentAttempt) -> dict[str, str]:
    """Return the headers of a backend server's answer for the caller."""
    answer = sent.answer
    headers = filter_headers(answer.headers, "date", "server", COOKIE_HEADER)
    headers |= build_headers(run.id, run.settings.version, classify_answer(answer))
    headers[SERVER_HEADER] = sent.place.grant.backend_server
    return headers
