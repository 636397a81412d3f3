"""Long uncached prompts that were sent to one backend server.

Load pattern: long uncached prompts that interrupt running streams. A server processes a
prompt in one piece, or in few; the streams that run there pause meanwhile, twice as
long if two such prompts arrive one after the other. Holds the newest ones by prefix.
No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

LONG_PROMPT_TOKENS = 2_000
"""Uncached tokens above which a prompt is long: they take 24 to 30 ms at the usual
speed, the time of about one event of the running streams."""

RECENT_S = 0.3
"""Seconds in which a server gets no second long prompt: 12,000 tokens take 150 to
180 ms, and twice as long at a slow server."""

REMEMBERED_S = 2.0
"""Seconds for which the prefix of a long prompt is known: until its first byte."""


@dataclass(frozen=True, slots=True)
class PromptWork:
    """Size of a prompt, and how long its route lets a stream pause.

    Attributes:
        tokens: all tokens.
        shared_tokens: tokens of the shared part.
        target_pause_s: longest pause that its route allows; None if none is set.
    """

    tokens: int
    shared_tokens: int
    target_pause_s: float | None = None

    def is_long(self, *, cached: bool) -> bool:
        """Return whether processing it interrupts running streams.

        Args:
            cached: whether the server has the shared part, or can copy it.
        """
        tokens = self.tokens - (self.shared_tokens if cached else 0)
        return tokens > LONG_PROMPT_TOKENS


class LongPrompts:
    """Long prompts that this VM sent to one backend server.

    .. versionadded:: 0.3
    """

    def __init__(self) -> None:
        self._started: dict[int, float] = {}

    def note_started(self, key: int, now: float) -> None:
        """Record that a long prompt with this prefix was sent."""
        self._started = {
            other: at for other, at in self._started.items() if now - at < REMEMBERED_S
        }
        self._started[key] = now

    def has_recent(self, now: float) -> bool:
        """Return whether another long prompt would follow one too closely."""
        return any(now - at < RECENT_S for at in self._started.values())

    def includes(self, key: int, now: float) -> bool:
        """Return whether the server may still process this prefix."""
        at = self._started.get(key)
        return at is not None and now - at < REMEMBERED_S
