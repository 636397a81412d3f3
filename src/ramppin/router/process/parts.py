"""What a router process is made of, and what its parts ask each other."""

from __future__ import annotations

import itertools
import logging
import random
import time
from collections.abc import Callable
from typing import Any

from ramppin.clock import Clock, read_clock
from ramppin.router.connection.backends import BackendClient, build_sessions
from ramppin.router.connection.links import Meter, PeerLinks
from ramppin.router.connection.log import LogClient
from ramppin.router.connection.messages import Ask
from ramppin.router.connection.vmlist import VmListClient
from ramppin.router.process.claims import claiming
from ramppin.router.process.claims.claiming import Claimer
from ramppin.router.process.claims.claims import ClaimTable, HeldClaims
from ramppin.router.process.config import RouterConfig
from ramppin.router.process.membership.handover import RecordFetcher
from ramppin.router.process.membership.leases import LeaseHolder, LeaseTable
from ramppin.router.process.membership.membership import Membership
from ramppin.router.process.membership.ownership import Ownership
from ramppin.router.process.membership.peers import PeerMessages
from ramppin.router.process.recovery.publishing import SettingsFollower
from ramppin.router.process.recovery.tails import Tail, TailEvents
from ramppin.router.process.reporting.explanation import find_explanation
from ramppin.router.process.reporting.metrics import Metrics
from ramppin.router.process.routing.placer import Placer
from ramppin.router.process.routing.reports import ReportReader
from ramppin.router.process.routing.shards import ShardHost
from ramppin.router.request.context import RequestContext
from ramppin.router.request.identity import RequestId
from ramppin.router.request.placement import Decision, PlaceId, PlaceRequest
from ramppin.router.request.trace import TraceStore
from ramppin.router.version.acceptance import NO_VERSION, SettingsHistory, Verdict
from ramppin.router.version.tree import DEFAULTS, Settings

LOG = logging.getLogger(__name__)


class RouterParts:
    """The parts of a router process, built and wired, without its listeners.

    Args:
        config: the process's own settings.
        clock: never goes back, and counts the time of a suspension.
        wall_clock: seconds since the epoch.
        run: number that differs each time the VM's process starts.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        config: RouterConfig,
        *,
        clock: Clock = read_clock,
        wall_clock: Callable[[], float] = time.time,
        run: int | None = None,
    ) -> None:
        self.config = config
        self.clock = clock
        self.wall_clock = wall_clock
        self.run_number = run or random.SystemRandom().getrandbits(32)
        self.draining = False
        self._numbers = itertools.count(1)
        self._build_connections()
        self._build_ownership()
        self._build_requests()
        self._build_peers()

    # -- what others ask ----------------------------------------------------

    @property
    def history(self) -> SettingsHistory:
        """The settings' history."""
        return self.follower.history

    @property
    def settings(self) -> Settings | None:
        """The settings in force, or None before there are any."""
        return self.follower.settings

    @property
    def version(self) -> int:
        """The settings' version in force."""
        return self.settings.version if self.settings else NO_VERSION

    def next_request_id(self) -> RequestId:
        """Return an id for a request."""
        return RequestId(self.config.vm, self.run_number, next(self._numbers))

    def find_unready(self) -> str:
        """Return what is missing to serve, or ``""``."""
        if self.draining:
            return "draining"
        if self.settings is None:
            return "no settings yet"
        if self.membership.list is None:
            return "no list of VMs yet"
        return ""

    async def wait_for_version(self, version: int, timeout_s: float) -> Settings | None:
        """Return the settings once a version is in force; None if it isn't."""
        return await self.follower.wait_for_version(version, timeout_s)

    async def publish(
        self,
        base: int,
        author: str,
        nonce: str,
        *,
        tree: dict[str, object] | None,
        patch: dict[str, object] | None,
    ) -> Verdict:
        """Publish a change of the settings; see ``SettingsFollower.publish``."""
        return await self.follower.publish(base, author, nonce, tree=tree, patch=patch)

    async def explain(self, request_id: str) -> dict[str, Any]:
        """Return the explanation of a request that any VM decided."""
        return await find_explanation(self.context, request_id)

    # -- parts ------------------------------------------------------------

    def _build_connections(self) -> None:
        config = self.config
        self._sessions = build_sessions()
        shared, fresh = self._sessions
        self.meter = Meter()
        self.metrics = Metrics(self.meter)
        self.membership = Membership(config.vm, self.clock)
        self._log = LogClient(
            config.log_url,
            shared,
            vm=config.vm,
            on_append=lambda stream: self.metrics.log_appends.labels(stream).inc(),
        )
        self._vms = VmListClient(config.vms_url, shared, vm=config.vm)
        self.backends = BackendClient(shared, fresh)
        self.links = PeerLinks(
            config.vm,
            config.fleet_key,
            find_address=self.membership.find_address,
            on_message=lambda vm, message: self.placer.receive(vm, message),
            on_down=lambda vm: self.placer.handle_link_down(vm),
            meter=self.meter,
        )

    def _build_ownership(self) -> None:
        config = self.config
        table = LeaseTable()
        holder = LeaseHolder(config.vm, self.run_number, config.lease_ttl_s, table)
        self.host = ShardHost(
            config.vm, holder, deliver=self._deliver, on_change=self._note_change
        )
        self.ownership = Ownership(
            config.vm,
            self.run_number,
            config.lease_ttl_s,
            self._log,
            self.membership,
            self.host,
            table,
            holder,
            clock=self.clock,
            wait_s=config.log_wait_s,
            poll_min_s=config.log_poll_min_s,
        )
        self.ownership.links = self.links
        self.placer = Placer(
            config.vm,
            table,
            self.host,
            self.links,
            resolve=self._resolve_ask,
            clock=self.clock,
        )
        self.ownership.on_owners = self.placer.handle_owner_change
        self.follower = SettingsFollower(
            config.vm,
            self._log,
            on_version=self._take_version,
            wait_s=config.log_wait_s,
            poll_min_s=config.log_poll_min_s,
            seed=self.run_number,
        )
        self.reports = ReportReader(
            self.backends,
            self.host,
            get_settings=lambda: self.settings,
            poll_s=config.load_poll_s,
            clock=self.clock,
        )
        self.fetcher = RecordFetcher(
            self.links, self.membership, self.follower, self.ownership
        )

    def _build_requests(self) -> None:
        config = self.config
        self.claims = ClaimTable(DEFAULTS.claim_window_s or 0.0)
        self.held_claims = HeldClaims()
        self.claimer = Claimer(
            config.vm,
            self.run_number,
            self._log,
            self.claims,
            self.held_claims,
            request_read=lambda: self.claims_tail.hurry(),
            wall_clock=self.wall_clock,
        )
        self.claims_tail = Tail(
            self._log,
            claiming.STREAM,
            TailEvents(self.claimer.apply, self.claims.note_trimmed),
            wait_s=config.log_wait_s,
            poll_min_s=config.log_poll_min_s,
        )
        self.context = RequestContext(
            vm=config.vm,
            run=self.run_number,
            fleet_key=config.fleet_key,
            clock=self.clock,
            wall_clock=self.wall_clock,
            placer=self.placer,
            backends=self.backends,
            claimer=self.claimer,
            claims=self.claims,
            held_claims=self.held_claims,
            links=self.links,
            traces=TraceStore(keep=config.trace_keep),
            metrics=self.metrics,
        )
        self.metrics.in_flight.set_function(lambda: self.context.in_flight)
        self.metrics.log_up.set_function(lambda: self.follower.tail.up)

    def _build_peers(self) -> None:
        self.peers = PeerMessages(
            self.host,
            self.ownership.table,
            self.context.traces,
            self.held_claims,
            resolve=self._resolve_ask,
            follower=self.follower,
            owner=self.ownership,
            run=self.run_number,
            clock=self.clock,
        )

    # -- glue -------------------------------------------------------------

    def _deliver(self, decision: Decision, epoch: int) -> None:
        if decision.place.vm == self.config.vm:
            self.placer.decide(decision, epoch)
        else:
            self.peers.deliver(decision, epoch)

    def _resolve_ask(self, vm: str, ask: Ask) -> PlaceRequest | None:
        settings = self.settings
        if settings is None or ask.service not in settings.tree.services:
            return None
        route = ask.route
        if route >= len(settings.tree.services[ask.service].routes):
            route = -1
        policy = settings.resolve_request(ask.service, ask.customer, route)
        return PlaceRequest(
            place=PlaceId(vm, ask.number),
            chat=ask.chat,
            customer=ask.customer,
            weight=policy.weight,
            max_in_flight=policy.max_in_flight,
            wait_for_cached_s=policy.wait_for_cached_s,
            max_wait_s=min(policy.max_wait_s, ask.left_ms / 1000),
            priority=policy.priority,
            returning=ask.returning,
            exclude=ask.exclude,
            failure_domains=policy.failure_domains,
        )

    def _take_version(self, settings: Settings) -> None:
        self.metrics.version.set(settings.version)
        self.claims.window_s = settings.claim_window_s
        self._refresh_shards()

    def _refresh_shards(self) -> None:
        if self.settings:
            self.ownership.set_shards(self.membership.build_shards(self.settings))

    def _note_change(self, server: str, serving: bool) -> None:
        text = "backend server back in service" if serving else "suspended"
        LOG.warning(text, extra={"step": "place", "peer": server})
