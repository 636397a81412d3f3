"""The backend servers that a process knows, with their load and their health.

Owns, for each start of a server, its entry in the log, this VM's requests in flight and
those that wait there, its last load report and its health; rebuilt from the log and
from answers after a start of this process.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from ramppin.gateway.process.load.estimate import ServerLoad
from ramppin.gateway.process.load.times import ServiceTimes
from ramppin.gateway.process.load.waiting import WaitingRequests
from ramppin.gateway.process.membership.coldness import ServerColdness
from ramppin.gateway.process.membership.evidence import FleetEvidence
from ramppin.gateway.process.membership.health import ServerHealth
from ramppin.gateway.process.routing.evacuation import Evacuations
from ramppin.gateway.process.turns import Turns


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server as it announced itself.

    Attributes:
        name: the id under which it announces itself; a restart may keep it.
        service: the service that it serves.
        host: its IP address.
        port: its port.
        failure_domain: where it stands.
        slots: requests that it runs at once; only a change of it is logged.
        draining: whether it takes no new work.
        started_ms: Unix time of its start in milliseconds; None if it does not say.
        cold_s: seconds for which it is still cold as it writes its entry; of no weight
            when entries are compared, since each tells less than the one before.
    """

    name: str
    service: str
    host: str
    port: int
    failure_domain: str = ""
    slots: int = 0
    draining: bool = False
    started_ms: int | None = None
    cold_s: float = field(default=0.0, compare=False)

    @property
    def id(self) -> str:
        """The id of its incarnation: what is known of one start ends with it.

        VMs tell each other of servers by this id, so that what a VM says of an earlier
        start is not taken for the new one.
        """
        if self.started_ms is None:
            return self.name
        return f"{self.name}@{self.started_ms}"


class ServerState:
    """What a process knows about one incarnation of a backend server.

    Args:
        server: as it announced itself.
        times: of its service's requests; None for some of its own.
        turns: of this process; None where it never stalls.

    Attributes:
        id: the incarnation's.
        server: its newest entry.
        in_flight: requests of this VM that it has.
        load: its newest load report.
        waiting: requests that it keeps waiting, of this VM and of others.
        times: of its service's requests.
        health: what this VM saw of it.
        evidence: what all VMs saw of it.
        coldness: whether it is cold.
        missing: whether its entry has vanished.
        refused: whether its newest entry can't be read.
        restarted: whether it has ended, since a later start is known.
        held_until: the loop's time until which an entry that vanished around an
            outage of the log still counts, or None.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        server: BackendServer,
        times: ServiceTimes | None = None,
        turns: Turns | None = None,
    ) -> None:
        turns = turns or Turns()
        self.id = server.id
        self.server = server
        self.in_flight = 0
        self.load = ServerLoad()
        self.waiting = WaitingRequests(turns)
        self.times = times or ServiceTimes()
        self.health = ServerHealth(turns)
        self.evidence = FleetEvidence()
        self.coldness = ServerColdness()
        self.missing = False
        self.refused = False
        self.restarted = False
        self.held_until: float | None = None

    @property
    def open(self) -> bool:
        """Whether the server itself takes new work, wherever it stands."""
        closed = self.missing or self.refused or self.restarted
        return not self.server.draining and not closed

    def note_load(self, running: int, waiting: int, now: float) -> None:
        """Take the load that an answer reported, in requests."""
        self.load.note_report(running + waiting, self.in_flight, now)

    def note_ended(self, request: object, now: float) -> None:
        """Note that a request of this VM has ended, answered or not."""
        self.waiting.note_ended(request, now, self.times.wait.mean_s)

    def count_overdue(self, now: float) -> int:
        """Return how many requests of this VM wait longer than is usual, or did."""
        return self.waiting.count_overdue(now, self.times.wait.mean_s)

    def count_held(self, now: float) -> int:
        """Return how many requests it holds at the least.

        Those of this VM, and those of which others told since they wait for long.
        """
        return self.count_own(now) + self.waiting.count_told(now)

    def count_own(self, now: float) -> int:
        """Return how many requests of this VM it holds.

        With those that this VM gave up and the server has not seen end.
        """
        return self.in_flight + self.waiting.count_abandoned(now)

    def find_known_load(self, now: float) -> int:
        """Return the load of its newest report, at least what it holds for certain."""
        reported = self.load.requests if self.load.has_report(now) else 0
        return max(reported, self.count_held(now))

    def estimate_load(self, now: float, mean: float) -> float:
        """Return how many requests the server is likely to hold.

        Args:
            now: the loop's time.
            mean: mean load of the service's servers.
        """
        estimate = self.load.estimate(
            self.in_flight, now, mean=mean, lifetime_s=self.times.stay.mean_s
        )
        return max(estimate, self.count_held(now))


class ServerDirectory:
    """Backend servers by service.

    Args:
        turns: of this process; None where it never stalls.

    Attributes:
        turns: of this process.
        evacuations: failure domains whose servers get no new work.

    .. versionadded:: 0.2
    """

    def __init__(self, turns: Turns | None = None) -> None:
        self.turns = turns or Turns()
        self.evacuations = Evacuations()
        self._states: dict[str, ServerState] = {}
        self._by_service: dict[str, dict[str, ServerState]] = {}
        self._times: dict[str, ServiceTimes] = {}
        self._newest: dict[str, ServerState] = {}

    def __iter__(self) -> Iterator[ServerState]:
        return iter(self._states.values())

    def __len__(self) -> int:
        return len(self._states)

    def find(self, server_id: str) -> ServerState | None:
        """Return what is known about an incarnation of a backend server, or None."""
        return self._states.get(server_id)

    def find_newest(self, name: str) -> ServerState | None:
        """Return what is known about the newest start of a backend server, or None."""
        return self._newest.get(name)

    def put(self, server: BackendServer) -> ServerState:
        """Add a backend server, or take what changed of one.

        What is known of another start of it is forgotten.
        """
        known = self._newest.get(server.name)
        if known is not None and known.id != server.id:
            known.restarted = True
            self._remove(known)
        state = self._states.get(server.id)
        if state is None:
            times = self._times.setdefault(server.service, ServiceTimes())
            state = self._states[server.id] = ServerState(server, times, self.turns)
        elif state.server.service != server.service:
            self._by_service[state.server.service].pop(server.id, None)
        state.server = server
        self._newest[server.name] = state
        state.missing = state.refused = False
        state.held_until = None
        self._by_service.setdefault(server.service, {})[server.id] = state
        return state

    def refuse(self, name: str) -> None:
        """Use a backend server no more until a good entry of it comes."""
        state = self._newest.get(name)
        if state is not None:
            state.refused = True

    def hold(self, name: str, until: float) -> None:
        """Go on using a server whose entry vanished around an outage of the log.

        Args:
            name: under which it announced itself.
            until: the loop's time at which it counts as gone.
        """
        state = self._newest.get(name)
        if state is not None and state.held_until is None:
            state.held_until = until

    def mark_missing(self, name: str) -> None:
        """Note that a backend server's entry vanished."""
        state = self._newest.get(name)
        if state is not None:
            state.missing = True

    def remove_missing(self, now: float) -> list[ServerState]:
        """Remove servers whose entry is missing, and return them."""
        for state in self._states.values():
            if state.held_until is not None and now >= state.held_until:
                state.held_until = None
                state.missing = True
        gone = [state for state in self._states.values() if state.missing]
        for state in gone:
            self._remove(state)
        return gone

    def _remove(self, state: ServerState) -> None:
        del self._states[state.id]
        del self._newest[state.server.name]
        self._by_service[state.server.service].pop(state.id, None)

    def is_open(self, server_id: str) -> bool:
        """Return whether a backend server may get new work."""
        state = self._states.get(server_id)
        return state is not None and self.may_get_work(state)

    def may_get_work(self, state: ServerState) -> bool:
        """Return whether a server may get new work: itself, and where it stands."""
        return state.open and state.server.failure_domain not in self.evacuations

    def list_services(self) -> list[str]:
        """Return the services that have, or had, backend servers."""
        return list(self._by_service)

    def find_source(self, server_id: str | None, now: float) -> BackendServer | None:
        """Return a server from which a prefix can be copied, or None.

        One that is leaving will do, as long as it answers and is not yet gone.
        """
        state = self._states.get(server_id) if server_id else None
        if state is None or state.missing:
            return None
        return None if state.health.is_suspect(now) else state.server

    def list_open(self, service: str) -> list[ServerState]:
        """Return the backend servers of a service that may get new work."""
        return [
            state
            for state in self._by_service.get(service, {}).values()
            if self.may_get_work(state)
        ]

    def list_domain(self, domain: str) -> list[ServerState]:
        """Return the backend servers of a failure domain."""
        return [s for s in self if s.server.failure_domain == domain]

    def is_evacuated(self, service: str) -> bool:
        """Return whether a service has servers, all in emptied failure domains."""
        domains = [
            state.server.failure_domain
            for state in self._by_service.get(service, {}).values()
            if state.open
        ]
        return bool(domains) and all(name in self.evacuations for name in domains)
