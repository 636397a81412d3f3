"""How many requests this VM may send to a cold server: its turns among all VMs.

A server that has just started takes few requests a second for a while, and falls over
well above that. Each VM sees a sliver of what all of them send, and none is asked for a
choice. So time is cut into windows, the same at all VMs by the clock of day, and in
each window a server's places go to the VMs that rank first for it by rendezvous
hashing. VMs that know the same fleet agree without a word; one that knows a VM more or
less errs by a place. A place that is not used in its window is lost: places kept for
later would all be used at one moment when a hot prompt comes.

Owns, for each cold server, the places that this VM has left in the window. No I/O.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ramppin.ranking import RendezvousRanking, hash_name, mix

WINDOW_S = 1.0
"""Seconds of a window. Any second touches two at the most; in shorter ones a VM more
often has nothing to send while it has a place."""

WINDOWS_PER_SECOND = 2
"""Windows whose requests may all reach a server within one second."""


@dataclass(frozen=True, slots=True)
class ColdRules:
    """What a cold server bears for a second, beside the rate that it takes.

    Attributes:
        overage: multiple of the rate.
        slack: requests beyond that multiple.
    """

    overage: float = 1.0
    slack: float = 0.0

    def compute_quota(self, per_s: float) -> int:
        """Return how many requests all VMs may send to a server in one window.

        As many as the rate gives, and so few that what windows allow in one second is
        borne; one at the least, in a window that is long enough for it.
        """
        tolerated = per_s * self.overage + self.slack
        return max(1, int(min(per_s * WINDOW_S, tolerated / WINDOWS_PER_SECOND)))


@dataclass(slots=True)
class _WindowQuota:
    """This VM's places at one server in one window."""

    window: int
    remaining: int


class ColdQuota:
    """This VM's turns at cold servers.

    Args:
        vm: this VM's name.
        list_vms: returns the names of the VMs that share the places, this one included;
            none while the fleet is not known, in which case this VM has no place.
        rules: what a cold server bears.
        read_time: returns the time of day in seconds.

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
        """Return how many requests this VM may send to a cold server now.

        Args:
            server_id: the server's id.
            per_s: requests a second that it takes while cold, from all VMs.
            now: the loop's time.
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
        """Note that a request goes to a cold server."""
        quota = self._windows.get(server_id)
        if quota is not None:
            quota.remaining -= 1

    def forget(self, server_id: str) -> None:
        """Forget a server that is warm, or gone."""
        self._windows.pop(server_id, None)

    def measure_wait_s(self, per_s: float) -> float:
        """Return the seconds until the next window begins."""
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
    """Return the seconds of a window: long enough for one place."""
    return max(WINDOW_S, 1 / per_s)
