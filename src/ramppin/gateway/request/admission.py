"""Whether a request is served at all, and by what rules.

The settings in force when a request arrives decide; a key that is taken away is
refused from the next request on, also on open connections.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.request.promptkey import hash_prefix
from ramppin.gateway.version.routing import (
    Customer,
    Route,
    RoutingTable,
    choose_service,
)


class Denial(Enum):
    """Why a request is refused before any server is chosen."""

    NO_SETTINGS = (503, "no settings yet")
    NO_HOST = (400, "no host")
    NO_ROUTE = (404, "no such route")
    UNKNOWN_KEY = (401, "unknown key")
    STOPPING = (503, "stopping")

    @property
    def status(self) -> int:
        """The HTTP status."""
        return int(self.value[0])

    @property
    def reason(self) -> str:
        """A short text for the log."""
        return str(self.value[1])


@dataclass(frozen=True, slots=True)
class Admission:
    """What the settings say about an admitted request."""

    table: RoutingTable
    route: Route
    customer: Customer | None
    service: str
    prefix_key: int | None
    time_limit_s: float


def admit(
    context: GatewayContext, request: CallerRequest, now: float
) -> Admission | Denial:
    """Return by what rules a request is served, or why it is not.

    Args:
        context: what all exchanges of the process share.
        request: the request, whole.
        now: the loop's time.
    """
    table = context.table
    if table is None:
        return Denial.NO_SETTINGS
    host = request.find(b"host")
    if host is None:
        return Denial.NO_HOST
    route = table.find_route(host.decode("latin-1"), request.target.decode("latin-1"))
    if route is None:
        return Denial.NO_ROUTE
    customer = find_customer(context, table, request)
    if table.customers and customer is None and not route.public:
        return Denial.UNKNOWN_KEY
    time_limit_s = read_time_limit(context, request, route)
    if context.drain and not context.drain.may_take(time_limit_s, now):
        return Denial.STOPPING
    parts = request.find(context.names.prompt_parts)
    prefix_key = hash_prefix(parts) if parts and route.keeps_prefix else None
    point = context.generator.random()
    if prefix_key is not None:
        # Prompts of one prefix go to one service of a split.
        point = (prefix_key & 0xFFFFFFFF) / 2.0**32
    service = choose_service(route.services, point)
    return Admission(table, route, customer, service, prefix_key, time_limit_s)


def find_customer(
    context: GatewayContext, table: RoutingTable, request: CallerRequest
) -> Customer | None:
    """Return the customer that owns a request's key, or None."""
    key = request.find(context.names.api_key)
    return table.customers.get(key.decode("latin-1")) if key is not None else None


def read_time_limit(
    context: GatewayContext, request: CallerRequest, route: Route
) -> float:
    """Return how long a request may be held, in seconds."""
    told = request.find(context.names.deadline_ms)
    try:
        told_s = float(told) / 1000 if told is not None else route.time_limit_s
    except ValueError:
        return route.time_limit_s
    return min(route.time_limit_s, told_s)
