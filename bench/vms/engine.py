"""A model engine that only counts: slots, a queue, cached prefixes."""

from __future__ import annotations

from collections import OrderedDict, deque

from bench.vms.pattern import STEP_S, TOKENS_PER_S, Prompt

CACHED_TOKENS = 444_000
"""Tokens of prefixes that an engine caches."""


class Engine:
    """One model engine.

    Args:
        engine_id: its id.
        domain: its failure domain.
        slots: requests that it runs at once.
        slowness: how many times as long it takes as others.

    Attributes:
        running: requests that it runs.
        waiting: requests that wait in it.
    """

    def __init__(
        self, engine_id: str, domain: str, slots: int, slowness: float = 1.0
    ) -> None:
        self.id = engine_id
        self.domain = domain
        self._slots = slots
        self._slowness = slowness
        self.running = 0
        self.waiting: deque[int] = deque()
        self._cached: OrderedDict[int, int] = OrderedDict()

    @property
    def load(self) -> int:
        """Requests that it holds."""
        return self.running + len(self.waiting)

    @property
    def is_full(self) -> bool:
        """Whether another request would wait."""
        return self.running >= self._slots

    def has_prefix(self, key: int) -> bool:
        """Return whether it has a prefix cached."""
        return key in self._cached

    def cache(self, key: int, tokens: int) -> None:
        """Cache a prefix; the least recently used ones give way."""
        self._cached[key] = tokens
        self._cached.move_to_end(key)
        while sum(self._cached.values()) > CACHED_TOKENS:
            self._cached.popitem(last=False)

    def measure_first_s(self, prompt: Prompt, read_tokens: int) -> float:
        """Return the seconds from a prompt's start to its first token."""
        tokens = prompt.own_tokens + read_tokens
        return self._slowness * (tokens / TOKENS_PER_S + STEP_S)

    def measure_rest_s(self, prompt: Prompt) -> float:
        """Return the seconds from the first token to the last."""
        return self._slowness * prompt.tokens_out * STEP_S
