"""Ways to keep what all VMs send a cold server within its rate, compared on one clock.

The way of the product is its own code; the others, callers and servers are models. Each
way sees what one VM sees: its own requests for a cold server, and which VMs it knows.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace

from ramppin.gateway.process.limits.coldquota import ColdQuota, ColdRules

PER_S = 13.0
"""Requests a second that a cold server takes."""

BOUND = 24.5
"""Requests in one second above which it falls over: 1.5 times its rate, and 5."""

RULES = ColdRules(overage=1.5, slack=5.0)

SLACK = 5.0
"""Requests in one second beyond its rate up to which it stays well."""

SERVERS = 6
"""Cold servers, each a sample of its own."""

DEMAND_S = 2.0
"""Seconds over which a VM measures its own demand."""


@dataclass(frozen=True, slots=True)
class ColdPattern:
    """What is played.

    Attributes:
        name: for the table.
        vms: how many.
        seed: of callers and clocks.
        wanted_per_s: requests a second for each server, from all VMs.
        bunch_s: seconds between two moments at which each VM wants each server; 0 for
            none.
        skew_s: most seconds by which a VM's clock of day is off.
        unknown_share: part of the VMs that a VM does not know.
        seconds: for which servers are cold.
    """

    name: str
    vms: int = 65
    seed: int = 1
    wanted_per_s: float = 20.0
    bunch_s: float = 0.0
    skew_s: float = 0.0
    unknown_share: float = 0.0
    seconds: float = 30.0


class ColdWay(ABC):
    """One VM's way to decide whether it sends a request to a cold server.

    Args:
        vm: the VM's name.
        known: names of the VMs that it knows, itself included.
        generator: random numbers.
        skew_s: by which its clock of day is off.
    """

    name = ""

    def __init__(
        self, vm: str, known: list[str], generator: random.Random, skew_s: float
    ) -> None:
        self._vm = vm
        self._known = known
        self._random = generator
        self._skew_s = skew_s

    @abstractmethod
    def may_send(self, server: str, now: float) -> bool:
        """Return whether a request is sent; it is then."""


class NoLimit(ColdWay):
    """Sends whatever comes."""

    name = "no limit"

    def may_send(self, server: str, now: float) -> bool:
        """Return whether a request is sent; it is then."""
        return True


class TokenBuckets(ColdWay):
    """A token for each server, filled by this VM's part of the rate."""

    name = "token bucket"

    def __init__(
        self, vm: str, known: list[str], generator: random.Random, skew_s: float
    ) -> None:
        super().__init__(vm, known, generator, skew_s)
        self._tokens: dict[str, tuple[float, float]] = {}

    def may_send(self, server: str, now: float) -> bool:
        """Return whether a request is sent; it is then."""
        level, at = self._tokens.get(server, (self._random.random(), 0.0))
        level = min(1.0, level + (now - at) * PER_S / len(self._known))
        is_sent = level >= 1.0
        self._tokens[server] = (level - is_sent, now)
        return is_sent


class DrawnShare(ColdWay):
    """Draws, with the chance that keeps all VMs within the rate if all want as much."""

    name = "drawn by demand"

    def __init__(
        self, vm: str, known: list[str], generator: random.Random, skew_s: float
    ) -> None:
        super().__init__(vm, known, generator, skew_s)
        self._wanted: dict[str, deque[float]] = {}

    def may_send(self, server: str, now: float) -> bool:
        """Return whether a request is sent; it is then."""
        wanted = self._wanted.setdefault(server, deque())
        wanted.append(now)
        while wanted[0] < now - DEMAND_S:
            wanted.popleft()
        demand_per_s = len(wanted) / min(DEMAND_S, max(now, 0.5)) * len(self._known)
        return self._random.random() < PER_S / demand_per_s


class Turns(ColdWay):
    """The product's: places of short windows, by rendezvous hashing."""

    name = "turns in windows"

    def __init__(
        self, vm: str, known: list[str], generator: random.Random, skew_s: float
    ) -> None:
        super().__init__(vm, known, generator, skew_s)
        self._now = 0.0
        self._quota = ColdQuota(vm, lambda now: known, RULES, self._read_time)

    def _read_time(self) -> float:
        return 1e6 + self._now + self._skew_s

    def may_send(self, server: str, now: float) -> bool:
        """Return whether a request is sent; it is then."""
        self._now = now
        is_sent = self._quota.count_remaining(server, PER_S, now) > 0
        if is_sent:
            self._quota.note_sent(server)
        return is_sent


WAYS: tuple[type[ColdWay], ...] = (NoLimit, TokenBuckets, DrawnShare, Turns)


def list_cold_patterns(vms: int, seed: int) -> list[ColdPattern]:
    """Return the patterns of the table for a number of VMs."""
    calm = ColdPattern("wanted 20 a second", vms, seed)
    hot = replace(calm, name="wanted 85 a second", wanted_per_s=85.0)
    return [
        replace(calm, name="wanted 10 a second", wanted_per_s=10.0),
        calm,
        hot,
        replace(calm, name="all VMs at once each 2 s", wanted_per_s=0.0, bunch_s=2.0),
        replace(hot, name="85, clocks off by 0.3 s", skew_s=0.3),
        replace(hot, name="85, a tenth of VMs unknown", unknown_share=0.1),
    ]


@dataclass(slots=True)
class ColdResult:
    """What the servers of one run got.

    Attributes:
        worst: requests in the worst second of any server.
        over_slack: part of the seconds in which one got over its rate and the slack.
        over_bound: part of them in which it got over the bound.
        used: requests that were sent, over what was wanted or the rate allows.
    """

    worst: int
    over_slack: float
    over_bound: float
    used: float


def play_cold(pattern: ColdPattern, way: type[ColdWay]) -> ColdResult:
    """Play a pattern with a way; return what the servers got."""
    generator = random.Random(pattern.seed)
    vms = [f"edge-{number}" for number in range(pattern.vms)]
    deciders = [_build_decider(pattern, way, vms, vm, generator) for vm in vms]
    sent: dict[str, list[float]] = {f"engine-{n}": [] for n in range(SERVERS)}
    wanted = 0
    for now, vm, server in _draw_wishes(pattern, list(sent), generator):
        wanted += 1
        if deciders[vm].may_send(server, now):
            sent[server].append(now)
    possible = min(wanted, PER_S * pattern.seconds * SERVERS)
    counts = [count for times in sent.values() for count in _count_seconds(times)]
    return ColdResult(
        worst=max(counts, default=0),
        over_slack=_measure_over(counts, PER_S + SLACK),
        over_bound=_measure_over(counts, BOUND),
        used=sum(map(len, sent.values())) / possible,
    )


def _build_decider(
    pattern: ColdPattern,
    way: type[ColdWay],
    vms: list[str],
    vm: str,
    generator: random.Random,
) -> ColdWay:
    unknown = int(pattern.unknown_share * len(vms))
    hidden = set(generator.sample([v for v in vms if v != vm], unknown))
    known = [v for v in vms if v not in hidden]
    skew_s = generator.uniform(-pattern.skew_s, pattern.skew_s)
    return way(vm, known, random.Random(generator.random()), skew_s)


def _draw_wishes(
    pattern: ColdPattern, servers: list[str], generator: random.Random
) -> list[tuple[float, int, str]]:
    """Return when which VM wants to send to which server, in order."""
    wishes = []
    for server in servers:
        now = 0.0
        while pattern.wanted_per_s:
            now += generator.expovariate(pattern.wanted_per_s)
            if now > pattern.seconds:
                break
            wishes.append((now, generator.randrange(pattern.vms), server))
        moment = pattern.bunch_s
        while pattern.bunch_s and moment < pattern.seconds:
            for vm in range(pattern.vms):
                wishes.append((moment + generator.random() * 0.02, vm, server))
            moment += pattern.bunch_s
    return sorted(wishes)


def _count_seconds(times: list[float]) -> list[int]:
    """Return for each request how many came in the second that ends with it."""
    recent: deque[float] = deque()
    counts = []
    for now in times:
        recent.append(now)
        while recent[0] <= now - 1.0:
            recent.popleft()
        counts.append(len(recent))
    return counts


def _measure_over(counts: list[int], most: float) -> float:
    return sum(count > most for count in counts) / max(1, len(counts))


def tabulate_cold(vms: int, seeds: Iterable[int]) -> list[dict[str, object]]:
    """Play each pattern in each way with some seeds; return a row for each."""
    rows = []
    seeds = list(seeds)
    for pattern in list_cold_patterns(vms, 0):
        for way in WAYS:
            found = [play_cold(replace(pattern, seed=seed), way) for seed in seeds]
            rows.append(
                {
                    "vms": vms,
                    "pattern": pattern.name,
                    "way": way.name,
                    "worst": max(result.worst for result in found),
                    "over_18": round(sum(r.over_slack for r in found) / len(found), 4),
                    "over_bound": round(
                        sum(r.over_bound for r in found) / len(found), 4
                    ),
                    "used": round(sum(r.used for r in found) / len(found), 2),
                }
            )
    return rows
