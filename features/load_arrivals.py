"""Arrivals at backend servers, and whether they keep the bound on load.

What real servers held at each arrival; the check needs no word of the gateway.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass

RATIO, SLACK = 2.0, 3.0
WINDOW_S = 5.0
MOST_OVER, MOST_SHARE = 20, 0.03
"""In any window fewer arrivals over the limit than the first, or at most that share."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a server.

    Attributes:
        at: when, in seconds of the harness's clock.
        server: its id.
        held: what the server held before.
        mean: of all servers of its service.
    """

    at: float
    server: str
    held: int
    mean: float

    @property
    def is_over(self) -> bool:
        """Whether the server held more than the limit."""
        return self.held > RATIO * self.mean + SLACK


@dataclass(frozen=True, slots=True)
class Window:
    """The arrivals of a service in some seconds."""

    start: float = 0.0
    arrivals: int = 0
    over: tuple[Arrival, ...] = ()

    @property
    def share(self) -> float:
        """The share of arrivals over the limit."""
        return len(self.over) / max(1, self.arrivals)

    @property
    def is_broken(self) -> bool:
        """Whether too many were over the limit."""
        return len(self.over) >= MOST_OVER and self.share > MOST_SHARE

    def show(self, started: float) -> str:
        """Return a line for the report."""
        most = max((arrival.held for arrival in self.over), default=0)
        servers = Counter(arrival.server for arrival in self.over).most_common(3)
        if not self.over:
            return "no arrival over the limit"
        return (
            f"{len(self.over)} of {self.arrivals} arrivals over the limit in "
            f"{WINDOW_S:g} s from {self.start - started:.1f} s, share "
            f"{self.share:.3f}, most held {most}, at {dict(servers)}"
        )


def find_worst(arrivals: list[Arrival]) -> Window:
    """Return the window with the most arrivals over the limit, a broken one first."""
    worst = Window()
    window: deque[Arrival] = deque()
    over: deque[Arrival] = deque()
    for arrival in arrivals:
        window.append(arrival)
        if arrival.is_over:
            over.append(arrival)
        while arrival.at - window[0].at > WINDOW_S:
            left = window.popleft()
            if over and over[0] is left:
                over.popleft()
        found = Window(window[0].at, len(window), tuple(over))
        if (found.is_broken, len(over)) > (worst.is_broken, len(worst.over)):
            worst = found
    return worst
