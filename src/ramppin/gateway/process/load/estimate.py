"""Load estimate of one backend server.

Holds its newest load report, from an answer to this VM or from a peer
(:mod:`~.gossip`). A report is exact only for a moment: the requests that the server
held end one after the other, and others arrive. So a report has less weight the older
it is, and the mean of all servers takes its place. No I/O.
"""

from __future__ import annotations

import math

REPORT_MAX_AGE_S = 4.0
"""Seconds after which a load report is not used any more."""

PEAK_DECAY_S = 5.0
"""Seconds in which a load peak decays to about a third (1/e). Requests of a hot prefix
arrive in bursts, as after each stall of the VMs, with low load in between."""

NEVER = float("-inf")
"""Event-loop time of an event that has not occurred."""


class ServerLoad:
    """The newest load report of one backend server.

    Attributes:
        requests: number of requests that it held, running and waiting, including the
            answered one.
        reported_at: event-loop time of the report.

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
        """Record the load that an answer reported.

        Args:
            requests: number of requests that the server held.
            in_flight: number of requests that this VM has there.
            now: event-loop time.
        """
        self._apply(requests, in_flight, now)
        self._pending = True

    def apply_peer_report(self, requests: int, in_flight: int, at: float) -> None:
        """Apply a report that another VM received, unless a newer one is known.

        Args:
            requests: number of requests that the server held.
            in_flight: number of requests that this VM has there now.
            at: event-loop time of the report.
        """
        if at > self.reported_at:
            self._apply(requests, in_flight, at)
            self._pending = False

    def pop_pending(self) -> bool:
        """Return whether this VM received a report since the last call."""
        pending, self._pending = self._pending, False
        return pending

    def has_report(self, now: float) -> bool:
        """Return whether a report is recent enough to be used."""
        return now - self.reported_at <= REPORT_MAX_AGE_S

    def measure_age(self, now: float) -> float:
        """Return the age of the newest report in seconds."""
        return now - self.reported_at

    def estimate(
        self, in_flight: int, now: float, *, mean: float, lifetime_s: float
    ) -> float:
        """Return the estimated number of requests that the server holds.

        Args:
            in_flight: number of requests of this VM that it holds.
            now: event-loop time.
            mean: mean load of the service's servers.
            lifetime_s: mean time for which a request stays at a server.
        """
        if not self.has_report(now):
            return float(in_flight)
        left = math.exp(-max(0.0, self.measure_age(now)) / lifetime_s)
        since = in_flight - self._in_flight_at_report
        return max(in_flight, mean + (self.requests - mean) * left + since)

    def find_peak(self, now: float) -> float:
        """Return the recent peak load in requests, which decays over time."""
        age_s = max(0.0, now - self._peak_at)
        return self._peak * math.exp(-age_s / PEAK_DECAY_S)

    def _apply(self, requests: int, in_flight: int, at: float) -> None:
        if requests >= self.find_peak(at):
            self._peak = requests
            self._peak_at = at
        self.requests = requests
        self.reported_at = at
        self._in_flight_at_report = in_flight
