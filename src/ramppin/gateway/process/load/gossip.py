"""What VMs tell each other of the load of backend servers.

A VM among many meets each server once in a minute or so, and by its own sight alone it
chooses blind: many VMs that each send a little overrun the home of a prefix that is
hot, or that has just moved. So each VM tells the load reports that its answers brought.
All of them go to the VMs of its own failure domain, where bytes cost nothing: together
these meet each server some times a second. Reports near the bound go to all VMs, for
the servers that others must know of now. A server that goes silent reports nothing, so
each VM also tells all others how many of its requests are overdue there. What was told
is never told on. No I/O.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ramppin.gateway.connection.datagrams import LoadHint, PeerHints, WaitHint
from ramppin.gateway.process.load.estimate import NEVER, REPORT_MAX_AGE_S
from ramppin.gateway.process.load.view import measure_loads
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.serverstate import ServerState

BROADCAST_SHARE = 0.8
"""Part of the bound from which on a report is told to all VMs: below it a server takes
what comes, above it a few more requests put it past the bound. A lower part costs bytes
between failure domains, and overruns no fewer servers."""

SERVERS_PER_MESSAGE = 24
"""Servers in one message, 500 bytes: with the rest it is not split."""

WAITS_REPEAT_S = 0.2
"""Seconds after which overdue requests are told again though their number is the same:
two messages within the time for which they count."""

MS_PER_S = 1000
"""Milliseconds of a second: hints carry ages in milliseconds, the rules use seconds."""


@dataclass(frozen=True, slots=True)
class LoadUpdates:
    """Reports to tell.

    Attributes:
        near: for the VMs of the own failure domain.
        far: those of them for all others as well.
        waits: overdue requests, for all VMs.
    """

    near: list[LoadHint]
    far: list[LoadHint]
    waits: list[WaitHint]


class LoadGossip:
    """Collects the load reports and waits to tell, and takes those that others tell.

    Args:
        directory: the backend servers.

    .. versionadded:: 0.3
    """

    def __init__(self, directory: ServerDirectory) -> None:
        self._directory = directory
        self._sent_waits: dict[str, int] = {}
        self._waits_sent_at = NEVER

    def collect(self, now: float) -> LoadUpdates:
        """Return what is news since the last call: own answers' reports, and waits."""
        fresh = [state for state in self._directory if state.load.pop_pending()]
        fresh.sort(key=lambda state: -state.load.requests)
        near = [_describe(state, now) for state in fresh[:SERVERS_PER_MESSAGE]]
        near_bound = {
            state.id
            for service in {state.server.service for state in fresh}
            for state in self._list_near_bound(service, now)
        }
        far = [hint for hint in near if hint.server in near_bound]
        return LoadUpdates(near, far, self._collect_waits(now))

    def apply(self, hints: PeerHints, now: float) -> None:
        """Take what another VM tells of loads."""
        self.apply_loads(hints.loads, now)
        for hint in hints.waits:
            state = self._directory.find(hint.server)
            if state is not None and hint.count >= 0:
                state.waiting.apply_peer_count(hints.vm, hint.count, now)

    def apply_loads(self, hints: Sequence[LoadHint], now: float) -> None:
        """Take the reports that another VM got."""
        for hint in hints:
            state = self._directory.find(hint.server)
            if state is not None and 0 <= hint.age_ms <= REPORT_MAX_AGE_S * MS_PER_S:
                at = now - hint.age_ms / MS_PER_S
                state.load.apply_peer_report(hint.requests, state.in_flight, at)

    def _collect_waits(self, now: float) -> list[WaitHint]:
        """Return the overdue requests by server, if that is news or must be repeated.

        A server at which none is overdue any more is told once. Nothing is told while
        this process is behind: what it has not read yet is not overdue.
        """
        if self._directory.stall_detector.is_behind(now):
            return []
        waits = {
            state.id: count
            for state in self._directory
            if (count := state.count_overdue(now))
        }
        is_same = waits == self._sent_waits
        if is_same and (not waits or now - self._waits_sent_at < WAITS_REPEAT_S):
            return []
        over = dict.fromkeys(self._sent_waits, 0)
        self._sent_waits, self._waits_sent_at = waits, now
        most = sorted((over | waits).items(), key=lambda item: -item[1])
        return [WaitHint(*item) for item in most[:SERVERS_PER_MESSAGE]]

    def _list_near_bound(self, service: str, now: float) -> list[ServerState]:
        """Return the servers of a service whose newest report is near the bound."""
        states = self._directory.list_open(service)
        limit = BROADCAST_SHARE * measure_loads(states, now).bound
        return [state for state in states if state.load.requests >= limit]


def _describe(state: ServerState, now: float) -> LoadHint:
    age_ms = round(state.load.measure_age(now) * MS_PER_S)
    return LoadHint(state.id, state.load.requests, age_ms)
