"""Gossip among VMs about the load of backend servers.

One VM of a large fleet uses each server once in a minute or so, too rarely to choose by
its own reports alone: many VMs that each send a few requests overload the home of a
prefix that is hot, or that has just moved. So each VM sends the load reports of its
answers to peers. All reports go to the VMs of its own failure domain, where traffic is
free: together these get reports of each server several times a second. Reports near the
load bound go to all VMs, which must avoid these servers at once. A server that stops
responding sends no reports, so each VM also sends all others the number of its requests
that are overdue there. Reports by peers are not forwarded. No I/O.
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
"""Share of the load bound from which a report is sent to all VMs. Below it a server has
room for requests; above it a few more exceed the bound. A lower share causes traffic
between failure domains, and overloads no fewer servers."""

SERVERS_PER_MESSAGE = 24
"""Maximum number of servers in one message. They take 500 bytes, so that the message is
not fragmented with the rest of its content."""

WAITS_REPEAT_S = 0.2
"""Seconds after which unchanged numbers of overdue requests are sent again: two
messages within the time for which peers use them."""

MS_PER_S = 1000
"""Milliseconds per second: hints carry ages in milliseconds, the rules use seconds."""


@dataclass(frozen=True, slots=True)
class LoadUpdates:
    """Load reports to send.

    Attributes:
        near: reports for the VMs of the same failure domain.
        far: those of them that are sent to all other VMs as well.
        waits: overdue requests, for all VMs.
    """

    near: list[LoadHint]
    far: list[LoadHint]
    waits: list[WaitHint]


class LoadGossip:
    """Collects load reports and overdue requests to send, and applies those of peers.

    Args:
        directory: the backend servers.

    .. versionadded:: 0.3
    """

    def __init__(self, directory: ServerDirectory) -> None:
        self._directory = directory
        self._sent_waits: dict[str, int] = {}
        self._waits_sent_at = NEVER

    def collect(self, now: float) -> LoadUpdates:
        """Return this VM's reports since the last call, and its overdue requests."""
        fresh = [state for state in self._directory if state.load.pop_pending()]
        fresh.sort(key=lambda state: -state.load.requests)
        near = [_build_hint(state, now) for state in fresh[:SERVERS_PER_MESSAGE]]
        near_bound = {
            state.id
            for service in {state.server.service for state in fresh}
            for state in self._list_near_bound(service, now)
        }
        far = [hint for hint in near if hint.server in near_bound]
        return LoadUpdates(near, far, self._collect_waits(now))

    def apply(self, hints: PeerHints, now: float) -> None:
        """Apply the loads and overdue requests in a message of another VM."""
        self.apply_loads(hints.loads, now)
        for hint in hints.waits:
            state = self._directory.find(hint.server)
            if state is not None and hint.count >= 0:
                state.waiting.apply_peer_count(hints.vm, hint.count, now)

    def apply_loads(self, hints: Sequence[LoadHint], now: float) -> None:
        """Apply the load reports that another VM received."""
        for hint in hints:
            state = self._directory.find(hint.server)
            if state is not None and 0 <= hint.age_ms <= REPORT_MAX_AGE_S * MS_PER_S:
                at = now - hint.age_ms / MS_PER_S
                state.load.apply_peer_report(hint.requests, state.in_flight, at)
                state.speed.apply_peer_report(hint.speed, at, now)

    def _collect_waits(self, now: float) -> list[WaitHint]:
        """Return the overdue requests by server, if they changed or must be repeated.

        A server without overdue requests any more is sent once, with zero. Nothing is
        sent while the event loop is behind: bytes may have arrived that are not read.
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


def _build_hint(state: ServerState, now: float) -> LoadHint:
    load = state.load
    age_ms = round(load.measure_age(now) * MS_PER_S)
    speed = state.speed.find_percent(load.reported_at)
    return LoadHint(state.id, load.requests, age_ms, speed)
