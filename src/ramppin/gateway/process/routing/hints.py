"""Exchange of hints between VMs by datagram.

Hints are homes of prefixes and hot prefixes, failures and loads of servers, servers
that leave or request a back-off, requests that may crash servers, and this VM's demand
for services. A datagram without any of these is a heartbeat, by which VMs detect that
their peers are alive.
Holds the times of the last messages to near and far VMs, and the budget of datagrams.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Sequence

from ramppin.gateway.connection.datagrams import (
    BuildHint,
    DatagramLink,
    DemandHint,
    HomeHint,
    LoadHint,
    OriginHint,
    PeerHints,
    WaitHint,
)
from ramppin.gateway.process.load.gossip import LoadGossip
from ramppin.gateway.process.membership.members import FleetMembers
from ramppin.gateway.process.overload.brittleness import BrittleServices
from ramppin.gateway.process.overload.demandgossip import DemandGossip
from ramppin.gateway.process.quarantine.gossip import QuarantineGossip
from ramppin.gateway.process.quarantine.quarantine import Quarantine
from ramppin.gateway.process.routing.continuity import StreamContinuity
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.failuregossip import FailureGossip
from ramppin.gateway.process.routing.homes import HomeAnnouncement, PrefixHomes
from ramppin.gateway.process.routing.noticegossip import NoticeGossip
from ramppin.gateway.process.routing.reachability import Reachability
from ramppin.gateway.process.routing.recordedservers import ServiceBuild
from ramppin.gateway.process.routing.streamkeepers import Parcel, StreamKeepers
from ramppin.gateway.process.routing.streamorigins import StreamOrigin

MIN_PERIOD_S = 0.08
"""Minimum period in seconds of the messages to all VMs."""

DATAGRAMS_PER_S = 100
"""Mean rate of datagrams that one VM sends; with many VMs the period grows instead."""

LOAD_DATAGRAMS_PER_S = 400
"""Additional rate of datagrams with loads that one VM may send to its failure domain:
with 32 VMs there, a report is sent within 0.08 s. Each report causes one message per VM
at most, some 60 datagrams a second at two answers a second."""

MAX_BURST_DATAGRAMS = 400
"""Datagrams that a VM may send at once. While the budget lasts, a new home is announced
at once, since each VM without it would place the prefix again and have it processed
again. The same holds for a server near the load bound."""

HOMES_PER_DATAGRAM = 24
"""Maximum number of homes in one datagram. They take 684 bytes, below the usual path
MTU, so that the datagram is not fragmented."""

MAX_REPORTING_VMS = 100
"""Number of VMs up to which each reports a new build to all at once. In larger fleets
some do: VMs read an entry almost together, and each report is a datagram to each VM."""

REPORTERS = 4
"""VMs that report it in a larger fleet."""

MAX_ASKED_SERVICES = 20
"""Maximum number of services whose only build one datagram queries."""


class HintExchange:
    """Sends and receives hints.

    Args:
        vm: name of this VM.
        link: link that sends the datagrams.
        port: port of every VM's link.
        members: the other VMs.
        homes: homes of prefixes.
        servers: gossip on failures of servers.
        loads: gossip on loads of servers.
        is_log_up: returns whether the shared log is available to this VM.
        suspects: gossip on requests that may crash servers.
        notices: gossip on notices of servers.
        demands: gossip on demand for services; None if overload control is not used.
        reachability: services that this VM does not reach, and what shows that others
            do; None to exchange neither.
        brittle: services with brittle servers; None to exchange none.
        note_brittle: called when another VM sent some.
        continuity: origins of streams, and services with servers of several builds;
            None to exchange neither.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        vm: str,
        link: DatagramLink,
        port: int,
        members: FleetMembers,
        homes: PrefixHomes,
        servers: FailureGossip,
        loads: LoadGossip,
        is_log_up: Callable[[float], bool] = lambda now: True,
        suspects: QuarantineGossip | None = None,
        notices: NoticeGossip | None = None,
        demands: DemandGossip | None = None,
        reachability: Reachability | None = None,
        brittle: BrittleServices | None = None,
        note_brittle: Callable[[], None] = lambda: None,
        continuity: StreamContinuity | None = None,
    ) -> None:
        self._vm = vm
        self._link = link
        self._port = port
        self._members = members
        self._homes = homes
        self._servers = servers
        self._loads = loads
        self._is_log_up = is_log_up
        self._suspects = suspects or QuarantineGossip(Quarantine())
        self._notices = notices or NoticeGossip(ServerDirectory())
        self._demands = demands
        self._reachability = reachability
        self._brittle = brittle or BrittleServices()
        self._note_brittle = note_brittle
        self._continuity = continuity or StreamContinuity()
        self._continuity.keepers = StreamKeepers(
            self._continuity.origins, members, self._continuity.records
        )
        self._continuity.send_parcels = self._send_parcels
        self._continuity.send_intended = self._send_intended
        self._continuity.send_question = self._send_question
        self._sent_unreachable: list[str] = []
        self._sent_mixed: list[str] = []
        self._sent_log_up = True
        self._woken = asyncio.Event()
        self._suspects.watch(self._woken.set)
        self._notices.watch(self._woken.set)
        self._datagram_budget = float(MAX_BURST_DATAGRAMS)
        self._budget_updated_at = float("-inf")
        self._due_at = float("-inf")
        self._loads_due_at = float("-inf")
        self._sent_at = dict.fromkeys((True, False), float("-inf"))

    async def run(self) -> None:
        """Send hints until cancelled."""
        try:
            while True:
                await self._wait_until_due()
                self.send_due(asyncio.get_running_loop().time())
        finally:
            self._link.close()

    async def _wait_until_due(self) -> None:
        """Wait for the shortest period, or until an urgent update is to be sent.

        After a request has crashed a server, each copy of it may crash another one
        until the other VMs are informed.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MIN_PERIOD_S):
                await self._woken.wait()
        self._woken.clear()

    def apply(self, hints: PeerHints, host: str, now: float) -> None:
        """Apply a message of another VM.

        Args:
            hints: the message.
            host: address of the sender.
            now: event-loop time.
        """
        known = self._members.note_received(
            hints.vm, host, now, log_up=hints.log_up, unreachable=hints.unreachable
        )
        if not known:
            return
        if self._reachability is not None:
            for load in hints.loads:
                at = now - load.age_ms / 1000
                self._reachability.note_peer_reached(load.server, at, now)
        for hint in hints.homes:
            announcement = HomeAnnouncement(hint.key, hint.server, hint.age_ms / 1000)
            self._homes.apply_announcement(announcement, now)
        if hints.brittle:
            self._brittle.apply(hints.brittle, now)
            self._note_brittle()
        self._homes.hot.apply(hints.hot, now)
        self._loads.apply(hints, now)
        self._notices.apply(hints.leaving, now)
        self._notices.apply_backoffs(hints.vm, hints.backoffs, now)
        if self._demands is not None:
            self._demands.apply(hints.vm, hints.demands, now)
        self._answer_suspects(hints, host, now)
        self._apply_origins(hints, host, now)
        if hints.failures:
            domain = self._members.find_failure_domain(hints.vm)
            self._servers.apply(hints.failures, domain, now)

    def send_due(self, now: float) -> None:
        """Send what is due: all updates and heartbeats, or loads alone."""
        if self.is_due(now):
            self._send(now)
        elif self.are_loads_due(now):
            self._send_loads(now)

    def is_due(self, now: float) -> bool:
        """Return whether to send now: the period has passed, or an update is urgent."""
        passed_s = min(
            now - self._budget_updated_at, MAX_BURST_DATAGRAMS / DATAGRAMS_PER_S
        )
        self._budget_updated_at = now
        self._datagram_budget = min(
            MAX_BURST_DATAGRAMS, self._datagram_budget + passed_s * DATAGRAMS_PER_S
        )
        if now >= self._due_at:
            self._due_at = now + self._choose_period()
            return True
        is_urgent = (
            self._homes.has_pending_placement
            or self._suspects.is_urgent
            or self._notices.is_urgent
            or self._list_unreachable() != self._sent_unreachable
            or self._brittle.has_unsent()
            or self._has_new_build(now)
        )
        return is_urgent and self._may_broadcast()

    def _has_new_build(self, now: float) -> bool:
        """Return whether a service has another build that no other VM has reported.

        Until they know it, VMs that have not read its entry take it for a service of
        one build, and let streams of the new build go on at the old one.
        """
        members, history = self._members, self._continuity.history
        is_large = len(members) > MAX_REPORTING_VMS
        if is_large and not members.ranks_first("mixed", now, REPORTERS):
            return False
        added = set(history.list_mixed()) - set(self._sent_mixed)
        return any(not history.is_reported(service, now) for service in added)

    def are_loads_due(self, now: float) -> bool:
        """Return whether to send loads now, between the periodic messages."""
        if now < self._loads_due_at:
            return False
        near = self._members.count(near=True)
        self._loads_due_at = now + max(MIN_PERIOD_S, near / LOAD_DATAGRAMS_PER_S)
        return True

    def _choose_period(self) -> float:
        return max(MIN_PERIOD_S, len(self._members) / DATAGRAMS_PER_S)

    def _may_broadcast(self) -> bool:
        """Return whether the datagram budget suffices for a message to all VMs.

        For a fleet larger than the budget, the full budget suffices. It becomes
        negative then and must be refilled before the next broadcast.
        """
        return self._datagram_budget >= min(len(self._members), MAX_BURST_DATAGRAMS)

    def _send(self, now: float) -> None:
        """Send updates to all VMs, or heartbeats to those for which one is due."""
        announcements = self._homes.collect_announcements(now, HOMES_PER_DATAGRAM)
        homes = [
            HomeHint(
                announcement.key, announcement.server, int(announcement.age_s * 1000)
            )
            for announcement in announcements
        ]
        failures = self._servers.collect(now)
        loads = self._loads.collect(now)
        log_up = self._is_log_up(now)
        hot = self._homes.hot.collect()
        suspects = self._suspects.collect(now)
        has_updates = (
            bool(announcements or failures or loads.waits or hot or suspects)
            or self._notices.has_pending
            or log_up != self._sent_log_up
            or self._list_unreachable() != self._sent_unreachable
            or self._has_new_build(now)
        )
        self._sent_unreachable = self._list_unreachable()
        self._sent_mixed = self._continuity.history.list_mixed()
        brittle = self._brittle.collect(now)
        has_updates = has_updates or bool(brittle)
        leaving = self._notices.collect(now)
        backoffs = self._notices.collect_backoffs(now)
        self._sent_log_up = log_up
        for near, server_loads in ((True, loads.near), (False, loads.far)):
            due_s = self._members.choose_heartbeat_s(near=near)
            waits = now - self._sent_at[near] < due_s
            demands = self._collect_demands(now, near=near)
            if not has_updates and not server_loads and not demands and waits:
                continue
            hints = PeerHints(
                self._vm,
                homes,
                log_up,
                failures,
                server_loads,
                loads.waits,
                hot,
                suspects,
                self._suspects.digest,
                leaving or self._notices.collect_rebroadcast(now, near=near),
                backoffs,
                demands,
                self._sent_unreachable,
                brittle,
                self._sent_mixed,
            )
            self._send_to(hints, near, now)

    def _send_loads(self, now: float) -> None:
        """Send loads to near VMs, and the important ones to far VMs within the budget.

        Important are loads near the bound, and overdue requests. This VM's demand goes
        to near VMs only, and to the others with the periodic messages.
        """
        loads = self._loads.collect(now)
        demands = self._collect_demands(now, near=True)
        if loads.near or loads.waits or demands:
            hints = self._build_load_hints(loads.near, loads.waits, demands)
            self._send_to(hints, True, now)
        if (loads.far or loads.waits) and self._may_broadcast():
            self._send_to(self._build_load_hints(loads.far, loads.waits), False, now)

    def _build_load_hints(
        self,
        loads: list[LoadHint],
        waits: list[WaitHint],
        demands: Sequence[DemandHint] = (),
    ) -> PeerHints:
        return PeerHints(
            self._vm,
            [],
            self._sent_log_up,
            [],
            loads,
            waits,
            quarantine_digest=self._suspects.digest,
            demands=list(demands),
            unreachable=self._sent_unreachable,
        )

    def _list_unreachable(self) -> list[str]:
        return self._reachability.list_avoided() if self._reachability else []

    def _collect_demands(self, now: float, *, near: bool) -> list[DemandHint]:
        if self._demands is None:
            return []
        return self._demands.collect(now, near=near)

    def _answer_suspects(self, hints: PeerHints, host: str, now: float) -> None:
        """Apply a VM's suspect requests, and send that VM alone those that it lacks."""
        outdated = self._suspects.apply(hints.suspects, now)
        messages = self._suspects.reply(host, hints.quarantine_digest, now)
        if outdated:
            messages.append(outdated)
        for suspects in messages:
            hints = PeerHints(
                self._vm,
                [],
                self._sent_log_up,
                suspects=suspects,
                quarantine_digest=self._suspects.digest,
                unreachable=self._sent_unreachable,
            )
            self._link.send(hints, [host], self._port)

    def _apply_origins(self, hints: PeerHints, host: str, now: float) -> None:
        """Apply what concerns streams and builds, and answer questions."""
        continuity = self._continuity
        history = continuity.history
        added = [name for name in hints.mixed if not history.is_mixed(name, now)]
        history.note_mixed(hints.mixed, now)
        for service in added:
            continuity.note_mixed(service, now)
        only = [ServiceBuild(hint.service, hint.build) for hint in hints.only_builds]
        history.note_confirmed(only, now)
        for suspect in hints.suspects:
            for end in suspect.ends:
                continuity.note_server_ended(end.server, now - end.age_ms / 1000)
        if continuity.records is not None:
            for hint in hints.intended:
                origin = StreamOrigin(hint.service, hint.build)
                continuity.records.note(hint.key, origin, now)
        keepers = continuity.keepers
        if keepers is None:
            return
        keepers.apply(hints.origins, host, now)
        if hints.asked_streams:
            answers = keepers.answer(hints.asked_streams, now)
            services = hints.asked_services[:MAX_ASKED_SERVICES]
            may_confirm = continuity.may_confirm(now)
            only = history.list_only_builds(services, now) if may_confirm else []
            self._send_origins([host], answers, only_builds=only)

    def _send_parcels(self, parcels: list[Parcel]) -> None:
        for parcel in parcels:
            self._send_origins([parcel.host], parcel.hints)

    def _send_intended(self, parcel: Parcel) -> None:
        self._send_origins([parcel.host], intended=parcel.hints)

    def _send_question(self, key: int, service: str, hosts: list[str]) -> None:
        self._send_origins(hosts, asked=[key], asked_services=[service])

    def _send_origins(
        self,
        hosts: list[str],
        origins: Sequence[OriginHint] = (),
        *,
        asked: Sequence[int] = (),
        asked_services: Sequence[str] = (),
        only_builds: Sequence[ServiceBuild] = (),
        intended: Sequence[OriginHint] = (),
    ) -> None:
        """Send origins and questions to some VMs at once."""
        hints = PeerHints(
            self._vm,
            [],
            self._sent_log_up,
            quarantine_digest=self._suspects.digest,
            unreachable=self._sent_unreachable,
            mixed=self._continuity.history.list_mixed(),
            origins=list(origins),
            asked_streams=list(asked),
            asked_services=list(asked_services),
            only_builds=[BuildHint(*pair) for pair in only_builds],
            intended=list(intended),
        )
        self._link.send(hints, hosts, self._port)

    def _send_to(self, hints: PeerHints, near: bool, now: float) -> None:
        self._sent_at[near] = now
        hosts = self._members.list_hosts(now, near=near)
        if not near or hints.homes:
            self._datagram_budget -= len(hosts)
        self._link.send(hints, hosts, self._port)
