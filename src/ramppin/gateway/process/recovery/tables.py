"""The tables that a gateway follows, and what their records change.

Settings, backend servers and the fleet's VMs come from the shared log, through
relays in large failure domains, and from peers while the log is away.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from ramppin.errors import SettingsError
from ramppin.gateway.process.config import GatewayConfig
from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.process.membership.members import (
    FleetMembers,
    Member,
    announce,
)
from ramppin.gateway.process.recovery.follower import Follower
from ramppin.gateway.process.recovery.peerrecords import FollowedTable, PeerReader
from ramppin.gateway.process.recovery.relays import (
    RelayChoice,
    RelayedSource,
    RelayTimes,
)
from ramppin.gateway.process.recovery.replica import Record, Replica
from ramppin.gateway.process.recovery.sources import (
    RecordDecoder,
    RecordLog,
    RecordSource,
)
from ramppin.gateway.process.routing.homes import PrefixHomes
from ramppin.gateway.process.routing.homesnapshot import HomeSnapshots

SETTINGS_PACE_S = 0.05
SERVER_WAIT_S = 1.0
MEMBER_PACE_S = 1.0
MEMBER_WAIT_S = 20.0
PEERS_CONSIDERED = 6
LAPSE_HOLD_S = 2.2
"""Entries that lapsed in an outage of the log are back this long after it."""


@dataclass(frozen=True, slots=True)
class GatewaySources:
    """Where a gateway's tables lie.

    Attributes:
        settings: the routing settings.
        servers: the backend servers.
        members: the fleet's own VMs.
        homes: the snapshot of prefixes' homes.
        decoder: turns records into models.
    """

    settings: RecordSource
    servers: RecordSource
    members: RecordLog
    homes: RecordLog
    decoder: RecordDecoder


class GatewayTables:
    """Replicas of the tables, and what keeps them current.

    Args:
        config: the process's own settings.
        sources: where the tables lie.
        context: takes what records change.
        homes: where prefixes are.
        generator: random numbers.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        config: GatewayConfig,
        sources: GatewaySources,
        context: GatewayContext,
        homes: PrefixHomes,
        generator: random.Random,
    ) -> None:
        self._config = config
        self._sources = sources
        self._context = context
        self.settings = Replica("settings", self._take_settings)
        self.servers = Replica("servers", self._take_server)
        self.members = FleetMembers(config.vm, config.failure_domain)
        self._own = Member(
            config.vm, config.peers.host, 0.0, config.failure_domain, config.weight
        )
        self._relays = RelayChoice(self._own, self.members)
        self.settings_follower = Follower(
            self.settings,
            self._relay(
                self.settings,
                sources.settings,
                bound_s=config.settings_bound_s,
                pace_s=SETTINGS_PACE_S,
            ),
            pace_s=SETTINGS_PACE_S,
            wait_s=config.settings_wait_s,
            generator=generator,
        )
        self.server_follower = Follower(
            self.servers,
            self._relay(
                self.servers,
                sources.servers,
                bound_s=config.leaving_bound_s,
                pace_s=config.server_pace_s,
            ),
            pace_s=config.server_pace_s,
            wait_s=SERVER_WAIT_S,
            generator=generator,
        )
        member_replica = Replica("members", self._take_member)
        self._member_follower = Follower(
            member_replica,
            sources.members,
            pace_s=MEMBER_PACE_S,
            wait_s=MEMBER_WAIT_S,
            generator=generator,
        )
        server_cycle_s = config.server_pace_s + SERVER_WAIT_S
        member_cycle_s = MEMBER_PACE_S + MEMBER_WAIT_S
        self.followed = (
            FollowedTable(
                self.settings, self.settings_follower, config.settings_wait_s
            ),
            FollowedTable(self.servers, self.server_follower, server_cycle_s),
            FollowedTable(member_replica, self._member_follower, member_cycle_s),
        )
        self._peer_reader = PeerReader(
            config.vm, config.records.port, self.followed, self.list_peers, generator
        )
        self.snapshots = HomeSnapshots(
            config.vm,
            sources.homes,
            self.members,
            homes,
            lambda: self.servers.started,
        )
        context.servers_confirmed_at = lambda: self.servers.confirmed_at

    def list_work(self) -> list[Coroutine[Any, Any, None]]:
        """Return what must run while the gateway does."""
        return [
            self.settings_follower.run(),
            self.server_follower.run(),
            self._member_follower.run(),
            self._peer_reader.run(),
            self.snapshots.run(),
            announce(self._sources.members, self._own),
        ]

    def list_peers(self) -> list[str]:
        """Return the addresses of peers to ask: those heard last, and seeds."""
        heard = [member.host for member in self.members.list_last_seen_first()]
        hosts = heard[:PEERS_CONSIDERED] + list(self._config.seeds)
        own = self._config.peers.host
        return sorted({host for host in hosts if host != own})

    def remove_missing(self, now: float) -> None:
        """Forget backend servers that have been missing long enough."""
        for server_id in self._context.directory.remove_missing(now):
            self._context.pool.drop_peer(server_id)
            self._context.decisions.note("server_gone", server=server_id)

    def _relay(
        self, replica: Replica, source: RecordSource, *, bound_s: float, pace_s: float
    ) -> RelayedSource:
        return RelayedSource(
            replica.name,
            self._config.vm,
            source,
            self._config.records.port,
            self._relays.list_relays,
            times=RelayTimes.from_bound(bound_s),
            pace_s=pace_s,
        )

    def _take_settings(self, record: Record) -> None:
        if record.key != self._config.settings_key:
            return
        context = self._context
        try:
            table = self._sources.decoder.decode_table(record)
        except SettingsError as error:
            context.decisions.note("settings_refused", reason=error.show())
            return
        if table is None:
            return
        if context.table is not None and table.version < context.version:
            context.decisions.note("settings_older", version=table.version)
            return
        context.table = table
        context.listener.limits = table.limits
        context.decisions.note(
            "settings_in_force",
            version=table.version,
            offset=record.offset,
            routes=len(table.routes),
        )

    def _take_member(self, record: Record) -> None:
        self.members.take_record(record, asyncio.get_running_loop().time())

    def _take_server(self, record: Record) -> None:
        if record.value is None:
            self._take_vanished(record.key)
            return
        context = self._context
        try:
            server = self._sources.decoder.decode_server(record)
        except SettingsError as error:
            context.decisions.note("server_refused", reason=error.show())
            return
        known = context.directory.find(server.id)
        before = known.server if known else None
        context.directory.put(server)
        if before != server:
            context.decisions.note(
                "server_known",
                server=server.id,
                service=server.service,
                draining=server.draining,
                offset=record.offset,
            )

    def _take_vanished(self, server_id: str) -> None:
        now = asyncio.get_running_loop().time()
        directory = self._context.directory
        hold_end = self.server_follower.find_hold_end(now, LAPSE_HOLD_S)
        if hold_end is not None:
            directory.hold(server_id, hold_end)
        else:
            directory.mark_missing(server_id)
