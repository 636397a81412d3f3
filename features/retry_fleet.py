"""A model of many VMs that share a retry budget, with the product's own decisions.

Each VM has the product's budget and list of VMs. What fails is drawn: VMs are killed
and started again, lose datagrams or the store, are added, and get more or less traffic.
The check is the platform's: in no window more arrivals past the first than a ratio of
the requests, and a fixed number. No network.

    python -m features.retry_fleet --forms kills,views --seeds 1-1000
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
import sys
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from ramppin.gateway.process.limits.retrybudget import RetryBudget, RetryRules
from ramppin.gateway.process.limits.retryshare import RetryShare
from ramppin.gateway.process.membership.members import FleetMembers, MemberRecord
from ramppin.gateway.process.recovery.replica import Record
from ramppin_platform.settings import RETRY_RATIO_SHARE

WINDOW_S = 10.0
RATIO = 0.2
SERVICE = "model-pool"
STEP_S = 0.05
SWEEP_S = 0.25
HEARTBEAT_S = 2.5
MAX_RETRIES = 3
DOMAINS = 4
TABLE_LAG_S = 0.5
"""Seconds after which an entry is read by a VM that reaches the store."""


@dataclass(frozen=True)
class Fleet:
    """Size and traffic of a fleet, and its extra retries."""

    vms: int
    requests_per_s: float
    failing: float
    extra: int


FLEETS = (
    Fleet(8, 40.0, 0.6, 56),
    Fleet(8, 8.0, 0.9, 56),
    Fleet(30, 120.0, 0.6, 214),
    Fleet(87, 350.0, 0.6, 214),
    Fleet(87, 120.0, 0.6, 214),
    Fleet(87, 30.0, 0.9, 214),
)


@dataclass
class Vm:
    """A VM and the process that runs on it; ``life`` counts its starts."""

    name: str
    share: float
    fleet: ModelFleet
    life: int = 0
    alive: bool = False
    started: float = 0.0
    cut_until: float = 0.0
    cut_group: int = 0
    store_down_until: float = 0.0
    read_up_to: int = 0
    announced: bool = False

    def start(self, now: float) -> None:
        self.life += 1
        self.alive = True
        self.started = now
        self.read_up_to = 0
        self.announced = False
        rules = RetryRules(
            ratio=RATIO * RETRY_RATIO_SHARE,
            window_s=WINDOW_S,
            fleet_extra=self.fleet.spec.extra,
        )
        self.budget = RetryBudget(rules)
        self.members = FleetMembers(self.name, self.domain)
        self.sharing = RetryShare(self.members, now)
        self.confirmed_at = float("-inf")

    @property
    def domain(self) -> str:
        return f"d{int(self.name[3:]) % DOMAINS}"

    @property
    def host(self) -> str:
        number = int(self.name[3:])
        return f"10.0.{number // 250}.{number % 250 + 1}"

    def read_table(self, now: float) -> None:
        """Announce this VM and read new entries, if the store serves it."""
        if now < self.store_down_until or now - self.started < TABLE_LAG_S:
            return
        log = self.fleet.log
        if not self.announced:
            self.announced = True
            log.append((now, self.name))
        self.confirmed_at = now - TABLE_LAG_S
        while self.read_up_to < len(log):
            at, name = log[self.read_up_to]
            if at > now - TABLE_LAG_S and name != self.name:
                break
            self.read_up_to += 1
            vm = self.fleet.vms[name]
            value = msgspec.json.encode(MemberRecord(vm.host, vm.domain))
            self.members.apply_record(Record(name, value, self.read_up_to), now)

    def sweep(self, now: float) -> None:
        """Do what the product does at each sweep."""
        self.read_table(now)
        sharing_vms = self.sharing.count_sharing_vms(self.confirmed_at, WINDOW_S, now)
        self.budget.set_sharing_vms(sharing_vms)

    def hears(self, other: Vm, now: float) -> bool:
        cut = now < max(self.cut_until, other.cut_until)
        return not cut or self.cut_group == other.cut_group


@dataclass
class ModelFleet:
    """A fleet, its traffic, and what a schedule does to it."""

    spec: Fleet
    generator: random.Random
    vms: dict[str, Vm] = field(default_factory=dict)
    log: list[tuple[float, str]] = field(default_factory=list)
    requests: list[float] = field(default_factory=list)
    retries: list[float] = field(default_factory=list)
    events: list[tuple[float, int, Callable[[float], None]]] = field(
        default_factory=list
    )
    loss: float = 0.0
    traffic: float = 1.0
    favoured: str = ""
    _numbers: Iterable[int] = field(default_factory=itertools.count)

    def add_vms(self, count: int, now: float) -> None:
        for _ in range(count):
            name = f"vm-{len(self.vms)}"
            vm = Vm(name, self.generator.uniform(0.4, 1.6), self)
            self.vms[name] = vm
            vm.start(now)

    def at(self, when: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (when, next(iter(self._numbers)), act))

    def draw_vms(self, share: float) -> list[Vm]:
        return [vm for vm in self.vms.values() if self.generator.random() < share]

    # What befalls the fleet.

    def kill(self, share: float, down_s: float, now: float) -> None:
        for vm in self.draw_vms(share):
            vm.alive = False
            self.at(now + down_s, vm.start)

    def cut(self, groups: int, for_s: float, now: float) -> None:
        for vm in self.vms.values():
            vm.cut_until = now + for_s
            vm.cut_group = self.generator.randrange(groups)

    def close_store(self, share: float, for_s: float, now: float) -> None:
        for vm in self.draw_vms(share):
            vm.store_down_until = now + for_s

    # The run.

    def run(self, length_s: float, warm_s: float) -> float:
        """Play, and return the greatest number of retries over the allowance."""
        now, sweep_at, beat_at = 0.0, 0.0, 0.0
        while now < length_s:
            while self.events and self.events[0][0] <= now:
                heapq.heappop(self.events)[2](now)
            if now >= sweep_at:
                sweep_at = now + SWEEP_S
                for vm in self._list_alive():
                    vm.sweep(now)
            if now >= beat_at:
                beat_at = now + HEARTBEAT_S
                self._send_heartbeats(now)
            if now >= warm_s:
                self._send_requests(now)
            now += STEP_S
        return self.measure_excess()

    def _list_alive(self) -> list[Vm]:
        return [vm for vm in self.vms.values() if vm.alive]

    def _send_heartbeats(self, now: float) -> None:
        hosts = {vm.host: vm for vm in self.vms.values()}
        for sender in self._list_alive():
            for near in (True, False):
                for host in sender.members.list_hosts(now, near=near):
                    vm = hosts[host]
                    is_lost = self.generator.random() < self.loss
                    if vm.alive and not is_lost and vm.hears(sender, now):
                        vm.members.note_received(sender.name, sender.host, now)

    def _send_requests(self, now: float) -> None:
        alive = self._list_alive()
        rate = self.spec.requests_per_s * self.traffic * STEP_S
        count = int(rate) + (self.generator.random() < rate % 1)
        if not alive:
            # Clients find nobody; the platform counts what they sent all the same.
            return
        weights = [
            9.0 * len(alive) if vm.name == self.favoured else vm.share for vm in alive
        ]
        for vm in self.generator.choices(alive, weights, k=count):
            self.requests.append(now)
            vm.budget.note_request(SERVICE, now)
            self._fail(vm, vm.life, 0, now)

    def _fail(self, vm: Vm, life: int, tries: int, now: float) -> None:
        """Let an attempt fail, or not, and want another one."""
        if tries == MAX_RETRIES or self.generator.random() >= self.spec.failing:
            return

        def retry(at: float) -> None:
            if vm.alive and vm.life == life and vm.budget.consume(SERVICE, at):
                self.retries.append(at)
                self._fail(vm, life, tries + 1, at)

        self.at(now + self.generator.uniform(0.01, 0.4), retry)

    # The check.

    def measure_excess(self) -> float:
        """Return by how many the worst window has too many retries."""
        worst = float("-inf")
        for index, end in enumerate(self.retries):
            start = end - WINDOW_S
            made = index + 1 - bisect_left(self.retries, start)
            requests = max(
                self._count(start, end),
                self._count(start - WINDOW_S, start),
                self._count(start - WINDOW_S / 2, end - WINDOW_S / 2),
            )
            worst = max(worst, made - RATIO * requests - self.spec.extra)
        return worst

    def measure_use(self, start: float) -> float:
        """Return the share of the allowance used since a time, in steady traffic."""
        end = self.retries[-1] if self.retries else start
        windows = (end - start) / WINDOW_S
        allowed = RATIO * self._count(start, end) + self.spec.extra * windows
        return (len(self.retries) - bisect_left(self.retries, start)) / allowed

    def _count(self, start: float, end: float) -> int:
        return bisect_right(self.requests, end) - bisect_left(self.requests, start)


# Forms: each draws what befalls a fleet between two times.


def plan_steady(fleet: ModelFleet, begin: float, end: float) -> None:
    """Nothing."""


def plan_kills(fleet: ModelFleet, begin: float, end: float) -> None:
    """Many VMs are killed, one time after another."""
    draw = fleet.generator
    share, gap_s = draw.uniform(0.3, 0.8), draw.uniform(0.7, 3.0)
    at = begin
    while at < end:
        fleet.at(at, lambda now: fleet.kill(share, draw.uniform(0.1, 1.0), now))
        at += gap_s


def plan_kill_all(fleet: ModelFleet, begin: float, end: float) -> None:
    """All VMs are killed, up to three times."""
    draw = fleet.generator
    for _ in range(draw.randint(1, 3)):
        at, down_s = draw.uniform(begin, end), draw.uniform(0.1, 3.0)
        fleet.at(at, lambda now, down_s=down_s: fleet.kill(1.0, down_s, now))


def plan_views(fleet: ModelFleet, begin: float, end: float) -> None:
    """The VMs are cut into groups that don't see each other."""
    draw = fleet.generator
    groups, for_s = draw.randint(2, 4), draw.uniform(4.0, 20.0)
    fleet.at(draw.uniform(begin, end), lambda now: fleet.cut(groups, for_s, now))


def plan_losses(fleet: ModelFleet, begin: float, end: float) -> None:
    """Most datagrams are lost."""
    share = fleet.generator.uniform(0.3, 0.98)

    def lose(now: float) -> None:
        fleet.loss = share

    fleet.at(begin, lose)


def plan_store(fleet: ModelFleet, begin: float, end: float) -> None:
    """The store turns VMs away, for a while or to the end."""
    draw = fleet.generator
    share, for_s = draw.uniform(0.3, 1.0), draw.uniform(2.0, 30.0)
    at = draw.uniform(begin, end)
    fleet.at(at, lambda now: fleet.close_store(share, for_s, now))


def plan_additions(fleet: ModelFleet, begin: float, end: float) -> None:
    """Up to as many VMs again are added, while the store serves some of them or not."""
    draw = fleet.generator
    count = int(len(fleet.vms) * draw.uniform(0.2, 1.0))
    fleet.at(draw.uniform(begin, end), lambda now: fleet.add_vms(count, now))


def plan_moves(fleet: ModelFleet, begin: float, end: float) -> None:
    """Traffic comes in bursts, and most of it to one VM, then to another."""
    draw = fleet.generator
    at = begin
    while at < end:
        favoured = f"vm-{draw.randrange(len(fleet.vms))}" if draw.random() < 0.7 else ""
        traffic = draw.choice((0.05, 0.3, 1.0, 3.0))

        def move(
            now: float, favoured: str = favoured, traffic: float = traffic
        ) -> None:
            fleet.favoured, fleet.traffic = favoured, traffic

        fleet.at(at, move)
        at += draw.uniform(1.0, 10.0)


Plan = Callable[[ModelFleet, float, float], None]
SINGLE: dict[str, Plan] = {
    "steady": plan_steady,
    "kills": plan_kills,
    "kill_all": plan_kill_all,
    "views": plan_views,
    "losses": plan_losses,
    "store": plan_store,
    "additions": plan_additions,
    "moves": plan_moves,
}


def plan_mixed(fleet: ModelFleet, begin: float, end: float) -> None:
    """Two to five of the others at once."""
    plans = fleet.generator.sample(list(SINGLE.values()), fleet.generator.randint(2, 5))
    for plan in plans:
        plan(fleet, begin, end)


FORMS: dict[str, Plan] = SINGLE | {"mixed": plan_mixed}

WARM_S = 16.0
"""Seconds from the start of the VMs to the first request."""

BEGIN_S = 22.0
END_S = 34.0
LENGTH_S = 44.0


def play(form: str, seed: int) -> ModelFleet:
    """Play a schedule that a form and a seed give."""
    generator = random.Random(f"{form} {seed}")
    spec = FLEETS[seed % len(FLEETS)]
    fleet = ModelFleet(spec, generator)
    fleet.add_vms(spec.vms, 0.0)
    FORMS[form](fleet, BEGIN_S, END_S)
    fleet.run(LENGTH_S, WARM_S)
    return fleet


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--forms", default=",".join(FORMS))
    parser.add_argument("--seeds", default="1-60")
    chosen = parser.parse_args()
    first, _, last = chosen.seeds.partition("-")
    broken = 0
    for form in chosen.forms.split(","):
        results = []
        for seed in range(int(first), int(last or first) + 1):
            excess = play(form, seed).measure_excess()
            results.append((excess, seed))
        over = [seed for excess, seed in results if excess > 0]
        broken += len(over)
        worst, seed = max(results)
        print(
            f"{form}: {len(results)} schedules, {len(over)} broken, "
            f"worst {worst:.1f} (seed {seed}), first {over[:5]}",
            flush=True,
        )
    print(f"{broken} broken")
    return broken > 0


if __name__ == "__main__":
    sys.exit(main())
