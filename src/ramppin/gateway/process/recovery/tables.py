"""The tables that a gateway follows: settings, backend servers and VMs of the fleet.

They are read from the shared log, through relays in all but the smallest fleets, and
from peers during an outage of the log. Contains the replicas and their followers;
:mod:`~.recordapplier` applies the records to the state of the gateway.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from ramppin.gateway.process.config import GatewayConfig
from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.process.membership.members import (
    MEMBER_BOUND_S,
    FleetMembers,
    Member,
    announce,
)
from ramppin.gateway.process.quarantine.gossip import QuarantineGossip
from ramppin.gateway.process.recovery.follower import FollowedTable, Follower
from ramppin.gateway.process.recovery.logmonitor import (
    LogMonitor,
    MonitoredLog,
    MonitoredSource,
)
from ramppin.gateway.process.recovery.peerchoice import list_candidates
from ramppin.gateway.process.recovery.peerreader import PeerReader
from ramppin.gateway.process.recovery.recordapplier import RecordApplier
from ramppin.gateway.process.recovery.relayrules import RelayTimes
from ramppin.gateway.process.recovery.relays import RelayedSource, RelaySelector
from ramppin.gateway.process.recovery.removalhold import find_hold_end
from ramppin.gateway.process.recovery.replica import Record, Replica
from ramppin.gateway.process.recovery.sources import (
    RecordDecoder,
    RecordLog,
    RecordSource,
)
from ramppin.gateway.process.routing.buildrecords import BuildRecords
from ramppin.gateway.process.routing.homes import PrefixHomes
from ramppin.gateway.process.routing.homesnapshot import HomeSnapshots
from ramppin.gateway.process.routing.originrecords import OriginRecords

SETTINGS_INTERVAL_S = 0.05
"""Seconds between two reads of the settings. Each read waits at the end of the log; the
pause limits the rate of calls if the log answers without waiting."""

SERVER_WAIT_S = 1.0
"""Seconds that a read of the servers waits. With the pause of 0.8 s a change is read
after at most 1.8 s, within the 2 s that the platform requires."""

MEMBER_INTERVAL_S = 1.0
"""Seconds between two reads of the list of VMs, which rarely changes."""

MEMBER_WAIT_S = 20.0
"""Seconds that a read of the list of VMs waits: heartbeats show which VMs are live; the
table only adds new ones."""


@dataclass(frozen=True, slots=True)
class GatewaySources:
    """The sources of a gateway's tables.

    Attributes:
        settings: the routing settings.
        servers: the backend servers.
        members: the VMs of the fleet.
        homes: the snapshot of the homes of prefixes.
        builds: the records of the builds that servers have had lately.
        origins: the records of where streams began.
        decoder: decodes records into models.
    """

    settings: RecordSource
    servers: RecordSource
    members: RecordLog
    homes: RecordLog
    builds: RecordLog
    origins: RecordLog
    decoder: RecordDecoder

    def watch(self, monitor: LogMonitor) -> GatewaySources:
        """Return the same sources, with their calls monitored.

        Args:
            monitor: notes the outcomes.
        """
        return GatewaySources(
            MonitoredSource("settings", self.settings, monitor),
            MonitoredSource("servers", self.servers, monitor),
            MonitoredLog("members", self.members, monitor),
            MonitoredLog("homes", self.homes, monitor),
            MonitoredLog("builds", self.builds, monitor),
            MonitoredLog("origins", self.origins, monitor),
            self.decoder,
        )


class GatewayTables:
    """The replicas of the tables, and their followers.

    Args:
        config: the configuration of this process.
        sources: the sources of the tables.
        context: the state that records are applied to.
        homes: the homes of prefixes.
        generator: source of randomness.
        suspects: gossip on requests during which backend servers terminated.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        config: GatewayConfig,
        sources: GatewaySources,
        context: GatewayContext,
        homes: PrefixHomes,
        generator: random.Random,
        suspects: QuarantineGossip,
    ) -> None:
        self._config = config
        self.monitor = LogMonitor(context.metrics.log_calls)
        self._sources = sources.watch(self.monitor)
        self._context = context
        self._generator = generator
        self.members = FleetMembers(config.vm, config.failure_domain)
        self._own = Member(
            config.vm, config.peers.host, 0.0, config.failure_domain, config.weight
        )
        self._first_reads_due = 2
        self._relays = RelaySelector(self._own, self.members, self.monitor)
        applier = RecordApplier(
            config.settings_key,
            sources.decoder,
            context,
            self._find_hold_end,
            config.heartbeat_s,
        )
        self._settings = self._follow_settings(applier)
        self._servers = self._follow_servers(applier)
        self._member_table = self._follow_members()
        self.followed = (self._settings, self._servers, self._member_table)
        self._peer_reader = PeerReader(
            config.vm, config.records.port, self.followed, self.list_peers, generator
        )
        self.snapshots = HomeSnapshots(
            config.vm,
            self._sources.homes,
            self.members,
            homes,
            lambda: self.servers.started,
            suspects,
            context.decisions.note,
            lambda: self.member_list.started,
        )
        self.build_records = BuildRecords(
            self._sources.builds,
            self.members,
            context.continuity.history,
            generator,
            is_first_start=config.is_first_start,
            is_listed=self._is_listed,
            note_mixed=context.note_mixed,
            note=context.decisions.note,
            observe_servers=self._observe_servers,
        )
        self.origin_records = OriginRecords(
            config.vm,
            self._sources.origins,
            self.members,
            is_listed=self._is_listed,
        )
        context.continuity.records = self.origin_records
        context.continuity.find_recorded_build = self._find_recorded_build
        context.continuity.knows_members = lambda: self.member_list.started
        context.servers_confirmed_at = lambda: self.servers.confirmed_at

    @property
    def settings(self) -> Replica:
        """The replica of the settings."""
        return self._settings.replica

    @property
    def servers(self) -> Replica:
        """The replica of the backend servers."""
        return self._servers.replica

    @property
    def member_list(self) -> Replica:
        """The replica of the list of VMs."""
        return self._member_table.replica

    @property
    def settings_follower(self) -> Follower:
        """The follower that keeps the settings current."""
        return self._settings.follower

    @property
    def server_follower(self) -> Follower:
        """The follower that keeps the backend servers current."""
        return self._servers.follower

    def list_work(self) -> list[Coroutine[Any, Any, None]]:
        """Return the coroutines that run as long as the gateway.

        Requests depend only on the settings and the servers; all else starts after the
        first answer of the log. Otherwise, if all VMs start during an outage, each
        would make three futile calls for each call that matters.
        """
        return [
            self._settings.follower.run(),
            self._servers.follower.run(),
            self._peer_reader.run(),
            self._run_after_first_answer(self._member_table.follower.run),
            self._run_after_first_answer(self.build_records.run),
            self._run_after_first_answer(self.origin_records.run),
            self._run_after_first_answer(self.snapshots.run),
            self._run_after_first_answer(self._announce),
        ]

    async def _run_after_first_answer(
        self, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        await self.monitor.first_answer.wait()
        await work()

    async def _announce(self) -> None:
        await announce(self._sources.members, self._own)

    def list_peers(self) -> list[str]:
        """Return the addresses of the peers that may be asked for records."""
        members = self.members.list_last_seen_first()
        return list_candidates(
            (member.host for member in members),
            self._config.seeds,
            self._config.peers.host,
        )

    async def _find_recorded_build(self, service: str) -> str | None:
        """Return the one recorded build of a service, by the servers of now."""
        self._observe_servers()
        return await self.build_records.find_only_build(service)

    def _observe_servers(self) -> None:
        """Record the builds of the servers that are known now."""
        self._context.note_builds(asyncio.get_running_loop().time())

    def _is_listed(self) -> bool:
        """Return whether the list of VMs has been read with this VM's own entry.

        VMs that start together read it before the others' entries are in it, and each
        would take itself for the only one.
        """
        return self.members.own_entry_at is not None

    def list_sharing_vms(self, now: float) -> list[str]:
        """Return the names of the VMs that share the servers' capacity, with this one.

        Empty before the table of VMs has been read: otherwise a VM that has just
        started would treat itself as the only one.
        """
        if not self._member_table.replica.started:
            return []
        return [self._config.vm, *(m.vm for m in self.members.list_recent(now))]

    def remove_missing(self, now: float) -> None:
        """Remove the backend servers whose entries are missing."""
        for state in self._context.directory.remove_missing(now):
            self._context.pool.drop_peer(state.id)
            self._context.quarantine.note_server_ended(state.id)
            self._context.cold_quota.forget(state.id)
            self._context.decisions.note("server_gone", server=state.server.name)

    # Replicas and followers of the tables.

    def _follow_settings(self, applier: RecordApplier) -> FollowedTable:
        config = self._config
        return self._follow_through_relays(
            Replica("settings", applier.apply_settings),
            self._sources.settings,
            bound_s=config.settings_bound_s,
            interval_s=SETTINGS_INTERVAL_S,
            wait_s=config.settings_wait_s,
            read_cycle_s=config.settings_wait_s,
            note_first=self._note_first_read,
        )

    def _follow_servers(self, applier: RecordApplier) -> FollowedTable:
        config = self._config
        return self._follow_through_relays(
            Replica("servers", applier.apply_server),
            self._sources.servers,
            bound_s=config.leaving_bound_s,
            interval_s=config.server_pace_s,
            wait_s=SERVER_WAIT_S,
            read_cycle_s=config.server_pace_s + SERVER_WAIT_S,
            note_first=self._note_first_read,
        )

    def _follow_members(self) -> FollowedTable:
        return self._follow_through_relays(
            Replica("members", self._apply_member),
            self._sources.members,
            bound_s=MEMBER_BOUND_S,
            interval_s=MEMBER_INTERVAL_S,
            wait_s=MEMBER_WAIT_S,
            read_cycle_s=MEMBER_BOUND_S,
        )

    def _follow_through_relays(
        self,
        replica: Replica,
        source: RecordSource,
        *,
        bound_s: float,
        interval_s: float,
        wait_s: float,
        read_cycle_s: float,
        note_first: Callable[[bool], None] | None = None,
    ) -> FollowedTable:
        relayed = RelayedSource(
            replica.name,
            self._own,
            source,
            self._config.records.port,
            self._relays.list_relays,
            self.monitor,
            times=RelayTimes.from_bound(bound_s),
        )
        follower = Follower(
            replica,
            relayed,
            interval_s=interval_s,
            wait_s=wait_s,
            generator=self._generator,
            note_first=note_first,
        )
        return FollowedTable(replica, follower, read_cycle_s)

    def _note_first_read(self, succeeded: bool) -> None:
        """Release waiting requests once both tables are read, or a first read fails."""
        self._first_reads_due -= 1
        if self._first_reads_due == 0 or not succeeded:
            self._context.first_read.set()

    def _find_hold_end(self, now: float) -> float | None:
        follower = self.server_follower
        return find_hold_end(
            reachable=follower.reachable, regained_at=follower.regained_at, now=now
        )

    def _apply_member(self, record: Record) -> None:
        if not self.members.apply_record(record, asyncio.get_running_loop().time()):
            self._context.metrics.refused_entries.inc("members")
