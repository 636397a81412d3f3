"""Routing settings in ramppin's own format, a tree whose rules are inherited.

Levels from the root down: fleet, service, host, route. Each level overrides the rules
that it sets; the lowest level that sets a rule applies.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from ramppin.errors import SettingsError
from ramppin.gateway.process.overload.rules import (
    MAX_WAITING,
    MAX_WAITING_BYTES,
    OverloadRules,
)
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.recovery.sources import RecordDecoder
from ramppin.gateway.process.routing.evacuation import EVACUATION_PREFIX, parse_domain
from ramppin.gateway.process.routing.serverstate import BackendServer
from ramppin.gateway.version.address import parse_address
from ramppin.gateway.version.routing import (
    CallerLimits,
    Customer,
    Route,
    RouteKind,
    RoutingTable,
    ServiceSpec,
    WeightedService,
    index_keys,
)

MAX_WEIGHT = 1_000.0
"""Maximum weight of a customer."""

UNUSED_RULES = frozenset({"target_latency_s"})
"""Rules that settings may contain but that have no effect."""


class RouteRules(msgspec.Struct, forbid_unknown_fields=True):
    """Rules that every level may set; None means inherited. Times in seconds.

    ``target_latency_s`` is accepted and has no effect.
    """

    kind: RouteKind | None = None
    resumable: bool | None = None
    time_limit_s: float | None = None
    max_attempts: int | None = None
    target_latency_s: float | None = None
    target_pause_s: Annotated[float, msgspec.Meta(gt=0)] | None = None
    priority: int | None = None
    public: bool | None = None
    keeps_prefix: bool | None = None


class RouteNode(msgspec.Struct, forbid_unknown_fields=True):
    """A route: one service, or a weighted split, and its rules."""

    service: str = ""
    split: dict[str, float] = {}
    rules: RouteRules = msgspec.field(default_factory=RouteRules)


class HostNode(msgspec.Struct, forbid_unknown_fields=True):
    """A host and its routes by path prefix."""

    routes: dict[str, RouteNode]
    rules: RouteRules = msgspec.field(default_factory=RouteRules)


class ServiceNode(msgspec.Struct, forbid_unknown_fields=True):
    """A service and the rules that its routes inherit.

    Attributes:
        max_connections: maximum connections to one server, from all VMs.
        cold_s: seconds for which a server is cold after its start.
        cold_per_s: maximum requests per second to a cold server; 0 for no limit.
        slots: requests that a server runs at once, for servers whose entry does not
            say; values outside 1 to 100,000 are ignored.
        cache_tokens: tokens that a server's cache memory holds; 0 if unknown.
        limit: requests that all servers together may hold, 1 or more; None to derive
            it from the servers.
        rules: rules that the service's routes inherit.
    """

    max_connections: int = 0
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    slots: int = 0
    cache_tokens: int = 0
    limit: Annotated[int, msgspec.Meta(ge=1)] | None = None
    rules: RouteRules = msgspec.field(default_factory=RouteRules)


class CustomerNode(msgspec.Struct, forbid_unknown_fields=True):
    """A customer and its API keys; priority 0 is the highest.

    ``weight`` has an effect under overload control only.
    """

    keys: list[str]
    priority: int = 0
    weight: float = 1.0


class OverloadNode(msgspec.Struct, forbid_unknown_fields=True):
    """Rules of overload control, which is enabled by this node."""

    enabled: bool = True
    waiting_room: bool = True
    early_rejection: bool = True
    fair_shares: bool = True
    max_waiting: int = MAX_WAITING
    max_waiting_bytes: int = MAX_WAITING_BYTES


class LimitsNode(msgspec.Struct, forbid_unknown_fields=True):
    """Limits for callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


class RoutingTree(msgspec.Struct, forbid_unknown_fields=True):
    """The root of the routing settings.

    Attributes:
        customers: customers by name; without this field no keys are used.
    """

    version: int
    hosts: dict[str, HostNode]
    services: dict[str, ServiceNode]
    customers: dict[str, CustomerNode] | msgspec.UnsetType = msgspec.UNSET
    limits: LimitsNode = msgspec.field(default_factory=LimitsNode)
    overload: OverloadNode | None = None
    rules: RouteRules = msgspec.field(default_factory=RouteRules)


class ServerNode(msgspec.Struct, forbid_unknown_fields=True):
    """A backend server.

    Attributes:
        service: the service that it serves.
        address: IP:PORT.
        failure_domain: the failure domain that it belongs to.
        slots: maximum number of concurrent requests.
        draining: whether it accepts no new requests.
        started_ms: Unix time of its start in milliseconds. A later time under the same
            id means that it has restarted and lost its state.
        cold_s: remaining seconds for which it is cold.
        build: version of its software.
        sequence: number of its entry, which increases; None if its entries are always
            read in the order in which they are written.
    """

    service: str
    address: str
    failure_domain: str = ""
    slots: int = 0
    draining: bool = False
    started_ms: int | None = None
    cold_s: float = 0.0
    build: str = ""
    sequence: int | None = None


class TreeDecoder(RecordDecoder):
    """Decodes records in ramppin's own format.

    .. versionadded:: 0.2
    """

    def decode_table(self, record: Record) -> RoutingTable | None:
        """Return the routing settings of a record."""
        if record.value is None:
            return None
        return build_table(_decode(record, RoutingTree))

    def find_evacuated(self, record: Record) -> str | None:
        """Return the failure domain that a record evacuates, or None."""
        return parse_domain(record.key, EVACUATION_PREFIX)

    def decode_server(self, record: Record) -> BackendServer:
        """Return the backend server of a record."""
        node = _decode(record, ServerNode)
        try:
            host, port = parse_address(node.address)
        except ValueError as error:
            raise SettingsError(
                str(error), source=record.key, path="address", hint="IP:PORT"
            ) from error
        return BackendServer(
            name=record.key,
            service=node.service,
            host=host,
            port=port,
            failure_domain=node.failure_domain,
            slots=node.slots,
            draining=node.draining,
            started_ms=node.started_ms,
            build=node.build,
            sequence=node.sequence,
            cold_s=node.cold_s,
        )


def build_table(tree: RoutingTree) -> RoutingTable:
    """Build the routing table of a tree, with inherited rules resolved.

    Raises:
        SettingsError: a route refers to an undefined service, a path prefix does not
            begin and end with a slash, or a number is out of range.
    """
    routes = [
        _build_route(tree, host, prefix, node)
        for host, host_node in tree.hosts.items()
        for prefix, node in host_node.routes.items()
    ]
    return RoutingTable(
        version=tree.version,
        routes=tuple(routes),
        services={
            name: ServiceSpec(
                name,
                node.max_connections,
                node.cold_s,
                node.cold_per_s,
                node.slots,
                node.cache_tokens,
                node.limit or 0,
            )
            for name, node in tree.services.items()
        },
        customers=_build_customers(tree.customers),
        limits=CallerLimits(**msgspec.structs.asdict(tree.limits)),
        overload=_build_overload(tree.overload),
    )


def _build_customers(
    nodes: dict[str, CustomerNode] | msgspec.UnsetType,
) -> dict[str, Customer] | None:
    """Return customers by API key; None if no keys are used."""
    if isinstance(nodes, msgspec.UnsetType):
        return None
    return index_keys(
        (_build_customer(name, node), node.keys) for name, node in nodes.items()
    )


def _build_customer(name: str, node: CustomerNode) -> Customer:
    if not 0 < node.weight <= MAX_WEIGHT:
        raise SettingsError(
            f"{node.weight:g} is not a weight",
            path=f"customers.{name}.weight",
            hint=f"over 0, at most {MAX_WEIGHT:g}",
        )
    return Customer(name, node.priority, node.weight)


def _build_overload(node: OverloadNode | None) -> OverloadRules | None:
    if node is None:
        return None
    _require_one(node.max_waiting, "overload.max_waiting")
    _require_one(node.max_waiting_bytes, "overload.max_waiting_bytes")
    return OverloadRules(**msgspec.structs.asdict(node))


def _require_one(value: int, path: str) -> None:
    if value < 1:
        raise SettingsError(f"{value} is too small", path=path, hint="1 or more")


def _build_route(tree: RoutingTree, host: str, prefix: str, node: RouteNode) -> Route:
    path = f"hosts.{host}.routes.{prefix}"
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise SettingsError(
            "path prefix must begin and end with a slash",
            path=path,
            hint=f"/{prefix.strip('/')}/",
        )
    split = node.split or {node.service: 1.0}
    for service in split:
        if service not in tree.services:
            raise SettingsError(
                f"undefined service {service!r}",
                path=path,
                hint=f"one of {', '.join(sorted(tree.services))}",
            )
    first_service = tree.services[next(iter(split))]
    levels = [tree.rules, first_service.rules, tree.hosts[host].rules, node.rules]
    return Route(
        name=f"{host}{prefix}",
        host=host.lower(),
        path_prefix=prefix,
        services=tuple(WeightedService(name, weight) for name, weight in split.items()),
        **_inherit(levels),
    )


def _inherit(levels: list[RouteRules]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for rules in levels:
        for name, value in msgspec.structs.asdict(rules).items():
            if value is not None and name not in UNUSED_RULES:
                found[name] = value
    return found


def _decode(record: Record, model: type[Any]) -> Any:
    try:
        return msgspec.json.decode(record.value or b"", type=model)
    except (ValueError, RecursionError) as error:
        message, _, place = str(error).partition(" - at ")
        raise SettingsError(
            message, source=record.key, path=place.strip("`$.") if place else ""
        ) from error
