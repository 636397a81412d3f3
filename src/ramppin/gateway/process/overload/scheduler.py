"""Decides when the requests of this VM start: now, later or never.

Combines the admission queue, the forecast and the VM's share of the capacity. Load
pattern: more requests than the servers of a service can hold, for seconds. No I/O.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from ramppin.gateway.process.overload.rules import OverloadRules
from ramppin.gateway.process.overload.ticket import Ticket, TurnDecision


class StartLimiter(Protocol):
    """What this VM may start now. Replaced by the class of ``startlimiter.py``."""

    def is_busy(self, service: str, now: float) -> bool:
        """Return whether requests of the service must ask for their turn."""

    def may_start(self, service: str, rank: int, now: float) -> bool:
        """Return whether this VM may start a request of this rank now."""

    def note_started(self, service: str, rank: int, now: float) -> None:
        """Count a start."""

    def note_waiting(self, service: str, waiting: Sequence[int], now: float) -> None:
        """Set this VM's waiting requests by rank."""

    def estimate_start_rate(self, service: str, rank: int, now: float) -> float:
        """Return the expected starts per second for this rank and more urgent ones."""


@dataclass(frozen=True, slots=True)
class ServiceQueue:
    """What waits for one service at this VM.

    Attributes:
        service: name of the service.
        by_rank: number of waiting requests by rank, 10 values.
        by_customer: number of waiting requests by customer.
        size_bytes: size of the waiting requests in bytes.
        oldest_wait_s: longest time for which one of them has waited, in seconds.

    .. versionadded:: 0.4
    """

    service: str
    by_rank: tuple[int, ...]
    by_customer: dict[str, int]
    size_bytes: int
    oldest_wait_s: float


class Scheduler:
    """Gives the requests of this VM their turns.

    Args:
        rules: settings of overload control.
        limiter: what this VM may start.
        generator: random source for the spread of ``Retry-After``.
        usual_wait_s: returns a service's usual wait for a first byte, in seconds.

    .. versionadded:: 0.4
    """

    def __init__(
        self,
        rules: OverloadRules,
        limiter: StartLimiter,
        generator: random.Random,
        usual_wait_s: Callable[[str], float],
    ) -> None:
        self._rules = rules
        self._limiter = limiter
        self._generator = generator
        self._usual_wait_s = usual_wait_s

    def submit(self, ticket: Ticket, now: float) -> TurnDecision:
        """Return START, WAIT or REFUSED for a new request.

        A WAIT is followed by exactly one call of the ticket's ``decide`` with START or
        REFUSED, unless it is withdrawn before.
        """
        raise NotImplementedError

    def withdraw(self, ticket: Ticket, now: float) -> None:
        """Remove a request whose caller disconnected; no decision follows."""
        raise NotImplementedError

    def note_ended(self, service: str, now: float) -> None:
        """Start what may start after a request of the service has ended."""
        raise NotImplementedError

    def pump(self, now: float) -> None:
        """Start and refuse every waiting request that is due."""
        raise NotImplementedError

    def find_next_check(self, now: float) -> float | None:
        """Return the event-loop time at which :meth:`pump` is due; None if empty."""
        raise NotImplementedError

    def describe(self, now: float) -> list[ServiceQueue]:
        """Return what waits, for each service with waiting requests."""
        raise NotImplementedError
