"""Claims and renews this VM's leases, and extends them during log outages."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from pydantic import BaseModel

from ramppin.errors import LogUnavailableError, PeerUnavailableError
from ramppin.router.connection.links import PeerLinks
from ramppin.router.connection.log import LogClient
from ramppin.router.connection.messages import AskEpochs, Epochs
from ramppin.router.process.membership.leases import (
    LeaseHolder,
    LeaseRenewal,
    LeaseTable,
)
from ramppin.router.process.membership.membership import Membership
from ramppin.router.process.recovery.tails import Tail, TailEvents
from ramppin.router.process.routing.shards import Shard, ShardHost

LOG = logging.getLogger(__name__)

STREAM = "leases"
STEPS_PER_TTL = 6
"""Number of checks for claims and renewals in the lifetime of a lease."""


class Ownership:
    """The leases of this VM, and the allocators that may grant under them.

    Args:
        vm: this VM.
        run: number of the run of its process.
        ttl_s: lifetime of a lease in seconds.
        client: client of the log.
        membership: the listed VMs.
        host: the allocators.
        table: the leases according to the log.
        holder: this VM's leases.
        clock: monotonic clock.
        wait_s: maximum wait of one read of the log.
        poll_min_s: minimum time between two reads.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        vm: str,
        run: int,
        ttl_s: float,
        client: LogClient,
        membership: Membership,
        host: ShardHost,
        table: LeaseTable,
        holder: LeaseHolder,
        *,
        clock: Callable[[], float],
        wait_s: float,
        poll_min_s: float,
    ) -> None:
        self.table = table
        self.holder = holder
        self.host = host
        self.links: PeerLinks | None = None
        self.on_owners: Callable[[], None] = lambda: None
        self.appends = 0
        self._vm = vm
        self._run = run
        self._ttl_s = ttl_s
        self._client = client
        self._membership = membership
        self._clock = clock
        self._shards: list[Shard] = []
        self._tasks: set[asyncio.Task[None]] = set()
        events = TailEvents(
            on_record=self._apply, on_state=self._note_log, on_batch=self._refresh
        )
        self.tail = Tail(client, STREAM, events, wait_s=wait_s, poll_min_s=poll_min_s)

    def set_shards(self, shards: list[Shard]) -> None:
        """Apply the definitions of the shards."""
        self._shards = shards
        self._refresh()

    def apply_handed_on(self, offset: int, value: object) -> None:
        """Apply a record that was fetched from another VM."""
        self.table.apply(offset, value, self._clock())
        self._refresh()

    def build_records(self) -> list[tuple[int, LeaseRenewal]]:
        """Return the leases as records that other VMs can apply."""
        return [
            (
                lease.epoch,
                LeaseRenewal(
                    vm=lease.vm, run=lease.run, number=0, epochs={shard: lease.epoch}
                ),
            )
            for shard, lease in self.table.leases.items()
            if not lease.released
        ]

    async def run(self) -> None:
        """Claim and renew until cancelled."""
        while True:
            now = self._clock()
            shards = [shard.name for shard in self._shards]
            plan = self.holder.plan(shards, self._membership.live_routers, now)
            for claim in plan.claims:
                self._start_append(claim)
            if plan.renewal:
                self._start_append(plan.renewal)
            if not self.tail.up and self.holder.list_owned():
                await self._extend_by_peers()
            self._gate()
            await asyncio.sleep(self._ttl_s / STEPS_PER_TTL)

    async def release(self) -> None:
        """Release all shards, so that other VMs can claim them immediately."""
        self.holder.drain()
        record = self.holder.plan_release()
        self._gate()
        if record:
            await self._append(record)

    def _apply(self, offset: int, value: object) -> None:
        self.holder.apply(offset, value, self._clock())

    def _note_log(self, up: bool) -> None:
        self.holder.note_log(self._clock(), up=up)

    def _refresh(self) -> None:
        vms = self._membership.live_routers
        for shard in self.host.refresh(self._shards, vms, self._clock()):
            LOG.warning(
                "shard no longer owned", extra={"step": "lease", "shard": shard}
            )
        self.on_owners()

    def _gate(self) -> None:
        self.host.gate(self._membership.live_routers, self._clock())

    def _start_append(self, record: BaseModel) -> None:
        task = asyncio.create_task(self._append(record))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _append(self, record: BaseModel) -> None:
        self.appends += 1
        try:
            await self._client.append(STREAM, record)
        except LogUnavailableError as error:
            LOG.info("lease record not appended: %s", error, extra={"step": "lease"})

    async def _extend_by_peers(self) -> None:
        asked_at = self._clock()
        others = self._membership.other_routers
        views = await asyncio.gather(*(self._ask_epochs(vm) for vm in others))
        self.holder.extend_by_peers(asked_at, views)

    async def _ask_epochs(self, vm: str) -> dict[str, int]:
        if self.links is None:
            return {}
        timeout = self._ttl_s / 4
        try:
            async with asyncio.timeout(timeout):
                link = await self.links.open(vm)
                reply = await link.call(AskEpochs(self.links.next_call()), timeout)
        except (PeerUnavailableError, TimeoutError):
            return {}
        return reply.epochs if isinstance(reply, Epochs) else {}
