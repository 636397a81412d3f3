"""Back-offs that a backend server requested from other VMs, as reported by them.

A back-off applies to the VM that was asked for it. But a server that asks several VMs
is likely to ask the next one too, which would cost that VM a retry. So other servers
are preferred once two other VMs were asked; a single one may be rejected for a reason
of its own. Peers' reports never close a server. No I/O.
"""

from __future__ import annotations

MIN_REPORTING_VMS = 2
"""Other VMs that must have been asked for a back-off before other servers are
preferred."""


class FleetShedding:
    """Back-offs that one backend server has requested from other VMs.

    .. versionadded:: 0.3
    """

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def note_peer_backoff(self, vm: str, until: float) -> None:
        """Record a back-off reported by a peer.

        Args:
            vm: name of the peer.
            until: event-loop time at which the back-off ends.
        """
        self._until[vm] = max(until, self._until.get(vm, until))

    def is_likely(self, now: float) -> bool:
        """Return whether the server is likely to reject this VM's requests too."""
        if not self._until:
            return False
        self._until = {vm: until for vm, until in self._until.items() if until > now}
        return len(self._until) >= MIN_REPORTING_VMS

    def measure_backoff_s(self, now: float) -> float:
        """Return for how many seconds it is likely to reject this VM's requests."""
        return max(self._until.values()) - now if self.is_likely(now) else 0.0
