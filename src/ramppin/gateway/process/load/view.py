"""Loads of a service's backend servers at one moment, and the bound on them.

Uses the load estimate of each server (:mod:`~.estimate`); holds no state. No I/O.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ramppin.gateway.process.routing.serverstate import ServerState

BOUND_RATIO = 1.5
"""Multiple of the mean load of a service's servers that one of them may hold. Prompts
of a home at the bound are sent to other servers, which must copy or process the prefix;
a server above the bound slows down all its requests. A lower bound overloads fewer
servers and moves more memory."""

BOUND_SLACK = 1.5
"""Requests that a server may hold in addition; see :data:`BOUND_RATIO`."""

MIN_REPORTS = 3
"""Minimum number of servers with a load report from which the mean is estimated. A
single one may be the busiest."""

REPORT_EXCESS = 1.0
"""Requests by which a report exceeds the load at other moments: it includes the request
that was answered."""

BISECTION_STEPS = 20
"""Bisection steps of :func:`estimate_weighted_mean`: to a millionth of the interval."""


@dataclass(slots=True)
class LoadView:
    """Loads of a service's open servers at one moment, in requests.

    Attributes:
        loads: estimated load of each server, by id.
        mean: mean load of all servers.
        bound: load that a server must stay below to get more requests.
        slowness: how long work takes at each server, as a multiple of the usual time;
            empty if no server of the service reports its speed.
        mean_slowness: mean of these.
    """

    loads: dict[str, float] = field(default_factory=dict)
    mean: float = 0.0
    bound: float = math.inf
    slowness: dict[str, float] = field(default_factory=dict)
    mean_slowness: float = 1.0

    def weigh(self, server_id: str) -> float:
        """Return a server's load as it counts when servers are compared.

        Its requests take the time of more requests at a server of mean speed, or of
        fewer.
        """
        load = self.loads[server_id]
        if not self.slowness:
            return load
        return load * self.slowness[server_id] / self.mean_slowness

    def has_room(self, server_id: str) -> bool:
        """Return whether a server is below the bound, also by its speed.

        A fast server holds no more requests than the bound allows any server.
        """
        if self.loads[server_id] >= self.bound:
            return False
        return not self.slowness or self.weigh(server_id) < self.bound

    def list_below(self, server_ids: Iterable[str]) -> list[str]:
        """Return the servers below the bound, in their order.

        If none has room by its speed, the number of requests alone decides: a slow
        server below the bound precedes one at the bound.
        """
        ids = list(server_ids)
        loads, bound = self.loads, self.bound
        below = [server_id for server_id in ids if loads[server_id] < bound]
        if not self.slowness:
            return below
        limit, slowness = bound * self.mean_slowness, self.slowness
        room = [s for s in below if loads[s] * slowness[s] < limit]
        return room or below


def measure_loads(
    states: Sequence[ServerState],
    now: float,
    *,
    ratio: float = BOUND_RATIO,
    slack: float = BOUND_SLACK,
) -> LoadView:
    """Return the estimated loads of servers, their mean and the bound.

    Args:
        states: the open servers of a service.
        now: event-loop time.
        ratio: see :data:`BOUND_RATIO`.
        slack: see :data:`BOUND_SLACK`.
    """
    mean = estimate_mean(states, now)
    loads = {state.id: state.estimate_load(now, mean) for state in states}
    slowness = _measure_slowness(states, now)
    mean_slowness = sum(slowness.values()) / len(slowness) if slowness else 1.0
    return LoadView(loads, mean, ratio * mean + slack, slowness, mean_slowness)


def _measure_slowness(states: Sequence[ServerState], now: float) -> dict[str, float]:
    """Return the slowness of each server; empty if none reports its speed."""
    if not any(state.speed.is_reported for state in states):
        return {}
    return {state.id: state.speed.find_slowness(now) for state in states}


def estimate_mean(states: Sequence[ServerState], now: float) -> float:
    """Return the mean load of servers.

    If many VMs share the servers, a VM has recent reports of a few servers only, and
    counts just its own requests at the rest. The mean over all would be far too low,
    and each server with a new report would appear overloaded. So the mean is estimated
    from the servers with a report.
    """
    reported = [
        max(1, state.find_known_load(now))
        for state in states
        if state.load.has_report(now)
    ]
    if len(reported) < MIN_REPORTS:
        known = sum(state.find_known_load(now) for state in states)
        return known / max(1, len(states))
    own = sum(state.in_flight for state in states) / len(states)
    return max(own, estimate_weighted_mean(reported, len(states)) - REPORT_EXCESS)


def estimate_weighted_mean(loads: Sequence[int], servers: int) -> float:
    """Return the mean load of servers of which only some were observed.

    A server is observed more often the higher its load, so the observed ones have more
    load than the others. A server with load x is observed with probability 1 - exp(-k
    x), and each observed one is weighted with the reciprocal of that probability (D. G.
    Horvitz and D. J. Thompson, "A generalization of sampling without replacement from a
    finite universe", Journal of the American Statistical Association 47, 1952); k is
    chosen so that the weights add up to the number of servers. If all servers were
    observed, this is the arithmetic mean; for few it approaches the harmonic one.

    Args:
        loads: loads of the observed servers, each at least 1.
        servers: number of all servers.
    """
    if len(loads) >= servers:
        return sum(loads) / len(loads)
    # Loads are small integers: 910 servers have some twenty distinct values.
    counts = Counter(loads)
    low, high = 0.0, 1.0
    while _estimate_servers(counts, high) > servers:
        low, high = high, high * 2
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if _estimate_servers(counts, middle) > servers:
            low = middle
        else:
            high = middle
    total = sum(
        count * load / _compute_observation_probability(load, high)
        for load, count in counts.items()
    )
    return total / servers


def _estimate_servers(counts: Counter[int], rate: float) -> float:
    """Return the sum of the weights of the observed servers."""
    return sum(
        count / _compute_observation_probability(load, rate)
        for load, count in counts.items()
    )


def _compute_observation_probability(load: int, rate: float) -> float:
    """Return the probability that a server with this load was observed."""
    return -math.expm1(-rate * load)
