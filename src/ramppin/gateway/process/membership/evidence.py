"""What all VMs together saw of one backend server's failures.

A VM among many meets each server rarely: by its own sight alone each would find a bad
server out by three requests of its own. So VMs tell each other the failures that they
saw, and each weighs them: a server that fails a large part of what the fleet is likely
to send it is passed over. Own sight is told as well as kept, and what was told is never
told on. No I/O.

The word of one failure domain may only show that its own links are bad, so it counts
there alone unless another domain sees the same.
"""

from __future__ import annotations

HALF_LIFE_S = 2.0
"""Seconds in which what was told counts half: a server that no one uses any more is
tried again about that long after the last failure."""

MIN_FAILURES = 3.0
"""Failures, each less by its age, from which a server may be passed over."""

FAILURE_SHARE = 0.3
"""Part of the requests that the fleet is likely to send a server that must fail: above
what a network that loses answers costs each server, 0.02 to 0.1."""

MIN_REPORTING_DOMAINS = 2
"""Other failure domains that must see a server fail before their word counts here."""

MEAN_LIFE_S = HALF_LIFE_S / 0.6931
"""Seconds for which a failure counts on average, from the half-life."""


class FleetEvidence:
    """Failures of one backend server, as all VMs saw them.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._failures: dict[str, float] = {}
        self._at = float("-inf")

    def note_failures(self, count: float, domain: str, now: float) -> None:
        """Take failures that a VM saw.

        Args:
            count: how many.
            domain: the VM's failure domain.
            now: the loop's time.
        """
        self._decay(now)
        self._failures[domain] = self._failures.get(domain, 0.0) + count

    def is_bad(self, own_domain: str, requests_per_s: float, now: float) -> bool:
        """Return whether the server should be passed over.

        Args:
            own_domain: this VM's failure domain.
            requests_per_s: requests that the fleet is likely to send the server.
            now: the loop's time.
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
        """Let what was noted count less by its age."""
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
"""Failures below which a failure domain's word is forgotten."""
