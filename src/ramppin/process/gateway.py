"""One gateway VM: listeners, replicas, readiness, drain.

A gateway passes HTTP requests through unchanged to the backend servers of
their route's service. It keeps nothing on its VM: settings and backend servers
come from a shared log, or from peers while the log is away.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ramppin.connection.callerwire import CallerConnection, ListenerState
from ramppin.connection.datagrams import DatagramLink, PeerHints
from ramppin.connection.httpwire import HeaderNames
from ramppin.connection.upstream import ConnectionPool
from ramppin.errors import SettingsError
from ramppin.process.context import GatewayContext, RetryRules
from ramppin.process.decisions import DecisionLog
from ramppin.process.directory import ServerDirectory
from ramppin.process.drain import Drain, DrainTimes
from ramppin.process.fleet import (
    SILENT_AFTER_S,
    FleetMembers,
    Member,
    announce,
)
from ramppin.process.follower import Follower
from ramppin.process.hints import HintExchange
from ramppin.process.homesnapshot import HomeSnapshots
from ramppin.process.operations import GatewayState, OperationsResponder
from ramppin.process.peerrecords import FollowedTable, PeerReader, RecordsResponder
from ramppin.process.prefixhomes import PrefixHomes
from ramppin.process.readiness import ReadinessResponder
from ramppin.process.relays import RelayChoice, RelayedSource
from ramppin.process.replica import Record, Replica
from ramppin.process.selection import NearestSelection, PrefixSelection
from ramppin.process.sources import RecordDecoder, RecordLog, RecordSource
from ramppin.request.exchange import ExchangeResponder

LOG = logging.getLogger(__name__)

SWEEP_S = 0.25
SERVER_WAIT_S = 1.0
MEMBER_PACE_S = 1.0
MEMBER_WAIT_S = 20.0
LISTEN_BACKLOG = 1024
PEERS_CONSIDERED = 6
LAPSE_HOLD_S = 2.5
"""Entries that vanish around an outage of the log may come back for so long."""


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and port to listen on; port 0 picks a free one."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """What one gateway VM must know to start.

    Attributes:
        vm: its name.
        failure_domain: where it stands.
        callers: address for callers.
        readiness: address where the balancer asks whether it is ready.
        peers: address for hints from other VMs; the same port on every VM.
        records: address where peers ask for records; the same port on every VM.
        operations: address for operators; None for no such listener.
        seeds: addresses of some VMs of the fleet, which may be stale.
        names: names of headers.
        ready_path: path of the readiness question.
        settings_key: key of the record that holds the routing settings.
        weight: how strong this VM is among those of the fleet.
        server_pace_s: time between two reads of the backend servers' table.
        settings_wait_s: longest wait of one read of the settings' table.
        retry_rules: the fleet's budget of retries, and this VM's part.
        drain_times: how long a planned stop may take.
        seed: of the random numbers.
    """

    vm: str
    failure_domain: str
    callers: Address
    readiness: Address
    peers: Address
    records: Address
    operations: Address | None = None
    seeds: tuple[str, ...] = ()
    names: HeaderNames = field(default_factory=HeaderNames)
    ready_path: bytes = b"/ready"
    settings_key: str = "settings"
    weight: float = 1.0
    server_pace_s: float = 0.5
    settings_wait_s: float = 2.0
    retry_rules: RetryRules = field(default_factory=RetryRules)
    drain_times: DrainTimes = field(default_factory=DrainTimes)
    seed: int | None = None


class Gateway:
    """A gateway process.

    Args:
        config: the process's own settings.
        settings_source: table that holds the routing settings.
        server_source: table of the backend servers.
        member_log: table of the fleet's own VMs.
        home_log: table of the snapshot of prefixes' homes.
        decoder: turns records into models.
        decisions: where decision lines go.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        config: GatewayConfig,
        *,
        settings_source: RecordSource,
        server_source: RecordSource,
        member_log: RecordLog,
        home_log: RecordLog,
        decoder: RecordDecoder,
        decisions: DecisionLog,
    ) -> None:
        self.config = config
        self.stopped = asyncio.Event()
        generator = random.Random(config.seed)
        directory = ServerDirectory()
        self.homes = PrefixHomes(directory.is_open)
        self.members = FleetMembers(config.vm)
        self.context = GatewayContext(
            names=config.names,
            decisions=decisions,
            directory=directory,
            pool=ConnectionPool(),
            prefix_selection=PrefixSelection(self.homes),
            plain_selection=NearestSelection(
                config.failure_domain, generator=generator
            ),
            generator=generator,
            retry_rules=config.retry_rules,
        )
        self._decoder = decoder
        self.settings = Replica("settings", self._take_settings)
        self.servers = Replica("servers", self._take_server)
        self.context.servers_confirmed_at = lambda: self.servers.confirmed_at
        self._own = Member(
            config.vm, config.peers.host, 0.0, config.failure_domain, config.weight
        )
        relays = RelayChoice(self._own, self.members, SILENT_AFTER_S)

        def relay(replica: Replica, source: RecordSource) -> RelayedSource:
            port = config.records.port
            return RelayedSource(
                replica.name, config.vm, source, port, relays.list_relays
            )

        self._settings_follower = Follower(
            self.settings,
            relay(self.settings, settings_source),
            pace_s=0.05,
            wait_s=config.settings_wait_s,
            generator=generator,
        )
        self._server_follower = Follower(
            self.servers,
            relay(self.servers, server_source),
            pace_s=config.server_pace_s,
            wait_s=SERVER_WAIT_S,
            generator=generator,
        )
        self._member_log = member_log
        self._home_snapshots = HomeSnapshots(
            config.vm,
            home_log,
            self.members,
            self.homes,
            lambda: self.servers.started,
        )
        members = Replica("members", self._take_member)
        self._member_follower = Follower(
            members,
            member_log,
            pace_s=MEMBER_PACE_S,
            wait_s=MEMBER_WAIT_S,
            generator=generator,
        )
        self._tables = (
            FollowedTable(
                self.settings, self._settings_follower, config.settings_wait_s
            ),
            FollowedTable(
                self.servers,
                self._server_follower,
                config.server_pace_s + SERVER_WAIT_S,
            ),
            FollowedTable(
                members, self._member_follower, MEMBER_PACE_S + MEMBER_WAIT_S
            ),
        )
        self._peer_reader = PeerReader(
            config.vm, config.records.port, self._tables, self._list_peers, generator
        )
        self._hints: HintExchange | None = None
        self.listener_state = ListenerState()
        self._readiness_state = ListenerState()
        self._servers: list[asyncio.Server] = []
        self._background: list[asyncio.Task[None]] = []
        self._stopping: asyncio.Task[None] | None = None

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers here."""
        has_settings = self.context.table is not None
        return has_settings and self.servers.started and self.context.drain is None

    @property
    def caller_port(self) -> int:
        """The port on which callers are served."""
        return int(self._servers[0].sockets[0].getsockname()[1])

    @property
    def readiness_port(self) -> int:
        """The port on which readiness is told."""
        return int(self._servers[1].sockets[0].getsockname()[1])

    @property
    def records_port(self) -> int:
        """The port on which peers ask for records."""
        return int(self._servers[2].sockets[0].getsockname()[1])

    @property
    def operations_port(self) -> int:
        """The port on which operators are answered."""
        return int(self._servers[3].sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Listen, and begin to follow the log."""
        await self._listen(
            self.config.callers,
            lambda: CallerConnection(
                self.listener_state,
                lambda connection: ExchangeResponder(self.context, connection),
            ),
        )
        await self._listen(
            self.config.readiness,
            lambda: CallerConnection(
                self._readiness_state,
                lambda connection: ReadinessResponder(
                    connection, self.config.ready_path, lambda: self.ready
                ),
            ),
        )
        replicas = {table.replica.name: table.replica for table in self._tables}
        await self._listen(
            self.config.records,
            lambda: CallerConnection(
                self._readiness_state,
                lambda connection: RecordsResponder(connection, replicas),
            ),
        )
        if self.config.operations is not None:
            await self._listen_for_operators(self.config.operations)
        link = await DatagramLink.open(
            self.config.peers.host, self.config.peers.port, self._take_hints
        )
        self._hints = HintExchange(
            self.config.vm, link, self.config.peers.port, self.members, self.homes
        )
        for work in (
            self._settings_follower.run(),
            self._server_follower.run(),
            self._member_follower.run(),
            announce(self._member_log, self._own),
            self._hints.run(),
            self._home_snapshots.run(),
            self._peer_reader.run(),
            self._sweep(),
        ):
            self._background.append(asyncio.create_task(work))
        self.context.decisions.note("started", version=self.context.version)

    def start_drain(self) -> None:
        """Begin a planned stop; a second call changes nothing."""
        if self.context.drain is not None:
            return
        self.context.decisions.note("draining", in_flight=self.context.in_flight)
        self.listener_state.draining = True
        started = asyncio.get_running_loop().time()
        drain = self.context.drain = Drain(self.config.drain_times, started)
        self._stopping = asyncio.create_task(self._finish_and_stop(drain))

    async def stop(self) -> None:
        """Stop at once."""
        for task in self._background:
            task.cancel()
        for server in self._servers:
            server.close()
        for connection in list(self.listener_state.connections):
            connection.break_off()
        self.context.decisions.note("stopped")
        self.context.decisions.flush()
        self.stopped.set()

    async def _finish_and_stop(self, drain: Drain) -> None:
        await drain.wait_until_empty(self.listener_state)
        await self.stop()

    async def _listen_for_operators(self, address: Address) -> None:
        state = GatewayState(
            self.context, self._tables, self._list_peers, lambda: len(self.homes)
        )
        await self._listen(
            address,
            lambda: CallerConnection(
                self._readiness_state,
                lambda connection: OperationsResponder(
                    connection, state, self.context.metrics, self.context.explanations
                ),
            ),
        )

    async def _listen(
        self, address: Address, build: Callable[[], CallerConnection]
    ) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            build, address.host, address.port, backlog=LISTEN_BACKLOG
        )
        self._servers.append(server)

    async def _sweep(self) -> None:
        """Close what rests too long, and write decision lines."""
        loop = asyncio.get_running_loop()
        refilled_at = loop.time()
        while True:
            await asyncio.sleep(SWEEP_S)
            now = loop.time()
            for connection in list(self.listener_state.connections):
                connection.check_timeouts(now)
            self.context.pool.sweep(now)
            self._remove_missing(now)
            if now - refilled_at >= 1.0:
                refilled_at = now
                self.context.decisions.refill()
            self.context.decisions.flush()

    def _remove_missing(self, now: float) -> None:
        for server_id in self.context.directory.remove_missing(now):
            self.context.pool.drop_peer(server_id)
            self.context.decisions.note("server_gone", server=server_id)

    def _list_peers(self) -> list[str]:
        heard = [member.host for member in self.members.list_heard_first()]
        hosts = heard[:PEERS_CONSIDERED] + list(self.config.seeds)
        own = self.config.peers.host
        return sorted({host for host in hosts if host != own})

    # records

    def _take_settings(self, record: Record) -> None:
        if record.key != self.config.settings_key:
            return
        try:
            table = self._decoder.decode_table(record)
        except SettingsError as error:
            self.context.decisions.note("settings_refused", reason=error.show())
            return
        if table is None:
            return
        if self.context.table is not None and table.version < self.context.version:
            self.context.decisions.note("settings_older", version=table.version)
            return
        self.context.table = table
        self.listener_state.limits = table.limits
        self.context.decisions.note(
            "settings_in_force",
            version=table.version,
            offset=record.offset,
            routes=len(table.routes),
        )

    def _take_member(self, record: Record) -> None:
        self.members.take_record(record, asyncio.get_running_loop().time())

    def _take_hints(self, hints: PeerHints, host: str) -> None:
        if self._hints is not None:
            self._hints.take(hints, host)

    def _take_server(self, record: Record) -> None:
        now = asyncio.get_running_loop().time()
        directory = self.context.directory
        if record.value is None:
            if self._server_follower.was_lost(now, LAPSE_HOLD_S):
                directory.hold(record.key, now + LAPSE_HOLD_S)
            else:
                directory.mark_missing(record.key, now)
            return
        try:
            server = self._decoder.decode_server(record)
        except SettingsError as error:
            self.context.decisions.note("server_refused", reason=error.show())
            return
        known = directory.find(server.id)
        before = known.server if known else None
        directory.put(server)
        if before != server:
            self.context.decisions.note(
                "server_known",
                server=server.id,
                service=server.service,
                draining=server.draining,
                offset=record.offset,
            )
