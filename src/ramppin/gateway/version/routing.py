"""One version of what is routed where: routes, services, customers, limits.

A :class:`RoutingTable` is immutable; a request reads the one that is in force
when it arrives. Whoever publishes settings (ramppin's own file or an adapter)
builds one; see :mod:`ramppin.gateway.process.recovery.sources`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum


class RouteKind(Enum):
    """What may be repeated on a route."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"

    @property
    def is_stream(self) -> bool:
        """Whether answers are series of events."""
        return self is RouteKind.STREAM


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a split route and its share of the requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of a host and path prefix go, and how.

    Attributes:
        name: the route's name, for logs and metrics.
        host: the host, in lower case, without a port.
        path_prefix: begins and ends with a slash.
        services: one service, or a weighted split.
        kind: what may be repeated.
        resumable: whether a stream may be continued by another backend server.
        time_limit_s: longest time that a request is held.
        max_attempts: most backend servers that may run one request.
        priority: rank among routes; 0 is the most urgent.
        public: whether requests need no key.
        keeps_prefix: whether backend servers cache prompt prefixes.
        target_s: time within which callers want the first byte; None if none is
            set. Requests after it count as late in ``ramppin losses``.
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

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RouteKind.REPEATABLE or self.resumable


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """What holds for every backend server of a service.

    Attributes:
        name: the service's name.
        max_connections: connections that one backend server takes in all; 0 for
            any number.
        cold_s: seconds for which one is cold after its start.
        cold_per_s: requests a second that one takes while cold; 0 for any number.
    """

    name: str
    max_connections: int = 0
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer and its rank; 0 is the most urgent."""

    name: str
    priority: int = 0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or be idle.

    The defaults hold before the first settings are known.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the routing settings, ready for requests.

    Args:
        version: the publisher's number; versions rise in uneven steps.
        routes: all routes.
        services: services by name.
        customers: customers by API key; empty if no keys are used.
        limits: limits on callers.

    .. versionadded:: 0.2
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    customers: Mapping[str, Customer] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    _by_host: dict[str, dict[str, Route]] = field(
        init=False, repr=False, compare=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        for route in self.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None.

        Args:
            host: as the caller named it; a port and letter case don't matter.
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


def strip_port(host: str) -> str:
    """Return a host without its port."""
    if host.endswith("]"):
        return host
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host


def choose_service(services: Iterable[WeightedService], point: float) -> str:
    """Return the service of a split at a point from 0 up to 1."""
    choices = tuple(services)
    total = sum(choice.weight for choice in choices)
    remaining = point * total
    for choice in choices:
        remaining -= choice.weight
        if remaining < 0:
            return choice.service
    return choices[-1].service
