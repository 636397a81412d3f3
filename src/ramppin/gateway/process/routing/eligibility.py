"""Which backend servers a request may be sent to.

Preferred are servers that are neither ejected nor unresponsive
(:mod:`ramppin.gateway.process.membership.health`) and have room in this VM's share
of their connections. No request is refused for want of such a server: without
one, any untried server will do. Pure functions.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from ramppin.gateway.process.routing.directory import ServerState

CONNECTION_SHARE = 0.9
"""Part of a server's connections that the fleet's VMs divide among themselves; the
rest is for VMs that are not known yet. Chosen with commit 0116dbc; no run varied
it."""


def list_eligible(
    states: Sequence[ServerState],
    tried: Collection[str],
    max_in_flight: int | None,
    now: float,
) -> list[ServerState]:
    """Return the servers to choose from; empty only if every one was tried.

    Args:
        states: the open servers of the request's service.
        tried: ids of servers that the request has tried.
        max_in_flight: requests that this VM should have at one server; None for
            any number.
        now: the loop's time.
    """
    untried = [state for state in states if state.id not in tried]
    healthy = [state for state in untried if not state.health.is_suspect(now)]
    preferred = healthy or untried
    if max_in_flight is None:
        return preferred
    with_room = [state for state in preferred if state.in_flight < max_in_flight]
    return with_room or preferred


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
