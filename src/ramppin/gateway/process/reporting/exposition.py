"""Writes a gateway's metrics in the Prometheus text format.

prometheus_client is imported at the first scrape (see :mod:`~.metrics`), which takes
about 0.1 s longer on a small VM.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import accumulate
from typing import TYPE_CHECKING

from ramppin.gateway.process.reporting.metrics import (
    CounterTally,
    GatewayMetrics,
    GaugeTally,
    HistogramTally,
    Tally,
)

if TYPE_CHECKING:
    from prometheus_client import Metric


@dataclass(frozen=True, slots=True)
class Exposition:
    """Metrics in the text format.

    Attributes:
        body: the encoded text.
        content_type: the value of the ``Content-Type`` header.
    """

    body: bytes
    content_type: str


class MetricsCollector:
    """Converts tallies to metric families of prometheus_client.

    Args:
        metrics: the tallies.
    """

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield a family for each metric."""
        for tally in self._metrics.list_tallies():
            yield build_family(tally)


def build_family(tally: Tally) -> Metric:
    """Return a tally as a metric family of prometheus_client."""
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

    if isinstance(tally, HistogramTally):
        return _build_histogram(tally)
    if isinstance(tally, CounterTally):
        counter = CounterMetricFamily(
            tally.name, tally.documentation, labels=tally.labels
        )
        for labels, value in tally.values.items():
            counter.add_metric(labels, value)
        return counter
    assert isinstance(tally, GaugeTally)
    gauge = GaugeMetricFamily(tally.name, tally.documentation, labels=tally.labels)
    for labels, value in tally.values.items():
        gauge.add_metric(labels, value)
    return gauge


def _build_histogram(tally: HistogramTally) -> Metric:
    from prometheus_client.core import HistogramMetricFamily

    family = HistogramMetricFamily(tally.name, tally.documentation, labels=tally.labels)
    bounds = [*map(str, tally.buckets), "+Inf"]
    for labels, counts in tally.counts.items():
        buckets = list(zip(bounds, accumulate(counts), strict=True))
        family.add_metric(labels, buckets, sum_value=tally.sums[labels])
    return family


def expose(metrics: GatewayMetrics) -> Exposition:
    """Return metrics in the Prometheus text format."""
    from prometheus_client import CollectorRegistry
    from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

    registry = CollectorRegistry()
    registry.register(MetricsCollector(metrics))
    return Exposition(generate_latest(registry), CONTENT_TYPE_LATEST)
