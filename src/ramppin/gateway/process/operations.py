"""Operators' interface of one gateway process: metrics, state and explanations.

Read-only, except that an operator can clear a quarantined request. Answers never
contain a caller's key. The keys of the JSON answers are a stable interface
(features/interfaces).
"""

from __future__ import annotations

import asyncio
import json
import math
from collections import Counter
from collections.abc import Callable

from ramppin.gateway.connection.callerwire import CallerConnection, Responder
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.process.context import NEVER_S, GatewayContext
from ramppin.gateway.process.overload.ticket import RANKS
from ramppin.gateway.process.quarantine.quarantine import list_ends
from ramppin.gateway.process.recovery.follower import FollowedTable
from ramppin.gateway.process.reporting.explanations import Explanations
from ramppin.gateway.process.reporting.exposition import expose
from ramppin.gateway.process.reporting.metrics import MAX_CUSTOMERS, GatewayMetrics
from ramppin.gateway.process.routing.closure import ClosureReason
from ramppin.gateway.process.routing.serverstate import ServerState
from ramppin.gateway.request.fingerprint import format_fingerprint, parse_fingerprint

METRICS_TARGET = b"/metrics"
DUMP_TARGET = b"/dump"
EXPLAIN_PREFIX = b"/explain/"
CLEAR_PREFIX = b"/quarantine/clear/"
"""Followed by a fingerprint; accepts only POST, because it changes state."""

MAX_SUSPECTS = 100
"""Maximum requests and prompt parts with recorded terminations in a dump: first the
quarantined ones, then the newest of the others."""


NONE_WAITING = (0,) * RANKS
"""Waiting requests by rank of a service for which none waits."""


class GatewayState:
    """Gathers the state of a process.

    Args:
        context: shared state of the process.
        tables: the replicas and their followers.
        list_peers: returns the addresses of peers.
        count_homes: returns the number of prefixes that have a home.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        context: GatewayContext,
        tables: tuple[FollowedTable, ...],
        list_peers: Callable[[], list[str]],
        count_homes: Callable[[], int],
    ) -> None:
        self._context = context
        self._tables = tables
        self._list_peers = list_peers
        self._count_homes = count_homes

    def build_dump(self, now: float) -> dict[str, object]:
        """Return the state as JSON-compatible values; times are ages in seconds."""
        context = self._context
        return {
            "version": context.version,
            "stopping": context.drain is not None,
            "in_flight": context.in_flight,
            "tables": {
                table.replica.name: {
                    "position": table.replica.position,
                    "records": len(table.replica),
                    "age_s": _measure_age(now, table.replica.confirmed_at),
                    "log_up": table.follower.reachable,
                }
                for table in self._tables
            },
            "servers": [
                self._describe_server(state, now) for state in context.directory
            ],
            "evacuations": [
                {
                    "domain": evacuation.domain,
                    "offset": evacuation.offset,
                    "age_s": _measure_age(now, evacuation.since),
                }
                for evacuation in context.directory.evacuations
            ],
            "quarantine": self._list_suspects(now),
            "overload": self._describe_overload(now),
            "mixed_builds": context.continuity.history.list_mixed(),
            "stream_origins": len(context.continuity.origins),
            "brittle": [
                {"service": service, "tolerated_per_s": tolerance}
                for service, tolerance in context.brittle.list_brittle(now).items()
            ],
            "paths": [
                {
                    "service": service,
                    "status": context.reachability.find_status(service).value,
                    "failed": sorted(context.reachability.list_failed(service)),
                }
                for service in context.directory.list_services()
            ],
            "peers": self._list_peers(),
            "prefix_homes": self._count_homes(),
            "connections_opened": context.pool.opened,
        }

    def _describe_server(self, state: ServerState, now: float) -> dict[str, object]:
        closure = self._context.gate.find_closure(state, now)
        opens_at = closure.opens_at if closure else None
        return {
            "id": state.server.name,
            "started_ms": state.server.started_ms,
            "service": state.server.service,
            "failure_domain": state.server.failure_domain,
            "open": self._context.directory.accepts_new_requests(state),
            "closed": closure.reason.value if closure else "",
            "opens_s": None if opens_at is None else _round_s(opens_at - now),
            "in_flight": state.in_flight,
            "load": state.find_known_load(now),
            "report_age_s": _round_s(state.load.measure_age(now)),
            "slowness": round(state.speed.find_slowness(now), 2),
            "failure_rate": round(state.health.failure_rate, 2),
            # Public name of the suspect state, kept for operators' tools.
            "aside": state.health.is_suspect(now),
            "shedding_s": _round_s(state.shedding.measure_backoff_s(now)),
            "cold_s": _round_s(state.coldness.measure_remaining_s(now)),
        }

    def _describe_overload(self, now: float) -> list[dict[str, object]]:
        """Return capacity and waiting requests by service; empty while disabled."""
        control = self._context.overload
        if control is None:
            return []
        queues = {queue.service: queue for queue in control.list_queues(now)}
        found: list[dict[str, object]] = []
        for service in self._context.directory.list_services():
            capacity = control.describe_capacity(service, now)
            queue = queues.get(service)
            by_customer = queue.by_customer if queue else {}
            largest = sorted(by_customer.items(), key=lambda item: -item[1])
            found.append(
                {
                    "service": service,
                    "limit": _round_finite(capacity.limit),
                    "held": _round_finite(capacity.held),
                    "free": _round_finite(capacity.free),
                    "share": _round_finite(capacity.share),
                    "source": capacity.source,
                    "age_s": _round_s(capacity.age_s),
                    "waiting_by_rank": queue.by_rank if queue else NONE_WAITING,
                    "waiting_by_customer": [
                        {"customer": customer, "requests": count}
                        for customer, count in largest[:MAX_CUSTOMERS]
                    ],
                    "waiting_bytes": queue.size_bytes if queue else 0,
                    "oldest_wait_s": _round_s(queue.oldest_wait_s) if queue else 0.0,
                }
            )
        return found

    def clear(self, fingerprint: int, now: float) -> bool:
        """Clear a request or part; return whether it had any termination."""
        return self._context.quarantine.clear(fingerprint, now)

    def _list_suspects(self, now: float) -> list[dict[str, object]]:
        quarantine = self._context.quarantine
        refused = quarantine.quarantined
        found = [(key, record) for key, record in quarantine if record.ends]
        found.sort(key=lambda item: (item[0] not in refused, -item[1].last_end_at))
        return [
            {
                "fingerprint": format_fingerprint(key),
                "part": record.part,
                "ends": len(record.ends),
                "counted": record.count_ends(),
                "servers": [end.server for end in list_ends(record)],
                "refused_s": _round_s(
                    quarantine.measure_remaining_refusal_s([key], now)
                ),
                "last_end_age_s": _measure_age(now, record.last_end_at),
                "was_served": record.was_served,
            }
            for key, record in found[:MAX_SUSPECTS]
        ]

    def update(self, metrics: GatewayMetrics, now: float) -> None:
        """Update the gauges from the current state."""
        context = self._context
        metrics.in_flight.set(context.in_flight)
        metrics.version.set(context.version)
        metrics.evacuated_domains.set(len(context.directory.evacuations))
        metrics.homes.set(self._count_homes())
        metrics.quarantined.set(len(context.quarantine.quarantined))
        metrics.connections_opened.set(context.pool.opened)
        for table in self._tables:
            name = table.replica.name
            age = _measure_age(now, table.replica.confirmed_at)
            metrics.record_age_seconds.set(age, name)
            metrics.log_up.set(table.follower.reachable, name)
        for service in context.directory.list_services():
            survey = context.gate.survey(service, now)
            reasons = Counter(closure.reason for closure in survey.closed.values())
            for reason in ClosureReason:
                metrics.closed_servers.set(reasons[reason], service, reason.value)
            states = survey.states
            suspect = sum(state.health.is_suspect(now) for state in states)
            metrics.open_servers.set(len(states), service)
            metrics.suspect_servers.set(suspect, service)
            is_avoided = context.reachability.avoids(service)
            metrics.unreachable_services.set(is_avoided, service)
            cold = sum(state.coldness.is_cold(now) for state in states)
            metrics.cold_servers.set(cold, service)
        self._update_overload(metrics, now)
        memory = context.listener.memory
        metrics.memory_budget.set(memory.budget_bytes if memory else 0)
        metrics.memory_held.set(memory.total_bytes if memory else 0)

    def _update_overload(self, metrics: GatewayMetrics, now: float) -> None:
        """Update the gauges of overload control; remove those of the past."""
        control = self._context.overload
        if control is None:
            for gauge in (
                metrics.waiting_requests,
                metrics.service_limit,
                metrics.service_held,
                metrics.service_share,
            ):
                gauge.values.clear()
            return
        waiting = {queue.service: queue.by_rank for queue in control.list_queues(now)}
        for service in self._context.directory.list_services():
            for rank, count in enumerate(waiting.get(service, NONE_WAITING)):
                metrics.waiting_requests.set(count, service, str(rank))
            capacity = control.describe_capacity(service, now)
            metrics.service_limit.set(capacity.limit, service)
            metrics.service_held.set(capacity.held, service)
            metrics.service_share.set(capacity.share, service)


class OperationsResponder(Responder):
    """Responds to operators' requests.

    Args:
        connection: the operator's connection.
        state: state of the process.
        metrics: metrics of the process.
        explanations: the decisions of the last requests.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        connection: CallerConnection,
        state: GatewayState,
        metrics: GatewayMetrics,
        explanations: Explanations,
    ) -> None:
        self._connection = connection
        self._state = state
        self._metrics = metrics
        self._explanations = explanations

    def accept_request(self, request: CallerRequest) -> None:
        """Respond to a request immediately."""
        now = asyncio.get_running_loop().time()
        if request.target == METRICS_TARGET:
            self._state.update(self._metrics, now)
            exposition = expose(self._metrics)
            self._send(exposition.body, exposition.content_type)
        elif request.target == DUMP_TARGET:
            self._send_json(self._state.build_dump(now))
        elif request.target.startswith(EXPLAIN_PREFIX):
            request_id = request.target[len(EXPLAIN_PREFIX) :].decode("latin-1")
            found = self._explanations.find(request_id)
            self._send_json({"request_id": request_id, "decisions": found})
        elif request.target.startswith(CLEAR_PREFIX):
            self._clear(request, now)
        else:
            self._connection.send_answer(404, [], b"")

    def accept_disconnect(self) -> None:
        """Do nothing, as no request is pending here."""

    def accept_backpressure(self, *, paused: bool) -> None:
        """Do nothing, as answers here are small."""

    def end_request(self) -> None:
        """Do nothing: requests are answered at once."""

    def _clear(self, request: CallerRequest, now: float) -> None:
        """Clear a quarantined request if method and fingerprint are valid."""
        if request.method != b"POST":
            self._connection.send_answer(405, [(b"Allow", b"POST")], b"")
            return
        text = request.target[len(CLEAR_PREFIX) :].decode("latin-1")
        fingerprint = parse_fingerprint(text)
        if fingerprint is None:
            message = b"a fingerprint is 16 hex digits, as lines show it\n"
            self._connection.send_answer(400, [], message)
            return
        was_known = self._state.clear(fingerprint, now)
        self._send_json({"fingerprint": text, "cleared": was_known})

    def _send_json(self, value: object) -> None:
        self._send(json.dumps(value).encode(), "application/json")

    def _send(self, body: bytes, content_type: str) -> None:
        headers = [(b"Content-Type", content_type.encode())]
        self._connection.send_answer(200, headers, body)


def _measure_age(now: float, moment: float) -> float:
    return _round_s(now - moment)


def _round_s(seconds: float) -> float:
    return round(min(NEVER_S, seconds), 2)


def _round_finite(value: float) -> float | None:
    """Return a rounded number; None if it is not finite, which JSON can't express."""
    return round(value, 2) if math.isfinite(value) else None
