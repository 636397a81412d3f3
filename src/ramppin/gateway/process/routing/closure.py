"""Why a backend server takes nothing from this VM now.

A closed server is sent nothing, whatever else is left. What merely makes other servers
preferable, such as an ejection, stands in :mod:`~.eligibility` and closes none. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ramppin.gateway.process.routing.evacuation import Evacuations
from ramppin.gateway.process.routing.serverstate import ServerState


class ClosureReason(Enum):
    """What closes a server; the value stands in lines and metrics."""

    GONE = "gone"
    """Its entry has vanished, or a later start of it is known."""

    UNREADABLE = "unreadable"
    """Its newest entry can't be read."""

    LEAVING = "leaving"
    """It says that it takes nothing new."""

    EVACUATED = "evacuated"
    """The operator has emptied its failure domain."""

    RESTING = "resting"
    """It wants nothing from this VM for a while."""

    COLD = "cold"
    """It is cold, and this VM has no place there now."""


@dataclass(frozen=True, slots=True)
class Closure:
    """A server that is closed.

    Attributes:
        reason: what closes it.
        opens_at: the loop's time at which it takes requests again; None if that is
            not known, or will never be.
    """

    reason: ClosureReason
    opens_at: float | None = None


def find_lasting_closure(
    state: ServerState, evacuations: Evacuations
) -> ClosureReason | None:
    """Return what closes a server for the rest of its start; None if nothing does.

    An emptied failure domain lasts until the operator's next word.

    Args:
        state: the server.
        evacuations: failure domains that the operator has emptied.
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
