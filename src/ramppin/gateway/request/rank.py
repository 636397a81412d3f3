"""Computes the rank of a request: one order of urgency over customers and routes.

The rank is sent to backend servers as the request's priority and orders the requests in
the admission queue (:mod:`ramppin.gateway.process.overload`). Pure.
"""

from __future__ import annotations

from ramppin.gateway.version.routing import Customer, Route

MAX_RANK = 9
"""The least urgent rank, and the least urgent priority that backend servers accept; 0
is the most urgent."""

RANKS_PER_CUSTOMER_PRIORITY = 3
"""Number of ranks for each customer priority: requests are ordered by the priority of
the customer first, then by that of the route."""


def compute_rank(route: Route, customer: Customer | None) -> int:
    """Return the rank of a request, from 0 (most urgent) to 9.

    Args:
        route: the request's route.
        customer: the customer that owns the API key; None on a public route.
    """
    priority = customer.priority if customer else 0
    rank = priority * RANKS_PER_CUSTOMER_PRIORITY + min(
        route.priority, RANKS_PER_CUSTOMER_PRIORITY - 1
    )
    return max(0, min(MAX_RANK, rank))
