"""What VMs tell each other of servers: which fail, and which are nearly full.

A VM among many meets each server rarely, so its own sight says little: a server may
fail, or be full by the requests of others, long before this VM meets it again. Each VM
tells what it saw itself with its next hints; what it was told is never told on. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from ramppin.gateway.connection.datagrams import FailureHint, LoadHint
from ramppin.gateway.process.routing.directory import ServerDirectory, ServerState
from ramppin.gateway.process.routing.selection import (
    BOUND_RATIO,
    BOUND_SLACK,
    Room,
    measure_loads,
)

SERVERS_PER_MESSAGE = 8
"""Loads, and failures, in one message, 160 bytes each: so it is not split."""

MAX_FAILING_SHARE = 1 / 3
"""Part of the servers that may fail in one message: a VM that sees more of them fail is
likely to have bad links itself, and its word would eject servers that are well."""


@dataclass(frozen=True, slots=True)
class ServerTold:
    """What a message tells of servers.

    Attributes:
        loads: of those that are nearly full.
        failures: of those that failed.
    """

    loads: list[LoadHint]
    failures: list[FailureHint]

    def __bool__(self) -> bool:
        return bool(self.loads or self.failures)


class ServerNews:
    """Collects what to tell of servers, and takes what others tell.

    Args:
        directory: the backend servers.
        failure_domain: where this VM stands.

    .. versionadded:: 0.2
    """

    def __init__(self, directory: ServerDirectory, failure_domain: str) -> None:
        self._directory = directory
        self._failure_domain = failure_domain
        self._collected_at = float("-inf")

    def collect(self, now: float) -> ServerTold:
        """Return what this VM saw since the last call."""
        told = ServerTold(self._collect_loads(now), self._collect_failures(now))
        self._collected_at = now
        return told

    def take(self, told: ServerTold, failure_domain: str, now: float) -> None:
        """Take another VM's word.

        Args:
            told: what it saw.
            failure_domain: where it stands.
            now: the loop's time.
        """
        for load in told.loads:
            state = self._directory.find(load.server)
            if state is not None:
                state.note_told_load(load.load, load.age_ms / 1000, now)
        for failure in told.failures:
            state = self._directory.find(failure.server)
            if state is not None:
                state.evidence.note_failures(failure.count, failure_domain, now)

    def _collect_loads(self, now: float) -> list[LoadHint]:
        found = []
        for service in self._directory.list_services():
            states = self._directory.list_open(service)
            fresh = [s for s in states if s.was_reported_after(self._collected_at)]
            if not fresh:
                continue
            view = measure_loads(states, now)
            limit = Room(BOUND_RATIO * view.mean + BOUND_SLACK).told_easy
            full = [state for state in fresh if view.loads[state.id] > limit]
            found += [_describe(state, view.loads[state.id], now) for state in full]
        found.sort(key=lambda hint: -hint.load)
        return found[:SERVERS_PER_MESSAGE]

    def _collect_failures(self, now: float) -> list[FailureHint]:
        """Return the failures to tell; count them here as well."""
        found = []
        for state in self._directory:
            count = state.health.take_untold_failures()
            if count:
                state.evidence.note_failures(count, self._failure_domain, now)
                found.append(FailureHint(state.id, count))
        if len(found) > max(1.0, MAX_FAILING_SHARE * len(self._directory)):
            return []
        found.sort(key=lambda hint: -hint.count)
        return found[:SERVERS_PER_MESSAGE]


def _describe(state: ServerState, load: int, now: float) -> LoadHint:
    age_ms = int(state.measure_report_age(now) * 1000)
    return LoadHint(state.id, load, age_ms)
