"""Which requests this VM may start now."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CapacityState:
    """Capacity of a service and this VM's share, as known at one moment.

    Attributes:
        limit: requests that the service's servers may hold.
        held: requests that they hold.
        free: the limit less what is held; negative while they hold more.
        share: requests that this VM may start.
        source: where the limit and what is held come from: ``reports``, ``requests``
            (of VMs), ``learned`` or ``setting``.
        age_s: age in seconds of the newest report or message that was used.
    """

    limit: float = 0.0
    held: float = 0.0
    free: float = 0.0
    share: float = 0.0
    source: str = "requests"
    age_s: float = 0.0


class StartLimiter(ABC):
    """Limits the requests that this VM sends to the servers of a service."""

    @abstractmethod
    def is_busy(self, service: str, now: float) -> bool:
        """Return whether requests must pass through the admission queue."""

    @abstractmethod
    def may_start(self, service: str, rank: int, now: float) -> bool:
        """Return whether a request of a rank may be sent now."""

    @abstractmethod
    def note_started(self, service: str, rank: int, now: float) -> None:
        """Record that a request is sent, whether it waited or not."""

    @abstractmethod
    def note_waiting(self, service: str, waiting: Sequence[int], now: float) -> None:
        """Record this VM's waiting requests by rank, as 10 values."""

    @abstractmethod
    def estimate_start_rate(self, service: str, rank: int, now: float) -> float:
        """Return the expected starts per second of a rank and more urgent ones."""

    @abstractmethod
    def describe(self, service: str, now: float) -> CapacityState:
        """Return the capacity of a service and this VM's share."""
