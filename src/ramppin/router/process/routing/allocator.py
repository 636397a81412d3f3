"""The allocator of a pool: grants places within the load bound.

A synchronous state machine. Its inputs are messages and clock readings, its
outputs typed decisions; it does no I/O and reads no clock. Each pool has one
active allocator at a time (see :mod:`ramppin.router.process.membership.leases`).

Example::

    allocator = Allocator(settings.resolve_pool("engines"))
    allocator.set_members([Member("e1"), Member("e2")], now=0.0)
    request = PlaceRequest(PlaceId("vm-1", 1), chat=42, customer="choir")
    decisions = allocator.ask(request, now=0.0)
    allocator.release(request.place, now=0.8)
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence

from ramppin.ranking import Ranking, RendezvousRanking
from ramppin.router.process.routing.choice import Chooser
from ramppin.router.process.routing.customers import CustomerCounts
from ramppin.router.process.routing.freerate import FreeRate
from ramppin.router.process.routing.homes import Homes
from ramppin.router.process.routing.load import (
    START_TRANSIT_S,
    Member,
    PoolLoad,
    ServerLoad,
)
from ramppin.router.process.routing.queue import FairQueue, Waiter
from ramppin.router.request.placement import (
    Decision,
    Grant,
    PlaceId,
    PlaceRequest,
    Reason,
    Refusal,
)
from ramppin.router.version.tree import PoolPolicy

MIN_RETRY_AFTER_S = 1.0
"""Lower limit of the retry time that a refusal returns, in seconds."""

MAX_RETRY_AFTER_S = 60.0
"""Upper limit of the retry time that a refusal returns, in seconds."""


class Allocator:
    """Counts, places, queues and refuses the requests of one pool.

    Args:
        policy: the rules in force for the pool.
        ranking: order of preference of a chat over backend servers.
        homes: backend servers of the chats that are not on their first choice.
        on_change: called with the name of a backend server and whether it
            serves, at each start and end of a suspension.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        policy: PoolPolicy,
        *,
        ranking: Ranking | None = None,
        homes: Homes | None = None,
        on_change: Callable[[str, bool], None] | None = None,
    ) -> None:
        self.load = PoolLoad(policy)
        self.queue = FairQueue()
        self.homes = homes or Homes()
        self.refusals = 0
        self._ranking = ranking or RendezvousRanking()
        self._chooser = Chooser(self.load, self.homes, self._ranking)
        self._on_change = on_change
        self._customers = CustomerCounts()
        self._free_rate = FreeRate()
        self._timers: list[float] = []
        self._transit_timer = float("-inf")
        self._granting = True

    # -- inputs -----------------------------------------------------------

    def set_policy(self, policy: PoolPolicy, now: float) -> list[Decision]:
        """Apply the policy of a new version of the settings."""
        self.load.policy = policy
        return self._serve_waiting(now)

    def set_members(self, members: Sequence[Member], now: float) -> list[Decision]:
        """Apply the current list of backend servers and which are leaving."""
        self.load.set_members(members)
        return self._serve_waiting(now)

    def stop_granting(self) -> None:
        """Stop granting until :meth:`start_granting`; counts may be incomplete."""
        self._granting = False

    def start_granting(self, now: float) -> list[Decision]:
        """Start granting, as all counts that can be obtained are complete."""
        self._granting = True
        return self._serve_waiting(now)

    def ask(self, request: PlaceRequest, now: float) -> list[Decision]:
        """Request a place; the decisions may concern other requests too.

        Repeating a request that waits or holds a place has no effect.
        """
        if request.place in self.load.held or self.queue.find(request.place):
            return []
        waiter = Waiter(
            request,
            asked_at=now,
            spill_at=now + (request.wait_for_cached_s if request.returning else 0.0),
            wait_deadline=now + request.max_wait_s,
        )
        grant = self._try_to_place(waiter, now)
        if grant:
            return [grant, *self._serve_waiting(now)]
        return self._enqueue(waiter, now)

    def release(
        self,
        place: PlaceId,
        now: float,
        *,
        failed: bool = False,
        running: bool = False,
    ) -> list[Decision]:
        """Free a place or leave the queue.

        Args:
            place: the place; an unknown place has no effect.
            now: reading of the monotonic clock, in seconds.
            failed: whether the backend server failed to answer.
            running: whether the request may still run there; the place then
                counts until a load report shows that the request ended or
                ``orphan_hold_s`` passes.
        """
        waiter = self.queue.remove(place)
        if waiter:
            self._customers.add(waiter.request.customer, waiting=-1)
        held = self.load.held.get(place)
        if held:
            self._note_result(held.server, now, failed=failed)
        if held and running:
            self.load.mark_orphaned(place, now)
            self._set_timer(now + self.load.policy.orphan_hold_s)
        elif held:
            self.load.free(place)
            self._customers.add(held.customer, in_flight=-1)
            self._free_rate.note_freed(now)
        return self._serve_waiting(now)

    def restore(self, place: PlaceId, server: str, customer: str) -> None:
        """Count a place that a VM reports as held."""
        held = self.load.held.get(place)
        if held:
            self.load.unmark_orphaned(place)
            return
        known = self.load.servers.get(server)
        if known:
            self.load.take(place, known, customer, 0.0)
            self._customers.add(customer, in_flight=1)
            if known.unexplained:
                self.load.set_unexplained(
                    known, known.unexplained - 1, known.unexplained_at
                )

    def handle_vm_loss(self, vm: str, now: float) -> list[Decision]:
        """Orphan the places of a lost VM and remove its waiters.

        Its requests may still run on the backend servers.
        """
        for waiter in self.queue.list_by_vm(vm):
            self.queue.remove(waiter.request.place)
            self._customers.add(waiter.request.customer, waiting=-1)
        for place in self.load.list_places(vm):
            self.load.mark_orphaned(place, now)
        self._set_timer(now + self.load.policy.orphan_hold_s)
        return self._serve_waiting(now)

    def observe_load(
        self, server: str, running: int, as_of: float, now: float
    ) -> list[Decision]:
        """Apply a load report of a backend server.

        A report lowers the counts of orphaned places and unexplained requests.
        It may raise the latter only while the allocator does not grant.

        Args:
            server: the backend server that reports.
            running: number of requests on it.
            as_of: time at which this number held, on the monotonic clock.
            now: reading of the monotonic clock, in seconds.
        """
        known = self.load.servers.get(server)
        if known is None:
            return []
        if not self._granting:
            unexplained = max(0, running - known.places)
            self.load.set_unexplained(known, unexplained, now)
            self._set_timer(now + self.load.policy.orphan_hold_s)
            return []
        self._reconcile_orphans(known, running, as_of)
        return self._serve_waiting(now)

    def note_missing_report(self, server: str, now: float) -> list[Decision]:
        """Count a missing load report as a failure of the backend server."""
        known = self.load.servers.get(server)
        if known:
            self._note_result(known, now, failed=True)
        return self._serve_waiting(now)

    def observe_cache(self, server: str, chat: int, *, present: bool) -> None:
        """Update the home of a chat from a cache event, which is only a hint."""
        if present and self.homes.find(chat) is None:
            names = list(self.load.servers)
            if names and self._ranking.rank(chat, names)[0] != server:
                self.homes.put(chat, server)
        elif not present and self.homes.find(chat) == server:
            self.homes.forget(chat)

    def tick(self, now: float) -> list[Decision]:
        """Process expired timers; call at the time from :meth:`next_wake`."""
        while self._timers and self._timers[0] <= now:
            heapq.heappop(self._timers)
        self._end_suspensions(now)
        self._drop_old_orphans(now)
        decisions = self._serve_waiting(now)
        for waiter in list(self.queue.list_in_order()):
            if waiter.wait_deadline <= now:
                decisions.append(self._refuse_waiter(waiter, Reason.WAIT_ENDED))
        return decisions

    def next_wake(self) -> float | None:
        """Return the time of the next timer for :meth:`tick`, or None."""
        return self._timers[0] if self._timers else None

    # -- placing ----------------------------------------------------------

    def _try_to_place(self, waiter: Waiter, now: float) -> Grant | None:
        request = waiter.request
        if not self._granting or not self._is_within_share(request):
            return None
        self.load.estimate_transit(now, self._free_rate.per_s)
        choice = self._chooser.choose(request, may_spill=now >= waiter.spill_at)
        if choice is None:
            return None
        cap = self.load.cap
        self.load.take(request.place, choice.server, request.customer, now)
        self.load.note_granted(now)
        self._customers.add(request.customer, in_flight=1, weight=request.weight)
        return Grant(
            place=request.place,
            backend_server=choice.server.name,
            reason=choice.reason,
            load=choice.server.count,
            cap=cap,
            total=self.load.total,
            members=self.load.members,
            waited_s=now - waiter.asked_at,
        )

    def _is_within_share(self, request: PlaceRequest) -> bool:
        in_flight = self._customers.get_in_flight(request.customer)
        if request.max_in_flight and in_flight >= request.max_in_flight:
            return False
        capacity = self.load.capacity
        if self.load.total < (1 - self.load.policy.reserve) * capacity:
            return True
        weights = max(self._customers.active_weight, request.weight)
        return in_flight < capacity * request.weight / weights

    # -- waiting ----------------------------------------------------------

    def _enqueue(self, waiter: Waiter, now: float) -> list[Decision]:
        request = waiter.request
        if self._granting and not self._chooser.list_eligible(request):
            return [self._refuse(request, Reason.NO_BACKEND_SERVER)]
        estimate = self._estimate_wait(request)
        if estimate > request.max_wait_s:
            return [self._refuse(request, Reason.WAIT_TOO_LONG)]
        self.queue.push(waiter)
        self._customers.add(request.customer, waiting=1, weight=request.weight)
        self._set_timer(waiter.wait_deadline)
        self._set_transit_timer(now)
        if now < waiter.spill_at < waiter.wait_deadline:
            self._set_timer(waiter.spill_at)
        if len(self.queue) > self.load.policy.max_waiting:
            return [
                self._refuse_waiter(
                    self.queue.find_newest_of_longest(), Reason.QUEUE_FULL
                )
            ]
        return []

    def _serve_waiting(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        served = bool(self.queue) and self._granting
        while served:
            served = False
            for waiter in self.queue.list_in_order():
                grant = self._try_to_place(waiter, now)
                if grant:
                    self.queue.serve(waiter)
                    self._customers.add(waiter.request.customer, waiting=-1)
                    decisions.append(grant)
                    served = True
                    break
        if self.queue and self._granting and self.load.in_transit > 1:
            self._set_transit_timer(now)
        return decisions

    def _refuse_waiter(self, waiter: Waiter, reason: Reason) -> Refusal:
        self.queue.remove(waiter.request.place)
        self._customers.add(waiter.request.customer, waiting=-1)
        return self._refuse(waiter.request, reason)

    def _refuse(self, request: PlaceRequest, reason: Reason) -> Refusal:
        self.refusals += 1
        estimate = self._estimate_wait(request)
        retry_after = min(max(estimate, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        return Refusal(request.place, reason, retry_after)

    def _estimate_wait(self, request: PlaceRequest) -> float:
        ahead = self.queue.count(request.customer)
        if not self._free_rate.is_known:
            return 0.0
        share = self.queue.compute_share(request.customer, request.weight)
        return ahead / (self._free_rate.per_s * share)

    # -- counting ---------------------------------------------------------

    def _note_result(self, server: ServerLoad, now: float, *, failed: bool) -> None:
        if not failed:
            self.load.note_success(server)
            return
        end = self.load.note_failure(server, now)
        if end is not None:
            self._set_timer(end)
            self._notify_change(server.name, serving=False)

    def _end_suspensions(self, now: float) -> None:
        over = [
            server.name
            for server in self.load.servers.values()
            if 0.0 < server.suspended_until <= now
        ]
        if over:
            self.load.end_suspensions(now)
        for name in over:
            self._notify_change(name, serving=True)

    def _reconcile_orphans(
        self, server: ServerLoad, running: int, as_of: float
    ) -> None:
        """Free what a load report shows to have ended.

        Places held since before the report account for a part of its running
        requests; only the rest can be orphaned or unexplained.
        """
        orphans = self.load.list_orphans(server)
        if not orphans and not server.unexplained:
            return
        alive = max(0, running - self.load.count_running_since(server, as_of))
        if server.unexplained > alive and as_of > server.unexplained_at:
            self.load.set_unexplained(server, alive, server.unexplained_at)
        alive -= server.unexplained
        for place in orphans[: len(orphans) - max(0, alive)]:
            if as_of > (self.load.held[place].orphaned_at or 0.0):
                self._free_orphan(place)

    def _drop_old_orphans(self, now: float) -> None:
        limit = now - self.load.policy.orphan_hold_s
        for server in self.load.servers.values():
            if server.unexplained and server.unexplained_at <= limit:
                self.load.set_unexplained(server, 0, now)
        for place in self.load.list_orphans():
            if (self.load.held[place].orphaned_at or 0.0) <= limit:
                self._free_orphan(place)

    def _free_orphan(self, place: PlaceId) -> None:
        held = self.load.free(place)
        if held:
            self._customers.add(held.customer, in_flight=-1)

    def _notify_change(self, server: str, *, serving: bool) -> None:
        if self._on_change:
            self._on_change(server, serving)

    def _set_transit_timer(self, now: float) -> None:
        """Set a timer for the end of the current transit, at most one at a time."""
        if now >= self._transit_timer:
            self._transit_timer = now + START_TRANSIT_S
            self._set_timer(self._transit_timer)

    def _set_timer(self, when: float) -> None:
        heapq.heappush(self._timers, when)
