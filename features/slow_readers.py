"""One gateway process with a memory limit, callers that read slowly, and others.

Servers and callers run on one event loop. The slow callers are plain sockets with small
receive buffers that are read in turns, since 1,000 tasks would distort the latencies
that are measured beside them.
"""

from __future__ import annotations

import asyncio
import json
import random
import re
import socket
import statistics
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from features.gateway_support import HOST, KEY
from standins.common import wait_for

MEMORY_MB = 200
MAX_BODY_BYTES = 2_000_000
TURNS_PER_S = 10
"""Turns in which the slow callers read, each of which reads a tenth of them."""
RECEIVE_BUFFER_BYTES = 4_096
CUT_AFTER_S = 3.0
"""Seconds after which a server cuts off an answer that is left unread."""
QUICK_CALLERS = 10
QUICK_GAP_S = 0.05


class SlowServer(asyncio.Protocol):
    """A backend server: ``/size/N`` answers N bytes, ``/unread`` stops reading."""

    def __init__(self, servers: Servers) -> None:
        self._servers = servers
        self._data = b""
        self._transport: asyncio.Transport | None = None
        self._cut: asyncio.TimerHandle | None = None

    def connection_made(self, transport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._data += data
        while b"\r\n\r\n" in self._data:
            head, _, rest = self._data.partition(b"\r\n\r\n")
            if b" /unread" in head:
                self._servers.unread.append(self)
                self._transport.pause_reading()
                return
            found = re.search(rb"content-length: (\d+)", head.lower())
            length = int(found[1]) if found else 0
            if len(rest) < length:
                return
            self._data = rest[length:]
            self._answer(head)

    def _answer(self, head: bytes) -> None:
        size = int(re.search(rb"/size/(\d+)", head)[1])
        request_id = re.search(rb"ramppin-request-id: (\S+)", head.lower())[1]
        lines = b"HTTP/1.1 200 OK\r\nRamppin-Request-Id: %b\r\nRamppin-Signature: s\r\n"
        lines += b"Content-Length: %d\r\n\r\n"
        self._transport.write(lines % (request_id, size) + bytes(size))

    def pause_writing(self) -> None:
        self._cut = asyncio.get_running_loop().call_later(CUT_AFTER_S, self._abort)

    def resume_writing(self) -> None:
        if self._cut is not None:
            self._cut.cancel()

    def _abort(self) -> None:
        self._servers.cut += 1
        self._transport.abort()

    def connection_lost(self, exc) -> None:
        self.resume_writing()


@dataclass
class Servers:
    """What the backend servers did.

    Attributes:
        cut: answers that they cut off since nobody read them.
        unread: connections on which they left a body unread; without a reference the
            paused transports would be collected as garbage and closed.
    """

    cut: int = 0
    unread: list[SlowServer] = field(default_factory=list)


@dataclass(eq=False)
class SlowCaller:
    """A caller that reads 1 kB a second.

    Attributes:
        size: size of the answer's body.
        data: what it has read.
        ended: whether the connection has ended.
        was_reset: whether it ended with a reset.
    """

    size: int
    sock: socket.socket
    data: bytearray = field(default_factory=bytearray)
    ended: bool = False
    was_reset: bool = False

    def read(self, size: int) -> bool:
        """Read up to a number of bytes; return whether there were any."""
        try:
            data = self.sock.recv(size)
        except BlockingIOError:
            return False
        except OSError:
            data = b""
            self.was_reset = True
        self.ended = self.ended or not data
        self.data += data
        return bool(data)

    @property
    def whole(self) -> bool:
        """Whether the answer has arrived completely."""
        head, separator, body = bytes(self.data).partition(b"\r\n\r\n")
        return bool(separator) and b" 200 " in head and len(body) == self.size

    @property
    def status(self) -> int:
        """Status of the answer; 0 if there is none yet."""
        return int(self.data[9:12]) if len(self.data) >= 12 else 0


def encode(path: str, *, body: bytes = b"", number: int = 0) -> bytes:
    """Return a request's bytes."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Ramppin-Request-Id: r{number}",
        f"Ramppin-Api-Key: {KEY}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class SlowReadersTrial:
    """Starts the gateway and lets callers be slow.

    Args:
        budget: whether the gateway has a memory limit.
        servers: number of backend servers.
        quick_callers: number of callers that read at once.

    Attributes:
        servers: what the servers did.
        slow: the slow callers.
        latencies: seconds of each answer to the other callers, by phase.
        failures: their answers that were not 200.
        peak_mb: the largest resident memory that was seen, in MB.
    """

    def __init__(
        self,
        *,
        budget: bool = True,
        servers: int = 4,
        quick_callers: int = QUICK_CALLERS,
    ) -> None:
        self._budget = budget
        self._server_count = servers
        self._quick_callers = quick_callers
        self.servers = Servers()
        self.slow: list[SlowCaller] = []
        self.latencies: dict[str, list[float]] = {}
        self.failures: list[int] = []
        self.peak_mb = 0.0
        self._phase = ""
        self._scratch = tempfile.TemporaryDirectory()
        self._tasks: list[asyncio.Task[None]] = []
        self._random = random.Random(1)

    async def start(self) -> None:
        """Start the servers, the gateway and the callers that read at once."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: SlowServer(self.servers), "127.0.0.1", 0, backlog=1024
        )
        port = self._server.sockets[0].getsockname()[1]
        folder = Path(self._scratch.name)
        (folder / "tables.jsonc").write_text(
            json.dumps(build_tables(port, self._server_count))
        )
        settings = {"vm": "v", "caller_port": 0, "tables": "tables.jsonc"}
        if self._budget:
            settings["memory_mb"] = MEMORY_MB
        path = folder / "gateway.jsonc"
        path.write_text(json.dumps(settings))
        self.log_path = folder / "lines.log"
        with self.log_path.open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "features.memory_vm",
                str(path),
                stdout=log,
                stderr=asyncio.subprocess.PIPE,
            )
        line = await asyncio.wait_for(self._process.stderr.readline(), 30)
        self.port = int(re.search(rb"callers=(\d+)", line)[1])
        self.operations_port = int(re.search(rb"operations=(\d+)", line)[1])
        await wait_for(self._is_served, "the gateway serves")
        for work in (self._read_slowly(), self._watch_memory()):
            self._tasks.append(asyncio.create_task(work))
        for number in range(self._quick_callers):
            self._tasks.append(asyncio.create_task(self._ask_quickly(number)))

    async def stop(self) -> None:
        """Stop everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for caller in self.slow:
            caller.sock.close()
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
        self._server.close()
        self._scratch.cleanup()

    def begin(self, phase: str) -> None:
        """Count the latencies that follow for a phase."""
        self._phase = phase
        self.latencies[phase] = []

    async def add_slow(
        self, path: str, size: int, *, body: bytes = b"", gap_s: float = 0.0
    ) -> SlowCaller:
        """Let one more caller ask and read slowly."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", self.port))
        caller = SlowCaller(size, sock)
        request = encode(path, body=body, number=len(self.slow))
        if body:
            task = asyncio.create_task(send_body(sock, request))
            self._tasks.append(task)
        else:
            await loop.sock_sendall(sock, request)
        self.slow.append(caller)
        return caller

    def read_lines(self, event: str) -> list[dict]:
        """Return the decision lines of an event."""
        lines = map(json.loads, self.log_path.read_text().splitlines())
        return [line for line in lines if line["event"] == event]

    async def read_metrics(self) -> dict[str, float]:
        """Return the gateway's metrics, those without labels by name."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.operations_port
        )
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        data = (await reader.read()).partition(b"\r\n\r\n")[2].decode()
        writer.close()
        lines = [line for line in data.splitlines() if not line.startswith("#")]
        pairs = (line.rpartition(" ") for line in lines)
        return {name: float(value) for name, _, value in pairs}

    def measure_median(self, phase: str) -> float:
        """Return the median of a phase's latencies, in ms."""
        return 1000 * statistics.median(self.latencies[phase])

    async def read_rest(self, callers: list[SlowCaller]) -> None:
        """Read the rest of some answers at once."""

        def read() -> bool:
            for caller in callers:
                while not (caller.whole or caller.ended) and caller.read(65_536):
                    pass
            return all(caller.whole or caller.ended for caller in callers)

        await wait_for(read, "the answers have ended")

    async def _is_served(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(encode("/size/1"))
            line = await asyncio.wait_for(reader.readline(), 5)
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    async def _read_slowly(self) -> None:
        for turn in count_turns():
            part = self.slow[turn % TURNS_PER_S :: TURNS_PER_S]
            for caller in part:
                if not caller.ended:
                    caller.read(1000)
            await asyncio.sleep(1 / TURNS_PER_S)

    def measure_memory_mb(self) -> float:
        """Return the gateway's resident memory, in MB."""
        text = Path(f"/proc/{self._process.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) * 1024 / 1e6

    async def _watch_memory(self) -> None:
        while self._process.returncode is None:
            self.peak_mb = max(self.peak_mb, self.measure_memory_mb())
            await asyncio.sleep(0.02)

    async def _ask_quickly(self, number: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        while True:
            started = time.monotonic()
            writer.write(encode("/size/1000", body=bytes(2000), number=number))
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(re.search(rb"content-length: (\d+)", head.lower())[1])
            await reader.readexactly(length)
            self.latencies[self._phase].append(time.monotonic() - started)
            if b" 200 " not in head:
                self.failures.append(int(head[9:12]))
            await asyncio.sleep(QUICK_GAP_S * (0.5 + self._random.random()))


async def send_body(sock: socket.socket, request: bytes) -> None:
    try:
        await asyncio.get_running_loop().sock_sendall(sock, request)
    except OSError:
        return


def build_tables(port: int, servers: int) -> dict:
    rules = {"kind": "once", "time_limit_s": 60.0}
    # Idle connections are used again at once only for requests that may be repeated.
    again = {"kind": "repeatable", "max_attempts": 1, "time_limit_s": 60.0}
    routes = {
        "/": {"service": "plain", "rules": rules},
        "/again/": {"service": "plain", "rules": again},
    }
    return {
        "routing": {
            "version": 1,
            "overload": {"enabled": False},
            "services": {"plain": {}},
            "hosts": {HOST: {"routes": routes}},
            "customers": {"choir": {"keys": [KEY]}},
            "limits": {"max_body_bytes": MAX_BODY_BYTES},
        },
        "backend_servers": {
            f"p{number}": {"service": "plain", "address": f"127.0.0.1:{port}"}
            for number in range(servers)
        },
    }


def count_turns() -> Iterator[int]:
    turn = 0
    while True:
        yield turn
        turn += 1
