"""A stand-in for a plain service, such as booking or nominations."""

from __future__ import annotations

import asyncio
import hashlib
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
    send_half,
)

METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]


class ServiceStandIn:
    """Runs whatever it is asked, and counts each run.

    Args:
        name: its name in histories.
        work_s: how long a run takes.
        honours_keys: whether a repeated ``Idempotency-Key`` runs only once.
    """

    def __init__(
        self, name: str, *, work_s: float = 0.01, honours_keys: bool = False
    ) -> None:
        self.name = name
        self.faults = Faults()
        self.history = History(name)
        self._work_s = work_s
        self._honours_keys = honours_keys
        self._answers: dict[str, dict[str, Any]] = {}
        self._runs = 0
        self._running = 0
        self.app = Starlette(
            routes=[
                Route("/load", self._tell_load),
                *build_control_routes(self.faults, self.history),
                Route("/{path:path}", self._run, methods=METHODS),
            ],
            middleware=[Middleware(FaultGate, faults=self.faults)],
        )

    async def _tell_load(self, _: Request) -> Response:
        return JSONResponse({"running": self._running, "age_s": 0.0})

    async def _run(self, request: Request) -> Response:
        body = await request.body()
        key = request.headers.get("idempotency-key", "")
        request_id = request.headers.get("x-request-id", "")
        if self._honours_keys and key in self._answers:
            return JSONResponse(self._answers[key])
        self._runs += 1
        self._running += 1
        self.history.add("start", request=request_id, key=key, running=self._running)
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self._running -= 1
            self.history.add("end", request=request_id, key=key, running=self._running)
        answer = {
            "run": f"{self.name}-{self._runs}",
            "method": request.method,
            "path": request.url.path,
            "query": request.url.query,
            "body_sha256": hashlib.sha256(body).hexdigest(),
            "bytes": len(body),
        }
        if key:
            self._answers[key] = answer
        if self.faults.take_lost_answer():
            abort_connection(request.receive)
        reply = JSONResponse(answer, headers={"X-Ran-On": self.name})
        if self.faults.cut_unframed:
            send_half(request.receive, bytes(reply.body))
        if request.url.path.endswith("/cookies"):
            reply.set_cookie("hall", "A")
            reply.set_cookie("band", "B")
        return reply
