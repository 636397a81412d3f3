"""One router VM: its listeners and tasks, from start to planned stop."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any

import anyio
import anyio.lowlevel

from ramppin.clock import Clock, read_clock
from ramppin.router.connection.listener import Listener
from ramppin.router.connection.peerserver import PeerServer
from ramppin.router.process.callers import CallerApp
from ramppin.router.process.config import RouterConfig
from ramppin.router.process.operators import OperatorApp
from ramppin.router.process.parts import RouterParts
from ramppin.router.process.reporting.dump import build_dump

LOG = logging.getLogger(__name__)

SYNC_INTERVAL_S = 0.25
"""Seconds between two rounds in which owners are sent the places held here, where they
do not know them yet."""

MAX_OPERATOR_CONNECTIONS = 64
"""Connections of operators at a time, a bound on memory."""

TICK_S = 0.02
"""Longest time by which something that came due is late."""


class Router(RouterParts):
    """A router process.

    Args:
        config: the process's own settings.
        clock: never goes back, and counts the time of a suspension.
        wall_clock: seconds since the epoch.
        run: number that differs each time the VM's process starts.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        config: RouterConfig,
        *,
        clock: Clock = read_clock,
        wall_clock: Callable[[], float] = time.time,
        run: int | None = None,
    ) -> None:
        super().__init__(config, clock=clock, wall_clock=wall_clock, run=run)
        self.stopped = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._drain_task: asyncio.Task[None] | None = None
        self._build_listeners()

    def dump(self) -> dict[str, Any]:
        """Return this process's state."""
        return build_dump(self)

    # -- life -------------------------------------------------------------

    async def start(self) -> None:
        """Start to serve."""
        # Loads anyio's back end now, not in the first streamed answer (35 ms).
        await anyio.lowlevel.checkpoint()
        await self.peer_server.start()
        await self.callers.start()
        await self.operators.start()
        self._tasks = [
            asyncio.create_task(work)
            for work in (
                self.follower.tail.run(),
                self.follower.run_snapshots(lambda: self.membership.live_routers),
                self.ownership.tail.run(),
                self.ownership.run(),
                self.claims_tail.run(),
                self.claimer.run(),
                self.fetcher.run(),
                self.reports.run(),
                self.membership.run(
                    self._vms, self.config.vms_poll_s, self._refresh_shards
                ),
                self._run_sync(),
                self._run_ticks(),
            )
        ]
        LOG.info(
            "listening: callers %d, operators %d, peers %d",
            self.callers.port,
            self.operators.port,
            self.peer_server.port,
            extra={"step": "start"},
        )

    def start_drain(self) -> None:
        """Leave the fleet without cutting a request; see :meth:`drain`."""
        if self._drain_task is None:
            self._drain_task = asyncio.create_task(self.drain())

    async def drain(self) -> None:
        """Turn not ready, give shards up, let requests end, then stop."""
        self.draining = True
        LOG.info("draining", extra={"step": "drain"})
        await self.ownership.release()
        await asyncio.sleep(self.config.drain_delay_s)
        await self._wait_until_idle(self.config.drain_limit_s)
        await self.stop()

    async def stop(self) -> None:
        """Stop at once; what is in flight is cut."""
        await self.callers.stop(force=not self._is_idle())
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.operators.stop(force=True)
        await self.links.close()
        await self.peer_server.stop()
        for session in self._sessions:
            await session.close()
        LOG.info("stopped", extra={"step": "stop"})
        self.stopped.set()

    def _build_listeners(self) -> None:
        config = self.config
        self.peer_server = PeerServer(
            config.host, config.peer_port, config.fleet_key, self.peers, self.meter
        )
        self.callers = Listener(
            CallerApp(self).app,
            config.host,
            config.caller_port,
            max_connections=config.max_connections,
        )
        self.operators = Listener(
            OperatorApp(self, self.start_drain).app,
            config.host,
            config.operator_port,
            max_connections=MAX_OPERATOR_CONNECTIONS,
        )

    async def _run_sync(self) -> None:
        while True:
            await self.placer.sync_owners()
            await asyncio.sleep(SYNC_INTERVAL_S)

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.placer.detect_pause()
            wake = self.host.next_wake()
            if wake is not None and wake <= self.clock():
                self.host.tick(self.clock())

    def _is_idle(self) -> bool:
        return not self.placer.held and not self.context.in_flight

    async def _wait_until_idle(self, limit_s: float) -> None:
        deadline = self.clock() + limit_s
        while not self._is_idle() and self.clock() < deadline:
            await asyncio.sleep(TICK_S)
