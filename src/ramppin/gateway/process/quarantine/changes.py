"""Changes in what is refused because it crashes servers, for operators."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ramppin.gateway.process.quarantine.record import ServerEnd


class ChangeKind(Enum):
    """Change in an attribute's state; the value is the event of its decision line."""

    QUARANTINED = "quarantined"
    """Terminations are attributed to it: requests with it are refused."""

    TRIED = "quarantine_trial"
    """One request is let through, to test whether it still crashes its server."""

    CLEARED = "quarantine_cleared"
    """A request with it succeeded, or an operator cleared it."""

    EXPLAINED = "quarantine_explained"
    """Its terminations are attributed to another attribute."""


@dataclass(frozen=True, slots=True)
class QuarantineChange:
    """Change in an attribute's state, for operators.

    Attributes:
        kind: the kind of change.
        key: key of the attribute.
        part: id of the prompt part; empty for a whole request.
        ends: the terminations that led to it, the oldest first.
    """

    kind: ChangeKind
    key: int
    part: str
    ends: tuple[ServerEnd, ...] = ()
