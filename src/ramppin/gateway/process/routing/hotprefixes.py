"""Which prefixes are asked for so often that one home is too few.

A VM among many sees few prompts of a prefix, and none of those that come in at other
VMs at the same moment. So one that meets a prefix often, while its home fills up, tells
all others, and each of them uses more servers for it. What was told is never told on.
Owns the prefixes met at homes that fill up, and those that are hot. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

HOT_PERIOD_S = 5.0
"""Seconds within which a prefix must be met again to be hot, and for which it then is.
A cold one that two callers happened to ask for is taken for hot as long."""

MAX_PROMPTS_PER_SERVER = 0.5
"""Parts of one server within which a prefix must be met again to be hot: with 37
servers among 18 prompts of this VM. One that is a thousandth of the prompts is so by
chance once in 50."""

MAX_PREFIXES = 1000
"""Prefixes of which each table keeps the time: the newest."""

PREFIXES_PER_MESSAGE = 8
"""Hot prefixes in one message, 72 bytes: with the rest it is not split."""

NEVER = float("-inf")
"""The loop's time of what has not happened."""

_Value = TypeVar("_Value")


@dataclass(frozen=True, slots=True)
class _LastPrompt:
    """When this VM last met a prefix: the loop's time, and the prompt's number."""

    at: float
    prompt: int


class HotPrefixes:
    """Prefixes that need more servers than their home, as this VM and others see it.

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
        """Note that the prompt counted last has a prefix whose home fills up.

        Args:
            key: of the prefix.
            servers: how many the prompt's service has.
            now: the loop's time.
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
        """Take the prefixes that a VM found hot."""
        for key in keys:
            _put_newest(self._hot_at, key, now)

    def collect(self) -> list[int]:
        """Return the prefixes that this VM found hot since the last call."""
        keys = list(self._pending)[:PREFIXES_PER_MESSAGE]
        for key in keys:
            del self._pending[key]
        return keys


def _put_newest(table: dict[int, _Value], key: int, value: _Value) -> None:
    """Put an entry behind all others; the oldest one gives way."""
    table.pop(key, None)
    table[key] = value
    if len(table) > MAX_PREFIXES:
        del table[next(iter(table))]
