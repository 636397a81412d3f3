"""A stand-in for a model engine.

It batches continuously, caches prompt prefixes in limited memory, honours
priorities, resumes and cancels streams, reports load and cache events late,
and takes fenced orders. Its answers are a function of the messages, so that a
checker knows the whole answer to any request.
"""

from __future__ import annotations

import asyncio
import hashlib
import heapq
import itertools
import json
import random
import time
from collections import OrderedDict, deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from standins.common import FaultGate, Faults, History, build_control_routes

DEFAULT_TOKENS = 16


@dataclass(frozen=True)
class EngineOptions:
    """How an engine behaves.

    Attributes:
        slots: requests in its batch at a time.
        prefix_tokens: tokens of prefixes that it caches.
        prefill_token_s: time to compute one token that is not cached.
        token_s: time between two tokens of an answer, alone in the batch.
        batch_slope: share of ``token_s`` that each other request adds.
        report_lag_s: age of its load reports.
        event_lag_s: age of its cache events.
        event_loss: share of cache events that are never published.
        resume_s: how long a stream can be resumed after its end.
        seed: of the random source for lost events.
    """

    slots: int = 16
    prefix_tokens: int = 20_000
    prefill_token_s: float = 0.0002
    token_s: float = 0.004
    batch_slope: float = 0.02
    report_lag_s: float = 0.5
    event_lag_s: float = 1.0
    event_loss: float = 0.05
    resume_s: float = 30.0
    seed: int = 1


@dataclass
class _Stream:
    request: str
    model: str
    tokens: list[str] = field(default_factory=list)
    done: bool = False
    cancelled: bool = False
    cached_tokens: int = 0
    prompt_tokens: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


def compute_answer(messages: list[dict[str, Any]], count: int) -> list[str]:
    """Return the tokens of the whole answer to some messages."""
    seed = hashlib.sha256(json.dumps(messages).encode()).hexdigest()[:8]
    return [f"{seed}-{number} " for number in range(count)]


class EngineStandIn:
    """A model engine that serves the OpenAI-compatible chat protocol.

    Args:
        name: its name in histories.
        models: names of the models that it serves.
        options: how it behaves.
    """

    def __init__(
        self,
        name: str,
        *,
        models: tuple[str, ...] = (),
        options: EngineOptions | None = None,
    ) -> None:
        self.name = name
        self.options = options or EngineOptions()
        self.faults = Faults()
        self.history = History(name)
        self._models = models
        self._random = random.Random(self.options.seed)
        self._prefixes: OrderedDict[str, int] = OrderedDict()
        self._events: list[tuple[float, int, str, bool]] = []
        self._event_number = 0
        self._streams: dict[str, _Stream] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._running = 0
        self._waiting: list[tuple[int, int, asyncio.Event]] = []
        self._numbers = itertools.count()
        self._reports: deque[tuple[float, int]] = deque([(0.0, 0)])
        self._fence = -1
        self.app = Starlette(
            routes=[
                Route("/v1/chat/completions", self._chat, methods=["POST"]),
                Route("/v1/streams/{stream}", self._resume, methods=["GET"]),
                Route("/v1/streams/{stream}", self._cancel, methods=["DELETE"]),
                Route("/load", self._tell_load),
                Route("/cache/events", self._tell_events),
                Route("/kv/{chat}", self._export_kv, methods=["GET"]),
                Route("/kv/{chat}", self._import_kv, methods=["PUT"]),
                Route("/orders", self._take_order, methods=["POST"]),
                *build_control_routes(self.faults, self.history),
            ],
            middleware=[Middleware(FaultGate, faults=self.faults)],
        )

    # -- requests ---------------------------------------------------------

    async def _chat(self, request: Request) -> Response:
        try:
            body = await request.json()
            messages = body["messages"]
        except (ValueError, KeyError):
            return JSONResponse({"error": {"message": "bad request"}}, 400)
        stream = _Stream(
            request.headers.get("x-request-id", f"local-{next(self._numbers)}"),
            body.get("model", ""),
        )
        count = int(body.get("max_tokens") or DEFAULT_TOKENS)
        chat = request.headers.get("ramppin-chat", "")
        priority = int(request.headers.get("x-priority", "0"))
        self._streams[stream.request] = stream
        task = asyncio.create_task(
            self._generate(stream, messages, count, chat, priority)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if body.get("stream"):
            return StreamingResponse(
                self._send_events(stream, 0), media_type="text/event-stream"
            )
        while not stream.done:
            await stream.changed.wait()
        return JSONResponse(self._build_completion(stream))

    async def _generate(
        self,
        stream: _Stream,
        messages: list[dict[str, Any]],
        count: int,
        chat: str,
        priority: int,
    ) -> None:
        options = self.options
        await self._enter(priority)
        self._count(1, "start", stream, chat)
        try:
            prompt = sum(len(str(m.get("content", "")).split()) for m in messages)
            cached = min(self._touch(chat), prompt)
            stream.prompt_tokens, stream.cached_tokens = prompt, cached
            self._wake(stream)
            await asyncio.sleep((prompt - cached) * options.prefill_token_s)
            for token in compute_answer(messages, count):
                if stream.cancelled:
                    break
                share = 1 + options.batch_slope * max(0, self._running - 1)
                await asyncio.sleep(options.token_s * share)
                stream.tokens.append(token)
                stream.notify()
            self._store(chat, prompt + len(stream.tokens))
        finally:
            stream.done = True
            stream.notify()
            self._count(-1, "end", stream, chat)
            self._leave()
        await asyncio.sleep(options.resume_s)
        self._streams.pop(stream.request, None)

    def _wake(self, stream: _Stream) -> None:
        self.history.add(
            "prefill",
            request=stream.request,
            cached=stream.cached_tokens,
            prompt=stream.prompt_tokens,
        )

    async def _send_events(self, stream: _Stream, start: int) -> AsyncIterator[bytes]:
        position = start
        while True:
            changed = stream.changed
            while position < len(stream.tokens):
                yield self._build_event(stream, position)
                position += 1
            if stream.done:
                break
            await changed.wait()
        if stream.cancelled:
            return
        yield self._build_event(stream, position, finish="stop")
        yield b"data: [DONE]\n\n"

    def _build_event(
        self, stream: _Stream, position: int, finish: str | None = None
    ) -> bytes:
        delta = {} if finish else {"content": stream.tokens[position]}
        if position == 0:
            delta["role"] = "assistant"
        chunk = {
            "id": f"chatcmpl-{stream.request}",
            "object": "chat.completion.chunk",
            "created": 0,
            "model": stream.model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
        }
        text = f"id: {stream.request}:{position + 1}\ndata: {json.dumps(chunk)}\n\n"
        return text.encode()

    def _build_completion(self, stream: _Stream) -> dict[str, Any]:
        message = {"role": "assistant", "content": "".join(stream.tokens)}
        return {
            "id": f"chatcmpl-{stream.request}",
            "object": "chat.completion",
            "created": 0,
            "model": stream.model,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": {
                "prompt_tokens": stream.prompt_tokens,
                "completion_tokens": len(stream.tokens),
                "total_tokens": stream.prompt_tokens + len(stream.tokens),
                "prompt_tokens_details": {"cached_tokens": stream.cached_tokens},
            },
        }

    async def _resume(self, request: Request) -> Response:
        stream = self._streams.get(request.path_params["stream"])
        if stream is None:
            return JSONResponse({"error": {"message": "no such stream"}}, 404)
        start = int(request.query_params.get("after", "0"))
        return StreamingResponse(
            self._send_events(stream, start), media_type="text/event-stream"
        )

    async def _cancel(self, request: Request) -> Response:
        stream = self._streams.get(request.path_params["stream"])
        if stream:
            stream.cancelled = True
            self.history.add("cancel", request=stream.request)
        return JSONResponse({})

    # -- batch ------------------------------------------------------------

    async def _enter(self, priority: int) -> None:
        if self._running < self.options.slots and not self._waiting:
            return
        turn = asyncio.Event()
        heapq.heappush(self._waiting, (-priority, next(self._numbers), turn))
        await turn.wait()

    def _leave(self) -> None:
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()

    def _count(self, change: int, event: str, stream: _Stream, chat: str) -> None:
        self._running += change
        self._reports.append((time.monotonic(), self._running))
        self.history.add(
            event, request=stream.request, chat=chat, running=self._running
        )

    async def _tell_load(self, _: Request) -> Response:
        now = time.monotonic()
        limit = now - self.options.report_lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= limit:
            self._reports.popleft()
        running = self._reports[0][1]
        return JSONResponse({"running": running, "age_s": self.options.report_lag_s})

    # -- prefixes ---------------------------------------------------------

    def _touch(self, chat: str) -> int:
        if chat not in self._prefixes:
            return 0
        self._prefixes.move_to_end(chat)
        return self._prefixes[chat]

    def _store(self, chat: str, tokens: int) -> None:
        if not chat:
            return
        self._prefixes[chat] = tokens
        self._prefixes.move_to_end(chat)
        self._publish(chat, True)
        while sum(self._prefixes.values()) > self.options.prefix_tokens:
            evicted, _ = self._prefixes.popitem(last=False)
            self._publish(evicted, False)

    def _publish(self, chat: str, present: bool) -> None:
        self._event_number += 1
        if self._random.random() >= self.options.event_loss:
            event = (time.monotonic(), self._event_number, chat, present)
            self._events.append(event)
            del self._events[:-10_000]

    async def _tell_events(self, request: Request) -> Response:
        after = int(request.query_params.get("after", "0"))
        limit = time.monotonic() - self.options.event_lag_s
        events = [
            {"number": number, "chat": chat, "present": present}
            for when, number, chat, present in self._events
            if number > after and when <= limit
        ]
        return JSONResponse({"events": events[:500]})

    async def _export_kv(self, request: Request) -> Response:
        tokens = self._prefixes.get(request.path_params["chat"])
        if tokens is None:
            return JSONResponse({"error": {"message": "not cached"}}, 404)
        return JSONResponse({"tokens": tokens})

    async def _import_kv(self, request: Request) -> Response:
        self._store(request.path_params["chat"], (await request.json())["tokens"])
        return JSONResponse({})

    async def _take_order(self, request: Request) -> Response:
        order = await request.json()
        if order["fence"] <= self._fence:
            return JSONResponse({"fence": self._fence}, 409)
        self._fence = order["fence"]
        self._models = tuple(order.get("models", self._models))
        self.history.add("order", fence=self._fence)
        return JSONResponse({"fence": self._fence})
