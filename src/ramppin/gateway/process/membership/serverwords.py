"""What servers said of themselves in their answers, for as long as that start lasts.

A server's entry in the log tells the same, but later, and not while the log is away.
What one start has said is kept when its entry vanishes, since entries vanish around an
outage of the log and come back; a later start of the server has said nothing. Does no
I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

KEPT_STARTS = 2000
"""Starts without an entry whose words are kept, the newest ones: twice the servers of
the largest fleet."""

MS_PER_S = 1000
"""Milliseconds of a second."""


class WordSource(Enum):
    """Who brought a server's word; the value stands in lines."""

    ANSWER = "answer"
    """An answer to a request of this VM."""


@dataclass(frozen=True, slots=True)
class LeavingWord:
    """A server's word that it takes nothing new.

    Attributes:
        source: who brought it.
        heard_at: the loop's time at which this VM heard it.
    """

    source: WordSource
    heard_at: float


@dataclass(slots=True)
class RestWord:
    """A server's word that it wants nothing from this VM for a while.

    Attributes:
        since: the loop's time at which it first asked for this rest.
        until: the loop's time at which the rest ends.
        asked: how often it asked for it.
    """

    since: float
    until: float
    asked: int = 1


class ServerWords:
    """What one start of a server has said.

    Attributes:
        leaving: its word that it leaves, which is never taken back; None before.
        rest: the newest rest that it asked for; None before the first.
        heard_ms: Unix time in milliseconds of its newest word, to be compared with
            starts.

    .. versionadded:: 0.3
    """

    def __init__(self) -> None:
        self.leaving: LeavingWord | None = None
        self.rest: RestWord | None = None
        self.heard_ms = 0

    @property
    def is_worth_keeping(self) -> bool:
        """Whether anything of it may still hold."""
        return self.leaving is not None or self.rest is not None

    def find_rest_end(self, now: float) -> float | None:
        """Return the loop's time at which a rest ends that runs now, or None."""
        if self.rest is None or now >= self.rest.until:
            return None
        return self.rest.until

    def note_leaving(self, word: LeavingWord) -> bool:
        """Take the word that it leaves; return whether that is news."""
        if self.leaving is not None:
            return False
        self.leaving = word
        return True

    def note_rest(self, rest_s: float, now: float) -> bool:
        """Take the word that it wants rest; return whether none ran before.

        A shorter rest does not end a longer one: each was asked for by an answer of
        its own.

        Args:
            rest_s: seconds for which it wants nothing.
            now: the loop's time.
        """
        until = now + rest_s
        if self.rest is None or now >= self.rest.until:
            self.rest = RestWord(now, until)
            return True
        self.rest.until = max(self.rest.until, until)
        self.rest.asked += 1
        return False

    def may_be_of(self, started_ms: int) -> bool:
        """Return whether a start can have said it: a later one can't.

        Args:
            started_ms: Unix time of the start in milliseconds.
        """
        return started_ms <= self.heard_ms


class WordMemory:
    """Words of starts that have no entry now.

    .. versionadded:: 0.3
    """

    def __init__(self) -> None:
        self._kept: OrderedDict[str, ServerWords] = OrderedDict()

    def __len__(self) -> int:
        return len(self._kept)

    def keep(self, server_id: str, words: ServerWords) -> None:
        """Keep what a start has said, whose entry is gone."""
        if words.is_worth_keeping:
            self._put(server_id, words)

    def find(self, server_id: str) -> ServerWords:
        """Return what a start without an entry has said, to be added to."""
        words = self._kept.get(server_id)
        if words is None:
            words = ServerWords()
            self._put(server_id, words)
        return words

    def take_back(
        self, server_id: str, name: str, started_ms: int | None
    ) -> ServerWords:
        """Return what a start has said whose entry has come, or come back.

        Args:
            server_id: of the start.
            name: of the server, whichever its start.
            started_ms: Unix time of the start in milliseconds; None if it is not told.
        """
        words = self._kept.pop(server_id, None)
        if words is not None:
            return words
        # Known by an entry that did not tell its start, such as another writer's.
        untold = self._kept.get(name) if started_ms is not None else None
        if untold is not None and started_ms is not None:
            return untold if untold.may_be_of(started_ms) else ServerWords()
        return ServerWords()

    def _put(self, server_id: str, words: ServerWords) -> None:
        self._kept[server_id] = words
        self._kept.move_to_end(server_id)
        if len(self._kept) > KEPT_STARTS:
            self._kept.popitem(last=False)
