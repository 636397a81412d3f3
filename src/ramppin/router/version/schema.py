"""The schema of the settings tree that operators publish.

Every ``*_s`` is in seconds. Unknown keys are rejected.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,63}$")]
Seconds = Annotated[float, Field(ge=0, le=86_400)]


class _Node(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ServiceKind(StrEnum):
    """The kind of a service: model engines, or plain HTTP."""

    MODEL = "model"
    PLAIN = "plain"


class PoolRules(_Node):
    """Rules of a pool of backend servers; an unset one is inherited.

    Attributes:
        bound: maximum load of a backend server, as a multiple of the mean load
            of its pool, rounded up.
        floor: load up to which a backend server is never over the bound; a
            value above 1 relaxes the bound at a small mean load.
        slots: maximum number of concurrent requests on one backend server.
        reserve: share of the slots kept for customers under their fair share.
        orphan_hold_s: maximum time for which the places of a lost VM count.
        suspend_s: first suspension of a failing backend server; doubles each time.
        suspend_after: consecutive failures that suspend a backend server.
        max_waiting: maximum number of requests that wait for the pool.
        retry_ratio: maximum ratio of retries to requests.
        spill: where a chat goes if its first choice is full: to the next in its
            ranking, or to the less loaded of the next two.
    """

    bound: Annotated[float, Field(ge=1.05, le=100)] | None = None
    floor: Annotated[int, Field(ge=1, le=1_000)] | None = None
    slots: Annotated[int, Field(ge=1, le=100_000)] | None = None
    reserve: Annotated[float, Field(ge=0, le=0.9)] | None = None
    orphan_hold_s: Seconds | None = None
    suspend_s: Seconds | None = None
    suspend_after: Annotated[int, Field(ge=1)] | None = None
    max_waiting: Annotated[int, Field(ge=0, le=100_000)] | None = None
    retry_ratio: Annotated[float, Field(ge=0, le=1)] | None = None
    spill: Literal["next", "lesser"] | None = None


class RequestRules(_Node):
    """Rules of a request; an unset one is inherited.

    Attributes:
        deadline_s: time after which the request is aborted.
        max_wait_s: maximum wait for a place.
        wait_for_cached_s: maximum wait for the backend server that has the
            chat's prefix cached, before another one is chosen.
        weight: fair share of the pool under contention, relative to other customers.
        priority: passed to engines; a higher value goes first.
        max_in_flight: concurrent requests of a customer in a pool, fleet-wide.
        repeatable: whether a request may run more than once.
        retries: further attempts where nothing may have run.
        failure_domains: restricts the backend servers to these; empty for all.
    """

    deadline_s: Seconds | None = None
    max_wait_s: Seconds | None = None
    wait_for_cached_s: Seconds | None = None
    weight: Annotated[float, Field(gt=0, le=1_000)] | None = None
    priority: Annotated[int, Field(ge=0, le=100)] | None = None
    max_in_flight: Annotated[int, Field(ge=0)] | None = None
    repeatable: bool | None = None
    retries: Annotated[int, Field(ge=0, le=10)] | None = None
    failure_domains: tuple[Name, ...] | None = None


class FleetRules(PoolRules, RequestRules):
    """The root of the tree: rules for everything below.

    Attributes:
        claim_window_s: maximum age of an idempotency key; older ones are refused.
        absent_s: how long a backend server may be missing from the platform's
            list, where VMs can be missing briefly, and still get new requests.
    """

    claim_window_s: Seconds | None = None
    absent_s: Seconds | None = None


class BackendServerNode(_Node):
    """One backend server of a pool.

    Attributes:
        address: ``IP:port``.
        failure_domain: the failure domain that it is in.
        vm: its name in the platform's list of VMs; the entry's name if unset.
    """

    address: Annotated[str, Field(pattern=r"^\[?[0-9a-fA-F.:]+\]?:\d{1,5}$")]
    failure_domain: Name
    vm: str | None = None


class PoolNode(_Node):
    """A pool of backend servers that serve the same requests.

    Attributes:
        backend_servers: the backend servers of the pool, by name.
        reports_load: whether they report load and cache events.
        honours_keys: has no effect, because claims are always made; still
            accepted so that trees that set it stay valid.
        rules: overrides of the fleet's rules.
    """

    backend_servers: dict[Name, BackendServerNode]
    reports_load: bool = False
    honours_keys: bool = False
    rules: PoolRules = PoolRules()


class RouteNode(_Node):
    """Rules for some requests to a plain service.

    Attributes:
        methods: HTTP methods that match; empty for all.
        path: prefix of the path below the service.
        rules: overrides of the service's rules.
    """

    methods: tuple[str, ...] = ()
    path: Annotated[str, Field(pattern=r"^/")] = "/"
    rules: RequestRules = RequestRules()


class ServiceNode(_Node):
    """A service that callers use.

    Attributes:
        kind: model engines or a plain HTTP service.
        pool: the pool that serves it.
        models: model names that select this service (``kind`` ``model``).
        routes: rules for some requests; the first match applies.
        rules: overrides of the fleet's rules.
    """

    kind: ServiceKind
    pool: Name
    models: tuple[str, ...] = ()
    routes: tuple[RouteNode, ...] = ()
    rules: RequestRules = RequestRules()


class CustomerServiceNode(_Node):
    """A customer's overrides for one service."""

    rules: RequestRules = RequestRules()


class CustomerNode(_Node):
    """A customer.

    Attributes:
        key_hashes: SHA-256 in hex of each API key of the customer.
        services: overrides by service; services not listed are allowed too.
        rules: overrides of the services' rules.
    """

    key_hashes: tuple[Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")], ...]
    services: dict[Name, CustomerServiceNode] = {}
    rules: RequestRules = RequestRules()


class PlacementRuleNode(_Node):
    """A rule for requests of some customers to some services.

    Attributes:
        name: shown in explanations.
        services: services that it applies to; empty for all.
        customers: customers that it applies to; empty for all.
        rules: overrides of all levels above.
    """

    name: Name
    services: tuple[Name, ...] = ()
    customers: tuple[Name, ...] = ()
    rules: RequestRules


class SettingsTree(_Node):
    """The complete settings tree, as published on the log.

    Attributes:
        fleet: rules at the root.
        pools: pools of backend servers, by name.
        services: services that callers use, by name.
        customers: customers by name.
        placement_rules: lowest levels of the tree; a later rule overrides.
    """

    fleet: FleetRules = FleetRules()
    pools: dict[Name, PoolNode]
    services: dict[Name, ServiceNode]
    customers: dict[Name, CustomerNode] = {}
    placement_rules: tuple[PlacementRuleNode, ...] = ()

    @model_validator(mode="after")
    def check_references(self) -> SettingsTree:
        """Reject references to unknown names, and duplicate models and API keys."""
        _check_services(self)
        _check_customers(self)
        for rule in self.placement_rules:
            _check_known(rule.services, self.services, f"placement rule {rule.name}")
            _check_known(rule.customers, self.customers, f"placement rule {rule.name}")
        return self


def _check_known(
    names: tuple[str, ...] | dict[str, CustomerServiceNode],
    known: dict[str, ServiceNode] | dict[str, CustomerNode],
    where: str,
) -> None:
    for name in names:
        if name not in known:
            raise ValueError(f"{where}: {name!r} is not one of {sorted(known)}")


def _check_services(tree: SettingsTree) -> None:
    models: dict[str, str] = {}
    for name, service in tree.services.items():
        if service.pool not in tree.pools:
            raise ValueError(
                f"services.{name}.pool: {service.pool!r} is not one of "
                f"{sorted(tree.pools)}"
            )
        for model in service.models:
            if model in models:
                raise ValueError(
                    f"services.{name}.models: {model!r} belongs to {models[model]!r}"
                )
            models[model] = name


def _check_customers(tree: SettingsTree) -> None:
    owners: dict[str, str] = {}
    for name, customer in tree.customers.items():
        _check_known(customer.services, tree.services, f"customers.{name}.services")
        for key_hash in customer.key_hashes:
            if key_hash in owners:
                raise ValueError(
                    f"customers.{name}.key_hashes: a key belongs to "
                    f"{owners[key_hash]!r} already"
                )
            owners[key_hash] = name
