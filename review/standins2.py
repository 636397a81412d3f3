"""Stand-ins for the second review: the platform's store, engines, clients, processes.

Written after PROTOCOL.md and DEPLOY.md; standard library only. Each listens on loopback
and writes what it sees to a :class:`Record`.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent

RESET = struct.pack("ii", 1, 0)
"""SO_LINGER without time: closing resets."""


def has_trouble() -> bool:
    """Return whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        """Write one line."""
        line = f"{time.monotonic() - self._began:8.3f} s  {text}"
        self.lines.append(line)
        print(line, file=self._file, flush=True)


@dataclass
class Topic:
    """Partition 0 of one topic."""

    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, record: bytes) -> int:
        """Append a record, and return its offset."""
        offset = len(self.records)
        self.records.append(record)
        end = 1 + record[0]
        key, value = record[1:end].decode(), record[end:]
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


class Listener:
    """A TCP server on loopback that tracks its connections."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._track, host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _track(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self.serve(reader, writer)
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        raise NotImplementedError


@dataclass
class Request:
    """A request as it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request with a length, or without a body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = head[:-4].split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


class Store(Listener):
    """The platform's store: keyed topics of one partition."""

    def __init__(self) -> None:
        super().__init__()
        self.topics: dict[str, Topic] = {}

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a record as the operator and the engines do; None removes the key."""
        name = key.encode()
        data = b"" if value is None else json.dumps(value).encode()
        self._find(topic).append(bytes([len(name)]) + name + data)

    def _find(self, topic: str) -> Topic:
        return self.topics.setdefault(topic, Topic())

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        while True:
            request = await read_request(reader)
            status, answer = await self._answer(request)
            head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(answer)}\r\n\r\n"
            writer.write(head.encode() + answer)
            await writer.drain()

    async def _answer(self, request: Request) -> tuple[int, bytes]:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = self._find(query.get("topic", ""))
        if url.path == "/log-append":
            return 200, self._append(topic, request.body)
        if url.path == "/log-newest":
            return 200, self._page(topic, query.get("after", ""))
        if url.path == "/log-read":
            return 200, await self._read(topic, query)
        return 404, b""

    def _append(self, topic: Topic, body: bytes) -> bytes:
        offset, at = len(topic.records), 0
        while at < len(body):
            (size,) = struct.unpack_from(">I", body, at)
            topic.append(body[at + 4 : at + 4 + size])
            at += 4 + size
        return json.dumps({"offset": offset, "end": len(topic.records)}).encode()

    def _page(self, topic: Topic, after: str) -> bytes:
        left = [(key, at) for key, at in sorted(topic.newest.items()) if key > after]
        items = [
            {"key_file": key, "value": base64.b64encode(value).decode(), "offset": at}
            for key, (at, value) in left[:500]
        ]
        more = len(left) > len(items)
        answer = {"items": items, "more": more, "end": len(topic.records)}
        return json.dumps(answer).encode()

    async def _read(self, topic: Topic, query: dict[str, str]) -> bytes:
        source = int(query["source"])
        ends_at = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while source >= len(topic.records):
            left = ends_at - time.monotonic()
            if left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.changed.wait(), left)
        answer = struct.pack(">QQ", len(topic.records), 0)
        for record in topic.records[source:]:
            answer += struct.pack(">I", len(record)) + record
        return answer


Script = Callable[["Engine", Request, asyncio.StreamWriter], Awaitable[None]]


class Engine(Listener):
    """An engine: answers requests by a script, and notes which of them it runs.

    Attributes:
        engine_id: its id in the store.
        record: where that is noted.
        runs: ids of the requests that it began to work on.
    """

    def __init__(self, engine_id: str, record: Record, script: Script) -> None:
        super().__init__()
        self.engine_id = engine_id
        self.record = record
        self.runs: list[str] = []
        self._script = script

    def describe(self, service: str, state: str = "ready") -> dict[str, object]:
        """Return its entry in the store."""
        return {
            "service": service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "porto",
            "version": "v1",
            "capacity": 6,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        while True:
            request = await read_request(reader)
            if request.method == "GET" and request.target == "/healthz":
                head = f"Instance-Id: {self.engine_id}\r\nContent-Length: 0\r\n\r\n"
                writer.write(b"HTTP/1.1 200 OK\r\n" + head.encode())
                continue
            if request.headers.get("target-instance", self.engine_id) != self.engine_id:
                await self.answer(writer, request, 421, signed=False)
                continue
            await self._script(self, request, writer)

    def begin(self, request: Request) -> None:
        """Note that the engine begins to work on a request."""
        attempt = request.headers.get("attempt-id", "")
        self.runs.append(attempt)
        tenant = request.headers.get("tenant-id", "(none)")
        self.record.note(
            f"engine {self.engine_id} runs {attempt}, Tenant-Id {tenant}, "
            f"{request.method} {request.target}"
        )

    async def answer(
        self,
        writer: asyncio.StreamWriter,
        request: Request,
        status: int,
        body: bytes = b"",
        *,
        headers: str = "",
        signed: bool = True,
    ) -> None:
        """Send a whole answer."""
        attempt = request.headers.get("attempt-id", "")
        head = f"HTTP/1.1 {status} X\r\nAttempt-Id: {attempt}\r\n{headers}"
        if signed:
            head += f"Engine-Signature: {self.engine_id}.{attempt}\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()


async def run_well(
    engine: Engine, request: Request, writer: asyncio.StreamWriter
) -> None:
    """Run a request and answer 200."""
    engine.begin(request)
    await asyncio.sleep(0.02)
    await engine.answer(writer, request, 200, b"done " + engine.engine_id.encode())


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


@dataclass
class Answer:
    """What a client got.

    Attributes:
        status: 0 if the connection ended without an answer.
        headers: the headers, names in lower case.
        body: the body as far as it came.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Gateway:
    """One gateway process, started as the deploy file says."""

    def __init__(self, folder: Path, name: str, host: str, record: Record) -> None:
        self.name = name
        self.host = host
        self._folder = folder
        self._record = record
        self._process: asyncio.subprocess.Process | None = None
        self.ports: dict[str, int] = {}

    @property
    def _log(self) -> Path:
        return self._folder / f"{self.name}.log"

    async def start(
        self, store_port: int, shared: tuple[int, int], more: dict[str, str]
    ) -> None:
        """Start the process, and wait until it is ready.

        Args:
            store_port: port of the store.
            shared: the ports that are the same on all machines: for the control plane
                and the first internal one.
            more: further settings.
        """
        frontend, readiness, operations = find_free_ports(self.host, 3)
        control, internal = shared
        fields = {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "edge",
            "serves": "edge,control",
            "ip": self.host,
            "zone": "porto",
            "region": "sul",
            "listen.frontend": f"{self.host}:{frontend}",
            "listen.readiness": f"{self.host}:{readiness}",
            "listen.control_plane": f"{self.host}:{control}",
            "internal_port_range": f"{internal},{internal + 3}",
            "operations_port": str(operations),
            "seed_nodes": f"127.0.0.1:{control}",
            "bootstrap": "true",
            "limits.cpu_quota": "0.537",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "limits.bandwidth_mbps": "1000.0",
            "heartbeat_interval_ms": "1200",
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,"
            "platform",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.config_apply_ms": "2000",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.retry_window_s": "10",
            "bounds.retry_min_extra": "56",
            "platform.address": f"127.0.0.1:{store_port}",
            "platform.form": "log",
        } | more
        path = self._folder / f"{self.name}.conf"
        path.write_text("".join(f"{name}={v}\n" for name, v in fields.items()))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["RAMPPIN_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "-S",
                "-m",
                "ramppin_platform",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        await wait_for(self._find_started, f"{self.name} has started")
        await wait_for(self.is_ready, f"{self.name} is ready")
        self._record.note(f"gateway {self.name} is ready")

    async def _find_started(self) -> bool:
        for line in self._log.read_text().splitlines():
            if '"event":"started"' in line:
                found = json.loads(line)
                self.ports = {k: v for k, v in found.items() if isinstance(v, int)}
        return bool(self.ports)

    async def is_ready(self) -> bool:
        """Return whether it counts as ready."""
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.ports["readiness"]
            )
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._record.note(f"{number.name} to gateway {self.name}")
        self._process.send_signal(number)

    async def stop(self) -> None:
        """Kill the process if it still runs."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()

    def list_events(self, event: str) -> list[dict[str, object]]:
        """Return the lines of one event that it wrote."""
        found = []
        for line in self._log.read_text().splitlines():
            if f'"event":"{event}"' in line:
                found.append(json.loads(line))
        return found


class Client:
    """Sends requests to a gateway, each on a connection of its own."""

    def __init__(self, gateway: Gateway, record: Record, host: str) -> None:
        self._gateway = gateway
        self._record = record
        self._host = host

    async def ask(
        self,
        path: str,
        attempt: str,
        *,
        key: str | None,
        method: str = "POST",
        deadline_ms: int = 3000,
        body: bytes = b"book it",
        headers: str = "",
    ) -> Answer:
        """Send one request, and return its answer."""
        head = f"{method} {path} HTTP/1.1\r\nHost: {self._host}\r\n"
        head += f"Attempt-Id: {attempt}\r\nDeadline-Ms: {deadline_ms}\r\n{headers}"
        if key is not None:
            head += f"Api-Key: {key}\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        self._record.note(f"client sends {attempt} with key {key}: {method} {path}")
        answer = Answer()
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                reader, writer = await asyncio.open_connection(
                    self._gateway.host, self._gateway.ports["callers"]
                )
                writer.write(head.encode() + body)
                answer = await read_answer(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self._record.note(f"client has no whole answer to {attempt}: {error!r}")
        shown = {
            name: value
            for name, value in answer.headers.items()
            if name in ("retry-after", "engine-signature", "not-executed")
        }
        self._record.note(
            f"client gets {answer.status} to {attempt} {shown} {answer.body[:40]!r}"
        )
        return answer


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer with a length, with chunks, or until the close."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = head[:-4].split("\r\n")
    answer = Answer(int(first.split(" ")[1]))
    for line in rest:
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    elif answer.headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readline(), 16):
            answer.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    else:
        answer.body = await reader.read()
    return answer


def find_free_ports(host: str, count: int) -> list[int]:
    """Return free ports of an address."""
    with contextlib.ExitStack() as held:
        sockets = [held.enter_context(socket.socket()) for _ in range(count)]
        for one in sockets:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            one.bind((host, 0))
        return [one.getsockname()[1] for one in sockets]


async def wait_for(
    check: Callable[[], Awaitable[bool]], what: str, limit_s: float = 15.0
) -> None:
    """Wait until a condition holds; raise ``CannotRunError`` otherwise."""
    ends_at = time.monotonic() + limit_s
    while time.monotonic() < ends_at:
        if await check():
            return
        await asyncio.sleep(0.05)
    raise CannotRunError(f"not in {limit_s} s: {what}")


class CannotRunError(Exception):
    """The case could not run."""


@dataclass
class Fleet:
    """A store, engines and gateways of one case."""

    record: Record
    folder: Path
    store: Store = field(default_factory=Store)
    engines: list[Engine] = field(default_factory=list)
    gateways: list[Gateway] = field(default_factory=list)

    async def add_engine(self, engine_id: str, service: str, script: Script) -> Engine:
        """Start an engine, and write its entry."""
        engine = Engine(engine_id, self.record, script)
        await engine.start()
        self.engines.append(engine)
        self.store.put("keyed.servers", engine_id, engine.describe(service))
        return engine

    async def start_gateways(
        self, count: int, more: dict[str, str] | None = None
    ) -> list[Gateway]:
        """Start gateways side by side on 127.0.0.1, 127.0.0.2 and so on."""
        control, internal = find_free_ports("127.0.0.1", 2)
        for number in range(1, count + 1):
            gateway = Gateway(
                self.folder, f"edge-porto-{number}", f"127.0.0.{number}", self.record
            )
            self.gateways.append(gateway)
            await gateway.start(self.store.port, (control, internal), more or {})
        return self.gateways

    async def stop(self) -> None:
        """End everything that was started."""
        for gateway in self.gateways:
            await gateway.stop()
        for engine in self.engines:
            await engine.stop()
        await self.store.stop()


def run_case(folder: Path, case: Callable[[Fleet], Awaitable[bool]]) -> int:
    """Run a case and return its exit code: 1 if the rule was broken, 0 if it held."""
    record = Record(folder / "record.txt")

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as scratch:
            fleet = Fleet(record, Path(scratch))
            try:
                await fleet.store.start()
                record.note(f"trouble: {has_trouble()}")
                async with asyncio.timeout(110):
                    is_broken = await case(fleet)
            except (
                CannotRunError,
                OSError,
                TimeoutError,
                asyncio.CancelledError,
            ) as error:
                record.note(f"could not run: {error!r}")
                return 2
            finally:
                await fleet.stop()
        record.note("the rule was broken" if is_broken else "the rule held")
        return int(is_broken)

    code = asyncio.run(run())
    print(record.lines[-1], file=sys.stderr)
    return code
