"""Whether this VM's own paths to the backend servers work.

A failed connection does not show which side is at fault. Three servers in two failure
domains that fail one after the other, with no new connection to any server of their
service in between, are more likely to be cut off from this VM than to have failed: the
path is suspected. It is lost once another VM is known to have reached one of them
since. Either way requests take the path through another VM
(:mod:`ramppin.gateway.request.forwardedpath`), and probes show when the own path works
again. No I/O.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import Enum

from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.serverstate import ServerState

MIN_FAILED_SERVERS = 3
"""Servers that must fail in a row, or all of a smaller service. Two often end together
with the VM on which they run."""

MIN_FAILED_DOMAINS = 2
"""Failure domains in which they must be, if the service is in that many: a failure
domain that is lost is no fault of this VM's path."""

MIN_PROBED_SERVERS = 2
"""Servers that must have failed for probes to begin."""

FAILURE_RETENTION_S = 3.0
"""Seconds after which a failure no longer counts, unless the path is suspected."""

RETURN_PROBES = 2
"""Probes in a row that must succeed for the path to count as working again."""

MAX_RETURN_PROBES = 8
"""Upper limit of that number, which doubles each time that a path is lost again soon: a
path that loses one packet in three lets some connections through."""

FLAP_S = 10.0
"""Seconds since the path's return within which another loss counts as soon."""


DATA_PROBES_S = 30.0
"""Seconds after a new connection was lost without an answer for which probes must send
data. Bounded, since a server may close connections with data that is no request."""


class PathStatus(Enum):
    """Status of the path to the servers of one service."""

    WORKING = "working"
    SUSPECTED = "suspected"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class PathChange:
    """A change of status.

    Attributes:
        service: the service.
        status: its status now.
        failed: names of servers that failed, at most a few.
        lasted_s: seconds since the first of the failures.
    """

    service: str
    status: PathStatus
    failed: tuple[str, ...]
    lasted_s: float


@dataclass(slots=True)
class _Series:
    """Failures since the last new connection to a server of a service answered.

    Attributes:
        since: event-loop time of the first one.
        failed_at: time of the newest one by server id.
        confirmed: whether another VM reached one of the servers since.
        probed: ids of the servers of the probes in a row that succeeded.
        required_probes: probes in a row that must succeed.
        lost_unanswered_at: event-loop time at which a connection that was opened since
            was lost before it carried an answer.
        reported: status in the last reported change.
    """

    since: float
    required_probes: int
    failed_at: dict[str, float] = field(default_factory=dict)
    confirmed: bool = False
    probed: list[str] = field(default_factory=list)
    lost_unanswered_at: float = float("-inf")
    reported: PathStatus = PathStatus.WORKING


class Reachability:
    """Status of this VM's paths, from its own failures and from reports of other VMs.

    Args:
        directory: the backend servers.

    Attributes:
        is_proven: whether any server was reached since this process started. Until
            then it may have no path, and have met no failure yet.

    .. versionadded:: 0.5
    """

    def __init__(self, directory: ServerDirectory) -> None:
        self._directory = directory
        self.is_proven = False
        self._series: dict[str, _Series] = {}
        self._answered_at: dict[str, float] = {}
        self._returned_at: dict[str, float] = {}
        self._required_probes: dict[str, int] = {}
        self._changes: list[PathChange] = []

    # observations

    def note_failed(
        self, state: ServerState, now: float, opened_at: float | None = None
    ) -> None:
        """Record that a server was not reached: no connection, or no byte over it.

        Args:
            state: the server.
            now: event-loop time.
            opened_at: event-loop time at which the connection was opened over which a
                request was sent; None if none was.
        """
        service = state.server.service
        series = self._series.get(service)
        if series is None:
            required = self._choose_required_probes(service, now)
            series = self._series[service] = _Series(now, required)
        elif self._find_status(service, series) is PathStatus.WORKING:
            _drop_old(series, now)
        if opened_at is not None and opened_at >= series.since:
            series.lost_unanswered_at = now
        series.failed_at[state.id] = now
        series.probed.clear()
        self._note_status(service, series, now)

    def note_answered(self, state: ServerState, opened_at: float, now: float) -> None:
        """Record that a server answers.

        Only a connection opened since the failures began shows that the path works:
        open connections may outlive it.

        Args:
            state: the server.
            opened_at: event-loop time at which the connection was opened.
            now: event-loop time.
        """
        service = state.server.service
        self.is_proven = True
        self._answered_at[service] = now
        series = self._series.get(service)
        if series is not None and opened_at >= series.since:
            self._end(service, series, [state.id], now)

    def note_probe(self, state: ServerState, now: float) -> None:
        """Record that a probe established a connection to a server."""
        service = state.server.service
        self.is_proven = True
        series = self._series.get(service)
        if series is None:
            return
        series.probed.append(state.id)
        if len(series.probed) >= series.required_probes:
            self._end(service, series, series.probed, now)

    def note_peer_reached(self, server_id: str, at: float, now: float) -> None:
        """Record that another VM got an answer of a server.

        Args:
            server_id: id of the server's incarnation.
            at: event-loop time of the answer.
            now: event-loop time.
        """
        if not self._series:
            return
        for service, series in self._series.items():
            failed_at = series.failed_at.get(server_id)
            if failed_at is not None and at > failed_at:
                series.confirmed = True
                self._note_status(service, series, now)

    # decisions

    def find_status(self, service: str) -> PathStatus:
        """Return the status of the path to a service's servers."""
        series = self._series.get(service)
        if series is None:
            return PathStatus.WORKING
        return self._find_status(service, series)

    def avoids(self, service: str) -> bool:
        """Return whether requests to a service take the path through another VM.

        If the path to one service is lost, so is that to another one without an answer
        since: otherwise each service costs requests that can't be repeated.
        """
        if not self._series:
            return False
        if self.find_status(service) is not PathStatus.WORKING:
            return True
        answered_at = self._answered_at.get(service, float("-inf"))
        return any(
            answered_at < series.since
            and self._find_status(other, series) is PathStatus.LOST
            for other, series in self._series.items()
            if other != service
        )

    def is_at_fault(self, service: str) -> bool:
        """Return whether failures are likely to be this VM's, not its servers'."""
        series = self._series.get(service)
        return series is not None and len(series.failed_at) >= MIN_PROBED_SERVERS

    def list_failed(self, service: str) -> frozenset[str]:
        """Return the ids of the servers that failed in a row."""
        series = self._series.get(service)
        return frozenset(series.failed_at) if series else frozenset()

    def list_avoided(self) -> list[str]:
        """Return the services that this VM avoids, for other VMs."""
        if not self._series:
            return []
        return [
            service
            for service in self._directory.list_services()
            if self.avoids(service)
        ]

    def list_to_probe(self, now: float) -> dict[str, list[ServerState]]:
        """Return the servers to probe by service, the most informative ones first.

        Args:
            now: event-loop time.
        """
        found = {}
        for service, series in list(self._series.items()):
            if self._find_status(service, series) is PathStatus.WORKING:
                _drop_old(series, now)
            if not series.failed_at:
                del self._series[service]
            elif len(series.failed_at) >= MIN_PROBED_SERVERS or series.confirmed:
                found[service] = self._order_for_probes(service, series)
        return found

    def requires_data(self, service: str, now: float) -> bool:
        """Return whether a probe shows that the path works only if it sends data."""
        series = self._series.get(service)
        return series is not None and now - series.lost_unanswered_at < DATA_PROBES_S

    def list_for_proof(self, service: str) -> list[ServerState]:
        """Return the servers of a service of which one shows that the path works."""
        return list(self._directory.list_open(service))

    def pop_changes(self) -> list[PathChange]:
        """Return and clear the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    # internal

    def _find_status(self, service: str, series: _Series) -> PathStatus:
        states = self._directory.list_open(service)
        failed = [state for state in states if state.id in series.failed_at]
        if not failed or len(failed) < min(MIN_FAILED_SERVERS, len(states)):
            return PathStatus.WORKING
        domains = _count_domains(states)
        if _count_domains(failed) < min(MIN_FAILED_DOMAINS, domains):
            return PathStatus.WORKING
        return PathStatus.LOST if series.confirmed else PathStatus.SUSPECTED

    def _order_for_probes(self, service: str, series: _Series) -> list[ServerState]:
        """Return the servers of a service, the most informative ones first.

        These are servers that have not failed, in failure domains in which none has,
        and then those that failed longest ago.
        """
        states = self._directory.list_open(service)
        domains = {
            state.server.failure_domain
            for state in states
            if state.id in series.failed_at
        }

        def rank(state: ServerState) -> tuple[float, bool]:
            failed_at = series.failed_at.get(state.id, float("-inf"))
            return failed_at, state.server.failure_domain in domains

        return sorted(states, key=rank)

    def _choose_required_probes(self, service: str, now: float) -> int:
        returned_at = self._returned_at.get(service, float("-inf"))
        if now - returned_at > FLAP_S:
            return RETURN_PROBES
        required = 2 * self._required_probes.get(service, RETURN_PROBES)
        return min(MAX_RETURN_PROBES, required)

    def _end(
        self, service: str, series: _Series, reached: Collection[str], now: float
    ) -> None:
        """End a series: the path works, at least to some servers.

        Args:
            service: the service.
            series: its series.
            reached: ids of the servers that show it.
            now: event-loop time.
        """
        del self._series[service]
        if self._find_status(service, series) is PathStatus.WORKING:
            return
        self._returned_at[service] = now
        self._required_probes[service] = series.required_probes
        if not series.failed_at.keys().isdisjoint(reached):
            # Otherwise the others may still be out of reach.
            for state in self._directory.list_service(service):
                if state.id in series.failed_at:
                    state.health.pardon()
        self._add_change(service, PathStatus.WORKING, series, now)

    def _note_status(self, service: str, series: _Series, now: float) -> None:
        status = self._find_status(service, series)
        if status is not series.reported and status is not PathStatus.WORKING:
            series.reported = status
            self._add_change(service, status, series, now)

    def _add_change(
        self, service: str, status: PathStatus, series: _Series, now: float
    ) -> None:
        failed = tuple(sorted(series.failed_at))
        change = PathChange(service, status, failed, now - series.since)
        self._changes.append(change)


def _drop_old(series: _Series, now: float) -> None:
    """Drop the failures that no longer count."""
    for server_id, failed_at in list(series.failed_at.items()):
        if now - failed_at > FAILURE_RETENTION_S:
            del series.failed_at[server_id]


def _count_domains(states: Iterable[ServerState]) -> int:
    return len({state.server.failure_domain for state in states})
