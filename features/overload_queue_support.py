"""A fake start limiter, and a replay of load patterns against the scheduler.

No network and no clock: a replay advances its own time in steps.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field, replace

from ramppin.gateway.process.overload.rules import OverloadRules
from ramppin.gateway.process.overload.scheduler import Scheduler
from ramppin.gateway.process.overload.startlimiter import CapacityState, StartLimiter
from ramppin.gateway.process.overload.ticket import Ticket, Turn, TurnDecision

STEP_S = 0.005
USUAL_WAIT_S = 0.1
FOREVER = 1e6


class FakeLimiter(StartLimiter):
    """Allows what the scenario sets, and records what the scheduler reports."""

    def __init__(self, allowed=0, rate=10.0, *, is_busy=True):
        self.allowed = allowed
        self.rate = rate
        self.busy = is_busy
        self.calls = []
        self.started = []
        self.waiting = {}

    def is_busy(self, service, now):
        self.calls.append("is_busy")
        return self.busy

    def may_start(self, service, rank, now):
        self.calls.append("may_start")
        return self.allowed > 0

    def note_started(self, service, rank, now):
        self.calls.append("note_started")
        self.allowed -= 1
        self.started.append((service, rank))

    def note_waiting(self, service, waiting, now):
        self.calls.append("note_waiting")
        assert len(waiting) == 10
        self.waiting[service] = tuple(waiting)

    def estimate_start_rate(self, service, rank, now):
        return self.rate

    def describe(self, service, now):
        return CapacityState()


class SlotLimiter(FakeLimiter):
    """Servers that run a number of requests at a time, for 0.5 to 1.5 times a mean.

    With equal times, requests that start at one moment would end at one moment, and
    the slots would be free in bursts. ``stated`` is the ratio of the start rate that it
    states to the true one.
    """

    def __init__(self, slots, service_s, stated=1.0, seed=1):
        super().__init__()
        self.generator = random.Random(seed)
        self.slots = slots
        self.service_s = service_s
        self.stated = stated
        self.ends = []

    def is_busy(self, service, now):
        return len(self.ends) >= 0.75 * self.slots

    def may_start(self, service, rank, now):
        return len(self.ends) < self.slots

    def note_started(self, service, rank, now):
        self.started.append((service, rank))
        service_s = self.service_s * self.generator.uniform(0.5, 1.5)
        heapq.heappush(self.ends, now + service_s)

    def estimate_start_rate(self, service, rank, now):
        return self.stated * self.slots / self.service_s

    def count_ended(self, now):
        count = 0
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
            count += 1
        return count


@dataclass(eq=False)
class Request:
    """One request of a load pattern, and what became of it."""

    at: float
    rank: int = 0
    customer: str = "a"
    patience_s: float = 2.0
    deadline_s: float = 10.0
    target_s: float | None = 0.4
    work: float = 1.0
    weight: float = 1.0
    size_bytes: int = 1000
    is_returned: bool = False
    service: str = "chat"
    started_at: float | None = None
    decided_at: float | None = None
    refusal: TurnDecision | None = None
    has_waited: bool = False
    decisions: list[TurnDecision] = field(default_factory=list)
    ticket: Ticket | None = None
    repeat: Request | None = None

    @property
    def is_served(self):
        """Whether it was started, or the request that repeats it was."""
        is_repeat_served = self.repeat is not None and self.repeat.is_served
        return self.started_at is not None or is_repeat_served

    def make_ticket(self, decide=None):
        self.ticket = Ticket(
            service=self.service,
            rank=self.rank,
            customer=self.customer,
            weight=self.weight,
            work=self.work,
            size_bytes=self.size_bytes,
            arrived=self.at,
            target_at=None if self.target_s is None else self.at + self.target_s,
            patient_until=self.at + self.patience_s,
            ends_at=self.at + self.deadline_s,
            returned=self.is_returned,
            decide=decide or self.decisions.append,
        )
        return self.ticket

    def note(self, decision, now):
        if decision.turn is Turn.WAIT:
            self.has_waited = True
            return
        self.decided_at = now
        if decision.turn is Turn.START:
            self.started_at = now
        else:
            self.refusal = decision

    def make_repeat(self):
        """Return the request by which the caller follows Retry-After."""
        self.repeat = replace(
            self,
            at=self.decided_at + self.refusal.retry_after_s,
            deadline_s=self.at
            + self.deadline_s
            - self.decided_at
            - self.refusal.retry_after_s,
            is_returned=True,
            started_at=None,
            decided_at=None,
            refusal=None,
            has_waited=False,
            decisions=[],
            ticket=None,
            repeat=None,
        )
        return self.repeat

    def is_served_within(self, seconds):
        """Whether the first byte arrives within a time from the arrival."""
        if self.started_at is None:
            return False
        return self.started_at + USUAL_WAIT_S - self.at <= seconds


class Replay:
    """Plays requests against a scheduler in steps of its own time.

    Callers repeat a refused request once, as Retry-After says.
    """

    def __init__(self, limiter, rules=None, seed=1):
        self.limiter = limiter
        self.now = 0.0
        self.scheduler = Scheduler(
            rules or OverloadRules(enabled=True),
            limiter,
            random.Random(seed),
            lambda service: USUAL_WAIT_S,
        )
        self.due = []
        self.refused = []
        self.requests = []
        self.next_check = None

    def send(self, request):
        heapq.heappush(self.due, (request.at, len(self.requests), request))
        self.requests.append(request)

    @property
    def originals(self):
        """The requests that repeat none."""
        return [request for request in self.requests if not request.is_returned]

    def run(self, until, before_step=None):
        """Advance to a time; ``before_step`` may change the pattern at each step."""
        while self.now < until:
            if before_step is not None:
                before_step(self.now)
            self._step()
            self.now += STEP_S

    def _step(self):
        now = self.now
        for _ in range(self.limiter.count_ended(now)):
            self.scheduler.note_ended("chat", now)
        for request in self.refused:
            if not request.is_returned:
                self.send(request.make_repeat())
        self.refused.clear()
        while self.due and self.due[0][0] <= now:
            request = heapq.heappop(self.due)[2]
            request.at = now
            ticket = request.make_ticket(
                lambda decision, request=request: self._note(request, decision)
            )
            self._note(request, self.scheduler.submit(ticket, now))
        if self.next_check is not None and now >= self.next_check:
            self.scheduler.pump(now)
        self.next_check = self.scheduler.find_next_check(now)

    def _note(self, request, decision):
        request.note(decision, self.now)
        if request.refusal is not None:
            self.refused.append(request)


def draw_arrivals(rate_per_s, seconds, seed, **fields):
    """Return requests at random times with a mean rate."""
    generator = random.Random(seed)
    requests, at = [], 0.0
    while (at := at + generator.expovariate(rate_per_s)) < seconds:
        requests.append(Request(at=at, **fields))
    return requests


def find_share(requests, is_good):
    """Return the share of requests for which a condition holds."""
    return sum(map(is_good, requests)) / max(1, len(requests))
