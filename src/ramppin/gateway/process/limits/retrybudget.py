"""The fleet's budget of retries, kept without a counter that anyone owns.

Each VM allows retries in proportion to the requests that it took itself in a
sliding window. The sum over all VMs stays in proportion to all requests, and
the few that a VM allows beyond that add up to a known number.

Owns the requests and retries of the last window, by service.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

EXTRA_SHARE = 0.9
"""Part of the fleet's extra retries that its VMs divide among themselves: VMs that have
just started are not known to all."""

MAX_EXTRA = 4
"""Extra retries of one VM: in a small fleet one VM with bad links must not spend what
the others need."""


@dataclass(frozen=True, slots=True)
class RetryRules:
    """The fleet's budget of retries, and this VM's part of it.

    Attributes:
        ratio: retries for each request of a service. The default is 0.85 of the
            0.2 that the platform allows, since VMs' windows don't move together.
        window_s: the sliding window, in seconds, as the platform's default.
        extra: retries that one VM may make beyond the ratio while it knows no others.
        fleet_extra: retries that all VMs together may make beyond the ratio; None if
            each has ``extra``.
    """

    ratio: float = 0.17
    window_s: float = 10.0
    extra: int = 2
    fleet_extra: int | None = None

    def share_extra(self, live_vms: int) -> int:
        """Return the retries that one VM may make beyond the ratio.

        Args:
            live_vms: live VMs of the fleet, this one included.
        """
        if self.fleet_extra is None or live_vms <= 1:
            return self.extra
        return min(MAX_EXTRA, int(EXTRA_SHARE * self.fleet_extra / live_vms))


class RetryWindow:
    """Allows retries of one service in proportion to recent requests.

    Args:
        ratio: retries for each request.
        window_s: length of the sliding window, in seconds.
        extra: retries that are always allowed in a window.

    Attributes:
        extra: as given; may change with the fleet.

    .. versionadded:: 0.2
    """

    def __init__(self, *, ratio: float, window_s: float, extra: int) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self.extra = extra
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Note a request of a caller."""
        self._requests.append(now)
        self._discard_old(self._requests, now)

    def allows_retry(self, now: float) -> bool:
        """Return whether a retry may be made."""
        self._discard_old(self._requests, now)
        self._discard_old(self._retries, now)
        allowed = self._ratio * len(self._requests) + self.extra
        return len(self._retries) + 1 <= allowed

    def consume(self, now: float) -> bool:
        """Return whether a retry may be made, and count it."""
        if not self.allows_retry(now):
            return False
        self._retries.append(now)
        return True

    def measure_requests_per_s(self, now: float) -> float:
        """Return the requests of callers in a second, over the window."""
        self._discard_old(self._requests, now)
        return len(self._requests) / self._window_s

    def _discard_old(self, times: deque[float], now: float) -> None:
        while times and times[0] < now - self._window_s:
            times.popleft()


class RetryBudget:
    """This VM's budget of retries, a window for each service.

    Args:
        rules: how many retries are allowed.

    .. versionadded:: 0.2
    """

    def __init__(self, rules: RetryRules) -> None:
        self._rules = rules
        self._live_vms = 1
        self._windows: dict[str, RetryWindow] = {}

    @property
    def rules(self) -> RetryRules:
        """How many retries are allowed."""
        return self._rules

    def replace_rules(self, rules: RetryRules) -> None:
        """Take new rules; if they differ, begin every window anew."""
        if rules != self._rules:
            self._rules = rules
            self._windows.clear()

    def set_live_vms(self, live_vms: int) -> None:
        """Take how many live VMs share the fleet's budget, this one included."""
        if live_vms != self._live_vms:
            self._live_vms = live_vms
            for window in self._windows.values():
                window.extra = self._rules.share_extra(live_vms)

    def note_request(self, service: str, now: float) -> None:
        """Note a request of a service."""
        self._find_window(service).note_request(now)

    def allows_retry(self, service: str, now: float) -> bool:
        """Return whether a retry of a service may be made, without counting it."""
        return self._find_window(service).allows_retry(now)

    def consume(self, service: str, now: float) -> bool:
        """Return whether a retry of a service may be made, and count it."""
        return self._find_window(service).consume(now)

    def measure_requests_per_s(self, service: str, now: float) -> float:
        """Return a service's requests in a second, over the window."""
        return self._find_window(service).measure_requests_per_s(now)

    def _find_window(self, service: str) -> RetryWindow:
        window = self._windows.get(service)
        if window is None:
            rules = self._rules
            window = self._windows[service] = RetryWindow(
                ratio=rules.ratio,
                window_s=rules.window_s,
                extra=rules.share_extra(self._live_vms),
            )
        return window
