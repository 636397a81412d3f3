"""Failures of one backend server, as observed by all VMs.

In a large fleet each VM rarely sends a request to a given server, and would need three
requests of its own to find a failing one. So VMs report the failures that they observe
to each other, and stop preferring a server that fails a large part of the requests the
fleet is likely to send it. A VM counts and reports its own observations, but never
forwards reports. No I/O.

Failures reported by one failure domain may only show that its own links are bad, so
they count within that domain alone unless another domain reports the same.
"""

from __future__ import annotations

HALF_LIFE_S = 2.0
"""Half-life of a reported failure in seconds: an unused server is tried again about
that long after its last failure."""

MIN_FAILURES = 3.0
"""Decayed number of failures from which a server may be treated as failing."""

FAILURE_SHARE = 0.3
"""Share of the requests the fleet is likely to send a server that must fail. A lossy
network costs each server less than that, 0.02 to 0.1."""

MIN_REPORTING_DOMAINS = 2
"""Other failure domains that must report failures before their reports count here."""

MEAN_LIFE_S = HALF_LIFE_S / 0.6931
"""Mean lifetime of a failure in seconds, derived from the half-life."""


class FleetEvidence:
    """Failures of one backend server, as observed by all VMs.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._failures: dict[str, float] = {}
        self._at = float("-inf")

    def note_failures(self, count: float, domain: str, now: float) -> None:
        """Record failures observed by a VM.

        Args:
            count: number of failures.
            domain: the VM's failure domain.
            now: event-loop time.
        """
        self._decay(now)
        self._failures[domain] = self._failures.get(domain, 0.0) + count

    def is_failing(self, own_domain: str, requests_per_s: float, now: float) -> bool:
        """Return whether other servers should be preferred.

        Args:
            own_domain: this VM's failure domain.
            requests_per_s: requests a second that the fleet is likely to send the
                server.
            now: event-loop time.
        """
        if not self._failures:
            return False
        self._decay(now)
        failures = self._sum_credible(own_domain)
        expected = requests_per_s * MEAN_LIFE_S
        return failures >= MIN_FAILURES and failures >= FAILURE_SHARE * expected

    def _sum_credible(self, own_domain: str) -> float:
        own = self._failures.get(own_domain, 0.0)
        others = [
            count for domain, count in self._failures.items() if domain != own_domain
        ]
        reporting = sum(count >= 1.0 for count in others)
        if reporting >= MIN_REPORTING_DOMAINS or (own >= 1.0 and reporting):
            return own + sum(others)
        return own

    def _decay(self, now: float) -> None:
        """Apply exponential decay to the recorded failures."""
        if not self._failures:
            self._at = now
            return
        factor = 0.5 ** (max(0.0, now - self._at) / HALF_LIFE_S)
        self._at = max(self._at, now)
        decayed = {
            domain: count * factor
            for domain, count in self._failures.items()
            if count * factor > NEGLIGIBLE_FAILURES
        }
        self._failures = decayed


NEGLIGIBLE_FAILURES = 0.05
"""Decayed number of failures below which a failure domain's entry is removed."""
