"""Which VMs a backend server turns away, as they tell each other.

A rest binds the VM that was asked for it. But a server that asks several VMs is likely
to ask the next as well, and each that finds out by a request of its own spends a retry.
So other servers are preferred where two other VMs were asked; one alone may be turned
away for itself. What was told closes nothing. No I/O.
"""

from __future__ import annotations

MIN_REPORTING_VMS = 2
"""Other VMs that must have been asked for rest before a server is passed over here."""


class FleetShedding:
    """The rests that one backend server has asked other VMs for.

    .. versionadded:: 0.3
    """

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def note_peer_backoff(self, vm: str, until: float) -> None:
        """Take a VM's word that it was asked for rest.

        Args:
            vm: the VM's name.
            until: the loop's time at which the rest ends.
        """
        self._until[vm] = max(until, self._until.get(vm, until))

    def is_likely(self, now: float) -> bool:
        """Return whether the server is likely to turn this VM away too."""
        if not self._until:
            return False
        self._until = {vm: until for vm, until in self._until.items() if until > now}
        return len(self._until) >= MIN_REPORTING_VMS

    def measure_backoff_s(self, now: float) -> float:
        """Return for how many seconds it is likely to turn this VM away."""
        return max(self._until.values()) - now if self.is_likely(now) else 0.0
