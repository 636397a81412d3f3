"""A stand-in for the users' platform: its store, and processes through the adapter.

These files and ``platform/`` alone use the platform's names.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

from features.gateway_support import RawCaller
from ramppin_platform.vocabulary import HEADER_NAMES
from standins.backend import BackendStandIn
from standins.common import wait_for
from standins.streams import StreamServer

MAX_WAIT_S = 30.0


@dataclass
class Topic:
    """One partition of a topic."""

    first: int = 0
    records: list[bytes] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def append(self, record: bytes) -> int:
        self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.end - 1


@dataclass
class StoreStandIn(StreamServer):
    """Speaks the store's protocol for keyed topics.

    Attributes:
        refuse: status with which every call is refused; 0 for none.
        silent: calls get no answer.
        lose_answers: appends are done and not answered.
        refuse_appends: status with which calls that write are refused; 0 for none.
        delays_s: seconds before a call for a topic is answered, by the topic's name.
        page: records of one page of newest ones.
        calls: how many calls arrived, by path.
    """

    refuse: int = 0
    silent: bool = False
    lose_answers: bool = False
    refuse_appends: int = 0
    delays_s: dict[str, float] = field(default_factory=dict)
    page: int = 500
    calls: dict[str, int] = field(default_factory=dict)
    topics: dict[str, Topic] = field(default_factory=dict)
    newest: dict[str, dict[str, tuple[int, bytes]]] = field(default_factory=dict)

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Write a record as the operator and the backend servers do."""
        name = key.encode()
        self._append(topic, bytes([len(name)]) + name + (value or b""))

    def drop_history(self, topic: str) -> None:
        """Drop all records but the newest of each key."""
        found = self.topics[topic]
        found.first, found.records = found.end, []

    def _append(self, topic: str, record: bytes) -> int:
        offset = self.topics.setdefault(topic, Topic()).append(record)
        key_end = 1 + record[0]
        keys = self.newest.setdefault(topic, {})
        key, value = record[1:key_end].decode(), record[key_end:]
        if value:
            keys[key] = (offset, value)
        else:
            keys.pop(key, None)
        return offset

    async def serve(self, reader, writer) -> None:
        """Answer the calls of one connection."""
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            method, target, _ = head.split(b"\r\n")[0].split(b" ")
            length = 0
            for line in head.lower().split(b"\r\n"):
                if line.startswith(b"content-length:"):
                    length = int(line.partition(b":")[2])
            body = await reader.readexactly(length)
            status, answer = await self._answer(method, target.decode(), body)
            writer.write(
                b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b"
                % (status, len(answer), answer)
            )
            await writer.drain()

    async def _answer(self, method, target, body) -> tuple[int, bytes]:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.calls[url.path] = self.calls.get(url.path, 0) + 1
        while self.silent:
            await asyncio.sleep(0.02)
        if self.refuse:
            return self.refuse, b""
        await asyncio.sleep(self.delays_s.get(query.get("topic", ""), 0.0))
        if url.path == "/log-append" and self.refuse_appends:
            return self.refuse_appends, b""
        if url.path == "/log-append":
            offset = self._append(query["topic"], body[4:])
            while self.lose_answers:
                await asyncio.sleep(0.02)
            return 200, json.dumps({"offset": offset, "end": offset + 1}).encode()
        if url.path == "/log-newest":
            return 200, self._page(query)
        if url.path == "/log-read":
            return await self._read(query)
        return 404, b""

    def _page(self, query) -> bytes:
        topic = query["topic"]
        found = sorted(self.newest.get(topic, {}).items())
        after = query.get("after", "")
        left = [(key, record) for key, record in found if key > after]
        items = [
            {"key_file": key, "value": base64.b64encode(value).decode(), "offset": at}
            for key, (at, value) in left[: self.page]
        ]
        end = self.topics.get(topic, Topic()).end
        more = len(left) > self.page
        return json.dumps({"items": items, "more": more, "end": end}).encode()

    async def _read(self, query) -> tuple[int, bytes]:
        topic = self.topics.setdefault(query["topic"], Topic())
        source = int(query["source"])
        deadline = asyncio.get_running_loop().time() + int(query["wait_ms"]) / 1000
        while source >= topic.end and not self.refuse:
            left = deadline - asyncio.get_running_loop().time()
            if left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.changed.wait(), min(left, 0.1))
        if self.refuse:
            return self.refuse, b""
        if source < topic.first:
            return 410, json.dumps({"first": topic.first}).encode()
        answer = struct.pack(">QQ", topic.end, topic.first)
        for record in topic.records[source - topic.first :]:
            answer += struct.pack(">I", len(record)) + record
        return 200, answer


class StoreView(StoreStandIn):
    """One VM's way to a store: faults of its own, beside those of the store."""

    def __init__(self, store: StoreStandIn) -> None:
        super().__init__()
        self._store = store

    async def _answer(self, method, target, body) -> tuple[int, bytes]:
        query = parse_qs(urlsplit(target).query)
        while self.silent:
            await asyncio.sleep(0.02)
        if self.refuse:
            return self.refuse, b""
        await asyncio.sleep(self.delays_s.get(query.get("topic", [""])[0], 0.0))
        return await self._store._answer(method, target, body)


def build_config(version: int = 1, *, keys: tuple[str, ...] = ("k1",)) -> dict:
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r1",
                "host": "h.example",
                "path_prefix": "/a/",
                "type": "non_idempotent",
                "timeout_ms": 5000,
                "service": "plain",
                "max_attempts": 1,
            },
            {
                "name": "r2",
                "host": "h.example",
                "path_prefix": "/s/",
                "type": "streaming",
                "timeout_ms": 5000,
                "service": "llm",
                "max_attempts": 2,
                "session_affinity": True,
                "stream_resume": True,
            },
        ],
        "services": [
            {"name": "plain", "health_path": "/h", "max_connections": 9},
            {"name": "llm", "engine": {"capacity": 8, "kv_capacity_tokens": 9000}},
        ],
        "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
        "tenants": [{"name": "t1", "api_keys": list(keys), "priority": 1}],
    }


SHARED_HOST = "127.0.0.1"
"""The address of backend servers, callers and lone gateways."""


@dataclass
class PlatformFixture:
    """A store, backend servers, and gateway processes through the adapter."""

    store: StoreStandIn = field(default_factory=StoreStandIn)
    backends: dict[str, BackendStandIn] = field(default_factory=dict)
    processes: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)
    views: dict[str, StoreView] = field(default_factory=dict)
    sequences: dict[str, int] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)
    shared_ports: tuple[int, int] | None = None
    more_settings: dict[str, str] = field(default_factory=dict)
    program: str = "ramppin_platform"
    more_environment: dict[str, str] = field(default_factory=dict)
    scratch: tempfile.TemporaryDirectory = field(
        default_factory=tempfile.TemporaryDirectory
    )

    async def start(self) -> None:
        await self.store.start()
        self.store.put("keyed.op", "config", json.dumps(build_config()).encode())

    async def stop(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for backend in self.backends.values():
            await backend.stop()
        for view in self.views.values():
            await view.stop()
        await self.store.stop()
        self.scratch.cleanup()

    async def open_view(self, vm: str) -> StoreStandIn:
        """Return a VM's own way to the store, which may have faults of its own."""
        if vm not in self.views:
            view = StoreView(self.store)
            await view.start()
            self.views[vm] = view
        return self.views[vm]

    async def add_backend(self, server_id: str, service: str) -> BackendStandIn:
        backend = BackendStandIn(names=HEADER_NAMES)
        await backend.start()
        self.backends[server_id] = backend
        self.announce(server_id, service)
        return backend

    def announce(
        self,
        server_id: str,
        service: str,
        state: str = "ready",
        zone: str = "porto",
        born: int | None = None,
        cold_ms: int = 0,
        version: str = "v1",
        capacity: int = 8,
        sequence: int | None = None,
    ) -> None:
        """Write a server's entry; without a sequence it is the server's next one."""
        if sequence is None:
            sequence = self.sequences.get(server_id, 0) + 1
        self.sequences[server_id] = max(sequence, self.sequences.get(server_id, 0))
        entry = {
            "service": service,
            "address": f"127.0.0.1:{self.backends[server_id].port}",
            "zone": zone,
            "version": version,
            "capacity": capacity,
            "state": state,
            "cold_remaining_ms": cold_ms,
            "sequence": sequence,
        }
        if born is not None:
            entry["born"] = born
        self.store.put("keyed.servers", server_id, json.dumps(entry).encode())

    async def start_gateway(
        self,
        vm: str,
        host: str,
        zone: str = "porto",
        *,
        store: StoreStandIn | None = None,
    ) -> None:
        """Start a gateway process on a loopback address of its own.

        Args:
            vm: its name.
            host: its address.
            zone: where it stands.
            store: what it reads in place of the store of the others.
        """
        # Peers reach each other at the ports of the first; the rest are free ones.
        records, peers = self.shared_ports or (0, 0)
        frontend, readiness, operations = choose_free_ports(host, records)
        fields = {
            "node_name": vm,
            "ip": host,
            "zone": zone,
            "unknown.field": "ignored",
            "bootstrap": "false" if self._has_lost_any() else "true",
            "listen.frontend": f"{host}:{frontend}",
            "listen.readiness": f"{host}:{readiness}",
            "listen.control_plane": f"{host}:{records}",
            "internal_port_range": f"{peers},{peers + 3}",
            "operations_port": str(operations),
            "seed_nodes": f"127.0.0.1:{records}",
            "bounds.grace_s": "6",
            "platform.address": f"127.0.0.1:{(store or self.store).port}",
        } | self.more_settings
        path = Path(self.scratch.name) / f"{vm}.conf"
        path.write_text("".join(f"{name}={v}\n" for name, v in fields.items()))
        self.find_log(vm).unlink(missing_ok=True)
        log = os.open(self.find_log(vm), os.O_WRONLY | os.O_CREAT)
        self.processes[vm] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self.program,
            env=os.environ | {"RAMPPIN_SETTINGS": str(path)} | self.more_environment,
            stdout=log,
            stderr=log,
        )
        os.close(log)
        started = await wait_for(lambda: self._check_start(vm), f"{vm} has started")
        self.ports[vm] = started["callers"]
        self.shared_ports = started["records"], started["peers"]
        readiness = started["readiness"]
        await wait_for(lambda: self.is_ready(host, readiness), f"{vm} is ready")

    def _has_lost_any(self) -> bool:
        """Return whether a gateway has ended, so that starts are not the first."""
        return any(p.returncode is not None for p in self.processes.values())

    def _check_start(self, vm: str) -> dict | None:
        """Return what :meth:`find_started` does; fail if the process has ended."""
        code = self.processes[vm].returncode
        assert code is None, (vm, code, self.find_log(vm).read_text()[-1000:])
        return self.find_started(vm)

    def find_started(self, vm: str) -> dict | None:
        """Return the line that tells a gateway's ports, or None."""
        for line in self.find_log(vm).read_text().splitlines():
            if '"event":"started"' in line and line.endswith("}"):
                return json.loads(line)
        return None

    def find_log(self, vm: str) -> Path:
        """Return the file that holds what a gateway writes."""
        return Path(self.scratch.name) / f"{vm}.log"

    def change_settings(self, vm: str, name: str, value: str) -> None:
        """Change one field of a gateway's settings file."""
        path = Path(self.scratch.name) / f"{vm}.conf"
        lines = path.read_text().splitlines()
        kept = [line for line in lines if not line.startswith(f"{name}=")]
        path.write_text("\n".join([*kept, f"{name}={value}"]) + "\n")

    async def is_ready(self, host: str, port: int) -> bool:
        try:
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    async def connect(self, vm: str, host: str) -> RawCaller:
        reader, writer = await asyncio.open_connection(host, self.ports[vm])
        return RawCaller(self.ports[vm], reader, writer)

    async def ask(
        self,
        path: str,
        *,
        vm: str = "vm-1",
        host: str = "127.0.0.1",
        key: str = "k1",
        **headers,
    ):
        """Send a request and return its answer."""
        caller = await self.connect(vm, host)
        await caller.send(encode_request(path, key, headers))
        answer = await caller.read()
        caller.close()
        return answer

    async def read_metrics(self, vm: str, host: str) -> str:
        """Return what a gateway answers to the question for its metrics."""
        return await self.ask_operator(vm, host, "/metrics")

    async def ask_operator(self, vm: str, host: str, target: str) -> str:
        """Return what a gateway answers to an operator."""
        started = self.find_started(vm)
        assert started is not None
        reader, writer = await asyncio.open_connection(host, started["operations"])
        writer.write(
            f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()
        )
        head = await reader.readuntil(b"\r\n\r\n")
        [length] = re.findall(rb"content-length: (\d+)", head.lower())
        body = await reader.readexactly(int(length))
        writer.close()
        return body.decode()

    async def count_served(
        self, requests: int, *, vm: str = "vm-1", host: str = "127.0.0.1"
    ) -> Counter:
        """Send plain requests; return how many of them each server got."""
        before = {name: len(b.received) for name, b in self.backends.items()}
        for _ in range(requests):
            answer = await self.ask("/a/x", vm=vm, host=host)
            assert answer.status == 200, answer.data
        return Counter(
            {name: len(b.received) - before[name] for name, b in self.backends.items()}
        )

    def is_known(self, vm: str, server_id: str) -> bool:
        """Return whether a gateway has taken a server's entry."""
        lines = self.find_log(vm).read_text().splitlines()
        return any('"server_known"' in line and server_id in line for line in lines)

    async def terminate(self, vm: str) -> int:
        """Stop a gateway with SIGTERM and return its exit code."""
        process = self.processes[vm]
        process.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(process.wait(), 20)


def choose_free_ports(host: str, taken: int) -> tuple[int, ...]:
    """Return three free ports of a VM, none of them that which all VMs share.

    Where the kernel chose them one by one, it chose the shared port once in 4,000
    starts, and the VM ended.

    Args:
        host: the VM's address; ports of the one that others use too are left to the
            kernel (0).
        taken: the shared port; 0 if the kernel chooses it as well.
    """
    if host == SHARED_HOST:
        return (0, 0, 0)
    with contextlib.ExitStack() as held:
        sockets = [held.enter_context(socket.socket()) for _ in range(4)]
        for number, port in enumerate((taken, 0, 0, 0)):
            sockets[number].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sockets[number].bind((host, port))
        return tuple(s.getsockname()[1] for s in sockets[1:])


def encode_request(path: str, key: str, headers: dict[str, str]) -> bytes:
    """Return a request's bytes in the platform's names."""
    lines = [f"POST {path} HTTP/1.1", "Host: h.example", "Attempt-Id: a1"]
    lines += [f"Api-Key: {key}", "Deadline-Ms: 4000", "Content-Length: 2"]
    lines += [f"{name.replace('_', '-')}: {v}" for name, v in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\nhi"
