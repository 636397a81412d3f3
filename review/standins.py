"""Stand-ins for the cases of this review: store, engines, clients and machines.

Each follows the users' pages and uses the standard library alone. The machines are the
project's own gateways, started as the deploy file starts them.
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

STORE_HOST = "127.0.7.1"
ENGINE_HOST = "127.0.7.2"

HEARTBEAT_S = 1.2

Header = tuple[str, str]


class Record:
    """Writes what was sent, answered and run into ``record.txt`` of a case.

    Args:
        folder: the case's folder.
    """

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        passed = time.monotonic() - self._started
        self._file.write(f"{passed:8.3f} {text}\n")
        self._file.flush()

    def tell(self, text: str) -> None:
        """Write a line, and print it."""
        self.note(text)
        print(text, flush=True)


async def start_server(
    serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
    host: str,
    port: int = 0,
) -> tuple[asyncio.Server, int]:
    """Start a TCP server that survives the errors of its connections."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            await serve(reader, writer)
        writer.close()

    server = await asyncio.start_server(handle, host, port, backlog=1024)
    return server, server.sockets[0].getsockname()[1]


@dataclass
class Message:
    """The head and body of a request."""

    method: str
    target: str
    headers: list[Header]
    body: bytes

    def find(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return ""


async def read_request(reader: asyncio.StreamReader) -> Message:
    """Read one request that has a length, or no body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    method, target, _ = first.split(" ")
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.strip(), value.strip()))
    message = Message(method, target, headers, b"")
    length = int(message.find("content-length") or 0)
    if length:
        message.body = await reader.readexactly(length)
    return message


# the platform's store


@dataclass
class Topic:
    """A topic with one partition."""

    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, record: bytes) -> int:
        """Append a record and return its offset."""
        self.records.append(record)
        offset = len(self.records) - 1
        key_end = 1 + record[0]
        key, value = record[1:key_end].decode(), record[key_end:]
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


class Store:
    """The platform's store, for keyed topics.

    While it is silent, calls get no answer and do nothing. A connection that has lost
    an answer says nothing more, also after the disruption; new ones work.

    Attributes:
        silent: whether the store is silent.
        port: its port.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._topics: dict[str, Topic] = {}
        self.silent = False
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        self._server, self.port = await start_server(self._serve, STORE_HOST)

    def put(self, topic: str, key: str, value: object | None) -> None:
        """Write a record as the operator and the engines do."""
        name = key.encode()
        data = b"" if value is None else json.dumps(value).encode()
        self._find(topic).append(bytes([len(name)]) + name + data)

    def _find(self, topic: str) -> Topic:
        return self._topics.setdefault(topic, Topic())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            message = await read_request(reader)
            peer = writer.get_extra_info("peername")
            found = None if self.silent else await self._answer(message)
            if found is None or self.silent:
                self._record.note(f"store: no answer to {peer} {message.target[:60]}")
                await reader.read()
                return
            status, body = found
            head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()

    async def _answer(self, message: Message) -> tuple[int, bytes] | None:
        await asyncio.sleep(0.004)
        url = urlsplit(message.target)
        query = {name: found[0] for name, found in parse_qs(url.query).items()}
        if url.path == "/log-append":
            return self._append(query["topic"], message.body)
        if url.path == "/log-newest":
            return self._list_newest(query)
        if url.path == "/log-read":
            return await self._read(query)
        return 404, b""

    def _append(self, topic: str, body: bytes) -> tuple[int, bytes]:
        offset = len(self._find(topic).records)
        at = 0
        while at < len(body):
            (size,) = struct.unpack_from(">I", body, at)
            self._find(topic).append(body[at + 4 : at + 4 + size])
            at += 4 + size
        end = len(self._find(topic).records)
        return 200, json.dumps({"offset": offset, "end": end}).encode()

    def _list_newest(self, query: dict[str, str]) -> tuple[int, bytes]:
        topic = self._find(query["topic"])
        left = sorted(k for k in topic.newest if k > query.get("after", ""))
        items = []
        for key in left[:500]:
            offset, value = topic.newest[key]
            text = base64.b64encode(value).decode()
            items.append({"key_file": key, "value": text, "offset": offset})
        answer = {"items": items, "more": len(left) > 500, "end": len(topic.records)}
        return 200, json.dumps(answer).encode()

    async def _read(self, query: dict[str, str]) -> tuple[int, bytes] | None:
        topic, source = self._find(query["topic"]), int(query["source"])
        wait_s = min(30.0, int(query.get("wait_ms", "0")) / 1000)
        until = time.monotonic() + wait_s
        while source >= len(topic.records) and time.monotonic() < until:
            if self.silent:
                return None
            left_s = max(0.01, min(0.05, until - time.monotonic()))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.changed.wait(), left_s)
        answer = struct.pack(">QQ", len(topic.records), 0)
        for record in topic.records[source:]:
            answer += struct.pack(">I", len(record)) + record
        return 200, answer


# engines


class Engine:
    """An engine that keeps its entry in the store and counts what it runs.

    Args:
        server_id: its id.
        service: its service.
        zone: its zone.
        store: the store.
        record: the case's record.
        run: answers a request that the engine runs.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        zone: str,
        store: Store,
        record: Record,
        run: Callable[[Engine, Message, asyncio.StreamWriter], Awaitable[bool]],
    ) -> None:
        self.server_id = server_id
        self._service = service
        self._zone = zone
        self._store = store
        self._record = record
        self._run = run
        self._sequence = 0
        self._port = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start to listen and to write the entry."""
        self._server, self._port = await start_server(self._serve, ENGINE_HOST)
        task = asyncio.create_task(self._write_entries())
        self._tasks.add(task)

    @property
    def signature(self) -> str:
        """The signature in this engine's answers."""
        return f"sig.{self.server_id}"

    async def _write_entries(self) -> None:
        while True:
            self._sequence += 1
            entry = {
                "service": self._service,
                "address": f"{ENGINE_HOST}:{self._port}",
                "zone": self._zone,
                "version": "v1",
                "capacity": 64,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": self._sequence,
            }
            if not self._store.silent:
                self._store.put("keyed.servers", self.server_id, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            message = await read_request(reader)
            attempt = message.find("attempt-id")
            target = message.find("target-instance")
            if target and target != self.server_id:
                head = f"HTTP/1.1 421 X\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n"
                writer.write(head.encode() + b"Content-Length: 0\r\n\r\n")
                continue
            self._record.note(f"engine {self.server_id} runs {attempt}")
            if not await self._run(self, message, writer):
                return


# machines


@dataclass
class Machine:
    """A machine of the system that runs one gateway.

    Attributes:
        name: its name.
        host: its address.
        zone: its zone.
        fields: its settings.
        process: the gateway.
    """

    name: str
    host: str
    zone: str
    fields: dict[str, str]
    folder: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def port(self) -> int:
        """The port for clients."""
        return int(self.fields["listen.frontend"].rpartition(":")[2])

    async def start(self) -> None:
        """Start the gateway with the command of the deploy file."""
        settings = self.folder / f"{self.name}.conf"
        lines = [f"{name}={value}\n" for name, value in self.fields.items()]
        settings.write_text("".join(lines), encoding="utf-8")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["RAMPPIN_SETTINGS"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-S",
                "-m",
                "ramppin_platform",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def kill(self) -> None:
        """Kill the gateway."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the machine answers 200 to the question for readiness."""
        port = int(self.fields["listen.readiness"].rpartition(":")[2])
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, port)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


def choose_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free on all the addresses."""
    found: list[int] = []
    while len(found) < count:
        with contextlib.ExitStack() as held:
            first = held.enter_context(socket.socket())
            first.bind((hosts[0], 0))
            port = first.getsockname()[1]
            try:
                for host in hosts[1:]:
                    held.enter_context(socket.socket()).bind((host, port))
                for host in hosts:
                    kind = socket.SOCK_DGRAM
                    held.enter_context(socket.socket(type=kind)).bind((host, port))
            except OSError:
                continue
            if port not in found:
                found.append(port)
    return found


def build_machines(
    count: int, zones: list[str], store: Store, folder: Path
) -> list[Machine]:
    """Return the machines of a small deployment, with the settings of the pages."""
    hosts = [f"127.0.8.{number + 1}" for number in range(count)]
    clients, ready, control, inner, operators = choose_ports(hosts, 5)
    seeds = ",".join(f"{host}:{control}" for host in hosts[:3])
    machines = []
    for number, host in enumerate(hosts):
        zone = zones[number % len(zones)]
        fields = {
            "node_name": f"edge-{zone}-{number + 1}",
            "role": "gateway",
            "machine_class": "edge",
            "serves": "edge,control",
            "ip": host,
            "zone": zone,
            "region": "sul",
            "listen.frontend": f"{host}:{clients}",
            "listen.readiness": f"{host}:{ready}",
            "listen.control_plane": f"{host}:{control}",
            "internal_port_range": f"{inner},{inner}",
            "operations_port": str(operators),
            "seed_nodes": seeds,
            "bootstrap": "true",
            "limits.cpu_quota": "1.07",
            "limits.cpu_cores": "1",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "limits.bandwidth_mbps": "1000.0",
            "limits.disk_mb": "0",
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_interval_ms": "1200",
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,"
            "tenants,platform",
            "bounds.seed_lag_s": "3",
            "bounds.reuse_delay_s": "2",
            "bounds.contact_ms": "3000",
            "bounds.ack_timeout_ms": "4000",
            "bounds.catch_up_s": "4",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.loss_slack_ms": "200",
            "bounds.config_apply_ms": "2000",
            "bounds.rollback_slack_ms": "250",
            "bounds.max_stretch_ms": "5000",
            "bounds.revoke_fail_closed": "false",
            "bounds.revoke_ms": "5000",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.retry_window_s": "10",
            "bounds.retry_min_extra": "56",
            "bounds.recovery_s": "12",
            "bounds.iteration_ms": "120",
            "bounds.retry_after_s": "10",
            "bounds.capacity_factor": "2",
            "platform.address": f"{STORE_HOST}:{store.port}",
            "platform.form": "log",
            "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000",
            "platform.parts": "12",
            "platform.keep_s": "300",
            "platform.ttl_min_ms": "1000",
        }
        machines.append(Machine(fields["node_name"], host, zone, fields, folder))
    return machines


async def wait_until(
    check: Callable[[], Awaitable[bool]], timeout_s: float, what: str
) -> None:
    """Wait until a check holds; raise CaseError if that takes too long."""
    until = time.monotonic() + timeout_s
    while not await check():
        if time.monotonic() > until:
            raise CaseError(f"not within {timeout_s:.0f} s: {what}")
        await asyncio.sleep(0.05)


class CaseError(Exception):
    """The case could not run."""


# clients


@dataclass
class Answer:
    """What a client received.

    Attributes:
        status: the status; 0 if there was no answer.
        headers: its headers.
        body: the bytes of its body, without the framing.
        framing: ``length``, ``chunked`` or ``close``; empty without an answer.
        ended: ``whole`` if the framing says that the body is whole, ``cut`` if not,
            ``reset`` after a reset, ``none`` without an answer.
    """

    status: int = 0
    headers: list[Header] = field(default_factory=list)
    body: bytes = b""
    framing: str = ""
    ended: str = "none"

    def find(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        return Message("", "", self.headers, b"").find(name)


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer as RFC 9112, section 6.3, tells."""
    answer = Answer()
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip("\r\n").split("\r\n")
        answer.status = int(first.split(" ")[1])
        for line in lines:
            name, _, value = line.partition(":")
            answer.headers.append((name.strip(), value.strip()))
        if answer.find("transfer-encoding").lower() == "chunked":
            answer.framing = "chunked"
            await _read_chunks(reader, answer)
        elif answer.find("content-length"):
            answer.framing = "length"
            await _read_length(reader, answer)
        else:
            answer.framing = "close"
            while data := await reader.read(65536):
                answer.body += data
            answer.ended = "whole"
    except asyncio.IncompleteReadError:
        answer.ended = "cut" if answer.status else "none"
    except OSError:
        answer.ended = "reset"
    return answer


async def _read_chunks(reader: asyncio.StreamReader, answer: Answer) -> None:
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        answer.body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    answer.ended = "whole"


async def _read_length(reader: asyncio.StreamReader, answer: Answer) -> None:
    answer.body = await reader.readexactly(int(answer.find("content-length")))
    answer.ended = "whole"


async def ask(
    machine: Machine, path: str, attempt: str, *, deadline_ms: int, key: str = "key-1"
) -> Answer:
    """Send one request over a new connection, and return its answer."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(machine.host, machine.port)
    except (OSError, TimeoutError):
        return Answer()
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: app.example",
        f"Attempt-Id: {attempt}",
        f"Deadline-Ms: {deadline_ms}",
        f"Api-Key: {key}",
        "Content-Length: 2",
    ]
    writer.write(("\r\n".join(lines) + "\r\n\r\nhi").encode())
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            return await read_answer(reader)
    except TimeoutError:
        return Answer()
    finally:
        writer.close()


def run_case(folder: Path, play: Callable[[Record, Path], Awaitable[bool]]) -> None:
    """Run a case and exit: 0 if the rule held, 1 if it was broken, 2 on an error."""
    record = Record(folder)
    with tempfile.TemporaryDirectory() as scratch:
        try:
            held = asyncio.run(_play(record, Path(scratch), play))
        except (Exception, asyncio.CancelledError) as error:
            # Python would exit with 1, which means that the rule was broken.
            record.tell(f"could not run: {error!r}")
            sys.exit(2)
    record.tell("held" if held else "BROKEN")
    sys.exit(0 if held else 1)


async def _play(
    record: Record, scratch: Path, play: Callable[[Record, Path], Awaitable[bool]]
) -> bool:
    task = asyncio.current_task()
    assert task is not None
    # So that the case ends its processes.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(115):
        return await play(record, scratch)


def has_trouble() -> bool:
    """Return whether the case is to be run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"
