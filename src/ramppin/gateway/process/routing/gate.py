"""Determines which backend servers of a service accept requests from this VM now.

Combines all conditions that close a server (:mod:`~.closure`) and is evaluated before
each selection. It holds no state: closures that last come from the directory, those of
cold servers from this VM's quota. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from ramppin.gateway.process.limits.coldquota import ColdQuota
from ramppin.gateway.process.routing.closure import (
    Closure,
    ClosureReason,
    find_lasting_closure,
)
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.serverstate import ServerState

MAX_LISTED_CLOSURES = 8
"""Maximum number of closed servers listed in one log line."""


@dataclass(frozen=True, slots=True)
class ServiceSurvey:
    """The servers of one service at one moment.

    Attributes:
        states: servers without a lasting closure; loads are measured over them.
        closed: closures by server id; a server without one is open.
    """

    states: list[ServerState]
    closed: dict[str, Closure]

    def list_open(self) -> list[ServerState]:
        """Return the servers that accept requests now."""
        return [state for state in self.states if state.id not in self.closed]

    def list_reasons(self, tried: Collection[str]) -> set[ClosureReason]:
        """Return why the servers that a request has not tried are closed.

        If no server is open, the tried ones are included: they would reject the
        request again.

        Args:
            tried: ids of the servers that the request has tried.
        """
        skipped = tried if self.list_open() else ()
        return {c.reason for name, c in self.closed.items() if name not in skipped}

    def list_closure_labels(self) -> tuple[str, ...]:
        """Return labels ``REASON:ID`` of closed servers, at most the first few."""
        found = sorted(f"{c.reason.value}:{name}" for name, c in self.closed.items())
        return tuple(found[:MAX_LISTED_CLOSURES])

    def find_earliest_reopening(self) -> Closure | None:
        """Return the closure that ends first, among those with a known end."""
        ending = [c for c in self.closed.values() if c.opens_at is not None]
        return min(ending, key=lambda closure: closure.opens_at or 0.0, default=None)


class ServerGate:
    """Determines which servers accept requests from this VM.

    Args:
        directory: the backend servers.
        cold_quota: requests that this VM may send to cold servers.
        find_cold_rate: returns how many requests per second a cold server of a
            service accepts; 0 for no limit.
        find_rejecting_end: returns when a brittle server that rejects requests may get
            one, or None.

    .. versionadded:: 0.3
    """

    def __init__(
        self,
        directory: ServerDirectory,
        cold_quota: ColdQuota,
        find_cold_rate: Callable[[str], float],
        find_rejecting_end: Callable[[ServerState, float], float | None] = (
            lambda state, now: None
        ),
    ) -> None:
        self._directory = directory
        self._cold_quota = cold_quota
        self._find_cold_rate = find_cold_rate
        self._find_rejecting_end = find_rejecting_end

    def survey(self, service: str, now: float) -> ServiceSurvey:
        """Return the servers of a service, and which of them are closed.

        Args:
            service: name of the service.
            now: event-loop time.
        """
        states, closed = [], {}
        cold_per_s = self._find_cold_rate(service)
        for state in self._directory.list_service(service):
            closure = self.find_closure(state, now)
            if closure is None or closure.reason is ClosureReason.RESTING:
                states.append(state)
            if closure is None:
                closure = self._find_cold_closure(state, cold_per_s, now)
            if closure is not None:
                closed[state.id] = closure
        return ServiceSurvey(states, closed)

    def find_closure(self, state: ServerState, now: float) -> Closure | None:
        """Return the closure of a server, or None; the cold quota is not considered.

        Args:
            state: the server, for which this VM has taken any quota that it needs.
            now: event-loop time.
        """
        lasting = find_lasting_closure(state, self._directory.evacuations)
        if lasting is not None:
            return Closure(lasting)
        until = state.notices.find_backoff_end(now)
        if until is None:
            until = self._find_rejecting_end(state, now)
        return None if until is None else Closure(ClosureReason.RESTING, until)

    def _find_cold_closure(
        self, state: ServerState, per_s: float, now: float
    ) -> Closure | None:
        """Return the closure of a cold server for which this VM has no quota left."""
        if not per_s or not state.coldness.is_cold(now):
            return None
        if self._cold_quota.count_remaining(state.id, per_s, now) >= 1:
            return None
        wait_s = self._cold_quota.measure_wait_s(per_s)
        return Closure(ClosureReason.COLD, now + wait_s)
