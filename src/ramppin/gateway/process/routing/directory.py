"""Directory of the known backend servers, by service.

Holds the state of each incarnation of a server (:mod:`~.serverstate`). It is rebuilt
from the log and from answers after a start of this process.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from dataclasses import replace

from ramppin.gateway.process.load.times import ServiceTimes
from ramppin.gateway.process.routing.closure import find_lasting_closure
from ramppin.gateway.process.routing.evacuation import Evacuations
from ramppin.gateway.process.routing.noticeregistry import NoticeRegistry
from ramppin.gateway.process.routing.serverstate import BackendServer, ServerState
from ramppin.gateway.process.stalldetector import StallDetector


class ServerDirectory:
    """Backend servers by service.

    Args:
        stall_detector: stall detector of this process; None if it never stalls.
        read_time: returns the time of day in seconds.

    Attributes:
        stall_detector: stall detector of this process.
        evacuations: failure domains whose servers get no new requests.
        notices: notices that servers sent with their answers.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        stall_detector: StallDetector | None = None,
        read_time: Callable[[], float] = time.time,
    ) -> None:
        self.stall_detector = stall_detector or StallDetector()
        self.evacuations = Evacuations()
        self.notices = NoticeRegistry(read_time)
        self._states: dict[str, ServerState] = {}
        self._by_service: dict[str, dict[str, ServerState]] = {}
        self._times: dict[str, ServiceTimes] = {}
        self._newest: dict[str, ServerState] = {}

    def __iter__(self) -> Iterator[ServerState]:
        return iter(self._states.values())

    def __len__(self) -> int:
        return len(self._states)

    def find(self, server_id: str) -> ServerState | None:
        """Return the state of an incarnation of a backend server, or None."""
        return self._states.get(server_id)

    def find_newest(self, name: str) -> ServerState | None:
        """Return the state of the newest incarnation of a backend server, or None."""
        return self._newest.get(name)

    def put(self, server: BackendServer) -> ServerState:
        """Add a backend server or update its entry.

        The state of another incarnation of the same server is discarded.
        """
        known = self._newest.get(server.name)
        if known is not None and known.id != server.id:
            known.restarted = True
            self._remove(known)
        state = self._states.get(server.id)
        if state is None:
            times = self.find_times(server.service)
            notices = self.notices.open(server.id, server.name, server.started_ms)
            state = ServerState(server, times, self.stall_detector, notices)
            self._states[server.id] = state
        elif state.server.service != server.service:
            self._by_service[state.server.service].pop(server.id, None)
        state.server = server
        self._newest[server.name] = state
        state.missing = state.unreadable = False
        state.held_until = None
        self._by_service.setdefault(server.service, {})[server.id] = state
        return state

    def mark_draining(self, name: str) -> None:
        """Record that a backend server is leaving, whatever else its entry states."""
        state = self._newest.get(name)
        if state is not None:
            state.server = replace(state.server, draining=True)

    def mark_unreadable(self, name: str) -> None:
        """Stop using a backend server until a readable entry of it arrives."""
        state = self._newest.get(name)
        if state is not None:
            state.unreadable = True

    def hold(self, name: str, until: float) -> None:
        """Keep using a server whose entry was removed around an outage of the log.

        Args:
            name: the name under which it announced itself.
            until: event-loop time at which it counts as removed.
        """
        state = self._newest.get(name)
        if state is not None and state.held_until is None:
            state.held_until = until

    def note_ended(self, server_id: str, at: float) -> None:
        """Record that another VM found an incarnation of a server terminated.

        Args:
            server_id: id of the incarnation.
            at: event-loop time at which it was found.
        """
        state = self._states.get(server_id)
        if state is not None:
            state.note_refused_connection(at)

    def mark_missing(self, name: str) -> None:
        """Record that the entry of a backend server was removed."""
        state = self._newest.get(name)
        if state is not None:
            state.missing = True

    def remove_missing(self, now: float) -> list[ServerState]:
        """Remove servers whose entry is missing, or no longer held, and return them."""
        for state in self._states.values():
            if state.held_until is not None and now >= state.held_until:
                state.held_until = None
                state.missing = True
        gone = [state for state in self._states.values() if state.missing]
        for state in gone:
            self._remove(state)
        return gone

    def _remove(self, state: ServerState) -> None:
        self.notices.close(state.id)
        del self._states[state.id]
        del self._newest[state.server.name]
        self._by_service[state.server.service].pop(state.id, None)

    def is_open(self, server_id: str) -> bool:
        """Return whether a backend server is known and accepts new requests."""
        state = self._states.get(server_id)
        return state is not None and self.accepts_new_requests(state)

    def accepts_new_requests(self, state: ServerState) -> bool:
        """Return whether a server has no lasting closure."""
        return find_lasting_closure(state, self.evacuations) is None

    def list_services(self) -> list[str]:
        """Return the services that have or had backend servers."""
        return list(self._by_service)

    def find_times(self, service: str) -> ServiceTimes:
        """Return the response times of a service."""
        return self._times.setdefault(service, ServiceTimes())

    def find_copy_source(
        self, server_id: str | None, now: float
    ) -> BackendServer | None:
        """Return the server if a prefix can be copied from it, or None.

        A server that is leaving is used, as long as it is neither suspect nor missing.
        """
        state = self._states.get(server_id) if server_id else None
        if state is None or state.missing:
            return None
        return None if state.health.is_suspect(now) else state.server

    def list_service(self, service: str) -> list[ServerState]:
        """Return the backend servers of a service, including closed ones."""
        return list(self._by_service.get(service, {}).values())

    def list_open(self, service: str) -> list[ServerState]:
        """Return the backend servers of a service without a lasting closure."""
        return [s for s in self.list_service(service) if self.accepts_new_requests(s)]

    def list_domain(self, domain: str) -> list[ServerState]:
        """Return the backend servers of a failure domain."""
        return [s for s in self if s.server.failure_domain == domain]
