"""Retry budget of the fleet, enforced by each VM without a shared counter.

Each VM allows retries in proportion to the requests that it received itself in a
sliding window, so that the sum over all VMs is proportional to all requests. The
extra retries that each VM allows beyond the ratio add up to a known number.

Owns the times of requests and retries in the last window, by service.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

EXTRA_SHARE = 0.9
"""Fraction of the fleet's extra retries that is divided among the VMs. The rest is a
reserve, since VMs that have just started are not yet known to all others."""

MAX_EXTRA = 4
"""Maximum extra retries of one VM: in a small fleet, a VM with bad network links must
not use up the budget of the others."""


@dataclass(frozen=True, slots=True)
class RetryRules:
    """Retry budget of the fleet and this VM's share of it.

    Attributes:
        ratio: retries per request of a service. The default is 0.85 of the 0.2 that
            the platform allows, since the windows of the VMs are not aligned.
        window_s: length of the sliding window in seconds; same as the platform's
            default.
        extra: retries that one VM may make beyond the ratio while it has no peers in
            its member list.
        fleet_extra: retries that all VMs together may make beyond the ratio; None if
            each VM may make ``extra``.
    """

    ratio: float = 0.17
    window_s: float = 10.0
    extra: int = 2
    fleet_extra: int | None = None

    def share_extra(self, live_vms: int) -> int:
        """Return the retries that one VM may make beyond the ratio.

        Args:
            live_vms: number of live VMs in the fleet, including this one.
        """
        if self.fleet_extra is None or live_vms <= 1:
            return self.extra
        return min(MAX_EXTRA, int(EXTRA_SHARE * self.fleet_extra / live_vms))


@dataclass(frozen=True, slots=True)
class RetryUse:
    """Use of a VM's retry budget for one service in the last window.

    Attributes:
        service: name of the service.
        requests: number of requests from callers.
        retries: number of retries.
        extra: retries that were allowed beyond the ratio.
        sharing_vms: number of VMs by which the fleet's extra was divided.
    """

    service: str
    requests: int
    retries: int
    extra: float
    sharing_vms: int


class RetryWindow:
    """Allows retries of one service in proportion to its recent requests.

    Args:
        ratio: retries per request.
        window_s: length of the sliding window in seconds.
        extra: retries that are always allowed in a window.

    Attributes:
        extra: as above; updated when the number of live VMs changes.

    .. versionadded:: 0.2
    """

    def __init__(self, *, ratio: float, window_s: float, extra: int) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self.extra = extra
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Record a request from a caller."""
        self._requests.append(now)
        self._discard_old(self._requests, now)

    def allows_retry(self, now: float) -> bool:
        """Return whether a retry is allowed now, without counting it."""
        self._discard_old(self._requests, now)
        self._discard_old(self._retries, now)
        allowed = self._ratio * len(self._requests) + self.extra
        return len(self._retries) + 1 <= allowed

    def consume(self, now: float) -> bool:
        """Count a retry if one is allowed; return whether it is."""
        if not self.allows_retry(now):
            return False
        self._retries.append(now)
        return True

    def measure_requests_per_s(self, now: float) -> float:
        """Return the rate of requests from callers, averaged over the window."""
        return self.count_requests(now) / self._window_s

    def count_requests(self, now: float) -> int:
        """Return the number of requests from callers in the window."""
        self._discard_old(self._requests, now)
        return len(self._requests)

    def count_retries(self, now: float) -> int:
        """Return the number of retries in the window."""
        self._discard_old(self._retries, now)
        return len(self._retries)

    def _discard_old(self, times: deque[float], now: float) -> None:
        while times and times[0] < now - self._window_s:
            times.popleft()


class RetryBudget:
    """Retry budget of this VM, with one window for each service.

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
        """The rules in force."""
        return self._rules

    def replace_rules(self, rules: RetryRules) -> None:
        """Replace the rules; if they changed, reset all windows."""
        if rules != self._rules:
            self._rules = rules
            self._windows.clear()

    def set_live_vms(self, live_vms: int) -> None:
        """Set how many live VMs, including this one, share the fleet's budget."""
        if live_vms != self._live_vms:
            self._live_vms = live_vms
            for window in self._windows.values():
                window.extra = self._rules.share_extra(live_vms)

    def note_request(self, service: str, now: float) -> None:
        """Record a request to a service."""
        self._find_window(service).note_request(now)

    def allows_retry(self, service: str, now: float) -> bool:
        """Return whether a retry to a service is allowed now, without counting it."""
        return self._find_window(service).allows_retry(now)

    def consume(self, service: str, now: float) -> bool:
        """Count a retry to a service if one is allowed; return whether it is."""
        return self._find_window(service).consume(now)

    def measure_requests_per_s(self, service: str, now: float) -> float:
        """Return the request rate of a service, averaged over the window."""
        return self._find_window(service).measure_requests_per_s(now)

    def list_use(self, now: float) -> list[RetryUse]:
        """Return the use of each service's budget, where there were retries."""
        return [
            RetryUse(
                service,
                window.count_requests(now),
                window.count_retries(now),
                window.extra,
                self._live_vms,
            )
            for service, window in self._windows.items()
            if window.count_retries(now)
        ]

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
