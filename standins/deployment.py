"""A deployment of real processes: routers, engines, services, log, VM list."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from standins.common import wait_for

FLEET_KEY = "test-fleet-key"
OPERATOR_KEY = "test-operator-key"
START_TIMEOUT_S = 60.0


@dataclass
class Process:
    """A process of the deployment.

    Attributes:
        name: its name.
        child: the child process.
        ports: the ports that it said it listens on, by role.
    """

    name: str
    child: asyncio.subprocess.Process
    ports: dict[str, int] = field(default_factory=dict)

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.child.returncode is None:
            self.child.send_signal(number)


class Deployment:
    """Starts processes, lets them fail, and collects what they recorded.

    Args:
        tree: the settings; addresses are replaced by the processes' own.
        routers: how many router VMs.
        options: command line options of stand-ins by kind, for instance
            ``{"engine": ["--slots", "8"]}``.
        router_settings: overrides of each router's own settings.
    """

    def __init__(
        self,
        tree: dict[str, Any],
        *,
        routers: int,
        options: dict[str, list[str]] | None = None,
        router_settings: dict[str, Any] | None = None,
    ) -> None:
        self.tree = tree
        self.processes: dict[str, Process] = {}
        self.events: list[dict[str, Any]] = []
        self.settings = router_settings or {}
        self.scratch = Path(tempfile.mkdtemp(prefix="ramppin-"))
        self._count = routers
        self._options = options or {}
        self._session: aiohttp.ClientSession | None = None

    # -- life -------------------------------------------------------------

    async def start(self) -> None:
        """Start everything, publish the settings and wait until it serves."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=START_TIMEOUT_S)
        )
        servers = self._list_servers()
        await asyncio.gather(
            self._start_stand_in("log", "log"),
            self._start_stand_in("vms", "vms"),
            *(self._start_stand_in(kind, name) for name, kind in servers.items()),
        )
        for pool in self.tree["pools"].values():
            for name, node in pool["backend_servers"].items():
                node["address"] = self.address(name)
        for name in servers:
            await self.list_vm(name, "backend-server")
        record = {"kind": "change", "base": -1, "nonce": "first", "tree": self.tree}
        await self.post("log", "/streams/settings", record)
        names = [f"vm-{number}" for number in range(1, self._count + 1)]
        await asyncio.gather(*(self.start_router(name) for name in names))
        await self.wait_until_serving()
        await asyncio.gather(*(self._warm_up(name) for name in servers))

    async def stop(self) -> None:
        """Kill everything that still runs."""
        for process in self.processes.values():
            process.send(signal.SIGKILL)
        for process in self.processes.values():
            await process.child.wait()
        if self._session:
            await self._session.close()

    async def start_router(self, name: str) -> None:
        """Start a router VM and list it."""
        config = {
            "vm": name,
            "failure_domain": "porto",
            "caller_port": 0,
            "operator_port": 0,
            "peer_port": 0,
            "log_url": f"http://{self.address('log')}",
            "vms_url": f"http://{self.address('vms')}",
            "fleet_key": FLEET_KEY,
            "operator_key": OPERATOR_KEY,
            "drain_delay_s": 0.5,
        }
        path = self.scratch / f"{name}.jsonc"
        path.write_text(json.dumps(config | self.settings))
        command = [sys.executable, "-m", "ramppin", "router", "--settings", str(path)]
        await self._start_process(name, command)
        await self.list_vm(name, "router", f"127.0.0.1:{self.ports(name)['peers']}")

    async def wait_until_serving(self) -> None:
        """Return once each pool has an owner that grants and all are ready."""
        await wait_for(self._is_serving, "an owner that grants for each pool")

    # -- failures ---------------------------------------------------------

    async def kill(self, name: str) -> None:
        """Kill a process; what it held is gone, but for what it recorded."""
        if name in self._list_servers():
            self.events += await self._read_truth(name)
        self.note("killed", server=name)
        self.processes[name].send(signal.SIGKILL)
        await self.wait_for_exit(name)

    def freeze(self, name: str) -> None:
        """Pause a process."""
        self.note("frozen", server=name)
        self.processes[name].send(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a paused process go on."""
        self.note("thawed", server=name)
        self.processes[name].send(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Stop a process as planned; a router drains."""
        self.note("stopping", server=name)
        self.processes[name].send(signal.SIGTERM)

    async def wait_for_exit(self, name: str) -> int:
        """Return a process's exit code once it ended."""
        return await asyncio.wait_for(self.processes[name].child.wait(), 180)

    async def set_fault(self, name: str, **faults: Any) -> None:
        """Let a stand-in fail."""
        self.note("fault", server=name, faults=faults)
        await self.post(name, "/fault", faults)

    async def list_vm(
        self, name: str, role: str, address: str = "", state: str = "live"
    ) -> None:
        """Put a VM on the platform's list."""
        entry = {"name": name, "role": role, "state": state, "address": address}
        self.note("listed", server=name, state=state)
        await self.post("vms", "/vms", entry)

    async def drop_vm(self, name: str) -> None:
        """Drop a VM from the platform's list."""
        self.note("dropped", server=name)
        assert self._session
        url = f"http://{self.address('vms')}/vms/{name}"
        async with self._session.delete(url) as reply:
            reply.raise_for_status()

    # -- asking -----------------------------------------------------------

    @property
    def routers(self) -> list[str]:
        """Names of the routers that run."""
        return [
            name
            for name, process in self.processes.items()
            if name.startswith("vm-") and process.child.returncode is None
        ]

    def ports(self, name: str) -> dict[str, int]:
        """Return a process's ports."""
        return self.processes[name].ports

    def address(self, name: str) -> str:
        """Return where a stand-in listens."""
        return f"127.0.0.1:{self.ports(name)['main']}"

    def caller_url(self, name: str) -> str:
        """Return where a router serves callers."""
        return f"http://127.0.0.1:{self.ports(name)['callers']}"

    def operator_url(self, name: str) -> str:
        """Return where a router serves operators."""
        return f"http://127.0.0.1:{self.ports(name)['operators']}"

    async def post(self, name: str, path: str, body: Any) -> Any:
        """Send an order to a stand-in."""
        assert self._session
        url = f"http://{self.address(name)}{path}"
        async with self._session.post(url, json=body) as reply:
            reply.raise_for_status()
            return await reply.json()

    async def ask_operator(
        self, name: str, path: str, *, method: str = "GET", body: Any = None
    ) -> tuple[int, Any]:
        """Return a router's answer to an operator: status and JSON."""
        assert self._session
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        url = self.operator_url(name) + path
        try:
            async with self._session.request(
                method, url, json=body, headers=headers
            ) as reply:
                return reply.status, await reply.json()
        except aiohttp.ClientError as error:
            return 0, str(error)

    async def find_owner(self, shard: str) -> str | None:
        """Return the router that grants places of a shard, or None."""
        for name in self.routers:
            if await self.owns(name, shard):
                return name
        return None

    async def owns(self, name: str, shard: str) -> bool:
        """Return whether a router grants places of a shard."""
        status, found = await self.ask_operator(name, "/dump")
        if status != 200:
            return False
        owned: dict[str, Any] = found["owned_shards"].get(shard, {})
        return bool(owned.get("granting"))

    async def collect_truth(self) -> list[dict[str, Any]]:
        """Return the events of all stand-ins that still run, and our own."""
        events = list(self.events)
        for name in self._list_servers():
            if self.processes[name].child.returncode is not None:
                continue
            events += await self._read_truth(name)
        return sorted(events, key=lambda event: event["t"])

    async def _read_truth(self, name: str) -> list[dict[str, Any]]:
        assert self._session
        async with self._session.get(f"http://{self.address(name)}/truth") as reply:
            text = await reply.text()
        return [json.loads(line) for line in text.splitlines()]

    def note(self, event: str, **fields: Any) -> None:
        """Record an event of the harness."""
        self.events.append(
            {"t": time.monotonic(), "source": "harness", "event": event} | fields
        )

    # -- private ----------------------------------------------------------

    async def _warm_up(self, server: str) -> None:
        """Let a stand-in import what it needs before anything is measured."""
        message = {"role": "user", "content": "warm up"}
        body = {"model": "", "messages": [message], "max_tokens": 1}
        await self.post(server, "/v1/chat/completions", body)

    def _list_servers(self) -> dict[str, str]:
        return {
            name: "engine" if pool.get("reports_load") else "service"
            for pool in self.tree["pools"].values()
            for name in pool["backend_servers"]
        }

    async def _start_stand_in(self, kind: str, name: str) -> None:
        command = [sys.executable, "-m", "standins", kind]
        if kind in ("engine", "service"):
            command.append(name)
        await self._start_process(name, command + self._options.get(kind, []))

    async def _start_process(self, name: str, command: list[str]) -> None:
        with (self.scratch / f"{name}.log").open("ab") as log:
            child = await asyncio.create_subprocess_exec(
                *command,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
            )
        assert child.stdout
        line = await asyncio.wait_for(child.stdout.readline(), START_TIMEOUT_S)
        ports = {k: int(v) for k, v in re.findall(r"(\w+)=(\d+)", line.decode())}
        main = re.search(r":(\d+)\s*$", line.decode())
        if main:
            ports["main"] = int(main.group(1))
        assert ports, f"{name} did not start: {line!r}, see {self.scratch}"
        self.processes[name] = Process(name, child, ports)

    async def _is_serving(self) -> bool:
        granting = set()
        for name in self.routers:
            status, found = await self.ask_operator(name, "/dump")
            if status != 200 or found["unready"]:
                return False
            if len(found["routers"]) < len(self.routers):
                return False
            owned = found["owned_shards"].items()
            granting |= {shard for shard, state in owned if state["granting"]}
        return granting >= set(self.tree["pools"])
