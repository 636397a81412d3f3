"""Many VMs on one clock: their datagrams, their turns, and what comes when.

Owns the events of a run and the VMs; what servers do and callers want is in the fleets
built on it.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

import msgspec

from bench.vms.result import Tally
from ramppin.gateway.connection.datagrams import PeerHints
from ramppin.gateway.process.load.gossip import LoadGossip
from ramppin.gateway.process.membership.members import FleetMembers, MemberRecord
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.failuregossip import FailureGossip
from ramppin.gateway.process.routing.hints import MIN_PERIOD_S, HintExchange
from ramppin.gateway.process.routing.homes import PrefixHomes
from ramppin.gateway.process.routing.noticegossip import NoticeGossip

LATENCY_S = 0.001
"""One way between two VMs, or a VM and a server."""

HEADER_BYTES = 28
"""Of a datagram: IPv4 and UDP."""


Event = tuple[float, int, Callable[[], object]]
"""When something is called, its number among events at one moment, and the call."""


@dataclass(frozen=True, slots=True)
class Stall:
    """A span in which something does nothing.

    Attributes:
        start_s: its start.
        length_s: its length.
        number: of the server, or of the failure domain whose VMs freeze; None for all.
    """

    start_s: float
    length_s: float
    number: int | None = None


class Link:
    """Carries one VM's datagrams, in place of a socket."""

    def __init__(self, clock: VmClock, vm: str) -> None:
        self._clock = clock
        self._vm = vm

    def send(self, hints: PeerHints, hosts: list[str], port: int) -> None:
        """Deliver a message to VMs a moment later."""
        self._clock.deliver(self._vm, hints, hosts)

    def close(self) -> None:
        """Nothing to close."""


class ModelVm:
    """One VM: the gateway's parts that know servers and tell of them.

    Attributes:
        name: of the VM.
        host: its address.
        domain: its failure domain.
        frozen_until: the clock's time until which it does nothing.
    """

    def __init__(self, clock: VmClock, number: int, domains: int) -> None:
        self.name = f"vm-{number}"
        self.host = f"10.0.{number // 250}.{number % 250}"
        self.domain = f"d{number % domains}"
        self.directory = ServerDirectory()
        self.homes = PrefixHomes(self.directory.is_open)
        self.members = FleetMembers(self.name, self.domain)
        self.frozen_until = 0.0
        self.hints = HintExchange(
            self.name,
            Link(clock, self.name),  # type: ignore[arg-type]
            1,
            self.members,
            self.homes,
            FailureGossip(self.directory, self.domain),
            LoadGossip(self.directory),
            notices=NoticeGossip(self.directory),
        )


class VmClock:
    """VMs that tell each other what they learnt, on one clock.

    Args:
        vms: how many.
        domains: failure domains over which they are spread.
        change_hints: changes a message before it is sent, to try what is not told.

    Attributes:
        now: the clock's time in seconds.
        vms: the VMs.
        tally: what the run counts.
    """

    def __init__(
        self,
        vms: int,
        domains: int,
        change_hints: Callable[[PeerHints], PeerHints] = lambda hints: hints,
    ) -> None:
        self.now = 0.0
        self.tally = Tally()
        self.vms = [ModelVm(self, number, domains) for number in range(vms)]
        self._by_name = {vm.name: vm for vm in self.vms}
        self._by_host = {vm.host: vm for vm in self.vms}
        self._change_hints = change_hints
        self._events: list[Event] = []
        self._numbers = itertools.count()
        self._encoder = msgspec.msgpack.Encoder()

    def introduce_vms(self) -> None:
        """Let every VM know every other, as after the log was read."""
        for offset, vm in enumerate(self.vms):
            entry = msgspec.json.encode(MemberRecord(vm.host, vm.domain))
            for other in self.vms:
                other.members.apply_record(Record(vm.name, entry, offset), 0.0)

    def start_turns(self, choose: Callable[[], float]) -> None:
        """Give each VM its regular turns.

        Args:
            choose: returns a number below 1, by which a VM's turns are shifted.
        """
        for vm in self.vms:
            self.after(choose() * MIN_PERIOD_S, self._take_turn, vm)

    def plan_freezes(self, stalls: Iterable[Stall]) -> None:
        """Let VMs freeze and wake."""
        for stall in stalls:
            self.after(stall.start_s, self._freeze, stall)

    def _freeze(self, stall: Stall) -> None:
        for vm in self.vms:
            if stall.number is None or vm.domain == f"d{stall.number}":
                vm.frozen_until = self.now + stall.length_s

    def after(self, delay_s: float, call: Callable[..., object], *args: object) -> None:
        """Call something after a time."""
        event: Event = (self.now + delay_s, next(self._numbers), partial(call, *args))
        heapq.heappush(self._events, event)

    def run_until(self, end: float) -> None:
        """Call what is due until a moment."""
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end

    def call_at_vm(
        self, vm: ModelVm, call: Callable[..., object], *args: object
    ) -> None:
        """Call something at a VM: now, or in a bunch when it wakes."""
        if vm.frozen_until > self.now:
            self.after(vm.frozen_until - self.now, call, *args)
        else:
            call(*args)

    def deliver(self, sender: str, hints: PeerHints, hosts: list[str]) -> None:
        """Deliver a VM's message to others by their address, a moment later."""
        hints = self._change_hints(hints)
        size = len(self._encoder.encode(hints)) + HEADER_BYTES
        origin = self._by_name[sender]
        chosen = [self._by_host[host] for host in hosts]
        near = sum(vm.domain == origin.domain for vm in chosen)
        self.tally.near_bytes += size * near
        self.tally.far_bytes += size * (len(chosen) - near)
        self.after(LATENCY_S, self._take, chosen, hints, origin.host)

    def _take(self, vms: list[ModelVm], hints: PeerHints, host: str) -> None:
        for vm in vms:
            self.call_at_vm(vm, self._take_hints, vm, hints, host)

    def _take_hints(self, vm: ModelVm, hints: PeerHints, host: str) -> None:
        vm.hints.apply(hints, host, self.now)

    def _take_turn(self, vm: ModelVm) -> None:
        self.call_at_vm(vm, self._send_due, vm)
        self.after(MIN_PERIOD_S, self._take_turn, vm)

    def _send_due(self, vm: ModelVm) -> None:
        vm.hints.send_due(self.now)
