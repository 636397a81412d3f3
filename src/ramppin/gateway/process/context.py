"""What all exchanges of a gateway process share.

Owns the settings in force and the count of requests in flight; holds the other
parts of the process for exchanges to use. Decides nothing.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ramppin.gateway.connection.callerwire import ListenerState
from ramppin.gateway.connection.httpwire import HeaderNames
from ramppin.gateway.connection.pool import ConnectionPool
from ramppin.gateway.process.limits.coldquota import ColdQuota
from ramppin.gateway.process.limits.drain import Drain
from ramppin.gateway.process.limits.retrybudget import RetryBudget
from ramppin.gateway.process.quarantine.quarantine import Quarantine
from ramppin.gateway.process.quarantine.servercheck import ServerChecks
from ramppin.gateway.process.reporting.decisions import DecisionLog
from ramppin.gateway.process.reporting.explanations import Explanations
from ramppin.gateway.process.reporting.metrics import GatewayMetrics
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.eligibility import (
    find_failing_servers,
    share_connections,
)
from ramppin.gateway.process.routing.gate import ServerGate
from ramppin.gateway.process.routing.nearestselection import NearestSelection
from ramppin.gateway.process.routing.prefixselection import PrefixSelection
from ramppin.gateway.process.routing.selection import SelectionStrategy
from ramppin.gateway.process.routing.serverstate import ServerState
from ramppin.gateway.version.routing import RoutingTable

NEVER_S = 999_999.0
"""Seconds that stand for an age without bound in log lines, which hold numbers."""

LOG = logging.getLogger(__name__)


@dataclass(slots=True)
class GatewayContext:
    """Parts and state that exchanges use.

    Attributes:
        names: names of headers.
        decisions: where decision lines go.
        directory: the backend servers.
        pool: connections to them.
        prefix_selection: for routes whose servers cache prompts.
        plain_selection: for all others.
        generator: random numbers.
        retry_budget: retries that this VM may make.
        cold_quota: requests that this VM may send to cold servers.
        gate: tells which servers take requests now.
        quarantine: requests under which servers end.
        server_checks: tell whether a server to which a connection was lost has ended.
        listener: what callers' connections share.
        metrics: of the process.
        explanations: the decisions of the last requests.
        table: the routing settings in force; None before the first.
        drain: the planned stop that has begun, or None.
        in_flight: exchanges that run.
        failure_domain: where this VM stands.
        live_vms: live VMs of the fleet, this one included.
        servers_confirmed_at: returns the loop's time at which the list of
            servers was last known to be current.
        first_read: set once settings and servers have been read, or could not be.
        tasks: their tasks.
    """

    names: HeaderNames
    decisions: DecisionLog
    directory: ServerDirectory
    pool: ConnectionPool
    prefix_selection: PrefixSelection
    plain_selection: NearestSelection
    generator: random.Random
    retry_budget: RetryBudget
    cold_quota: ColdQuota
    gate: ServerGate = field(init=False)
    quarantine: Quarantine = field(default_factory=Quarantine)
    server_checks: ServerChecks = field(init=False)
    listener: ListenerState = field(default_factory=ListenerState)
    metrics: GatewayMetrics = field(default_factory=GatewayMetrics)
    explanations: Explanations = field(default_factory=Explanations)
    table: RoutingTable | None = None
    drain: Drain | None = None
    in_flight: int = 0
    failure_domain: str = ""
    live_vms: int = 1
    servers_confirmed_at: Callable[[], float] = lambda: float("-inf")
    first_read: asyncio.Event = field(default_factory=asyncio.Event)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.gate = ServerGate(self.directory, self.cold_quota, self.find_cold_rate)
        self.server_checks = ServerChecks(self.pool, self.quarantine)

    @property
    def version(self) -> int:
        """The version of the settings in force; -1 before the first."""
        return self.table.version if self.table else -1

    def measure_servers_age(self, now: float) -> float:
        """Return how long ago the list of servers was known to be current."""
        return round(min(NEVER_S, now - self.servers_confirmed_at()), 2)

    def share_connections(self, service: str) -> int | None:
        """Return this VM's share of a server's connections; None if unlimited."""
        spec = self.table.services.get(service) if self.table else None
        if spec is None:
            return None
        return share_connections(spec.max_connections, self.live_vms)

    def find_failing_servers(
        self, service: str, states: Sequence[ServerState], now: float
    ) -> frozenset[str]:
        """Return the ids of servers that the fleet sees failing.

        The fleet's requests are worked out from this VM's own: callers spread evenly
        enough over VMs.
        """
        own_per_s = self.retry_budget.measure_requests_per_s(service, now)
        return find_failing_servers(
            states, self.failure_domain, own_per_s * self.live_vms, now
        )

    def find_cold_rate(self, service: str) -> float:
        """Return how many requests a second a cold server takes; 0 for any number."""
        spec = self.table.services.get(service) if self.table else None
        return spec.cold_per_s if spec else 0.0

    def choose_strategy(self, keeps_prefix: bool) -> SelectionStrategy:
        """Return the strategy for a request."""
        return self.prefix_selection if keeps_prefix else self.plain_selection

    def finish_task(self, task: asyncio.Task[None]) -> None:
        """Forget an exchange's task; log what it did not catch."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error("exchange failed", exc_info=task.exception())
