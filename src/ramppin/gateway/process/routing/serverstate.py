"""What a process knows of one start of a backend server.

Owns its entry in the log, this VM's requests in flight and those that wait there, its
last load report and its health.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ramppin.gateway.process.load.estimate import ServerLoad
from ramppin.gateway.process.load.times import ServiceTimes
from ramppin.gateway.process.load.waiting import WaitingRequests
from ramppin.gateway.process.membership.coldness import ServerColdness
from ramppin.gateway.process.membership.evidence import FleetEvidence
from ramppin.gateway.process.membership.health import ServerHealth
from ramppin.gateway.process.membership.servernotices import ServerNotices
from ramppin.gateway.process.membership.shedding import FleetShedding
from ramppin.gateway.process.stalldetector import StallDetector


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
        stall_detector: of this process; None where it never stalls.
        notices: what this start has said before; None for nothing.

    Attributes:
        id: the incarnation's.
        server: its newest entry.
        in_flight: requests of this VM that it has.
        load: its newest load report.
        waiting: requests that it keeps waiting, of this VM and of others.
        times: of its service's requests.
        health: what this VM saw of it.
        evidence: what all VMs saw of it.
        shedding: which other VMs it turns away.
        coldness: whether it is cold.
        notices: what it said of itself in its answers.
        missing: whether its entry has vanished.
        unreadable: whether its newest entry can't be read.
        restarted: whether it has ended, since a later start is known.
        held_until: the loop's time until which an entry that vanished around an
            outage of the log still counts, or None.

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
        self.health = ServerHealth(stall_detector)
        self.evidence = FleetEvidence()
        self.shedding = FleetShedding()
        self.coldness = ServerColdness()
        self.notices = notices or ServerNotices()
        self.missing = False
        self.unreadable = False
        self.restarted = False
        self.held_until: float | None = None

    @property
    def leaving(self) -> bool:
        """Whether it says that it takes nothing new, by its entry or its answers.

        An entry that says otherwise may be older than the answer.
        """
        return self.server.draining or self.notices.leaving is not None

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
        return self.count_own(now) + self.waiting.count_peer_overdue(now)

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
