"""The routing decisions of the most recent requests.

They are kept in memory and lost at a restart.
"""

from __future__ import annotations

from collections import OrderedDict

KEPT_REQUESTS = 400
"""Number of requests whose decisions are kept."""


class Explanations:
    """The decisions of the most recent requests, by request ID.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._found: OrderedDict[str, list[dict[str, object]]] = OrderedDict()

    def add(self, request_id: str, decision: dict[str, object]) -> None:
        """Store a decision about a request; drop the oldest request above the limit."""
        decisions = self._found.setdefault(request_id, [])
        decisions.append(decision)
        if len(self._found) > KEPT_REQUESTS:
            self._found.popitem(last=False)

    def find(self, request_id: str) -> list[dict[str, object]]:
        """Return the decisions about a request, oldest first."""
        return self._found.get(request_id, [])
