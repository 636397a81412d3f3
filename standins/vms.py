"""A stand-in for the platform's lagging list of live and leaving VMs."""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable
from typing import Any

from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.common import FaultGate, Faults, History, build_control_routes


class VmListStandIn:
    """Tells which VMs are live and leaving, late.

    ``POST /vms`` adds or changes an entry, ``DELETE /vms/NAME`` drops one. A
    change is seen after the lag; by the VMs in ``late_for`` after twice it.

    Args:
        lag_s: how late a change is seen.
        clock: monotonic clock.
    """

    def __init__(
        self, *, lag_s: float = 1.0, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.faults = Faults()
        self.history = History("vms")
        self._lag_s = lag_s
        self._clock = clock
        self._changes: list[tuple[float, str, dict[str, Any] | None]] = []
        self.late_for: dict[str, float] = {}
        self.app = Starlette(
            routes=[
                Route("/vms", self._list, methods=["GET"]),
                Route("/vms", self._put, methods=["POST"]),
                Route("/vms/{name}", self._drop, methods=["DELETE"]),
                Route("/late", self._set_late, methods=["POST"]),
                *build_control_routes(self.faults, self.history),
            ],
            middleware=[Middleware(FaultGate, faults=self.faults)],
        )

    def put(self, entry: dict[str, Any], *, at_once: bool = False) -> None:
        """Add or change a VM's entry."""
        self._change(entry["name"], entry, at_once)

    def drop(self, name: str, *, at_once: bool = False) -> None:
        """Drop a VM's entry."""
        self._change(name, None, at_once)

    def _change(self, name: str, entry: dict[str, Any] | None, at_once: bool) -> None:
        when = float("-inf") if at_once else self._clock()
        self._changes.append((when, name, entry))
        state = entry["state"] if entry else "gone"
        self.history.add("vm", name=name, state=state)

    def view(self, vm: str) -> list[dict[str, Any]]:
        """Return the list as a VM sees it now."""
        limit = self._clock() - self._lag_s - self.late_for.get(vm, 0.0)
        entries: dict[str, dict[str, Any]] = {}
        for when, name, entry in self._changes:
            if when > limit:
                continue
            if entry is None:
                entries.pop(name, None)
            else:
                entries[name] = entry
        return list(entries.values())

    async def _list(self, request: Request) -> Response:
        vm = request.headers.get("ramppin-vm", "")
        reply = JSONResponse({"vms": self.view(vm)})
        reply.headers["ETag"] = f'"{hashlib.sha256(reply.body).hexdigest()[:16]}"'
        if request.headers.get("if-none-match") == reply.headers["ETag"]:
            return Response(status_code=304)
        return reply

    async def _put(self, request: Request) -> Response:
        entry = await request.json()
        self.put(entry, at_once=entry.pop("at_once", False))
        return JSONResponse({})

    async def _drop(self, request: Request) -> Response:
        self.drop(request.path_params["name"])
        return JSONResponse({})

    async def _set_late(self, request: Request) -> Response:
        self.late_for = await request.json()
        return JSONResponse({})
