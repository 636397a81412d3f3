"""A budget of retries, so that a failure does not multiply the load."""

from __future__ import annotations

MAX_BALANCE = 10.0
"""Retries that a quiet time may save up."""


class RetryBudget:
    """Allows retries in proportion to requests.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self._balance = MAX_BALANCE

    def note_request(self, ratio: float) -> None:
        """Note a request that may cost ``ratio`` of a retry."""
        self._balance = min(MAX_BALANCE, self._balance + ratio)

    def try_spend(self) -> bool:
        """Return whether a retry may be made, and count it."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
