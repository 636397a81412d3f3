"""Recognises returned requests, and computes when refused requests may return.

Load pattern: many callers that are refused at one moment and return at once. No I/O.
"""

from __future__ import annotations


class ReturnDetector:
    """Recognises requests that repeat a refused one, without state of other VMs.

    .. versionadded:: 0.4
    """

    def is_returned(
        self, route: str, deadline_s: float | None, fingerprint: int, now: float
    ) -> bool:
        """Return whether a request repeats a refused one, and record its deadline.

        Args:
            route: name of the route.
            deadline_s: the caller's deadline in seconds; None if it sent none.
            fingerprint: hash of the request, the same each time that it is sent.
            now: current event-loop time.
        """
        raise NotImplementedError

    def note_refused(self, fingerprint: int, now: float) -> None:
        """Record a request that this VM refused."""
        raise NotImplementedError
