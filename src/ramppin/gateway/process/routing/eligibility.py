"""Determines which backend servers a request may be sent to.

Servers are preferred if they are neither ejected nor unresponsive
(:mod:`ramppin.gateway.process.membership.health`), do not shed the requests of other
VMs (:mod:`ramppin.gateway.process.membership.shedding`), and have room in this VM's
share of their connections. A lack of preferred servers rejects no request: any untried
server is used then. Pure functions.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from ramppin.gateway.process.routing.serverstate import ServerState

CONNECTION_SHARE = 0.9
"""Share of a server's connections that is divided among the known VMs of the fleet; the
rest is reserved for VMs that are not known yet."""

MAX_EXCLUDED_SHARE = 1 / 3
"""Largest share of a service's servers that may be excluded for failures reported in
the fleet. If more fail, the fault is in the service, and the rest could not carry its
load."""


def list_eligible(
    states: Sequence[ServerState],
    tried: Collection[str],
    max_in_flight: int | None,
    now: float,
    failing: Collection[str] = (),
) -> list[ServerState]:
    """Return the servers to choose from; empty only if all were tried.

    Args:
        states: the open servers of the request's service.
        tried: ids of servers that the request has tried.
        max_in_flight: maximum number of requests that this VM should have in flight at
            one server; None for no limit.
        now: event-loop time.
        failing: ids from :func:`find_failing_servers`.
    """
    untried = [state for state in states if state.id not in tried]
    healthy = [state for state in untried if not state.health.is_suspect(now)]
    good = [state for state in healthy if state.id not in failing]
    preferred = good or healthy or untried
    accepting = [state for state in preferred if not state.shedding.is_likely(now)]
    preferred = accepting or preferred
    if max_in_flight is None:
        return preferred
    with_room = [state for state in preferred if state.in_flight < max_in_flight]
    return with_room or preferred


def find_failing_servers(
    states: Sequence[ServerState], own_domain: str, requests_per_s: float, now: float
) -> frozenset[str]:
    """Return the ids of servers that fail according to reports of the fleet.

    Empty if they exceed :data:`MAX_EXCLUDED_SHARE` of the servers.

    Args:
        states: the open servers of a service.
        own_domain: this VM's failure domain.
        requests_per_s: rate of requests that the fleet sends to the service.
        now: event-loop time.
    """
    share = requests_per_s / max(1, len(states))
    failing = frozenset(
        state.id
        for state in states
        if state.evidence.is_failing(own_domain, share, now)
    )
    return failing if len(failing) <= MAX_EXCLUDED_SHARE * len(states) else frozenset()


def has_healthy_server(
    states: Sequence[ServerState], tried: Collection[str], now: float
) -> bool:
    """Return whether at least one untried server is not suspect."""
    return count_healthy_servers(states, tried, now) > 0


def count_healthy_servers(
    states: Sequence[ServerState], tried: Collection[str], now: float
) -> int:
    """Return the number of untried servers that are not suspect."""
    return sum(
        state.id not in tried and not state.health.is_suspect(now) for state in states
    )


def share_connections(max_connections: int, sharing_vms: int | None) -> int | None:
    """Return how many connections of one server this VM may use.

    Args:
        max_connections: connections that the server accepts in all; 0 for no limit.
        sharing_vms: number of VMs of the fleet that share them, including this one;
            None while it is unknown: this VM must not count itself as the only one.

    Returns:
        At least 1; None for no limit.
    """
    if not max_connections:
        return None
    if sharing_vms is None:
        return 1
    return max(1, int(max_connections * CONNECTION_SHARE / sharing_vms))
