"""Requests of chats to model engines, with streamed or unstreamed answers."""

from __future__ import annotations

from collections.abc import AsyncIterator

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from starlette.responses import Response

from ramppin.errors import BrokenAnswerError, NotSentError, RamppinError, RefusedError
from ramppin.router.connection.backends import BackendAnswer, BackendRequest
from ramppin.router.request.answer import StreamedAnswer
from ramppin.router.request.identity import hash_chat, hash_opening
from ramppin.router.request.outcome import Outcome
from ramppin.router.request.problem import SERVER_HEADER, build_headers
from ramppin.router.request.run import RequestRun, SentAttempt
from ramppin.router.request.stream import EventRelay, StreamId, build_error_event

MAX_RESUMES = 2
"""Maximum number of times that a broken stream is resumed from its engine."""

COMPLETIONS_PATH = "/v1/chat/completions"


class ChatMessage(BaseModel):
    """One message of a chat, with the fields that routing uses."""

    model_config = ConfigDict(extra="allow")

    role: str
    content: object = ""


class ChatBody(BaseModel):
    """Body of a chat's request, with the fields that routing uses."""

    model_config = ConfigDict(extra="allow")

    model: str
    messages: list[ChatMessage] = Field(min_length=1)
    stream: bool = False
    prompt_cache_key: str | None = None


def parse_chat(data: bytes) -> ChatBody:
    """Parse the body of a chat's request.

    Raises:
        RefusedError: the body is invalid; the message names the first invalid field.
    """
    try:
        return ChatBody.model_validate_json(data)
    except ValidationError as error:
        first = error.errors()[0]
        path = ".".join(str(part) for part in first["loc"]) or "body"
        raise RefusedError(
            f"{path}: {first['msg']}", status=400, code="bad_request", step="parse"
        ) from error


def identify_chat(body: ChatBody, name: str, customer: str) -> int:
    """Return the key of a chat.

    Args:
        body: the parsed body.
        name: name of the chat from the request header, or ``""``.
        customer: the customer that owns the chat.
    """
    name = name or body.prompt_cache_key or ""
    if name:
        return hash_chat(customer, name)
    return hash_opening(customer, [str(m.content) for m in body.messages])


def is_returning(body: ChatBody) -> bool:
    """Return whether an earlier request of the chat was answered."""
    return any(message.role == "assistant" for message in body.messages)


class ChatRun:
    """Sends one request of a chat to an engine and returns its answer.

    Args:
        run: state of the request.
        body: the parsed body.
        data: the body as received; it is sent to the engine unchanged.
        chat: key of the chat.
        resumable: whether the stream continues if the caller disconnects.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        run: RequestRun,
        body: ChatBody,
        data: bytes,
        chat: int,
        *,
        resumable: bool,
    ) -> None:
        self._run = run
        self._body = body
        self._data = data
        self._chat = chat
        self._resumable = resumable
        self._failed = False

    async def answer(self) -> Response:
        """Return the answer, streamed if the caller asked for a stream.

        Raises:
            RefusedError: no engine answered, or the answer was lost.
        """
        returning = is_returning(self._body)
        sent = await self._run.send(
            self._build_request, chat=self._chat, returning=returning
        )
        if self._body.stream and sent.answer.status == 200:
            return self._answer_streamed(sent)
        return await self._answer_unstreamed(sent)

    def _build_request(self, server: str, attempt: str) -> BackendRequest:
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": attempt,
            "X-Priority": str(self._run.policy.priority),
            "Ramppin-Chat": f"{self._chat:016x}",
        }
        return BackendRequest(
            "POST", COMPLETIONS_PATH, headers, self._data, self._run.remaining_s
        )

    async def _answer_unstreamed(self, sent: SentAttempt) -> Response:
        run = self._run
        try:
            content = await sent.answer.read()
        except BrokenAnswerError as error:
            run.free(sent.place, failed=True, running=True)
            raise RefusedError.from_broken_answer(
                error, "the answer ended before it was whole"
            ) from error
        except BaseException:
            sent.answer.close()
            self._cancel(sent)
            raise
        run.free(sent.place)
        outcome = Outcome.RAN if sent.answer.status < 500 else Outcome.UNKNOWN
        run.finish(outcome)
        return Response(
            content,
            sent.answer.status,
            self._build_headers(sent, outcome),
            sent.answer.headers.get("Content-Type"),
        )

    def _answer_streamed(self, sent: SentAttempt) -> Response:
        run = self._run
        headers = self._build_headers(sent, Outcome.RAN)
        headers["Cache-Control"] = "no-cache"
        stream = StreamId(sent.place.grant.backend_server, sent.attempt)
        relay = EventRelay(stream, run.context.fleet_key, run.customer)
        return StreamedAnswer(
            self._relay(sent, relay, stream),
            200,
            headers,
            media_type="text/event-stream",
            on_close=lambda: self._close(sent, relay),
        )

    async def _relay(
        self, sent: SentAttempt, relay: EventRelay, stream: StreamId
    ) -> AsyncIterator[bytes]:
        try:
            async for part in relay_with_resume(self._run, relay, sent):
                yield part
        except BrokenAnswerError as error:
            self._failed = True
            self._run.note("relay", f"broken: {error.message}", peer=error.peer)
            yield _build_broken_event(self._run, stream, relay)
            raise

    def _close(self, sent: SentAttempt, relay: EventRelay) -> None:
        sent.answer.close()
        if relay.complete:
            self._run.free(sent.place)
        elif self._failed or self._resumable:
            # The engine continues the stream, so that it can be resumed.
            self._run.free(sent.place, failed=self._failed, running=True)
        else:
            self._cancel(sent)
        self._run.finish(Outcome.RAN if relay.complete else Outcome.UNKNOWN)

    def _cancel(self, sent: SentAttempt) -> None:
        run = self._run
        run.note("cancel", "the caller is gone", peer=sent.answer.server)
        run.context.spawn(_cancel_stream(run, sent))

    def _build_headers(self, sent: SentAttempt, outcome: Outcome) -> dict[str, str]:
        run = self._run
        headers = build_headers(run.id, run.settings.version, outcome)
        headers[SERVER_HEADER] = sent.place.grant.backend_server
        return headers


async def relay_with_resume(
    run: RequestRun, relay: EventRelay, sent: SentAttempt
) -> AsyncIterator[bytes]:
    """Yield the events of a stream; resume it from its engine if it breaks.

    Raises:
        BrokenAnswerError: the stream could not be resumed.
    """
    answer = sent.answer
    for attempt in range(MAX_RESUMES + 1):
        try:
            async for part in relay.relay(answer):
                yield part
            return
        except BrokenAnswerError as error:
            if attempt == MAX_RESUMES or run.remaining_s <= 0:
                raise
            run.note("resume", f"broken: {error.message}", peer=error.peer)
        answer.close()
        answer = await open_stream(
            run, answer.server, sent.address, sent.attempt, relay.position
        )


async def open_stream(
    run: RequestRun, server: str, address: str, stream: str, position: int
) -> BackendAnswer:
    """Request the events of a stream after a position from its engine.

    Raises:
        BrokenAnswerError: the engine is unreachable or no longer has the stream.
    """
    path = f"/v1/streams/{stream}?after={position}"
    request = BackendRequest("GET", path, {}, None, run.remaining_s)
    try:
        answer = await run.context.backends.send(server, address, request)
    except NotSentError as error:
        raise BrokenAnswerError(error.message, step="resume", peer=server) from error
    if answer.status != 200:
        answer.close()
        raise BrokenAnswerError(f"status {answer.status}", step="resume", peer=server)
    return answer


class ResumedRun:
    """Resumes a stream after its caller reconnected.

    Args:
        run: state of the request.
        stream: identity of the stream and the caller's position in it.
        address: address of the engine.
    """

    def __init__(self, run: RequestRun, stream: StreamId, address: str) -> None:
        self._run = run
        self._stream = stream
        self._address = address

    async def answer(self) -> Response:
        """Return the rest of the stream.

        Raises:
            RefusedError: the stream cannot be resumed.
        """
        run, stream = self._run, self._stream
        try:
            answer = await open_stream(
                run,
                stream.backend_server,
                self._address,
                stream.stream,
                stream.position,
            )
        except BrokenAnswerError as error:
            raise RefusedError.from_broken_answer(
                error, "the stream can't be resumed", status=410, code="stream_gone"
            ) from error
        headers = build_headers(run.id, run.settings.version, Outcome.RAN)
        headers[SERVER_HEADER] = stream.backend_server
        relay = EventRelay(stream, run.context.fleet_key, run.customer)

        def close() -> None:
            answer.close()
            run.finish(Outcome.RAN if relay.complete else Outcome.UNKNOWN)

        return StreamedAnswer(
            self._relay(answer, relay),
            200,
            headers,
            media_type="text/event-stream",
            on_close=close,
        )

    async def _relay(
        self, answer: BackendAnswer, relay: EventRelay
    ) -> AsyncIterator[bytes]:
        try:
            async for part in relay.relay(answer):
                yield part
        except BrokenAnswerError:
            yield _build_broken_event(self._run, self._stream, relay)
            raise


def _build_broken_event(run: RequestRun, stream: StreamId, relay: EventRelay) -> bytes:
    last = "/".join(
        (
            stream.backend_server,
            stream.stream,
            str(relay.position),
            stream.sign(run.context.fleet_key, run.customer),
        )
    )
    return build_error_event("the answer broke off", "answer_lost", last)


async def _cancel_stream(run: RequestRun, sent: SentAttempt) -> None:
    """Cancel the stream at the engine, then release its place."""
    running = True
    try:
        await run.context.backends.cancel_stream(sent.address, sent.attempt)
        running = False
    except RamppinError as error:
        run.note("cancel", f"not confirmed: {error.message}", peer=error.peer)
    finally:
        run.free(sent.place, running=running)
