"""Many VMs before servers that turn requests away and ask each VM for rest.

The VMs choose with the gateway's own code, gate and hints. Two ways are compared: each
VM finds out by requests of its own, or VMs tell each other. A request that is turned
away is sent again at once, to servers that it has not tried, within the tries of one
request; the budget of retries is left out, and its use is what is counted.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from bench.vms.clock import LATENCY_S, ModelVm, VmClock
from ramppin.gateway.connection.datagrams import PeerHints
from ramppin.gateway.process.limits.coldquota import ColdQuota, ColdRules
from ramppin.gateway.process.routing.gate import ServerGate
from ramppin.gateway.process.routing.prefixselection import PrefixSelection
from ramppin.gateway.process.routing.selection import SelectionRequest
from ramppin.gateway.process.routing.serverstate import BackendServer, ServerState
from ramppin.gateway.request.retry import MAX_BACKOFF_REFUSALS

SERVICE = "model"
WORK_S = 0.3
SUBJECTS = 600
BEGIN_S, END_S, LENGTH_S = 4.0, 13.0, 15.0
"""When servers begin and cease to turn requests away, and when the run ends."""

BACKOFF_S = 3.0


@dataclass(frozen=True, slots=True)
class SheddingPattern:
    """What is played.

    Attributes:
        vms: how many.
        servers: how many.
        share: of the servers that turn requests away.
        vms_share: of the VMs that they turn away.
        per_s: requests a second for each server, from all VMs.
        seed: of everything random.
    """

    vms: int
    servers: int
    share: float
    vms_share: float = 1.0
    per_s: float = 7.0
    seed: int = 1


class SheddingFleet(VmClock):
    """All VMs and servers of one run.

    Args:
        pattern: what is played.
        tells: whether VMs tell each other of rests.

    Attributes:
        rejections: requests that servers turned away.
        refused: requests that no server took.
        passed_over: requests served elsewhere though their home would have taken them.
    """

    def __init__(self, pattern: SheddingPattern, *, tells: bool) -> None:
        change = {} if tells else {"change_hints": leave_backoffs_out}
        super().__init__(pattern.vms, 5, **change)
        self.pattern = pattern
        self._random = random.Random(pattern.seed)
        self._shedding = set(
            self._random.sample(
                range(pattern.servers), round(pattern.share * pattern.servers)
            )
        )
        turned = round(pattern.vms_share * pattern.vms)
        self._turned_away = {vm.name for vm in self._random.sample(self.vms, turned)}
        self._strategies = {
            vm.name: PrefixSelection(
                vm.homes, generator=random.Random(f"{pattern.seed} {vm.name}")
            )
            for vm in self.vms
        }
        self._gates = {vm.name: self._build_gate(vm) for vm in self.vms}
        self.rejections = 0
        self.refused = 0
        self.passed_over = 0

    def _build_gate(self, vm: ModelVm) -> ServerGate:
        quota = ColdQuota(vm.name, lambda now: [vm.name], ColdRules())
        return ServerGate(vm.directory, quota, lambda service: 0.0)

    def run(self) -> None:
        """Run to the end."""
        self.introduce_vms()
        self.start_turns(self._random.random)
        for number in range(self.pattern.servers):
            entry = BackendServer(f"s-{number}", SERVICE, "127.0.0.1", 1)
            for vm in self.vms:
                vm.directory.put(entry)
        at, per_s = 0.0, self.pattern.per_s * self.pattern.servers
        while at < LENGTH_S:
            at += self._random.expovariate(per_s)
            self.run_until(at)
            vm = self._random.choice(self.vms)
            self._place(vm, self._random.randrange(SUBJECTS), frozenset())

    def _place(self, vm: ModelVm, key: int, tried: frozenset[str]) -> None:
        survey = self._gates[vm.name].survey(SERVICE, self.now)
        request = SelectionRequest(key, frozenset(survey.closed) | tried)
        selection = self._strategies[vm.name].choose(request, survey.states, self.now)
        if selection is None or len(tried) >= MAX_BACKOFF_REFUSALS:
            self.refused += 1
            return
        state = selection.state
        if self._turns_away(vm, state.id):
            self.rejections += 1
            self.after(2 * LATENCY_S, self._apply_backoff, vm, state.id)
            self.after(2 * LATENCY_S, self._place, vm, key, tried | {state.id})
            return
        home = vm.homes.find(key)
        if home != state.id and not self._turns_away(vm, home or ""):
            self.passed_over += 1
        state.in_flight += 1
        self.after(self._random.expovariate(1 / WORK_S), self._end, state)

    def _end(self, state: ServerState) -> None:
        state.in_flight -= 1

    def _apply_backoff(self, vm: ModelVm, server_id: str) -> None:
        vm.directory.notices.note_backoff(server_id, BACKOFF_S, self.now)
        # The product's loop wakes for news; here the VM's turn comes at once.
        vm.hints.send_due(self.now)

    def _turns_away(self, vm: ModelVm, server_id: str) -> bool:
        if not BEGIN_S <= self.now < END_S or vm.name not in self._turned_away:
            return False
        return server_id.startswith("s-") and int(server_id[2:]) in self._shedding


def leave_backoffs_out(hints: PeerHints) -> PeerHints:
    """Return a message without the rests that it tells."""
    return msgspec.structs.replace(hints, backoffs=[]) if hints.backoffs else hints


def tabulate_shedding(vms: int, seeds: Iterable[int]) -> list[dict[str, object]]:
    """Play each share in both ways; return a row for each."""
    servers = {8: 9, 65: 56, 195: 160, 360: 300}.get(vms, vms)
    rows: list[dict[str, object]] = []
    seeds = list(seeds)
    for share, vms_share in ((0.2, 1.0), (0.5, 1.0), (1.0, 1.0), (0.3, 0.3)):
        for tells in (False, True):
            fleets = [
                SheddingFleet(
                    SheddingPattern(vms, servers, share, vms_share, seed=seed),
                    tells=tells,
                )
                for seed in seeds
            ]
            for fleet in fleets:
                fleet.run()
            count = len(fleets)
            sent = sum(f.tally.near_bytes + f.tally.far_bytes for f in fleets)
            rows.append(
                {
                    "vms": vms,
                    "servers": servers,
                    "share": share,
                    "vms_share": vms_share,
                    "told": tells,
                    "rejections": sum(f.rejections for f in fleets) // count,
                    "refused": sum(f.refused for f in fleets) // count,
                    "passed_over": sum(f.passed_over for f in fleets) // count,
                    "vm_bytes_s": round(sent / count / vms / LENGTH_S),
                }
            )
    return rows
