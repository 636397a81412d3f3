"""A token bucket that limits retries, so that a failure does not multiply load."""

from __future__ import annotations

MAX_BALANCE = 10.0
"""Largest number of retries that can accumulate."""


class RetryBudget:
    """Allows retries in proportion to the number of requests.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self._balance = MAX_BALANCE

    def note_request(self, ratio: float) -> None:
        """Add ``ratio`` of a retry to the balance for a new request."""
        self._balance = min(MAX_BALANCE, self._balance + ratio)

    def try_spend(self) -> bool:
        """Spend one retry; return False if the balance is below one."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
