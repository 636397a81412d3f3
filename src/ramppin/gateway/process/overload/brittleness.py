"""Services whose backend servers state that they are brittle.

Such a server falls over if it has to reject more than a stated number of requests
within a second. So while any server of a service states this, overload control applies
to the service: its servers get no more than they run at once, and the rest waits at the
VMs. The statement stands in every answer of every server of the service; it is in
effect for a while after the last one, and VMs send it to each other. A server that
rejected requests of several VMs gets none of any VM for a while. No I/O.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ramppin.gateway.connection.datagrams import BrittleHint
from ramppin.gateway.process.routing.serverstate import ServerState

LIFETIME_S = 5.0
"""Seconds after the last statement for which it is in effect. A server that has fallen
over is silent for some seconds, and a service may get few requests."""

RESEND_S = 1.0
"""Seconds after which a statement in effect is sent to the other VMs again."""

REJECTION_BACKOFF_S = 1.0
"""Seconds for which a VM sends nothing to a brittle server that rejected a request: the
time over which the server counts its rejections."""

MARGIN_CUT = 0.75
"""Factor of the queue margin at each known rejection. How many requests a server still
lets wait is not stated."""

MARGIN_GAIN_PER_S = 0.2
"""Share of the queue margin that is regained in a second without a rejection."""

MAX_REJECTED_VMS = 2
"""Other VMs that a brittle server may have rejected within that time before this VM
sends it nothing either. VMs report no more of them."""

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
        margin_share: share of the queue margin that was used after the last rejection.
        rejected_at: event-loop time of that rejection.
        reported: whether :meth:`BrittleServices.pop_changes` returned its begin.
    """

    tolerance: int
    stated_at: float
    sent_at: float = float("-inf")
    margin_share: float = 1.0
    rejected_at: float = float("-inf")
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

    def note_rejected(self, service: str, now: float) -> None:
        """Record that a server rejected a request of this VM or of another one.

        Args:
            service: the server's service, brittle or not.
            now: event-loop time.
        """
        share = self.find_margin_share(service, now)
        statement = self._statements.get(service)
        if statement is not None:
            statement.margin_share = MARGIN_CUT * share
            statement.rejected_at = now

    def find_margin_share(self, service: str, now: float) -> float:
        """Return the share of the queue margin that servers get, from 0 to 1.

        Args:
            service: the service.
            now: event-loop time.
        """
        statement = self._statements.get(service)
        if statement is None:
            return 1.0
        gained = MARGIN_GAIN_PER_S * (now - statement.rejected_at)
        return min(1.0, statement.margin_share + gained)

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

    def find_closed_until(self, state: ServerState, now: float) -> float | None:
        """Return when this VM may send to a brittle server that rejects requests.

        The server counts its rejections over all VMs, so that those of other VMs close
        it too, well before as many as it tolerates.

        Args:
            state: the server.
            now: event-loop time.

        Returns:
            Event-loop time, or None if it may get requests now, or is not brittle.
        """
        statement = self._statements.get(state.server.service)
        if statement is None or now - statement.stated_at >= LIFETIME_S:
            return None
        own = state.notices.find_backoff_end(now)
        vms = min(MAX_REJECTED_VMS, max(1, statement.tolerance // 2))
        others = state.shedding.find_recent_end(vms, REJECTION_BACKOFF_S, now)
        return max((end for end in (own, others) if end is not None), default=None)

    def pop_changes(self, now: float) -> list[BrittleChange]:
        """Return the changes since the last call, and drop statements that expired."""
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
