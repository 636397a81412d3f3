"""What the gateway's steps share: a gateway in this process, and raw callers."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import socket
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from ramppin.gateway.connection.httpwire import HeaderNames
from ramppin.gateway.process.config import Address, GatewayConfig
from ramppin.gateway.process.gateway import Gateway
from ramppin.gateway.process.limits.drain import DrainTimes
from ramppin.gateway.process.recovery.tables import GatewaySources
from ramppin.gateway.process.reporting.decisions import DecisionLog
from ramppin.gateway.process.routing.serverstate import BackendServer, ServerState
from ramppin.gateway.version.routing import Route, RouteKind, WeightedService
from ramppin.gateway.version.routingfile import TreeDecoder
from standins.backend import BackendStandIn
from standins.common import wait_for
from standins.tables import TableStandIn

HOST = "assist.example"
KEY = "key-choir"
ANSWER_TIMEOUT_S = 20.0

ROUTES = {
    "/once/": {"service": "plain", "rules": {"kind": "once"}},
    "/again/": {
        "service": "plain",
        "rules": {"kind": "repeatable", "max_attempts": 2},
    },
    "/stream/": {"service": "model", "rules": {"kind": "stream"}},
    "/resume/": {
        "service": "model",
        "rules": {"kind": "stream", "resumable": True, "max_attempts": 2},
    },
    "/brief/": {"service": "plain", "rules": {"kind": "once", "time_limit_s": 0.3}},
    "/hasty/": {
        "service": "plain",
        "rules": {"kind": "repeatable", "max_attempts": 2, "time_limit_s": 2.5},
    },
    "/open/": {"service": "plain", "rules": {"public": True}},
}


def build_tree(version: int = 1, **changes: object) -> dict:
    """Return routing settings; changes replace whole parts."""
    tree = {
        "version": version,
        "rules": {"time_limit_s": 10.0},
        "hosts": {HOST: {"routes": dict(ROUTES)}},
        "services": {
            "plain": {},
            "model": {"slots": 8, "rules": {"keeps_prefix": True}},
            "other": {},
        },
        "customers": {"choir": {"keys": [KEY], "priority": 1}},
        "limits": {"max_header_bytes": 2000, "max_body_bytes": 5000},
    }
    return tree | changes


@dataclass
class RawAnswer:
    """What came back on a caller's connection, byte for byte.

    Attributes:
        data: all bytes.
        closed: whether the gateway closed the connection.
        was_reset: whether it did so by a reset.
    """

    data: bytes = b""
    closed: bool = False
    was_reset: bool = False

    @property
    def status(self) -> int:
        """The status of the first answer; 0 if there was none."""
        return int(self.data.split(b" ", 2)[1]) if b" " in self.data else 0

    @property
    def head(self) -> bytes:
        """The head in lower case."""
        return self.data.partition(b"\r\n\r\n")[0].lower()

    @property
    def body(self) -> bytes:
        """The body, chunks joined."""
        rest = self.data.partition(b"\r\n\r\n")[2]
        if b"transfer-encoding: chunked" not in self.head:
            return rest
        joined = b""
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            length = int(size or b"0", 16)
            joined, rest = joined + rest[:length], rest[length + 2 :]
        return joined

    @property
    def whole(self) -> bool:
        """Whether the answer came to its end by its own framing."""
        if b"transfer-encoding: chunked" in self.head:
            return self.data.endswith(b"0\r\n\r\n")
        for line in self.head.split(b"\r\n"):
            if line.startswith(b"content-length:"):
                return len(self.body) == int(line.partition(b":")[2])
        return False

    @property
    def end(self) -> str:
        """How the answer ended: ``framed``, ``until close`` or ``broken``.

        One without length or chunks ends with its connection (RFC 9112, section 6.3),
        unless that is reset.
        """
        if self.whole:
            return "framed"
        is_framed = (
            b"transfer-encoding:" in self.head or b"content-length:" in self.head
        )
        has_head = b"\r\n\r\n" in self.data
        if has_head and self.closed and not self.was_reset and not is_framed:
            return "until close"
        return "broken"


@dataclass
class RawCaller:
    """A caller's connection."""

    port: int
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None

    async def open(self) -> RawCaller:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def read(self, answer: RawAnswer | None = None) -> RawAnswer:
        """Read until one answer is whole or the connection ends."""
        found = answer or RawAnswer()
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while not (b"\r\n\r\n" in found.data and found.whole):
                try:
                    data = await self.reader.read(65536)
                except ConnectionError:
                    data = b""
                    found.was_reset = True
                if not data:
                    found.closed = True
                    break
                found.data += data
        return found

    async def wait_for_end(self) -> bytes:
        """Return what still comes until the gateway closes."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            try:
                return await self.reader.read()
            except ConnectionError:
                return b""

    def close(self) -> None:
        """Drop the connection."""
        if self.writer is not None:
            self.writer.transport.abort()


def encode_request(
    path: str,
    *,
    method: str = "POST",
    request_id: str = "a1",
    key: str | None = KEY,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    host: str = HOST,
) -> bytes:
    """Return a request's bytes."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines.append(f"Ramppin-Request-Id: {request_id}")
    if key is not None:
        lines.append(f"Ramppin-Api-Key: {key}")
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class LineKeeper(logging.Handler):
    """Keeps the lines of the process's own log."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(record.getMessage())


def keep_lines(context) -> LineKeeper:
    """Keep the lines that the product logs until the scenario ends."""
    keeper = context.kept = LineKeeper()
    loggers = [logging.getLogger(name) for name in ("ramppin", "ramppin_platform")]
    levels = [logger.level for logger in loggers]
    for logger in loggers:
        logger.addHandler(keeper)
        logger.setLevel(logging.INFO)

    async def stop() -> None:
        for logger, level in zip(loggers, levels, strict=True):
            logger.removeHandler(keeper)
            logger.setLevel(level)

    context.cleanups.append(stop)
    return keeper


@dataclass
class GatewayFixture:
    """A gateway before scripted backend servers.

    Attributes:
        backends: by id.
        settings: the table of settings.
        servers: the table of backend servers.
        members: the table of the fleet's VMs.
    """

    vm: str = "vm-1"
    host: str = "127.0.0.1"
    backends: dict[str, BackendStandIn] = field(default_factory=dict)
    settings: TableStandIn = field(default_factory=TableStandIn)
    servers: TableStandIn = field(default_factory=TableStandIn)
    members: TableStandIn = field(default_factory=TableStandIn)
    homes: TableStandIn = field(default_factory=TableStandIn)
    builds: TableStandIn = field(default_factory=TableStandIn)
    origins: TableStandIn = field(default_factory=TableStandIn)
    gateway: Gateway | None = None
    callers: list[RawCaller] = field(default_factory=list)
    drain_times: DrainTimes = field(default_factory=DrainTimes)
    peer_port: int = 0
    records_port: int = 0
    operations_port: int = 0
    seeds: tuple[str, ...] = ()
    callers_socket: socket.socket | None = None
    log_path: Path = Path(os.devnull)
    _log: int = -1

    async def start(self) -> GatewayFixture:
        """Start the gateway; it need not be ready yet."""
        self._log, path = tempfile.mkstemp(prefix="ramppin-", suffix=".log")
        self.log_path = Path(path)
        config = GatewayConfig(
            vm=self.vm,
            failure_domain="porto",
            callers=Address(self.host, 0),
            readiness=Address(self.host, 0),
            peers=Address(self.host, self.peer_port),
            records=Address(self.host, self.records_port),
            operations=Address(self.host, self.operations_port),
            seeds=self.seeds,
            names=HeaderNames(),
            server_pace_s=0.01,
            settings_wait_s=0.3,
            drain_times=self.drain_times,
            is_first_start=True,
            seed=1,
        )
        sources = GatewaySources(
            settings=self.settings,
            servers=self.servers,
            members=self.members,
            homes=self.homes,
            builds=self.builds,
            origins=self.origins,
            decoder=TreeDecoder(),
        )
        decisions = DecisionLog(self.vm, descriptor=self._log)
        self.gateway = Gateway(
            config, sources, decisions, callers_socket=self.callers_socket
        )
        await self.gateway.start()
        return self

    async def stop(self) -> None:
        """Stop everything."""
        for caller in self.callers:
            caller.close()
        if self.gateway is not None and not self.gateway.stopped.is_set():
            await self.gateway.stop()
        for backend in self.backends.values():
            await backend.stop()
        os.close(self._log)
        self.log_path.unlink()

    async def add_backend(
        self, server_id: str, service: str, **node: object
    ) -> BackendStandIn:
        """Start a backend server and announce it."""
        backend = BackendStandIn()
        await backend.start()
        self.backends[server_id] = backend
        self.announce(server_id, service, **node)
        return backend

    def announce(self, server_id: str, service: str, **node: object) -> None:
        """Write a backend server's entry."""
        port = self.backends[server_id].port
        entry = {"service": service, "address": f"127.0.0.1:{port}"} | node
        self.servers.put(server_id, json.dumps(entry).encode())

    def publish(self, tree: dict) -> None:
        """Write routing settings."""
        self.settings.put("settings", json.dumps(tree).encode())

    async def wait_until_ready(self, servers: int) -> None:
        """Wait until settings and so many servers are known."""
        await wait_for(
            lambda: (
                self.gateway.ready and len(self.gateway.context.directory) >= servers
            ),
            "the gateway is ready",
        )

    async def connect(self) -> RawCaller:
        """Open a caller's connection."""
        caller = await RawCaller(self.gateway.caller_port).open()
        self.callers.append(caller)
        return caller

    async def ask(self, path: str, **options: object) -> RawAnswer:
        """Send a request on a connection of its own and return the answer."""
        caller = await self.connect()
        await caller.send(encode_request(path, **options))
        return await caller.read()

    def list_received(self) -> list:
        """Return all requests that backend servers got."""
        return [r for backend in self.backends.values() for r in backend.received]


def is_yes(text: str) -> bool:
    """Return whether a cell of a table says yes."""
    return {"yes": True, "no": False}[text]


def read_names(text: str) -> list[str]:
    """Return the names in a cell of a table; "none" is no name."""
    return [name for name in text.split() if name != "none"]


RULE_SERVICES = (WeightedService("plain", 1.0),)
RULE_ROUTES = {
    "once": Route("r", HOST, "/", RULE_SERVICES, RouteKind.ONCE),
    "repeatable": Route(
        "r", HOST, "/", RULE_SERVICES, RouteKind.REPEATABLE, max_attempts=2
    ),
    "stream": Route("r", HOST, "/", RULE_SERVICES, RouteKind.STREAM, max_attempts=2),
    "resumable": Route(
        "r", HOST, "/", RULE_SERVICES, RouteKind.STREAM, resumable=True, max_attempts=2
    ),
}
"""A route of each kind, for tables of rules."""


def build_server(
    server_id: str, load: int, failure_domain: str = "", service: str = "plain"
) -> ServerState:
    """Return a backend server that has requests of this VM in flight."""
    state = ServerState(
        BackendServer(server_id, service, "127.0.0.1", 1, failure_domain)
    )
    state.in_flight = load
    return state
