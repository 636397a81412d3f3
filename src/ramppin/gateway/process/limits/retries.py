"""The fleet's budget of retries, kept without a counter that anyone owns.

Each VM allows retries in proportion to the requests that it took itself in a
sliding window. The sum over all VMs stays in proportion to all requests, and
the few that a VM allows beyond that add up to a known number.
"""

from __future__ import annotations

from collections import deque


class RetryWindow:
    """Allows retries of one service in proportion to recent requests.

    Args:
        ratio: retries for each request.
        window_s: length of the sliding window.
        extra: retries that are always allowed in a window.

    .. versionadded:: 0.2
    """

    def __init__(self, *, ratio: float, window_s: float, extra: int) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._extra = extra
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Note a request of a caller."""
        self._requests.append(now)
        self._forget(self._requests, now)

    def has_left(self, now: float) -> bool:
        """Return whether a retry may be made."""
        self._forget(self._requests, now)
        self._forget(self._retries, now)
        allowed = self._ratio * len(self._requests) + self._extra
        return len(self._retries) + 1 <= allowed

    def take(self, now: float) -> bool:
        """Return whether a retry may be made, and count it."""
        if not self.has_left(now):
            return False
        self._retries.append(now)
        return True

    def _forget(self, times: deque[float], now: float) -> None:
        while times and times[0] < now - self._window_s:
            times.popleft()
