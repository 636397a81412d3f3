"""A stand-in for the platform's append-only log service."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.common import (
    FaultGate,
    Faults,
    History,
    abort_connection,
    build_control_routes,
)

MAX_RECORD_BYTES = 1024 * 1024
MAX_WAIT_S = 30.0


@dataclass
class _Stream:
    first: int = 0
    records: list[tuple[float, Any]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def next(self) -> int:
        return self.first + len(self.records)


class LogStandIn:
    """Keeps records at offsets, with a rate limit, retention and outages.

    Args:
        rate: appends a second that it takes, over all streams.
        retention_s: how long it keeps a record; 0 for ever.
        clock: monotonic clock.
    """

    def __init__(
        self,
        *,
        rate: float = 300.0,
        retention_s: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.faults = Faults()
        self.history = History("log")
        self._rate = rate
        self._retention_s = retention_s
        self._clock = clock
        self._streams: dict[str, _Stream] = {}
        self._tokens = rate
        self._filled_at = clock()
        self.app = Starlette(
            routes=[
                Route("/streams/{stream}", self._append, methods=["POST"]),
                Route("/streams/{stream}", self._read, methods=["GET"]),
                Route("/trim", self._trim_now, methods=["POST"]),
                *build_control_routes(self.faults, self.history),
            ],
            middleware=[Middleware(FaultGate, faults=self.faults)],
        )

    def append(self, stream: str, record: Any) -> int:
        """Append a record and return its offset."""
        found = self._get(stream)
        found.records.append((self._clock(), record))
        found.changed.set()
        found.changed = asyncio.Event()
        return found.next - 1

    def trim(self, stream: str, first: int) -> None:
        """Drop the records before an offset."""
        found = self._get(stream)
        drop = max(0, min(first, found.next) - found.first)
        del found.records[:drop]
        found.first += drop

    def _get(self, stream: str) -> _Stream:
        return self._streams.setdefault(stream, _Stream())

    def _expire(self, stream: _Stream) -> None:
        if not self._retention_s:
            return
        limit = self._clock() - self._retention_s
        while stream.records and stream.records[0][0] < limit:
            del stream.records[0]
            stream.first += 1

    def _take_token(self) -> bool:
        now = self._clock()
        self._tokens += (now - self._filled_at) * self._rate
        self._tokens = min(self._rate, self._tokens)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    async def _append(self, request: Request) -> Response:
        if not self._take_token():
            return Response("too many appends", 429, {"Retry-After": "1"})
        body = await request.body()
        if len(body) > MAX_RECORD_BYTES:
            return Response("record too large", 413)
        try:
            record = await request.json()
        except ValueError:
            return Response("no JSON", 400)
        stream = request.path_params["stream"]
        offset = self.append(stream, record)
        self.history.add("append", stream=stream, offset=offset)
        if self.faults.take_lost_answer():
            abort_connection(request.receive)
        return JSONResponse({"offset": offset}, 201)

    async def _read(self, request: Request) -> Response:
        stream = self._get(request.path_params["stream"])
        start = int(request.query_params.get("from", "0"))
        wait = min(float(request.query_params.get("wait", "0")), MAX_WAIT_S)
        limit = int(request.query_params.get("limit", "1000"))
        self._expire(stream)
        if start < stream.first:
            headers = {"Log-First-Offset": str(stream.first)}
            return Response("trimmed", 410, headers)
        if start >= stream.next and wait:
            await self._wait(stream, start, wait)
        if self.faults.outage:
            return Response("outage", 503)
        begin = max(start - stream.first, 0)
        records = [
            (stream.first + index, record)
            for index, (_, record) in enumerate(
                stream.records[begin : begin + limit], begin
            )
        ]
        following = start + len(records)
        return JSONResponse(
            {"first": stream.first, "next": following, "records": records}
        )

    async def _wait(self, stream: _Stream, start: int, wait: float) -> None:
        deadline = self._clock() + wait
        while stream.next <= start and not self.faults.outage:
            left = deadline - self._clock()
            if left <= 0:
                return
            try:
                await asyncio.wait_for(stream.changed.wait(), min(left, 0.25))
            except TimeoutError:
                continue

    async def _trim_now(self, request: Request) -> Response:
        order = await request.json()
        self.trim(order["stream"], order["first"])
        return JSONResponse({})
