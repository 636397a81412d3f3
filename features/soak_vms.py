"""Gateway processes of a soak, and what befalls them: signals, a store that refuses.

Owns the processes and the moments at which each was disturbed; callers, backend servers
and promises are those of the soaks built on it. A seed sets what happens when; when
each process gets its turn is the machine's.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import time
from abc import abstractmethod
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from features.gateway_support import RawAnswer, RawCaller
from features.platform_support import PlatformFixture
from features.soak_runs import Callers, list_hosts

ANSWER_TIMEOUT_S = 7.0

DOMAINS = ("porto", "braga", "faro", "evora")


@dataclass
class VmSoak:
    """One run with one seed.

    Attributes:
        vms: gateway processes.
        harms: names of the kinds of harm to choose from, methods without their
            underscore; empty for none.
        faults: what was done, and when.
        stops: how often a process was stopped for a while.
        power_losses: how often all were killed at once.
    """

    seed: int
    seconds: float
    vms: int = 8
    harms: tuple[str, ...] = ()
    fixture: PlatformFixture = field(default_factory=PlatformFixture)
    faults: list[str] = field(default_factory=list)
    power_losses: int = 0
    stops: int = 0

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        # Apart from the callers', so that a seed's faults come at the same moments.
        self.fault_random = random.Random(self.seed)
        self.hosts = list_hosts(self.vms, self.seed)
        self.running: dict[str, str] = {}
        self.disturbed_at: dict[str, list[float]] = {vm: [] for vm in self.hosts}
        self.callers = Callers(self.random)
        self.started_at = 0.0

    @property
    def has_views(self) -> bool:
        """Whether each VM has a way of its own to the store, at a port of its own."""
        return False

    async def send(self, vm: str, lines: list[str], body: bytes) -> RawAnswer:
        """Send a request to a VM and return what came of it until its connection ends.

        Args:
            vm: its name.
            lines: of the request's head.
            body: after the head.
        """
        answer = RawAnswer()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                port = self.fixture.ports[vm]
                found = await asyncio.open_connection(self.hosts[vm], port)
                caller = RawCaller(0, *found)
                try:
                    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
                    await caller.send(head + body)
                    await caller.read(answer)
                finally:
                    caller.close()
        return answer

    def was_calm(self, vm: str, at: float, for_s: float) -> bool:
        """Return whether nothing befell a VM in some seconds before a moment."""
        return not any(at - for_s < moment <= at for moment in self.disturbed_at[vm])

    async def _know_each_other(self) -> bool:
        """Return whether each VM knows the others."""
        for vm, host in self.running.items():
            dump = json.loads(await self.fixture.ask_operator(vm, host, "/dump"))
            if dump["tables"]["members"]["records"] < len(self.running):
                return False
        return True

    async def _harm_until(self, until: float) -> None:
        running = []
        due = list(self.harms)
        while due and time.monotonic() < until - 1.0:
            await asyncio.sleep(self.fault_random.uniform(0.3, 1.5))
            name = due.pop(self.fault_random.randrange(len(due)))
            if not due and name not in ("kill_all", "start_vm"):
                due = [name]
            at = time.monotonic() - self.started_at
            self.faults.append(f"{name}@{at:.1f}")
            running.append(asyncio.ensure_future(getattr(self, f"_{name}")()))
        await asyncio.gather(*running)

    async def _begin(self, vm: str) -> None:
        domain = DOMAINS[int(vm.partition("-")[2]) % len(DOMAINS)]
        view = await self.fixture.open_view(vm) if self.has_views else None
        await self.fixture.start_gateway(vm, self.hosts[vm], domain, store=view)
        self.running[vm] = self.hosts[vm]
        self.disturbed_at[vm].append(time.monotonic())

    async def _kill_vm(self) -> None:
        """Kill a VM's process, and start it again."""
        vm = self.fault_random.choice(list(self.hosts))
        if vm in self.running:
            await self._kill(vm)
            await self._begin(vm)

    async def _kill(self, vm: str) -> None:
        self.running.pop(vm, None)
        self.disturbed_at[vm].append(time.monotonic())
        with contextlib.suppress(ProcessLookupError):
            self.fixture.processes[vm].kill()
        await self.fixture.processes[vm].wait()

    async def _stop_vm(self) -> None:
        """Stop a VM's process for a while."""
        vm = self.fault_random.choice(list(self.hosts))
        if vm not in self.running:
            return
        self.stops += 1
        process = self.fixture.processes[vm]
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.fault_random.uniform(0.3, 3.0))
            process.send_signal(signal.SIGCONT)
        self.disturbed_at[vm].append(time.monotonic())

    async def _refuse_store(self) -> None:
        """Let the store refuse every call for a while."""
        self.fixture.store.refuse = 503
        await asyncio.sleep(self.fault_random.uniform(0.5, 3.0))
        self.fixture.store.refuse = 0

    async def _kill_all(self) -> None:
        """Kill all VMs at once, and start them again."""
        await asyncio.sleep(self.fault_random.uniform(0.0, 0.4 * self.seconds))
        self.power_losses += 1
        vms = list(self.running)
        await asyncio.gather(*map(self._kill, vms))
        await asyncio.gather(*map(self._begin, vms))


class SeriesSoak(VmSoak):
    """A soak whose harms come at random moments, in any order and again."""

    async def run(self) -> list[str]:
        """Run, and return what broke a promise."""
        await self._start()
        try:
            self.started_at = time.monotonic()
            until = self.started_at + self.seconds
            await asyncio.gather(
                *(
                    self.callers.come_until(until, *kind)
                    for kind in self._list_callers()
                ),
                self._harm_until(until),
            )
            await self.callers.wait()
        finally:
            await self._stop()
        return self._check()

    def run_and_show(self) -> list[str]:
        """Run, print what was done, and return what broke a promise."""
        broken = asyncio.run(self.run())
        state = "BROKEN" if broken else "kept"
        print(f"seed {self.seed}: {state}; {self.show()}")
        return broken

    async def _harm_until(self, until: float) -> None:
        running = []
        while time.monotonic() < until - 1.0:
            await asyncio.sleep(self.fault_random.uniform(0.3, 1.5))
            name = self.fault_random.choice(self.harms)
            if not self._may_harm(name):
                continue
            at = time.monotonic() - self.started_at
            self.faults.append(f"{name}@{at:.1f}")
            running.append(asyncio.ensure_future(getattr(self, f"_{name}")()))
        await asyncio.gather(*running)

    def _may_harm(self, name: str) -> bool:
        """Return whether a kind of harm may come now."""
        return True

    @abstractmethod
    async def _start(self) -> None:
        """Start the store, the backend servers and the VMs."""

    @abstractmethod
    async def _stop(self) -> None:
        """End all of them."""

    @abstractmethod
    def _list_callers(self) -> list[tuple[float, Callable[[], Coroutine]]]:
        """Return kinds of callers: how many a second, and what each does."""

    @abstractmethod
    def _check(self) -> list[str]:
        """Return what broke a promise."""

    @abstractmethod
    def show(self) -> str:
        """Return what was done and what callers got."""
