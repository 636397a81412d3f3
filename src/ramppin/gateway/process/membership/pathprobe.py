"""Probes the servers that this VM does not reach, until its path works again.

A VM that has just started has met neither answers nor failures. Before it serves
requests of other VMs, it probes its path too.

A probe opens a connection, sends nothing, and keeps the connection for use if it is not
reset at once. Some paths reset connections only once data arrives. Where new
connections ended so, and on a VM that has just started, a probe sends an empty line,
which servers ignore before a request. Such a connection is closed after the probe: its
server may count the empty line as the start of the request that follows.

Two servers of a service are probed at a time, at intervals that grow and differ from VM
to VM, so that VMs whose path returns at the same moment do not connect together.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from ramppin.errors import NotSentError
from ramppin.gateway.connection.pool import ConnectionPool
from ramppin.gateway.connection.upstream import UpstreamConnection
from ramppin.gateway.process.routing.reachability import Reachability
from ramppin.gateway.process.routing.serverstate import ServerState

CHECK_S = 0.05
"""Interval in seconds of checks for servers to probe."""

FIRST_INTERVAL_S = 0.25
MAX_INTERVAL_S = 1.0
"""Mean seconds from one round of probes to the next; doubled up to the maximum."""

JITTER_SHARE = 0.3
"""Part of the interval by which it varies either way."""

SERVERS_PER_ROUND = 2
"""Servers of a service that are probed at a time."""

SURVIVAL_S = 0.1
"""Seconds for which a new connection must last: some paths reset connections only once
they are established."""


class PathProbe:
    """Runs the probes of one VM.

    Args:
        reachability: names the servers to probe, and receives the results.
        pool: opens and keeps the connections.
        generator: source of randomness.
        is_behind: returns whether this process has stalled and not caught up, so that
            a time-out may be its own.

    .. versionadded:: 0.5
    """

    def __init__(
        self,
        reachability: Reachability,
        pool: ConnectionPool,
        generator: random.Random,
        is_behind: Callable[[float], bool],
    ) -> None:
        self._reachability = reachability
        self._pool = pool
        self._generator = generator
        self._is_behind = is_behind
        self._intervals: dict[str, float] = {}
        self._due_at: dict[str, float] = {}
        self._running: set[asyncio.Task[None]] = set()
        self._proof: asyncio.Task[None] | None = None

    async def prove(self, service: str) -> bool:
        """Return whether this VM has reached any server, by probes if need be.

        Requests that ask at the same time share the probes.

        Args:
            service: the service whose servers are probed.
        """
        if self._reachability.is_proven:
            return True
        if self._proof is None or self._proof.done():
            self._proof = asyncio.create_task(self._probe_some(service))
        await asyncio.shield(self._proof)
        return self._reachability.is_proven

    async def run(self) -> None:
        """Probe servers until cancelled."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                await asyncio.sleep(CHECK_S)
                now = loop.time()
                for state in self._choose(now):
                    service = state.server.service
                    with_data = self._reachability.requires_data(service, now)
                    task = loop.create_task(self._probe(state, with_data=with_data))
                    self._running.add(task)
                    task.add_done_callback(self._running.discard)
        finally:
            for task in self._running:
                task.cancel()
            if self._proof is not None:
                self._proof.cancel()

    def _choose(self, now: float) -> list[ServerState]:
        """Return the servers to probe now."""
        found = self._reachability.list_to_probe(now)
        for service in self._due_at.keys() - found.keys():
            del self._due_at[service], self._intervals[service]
        chosen = []
        for service, states in found.items():
            if now >= self._due_at.get(service, now):
                self._due_at[service] = now + self._choose_interval_s(service)
                chosen += states[:SERVERS_PER_ROUND]
        return chosen

    def _choose_interval_s(self, service: str) -> float:
        interval_s = self._intervals.get(service, FIRST_INTERVAL_S)
        self._intervals[service] = min(MAX_INTERVAL_S, 2 * interval_s)
        return interval_s * self._generator.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)

    async def _probe_some(self, service: str) -> None:
        """Probe as many servers of a service as in a round."""
        states = self._reachability.list_for_proof(service)
        count = min(SERVERS_PER_ROUND, len(states))
        chosen = self._generator.sample(states, count)
        probes = [self._probe(state, with_data=True) for state in chosen]
        await asyncio.gather(*probes)

    async def _probe(self, state: ServerState, *, with_data: bool) -> None:
        server, loop = state.server, asyncio.get_running_loop()
        try:
            connection = await self._pool.open(state.id, server.host, server.port)
        except NotSentError as error:
            now = loop.time()
            if error.is_refused or not self._is_behind(now):
                self._reachability.note_failed(state, now)
            return
        if with_data:
            connection.send_empty_line()
        await asyncio.sleep(SURVIVAL_S)
        # A server that does not ignore an empty line answers it, and was reached too.
        if connection.alive or connection.was_unasked:
            self._keep(connection, with_data=with_data)
            self._reachability.note_probe(state, loop.time())
        else:
            self._reachability.note_failed(state, loop.time())

    def _keep(self, connection: UpstreamConnection, *, with_data: bool) -> None:
        """Keep a probe's connection for requests if nothing was sent over it."""
        if with_data:
            connection.abort()
        else:
            self._pool.release_unused(connection)
