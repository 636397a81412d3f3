"""What a request may use of the process that serves it."""

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
    """The parts of a process that requests use.

    Attributes:
        vm: this VM.
        run: the run of its process.
        fleet_key: signs the ids of stream events.
        clock: monotonic clock.
        wall_clock: seconds since the epoch.
        placer: gets places.
        backends: sends to backend servers.
        claimer: claims keys on the log.
        claims: all claims.
        held_claims: those that this VM holds.
        links: links to other VMs.
        traces: for explanations.
        metrics: of the process.
        retries: the budget.
        in_flight: requests in flight.
        tasks: work that goes on when its caller is gone.
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
        """Start work that goes on whatever becomes of its caller."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task
