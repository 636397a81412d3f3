"""The metrics of one gateway process, named by the conventions of Prometheus.

Names and labels are part of the interface to operators (features/interfaces). Values
are kept as plain numbers and converted by prometheus_client when they are scraped: its
import would slow down each start, and most VMs are not scraped.
"""

from __future__ import annotations

from bisect import bisect_left

SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
"""Upper bounds of the histogram's buckets, in seconds; they cover usual deadlines."""

LabelValues = tuple[str, ...]


class Tally:
    """The values of a metric, by the values of its labels.

    Args:
        name: the metric's name.
        documentation: what it counts, for operators.
        labels: names of its labels.
    """

    def __init__(
        self, name: str, documentation: str, labels: tuple[str, ...] = ()
    ) -> None:
        self.name = name
        self.documentation = documentation
        self.labels = labels


class CounterTally(Tally):
    """A counter of events."""

    def __init__(
        self, name: str, documentation: str, labels: tuple[str, ...] = ()
    ) -> None:
        super().__init__(name, documentation, labels)
        self.values: dict[LabelValues, float] = {}

    def inc(self, *labels: str) -> None:
        """Count one event."""
        self.values[labels] = self.values.get(labels, 0.0) + 1.0


class GaugeTally(Tally):
    """A gauge, which keeps the last value."""

    def __init__(
        self, name: str, documentation: str, labels: tuple[str, ...] = ()
    ) -> None:
        super().__init__(name, documentation, labels)
        self.values: dict[LabelValues, float] = {}

    def set(self, value: float, *labels: str) -> None:
        """Set the value."""
        self.values[labels] = float(value)


class HistogramTally(Tally):
    """A histogram of values.

    Args:
        name: the metric's name.
        documentation: what it counts, for operators.
        labels: names of its labels.
        buckets: ascending upper bounds; an unbounded bucket follows them.
    """

    def __init__(
        self,
        name: str,
        documentation: str,
        labels: tuple[str, ...],
        buckets: tuple[float, ...],
    ) -> None:
        super().__init__(name, documentation, labels)
        self.buckets = buckets
        self.counts: dict[LabelValues, list[int]] = {}
        self.sums: dict[LabelValues, float] = {}

    def observe(self, value: float, *labels: str) -> None:
        """Count a value."""
        counts = self.counts.get(labels)
        if counts is None:
            counts = self.counts[labels] = [0] * (len(self.buckets) + 1)
        counts[bisect_left(self.buckets, value)] += 1
        self.sums[labels] = self.sums.get(labels, 0.0) + value


class GatewayMetrics:
    """The metrics of a gateway process.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._count_requests()
        self._count_events()
        self._measure_process()
        self._measure_tables()
        self._measure_servers()

    def list_tallies(self) -> list[Tally]:
        """Return all metrics."""
        return [value for value in vars(self).values() if isinstance(value, Tally)]

    def _count_requests(self) -> None:
        self.requests = CounterTally(
            "ramppin_gateway_requests_total",
            "Requests by service and final status; 0 if the caller disconnected.",
            ("service", "status"),
        )
        self.attempts = CounterTally(
            "ramppin_gateway_attempts_total",
            "Attempts at backend servers by service and end.",
            ("service", "end"),
        )
        self.first_byte_seconds = HistogramTally(
            "ramppin_gateway_first_byte_seconds",
            "Time from a request's arrival to the first byte of its answer.",
            ("service",),
            SECONDS_BUCKETS,
        )
        self.retries_refused = CounterTally(
            "ramppin_gateway_retries_refused_total",
            "Retries that the fleet's budget did not allow.",
            ("service",),
        )

    def _count_events(self) -> None:
        self.log_calls = CounterTally(
            "ramppin_gateway_log_calls_total",
            "Calls to the shared log by table, kind and outcome.",
            ("table", "call", "outcome"),
        )
        self.refused_entries = CounterTally(
            "ramppin_gateway_refused_entries_total",
            "Entries of the shared log that could not be read, by table.",
            ("table",),
        )
        self.stalls = CounterTally(
            "ramppin_gateway_stalls_total",
            "Turns of the process that came late by 0.1 s or more.",
        )
        self.quarantine_changes = CounterTally(
            "ramppin_gateway_quarantine_changes_total",
            "Requests that were quarantined, tried and cleared, by change.",
            ("change",),
        )
        self.server_words = CounterTally(
            "ramppin_gateway_server_words_total",
            "Servers that said in answers what closes them, by word and source.",
            ("word", "source"),
        )

    def _measure_process(self) -> None:
        self.in_flight = GaugeTally(
            "ramppin_gateway_requests_in_flight", "Requests in flight."
        )
        self.version = GaugeTally(
            "ramppin_gateway_settings_version",
            "Version of the settings in force; -1 before the first.",
        )

    def _measure_tables(self) -> None:
        self.record_age_seconds = GaugeTally(
            "ramppin_gateway_record_age_seconds",
            "Time since a table was last known to be current.",
            ("table",),
        )
        self.log_up = GaugeTally(
            "ramppin_gateway_log_up",
            "Whether the last read of a table succeeded.",
            ("table",),
        )

    def _measure_servers(self) -> None:
        self.open_servers = GaugeTally(
            "ramppin_gateway_open_servers",
            "Backend servers that may get new work, by service.",
            ("service",),
        )
        self.suspect_servers = GaugeTally(
            "ramppin_gateway_servers_aside",
            "Open backend servers that are ejected or unresponsive, by service.",
            ("service",),
        )
        self.cold_servers = GaugeTally(
            "ramppin_gateway_cold_servers",
            "Open backend servers that are cold, by service.",
            ("service",),
        )
        self.closed_servers = GaugeTally(
            "ramppin_gateway_closed_servers",
            "Backend servers that get nothing from this VM now, by service and reason.",
            ("service", "reason"),
        )
        self.evacuated_domains = GaugeTally(
            "ramppin_gateway_evacuated_domains",
            "Failure domains that the operator has emptied.",
        )
        self.homes = GaugeTally(
            "ramppin_gateway_prefix_homes",
            "Prefixes whose backend server is known.",
        )
        self.quarantined = GaugeTally(
            "ramppin_gateway_quarantined_requests",
            "Requests that are refused since backend servers ended under them.",
        )
        self.connections_opened = GaugeTally(
            "ramppin_gateway_connections_opened",
            "Connections opened to backend servers since the start.",
        )
