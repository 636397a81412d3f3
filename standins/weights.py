"""A stand-in for the rate-limited weight store."""

from __future__ import annotations

import time
from collections.abc import Callable

from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from standins.common import FaultGate, Faults, History, build_control_routes


class WeightStoreStandIn:
    """Hands out weights, only so many a second.

    Args:
        rate: reads a second that it serves.
        clock: monotonic clock.
    """

    def __init__(
        self, *, rate: float = 2.0, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.faults = Faults()
        self.history = History("weights")
        self._interval = 1.0 / rate
        self._clock = clock
        self._free_at = clock()
        self.app = Starlette(
            routes=[
                Route("/weights/{model}", self._read),
                *build_control_routes(self.faults, self.history),
            ],
            middleware=[Middleware(FaultGate, faults=self.faults)],
        )

    async def _read(self, request: Request) -> Response:
        now = self._clock()
        if now < self._free_at:
            wait = self._free_at - now
            return Response("too many reads", 429, {"Retry-After": f"{wait:.3f}"})
        self._free_at = now + self._interval
        model = request.path_params["model"]
        self.history.add("read", model=model)
        return Response(f"weights of {model}")
