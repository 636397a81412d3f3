"""Attributes of requests that succeeded lately on this VM. No I/O."""

from __future__ import annotations

from collections import OrderedDict

MAX_SERVED = 4_096
"""Maximum number of attributes, those served last: 0.8 MB."""


class ServedKeys:
    """Keys of attributes, with the time at which a request with them last succeeded.

    .. versionadded:: 0.6
    """

    def __init__(self) -> None:
        self._served_at: OrderedDict[int, float] = OrderedDict()

    def __contains__(self, key: int) -> bool:
        return key in self._served_at

    def __len__(self) -> int:
        return len(self._served_at)

    def note(self, key: int, now: float) -> None:
        """Record that a request with an attribute succeeded.

        Args:
            key: key of the attribute.
            now: event-loop time.
        """
        self._served_at[key] = now
        self._served_at.move_to_end(key)
        if len(self._served_at) > MAX_SERVED:
            self._served_at.popitem(last=False)

    def find_time(self, key: int) -> float:
        """Return when a request with an attribute last succeeded, or minus infinity."""
        return self._served_at.get(key, float("-inf"))
