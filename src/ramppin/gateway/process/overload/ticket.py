"""A request that asks for its turn, and the decision about it.

The ticket is the only object that is created for a request; it also carries the state
that the admission queue needs for it. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

RANKS = 10
"""Number of ranks of urgency, 0 (most urgent) to 9."""


class Turn(Enum):
    """What becomes of a request that asks for its turn."""

    START = "start"
    WAIT = "wait"
    REFUSED = "refused"


class RefusalRule(Enum):
    """Why a request is refused. None of these requests was sent to a server."""

    TOO_LATE = "too_late"
    """The forecast start is too late for the caller."""

    ROOM_FULL = "room_full"
    """The admission queue was full when the request arrived."""

    DISPLACED = "displaced"
    """Another request took its place in the full admission queue."""

    EXPIRED = "expired"
    """The caller's patience or the time limit ended while the request waited."""


@dataclass(frozen=True, slots=True)
class TurnDecision:
    """Decision about one request.

    Attributes:
        turn: whether the request starts, waits or is refused.
        rule: why it is refused; None otherwise.
        waited_s: time in the admission queue, in seconds.
        estimate_s: estimated wait in seconds, at the time of the decision. For a start
            it is the estimate that was made on arrival.
        ahead: requests ahead of it in this VM's admission queue.
        retry_after_s: value of ``Retry-After`` in seconds; None if it is not refused.

    .. versionadded:: 0.4
    """

    turn: Turn
    rule: RefusalRule | None = None
    waited_s: float = 0.0
    estimate_s: float = 0.0
    ahead: int = 0
    retry_after_s: float | None = None


class TicketState(Enum):
    """State of a ticket at the scheduler."""

    NEW = "new"
    SUBMITTED = "submitted"
    """Its submit call has not returned yet: it returns a decision made meanwhile."""

    WAITING = "waiting"
    DECIDED = "decided"
    WITHDRAWN = "withdrawn"


@dataclass(eq=False, slots=True)
class Ticket:
    """A request that asks for its turn.

    Attributes:
        service: name of the service.
        rank: urgency, 0 (first) to 9.
        customer: name of the customer; empty on public routes.
        weight: weight of the customer, over 0.
        work: prompt tokens to process / prompt rate + output tokens; 1 if unknown.
        size_bytes: memory that the request occupies while it waits.
        arrived: event-loop time at which the request was received.
        target_at: event-loop time of the target for the first byte, or None.
        patient_until: event-loop time at which the caller disconnects if it has
            received no first byte, or after which its stream can't end in time.
        ends_at: event-loop time of the deadline or of the route's limit.
        returned: whether the request repeats a request that was refused.
        decide: called once with START or REFUSED after a submit that returned WAIT.
        state: state at the scheduler.
        submitted_at: event-loop time at which it asked for its turn.
        estimate_s: estimated wait in seconds on arrival.
        raw_estimate_s: the same before the correction by observed waits.
        raw_late_estimate_s: the same as for a late request, if it was expected to be
            late.
        decision: decision made before the submit call has returned.

    .. versionadded:: 0.4
    """

    service: str
    rank: int
    customer: str
    weight: float
    work: float
    size_bytes: int
    arrived: float
    target_at: float | None
    patient_until: float
    ends_at: float
    returned: bool
    decide: Callable[[TurnDecision], None]
    state: TicketState = field(default=TicketState.NEW, init=False)
    submitted_at: float = field(default=0.0, init=False)
    estimate_s: float = field(default=0.0, init=False)
    raw_estimate_s: float = field(default=0.0, init=False)
    raw_late_estimate_s: float | None = field(default=None, init=False)
    decision: TurnDecision | None = field(default=None, init=False)

    @property
    def limit_at(self) -> float:
        """Event-loop time after which a first byte is of no use to the caller."""
        return min(self.patient_until, self.ends_at)
