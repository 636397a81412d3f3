"""Requests places from the owners of shards and tracks those of this VM."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable
from dataclasses import dataclass

from ramppin.errors import PeerUnavailableError
from ramppin.router.connection.links import PeerLink, PeerLinks
from ramppin.router.connection.messages import (
    Ask,
    Free,
    Granted,
    HeldPlaceInfo,
    Message,
    NotOwner,
    Refused,
    Sync,
)
from ramppin.router.process.membership.leases import LeaseTable
from ramppin.router.process.routing.shards import ShardHost
from ramppin.router.request.placement import (
    Decision,
    Grant,
    PlaceId,
    PlaceRequest,
    Reason,
    Refusal,
)

LOG = logging.getLogger(__name__)

OWNER_RETRY_S = 0.05
"""Longest wait for a change of owner before a place is requested again."""

NO_OWNER_RETRY_AFTER_S = 2.0
"""Retry time in a refusal when no place was granted before the deadline."""


PAUSE_S = 0.5
"""Gap between two pause checks from which the process counts as paused.

Shorter than any time after which another VM reassigns this one's places.
"""


@dataclass(frozen=True, slots=True)
class Wanted:
    """What a request requires of a place.

    Attributes:
        shard: the shard.
        chat: the chat's key; 0 for none.
        service: the requested service.
        route: index of the route, or -1.
        customer: the customer that sent the request.
        returning: whether the chat has been served before.
        exclude: backend servers on which the request has failed.
    """

    shard: str
    chat: int
    service: str
    route: int
    customer: str
    returning: bool = False
    exclude: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Place:
    """A place that this VM holds.

    Attributes:
        number: its number at this VM.
        shard: its shard.
        owner: the VM that granted it.
        grant: the grant.
        pauses: number of detected pauses of the process at the grant.
    """

    number: int
    shard: str
    owner: str
    grant: Grant
    pauses: int


@dataclass(slots=True)
class _Pending:
    shard: str
    owner: str
    epoch: int
    future: asyncio.Future[Decision | None]


class Placer:
    """Gets places for requests from the VM that owns the shard.

    Args:
        vm: this VM.
        table: the owners of the shards.
        host: the shards that this VM owns.
        links: links to other VMs.
        resolve: builds the allocator's request from an ``Ask`` and the settings.
        clock: monotonic clock.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        vm: str,
        table: LeaseTable,
        host: ShardHost,
        links: PeerLinks,
        *,
        resolve: Callable[[str, Ask], PlaceRequest | None],
        clock: Callable[[], float],
    ) -> None:
        self._vm = vm
        self._table = table
        self._host = host
        self._links = links
        self._resolve = resolve
        self._clock = clock
        self._numbers = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._held: dict[int, Place] = {}
        self._customers: dict[int, str] = {}
        self._synced: set[tuple[str, str, int]] = set()
        self._changed = asyncio.Event()
        self._checked_at = clock()
        self._pauses = 0

    @property
    def held(self) -> dict[int, Place]:
        """The places that this VM holds, by number."""
        return self._held

    async def place(self, wanted: Wanted, deadline: float) -> Place | Refusal:
        """Return a place, or the final refusal.

        Args:
            wanted: what the request requires.
            deadline: reading of the monotonic clock at which the wait ends.
        """
        while True:
            number = next(self._numbers)
            pending = await self._ask(number, wanted, deadline)
            if pending is not None:
                decision = await self._await_decision(number, pending, deadline)
                if isinstance(decision, Grant):
                    place = Place(
                        number, wanted.shard, pending.owner, decision, self._pauses
                    )
                    self._held[number] = place
                    self._customers[number] = wanted.customer
                    return place
                if isinstance(decision, Refusal):
                    return decision
            if self._clock() >= deadline:
                return Refusal(
                    PlaceId(self._vm, number),
                    Reason.WAIT_ENDED,
                    NO_OWNER_RETRY_AFTER_S,
                )
            await self._wait_for_change(deadline)

    def free(
        self, place: Place, *, failed: bool = False, running: bool = False
    ) -> None:
        """Free a place.

        Args:
            place: the place.
            failed: whether the backend server failed to answer.
            running: whether the request may still run there.
        """
        if self._held.pop(place.number, None) is None:
            return
        self._customers.pop(place.number, None)
        self._send_free(place.shard, place.number, failed=failed, running=running)

    def detect_pause(self) -> None:
        """Detect a pause of the process by the time since the last call.

        During a pause the places of this VM may have been reassigned. Pending
        requests for places are sent again.
        """
        now = self._clock()
        if now - self._checked_at > PAUSE_S:
            LOG.warning("process was paused for %.1f s", now - self._checked_at)
            self._pauses += 1
            for number, pending in self._pending.items():
                _resolve(pending, None)
                self._send_free(pending.shard, number)
        self._checked_at = now

    def is_valid(self, place: Place) -> bool:
        """Return whether a request may still be sent under a place."""
        self.detect_pause()
        return place.pauses == self._pauses and place.number in self._held

    def handle_owner_change(self) -> None:
        """Resolve requests pending at former owners after a change of leases."""
        for pending in self._pending.values():
            lease = self._table.find_owner(pending.shard)
            if lease is None or lease.epoch != pending.epoch:
                _resolve(pending, None)
        self._changed.set()
        self._changed = asyncio.Event()

    async def sync_owners(self) -> None:
        """Send the places that this VM holds to each owner not yet synced."""
        for shard, lease in list(self._table.leases.items()):
            if lease.released or (lease.vm, shard, lease.epoch) in self._synced:
                continue
            if lease.vm == self._vm:
                self._sync_own(shard, lease.epoch)
                continue
            try:
                link = await self._links.open(lease.vm)
            except PeerUnavailableError:
                continue
            self._sync(link, shard, lease.epoch)

    def receive(self, vm: str, message: Message) -> None:
        """Handle an owner's answer that arrived over a link."""
        match message:
            case Granted():
                self._receive_grant(vm, message)
            case Refused():
                refusal = Refusal(
                    PlaceId(self._vm, message.number),
                    Reason(message.reason),
                    message.retry_after_ms / 1000,
                )
                self.decide(refusal, None)
            case NotOwner():
                self._synced = {entry for entry in self._synced if entry[0] != vm}
                pending = self._pending.get(message.number)
                if pending and pending.owner == vm:
                    _resolve(pending, None)

    def decide(self, decision: Decision, epoch: int | None) -> None:
        """Apply a decision about a request of this VM."""
        self.detect_pause()
        pending = self._pending.get(decision.place.number)
        if pending and (epoch is None or pending.epoch == epoch):
            _resolve(pending, decision)

    def handle_link_down(self, vm: str) -> None:
        """Resolve requests pending at a VM after its link ended."""
        self._synced = {entry for entry in self._synced if entry[0] != vm}
        for pending in self._pending.values():
            if pending.owner == vm:
                _resolve(pending, None)

    async def _ask(
        self, number: int, wanted: Wanted, deadline: float
    ) -> _Pending | None:
        lease = self._table.find_owner(wanted.shard)
        if lease is None:
            return None
        ask = self._build_ask(number, wanted, deadline)
        pending = _Pending(
            wanted.shard,
            lease.vm,
            lease.epoch,
            asyncio.get_running_loop().create_future(),
        )
        self._pending[number] = pending
        if lease.vm == self._vm:
            if self._ask_own(ask, lease.epoch):
                return pending
        elif await self._ask_peer(ask, lease.vm, lease.epoch):
            return pending
        self._pending.pop(number, None)
        return None

    def _ask_own(self, ask: Ask, epoch: int) -> bool:
        request = self._resolve(self._vm, ask)
        self._sync_own(ask.shard, epoch)
        return request is not None and self._host.ask(ask.shard, request, self._clock())

    async def _ask_peer(self, ask: Ask, owner: str, epoch: int) -> bool:
        try:
            link = await self._links.open(owner)
        except PeerUnavailableError:
            return False
        self._sync(link, ask.shard, epoch)
        link.send(ask)
        return True

    async def _await_decision(
        self, number: int, pending: _Pending, deadline: float
    ) -> Decision | None:
        try:
            left = max(0.0, deadline - self._clock())
            return await asyncio.wait_for(asyncio.shield(pending.future), left)
        except TimeoutError:
            self._send_free(pending.shard, number)
            return None
        except asyncio.CancelledError:
            self._send_free(pending.shard, number)
            raise
        finally:
            self._pending.pop(number, None)

    async def _wait_for_change(self, deadline: float) -> None:
        left = max(0.0, min(OWNER_RETRY_S, deadline - self._clock()))
        try:
            await asyncio.wait_for(self._changed.wait(), left)
        except TimeoutError:
            return

    def _build_ask(self, number: int, wanted: Wanted, deadline: float) -> Ask:
        return Ask(
            shard=wanted.shard,
            number=number,
            chat=wanted.chat,
            service=wanted.service,
            route=wanted.route,
            customer=wanted.customer,
            returning=wanted.returning,
            left_ms=max(0, int((deadline - self._clock()) * 1000)),
            exclude=wanted.exclude,
        )

    def _sync(self, link: PeerLink, shard: str, epoch: int) -> None:
        if (link.vm, shard, epoch) in self._synced:
            return
        self._synced.add((link.vm, shard, epoch))
        link.send(Sync(shard, epoch, self._list_held(shard)))

    def _sync_own(self, shard: str, epoch: int) -> None:
        if shard in self._host.owned and (self._vm, shard, epoch) not in self._synced:
            self._synced.add((self._vm, shard, epoch))
            held = self._list_held(shard)
            self._host.sync(self._vm, shard, epoch, held, self._clock())

    def _list_held(self, shard: str) -> tuple[HeldPlaceInfo, ...]:
        return tuple(
            HeldPlaceInfo(
                place.number, place.grant.backend_server, self._customers[place.number]
            )
            for place in self._held.values()
            if place.shard == shard
        )

    def _send_free(
        self, shard: str, number: int, *, failed: bool = False, running: bool = False
    ) -> None:
        lease = self._table.find_owner(shard)
        if lease is None:
            return
        if lease.vm == self._vm:
            place = PlaceId(self._vm, number)
            self._host.free(shard, place, self._clock(), failed=failed, running=running)
            return
        link = self._links.find(lease.vm)
        if link:
            link.send(Free(shard, number, failed, running))

    def _receive_grant(self, vm: str, message: Granted) -> None:
        grant = Grant(
            place=PlaceId(self._vm, message.number),
            backend_server=message.backend_server,
            reason=Reason(message.reason),
            load=message.load,
            cap=message.cap,
            total=message.total,
            members=message.members,
            waited_s=message.waited_ms / 1000,
        )
        self.decide(grant, message.epoch)


def _resolve(pending: _Pending, decision: Decision | None) -> None:
    if not pending.future.done():
        pending.future.set_result(decision)
