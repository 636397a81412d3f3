"""Quota of requests that this VM may send to a cold server.

A server that has just started handles only few requests per second for a while and
fails well above that rate. Each VM observes only its own share of the traffic, and no
VM coordinates the others. So wall-clock time is divided into windows that are the same
on all VMs, and the requests allowed in a window are assigned to VMs by rendezvous
hashing. VMs with the same member list agree without exchanging messages; a list that
differs by one VM shifts the quota by one request. Unused quota expires with its window:
if it accumulated, a hot prompt would spend it in one burst.

Owns, for each cold server, the remaining quota of this VM in the window. No I/O.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ramppin.ranking import RendezvousRanking, hash_name, mix

WINDOW_S = 1.0
"""Minimum length of a window in seconds. Any second overlaps at most two windows. In
shorter windows more quota expires unused, as a VM has no request to send."""

WINDOWS_PER_SECOND = 2
"""Number of windows whose requests may all reach a server within one second."""


@dataclass(frozen=True, slots=True)
class ColdRules:
    """How far a cold server's rate may be exceeded for one second.

    Attributes:
        overage: multiple of the rate that the server tolerates.
        slack: requests that it tolerates in addition to that multiple.
    """

    overage: float = 1.0
    slack: float = 0.0

    def compute_quota(self, per_s: float) -> int:
        """Return how many requests all VMs together may send in one window.

        Limited by the rate and by what the server tolerates in a second that overlaps
        two windows, but at least one: windows are long enough for one request.
        """
        tolerated = per_s * self.overage + self.slack
        return max(1, int(min(per_s * WINDOW_S, tolerated / WINDOWS_PER_SECOND)))


@dataclass(slots=True)
class _WindowQuota:
    """This VM's remaining quota for one server in one window."""

    window: int
    remaining: int


class ColdQuota:
    """Limits the requests that this VM sends to cold servers.

    Args:
        vm: this VM's name.
        list_vms: returns the names of the VMs that share the quota, including this one;
            empty while the fleet is unknown, in which case this VM's quota is 0.
        rules: how far a cold server's rate may be exceeded.
        read_time: returns the wall-clock time in seconds.

    .. versionadded:: 0.3
    """

    def __init__(
        self,
        vm: str,
        list_vms: Callable[[float], Sequence[str]],
        rules: ColdRules,
        read_time: Callable[[], float] = time.time,
    ) -> None:
        self._vm = vm
        self._list_vms = list_vms
        self._rules = rules
        self._read_time = read_time
        self._windows: dict[str, _WindowQuota] = {}
        self._ranking = RendezvousRanking()

    def count_remaining(self, server_id: str, per_s: float, now: float) -> int:
        """Return how many requests this VM may still send in the current window.

        Args:
            server_id: ID of the cold server.
            per_s: requests per second that it handles while cold, from all VMs.
            now: current event-loop time.
        """
        window = int(self._read_time() / _measure_window_s(per_s))
        quota = self._windows.get(server_id)
        if quota is None or quota.window != window:
            quota = _WindowQuota(
                window, self._compute_quota(server_id, per_s, window, now)
            )
            self._windows[server_id] = quota
        return quota.remaining

    def note_sent(self, server_id: str) -> None:
        """Count a request against the quota of a server, if it has one."""
        quota = self._windows.get(server_id)
        if quota is not None:
            quota.remaining -= 1

    def forget(self, server_id: str) -> None:
        """Discard the state of a server that is warm or was removed."""
        self._windows.pop(server_id, None)

    def measure_wait_s(self, per_s: float) -> float:
        """Return the seconds until the next window starts."""
        window_s = _measure_window_s(per_s)
        return window_s - self._read_time() % window_s

    def _compute_quota(
        self, server_id: str, per_s: float, window: int, now: float
    ) -> int:
        vms = self._list_vms(now)
        if not vms:
            return 0
        quota = self._rules.compute_quota(per_s)
        key = mix(hash_name(server_id), window)
        rank = self._ranking.rank(key, vms).index(self._vm)
        return quota // len(vms) + (rank < quota % len(vms))


def _measure_window_s(per_s: float) -> float:
    """Return the window length in seconds, long enough for at least one request."""
    return max(WINDOW_S, 1 / per_s)
