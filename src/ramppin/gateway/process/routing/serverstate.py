"""State that a process keeps for one incarnation of a backend server.

Holds its entry in the log, the number of this VM's requests in flight and of those that
wait there, its last load report and its health.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ramppin.gateway.process.load.estimate import ServerLoad
from ramppin.gateway.process.load.longprompts import LongPrompts
from ramppin.gateway.process.load.speed import ServerSpeed
from ramppin.gateway.process.load.times import ServiceTimes
from ramppin.gateway.process.load.waiting import WaitingRequests
from ramppin.gateway.process.membership.coldness import ServerColdness
from ramppin.gateway.process.membership.evidence import FleetEvidence
from ramppin.gateway.process.membership.health import ServerHealth
from ramppin.gateway.process.membership.servernotices import ServerNotices
from ramppin.gateway.process.membership.shedding import FleetShedding
from ramppin.gateway.process.stalldetector import StallDetector

BUILD_DOUBT_S = 4.0
"""Seconds after a refused connection within which the entry of a new process is read:
it writes one at its start, and a change is read after 1.8 s at most."""


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server as it announced itself.

    Attributes:
        name: the id under which it announces itself; a restart may keep it.
        service: the service that it serves.
        host: its IP address.
        port: its port.
        failure_domain: its failure domain.
        slots: requests that it runs at once; only a change of it is logged.
        draining: whether it accepts no new requests.
        started_ms: Unix time of its start in milliseconds; None if not stated.
        build: version of its software; empty if not stated.
        cold_s: seconds for which it is still cold when it writes its entry; ignored
            when entries are compared, since it decreases from entry to entry.
        sequence: number of its heartbeat, ignored in the same way; None if not stated.
    """

    name: str
    service: str
    host: str
    port: int
    failure_domain: str = ""
    slots: int = 0
    draining: bool = False
    started_ms: int | None = None
    build: str = ""
    cold_s: float = field(default=0.0, compare=False)
    sequence: int | None = field(default=None, compare=False)

    @property
    def id(self) -> str:
        """Id of its incarnation, to which all state about the server belongs.

        VMs refer to servers by this id in their messages, so that reports on an earlier
        start are not applied to a later one.
        """
        if self.started_ms is None:
            return self.name
        return f"{self.name}@{self.started_ms}"


class ServerState:
    """State of one incarnation of a backend server.

    Args:
        server: the server as it announced itself.
        times: response times of its service; None for separate ones.
        stall_detector: stall detector of this process; None if it never stalls.
        notices: earlier notices of this incarnation; None for no notices.

    Attributes:
        id: id of the incarnation.
        server: its newest entry.
        in_flight: number of requests of this VM that it holds.
        load: its newest load report.
        speed: its speed.
        long_prompts: long uncached prompts that this VM sent to it.
        waiting: requests that wait for it, of this VM and of its peers.
        times: response times of its service.
        health: failures and answers that this VM observed.
        evidence: failures that all VMs observed.
        shedding: other VMs whose requests it sheds.
        coldness: whether it is cold.
        notices: notices that it sent with its answers.
        missing: whether its entry was removed.
        unreadable: whether its newest entry can't be read.
        restarted: whether it has ended, since a later start is known.
        held_until: event-loop time until which an entry that was removed around an
            outage of the log remains in use, or None.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        server: BackendServer,
        times: ServiceTimes | None = None,
        stall_detector: StallDetector | None = None,
        notices: ServerNotices | None = None,
    ) -> None:
        stall_detector = stall_detector or StallDetector()
        self.id = server.id
        self.server = server
        self.in_flight = 0
        self.load = ServerLoad()
        self.waiting = WaitingRequests(stall_detector)
        self.times = times or ServiceTimes()
        self.speed = ServerSpeed(self.times.usual, stall_detector)
        self.long_prompts = LongPrompts()
        self.health = ServerHealth(stall_detector)
        self.evidence = FleetEvidence()
        self.shedding = FleetShedding()
        self.coldness = ServerColdness()
        self.notices = notices or ServerNotices()
        self.missing = False
        self.unreadable = False
        self.restarted = False
        self.held_until: float | None = None
        self._build_doubted_until = float("-inf")

    @property
    def leaving(self) -> bool:
        """Whether its entry or its answers state that it accepts no new requests.

        An entry without that statement may be older than the answer.
        """
        return self.server.draining or self.notices.leaving is not None

    def note_refused_connection(self, now: float) -> None:
        """Record that no process listened: the next one may have another build."""
        until = now + BUILD_DOUBT_S
        self._build_doubted_until = max(self._build_doubted_until, until)

    def is_build_doubted(self, now: float) -> bool:
        """Return whether a process of another build may answer in its place."""
        return now < self._build_doubted_until

    def note_load(self, running: int, waiting: int, now: float) -> None:
        """Record the load that an answer reported, in requests."""
        self.load.note_report(running + waiting, self.in_flight, now)

    def note_ended(self, request: object, now: float) -> None:
        """Record that a request of this VM has ended, answered or not."""
        self.waiting.note_ended(request, now, self.times.wait.mean_s)

    def count_overdue(self, now: float) -> int:
        """Return how many requests of this VM are overdue, or were when given up."""
        return self.waiting.count_overdue(now, self.times.wait.mean_s)

    def count_held(self, now: float) -> int:
        """Return the minimum number of requests that it holds.

        These are the requests of this VM, and the overdue ones that peers reported.
        """
        return self.count_own(now) + self.waiting.count_peer_overdue(now)

    def count_own(self, now: float) -> int:
        """Return how many requests of this VM it holds.

        Includes requests that this VM gave up and that the server may still hold.
        """
        return self.in_flight + self.waiting.count_abandoned(now)

    def find_known_load(self, now: float) -> int:
        """Return its newest reported load, at least the requests known to be held."""
        reported = self.load.requests if self.load.has_report(now) else 0
        return max(reported, self.count_held(now))

    def estimate_load(self, now: float, mean: float) -> float:
        """Return the estimated number of requests that the server holds.

        Args:
            now: event-loop time.
            mean: mean load of the service's servers.
        """
        estimate = self.load.estimate(
            self.in_flight, now, mean=mean, lifetime_s=self.times.stay.mean_s
        )
        return max(estimate, self.count_held(now))
