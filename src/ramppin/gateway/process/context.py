"""State and components that all exchanges of a gateway process share.

Owns the routing settings in effect and the number of requests in flight, and references
the other components of the process.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from ramppin.gateway.connection.callerwire import ListenerState
from ramppin.gateway.connection.httpwire import HeaderNames
from ramppin.gateway.connection.pool import ConnectionPool
from ramppin.gateway.process.limits.coldquota import ColdQuota
from ramppin.gateway.process.limits.drain import Drain
from ramppin.gateway.process.limits.retrybudget import RetryBudget
from ramppin.gateway.process.overload.brittleness import BrittleServices
from ramppin.gateway.process.overload.control import OverloadControl
from ramppin.gateway.process.quarantine.quarantine import Quarantine
from ramppin.gateway.process.quarantine.servercheck import ServerChecks
from ramppin.gateway.process.reporting.decisions import DecisionLog
from ramppin.gateway.process.reporting.explanations import Explanations
from ramppin.gateway.process.reporting.metrics import GatewayMetrics
from ramppin.gateway.process.routing.continuity import StreamContinuity
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.eligibility import (
    find_failing_servers,
    share_connections,
)
from ramppin.gateway.process.routing.forwarders import Forwarders
from ramppin.gateway.process.routing.gate import ServerGate
from ramppin.gateway.process.routing.nearestselection import NearestSelection
from ramppin.gateway.process.routing.prefixselection import PrefixSelection
from ramppin.gateway.process.routing.reachability import Reachability
from ramppin.gateway.process.routing.selection import SelectionStrategy
from ramppin.gateway.process.routing.serverstate import ServerState
from ramppin.gateway.version.routing import RoutingTable, ServiceSpec

NEVER_S = 999_999.0
"""Seconds that represent an unbounded age in lines and answers, which hold numbers."""

LOG = logging.getLogger(__name__)


@dataclass(slots=True)
class GatewayContext:
    """State and components that exchanges use.

    Attributes:
        names: names of headers.
        decisions: log of decision lines.
        directory: the backend servers.
        pool: connections to backend servers.
        prefix_selection: strategy for routes whose servers cache prompts.
        plain_selection: strategy for all other routes.
        generator: random number generator.
        retry_budget: retries that this VM may make.
        cold_quota: requests that this VM may send to cold servers.
        gate: decides which servers accept requests now.
        quarantine: decides which requests are refused because they crash servers.
        server_checks: check whether a server terminated after a lost connection.
        listener: state that callers' connections share.
        metrics: metrics of the process.
        explanations: the decisions of the last requests.
        table: the routing settings in effect; None before the first.
        drain: the planned stop in progress, or None.
        in_flight: number of running exchanges.
        failure_domain: the failure domain in which this VM runs.
        live_vms: number of live VMs of the fleet, this one included.
        sharing_vms: number of VMs that share the servers' connections: live ones, and
            those seen lately, which may only be cut off from this one; None until the
            list of VMs has been read.
        servers_confirmed_at: returns the event-loop time at which the list of
            servers was last known to be current.
        first_read: set once settings and servers have been read, or could not be.
        tasks: tasks of the running exchanges.
        overload: gives requests their turns; None while overload control is disabled.
        brittle: services whose backend servers are brittle.
        note_brittle: called when the servers of a service state that they are brittle.
        is_overload_limited: whether overload control applies only to services with
            brittle servers.
        note_table: called after routing settings have taken effect.
        find_home: returns the server that has cached a prefix, by its key, or None.
        continuity: at which build streams may go on.
        report_path: path at which servers report when they started, or empty.
        report_start: name of that field.
        reachability: whether this VM's own paths to the servers work.
        prove_path: returns whether this VM has reached any server, after probes of a
            service's servers if need be.
        forwarders: the VMs through which requests take the other path; None while
            the gateway is not connected to other VMs.
        forward_host: this VM's address for connections to other VMs.
        forward_port: port at which each VM accepts requests of other VMs.
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
    sharing_vms: int | None = None
    servers_confirmed_at: Callable[[], float] = lambda: float("-inf")
    first_read: asyncio.Event = field(default_factory=asyncio.Event)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    overload: OverloadControl | None = None
    brittle: BrittleServices = field(default_factory=BrittleServices)
    note_brittle: Callable[[], None] = lambda: None
    is_overload_limited: bool = False
    note_table: Callable[[RoutingTable], None] = lambda table: None
    find_home: Callable[[int], str | None] = lambda key: None
    continuity: StreamContinuity = field(default_factory=StreamContinuity)
    report_path: bytes = b""
    report_start: str = ""
    reachability: Reachability = field(init=False)
    prove_path: Callable[[str], Awaitable[bool]] | None = None
    forwarders: Forwarders | None = None
    forward_host: str = ""
    forward_port: int = 0

    def __post_init__(self) -> None:
        self.gate = ServerGate(
            self.directory,
            self.cold_quota,
            self.find_cold_rate,
            self.brittle.find_closed_until,
        )
        self.continuity.note_server_ended = self.directory.note_ended
        self.continuity.read_view = lambda: self.servers_confirmed_at()
        self.reachability = Reachability(self.directory)
        self.server_checks = ServerChecks(
            self.pool, self.quarantine, self.reachability.is_at_fault
        )

    @property
    def version(self) -> int:
        """Version of the settings in effect; -1 before the first."""
        return self.table.version if self.table else -1

    def measure_servers_age(self, now: float) -> float:
        """Return the seconds since the list of servers was known to be current."""
        return round(min(NEVER_S, now - self.servers_confirmed_at()), 2)

    def find_service(self, service: str) -> ServiceSpec | None:
        """Return the settings of a service, or None."""
        return self.table.services.get(service) if self.table else None

    def share_connections(self, service: str) -> int | None:
        """Return this VM's share of a server's connections; None for no limit."""
        spec = self.find_service(service)
        if spec is None:
            return None
        return share_connections(spec.max_connections, self.sharing_vms)

    def find_failing_servers(
        self, service: str, states: Sequence[ServerState], now: float
    ) -> frozenset[str]:
        """Return the ids of servers that fail the fleet's requests.

        The fleet's request rate is extrapolated from this VM's own, because callers
        are distributed evenly enough over VMs.
        """
        own_per_s = self.retry_budget.measure_requests_per_s(service, now)
        return find_failing_servers(
            states, self.failure_domain, own_per_s * self.live_vms, now
        )

    def find_max_load(self, service: str, rank: int, now: float) -> float:
        """Return the load below which a server gets a request of a rank."""
        overload = self.find_overload(service, now)
        if overload is None:
            return math.inf
        return overload.limiter.find_server_limit(service, rank, now)

    def find_overload(self, service: str, now: float) -> OverloadControl | None:
        """Return overload control if it applies to a service now, or None."""
        if self.overload is None or not self.is_overload_limited:
            return self.overload
        return self.overload if self.brittle.is_brittle(service, now) else None

    def find_cold_rate(self, service: str) -> float:
        """Return the requests a second that a cold server accepts; 0 for no limit."""
        spec = self.find_service(service)
        return spec.cold_per_s if spec else 0.0

    def choose_strategy(self, keeps_prefix: bool) -> SelectionStrategy:
        """Return the selection strategy for a request."""
        return self.prefix_selection if keeps_prefix else self.plain_selection

    def note_builds(self, now: float) -> None:
        """Record the builds of the servers, and log a service that gets another."""
        history = self.continuity.history
        history.note_view(self.servers_confirmed_at())
        for service in history.note_servers(self.directory, now):
            self.note_mixed(service)

    def note_mixed(self, service: str) -> None:
        """Send the origins of a service that has several builds now, and log that."""
        self.continuity.note_mixed(service, asyncio.get_running_loop().time())
        self.decisions.note(
            "builds_mixed",
            service=service,
            builds=self.continuity.history.list_builds(service),
        )

    def finish_task(self, task: asyncio.Task[None]) -> None:
        """Remove the task of a finished exchange, and log an uncaught exception."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error("exchange failed", exc_info=task.exception())
