"""Configuration of one gateway process, validated by the code that reads it.

Built from ramppin's own file format (:mod:`~.settingsfile`) or by an adapter.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ramppin.gateway.connection.httpwire import HeaderNames
from ramppin.gateway.process.limits.coldquota import ColdRules
from ramppin.gateway.process.limits.drain import DrainTimes
from ramppin.gateway.process.limits.retrybudget import RetryRules
from ramppin.gateway.process.overload.rules import OverloadRules
from ramppin.gateway.process.recovery.entryorder import DEFAULT_HEARTBEAT_S


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and port to listen on; port 0 picks a free one."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """Configuration of one gateway process.

    Attributes:
        vm: name of the VM.
        failure_domain: the failure domain in which it runs.
        callers: address for callers.
        readiness: address for the load balancer's readiness probe.
        peers: address for datagrams from other VMs; the same port on every VM.
        records: address for peers' record requests; the same port on every VM.
        operations: address for operators; None for no such listener.
        seeds: addresses of some VMs of the fleet, which may be stale.
        names: names of headers.
        ready_path: path of the readiness probe.
        report_path: path at which a backend server reports when it started; empty if
            servers report nothing.
        report_start: name of that field, the Unix time in milliseconds.
        settings_key: key of the record that holds the routing settings.
        weight: relative capacity of this VM, in any unit.
        server_pace_s: seconds between two reads of the backend servers' table; 0.8
            keeps a change within the bound of 2.
        heartbeat_s: seconds between two entries that a backend server writes.
        settings_wait_s: longest wait in seconds of one read of the settings' table.
        settings_bound_s: seconds within which accepted settings, and the evacuation
            of a failure domain, must be in effect.
        leaving_bound_s: seconds after which a leaving server gets no new requests.
        retry_rules: the fleet's retry budget, and this VM's share.
        cold_rules: limits for cold servers, in addition to the service's rate.
        drain_times: time limits of a planned stop.
        overload: rules of overload control, unless the routing settings contain some;
            None if it is disabled.
        brittle_overload: rules of overload control for services with brittle servers,
            unless the other rules enable it.
        memory_limit_bytes: memory that the process may use; None if unknown.
        is_first_start: whether the fleet starts for the first time ever.
        seed: seed of the random number generator.
    """

    vm: str
    failure_domain: str
    callers: Address
    readiness: Address
    peers: Address
    records: Address
    operations: Address | None = None
    seeds: tuple[str, ...] = ()
    names: HeaderNames = field(default_factory=HeaderNames)
    ready_path: bytes = b"/ready"
    report_path: bytes = b""
    report_start: str = "started_ms"
    settings_key: str = "settings"
    weight: float = 1.0
    server_pace_s: float = 0.8
    heartbeat_s: float = DEFAULT_HEARTBEAT_S
    settings_wait_s: float = 2.0
    settings_bound_s: float = 2.0
    leaving_bound_s: float = 2.0
    retry_rules: RetryRules = field(default_factory=RetryRules)
    cold_rules: ColdRules = field(default_factory=ColdRules)
    drain_times: DrainTimes = field(default_factory=DrainTimes)
    overload: OverloadRules | None = None
    brittle_overload: OverloadRules = field(
        default_factory=lambda: OverloadRules(enabled=True)
    )
    memory_limit_bytes: int | None = None
    is_first_start: bool = False
    seed: int | None = None
