"""Reasons for which a backend server gets no requests from this VM.

A closed server gets no requests, even if no other server is left. Conditions that only
make other servers preferable, such as an ejection, are handled in :mod:`~.eligibility`
and close no server. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ramppin.gateway.process.routing.evacuation import Evacuations
from ramppin.gateway.process.routing.serverstate import ServerState


class ClosureReason(Enum):
    """Why a server is closed; the value appears in log lines and metrics."""

    GONE = "gone"
    """Its entry was removed, or it has restarted since."""

    UNREADABLE = "unreadable"
    """Its newest entry can't be read."""

    LEAVING = "leaving"
    """It announced that it accepts no new requests."""

    EVACUATED = "evacuated"
    """The operator has evacuated its failure domain."""

    RESTING = "resting"
    """It requested a back-off from this VM."""

    COLD = "cold"
    """It is cold, and this VM has no quota left for it."""


@dataclass(frozen=True, slots=True)
class Closure:
    """Closure of one server.

    Attributes:
        reason: why it is closed.
        opens_at: event-loop time at which it accepts requests again; None if that is
            unknown or it never will.
    """

    reason: ClosureReason
    opens_at: float | None = None


def find_lasting_closure(
    state: ServerState, evacuations: Evacuations
) -> ClosureReason | None:
    """Return the reason of a closure without a known end, or None.

    An evacuation lasts until the operator ends it; the other reasons last for the rest
    of the server's incarnation, or until it writes a new entry.

    Args:
        state: the server.
        evacuations: failure domains that the operator has evacuated.
    """
    if state.missing or state.restarted:
        return ClosureReason.GONE
    if state.unreadable:
        return ClosureReason.UNREADABLE
    if state.leaving:
        return ClosureReason.LEAVING
    if state.server.failure_domain in evacuations:
        return ClosureReason.EVACUATED
    return None
