"""Inheritance of rules: which level of the settings tree supplies each rule.

Levels from the root down: the fleet, then for a pool's rules the pool; for a
request's rules the service, its route, the customer, the customer's node for
the service, and the placement rules in order. The lowest level that sets a
rule supplies its value.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from ramppin.router.version.schema import (
    FleetRules,
    PoolRules,
    RequestRules,
    RouteNode,
    ServiceKind,
    SettingsTree,
)

DEFAULTS = FleetRules(
    bound=1.25,
    floor=1,
    slots=16,
    reserve=0.1,
    orphan_hold_s=10.0,
    suspend_s=1.0,
    suspend_after=3,
    max_waiting=512,
    retry_ratio=0.2,
    spill="lesser",
    deadline_s=60.0,
    max_wait_s=5.0,
    wait_for_cached_s=0.25,
    weight=1.0,
    priority=0,
    max_in_flight=0,
    repeatable=True,
    retries=2,
    failure_domains=(),
    claim_window_s=600.0,
    absent_s=3.0,
)
"""Values of the rules that no level of the tree sets."""

DEFAULT_LEVEL = "defaults"


@dataclass(frozen=True, slots=True)
class RuleSource:
    """The origin of the value of a rule.

    Attributes:
        rule: name of the rule.
        value: its value.
        path: dotted path of the value in the settings tree.
        level: name of the level that sets it, for instance ``"customer"``.
    """

    rule: str
    value: object
    path: str
    level: str


@dataclass(frozen=True, slots=True)
class PoolPolicy:
    """The rules in force for a pool. Units as in :class:`PoolRules`."""

    bound: float
    floor: int
    slots: int
    reserve: float
    orphan_hold_s: float
    suspend_s: float
    suspend_after: int
    max_waiting: int
    retry_ratio: float
    spill: str
    sources: tuple[RuleSource, ...] = field(default=(), compare=False)


@dataclass(frozen=True, slots=True)
class RequestPolicy:
    """The rules in force for a request. Units as in :class:`RequestRules`."""

    deadline_s: float
    max_wait_s: float
    wait_for_cached_s: float
    weight: float
    priority: int
    max_in_flight: int
    repeatable: bool
    retries: int
    failure_domains: tuple[str, ...]
    sources: tuple[RuleSource, ...] = field(default=(), compare=False)


@dataclass(frozen=True, slots=True)
class _Level:
    name: str
    path: str
    rules: PoolRules | RequestRules


def hash_key(key: str) -> str:
    """Return the hash under which the settings store an API key."""
    return hashlib.sha256(key.encode()).hexdigest()


class Settings:
    """One accepted version of the settings tree, with lookups for requests.

    Args:
        version: offset in the log of the record that created this version.
        tree: the validated settings tree.

    .. versionadded:: 0.1
    """

    def __init__(self, version: int, tree: SettingsTree) -> None:
        self.version = version
        self.tree = tree
        self._customers = {
            key_hash: name
            for name, customer in tree.customers.items()
            for key_hash in customer.key_hashes
        }
        self._models = {
            model: name
            for name, service in tree.services.items()
            for model in service.models
        }
        self._pools: dict[str, PoolPolicy] = {}
        self._requests: dict[tuple[str, str, int], RequestPolicy] = {}

    @property
    def models(self) -> tuple[str, ...]:
        """Names of all models that requests can select, sorted."""
        return tuple(sorted(self._models))

    def find_customer(self, key: str) -> str | None:
        """Return the customer that owns an API key, or None."""
        return self._customers.get(hash_key(key))

    def find_model_service(self, model: str) -> str | None:
        """Return the service that serves a model, or None."""
        return self._models.get(model)

    def find_plain_service(self, service: str) -> str | None:
        """Return the service if it is a plain HTTP service, or None."""
        node = self.tree.services.get(service)
        return service if node and node.kind is ServiceKind.PLAIN else None

    def find_route(self, service: str, method: str, path: str) -> int:
        """Return the index of the first route that matches, or -1."""
        for index, route in enumerate(self.tree.services[service].routes):
            if _matches(route, method, path):
                return index
        return -1

    def resolve_pool(self, pool: str) -> PoolPolicy:
        """Return the rules in force for a pool."""
        if pool not in self._pools:
            node = self.tree.pools[pool]
            levels = [
                _Level(DEFAULT_LEVEL, DEFAULT_LEVEL, DEFAULTS),
                _Level("fleet", "fleet", self.tree.fleet),
                _Level("pool", f"pools.{pool}.rules", node.rules),
            ]
            found = _inherit(levels, PoolRules.model_fields)
            values = {source.rule: source.value for source in found}
            self._pools[pool] = PoolPolicy(**values, sources=found)  # type: ignore[arg-type]
        return self._pools[pool]

    def resolve_request(
        self, service: str, customer: str, route: int = -1
    ) -> RequestPolicy:
        """Return the rules in force for a request.

        Args:
            service: the service that the request is for.
            customer: the customer that sent the request.
            route: index of the route, as :meth:`find_route` returns it.
        """
        key = (service, customer, route)
        if key not in self._requests:
            found = _inherit(
                self._list_levels(service, customer, route), RequestRules.model_fields
            )
            values = {source.rule: source.value for source in found}
            self._requests[key] = RequestPolicy(**values, sources=found)  # type: ignore[arg-type]
        return self._requests[key]

    @property
    def claim_window_s(self) -> float:
        """Maximum age of an idempotency key, in seconds."""
        return _or_default(self.tree.fleet.claim_window_s, DEFAULTS.claim_window_s)

    @property
    def absent_s(self) -> float:
        """Seconds for which a backend server may be missing from the list of VMs."""
        return _or_default(self.tree.fleet.absent_s, DEFAULTS.absent_s)

    def _list_levels(self, service: str, customer: str, route: int) -> list[_Level]:
        node = self.tree.services[service]
        levels = [
            _Level(DEFAULT_LEVEL, DEFAULT_LEVEL, DEFAULTS),
            _Level("fleet", "fleet", self.tree.fleet),
            _Level("service", f"services.{service}.rules", node.rules),
        ]
        if route >= 0:
            path = f"services.{service}.routes.{route}.rules"
            levels.append(_Level("route", path, node.routes[route].rules))
        owner = self.tree.customers.get(customer)
        if owner:
            path = f"customers.{customer}"
            levels.append(_Level("customer", f"{path}.rules", owner.rules))
            if service in owner.services:
                path = f"{path}.services.{service}.rules"
                rules = owner.services[service].rules
                levels.append(_Level("customer service", path, rules))
        levels.extend(self._list_placement_levels(service, customer))
        return levels

    def _list_placement_levels(self, service: str, customer: str) -> list[_Level]:
        return [
            _Level("placement rule", f"placement_rules.{index}.rules", rule.rules)
            for index, rule in enumerate(self.tree.placement_rules)
            if (not rule.services or service in rule.services)
            and (not rule.customers or customer in rule.customers)
        ]


def _matches(route: RouteNode, method: str, path: str) -> bool:
    if route.methods and method not in route.methods:
        return False
    prefix = route.path.rstrip("/")
    return path == prefix or path.startswith(f"{prefix}/")


def _inherit(levels: list[_Level], rules: Iterable[str]) -> tuple[RuleSource, ...]:
    found = []
    for rule in rules:
        for level in reversed(levels):
            value = getattr(level.rules, rule, None)
            if value is not None:
                found.append(
                    RuleSource(rule, value, f"{level.path}.{rule}", level.name)
                )
                break
    return tuple(found)


def _or_default(value: float | None, default: float | None) -> float:
    return value if value is not None else default or 0.0
