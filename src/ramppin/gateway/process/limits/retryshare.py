"""Decides by how many VMs the fleet's extra retries are divided.

Parts add up to the whole only if each VM that uses one is counted by all others that
use theirs. A VM that is restarted, cut off or new to the others must not make more of
it. So a VM counts each VM that was in the list of VMs within an hour, live or not, and
uses its part only

- if its list is current, and
- a window after all others have counted it: after each has sent it a message, which
  none does to a VM that is not in its list, or after the time in which lists become
  current.

What the others took as their parts before, and what a former process of this VM spent,
is then out of the window. No I/O.
"""

from __future__ import annotations

from ramppin.gateway.process.membership.members import MEMBER_BOUND_S, FleetMembers

NEVER = float("inf")


class RetryShare:
    """Whether a VM may use its part of the extra retries, and how many share them.

    Args:
        members: the other VMs.
        started_at: event-loop time at which the process started.

    .. versionadded:: 0.6
    """

    def __init__(self, members: FleetMembers, started_at: float) -> None:
        self._members = members
        self._started_at = started_at
        self._window_s: float | None = None
        self._usable_at = NEVER

    def count_sharing_vms(
        self, confirmed_at: float, window_s: float, now: float
    ) -> int | None:
        """Return the number of VMs that share, or None if this one has no part now.

        Args:
            confirmed_at: event-loop time at which the list of VMs was last current.
            window_s: length of the window of the retry budget, in seconds.
            now: event-loop time.
        """
        if window_s != self._window_s:
            self._window_s = window_s
            self._usable_at = NEVER
        if not self._is_current(confirmed_at, now):
            return None
        if self._usable_at == NEVER and self._is_counted_by_all(now):
            self._usable_at = now + window_s
        if now < self._usable_at:
            return None
        return self._members.count_sharing(now)

    def _is_current(self, confirmed_at: float, now: float) -> bool:
        """Return whether the list was read since the start, and lately."""
        return confirmed_at >= max(self._started_at, now - MEMBER_BOUND_S)

    def _is_counted_by_all(self, now: float) -> bool:
        listed_at = self._members.own_entry_at
        if listed_at is None:
            return False
        return self._members.has_message_from_all() or now - listed_at >= MEMBER_BOUND_S
