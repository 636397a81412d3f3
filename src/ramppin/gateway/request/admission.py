"""Decides whether a request is admitted, and by which settings it is served.

The settings in force when a request has been received completely apply; a revoked key
is refused from the next request on, also on open connections. No I/O, and no state
between requests.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from ramppin.gateway.connection.httpwire import HeaderNames
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.process.limits.drain import Drain
from ramppin.gateway.process.load.longprompts import PromptWork
from ramppin.gateway.request.fingerprint import hash_request
from ramppin.gateway.request.promptkey import (
    count_tokens,
    hash_prefix,
    list_part_ids,
)
from ramppin.gateway.version.routing import (
    Customer,
    Route,
    RoutingTable,
    choose_service,
)

POINTS = 2.0**32
"""Number of points of a split to which prefix keys are mapped. The keys are 64-bit
hashes, of which the low 32 bits are used."""


FIRST_READ_WAIT_S = 1.0
"""Maximum time in seconds that a request waits for the first read of settings and
servers, which mostly completes 0.02 to 0.35 s after a VM starts listening. A refusal
costs the caller one of its one or two retries, which may reach another starting VM:
with 0.5 s, 67 requests per day were refused, most of them after all VMs were killed."""

FIRST_READ_SHARE = 0.5
"""Maximum fraction of the caller's deadline spent waiting for the first read; the rest
is for the answer."""


class Denial(Enum):
    """Why a request is refused before a server is selected, in the order checked."""

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
    """Settings that apply to an admitted request.

    Attributes:
        table: the settings in force at admission.
        route: the request's route.
        customer: the customer that owns the API key; None on a public route.
        service: the service selected from the route's split.
        prefix_key: hash of the prompt's shared prefix; None if it has none or the
            servers cache no prefixes.
        fingerprint: hash of the request, the same each time that it is sent.
        time_limit_s: time limit in seconds from the request's arrival.
        work: size of a prompt with a shared prefix; None if it is not stated.
        ignored_deadline: the caller's deadline if it is not a number, else None.
        part_ids: ids of the prompt's parts, in order.
    """

    table: RoutingTable
    route: Route
    customer: Customer | None
    service: str
    prefix_key: int | None
    fingerprint: int
    time_limit_s: float
    work: PromptWork | None = None
    ignored_deadline: bytes | None = None
    part_ids: tuple[bytes, ...] = ()


def admit(
    request: CallerRequest,
    *,
    table: RoutingTable | None,
    names: HeaderNames,
    drain: Drain | None,
    generator: random.Random,
    now: float,
) -> Admission | Denial:
    """Return the settings that apply to a request, or why it is denied.

    Args:
        request: the complete request.
        table: the settings in force; None if none have been loaded.
        names: configured header names.
        drain: the planned stop in progress, or None.
        generator: random source for the service of a split route.
        now: current event-loop time.
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
    if table.customers is not None and customer is None and not route.public:
        return Denial.UNKNOWN_KEY
    deadline = request.find(names.deadline_ms)
    deadline_s = parse_deadline(deadline)
    limits_s = [route.time_limit_s, deadline_s]
    time_limit_s = min(limit_s for limit_s in limits_s if limit_s is not None)
    if drain is not None and not drain.may_accept(time_limit_s, now):
        return Denial.STOPPING
    parts = request.find(names.prompt_parts)
    prefix_key = work = None
    if parts and route.keeps_prefix:
        prefix_key = hash_prefix(parts)
        work = measure_work(parts, route)
    return Admission(
        table=table,
        route=route,
        customer=customer,
        service=choose_service(route.services, draw_point(prefix_key, generator)),
        prefix_key=prefix_key,
        fingerprint=hash_request(request, customer),
        time_limit_s=time_limit_s,
        work=work,
        ignored_deadline=deadline if deadline_s is None else None,
        part_ids=tuple(list_part_ids(parts)) if parts else (),
    )


def measure_work(parts: bytes, route: Route) -> PromptWork | None:
    """Return the size of a prompt, or None if its parts do not state it."""
    counts = count_tokens(parts)
    return None if counts is None else PromptWork(*counts, route.target_pause_s)


def find_customer(
    request: CallerRequest, table: RoutingTable, names: HeaderNames
) -> Customer | None:
    """Return the customer that owns the request's API key, or None."""
    key = request.find(names.api_key)
    if key is None or table.customers is None:
        return None
    return table.customers.get(key.decode("latin-1"))


def parse_deadline(value: bytes | None) -> float | None:
    """Return a caller's deadline in seconds; None if absent or not a number."""
    if value is None:
        return None
    try:
        return float(value) / 1000
    except ValueError:
        return None


def choose_first_read_wait_s(deadline_s: float | None) -> float:
    """Return how long a request waits for the first read of settings and servers.

    Args:
        deadline_s: the caller's deadline in seconds; None if it is unknown.
    """
    if deadline_s is None:
        return FIRST_READ_WAIT_S
    return max(0.0, min(FIRST_READ_WAIT_S, FIRST_READ_SHARE * deadline_s))


def draw_point(prefix_key: int | None, generator: random.Random) -> float:
    """Return a point in [0, 1) that selects the service of a split.

    Prompts with the same prefix get the same service, so that the prefix is cached
    there; requests without a prefix get a random one.
    """
    if prefix_key is None:
        return generator.random()
    return (prefix_key & 0xFFFFFFFF) / POINTS
