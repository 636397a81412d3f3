"""Retry budget of the fleet, enforced by each VM without a shared counter.

In any window the fleet may retry a ratio of the requests of that window or of the one
before it, whichever are more, and a fixed number beyond. No VM sees the others'
requests, so each one keeps to what can be added up: in each window, half of the ratio
of its own requests in the window and the one before it, and its part of the extra. The
sum over all VMs holds wherever the traffic goes, and however often processes restart:
one that starts counts no earlier requests, and has no extra
(:mod:`~.retryshare`).

Owns the times of requests and retries, by service.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetryRules:
    """Retry budget of the fleet and this VM's share of it.

    Attributes:
        ratio: retries per request of a service.
        window_s: length of a window in seconds; same as the platform's default.
        extra: retries that this VM may make beyond the ratio if the fleet has no limit.
        fleet_extra: retries that all VMs together may make beyond the ratio; None if
            each VM may make ``extra``.
    """

    ratio: float = 0.17
    window_s: float = 10.0
    extra: int = 2
    fleet_extra: int | None = None

    def share_extra(self, sharing_vms: int | None) -> float:
        """Return the retries that one VM may make beyond the ratio.

        Args:
            sharing_vms: number of VMs that share the fleet's extra, including this
                one; None while this VM may not use its part.
        """
        if self.fleet_extra is None:
            return self.extra
        return self.fleet_extra / sharing_vms if sharing_vms else 0.0


class EventTimes:
    """The times of events, kept for a while.

    Args:
        kept_s: how long a time is kept, in seconds.
    """

    def __init__(self, kept_s: float) -> None:
        self._kept_s = kept_s
        self._times: list[float] = []

    def add(self, now: float) -> None:
        """Add an event, and discard the old ones."""
        del self._times[: bisect_left(self._times, now - self._kept_s)]
        self._times.append(now)

    def count_since(self, start: float) -> int:
        """Return the number of events since a time."""
        return len(self._times) - bisect_left(self._times, start)

    def list_since(self, start: float) -> list[float]:
        """Return the times of the events since a time, oldest first."""
        return self._times[bisect_left(self._times, start) :]


@dataclass(frozen=True, slots=True)
class RetryUse:
    """Use of a VM's retry budget for one service in the last window.

    Attributes:
        service: name of the service.
        requests: number of requests from callers.
        retries: number of retries.
        extra: retries that were allowed beyond the ratio.
        sharing_vms: number of VMs by which the fleet's extra was divided; None if this
            VM had no part.
    """

    service: str
    requests: int
    retries: int
    extra: float
    sharing_vms: int | None


class RetryWindow:
    """Allows retries of one service in proportion to its requests.

    Args:
        ratio: retries per request.
        window_s: length of a window in seconds.
        extra: retries that are always allowed in a window.

    Attributes:
        ratio: as above; updated when the rules change.
        extra: as above; updated when this VM's part of the fleet's extra changes.

    .. versionadded:: 0.2
    """

    def __init__(self, *, ratio: float, window_s: float, extra: float) -> None:
        self.ratio = ratio
        self.extra = extra
        self._window_s = window_s
        self._requests = EventTimes(2 * window_s)
        self._retries = EventTimes(window_s)

    def note_request(self, now: float) -> None:
        """Record a request from a caller."""
        self._requests.add(now)

    def allows_retry(self, now: float) -> bool:
        """Return whether a retry is allowed now, without counting it.

        A window may begin at any time. More retries than before are in it only if it
        begins at one of them, so that those windows are checked.
        """
        begins = [*self._retries.list_since(now - self._window_s), now]
        return all(
            len(begins) - index <= self._measure_allowance(begin)
            for index, begin in enumerate(begins)
        )

    def consume(self, now: float) -> bool:
        """Count a retry if one is allowed; return whether it is."""
        if not self.allows_retry(now):
            return False
        self._retries.add(now)
        return True

    def measure_requests_per_s(self, now: float) -> float:
        """Return the rate of requests from callers, averaged over the window."""
        return self.count_requests(now) / self._window_s

    def count_requests(self, now: float) -> int:
        """Return the number of requests from callers in the last window."""
        return self._requests.count_since(now - self._window_s)

    def count_retries(self, now: float) -> int:
        """Return the number of retries in the last window."""
        return self._retries.count_since(now - self._window_s)

    def _measure_allowance(self, begin: float) -> float:
        """Return the retries allowed since a time in the last window."""
        requests = self._requests.count_since(begin - self._window_s)
        return self.ratio / 2 * requests + self.extra


class RetryBudget:
    """Retry budget of this VM, with one window for each service.

    Args:
        rules: how many retries are allowed.

    .. versionadded:: 0.2
    """

    def __init__(self, rules: RetryRules) -> None:
        self._rules = rules
        self._sharing_vms: int | None = None
        self._windows: dict[str, RetryWindow] = {}

    @property
    def rules(self) -> RetryRules:
        """The rules in force."""
        return self._rules

    def replace_rules(self, rules: RetryRules) -> None:
        """Replace the rules. What was counted stays, unless windows change in length.

        Then this VM has no extra until its part is set again.
        """
        if rules.window_s != self._rules.window_s:
            self._windows.clear()
            self._sharing_vms = None
        self._rules = rules
        self._update_windows()

    def set_sharing_vms(self, sharing_vms: int | None) -> None:
        """Set how many VMs, including this one, share the fleet's extra.

        Args:
            sharing_vms: their number; None while this VM may not use its part.
        """
        if sharing_vms != self._sharing_vms:
            self._sharing_vms = sharing_vms
            self._update_windows()

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
                self._sharing_vms,
            )
            for service, window in self._windows.items()
            if window.count_retries(now)
        ]

    def _update_windows(self) -> None:
        for window in self._windows.values():
            window.ratio = self._rules.ratio
            window.extra = self._rules.share_extra(self._sharing_vms)

    def _find_window(self, service: str) -> RetryWindow:
        window = self._windows.get(service)
        if window is None:
            rules = self._rules
            window = self._windows[service] = RetryWindow(
                ratio=rules.ratio,
                window_s=rules.window_s,
                extra=rules.share_extra(self._sharing_vms),
            )
        return window
