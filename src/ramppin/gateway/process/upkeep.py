"""Periodic work of a gateway process.

Checks connections for their time limits, removes what has expired, and writes the
lines that no request causes: stalls, changes of paths, brittle services, quarantine.
"""

from __future__ import annotations

import asyncio

from ramppin.gateway.process.allocator import release_free_memory
from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.process.limits.retryshare import RetryShare
from ramppin.gateway.process.memory import MemoryBudget
from ramppin.gateway.process.overload.activation import OverloadActivation
from ramppin.gateway.process.recovery.tables import GatewayTables
from ramppin.gateway.process.reporting.noticelines import NoticeLines
from ramppin.gateway.process.reporting.quarantinelines import note_quarantine
from ramppin.gateway.process.reporting.retrylines import RetryLines
from ramppin.gateway.process.stalldetector import STALL_S, StallDetector

SWEEP_S = 0.25
"""Interval in seconds of checks for idle connections, missing servers and pending
decision lines, much shorter than the time limits that they enforce."""

REFILL_S = 1.0
"""Interval in seconds at which the rate limit of the decision log is refilled."""

MAX_LISTED_SERVERS = 8
"""Maximum servers listed in a line about a path."""


class Upkeep:
    """The periodic work.

    Args:
        context: shared state of the process.
        tables: the tables that the process follows.
        memory: memory budget of the process; None if its limit is unknown.
        overload: overload control, which brittle services enable.
        stall_detector: stall detector of the process.

    .. versionadded:: 0.5
    """

    def __init__(
        self,
        context: GatewayContext,
        tables: GatewayTables,
        memory: MemoryBudget | None,
        overload: OverloadActivation,
        stall_detector: StallDetector,
    ) -> None:
        self._context = context
        self._tables = tables
        self._memory = memory
        self._overload = overload
        self._stall_detector = stall_detector

    async def run(self) -> None:
        """Run the work at its interval until cancelled."""
        loop = asyncio.get_running_loop()
        context = self._context
        notices = NoticeLines(context)
        retries = RetryLines(context, loop.time())
        share = RetryShare(self._tables.members, loop.time())
        refilled_at = loop.time()
        while True:
            await asyncio.sleep(SWEEP_S)
            now = loop.time()
            self.note_tick(self._stall_detector.note_tick(now), now)
            for connection in list(context.listener.connections):
                connection.check_timeouts(now)
            context.pool.sweep(now)
            if self._memory is not None:
                self._memory.sweep(now)
                if self._memory.should_trim():
                    release_free_memory()
            self._tables.remove_missing(now)
            context.quarantine.evict_expired(now)
            context.note_builds(now)
            context.continuity.origins.evict_expired(now)
            note_quarantine(context, now)
            notices.note(now)
            retries.note(now)
            self._note_paths()
            self.note_brittle()
            context.live_vms = 1 + len(self._tables.members.list_live(now))
            context.sharing_vms = len(self._tables.list_sharing_vms(now)) or None
            self._share_retries(share, now)
            if now - refilled_at >= REFILL_S:
                refilled_at = now
                context.decisions.refill()
            context.decisions.flush()

    def _share_retries(self, share: RetryShare, now: float) -> None:
        """Set this VM's part of the fleet's extra retries."""
        budget = self._context.retry_budget
        confirmed_at = self._tables.member_list.confirmed_at
        sharing_vms = share.count_sharing_vms(confirmed_at, budget.rules.window_s, now)
        budget.set_sharing_vms(sharing_vms)

    def note_brittle(self) -> None:
        """Apply and log that servers of a service became brittle, or are no more."""
        context = self._context
        now = asyncio.get_running_loop().time()
        changes = context.brittle.pop_changes(now)
        for change in changes:
            context.decisions.note(
                "service_brittle",
                service=change.service,
                tolerated_per_s=change.tolerance,
                version=context.version,
            )
        if changes:
            self._overload.update()

    def _note_paths(self) -> None:
        """Write a line for each change of this VM's path to a service's servers."""
        for change in self._context.reachability.pop_changes():
            self._context.decisions.note(
                "path_changed",
                service=change.service,
                status=change.status.value,
                failed=list(change.failed[:MAX_LISTED_SERVERS]),
                lasted_s=round(change.lasted_s, 2),
                version=self._context.version,
            )

    def note_tick(self, late_s: float, now: float) -> None:
        """Record a late tick, caused by a stall of the machine or of the event loop.

        Args:
            late_s: delay of the tick in seconds.
            now: event-loop time.
        """
        if late_s < STALL_S:
            return
        self._tables.members.note_stall(late_s, now)
        context = self._context
        context.metrics.stalls.inc()
        context.decisions.note(
            "stalled", late_ms=round(late_s * 1000), in_flight=context.in_flight
        )
