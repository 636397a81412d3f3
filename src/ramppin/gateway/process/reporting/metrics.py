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
        self.add(1.0, *labels)

    def add(self, amount: float, *labels: str) -> None:
        """Add an amount."""
        self.values[labels] = self.values.get(labels, 0.0) + amount


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


MAX_CUSTOMERS = 20
"""Customers that have a label of their own; the others are counted together."""

MAX_TOTALS = 1_000
"""Customers whose total is kept. Beyond it, that of the customer with the least is
dropped."""

OTHER = "other"
"""Label of the customers without one of their own, and of public routes."""


class CustomerTally(CounterTally):
    """A counter by customer that has a label for those with the most only.

    Values never decrease: a customer that gets a label starts at zero, and one that
    loses it is no longer listed.

    Args:
        name: the metric's name.
        documentation: what it counts, for operators.
    """

    def __init__(self, name: str, documentation: str) -> None:
        super().__init__(name, documentation, ("customer",))
        self._totals: dict[str, float] = {}
        self._labelled: set[str] = set()

    def add(self, amount: float, *labels: str) -> None:
        """Add an amount for a customer; an empty name counts as other."""
        customer = labels[0]
        if not customer:
            super().add(amount, OTHER)
            return
        total = self._totals[customer] = self._totals.get(customer, 0.0) + amount
        if customer not in self._labelled:
            self._label(customer, total)
        super().add(amount, customer if customer in self._labelled else OTHER)

    def _label(self, customer: str, total: float) -> None:
        """Give a customer a label if its total is among the largest."""
        if len(self._labelled) >= MAX_CUSTOMERS:
            least = min(self._labelled, key=self._totals.__getitem__)
            if self._totals[least] >= total:
                self._limit_totals()
                return
            self._labelled.remove(least)
            self.values.pop((least,), None)
        self._labelled.add(customer)

    def _limit_totals(self) -> None:
        if len(self._totals) > MAX_TOTALS:
            del self._totals[min(self._totals, key=self._totals.__getitem__)]


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
        self._measure_overload()
        self._measure_paths()
        self._measure_memory()

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
        self.retries = CounterTally(
            "ramppin_gateway_retries_total",
            "Retries that the fleet's budget allowed.",
            ("service",),
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

    def _measure_overload(self) -> None:
        self.waiting_requests = GaugeTally(
            "ramppin_gateway_waiting_requests",
            "Requests that wait for their turn at this VM, by service and rank.",
            ("service", "rank"),
        )
        self.wait_seconds = HistogramTally(
            "ramppin_gateway_wait_seconds",
            "Time for which started requests waited for their turn, by service.",
            ("service",),
            SECONDS_BUCKETS,
        )
        self.overload_refusals = CounterTally(
            "ramppin_gateway_overload_refusals_total",
            "Requests refused by overload control, by service, rule and rank.",
            ("service", "rule", "rank"),
        )
        self.displaced = CounterTally(
            "ramppin_gateway_displaced_total",
            "Waiting requests refused in favour of others, by service.",
            ("service",),
        )
        self.service_limit = GaugeTally(
            "ramppin_gateway_service_limit",
            "Requests that the servers of a service may hold.",
            ("service",),
        )
        self.service_held = GaugeTally(
            "ramppin_gateway_service_held",
            "Requests that the servers of a service hold, as this VM estimates.",
            ("service",),
        )
        self.service_share = GaugeTally(
            "ramppin_gateway_service_share",
            "Requests of a service that this VM may start now.",
            ("service",),
        )
        self.customer_work = CustomerTally(
            "ramppin_gateway_customer_work_seconds_total",
            "Time for which servers held the requests of a customer.",
        )

    def _measure_paths(self) -> None:
        self.takeups = CounterTally(
            "ramppin_gateway_takeups_total",
            "Requests that take a stream up, by service and whether it may go on.",
            ("service", "result"),
        )
        self.forwarded = CounterTally(
            "ramppin_gateway_forwarded_total",
            "Attempts through another VM by service and end.",
            ("service", "end"),
        )
        self.unreachable_services = GaugeTally(
            "ramppin_gateway_path_lost",
            "Whether requests to a service take the path through another VM.",
            ("service",),
        )

    def _measure_memory(self) -> None:
        self.memory_budget = GaugeTally(
            "ramppin_gateway_memory_budget_bytes",
            "Memory budget for buffered requests and answers; 0 if there is none.",
        )
        self.memory_held = GaugeTally(
            "ramppin_gateway_memory_held_bytes",
            "Bytes of requests and answers that connections hold under the budget.",
        )
        self.memory_pauses = CounterTally(
            "ramppin_gateway_memory_pauses_total",
            "Times that reading an answer from its server was paused by the budget.",
        )
        self.memory_aborts = CounterTally(
            "ramppin_gateway_memory_aborts_total",
            "Connections closed by the budget, by the side that read too slowly.",
            ("peer",),
        )
        self.unanswered = CounterTally(
            "ramppin_gateway_unanswered_total",
            "Requests that were read and lost their connection before their answer.",
            ("reason",),
        )
