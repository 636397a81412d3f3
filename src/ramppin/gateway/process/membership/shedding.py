"""Back-offs that a backend server requested from other VMs, as reported by them.

A back-off applies to the VM that was asked for it. But a server that asks several VMs
is likely to ask the next one too, which would cost that VM a retry. So other servers
are preferred once two other VMs were asked; a single one may be rejected for a reason
of its own. Peers' reports close brittle servers alone
(:mod:`ramppin.gateway.process.overload.brittleness`). No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_REPORTING_VMS = 2
"""Other VMs that must have been asked for a back-off before other servers are
preferred."""


@dataclass(frozen=True, slots=True)
class _Report:
    """A peer's report of its back-off.

    Attributes:
        until: event-loop time at which the back-off ends.
        received_at: event-loop time at which the newest report arrived.
    """

    until: float
    received_at: float


class FleetShedding:
    """Back-offs that one backend server has requested from other VMs.

    .. versionadded:: 0.3
    """

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def note_peer_backoff(self, vm: str, until: float, now: float) -> None:
        """Record a back-off reported by a peer.

        Args:
            vm: name of the peer.
            until: event-loop time at which the back-off ends.
            now: event-loop time at which the report arrived.
        """
        known = self._reports.get(vm)
        if known is not None:
            until = max(until, known.until)
        self._reports[vm] = _Report(until, now)

    def is_likely(self, now: float) -> bool:
        """Return whether the server is likely to reject this VM's requests too."""
        if not self._reports:
            return False
        reports = self._reports.items()
        self._reports = {vm: report for vm, report in reports if report.until > now}
        return len(self._reports) >= MIN_REPORTING_VMS

    def find_recent_end(self, vms: int, lifetime_s: float, now: float) -> float | None:
        """Return when fewer than some number of VMs have recently been asked.

        Args:
            vms: number of other VMs, at least 1.
            lifetime_s: seconds for which a VM's report counts as recent.
            now: event-loop time.

        Returns:
            Event-loop time, or None if fewer VMs were asked within that time.
        """
        ends = [
            min(report.until, report.received_at + lifetime_s)
            for report in self._reports.values()
        ]
        left = sorted(end for end in ends if end > now)
        return left[-vms] if len(left) >= vms else None

    def measure_backoff_s(self, now: float) -> float:
        """Return for how many seconds it is likely to reject this VM's requests."""
        if not self.is_likely(now):
            return 0.0
        return max(report.until for report in self._reports.values()) - now
