"""Which backend servers of a service take requests from this VM now.

The one place that joins all that closes a server (:mod:`~.closure`), asked before each
choice. Owns nothing; relies on the directory for what lasts and on this VM's turns for
cold servers. No I/O.
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
"""Closed servers that one line names."""


@dataclass(frozen=True, slots=True)
class ServiceSurvey:
    """The servers of one service at one moment.

    Attributes:
        states: those that nothing lasting closes; loads are measured over them.
        closed: what closes servers, by their ids; a server that is not in it is open.
    """

    states: list[ServerState]
    closed: dict[str, Closure]

    def list_open(self) -> list[ServerState]:
        """Return the servers that take requests now."""
        return [state for state in self.states if state.id not in self.closed]

    def list_reasons(self, tried: Collection[str]) -> set[ClosureReason]:
        """Return what closes the servers that a request has not tried.

        All of them where none is open: what it tried would turn it away once more.

        Args:
            tried: ids of servers.
        """
        passed_over = tried if self.list_open() else ()
        return {c.reason for name, c in self.closed.items() if name not in passed_over}

    def list_closure_labels(self) -> tuple[str, ...]:
        """Return the closed servers for lines, as ``REASON:ID``, some if many."""
        found = sorted(f"{c.reason.value}:{name}" for name, c in self.closed.items())
        return tuple(found[:MAX_LISTED_CLOSURES])

    def find_earliest_reopening(self) -> Closure | None:
        """Return the closure that ends first, of those whose end is known."""
        ending = [c for c in self.closed.values() if c.opens_at is not None]
        return min(ending, key=lambda closure: closure.opens_at or 0.0, default=None)


class ServerGate:
    """Tells which servers take requests from this VM.

    Args:
        directory: the backend servers.
        cold_quota: requests that this VM may send to cold servers.
        find_cold_rate: returns how many requests a second a cold server of a service
            takes; 0 for any number.

    .. versionadded:: 0.3
    """

    def __init__(
        self,
        directory: ServerDirectory,
        cold_quota: ColdQuota,
        find_cold_rate: Callable[[str], float],
    ) -> None:
        self._directory = directory
        self._cold_quota = cold_quota
        self._find_cold_rate = find_cold_rate

    def survey(self, service: str, now: float) -> ServiceSurvey:
        """Return the servers of a service, and which of them are closed.

        Args:
            service: the service's name.
            now: the loop's time.
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
        """Return what closes a server at which this VM has taken a place, or None.

        Args:
            state: the server.
            now: the loop's time.
        """
        lasting = find_lasting_closure(state, self._directory.evacuations)
        return _find_backoff(state, now) if lasting is None else Closure(lasting)

    def _find_cold_closure(
        self, state: ServerState, per_s: float, now: float
    ) -> Closure | None:
        """Return the closure of a cold server at which this VM has no place."""
        if not per_s or not state.coldness.is_cold(now):
            return None
        if self._cold_quota.count_remaining(state.id, per_s, now) >= 1:
            return None
        wait_s = self._cold_quota.measure_wait_s(per_s)
        return Closure(ClosureReason.COLD, now + wait_s)


def _find_backoff(state: ServerState, now: float) -> Closure | None:
    """Return the closure of a server that has asked this VM for rest."""
    until = state.notices.find_backoff_end(now)
    return None if until is None else Closure(ClosureReason.RESTING, until)
