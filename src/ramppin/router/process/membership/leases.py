"""Leases: which VM runs the allocator of a shard.

A shard is a pool, or a part of one. The order of the log decides its owner: a
claim names the epoch that it replaces, and the first such claim wins. The
owner renews its lease on the log, and stops granting when it can't. A lease is
not a fence, so a new owner waits until the former one must have stopped.

Synchronous state machines: the inputs are records and clock readings, the
outputs typed plans. All times are readings of the VM's own monotonic clock, in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from ramppin.ranking import rank_vms

NO_EPOCH = -1
"""The epoch of a shard that was never owned."""


class _Record(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class LeaseClaim(_Record):
    """A VM claims ownership of a shard after epoch ``replaces``."""

    kind: Literal["claim"] = "claim"
    shard: str
    vm: str
    run: int
    replaces: int


class LeaseRenewal(_Record):
    """A VM renews its leases; ``epochs`` are by shard."""

    kind: Literal["renew"] = "renew"
    vm: str
    run: int
    number: int
    epochs: dict[str, int]


class LeaseRelease(_Record):
    """A VM releases shards; any VM may claim them immediately."""

    kind: Literal["release"] = "release"
    vm: str
    run: int
    epochs: dict[str, int]


LeaseRecord = LeaseClaim | LeaseRenewal | LeaseRelease
_ADAPTER: TypeAdapter[LeaseRecord] = TypeAdapter(
    Annotated[LeaseRecord, Field(discriminator="kind")]
)


@dataclass(slots=True)
class Lease:
    """State of a shard's lease according to the log.

    Attributes:
        epoch: offset of the winning claim.
        vm: the owner.
        run: number of the run of the owner's process.
        seen_at: time at which this VM read the newest claim or renewal.
        claimed_at: time at which this VM read the claim.
        released: whether the owner released it.
        contested: whether a former owner may not have released the shard.
    """

    epoch: int
    vm: str
    run: int
    seen_at: float
    claimed_at: float = 0.0
    released: bool = False
    contested: bool = False


class LeaseTable:
    """The owners of all shards, built from the records of the log in order.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self.leases: dict[str, Lease] = {}
        self.invalid = 0

    def apply(self, offset: int, value: object, now: float) -> LeaseRecord | None:
        """Apply a record; return it, or None if it is invalid."""
        try:
            record = _ADAPTER.validate_python(value)
        except ValidationError:
            self.invalid += 1
            return None
        match record:
            case LeaseClaim():
                self._apply_claim(offset, record, now)
            case LeaseRenewal():
                self._apply_renewal(record, now)
            case LeaseRelease():
                self._apply_release(record)
        return record

    def find_owner(self, shard: str) -> Lease | None:
        """Return the lease of a shard that has an owner, or None."""
        lease = self.leases.get(shard)
        return lease if lease and not lease.released else None

    def get_epoch(self, shard: str) -> int:
        """Return the newest epoch of a shard, or ``NO_EPOCH``."""
        lease = self.leases.get(shard)
        return lease.epoch if lease else NO_EPOCH

    def _apply_claim(self, offset: int, record: LeaseClaim, now: float) -> None:
        former = self.leases.get(record.shard)
        if former and former.epoch != record.replaces:
            return
        lease = Lease(offset, record.vm, record.run, now, claimed_at=now)
        if former:
            lease.contested = not former.released
        else:
            lease.contested = record.replaces != NO_EPOCH
        self.leases[record.shard] = lease

    def _apply_renewal(self, record: LeaseRenewal, now: float) -> None:
        for shard, epoch in record.epochs.items():
            lease = self.leases.get(shard)
            if lease is None or lease.epoch < epoch:
                # The claim record was trimmed by the log's retention.
                self.leases[shard] = Lease(epoch, record.vm, record.run, now)
            elif lease.epoch == epoch and not lease.released:
                lease.seen_at = now

    def _apply_release(self, record: LeaseRelease) -> None:
        for shard, epoch in record.epochs.items():
            lease = self.leases.get(shard)
            if lease is None or lease.epoch <= epoch:
                self.leases[shard] = Lease(
                    epoch, record.vm, record.run, 0.0, released=True
                )


@dataclass(frozen=True, slots=True)
class LeasePlan:
    """Records that a VM should append to the log now.

    Attributes:
        claims: shards to claim.
        renewal: the renewal of all shards that it owns, or None.
    """

    claims: tuple[LeaseClaim, ...] = ()
    renewal: LeaseRenewal | None = None


class LeaseHolder:
    """The leases of one VM, and when it may claim, renew and grant.

    Args:
        vm: the VM's name.
        run: number of the run of its process; after a restart it is another owner.
        ttl_s: lifetime of a lease in seconds.
        table: the leases according to the log.

    .. versionadded:: 0.1
    """

    def __init__(self, vm: str, run: int, ttl_s: float, table: LeaseTable) -> None:
        self.table = table
        self._vm = vm
        self._run = run
        self._ttl_s = ttl_s
        self._number = 0
        self._sent: dict[int, float] = {}
        self._renewed_at = float("-inf")
        self._valid_until: dict[tuple[str, int], float] = {}
        self._log_up_since: float | None = None
        self._draining = False

    def apply(self, offset: int, value: object, now: float) -> None:
        """Apply a record of the log, in order."""
        record = self.table.apply(offset, value, now)
        if isinstance(record, LeaseClaim) and self._is_mine(record.vm, record.run):
            self._renewed_at = float("-inf")
        if isinstance(record, LeaseRenewal) and self._is_mine(record.vm, record.run):
            sent = self._sent.pop(record.number, None)
            if sent is not None:
                self._extend(record.epochs, sent + self._ttl_s)

    def note_log(self, now: float, *, up: bool) -> None:
        """Record whether the log is readable; time without it expires no lease."""
        if not up:
            self._log_up_since = None
        elif self._log_up_since is None:
            self._log_up_since = now

    def drain(self) -> None:
        """Stop claiming shards."""
        self._draining = True

    def list_owned(self) -> dict[str, int]:
        """Return the epochs of the shards that this VM owns, by shard."""
        return {
            shard: lease.epoch
            for shard, lease in self.table.leases.items()
            if not lease.released and self._is_mine(lease.vm, lease.run)
        }

    def may_grant(self, shard: str, now: float) -> bool:
        """Return whether this VM's allocator may grant places of a shard."""
        epoch = self.list_owned().get(shard)
        if epoch is None:
            return False
        return self._valid_until.get((shard, epoch), 0.0) > now

    def get_grant_start(self, shard: str) -> float | None:
        """Return the time by which a shard's former owner must have stopped.

        None if this VM doesn't own the shard. A former owner may have extended
        its lease through all VMs (:meth:`extend_by_peers`) until the claim was
        readable, so the wait starts at the claim.
        """
        lease = self.table.leases.get(shard)
        if lease is None or not self._is_mine(lease.vm, lease.run):
            return None
        if not lease.contested:
            return float("-inf")
        return lease.claimed_at + self._ttl_s

    def extend_by_peers(
        self, asked_at: float, views: Iterable[dict[str, int]]
    ) -> list[str]:
        """Extend leases while the log is down if every VM has the same epoch.

        Args:
            asked_at: time at which the VMs were asked.
            views: the epochs that each VM of the platform's list has; a VM
                that did not answer must be passed as an empty mapping.

        Returns:
            The shards that were extended.
        """
        seen = list(views)
        extended = {
            shard: epoch
            for shard, epoch in self.list_owned().items()
            if all(view.get(shard) == epoch for view in seen)
        }
        self._extend(extended, asked_at + self._ttl_s)
        return sorted(extended)

    def plan(self, shards: Iterable[str], vms: Sequence[str], now: float) -> LeasePlan:
        """Return the records to append now.

        Args:
            shards: all shards of the settings in force.
            vms: the live VMs, including this one.
            now: reading of the monotonic clock, in seconds.
        """
        claims = tuple(
            LeaseClaim(
                shard=shard,
                vm=self._vm,
                run=self._run,
                replaces=self.table.get_epoch(shard),
            )
            for shard in shards
            if self._should_claim(shard, vms, now)
        )
        return LeasePlan(claims, self._plan_renewal(now))

    def plan_release(self) -> LeaseRelease | None:
        """Return the record that releases all shards, or None if none is owned."""
        owned = self.list_owned()
        if not owned:
            return None
        self._valid_until.clear()
        return LeaseRelease(vm=self._vm, run=self._run, epochs=owned)

    def _plan_renewal(self, now: float) -> LeaseRenewal | None:
        owned = self.list_owned()
        if not owned or now - self._renewed_at < self._ttl_s / 3:
            return None
        self._number += 1
        self._sent = {
            number: sent
            for number, sent in self._sent.items()
            if now - sent < self._ttl_s
        }
        self._sent[self._number] = now
        self._renewed_at = now
        return LeaseRenewal(
            vm=self._vm, run=self._run, number=self._number, epochs=owned
        )

    def _should_claim(self, shard: str, vms: Sequence[str], now: float) -> bool:
        if self._draining or self._log_up_since is None or self._vm not in vms:
            return False
        lease = self.table.leases.get(shard)
        if lease and self._is_mine(lease.vm, lease.run) and not lease.released:
            return False
        turn = rank_vms(shard, vms).index(self._vm) * self._ttl_s / 4
        lease_free_at = self._log_up_since
        if lease and not lease.released:
            lease_free_at = max(lease.seen_at, self._log_up_since) + self._ttl_s
        return now >= lease_free_at + turn

    def _extend(self, epochs: dict[str, int], until: float) -> None:
        for shard, epoch in epochs.items():
            key = (shard, epoch)
            self._valid_until[key] = max(self._valid_until.get(key, 0.0), until)

    def _is_mine(self, vm: str, run: int) -> bool:
        return vm == self._vm and run == self._run
