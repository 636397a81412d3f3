"""Whether a request is served at all, and by which rules.

The settings in force when a request is whole decide; a key that is taken away is
refused from the next request on, also on open connections. No I/O; nothing here is
kept between requests.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from ramppin.gateway.connection.httpwire import HeaderNames
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.process.limits.drain import Drain
from ramppin.gateway.request.fingerprint import hash_request
from ramppin.gateway.request.promptkey import hash_prefix
from ramppin.gateway.version.routing import (
    Customer,
    Route,
    RoutingTable,
    choose_service,
)

POINTS = 2.0**32
"""Points of a split to which prefixes are mapped; their keys are 64-bit hashes, of
which the low half serves."""


FIRST_READ_WAIT_S = 1.0
"""Seconds for which a request waits while settings and servers are read for the first
time, mostly 0.02 to 0.35 s after a VM listens. A refusal costs its caller one of its
one or two retries, which meets a VM that starts as well: with 0.5 s 67 requests of a
day were refused, most of them after all VMs were killed."""

FIRST_READ_SHARE = 0.5
"""Part of a caller's deadline for which it waits; the rest is for its answer."""


class Denial(Enum):
    """Why a request is refused before any server is chosen, in the order checked."""

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
    """What the settings say about an admitted request.

    Attributes:
        table: the settings that decided.
        route: the request's route.
        customer: the customer that owns its key; None on a public route.
        service: the service of the route's split that serves it.
        prefix_key: hash of the prompt's shared prefix; None if it has none or its
            servers cache none.
        fingerprint: of the request, the same each time that it is sent.
        time_limit_s: seconds from its arrival until it is given up.
        ignored_deadline: the caller's deadline if it is not a number, else None.
    """

    table: RoutingTable
    route: Route
    customer: Customer | None
    service: str
    prefix_key: int | None
    fingerprint: int
    time_limit_s: float
    ignored_deadline: bytes | None = None


def admit(
    request: CallerRequest,
    *,
    table: RoutingTable | None,
    names: HeaderNames,
    drain: Drain | None,
    generator: random.Random,
    now: float,
) -> Admission | Denial:
    """Return by which rules a request is served, or why it is not.

    Args:
        request: the request, whole.
        table: the settings in force; None before the first.
        names: names of headers.
        drain: the planned stop that has begun, or None.
        generator: draws the service of a split route.
        now: the loop's time.
    """
    if table is None:
        return Denial.NO_SETTINGS
    host = request.find(b"host")
    if host is None:
        return Denial.NO_HOST
    route = table.find_route(host.decode("latin-1"), request.target.decode("latin-1"))
    if route is None:
        return Denial.NO_ROUTE
    customer = find_customer(request, table, names)
    if table.customers and customer is None and not route.public:
        return Denial.UNKNOWN_KEY
    deadline = request.find(names.deadline_ms)
    deadline_s = parse_deadline(deadline)
    limits_s = [route.time_limit_s, deadline_s]
    time_limit_s = min(limit_s for limit_s in limits_s if limit_s is not None)
    if drain is not None and not drain.may_accept(time_limit_s, now):
        return Denial.STOPPING
    parts = request.find(names.prompt_parts)
    prefix_key = hash_prefix(parts) if parts and route.keeps_prefix else None
    return Admission(
        table=table,
        route=route,
        customer=customer,
        service=choose_service(route.services, draw_point(prefix_key, generator)),
        prefix_key=prefix_key,
        fingerprint=hash_request(request, customer),
        time_limit_s=time_limit_s,
        ignored_deadline=deadline if deadline_s is None else None,
    )


def find_customer(
    request: CallerRequest, table: RoutingTable, names: HeaderNames
) -> Customer | None:
    """Return the customer that owns a request's key, or None."""
    key = request.find(names.api_key)
    return table.customers.get(key.decode("latin-1")) if key is not None else None


def parse_deadline(value: bytes | None) -> float | None:
    """Return a caller's deadline in seconds; None if there is no number."""
    if value is None:
        return None
    try:
        return float(value) / 1000
    except ValueError:
        return None


def choose_first_read_wait_s(deadline_s: float | None) -> float:
    """Return how long a request waits for settings and servers to be read first.

    Args:
        deadline_s: time that its caller will wait, in seconds; None if it is unknown.
    """
    if deadline_s is None:
        return FIRST_READ_WAIT_S
    return max(0.0, min(FIRST_READ_WAIT_S, FIRST_READ_SHARE * deadline_s))


def draw_point(prefix_key: int | None, generator: random.Random) -> float:
    """Return the point of a split, from 0 up to 1, that serves a request.

    Prompts of one prefix go to one service of a split, so that it is cached there.
    """
    if prefix_key is None:
        return generator.random()
    return (prefix_key & 0xFFFFFFFF) / POINTS
