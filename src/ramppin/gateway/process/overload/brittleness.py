"""Services whose backend servers state that they are brittle.

Such a server falls over if it has to reject more than a stated number of requests
within a second. So while any server of a service says so, overload control applies to
the service: its servers get no more than they run at once, and the rest waits at the
VMs. The statement stands in every answer of every server of the service; it is in
effect for a while after the last one, and VMs send it to each other. No I/O.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ramppin.gateway.connection.datagrams import BrittleHint

LIFETIME_S = 5.0
"""Seconds after the last statement for which it is in effect. A server that has fallen
over is silent for some seconds, and a service may get few requests."""

RESEND_S = 1.0
"""Seconds after which a statement in effect is sent to the other VMs again."""

REJECTION_BACKOFF_S = 1.0
"""Seconds for which a VM sends nothing to a brittle server that rejected a request: the
time over which the server counts its rejections."""

MAX_TOLERANCE = 1_000_000
"""Largest number of rejections that a server may state."""

MS_PER_S = 1000


def parse_tolerance(value: bytes | None) -> int:
    """Return the rejections a second that a server states to tolerate.

    0 if it states nothing, or not a whole number from 1 to ``MAX_TOLERANCE``.
    """
    if value is None or not value.isdigit():
        return 0
    tolerance = int(value)
    return tolerance if tolerance <= MAX_TOLERANCE else 0


@dataclass(slots=True)
class _Statement:
    """The newest statement of a service's servers.

    Attributes:
        tolerance: rejections a second that a server tolerates.
        stated_at: event-loop time at which a VM received it in an answer.
        sent_at: event-loop time at which this VM sent it to the others.
        reported: whether :meth:`BrittleServices.pop_changes` returned its begin.
    """

    tolerance: int
    stated_at: float
    sent_at: float = float("-inf")
    reported: bool = False


@dataclass(frozen=True, slots=True)
class BrittleChange:
    """The begin or the end of a service's brittleness.

    Attributes:
        service: the service.
        tolerance: rejections a second that a server tolerates; 0 at the end.
    """

    service: str
    tolerance: int


class BrittleServices:
    """The services whose servers are brittle.

    .. versionadded:: 0.5
    """

    def __init__(self) -> None:
        self._statements: dict[str, _Statement] = {}

    def note(self, service: str, tolerance: int, at: float) -> None:
        """Record a statement.

        Args:
            service: the server's service.
            tolerance: rejections a second that it tolerates, at least 1.
            at: event-loop time at which a VM received it in an answer.
        """
        statement = self._statements.get(service)
        if statement is None:
            self._statements[service] = _Statement(tolerance, at)
        elif at >= statement.stated_at:
            statement.tolerance, statement.stated_at = tolerance, at

    def is_brittle(self, service: str, now: float) -> bool:
        """Return whether the servers of a service are brittle."""
        statement = self._statements.get(service)
        return statement is not None and now - statement.stated_at < LIFETIME_S

    def list_brittle(self, now: float) -> dict[str, int]:
        """Return the tolerated rejections of brittle servers by service."""
        return {
            service: statement.tolerance
            for service, statement in self._statements.items()
            if now - statement.stated_at < LIFETIME_S
        }

    def pop_changes(self, now: float) -> list[BrittleChange]:
        """Return the changes since the last call, and forget what is over."""
        changes = []
        for service, statement in list(self._statements.items()):
            if now - statement.stated_at >= LIFETIME_S:
                del self._statements[service]
                if statement.reported:
                    changes.append(BrittleChange(service, 0))
            elif not statement.reported:
                statement.reported = True
                changes.append(BrittleChange(service, statement.tolerance))
        return changes

    # exchange with other VMs

    def has_unsent(self) -> bool:
        """Return whether a service has just become brittle by an answer."""
        return any(s.sent_at == float("-inf") for s in self._statements.values())

    def collect(self, now: float) -> list[BrittleHint]:
        """Return the statements to send now."""
        hints = []
        for service, statement in self._statements.items():
            age_s = now - statement.stated_at
            if age_s < LIFETIME_S and now - statement.sent_at >= RESEND_S:
                statement.sent_at = now
                age_ms = round(age_s * MS_PER_S)
                hints.append(BrittleHint(service, statement.tolerance, age_ms))
        return hints

    def apply(self, hints: Sequence[BrittleHint], now: float) -> None:
        """Apply the statements that another VM sent."""
        for hint in hints:
            age_s = hint.age_ms / MS_PER_S
            if 0 < hint.tolerance <= MAX_TOLERANCE and 0 <= age_s < LIFETIME_S:
                is_new = hint.service not in self._statements
                self.note(hint.service, hint.tolerance, now - age_s)
                if is_new:
                    self._statements[hint.service].sent_at = now
