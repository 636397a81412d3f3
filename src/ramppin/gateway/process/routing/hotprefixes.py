"""Prefixes that are requested so often that one home is not enough.

One VM of a large fleet receives few prompts of a prefix, and none of those that arrive
at other VMs at the same moment. So a VM that often receives prompts of a prefix whose
home is at the load bound reports it to all others, and each of them uses more servers
for it. Reports by peers are not forwarded. Holds the last prompts of such prefixes, and
the prefixes that are hot. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

HOT_PERIOD_S = 5.0
"""Seconds within which a prefix must occur again to become hot, and for which it then
is hot. A rare prefix that two callers requested by chance is hot for as long."""

MAX_PROMPTS_PER_SERVER = 0.5
"""Prompts of this VM, per server of the service, within which a prefix must occur again
to become hot: 18 prompts with 37 servers. A prefix with a thousandth of the prompts
becomes hot by chance once in 50."""

MAX_PREFIXES = 1000
"""Maximum number of prefixes in each table; the oldest are dropped."""

PREFIXES_PER_MESSAGE = 8
"""Maximum number of hot prefixes in one message. They take 72 bytes, so that the
message is not fragmented with the rest of its content."""

NEVER = float("-inf")
"""Event-loop time of an event that has not occurred."""

_Value = TypeVar("_Value")


@dataclass(frozen=True, slots=True)
class _LastPrompt:
    """Last prompt of a prefix at this VM: its event-loop time and its number."""

    at: float
    prompt: int


class HotPrefixes:
    """Prefixes that need more servers than their home, found by this VM or by peers.

    .. versionadded:: 0.3
    """

    def __init__(self) -> None:
        self._prompts = 0
        self._last_prompts: dict[int, _LastPrompt] = {}
        self._hot_at: dict[int, float] = {}
        self._pending: dict[int, None] = {}

    def count_prompt(self) -> None:
        """Count a prompt of this VM, of any prefix."""
        self._prompts += 1

    def note_home_at_bound(self, key: int, servers: int, now: float) -> None:
        """Record that the home of the last counted prompt's prefix is at the bound.

        Args:
            key: key of the prefix.
            servers: number of servers of the prompt's service.
            now: event-loop time.
        """
        last = self._last_prompts.get(key)
        _put_newest(self._last_prompts, key, _LastPrompt(now, self._prompts))
        if last is None or now - last.at > HOT_PERIOD_S:
            return
        if self._prompts - last.prompt > MAX_PROMPTS_PER_SERVER * servers:
            return
        if now - self._hot_at.get(key, NEVER) > HOT_PERIOD_S / 2:
            self._pending[key] = None
            self.apply([key], now)

    def is_hot(self, key: int, now: float) -> bool:
        """Return whether a prefix needs more servers than its home."""
        return now - self._hot_at.get(key, NEVER) <= HOT_PERIOD_S

    def apply(self, keys: Iterable[int], now: float) -> None:
        """Apply the prefixes that a VM found hot."""
        for key in keys:
            _put_newest(self._hot_at, key, now)

    def collect(self) -> list[int]:
        """Return and clear prefixes that this VM found hot, at most one message's."""
        keys = list(self._pending)[:PREFIXES_PER_MESSAGE]
        for key in keys:
            del self._pending[key]
        return keys


def _put_newest(table: dict[int, _Value], key: int, value: _Value) -> None:
    """Insert an entry as the newest, and drop the oldest one if the table is full."""
    table.pop(key, None)
    table[key] = value
    if len(table) > MAX_PREFIXES:
        del table[next(iter(table))]
