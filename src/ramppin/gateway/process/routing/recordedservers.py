"""Servers that show that a recorded build has served without a break.

While a build has an open server, streams need not begin at a build that is not recorded
yet. A VM that has just started can only conclude that this held before if a
server that is in the build's record is still open: a build may have left and come back
while no VM could write. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ramppin.gateway.process.routing.serverstate import ServerState
from ramppin.gateway.process.routing.streamorigins import RETENTION_S

MAX_RECORDED_SERVERS = 8
"""Servers in one record: some are left when most of a build's servers are replaced."""


class ServiceBuild(NamedTuple):
    """A build of a service's servers; empty where their entries state none."""

    service: str
    build: str


class RecordedServers:
    """Open servers of each build, and those in the build's record.

    .. versionadded:: 0.5
    """

    def __init__(self) -> None:
        self._open_since: dict[ServiceBuild, dict[str, float]] = {}
        self._recorded: dict[ServiceBuild, frozenset[str]] = {}

    def note_servers(self, states: Iterable[ServerState], now: float) -> None:
        """Record which servers are open."""
        earlier, self._open_since = self._open_since, {}
        for state in states:
            if state.leaving or state.missing:
                continue
            pair = ServiceBuild(state.server.service, state.server.build)
            since = earlier.get(pair, {}).get(state.id, now)
            self._open_since.setdefault(pair, {})[state.id] = since

    def note_recorded(self, recorded: Mapping[ServiceBuild, Iterable[str]]) -> None:
        """Record which servers the records contain."""
        self._recorded = {pair: frozenset(ids) for pair, ids in recorded.items()}

    def note_written(self, pair: ServiceBuild, servers: Iterable[str]) -> None:
        """Record that the record of a build contains some servers now."""
        self._recorded[pair] = frozenset(servers)

    def is_unbroken(self, pair: ServiceBuild) -> bool:
        """Return whether a server in the record of a build is open."""
        recorded = self._recorded.get(pair, frozenset())
        return not recorded.isdisjoint(self._open_since.get(pair, ()))

    def list_open(self, pair: ServiceBuild) -> list[str]:
        """Return open servers of a build."""
        return sorted(self._open_since.get(pair, ()))[:MAX_RECORDED_SERVERS]

    def list_lasting(self, pair: ServiceBuild, now: float) -> list[str]:
        """Return servers that have been open for longer than streams are taken up."""
        since = self._open_since.get(pair, {})
        lasting = [server for server, at in since.items() if now - at > RETENTION_S]
        return sorted(lasting)[:MAX_RECORDED_SERVERS]

    def list_recorded(self) -> list[ServiceBuild]:
        """Return the builds that the records contain."""
        return sorted(self._recorded)

    def names_few(self, pair: ServiceBuild) -> bool:
        """Return whether a record contains less than half of what it should."""
        open_since = self._open_since.get(pair, {})
        named = len(self._recorded.get(pair, frozenset()) & open_since.keys())
        return 2 * named < min(len(open_since), MAX_RECORDED_SERVERS)
