"""The operators' listener: metrics, dump, explain, settings, drain, status."""

from __future__ import annotations

import dataclasses
import hmac
import json
import logging
from collections.abc import Callable
from typing import Any

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from pydantic import BaseModel, ConfigDict, ValidationError
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route
from starlette.types import ASGIApp, Receive, Scope, Send

from ramppin.errors import ConflictError, LogUnavailableError, RamppinError
from ramppin.router.process.parts import RouterParts
from ramppin.router.process.reporting.dump import build_dump, build_status
from ramppin.router.version.acceptance import Verdict

LOG = logging.getLogger(__name__)

MAX_PUBLISH_BYTES = 1024 * 1024
"""Bytes of the largest change of the settings that is accepted."""


class PublishBody(BaseModel):
    """A change that an operator publishes: a whole tree or a merge patch."""

    model_config = ConfigDict(extra="forbid")

    base: int
    author: str = ""
    nonce: str = ""
    tree: dict[str, object] | None = None
    patch: dict[str, object] | None = None


class _KeyGate:
    """Lets nobody in without the operators' key."""

    def __init__(self, app: ASGIApp, router: RouterParts) -> None:
        self._app = app
        self._router = router

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        headers = dict(scope.get("headers", []))
        given = headers.get(b"authorization", b"")
        wanted = f"Bearer {self._router.config.operator_key}".encode()
        if scope["type"] == "http" and not hmac.compare_digest(given, wanted):
            LOG.warning(
                "operator refused: no key",
                extra={"step": "admit operator", "peer": str(scope.get("client"))},
            )
            self._router.metrics.denied.labels("operators").inc()
            refusal = JSONResponse(
                {"error": "the operators' key is needed"},
                401,
                {"WWW-Authenticate": "Bearer"},
            )
            await refusal(scope, receive, send)
            return
        await self._app(scope, receive, send)


class OperatorApp:
    """Builds the operators' app of a router.

    Args:
        router: the process that serves it.
        start_drain: begins a planned stop.

    .. versionadded:: 0.1
    """

    def __init__(self, router: RouterParts, start_drain: Callable[[], None]) -> None:
        self._router = router
        self._start_drain = start_drain
        self.app = Starlette(
            routes=[
                Route("/metrics", self._tell_metrics),
                Route("/dump", self._dump),
                Route("/status", self._tell_status),
                Route("/explain/{request_id}", self._explain),
                Route("/settings", self._show_settings, methods=["GET"]),
                Route("/settings", self._publish, methods=["POST"]),
                Route("/settings/history", self._show_history),
                Route("/drain", self._drain, methods=["POST"]),
            ],
            middleware=[Middleware(_KeyGate, router=router)],
        )

    async def _tell_metrics(self, _: Request) -> Response:
        text = generate_latest(self._router.metrics.registry)
        return Response(text, media_type=CONTENT_TYPE_LATEST)

    async def _dump(self, _: Request) -> Response:
        return JSONResponse(build_dump(self._router))

    async def _tell_status(self, _: Request) -> Response:
        return JSONResponse(build_status(self._router))

    async def _explain(self, request: Request) -> Response:
        request_id = request.path_params["request_id"]
        try:
            found = await self._router.explain(request_id)
        except RamppinError as error:
            return _fail(error, 404)
        return JSONResponse(found)

    async def _show_settings(self, _: Request) -> Response:
        history = self._router.history
        return JSONResponse({"version": history.version, "tree": history.document})

    async def _show_history(self, _: Request) -> Response:
        verdicts = [_show_verdict(v) for v in self._router.history.verdicts]
        return JSONResponse({"records": verdicts})

    async def _publish(self, request: Request) -> Response:
        data = await request.body()
        if len(data) > MAX_PUBLISH_BYTES:
            return JSONResponse({"error": "too large for one record"}, 413)
        try:
            body = PublishBody.model_validate_json(data)
        except ValidationError as error:
            return JSONResponse({"error": str(error)}, 400)
        if (body.tree is None) == (body.patch is None):
            return JSONResponse({"error": "give either tree or patch"}, 400)
        try:
            verdict = await self._router.publish(
                body.base, body.author, body.nonce, tree=body.tree, patch=body.patch
            )
        except LogUnavailableError as error:
            return _fail(error, 503)
        if verdict.accepted:
            return JSONResponse(_show_verdict(verdict), 201)
        conflict = isinstance(verdict.error, ConflictError)
        return JSONResponse(_show_verdict(verdict), 409 if conflict else 422)

    async def _drain(self, _: Request) -> Response:
        self._start_drain()
        return JSONResponse({"draining": True}, 202)


def _show_verdict(verdict: Verdict) -> dict[str, Any]:
    shown = dataclasses.asdict(dataclasses.replace(verdict, error=None))
    shown["error"] = verdict.error.show() if verdict.error else None
    return shown


def _fail(error: RamppinError, status: int) -> Response:
    body = {"error": error.show(), "step": error.step, "peer": error.peer}
    return Response(json.dumps(body), status, media_type="application/json")
