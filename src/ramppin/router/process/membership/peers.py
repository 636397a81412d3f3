"""Handles the messages of other VMs."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import logging
from collections.abc import Callable, Coroutine

from ramppin.router.connection.links import Send
from ramppin.router.connection.messages import (
    Ask,
    AskClaim,
    AskEpochs,
    AskRecords,
    AskTrace,
    ClaimReply,
    Epochs,
    Free,
    Granted,
    Message,
    NotOwner,
    Records,
    Refused,
    Sync,
    TraceReply,
)
from ramppin.router.connection.peerserver import PeerHandler
from ramppin.router.process.claims.claims import HeldClaims
from ramppin.router.process.membership import ownership
from ramppin.router.process.membership.leases import LeaseTable
from ramppin.router.process.recovery import publishing
from ramppin.router.process.routing.shards import ShardHost
from ramppin.router.request.claimholder import wait_for_claim
from ramppin.router.request.placement import Decision, Grant, PlaceId, PlaceRequest
from ramppin.router.request.trace import TraceStore

LOG = logging.getLogger(__name__)


class PeerMessages(PeerHandler):
    """Serves other VMs: places, lease epochs, traces, claims, records.

    Args:
        host: the shards that this VM owns.
        table: the owners of the shards.
        traces: traces of the requests that this VM decided.
        held_claims: the claims that this VM holds.
        resolve: builds the allocator's request from an ``Ask`` and the settings.
        follower: the settings.
        owner: the leases.
        run: number of the run of this process.
        clock: monotonic clock.
    """

    def __init__(
        self,
        host: ShardHost,
        table: LeaseTable,
        traces: TraceStore,
        held_claims: HeldClaims,
        *,
        resolve: Callable[[str, Ask], PlaceRequest | None],
        follower: publishing.SettingsFollower,
        owner: ownership.Ownership,
        run: int,
        clock: Callable[[], float],
    ) -> None:
        self._host = host
        self._table = table
        self._traces = traces
        self._held_claims = held_claims
        self._resolve = resolve
        self._follower = follower
        self._owner = owner
        self._run = run
        self._clock = clock
        self._senders: dict[str, Send] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def handle_message(self, vm: str, message: Message, send: Send) -> None:
        """Handle a message of another VM."""
        self._senders[vm] = send
        match message:
            case Ask():
                self._handle_ask(vm, message, send)
            case Free():
                place = PlaceId(vm, message.number)
                now = self._clock()
                self._host.free(
                    message.shard,
                    place,
                    now,
                    failed=message.failed,
                    running=message.running,
                )
            case Sync():
                self._handle_sync(vm, message, send)
            case AskEpochs():
                send(Epochs(message.call, self._list_epochs()))
            case AskTrace():
                send(TraceReply(message.call, self._dump_trace(message.request_id)))
            case AskRecords():
                send(Records(message.call, self._dump_records(message.stream)))
            case AskClaim():
                self._start(self._answer_claim(message, send))
            case _:
                LOG.warning("unexpected message", extra={"step": "peer", "peer": vm})

    def handle_link_down(self, vm: str) -> None:
        """Treat a VM as lost; its next sync restores its places."""
        self._senders.pop(vm, None)
        LOG.info("link down", extra={"step": "peer", "peer": vm})
        self._host.handle_vm_loss(vm, self._clock())

    def deliver(self, decision: Decision, epoch: int) -> None:
        """Send a decision to the requesting VM; dropped if it has no link."""
        send = self._senders.get(decision.place.vm)
        if send is None:
            return
        number = decision.place.number
        if isinstance(decision, Grant):
            send(
                Granted(
                    number,
                    decision.backend_server,
                    decision.reason.value,
                    decision.load,
                    decision.cap,
                    decision.total,
                    decision.members,
                    int(decision.waited_s * 1000),
                    epoch,
                )
            )
        else:
            retry_after = int(decision.retry_after_s * 1000)
            send(Refused(number, decision.reason.value, retry_after))

    def _handle_ask(self, vm: str, ask: Ask, send: Send) -> None:
        request = self._resolve(vm, ask)
        if request and self._host.ask(ask.shard, request, self._clock()):
            return
        send(NotOwner(ask.number, self._table.get_epoch(ask.shard)))

    def _handle_sync(self, vm: str, sync: Sync, send: Send) -> None:
        now = self._clock()
        if not self._host.sync(vm, sync.shard, sync.epoch, sync.places, now):
            send(NotOwner(0, self._table.get_epoch(sync.shard)))

    def _list_epochs(self) -> dict[str, int]:
        return {shard: lease.epoch for shard, lease in self._table.leases.items()}

    def _dump_trace(self, request_id: str) -> str:
        trace = self._traces.find(request_id)
        return json.dumps(dataclasses.asdict(trace)) if trace else ""

    def _dump_records(self, stream: str) -> tuple[tuple[int, str], ...]:
        if stream == publishing.STREAM:
            snapshot = self._follower.build_snapshot()
            records = [snapshot] if snapshot else []
            return tuple((offset, r.model_dump_json()) for offset, r in records)
        if stream == ownership.STREAM:
            leases = self._owner.build_records()
            return tuple((offset, r.model_dump_json()) for offset, r in leases)
        return ()

    async def _answer_claim(self, ask: AskClaim, send: Send) -> None:
        if ask.run != self._run:
            send(ClaimReply(ask.call, "lost"))
            return
        wait_s = ask.wait_ms / 1000
        reply = await wait_for_claim(
            self._held_claims, ask.call, ask.key, ask.taker, wait_s
        )
        send(reply)

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
