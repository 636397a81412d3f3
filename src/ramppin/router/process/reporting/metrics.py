"""The metrics of one router process, by Prometheus conventions."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from ramppin.router.connection.links import Meter

LATENCY_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5)
"""Upper bounds of the histograms' buckets, in seconds."""


class Metrics:
    """The metrics of a process; each process has a registry of its own.

    Args:
        meter: counts the messages between VMs.
    """

    def __init__(self, meter: Meter) -> None:
        self.registry = CollectorRegistry()
        registry = self.registry
        self.requests = Counter(
            "ramppin_requests_total",
            "Requests by service and outcome.",
            ["service", "outcome", "code"],
            registry=registry,
        )
        self.place_seconds = Histogram(
            "ramppin_place_seconds",
            "Time from a request's arrival to its place.",
            ["service"],
            buckets=LATENCY_BUCKETS,
            registry=registry,
        )
        self.first_byte_seconds = Histogram(
            "ramppin_first_byte_seconds",
            "Time from a request's arrival to its answer's head.",
            ["service"],
            buckets=LATENCY_BUCKETS,
            registry=registry,
        )
        self.placements = Counter(
            "ramppin_placements_total",
            "Places by shard and reason.",
            ["shard", "reason"],
            registry=registry,
        )
        self.retries = Counter(
            "ramppin_retries_total", "Further attempts.", ["service"], registry=registry
        )
        self.in_flight = Gauge(
            "ramppin_requests_in_flight", "Requests in flight.", registry=registry
        )
        self.version = Gauge(
            "ramppin_settings_version", "Settings' version in force.", registry=registry
        )
        self.log_up = Gauge(
            "ramppin_log_up", "Whether the log can be read.", registry=registry
        )
        self.log_appends = Counter(
            "ramppin_log_appends_total", "Appends.", ["stream"], registry=registry
        )
        self.denied = Counter(
            "ramppin_denied_total", "Strangers.", ["listener"], registry=registry
        )
        registry.register(_MeterCollector(meter))


class _MeterCollector(Collector):
    def __init__(self, meter: Meter) -> None:
        self._meter = meter

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield the link counters."""
        size = CounterMetricFamily(
            "ramppin_link_bytes",
            "Bytes between VMs by direction and kind of message.",
            labels=["direction", "kind"],
        )
        count = CounterMetricFamily(
            "ramppin_link_messages",
            "Messages between VMs by direction and kind.",
            labels=["direction", "kind"],
        )
        for key, value in self._meter.bytes.items():
            size.add_metric(list(key), value)
        for key, value in self._meter.messages.items():
            count.add_metric(list(key), value)
        yield size
        yield count
