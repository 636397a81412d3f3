"""Gateway process: builds its components, runs its listeners, and stops.

A gateway forwards HTTP requests unchanged to the backend servers of the service of
their route. It stores nothing on its VM: settings and backend servers come from a
shared log, or from peers while the log is unavailable. Requests are handled by
:mod:`ramppin.gateway.request.exchange`.
"""

from __future__ import annotations

import asyncio
import logging
import random
import socket
from collections.abc import Callable
from dataclasses import replace

from ramppin.gateway.connection.callerwire import (
    CallerConnection,
    ListenerState,
    Refusal,
    Responder,
    Unanswered,
)
from ramppin.gateway.connection.datagrams import DatagramLink, PeerHints
from ramppin.gateway.connection.httpwire import find_header
from ramppin.gateway.connection.pool import ConnectionPool
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.process.config import Address, GatewayConfig
from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.process.limits.coldquota import ColdQuota
from ramppin.gateway.process.limits.drain import Drain, end_connections
from ramppin.gateway.process.limits.readiness import ReadinessResponder
from ramppin.gateway.process.limits.retrybudget import RetryBudget
from ramppin.gateway.process.load.gossip import LoadGossip
from ramppin.gateway.process.membership.pathprobe import PathProbe
from ramppin.gateway.process.memory import (
    AbortedConnection,
    MemoryBudget,
    compute_budget_bytes,
)
from ramppin.gateway.process.operations import GatewayState, OperationsResponder
from ramppin.gateway.process.overload.activation import OverloadActivation
from ramppin.gateway.process.overload.demandgossip import DemandGossip
from ramppin.gateway.process.overload.startlimiter import FleetStartLimiter
from ramppin.gateway.process.quarantine.gossip import QuarantineGossip
from ramppin.gateway.process.recovery.peeranswers import RecordsResponder
from ramppin.gateway.process.recovery.tables import GatewaySources, GatewayTables
from ramppin.gateway.process.reporting.decisions import DecisionLog
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.failuregossip import FailureGossip
from ramppin.gateway.process.routing.forwarders import Forwarders
from ramppin.gateway.process.routing.hints import HintExchange
from ramppin.gateway.process.routing.homes import PrefixHomes
from ramppin.gateway.process.routing.nearestselection import NearestSelection
from ramppin.gateway.process.routing.noticegossip import NoticeGossip
from ramppin.gateway.process.routing.prefixselection import PrefixSelection
from ramppin.gateway.process.stalldetector import StallDetector
from ramppin.gateway.process.upkeep import SWEEP_S, Upkeep
from ramppin.gateway.request.forwardresponder import ForwardResponder
from ramppin.gateway.request.responder import ExchangeResponder
from ramppin.gateway.version.routing import RoutingTable
from ramppin.signals import SignalTime

LISTEN_BACKLOG = 1024
"""Maximum connections that the kernel queues until they are accepted."""

PORT_TRIES = 8
"""Maximum port numbers that are tried if the operating system chooses them."""

REQUEST_LISTENERS = ("callers", "forwards")
"""Listeners for requests, of callers and of other VMs."""

MAX_LOGGED_BYTES = 100
"""Maximum logged bytes of a refused request's target."""

ResponderBuilder = Callable[[CallerConnection], Responder]

LOG = logging.getLogger(__name__)


class Gateway:
    """A gateway process.

    Args:
        config: configuration of the process.
        sources: sources of its tables.
        decisions: log of decision lines.
        callers_socket: socket that already listens for callers; None to open one at
            the start.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        config: GatewayConfig,
        sources: GatewaySources,
        decisions: DecisionLog,
        *,
        callers_socket: socket.socket | None = None,
    ) -> None:
        self.config = config
        self._callers_socket = callers_socket
        self.stopped = asyncio.Event()
        generator = random.Random(config.seed)
        self._stall_detector = StallDetector(SWEEP_S)
        directory = ServerDirectory(self._stall_detector)
        self.homes = PrefixHomes(directory.is_open)
        self.context = GatewayContext(
            names=config.names,
            decisions=decisions,
            directory=directory,
            pool=ConnectionPool(),
            prefix_selection=PrefixSelection(self.homes, generator=generator),
            plain_selection=NearestSelection(
                config.failure_domain, generator=generator
            ),
            generator=generator,
            retry_budget=RetryBudget(config.retry_rules),
            cold_quota=ColdQuota(config.vm, self._list_sharing_vms, config.cold_rules),
            failure_domain=config.failure_domain,
            report_path=config.report_path,
            report_start=config.report_start,
        )
        self.context.listener.note_refused = self._note_refused
        self.context.listener.note_unanswered = self._note_unanswered
        self._suspects = QuarantineGossip(self.context.quarantine, generator)
        self.tables = GatewayTables(
            config, sources, self.context, self.homes, generator, self._suspects
        )
        self.start_limiter = FleetStartLimiter(
            directory,
            self.context.find_service,
            self._list_sharing_vms,
            self.tables.members.find_failure_domain,
            config.failure_domain,
            self.context.brittle,
        )
        self.overload = OverloadActivation(
            self.context,
            config.overload,
            self.start_limiter,
            generator,
            config.brittle_overload,
        )
        self.context.note_table = self._apply_table
        self._memory = self._build_memory_budget()
        self.upkeep = Upkeep(
            self.context,
            self.tables,
            self._memory,
            self.overload,
            self._stall_detector,
        )
        self.context.note_brittle = self.upkeep.note_brittle
        self._apply_memory_budget()
        self.context.find_home = self.homes.find
        self._hints: HintExchange | None = None
        self._inner_listener = ListenerState()
        self._servers: dict[str, asyncio.Server] = {}
        self._background: list[asyncio.Task[None]] = []
        self._stopping: asyncio.Task[None] | None = None

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send callers to this VM."""
        context = self.context
        known = context.table is not None and self.tables.servers.started
        return known and context.drain is None

    @property
    def caller_port(self) -> int:
        """Port for callers."""
        return self._find_port("callers")

    @property
    def readiness_port(self) -> int:
        """Port for the load balancer's readiness probe."""
        return self._find_port("readiness")

    @property
    def records_port(self) -> int:
        """Port for peers' record requests."""
        return self._find_port("records")

    @property
    def operations_port(self) -> int:
        """Port for operators."""
        return self._find_port("operations")

    async def start(self) -> None:
        """Start the listeners and the background tasks, which follow the log."""
        config = self.config
        await self._listen_for_callers()
        await self._listen("readiness", config.readiness, self._build_readiness)
        await self._listen("records", config.records, self._build_records)
        await self._listen_for_operators()
        link = await self._open_peer_port()
        self._hints = HintExchange(
            config.vm,
            link,
            link.port,
            self.tables.members,
            self.homes,
            FailureGossip(self.context.directory, config.failure_domain),
            LoadGossip(self.context.directory),
            self.tables.monitor.is_up,
            self._suspects,
            NoticeGossip(self.context.directory, self.context.brittle),
            DemandGossip(
                self.start_limiter,
                self.context.directory.list_services,
                lambda: self.context.overload is not None,
            ),
            self.context.reachability,
            self.context.brittle,
            self.upkeep.note_brittle,
            self.context.continuity,
        )
        self._use_forwarders(link.port)
        probe = PathProbe(
            self.context.reachability,
            self.context.pool,
            self.context.generator,
            self._stall_detector.is_behind,
        )
        self.context.prove_path = probe.prove
        work_items = (*self.tables.list_work(), self._hints.run(), self.upkeep.run())
        for work in (*work_items, probe.run()):
            task = asyncio.create_task(work)
            task.add_done_callback(_log_failure)
            self._background.append(task)
        ports = {name: self._find_port(name) for name in self._servers}
        self.context.decisions.note("started", peers=link.port, **ports)

    def reload(self, config: GatewayConfig) -> None:
        """Apply settings that can change at run time.

        These are the retry rules, the drain times and the rules of overload control.

        Changes of addresses and names require a restart.
        """
        self.config = replace(
            self.config,
            retry_rules=config.retry_rules,
            drain_times=config.drain_times,
            overload=config.overload,
        )
        self.context.retry_budget.replace_rules(config.retry_rules)
        self.overload.configured = config.overload
        self.overload.apply(self.context.table)
        self._apply_memory_budget()
        self.context.decisions.note(
            "reloaded",
            retry_ratio=config.retry_rules.ratio,
            drain_limit_s=config.drain_times.limit_s,
        )

    def start_drain(self, signal_time: SignalTime | None = None) -> None:
        """Start a planned stop; a second call has no effect.

        Args:
            signal_time: when its signal arrived; None if it is due now.
        """
        if self.context.drain is not None:
            return
        if signal_time is None:
            now = asyncio.get_running_loop().time()
            signal_time = SignalTime(earliest=now, handled=now)
        self.context.decisions.note(
            "draining",
            in_flight=self.context.in_flight,
            max_delay_ms=round(signal_time.max_delay_s * 1000),
        )
        self.context.listener.draining = True
        drain = self.context.drain = Drain(self.config.drain_times, signal_time)
        if self.context.overload is not None:
            self.context.overload.note_drain(drain)
        self._stopping = asyncio.create_task(self._finish_and_stop(drain))

    async def stop(self) -> None:
        """Stop now: requests in flight are answered at once, or their answers cut."""
        self.context.decisions.lift_rates()
        for task in self._background:
            task.cancel()
        for server in self._servers.values():
            server.close()
        connections = len(self.context.listener.connections)
        await end_connections(self.context.listener)
        self.context.decisions.note("stopped", connections=connections)
        self.context.decisions.close()
        self.stopped.set()

    async def _finish_and_stop(self, drain: Drain) -> None:
        listener = self.context.listener
        await drain.wait_until_closed(listener, self._close_request_listeners)
        await self.stop()

    def _close_request_listeners(self) -> None:
        """Accept no more connections with requests of callers and other VMs."""
        for name in REQUEST_LISTENERS:
            if name in self._servers:
                self._servers[name].close()

    # listeners

    async def _listen(
        self, name: str, address: Address, build: ResponderBuilder
    ) -> None:
        serves_requests = name in REQUEST_LISTENERS
        state = self.context.listener if serves_requests else self._inner_listener
        self._servers[name] = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(state, build),
            address.host,
            address.port,
            backlog=LISTEN_BACKLOG,
        )

    async def _listen_for_callers(self) -> None:
        """Use the listening socket that was passed in, or open one."""
        if self._callers_socket is None:
            await self._listen("callers", self.config.callers, self._build_exchanges)
            return
        self._servers["callers"] = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self.context.listener, self._build_exchanges),
            sock=self._callers_socket,
            backlog=LISTEN_BACKLOG,
        )

    async def _listen_for_operators(self) -> None:
        """Listen for operators; on failure the gateway serves callers without it."""
        address = self.config.operations
        if address is None:
            return
        try:
            await self._listen("operations", address, self._build_operations)
        except OSError as error:
            self.context.decisions.note("operations_unavailable", reason=str(error))

    async def _open_peer_port(self) -> DatagramLink:
        """Open one port number for datagrams and for requests of other VMs.

        A number that the operating system chose is replaced if it is taken for
        requests; without a free one the gateway serves, but not for other VMs.
        """
        peers = self.config.peers
        tries = 1 if peers.port else PORT_TRIES
        while True:
            tries -= 1
            link = await DatagramLink.open(peers.host, peers.port, self._apply_hints)
            address = Address(peers.host, link.port)
            try:
                await self._listen("forwards", address, self._build_forwards)
                return link
            except OSError as error:
                if not tries:
                    reason = str(error)
                    self.context.decisions.note("forwards_unavailable", reason=reason)
                    return link
                link.close()

    def _use_forwarders(self, port: int) -> None:
        """Use other VMs as forwarders.

        Args:
            port: the number of the port for datagrams, which is the same on every VM.
        """
        context, config = self.context, self.config
        context.forward_host, context.forward_port = config.peers.host, port
        context.forwarders = Forwarders(
            self.tables.members,
            config.failure_domain,
            self._stall_detector,
            context.generator,
        )

    def _find_port(self, name: str) -> int:
        return int(self._servers[name].sockets[0].getsockname()[1])

    def _build_exchanges(self, connection: CallerConnection) -> Responder:
        return ExchangeResponder(self.context, connection)

    def _build_forwards(self, connection: CallerConnection) -> Responder:
        return ForwardResponder(self.context, connection, self.tables.members.is_member)

    def _build_readiness(self, connection: CallerConnection) -> Responder:
        return ReadinessResponder(
            connection, self.config.ready_path, lambda: self.ready
        )

    def _build_records(self, connection: CallerConnection) -> Responder:
        replicas = {table.replica.name: table.replica for table in self.tables.followed}
        return RecordsResponder(connection, replicas)

    def _build_operations(self, connection: CallerConnection) -> Responder:
        state = GatewayState(
            self.context,
            self.tables.followed,
            self.tables.list_peers,
            lambda: len(self.homes),
        )
        return OperationsResponder(
            connection, state, self.context.metrics, self.context.explanations
        )

    def _apply_table(self, table: RoutingTable) -> None:
        self.overload.apply(table)
        self._apply_memory_budget()

    def _build_memory_budget(self) -> MemoryBudget | None:
        """Return the memory budget, or None if the memory limit is unknown."""
        limit_bytes = self.config.memory_limit_bytes
        if limit_bytes is None:
            return None
        return MemoryBudget(
            compute_budget_bytes(limit_bytes),
            note_paused=self.context.metrics.memory_pauses.inc,
            note_aborted=self._note_memory_abort,
        )

    def _apply_memory_budget(self) -> None:
        """Enable the memory budget for new connections if overload control is enabled.

        Routing settings that disable overload control leave the budget enabled if the
        process's configuration enables it: the budget protects the process.
        """
        configured, context = self.config.overload, self.context
        is_general = context.overload is not None and not context.is_overload_limited
        is_enabled = is_general or (configured is not None and configured.enabled)
        self.context.listener.memory = self._memory if is_enabled else None

    def _note_memory_abort(self, aborted: AbortedConnection) -> None:
        """Count a connection that the memory budget closed, and write a line."""
        found = find_header(aborted.headers, self.config.names.request_id)
        self.context.metrics.memory_aborts.inc(aborted.peer.value)
        self.context.decisions.note(
            "connection_aborted",
            request_id=(found or b"").decode("latin-1"),
            peer=aborted.peer.value,
            held_bytes=aborted.held_bytes,
            total_bytes=aborted.total_bytes,
            budget_bytes=aborted.budget_bytes,
            unread_s=round(aborted.age_s, 2),
            bytes_per_s=round(aborted.rate),
        )

    def _note_refused(self, refusal: Refusal) -> None:
        """Write a decision line for a request that was refused before it was read."""
        found = find_header(refusal.headers, self.config.names.request_id)
        self.context.decisions.note(
            "refused",
            request_id=(found or b"").decode("latin-1"),
            status=refusal.status,
            reason=refusal.reason,
            target=refusal.target[:MAX_LOGGED_BYTES].decode("latin-1"),
            version=self.context.version,
        )

    def _note_unanswered(self, request: CallerRequest, reason: Unanswered) -> None:
        """Count a request that gets no whole answer, and write a line."""
        self.context.metrics.unanswered.inc(reason.name.lower())
        found = request.find(self.config.names.request_id) or b""
        now = asyncio.get_running_loop().time()
        self.context.decisions.note(
            "unanswered",
            request_id=found.decode("latin-1"),
            reason=reason.value,
            age_ms=round((now - request.arrived) * 1000),
        )

    def _apply_hints(self, hints: PeerHints, host: str) -> None:
        if self._hints is not None:
            self._hints.apply(hints, host, asyncio.get_running_loop().time())
        if self.context.overload is not None:
            self.context.overload.note_change()

    def _list_sharing_vms(self, now: float) -> list[str]:
        return self.tables.list_sharing_vms(now)


def _log_failure(task: asyncio.Task[None]) -> None:
    """Log the exception of a background task that failed."""
    if not task.cancelled() and task.exception() is not None:
        LOG.error("a background task failed", exc_info=task.exception())
