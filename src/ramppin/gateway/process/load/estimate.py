"""What is known about the load of one backend server.

Owns the newest report of it: of an answer that this VM got, or told by another VM
(:mod:`~.gossip`). A load is known for a moment only: what a server held then ends one
request after the other, and others come. So a report counts less the older it is, and
the mean of all servers takes its place. No I/O.
"""

from __future__ import annotations

import math

REPORT_MAX_AGE_S = 4.0
"""Seconds after which a load report says nothing any more."""

PEAK_DECAY_S = 5.0
"""Seconds in which a peak of load fades to a third. Requests of a hot prefix come in
bunches, as after each stall of the VMs, and the server is calm between."""

NEVER = float("-inf")
"""The loop's time of what has not happened."""


class ServerLoad:
    """The newest load report of one backend server.

    Attributes:
        requests: that it held, running and waiting, the answered one included.
        reported_at: the loop's time of the report.

    .. versionadded:: 0.3
    """

    def __init__(self) -> None:
        self.requests = 0
        self.reported_at = NEVER
        self._in_flight_at_report = 0
        self._peak = 0
        self._peak_at = NEVER
        self._pending = False

    def note_report(self, requests: int, in_flight: int, now: float) -> None:
        """Take the load that an answer reported.

        Args:
            requests: that the server held.
            in_flight: those of them that this VM has there.
            now: the loop's time.
        """
        self._apply(requests, in_flight, now)
        self._pending = True

    def apply_peer_report(self, requests: int, in_flight: int, at: float) -> None:
        """Take a report that another VM got, unless a newer one is known.

        Args:
            requests: that the server held.
            in_flight: requests that this VM has there now.
            at: the loop's time of the report.
        """
        if at > self.reported_at:
            self._apply(requests, in_flight, at)
            self._pending = False

    def pop_pending(self) -> bool:
        """Return whether this VM got a report since the last call."""
        pending, self._pending = self._pending, False
        return pending

    def has_report(self, now: float) -> bool:
        """Return whether a report is fresh enough to count."""
        return now - self.reported_at <= REPORT_MAX_AGE_S

    def measure_age(self, now: float) -> float:
        """Return the age of the newest report in seconds."""
        return now - self.reported_at

    def estimate(
        self, in_flight: int, now: float, *, mean: float, lifetime_s: float
    ) -> float:
        """Return how many requests the server is likely to hold.

        Args:
            in_flight: requests of this VM that it has.
            now: the loop's time.
            mean: mean load of the service's servers.
            lifetime_s: how long a request stays at a server, in the mean.
        """
        if not self.has_report(now):
            return float(in_flight)
        left = math.exp(-max(0.0, self.measure_age(now)) / lifetime_s)
        since = in_flight - self._in_flight_at_report
        return max(in_flight, mean + (self.requests - mean) * left + since)

    def find_peak(self, now: float) -> float:
        """Return the highest load of late, in requests, the less the longer ago."""
        age_s = max(0.0, now - self._peak_at)
        return self._peak * math.exp(-age_s / PEAK_DECAY_S)

    def _apply(self, requests: int, in_flight: int, at: float) -> None:
        if requests >= self.find_peak(at):
            self._peak = requests
            self._peak_at = at
        self.requests = requests
        self.reported_at = at
        self._in_flight_at_report = in_flight
