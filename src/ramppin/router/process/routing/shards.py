"""The shards that this VM owns, each with its allocator.

Synchronous: the inputs are messages and clock readings, and decisions go to a
callback. An allocator grants only while this VM's lease is valid, and only
after the places that were held before are counted.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from ramppin.router.connection.messages import HeldPlaceInfo
from ramppin.router.process.membership.leases import LeaseHolder
from ramppin.router.process.routing.allocator import Allocator
from ramppin.router.process.routing.load import Member
from ramppin.router.request.placement import Decision, PlaceId, PlaceRequest
from ramppin.router.version.tree import PoolPolicy

SYNC_WAIT_S = 1.0
"""Longest time a new owner waits for VMs to send the places that they hold."""


@dataclass(frozen=True, slots=True)
class Shard:
    """A shard as defined by the settings and the platform's list.

    Attributes:
        name: its name.
        policy: the policy in force.
        members: its backend servers.
    """

    name: str
    policy: PoolPolicy
    members: tuple[Member, ...]


@dataclass(slots=True)
class OwnedShard:
    """A shard that this VM owns according to the log.

    Attributes:
        epoch: epoch of the lease.
        allocator: allocator of the shard.
        since: time at which this VM became its owner.
        synced: VMs that have sent the places that they hold.
        loads_seen: whether the backend servers were asked for their load.
        counted: whether all places that can be known are counted.
        granting: whether the allocator grants now.
    """

    epoch: int
    allocator: Allocator
    since: float
    synced: set[str] = field(default_factory=set)
    loads_seen: bool = False
    counted: bool = False
    granting: bool = False


class ShardHost:
    """Hosts the allocators of the shards that this VM owns.

    Args:
        vm: this VM.
        holder: its leases.
        deliver: called with each decision and the shard's epoch.
        on_change: called with the name of a backend server and whether it
            serves, at each start and end of a suspension.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        vm: str,
        holder: LeaseHolder,
        *,
        deliver: Callable[[Decision, int], None],
        on_change: Callable[[str, bool], None] | None = None,
    ) -> None:
        self.owned: dict[str, OwnedShard] = {}
        self._vm = vm
        self._holder = holder
        self._deliver = deliver
        self._on_change = on_change

    def refresh(
        self, shards: Iterable[Shard], vms: Sequence[str], now: float
    ) -> list[str]:
        """Apply the owned leases and the definitions of the shards.

        Args:
            shards: all shards of the settings in force.
            vms: the live VMs.
            now: reading of the monotonic clock, in seconds.

        Returns:
            The shards that this VM no longer owns.
        """
        wanted = {shard.name: shard for shard in shards}
        epochs = self._holder.list_owned()
        lost = [
            name
            for name, owned in self.owned.items()
            if epochs.get(name) != owned.epoch or name not in wanted
        ]
        for name in lost:
            del self.owned[name]
        for name, epoch in epochs.items():
            if name in wanted:
                self._update(wanted[name], epoch, now)
        self.gate(vms, now)
        return lost

    def gate(self, vms: Sequence[str], now: float) -> None:
        """Start or stop granting in each allocator, by its lease and counts."""
        for name, owned in self.owned.items():
            if not owned.counted:
                owned.counted = self._is_counted(name, owned, vms, now)
            granting = owned.counted and self._holder.may_grant(name, now)
            if granting and not owned.granting:
                owned.granting = True
                self._emit(owned, owned.allocator.start_granting(now))
            elif not granting and owned.granting:
                self._stop(owned)

    def sync(
        self,
        vm: str,
        shard: str,
        epoch: int,
        places: Sequence[HeldPlaceInfo],
        now: float,
    ) -> bool:
        """Apply the complete list of places that a VM holds; it waits for none.

        Returns whether this VM owns the shard in that epoch.
        """
        owned = self.owned.get(shard)
        if owned is None or owned.epoch != epoch:
            return False
        allocator = owned.allocator
        for info in places:
            place = PlaceId(vm, info.number)
            allocator.restore(place, info.backend_server, info.customer)
        held = {PlaceId(vm, info.number) for info in places}
        stale = [
            place
            for place in allocator.load.list_places(vm)
            if place not in held and allocator.load.held[place].orphaned_at is None
        ]
        stale += [waiter.request.place for waiter in allocator.queue.list_by_vm(vm)]
        for place in stale:
            self._emit(owned, allocator.release(place, now))
        owned.synced.add(vm)
        return True

    def ask(self, shard: str, request: PlaceRequest, now: float) -> bool:
        """Request a place; False if this VM does not own the shard."""
        owned = self.owned.get(shard)
        if owned is None:
            return False
        self._check_lease(shard, owned, now)
        self._emit(owned, owned.allocator.ask(request, now))
        return True

    def free(
        self,
        shard: str,
        place: PlaceId,
        now: float,
        *,
        failed: bool = False,
        running: bool = False,
    ) -> None:
        """Free a place or end the wait for one; see ``Allocator.release``."""
        owned = self.owned.get(shard)
        if owned:
            self._check_lease(shard, owned, now)
            decisions = owned.allocator.release(
                place, now, failed=failed, running=running
            )
            self._emit(owned, decisions)

    def handle_vm_loss(self, vm: str, now: float) -> None:
        """Apply the loss of a VM to all owned shards."""
        for shard, owned in self.owned.items():
            self._check_lease(shard, owned, now)
            owned.synced.discard(vm)
            self._emit(owned, owned.allocator.handle_vm_loss(vm, now))

    def observe_load(
        self, shard: str, server: str, running: int, as_of: float, now: float
    ) -> None:
        """Apply a load report of a backend server."""
        owned = self.owned.get(shard)
        if owned:
            self._check_lease(shard, owned, now)
            self._emit(owned, owned.allocator.observe_load(server, running, as_of, now))

    def note_missing_report(self, shard: str, server: str, now: float) -> None:
        """Record that a backend server gave no report."""
        owned = self.owned.get(shard)
        if owned:
            self._check_lease(shard, owned, now)
            self._emit(owned, owned.allocator.note_missing_report(server, now))

    def tick(self, now: float) -> None:
        """Process expired timers of all allocators."""
        for shard, owned in self.owned.items():
            self._check_lease(shard, owned, now)
            self._emit(owned, owned.allocator.tick(now))

    def next_wake(self) -> float | None:
        """Return the time of the next timer for :meth:`tick`, or None."""
        wakes = [owned.allocator.next_wake() for owned in self.owned.values()]
        return min((wake for wake in wakes if wake is not None), default=None)

    def _update(self, shard: Shard, epoch: int, now: float) -> None:
        owned = self.owned.get(shard.name)
        if owned is None:
            allocator = Allocator(shard.policy, on_change=self._on_change)
            allocator.stop_granting()
            owned = OwnedShard(epoch, allocator, now)
            self.owned[shard.name] = owned
        decisions = owned.allocator.set_members(shard.members, now)
        if shard.policy != owned.allocator.load.policy:
            decisions += owned.allocator.set_policy(shard.policy, now)
        self._emit(owned, decisions)

    def _is_counted(
        self, shard: str, owned: OwnedShard, vms: Sequence[str], now: float
    ) -> bool:
        start = self._holder.get_grant_start(shard)
        if start is None or now < start or not owned.loads_seen:
            return False
        missing = set(vms) - owned.synced - {self._vm}
        return not missing or now >= owned.since + SYNC_WAIT_S

    def _check_lease(self, shard: str, owned: OwnedShard, now: float) -> None:
        if owned.granting and not self._holder.may_grant(shard, now):
            self._stop(owned)

    def _stop(self, owned: OwnedShard) -> None:
        owned.granting = False
        owned.allocator.stop_granting()

    def _emit(self, owned: OwnedShard, decisions: list[Decision]) -> None:
        for decision in decisions:
            self._deliver(decision, owned.epoch)
