"""Components of the process that requests use."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

from ramppin.router.connection.backends import BackendClient
from ramppin.router.connection.links import PeerLinks
from ramppin.router.process.claims.claiming import Claimer
from ramppin.router.process.claims.claims import ClaimTable, HeldClaims
from ramppin.router.process.reporting.metrics import Metrics
from ramppin.router.process.routing.placer import Placer
from ramppin.router.request.budget import RetryBudget
from ramppin.router.request.trace import TraceStore

Result = TypeVar("Result")


@dataclass
class RequestContext:
    """Components and state of a process that its requests share.

    Attributes:
        vm: name of this VM.
        run: number that differs each time the VM's process starts.
        fleet_key: key that signs the ids of stream events.
        clock: returns monotonic time in seconds.
        wall_clock: returns seconds since the epoch.
        placer: acquires and releases places on backend servers.
        backends: client for requests to backend servers.
        claimer: claims idempotency keys on the log.
        claims: claims of all VMs.
        held_claims: claims that this VM holds.
        links: connections to other VMs.
        traces: traces of recent requests, used to explain decisions.
        metrics: metrics of the process.
        retries: budget that limits retries.
        in_flight: number of requests in flight.
        tasks: background tasks that continue after the caller disconnects.
    """

    vm: str
    run: int
    fleet_key: str
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    placer: Placer
    backends: BackendClient
    claimer: Claimer
    claims: ClaimTable
    held_claims: HeldClaims
    links: PeerLinks
    traces: TraceStore
    metrics: Metrics
    retries: RetryBudget = field(default_factory=RetryBudget)
    in_flight: int = 0
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    def spawn(self, work: Coroutine[object, object, Result]) -> asyncio.Task[Result]:
        """Start a task that continues if the caller of this method is cancelled."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task
