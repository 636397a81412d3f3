"""Loads of a service's backend servers at one moment, and the bound on them.

Reads what is known of each server (:mod:`~.estimate`); owns nothing. No I/O.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from ramppin.gateway.process.routing.serverstate import ServerState

BOUND_RATIO = 1.5
"""Multiple of the mean load of a service's servers that one of them may hold. Callers
of a home at the bound go elsewhere, where their prefix must be copied or read; a server
past it slows all that it runs. A lower bound overruns fewer servers and moves more
memory."""

BOUND_SLACK = 1.5
"""Requests that a server may hold beyond that; see :data:`BOUND_RATIO`."""

MIN_REPORTS = 3
"""Servers with a load report from which on they stand for all: a single one may be the
busiest."""

REPORT_EXCESS = 1.0
"""Requests by which a report is above what its server holds at other moments: the one
that was answered."""

BISECTION_STEPS = 20
"""Halvings of the interval in which :func:`weigh_mean` looks: to a millionth of it."""


@dataclass(slots=True)
class LoadView:
    """Loads of a service's open servers at one moment, in requests.

    Attributes:
        loads: what each is likely to hold, by id.
        mean: of all servers.
        bound: the load that a server must stay below to get more.
    """

    loads: dict[str, float] = field(default_factory=dict)
    mean: float = 0.0
    bound: float = math.inf


def measure_loads(
    states: Sequence[ServerState],
    now: float,
    *,
    ratio: float = BOUND_RATIO,
    slack: float = BOUND_SLACK,
) -> LoadView:
    """Return the likely loads of servers, their mean and the bound.

    Args:
        states: the open servers of a service.
        now: the loop's time.
        ratio: see :data:`BOUND_RATIO`.
        slack: see :data:`BOUND_SLACK`.
    """
    mean = estimate_mean(states, now)
    loads = {state.id: state.estimate_load(now, mean) for state in states}
    return LoadView(loads, mean, ratio * mean + slack)


def estimate_mean(states: Sequence[ServerState], now: float) -> float:
    """Return the mean load of servers.

    Where many VMs share the servers, a VM knows reports of a few and sees its own
    requests alone at the rest: the mean over all would be far too low, and each server
    that has just reported would look overloaded. So the servers with a report stand
    for the others.
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
    return max(own, weigh_mean(reported, len(states)) - REPORT_EXCESS)


def weigh_mean(loads: Sequence[int], servers: int) -> float:
    """Return the mean load of servers of which some were seen.

    A server is met the more often the more it holds, so those that were seen hold more
    than the others. One with load x counts as seen with probability 1 - exp(-k x), and
    each that was seen stands for as many as one over that (D. G. Horvitz and D. J.
    Thompson, "A generalization of sampling without replacement from a finite
    universe", Journal of the American Statistical Association 47, 1952); k is chosen
    so that they stand for all servers. With every server seen this is the arithmetic
    mean, with few the harmonic one.

    Args:
        loads: of the servers that were seen, each at least 1.
        servers: how many there are.
    """
    if len(loads) >= servers:
        return sum(loads) / len(loads)
    # Loads are few small numbers: 910 servers have some twenty.
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
    """Return for how many servers those that were seen stand."""
    return sum(
        count / _compute_observation_probability(load, rate)
        for load, count in counts.items()
    )


def _compute_observation_probability(load: int, rate: float) -> float:
    """Return the chance that a server with a load was seen."""
    return -math.expm1(-rate * load)
