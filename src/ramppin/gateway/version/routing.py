"""One version of the routing settings: routes, services, customers, limits.

A :class:`RoutingTable` is immutable; a request uses the one that is in force when it
arrives. The decoder of each source of settings (ramppin's own format or an adapter)
builds it; see :mod:`ramppin.gateway.process.recovery.sources`.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from ramppin.gateway.process.overload.rules import OverloadRules

LOG = logging.getLogger(__name__)


class RouteKind(Enum):
    """Which requests of a route may be sent again."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"

    @property
    def is_stream(self) -> bool:
        """Whether answers are event streams."""
        return self is RouteKind.STREAM


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a split route and its share of the requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Destination and rules of the requests for a host and path prefix.

    Attributes:
        name: the route's name, for logs and metrics.
        host: the host, in lower case, without a port.
        path_prefix: begins and ends with a slash.
        services: one service, or a weighted split.
        kind: which requests may be sent again.
        resumable: whether another backend server may resume a stream.
        time_limit_s: maximum processing time of a request, from its arrival.
        max_attempts: maximum number of runs of one request, the first included.
        priority: priority among routes; 0 is the highest.
        public: whether requests need no API key.
        keeps_prefix: whether backend servers cache prompt prefixes.
        target_s: target time to the first byte; None if none is set. Requests that
            exceed it count as late in ``ramppin losses``.
        target_pause_s: longest pause between pieces of a stream in seconds; None if
            none is set. Streams that exceed it count as late as well.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[WeightedService, ...]
    kind: RouteKind = RouteKind.ONCE
    resumable: bool = False
    time_limit_s: float = 30.0
    max_attempts: int = 1
    priority: int = 0
    public: bool = False
    keeps_prefix: bool = False
    target_s: float | None = None
    target_pause_s: float | None = None

    @property
    def repeatable(self) -> bool:
        """Whether a request may be sent again after it may have run."""
        return self.kind is RouteKind.REPEATABLE or self.resumable


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Limits that apply to the backend servers of a service.

    Attributes:
        name: the service's name.
        max_connections: maximum connections to one backend server from all VMs;
            0 for no limit.
        cold_s: seconds for which a server is cold after its start.
        cold_per_s: maximum requests per second to a cold server; 0 for no limit.
        slots: requests that a server runs at once; 0 if unknown. A server's own entry
            takes precedence.
        cache_tokens: tokens that a server's cache memory holds; 0 if unknown.
        limit: requests that all servers together may hold; 0 to derive it from them.
    """

    name: str
    max_connections: int = 0
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    slots: int = 0
    cache_tokens: int = 0
    limit: int = 0


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer.

    Attributes:
        name: the customer's name.
        priority: priority among customers; 0 is the highest.
        weight: share of the capacity under overload control, relative to the other
            customers that wait.
    """

    name: str
    priority: int = 0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits and time-outs for callers.

    The defaults apply until the first settings are loaded.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the routing settings, indexed for look-ups.

    Args:
        version: number set by the publisher; it increases, possibly by more than 1.
        routes: all routes.
        services: services by name.
        customers: customers by API key; None if no keys are used. Without any key only
            public routes are open.
        limits: limits for callers.
        overload: rules of overload control; None if the settings contain none.

    .. versionadded:: 0.2
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    customers: Mapping[str, Customer] | None = None
    limits: CallerLimits = field(default_factory=CallerLimits)
    overload: OverloadRules | None = None
    _by_host: dict[str, dict[str, Route]] = field(
        init=False, repr=False, compare=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        for route in self.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None.

        Args:
            host: host of the request; port and letter case are ignored.
            path: the path with or without its query.
        """
        prefixes = self._by_host.get(strip_port(host).lower())
        if not prefixes:
            return None
        end = len(path.partition("?")[0])
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: slash + 1])
            if route:
                return route
            end = slash
        return None


def index_keys(
    holders: Iterable[tuple[Customer, Iterable[str]]],
) -> dict[str, Customer]:
    """Return customers by API key.

    A blank key opens nothing: a header without a value would match it. A key of several
    customers belongs to the last one.

    Args:
        holders: customers and the keys of each.
    """
    found: dict[str, Customer] = {}
    for customer, keys in holders:
        for key in keys:
            if not key.strip():
                _warn_of_key("a blank API key of customer %r is ignored", customer)
                continue
            if found.get(key, customer).name != customer.name:
                _warn_of_key("an API key of customer %r is another's too", customer)
            found[key] = customer
    return found


def _warn_of_key(message: str, customer: Customer) -> None:
    LOG.warning(message, customer.name, extra={"step": "settings"})


def strip_port(host: str) -> str:
    """Return a host without its port."""
    if host.endswith("]"):
        return host
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host


def choose_service(services: Iterable[WeightedService], point: float) -> str:
    """Return the service of a weighted split for a point in [0, 1)."""
    choices = tuple(services)
    total = sum(choice.weight for choice in choices)
    remaining = point * total
    for choice in choices:
        remaining -= choice.weight
        if remaining < 0:
            return choice.service
    return choices[-1].service
