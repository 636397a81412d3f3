"""Which backend servers a request may be sent to.

Preferred are servers that are neither ejected nor unresponsive
(:mod:`ramppin.gateway.process.membership.health`), that turn no other VMs away
(:mod:`ramppin.gateway.process.membership.shedding`), and that have room in this VM's
share of their connections. No request is refused for want of such a server: without
one, any untried server will do. Pure functions.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from ramppin.gateway.process.routing.serverstate import ServerState

CONNECTION_SHARE = 0.9
"""Part of a server's connections that the fleet's VMs divide among themselves; the rest
is for VMs that are not known yet."""


MAX_EXCLUDED_SHARE = 1 / 3
"""Part of a service's servers that may be passed over for what the fleet saw: more are
a trouble of the service, and the rest could not carry its load."""


def list_eligible(
    states: Sequence[ServerState],
    tried: Collection[str],
    max_in_flight: int | None,
    now: float,
    bad: Collection[str] = (),
) -> list[ServerState]:
    """Return the servers to choose from; empty only if every one was tried.

    Args:
        states: the open servers of the request's service.
        tried: ids of servers that the request has tried.
        max_in_flight: requests that this VM should have at one server; None for
            any number.
        now: the loop's time.
        bad: ids from :func:`find_failing_servers`.
    """
    untried = [state for state in states if state.id not in tried]
    healthy = [state for state in untried if not state.health.is_suspect(now)]
    good = [state for state in healthy if state.id not in bad]
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
    """Return the ids of servers that the fleet sees failing.

    None if they are too many to be passed over.

    Args:
        states: the open servers of a service.
        own_domain: this VM's failure domain.
        requests_per_s: requests that the fleet sends to the service.
        now: the loop's time.
    """
    share = requests_per_s / max(1, len(states))
    bad = frozenset(
        state.id for state in states if state.evidence.is_bad(own_domain, share, now)
    )
    return bad if len(bad) <= MAX_EXCLUDED_SHARE * len(states) else frozenset()


def has_healthy_server(
    states: Sequence[ServerState], tried: Collection[str], now: float
) -> bool:
    """Return whether an untried server is left that is not suspect."""
    return any(
        state.id not in tried and not state.health.is_suspect(now) for state in states
    )


def share_connections(max_connections: int, live_vms: int) -> int | None:
    """Return how many connections of one server this VM may use.

    Args:
        max_connections: connections that the server takes in all; 0 for any number.
        live_vms: VMs of the fleet that share them, this one included.

    Returns:
        At least 1; None for any number.
    """
    if not max_connections:
        return None
    return max(1, int(max_connections * CONNECTION_SHARE / live_vms))
