"""Why the last requests went where they went.

Owns the decisions of the last requests, in memory; they are gone with the process.
"""

from __future__ import annotations

from collections import OrderedDict

KEPT_REQUESTS = 400
"""Requests whose decisions are kept."""


class Explanations:
    """The decisions of the last requests, by request id.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._found: OrderedDict[str, list[dict[str, object]]] = OrderedDict()

    def add(self, request_id: str, decision: dict[str, object]) -> None:
        """Keep a decision about a request."""
        decisions = self._found.setdefault(request_id, [])
        decisions.append(decision)
        if len(self._found) > KEPT_REQUESTS:
            self._found.popitem(last=False)

    def find(self, request_id: str) -> list[dict[str, object]]:
        """Return the decisions about a request, the first one first."""
        return self._found.get(request_id, [])
