"""What the stand-ins share: faults on order, histories, and serving."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.lowlevel
import uvicorn
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send

CONDITION_TIMEOUT_S = 60.0
VM_HEADER = b"ramppin-vm"
CONTROL_PATHS = ("/fault", "/truth")


class CutError(Exception):
    """Ends a connection without an answer."""


@dataclass
class Faults:
    """How a stand-in fails at the moment; set by ``POST /fault``.

    Attributes:
        frozen: requests hang until the fault is lifted.
        outage: requests are answered 503 and have no effect.
        cut: names of VMs whose requests get no answer and have no effect.
        slow_s: delay before each request.
        lose_answers: how many next requests take effect without an answer.
        break_after: parts of an answer after which it breaks; 0 for never.
        cut_unframed: whether a plain service's answers have no length and end in the
            middle with their connection.
        refuse: how many next requests are answered 503.
        dead: every connection is dropped, those with an answer underway too.
    """

    frozen: bool = False
    outage: bool = False
    cut: list[str] = field(default_factory=list)
    slow_s: float = 0.0
    lose_answers: int = 0
    break_after: int = 0
    cut_unframed: bool = False
    refuse: int = 0
    dead: bool = False

    def set(self, changes: dict[str, Any]) -> None:
        """Change some faults; an unknown one raises ValueError."""
        for name, value in changes.items():
            if not hasattr(self, name):
                raise ValueError(f"no fault {name!r}")
            setattr(self, name, value)

    def take_lost_answer(self) -> bool:
        """Return whether this request's answer is to be lost."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True


class History:
    """Events with times, for the checkers; the truth about what ran."""

    def __init__(self, source: str) -> None:
        self.source = source
        self.events: list[dict[str, Any]] = []

    def add(self, event: str, **fields: Any) -> None:
        """Record an event now."""
        self.events.append(
            {"t": time.monotonic(), "source": self.source, "event": event} | fields
        )

    def dump(self) -> str:
        """Return the events as JSON lines."""
        return "".join(json.dumps(event) + "\n" for event in self.events)


class FaultGate:
    """ASGI middleware that lets requests fail as ordered."""

    def __init__(self, app: ASGIApp, faults: Faults) -> None:
        self._app = app
        self._faults = faults

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request, or fail it."""
        if scope["type"] != "http" or scope["path"] in CONTROL_PATHS:
            await self._app(scope, receive, send)
            return
        faults = self._faults
        vm = dict(scope["headers"]).get(VM_HEADER, b"").decode()
        if vm in faults.cut or faults.dead:
            abort_connection(receive)
            return
        if faults.slow_s:
            await asyncio.sleep(faults.slow_s)
        while faults.frozen:
            await asyncio.sleep(0.05)
        if faults.outage or faults.refuse > 0:
            faults.refuse = max(0, faults.refuse - 1)
            await Response("outage", 503)(scope, receive, send)
            return
        with contextlib.suppress(CutError):
            await self._app(scope, receive, self._break(receive, send))

    def _break(self, receive: Receive, send: Send) -> Send:
        """Wrap a sender so that the answer breaks off amid its last part."""
        parts = 0

        async def send_some(message: Message) -> None:
            nonlocal parts
            parts += message["type"] == "http.response.body"
            limit = self._faults.break_after
            if limit and parts == limit:
                body: bytes = message["body"]
                half = {"body": body[: len(body) // 2], "more_body": True}
                await send({**message, **half})
                await asyncio.sleep(0)
            if self._faults.dead or (limit and parts >= limit):
                abort_connection(receive)
                raise CutError
            await send(message)

        return send_some


def abort_connection(receive: Receive) -> None:
    """Drop a request's connection at once, as a cut network does."""
    cycle = getattr(receive, "__self__", None)
    transport = getattr(cycle, "transport", None)
    if transport is not None:
        transport.abort()


def send_half(receive: Receive, body: bytes) -> None:
    """Send the first half of an answer without a length, and close its connection."""
    cycle = getattr(receive, "__self__", None)
    transport = getattr(cycle, "transport", None)
    if transport is not None:
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
        transport.write(head + body[: len(body) // 2])
        transport.close()


def build_control_routes(faults: Faults, history: History) -> list[Route]:
    """Return the routes by which tests order faults and read the truth."""

    async def set_faults(request: Request) -> Response:
        faults.set(await request.json())
        return JSONResponse({})

    async def tell_truth(_: Request) -> Response:
        return Response(history.dump(), media_type="application/jsonl")

    return [
        Route("/fault", set_faults, methods=["POST"]),
        Route("/truth", tell_truth),
    ]


class QuietServer(uvicorn.Server):
    """A uvicorn server that leaves the process's signals alone."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture nothing."""
        yield


def bind_port(host: str, port: int) -> socket.socket:
    """Return a listening socket; port 0 picks a free one."""
    # Naming TCP lets asyncio turn Nagle's algorithm off.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(1024)
    return sock


class StandIn:
    """A stand-in that serves an app on a port of its own.

    Args:
        app: the ASGI app.
        host: address to listen on.
        port: port to listen on; 0 picks a free one.
    """

    def __init__(self, app: ASGIApp, *, host: str = "127.0.0.1", port: int = 0) -> None:
        self._socket = bind_port(host, port)
        self.port: int = self._socket.getsockname()[1]
        self.address = f"{host}:{self.port}"
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http="h11",
            lifespan="off",
            log_level="critical",
            access_log=False,
            timeout_keep_alive=60,
        )
        self._server = QuietServer(config)
        self._task: asyncio.Task[None] | None = None
        self._on_close: Callable[[], Awaitable[None]] | None = None

    async def start(
        self, on_close: Callable[[], Awaitable[None]] | None = None
    ) -> None:
        """Start to serve."""
        await anyio.lowlevel.checkpoint()
        self._on_close = on_close
        self._task = asyncio.create_task(self._server.serve(sockets=[self._socket]))
        while not self._server.started:
            await asyncio.sleep(0.005)

    async def stop(self) -> None:
        """Stop to serve, dropping what is in flight."""
        self._server.should_exit = True
        self._server.force_exit = True
        if self._task:
            await asyncio.gather(self._task, return_exceptions=True)
        if self._on_close:
            await self._on_close()

    async def wait(self) -> None:
        """Serve until stopped."""
        if self._task:
            await self._task


async def wait_for(condition: Callable[[], Any], what: str) -> Any:
    """Return a condition's value once it is true.

    Args:
        condition: the condition; may be a coroutine function.
        what: what to say if it never comes true.
    """
    deadline = time.monotonic() + CONDITION_TIMEOUT_S
    while time.monotonic() < deadline:
        value = condition()
        if isinstance(value, Awaitable):
            value = await value
        if value:
            return value
        await asyncio.sleep(0.02)
    raise AssertionError(f"never came true: {what}")
