"""What all exchanges of a gateway process share."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ramppin.gateway.connection.callerwire import ListenerState
from ramppin.gateway.connection.httpwire import HeaderNames
from ramppin.gateway.connection.pool import ConnectionPool
from ramppin.gateway.process.limits.drain import Drain
from ramppin.gateway.process.limits.retries import RetryWindow
from ramppin.gateway.process.reporting.decisions import DecisionLog
from ramppin.gateway.process.reporting.explanations import Explanations
from ramppin.gateway.process.reporting.metrics import GatewayMetrics
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.selection import (
    NearestSelection,
    PrefixSelection,
    SelectionStrategy,
)
from ramppin.gateway.version.routing import RoutingTable

OLDEST_S = 999_999.0

CONNECTION_SHARE = 0.9
"""Part of a server's connections that the fleet's VMs divide among themselves."""

LOG = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RetryRules:
    """The fleet's budget of retries, and this VM's part of it.

    Attributes:
        ratio: retries for each request of a service.
        window_s: the sliding window.
        extra: retries that one VM may make beyond the ratio.
    """

    ratio: float = 0.17
    window_s: float = 10.0
    extra: int = 2


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
        listener: what callers' connections share.
        metrics: of the process.
        explanations: the decisions of the last requests.
        retry_rules: the budget of retries.
        table: the routing settings in force; None before the first.
        drain: the planned stop that has begun, or None.
        in_flight: exchanges that run.
        live_vms: VMs of the fleet that were heard of late, this one included.
        servers_confirmed_at: returns the loop's time at which the list of
            servers was last known to be current.
        tasks: their tasks.
    """

    names: HeaderNames
    decisions: DecisionLog
    directory: ServerDirectory
    pool: ConnectionPool
    prefix_selection: PrefixSelection
    plain_selection: NearestSelection
    generator: random.Random
    listener: ListenerState = field(default_factory=ListenerState)
    metrics: GatewayMetrics = field(default_factory=GatewayMetrics)
    explanations: Explanations = field(default_factory=Explanations)
    retry_rules: RetryRules = field(default_factory=RetryRules)
    table: RoutingTable | None = None
    drain: Drain | None = None
    in_flight: int = 0
    live_vms: int = 1
    servers_confirmed_at: Callable[[], float] = lambda: float("-inf")
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    retries: dict[str, RetryWindow] = field(default_factory=dict)

    @property
    def version(self) -> int:
        """The version of the settings in force; -1 before the first."""
        return self.table.version if self.table else -1

    def measure_servers_age(self, now: float) -> float:
        """Return how long ago the list of servers was known to be current."""
        return round(min(OLDEST_S, now - self.servers_confirmed_at()), 2)

    def share_connections(self, service: str) -> int | None:
        """Return this VM's share of a server's connections; None if unlimited."""
        spec = self.table.services.get(service) if self.table else None
        if spec is None or not spec.max_connections:
            return None
        return max(1, int(spec.max_connections * CONNECTION_SHARE / self.live_vms))

    def choose_strategy(self, keeps_prefix: bool) -> SelectionStrategy:
        """Return the strategy for a request."""
        return self.prefix_selection if keeps_prefix else self.plain_selection

    def note_request(self, service: str, now: float) -> None:
        """Count a request of a service for the budget of retries."""
        self._find_window(service).note_request(now)

    def has_retry(self, service: str, now: float) -> bool:
        """Return whether a retry would be allowed, without counting it."""
        return self._find_window(service).has_left(now)

    def take_retry(self, service: str, now: float) -> bool:
        """Return whether a request of a service may be sent once more."""
        allowed = self._find_window(service).take(now)
        if not allowed:
            self.metrics.retries_refused.labels(service).inc()
        return allowed

    def finish_task(self, task: asyncio.Task[None]) -> None:
        """Forget an exchange's task; log what it did not catch."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error("exchange failed", exc_info=task.exception())

    def _find_window(self, service: str) -> RetryWindow:
        window = self.retries.get(service)
        if window is None:
            rules = self.retry_rules
            window = self.retries[service] = RetryWindow(
                ratio=rules.ratio, window_s=rules.window_s, extra=rules.extra
            )
        return window
