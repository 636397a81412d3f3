"""The metrics of one gateway process, by Prometheus conventions.

Names and labels are an interface of operators (features/interfaces).
"""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
"""Upper bounds of the histogram's buckets, in seconds: up to the longest deadline of
the sites played."""


class GatewayMetrics:
    """Metrics of a process; each process has a registry of its own.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        registry = self.registry
        self.requests = Counter(
            "ramppin_gateway_requests_total",
            "Requests by service and final status; 0 if the caller disconnected.",
            ["service", "status"],
            registry=registry,
        )
        self.attempts = Counter(
            "ramppin_gateway_attempts_total",
            "Attempts at backend servers by service and end.",
            ["service", "end"],
            registry=registry,
        )
        self.first_byte_seconds = Histogram(
            "ramppin_gateway_first_byte_seconds",
            "Time from a request's arrival to the first byte of its answer.",
            ["service"],
            buckets=SECONDS_BUCKETS,
            registry=registry,
        )
        self.retries_refused = Counter(
            "ramppin_gateway_retries_refused_total",
            "Retries that the fleet's budget did not allow.",
            ["service"],
            registry=registry,
        )
        self.in_flight = Gauge(
            "ramppin_gateway_requests_in_flight",
            "Requests in flight.",
            registry=registry,
        )
        self.version = Gauge(
            "ramppin_gateway_settings_version",
            "Version of the settings in force; -1 before the first.",
            registry=registry,
        )
        self.record_age_seconds = Gauge(
            "ramppin_gateway_record_age_seconds",
            "Time since a table was last known to be current.",
            ["table"],
            registry=registry,
        )
        self.log_up = Gauge(
            "ramppin_gateway_log_up",
            "Whether the last read of a table succeeded.",
            ["table"],
            registry=registry,
        )
        self.log_calls = Counter(
            "ramppin_gateway_log_calls_total",
            "Calls to the shared log by table, kind and outcome.",
            ["table", "call", "outcome"],
            registry=registry,
        )
        self.open_servers = Gauge(
            "ramppin_gateway_open_servers",
            "Backend servers that may get new work, by service.",
            ["service"],
            registry=registry,
        )
        self.suspect_servers = Gauge(
            "ramppin_gateway_servers_aside",
            "Open backend servers that are ejected or unresponsive, by service.",
            ["service"],
            registry=registry,
        )
        self.homes = Gauge(
            "ramppin_gateway_prefix_homes",
            "Prefixes whose backend server is known.",
            registry=registry,
        )
        self.connections_opened = Gauge(
            "ramppin_gateway_connections_opened",
            "Connections opened to backend servers since the start.",
            registry=registry,
        )
