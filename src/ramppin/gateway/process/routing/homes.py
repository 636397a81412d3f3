"""Where a prefix belongs: which backend server has which prompts' prefix cached.

Rendezvous hashing alone moves prefixes to every server that joins, and they are
read there again. So the first placement of a prefix makes a home that stays
until its server leaves. VMs announce their homes to each other; where two differ,
the older one wins, and of two placed at about the same time the one that ranks
higher for the prefix: all VMs come to the same answer in whatever order the
announcements arrive.

Without announcements each VM reads a prefix again at a server of its own choice. Owns
the homes that this VM knows, and which of them to announce. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ramppin.gateway.process.routing.hotprefixes import HotPrefixes
from ramppin.ranking import hash_name, mix

CONCURRENT_PLACEMENT_S = 0.5
"""Seconds within which two homes count as placed at the same time: ages travel in
messages that take a while, so the order of closer ones is not known."""

REANNOUNCE_PERIOD_S = 12.0
"""Seconds after which a home in use is announced again, for VMs that missed it. Each
announcement goes to every VM."""

MAX_HOMES_PER_GENERATION = 20_000
"""Homes of one generation; two generations are kept."""


@dataclass(slots=True)
class Home:
    """Where a prefix is.

    Attributes:
        server: the backend server's id.
        placed_at: the loop's time at which it was placed there.
        announced_at: the loop's time at which any VM last announced it.
    """

    server: str
    placed_at: float
    announced_at: float


@dataclass(frozen=True, slots=True)
class HomeAnnouncement:
    """A VM's announcement of a home.

    Attributes:
        key: the prefix's key.
        server: the backend server's id.
        age_s: how long ago the prefix was placed there.
    """

    key: int
    server: str
    age_s: float


class PrefixHomes:
    """Homes of prefixes, bounded by two generations.

    Args:
        is_usable: returns whether a backend server still takes work.

    Attributes:
        changes: how often a prefix got another home, for the snapshot.
        has_pending_placement: whether a prefix was placed here that is not announced yet.
        hot: prefixes that need more servers than their home.

    .. versionadded:: 0.2
    """

    def __init__(self, is_usable: Callable[[str], bool]) -> None:
        self._is_usable = is_usable
        self._young: dict[int, Home] = {}
        self._old: dict[int, Home] = {}
        self._pending: dict[int, Home] = {}
        self.changes = 0
        self.hot = HotPrefixes()
        self.has_pending_placement = False

    def __len__(self) -> int:
        return len(self._young) + len(self._old)

    def find(self, key: int) -> str | None:
        """Return the usable backend server that has a prefix, or None."""
        home = self._find(key)
        if home is None or not self._is_usable(home.server):
            return None
        return home.server

    def find_any(self, key: int) -> str | None:
        """Return the backend server that last had a prefix, usable or not."""
        home = self._find(key)
        return home.server if home else None

    def note_placed(self, key: int, server: str, now: float) -> None:
        """Note where a prompt without a usable home was placed."""
        home = Home(server, now, now)
        self._put(key, home)
        self._pending[key] = home
        self.has_pending_placement = True

    def note_used(self, key: int, now: float) -> None:
        """Note that a home was used; announce it again in time."""
        home = self._find(key)
        if home is not None and now - home.announced_at > REANNOUNCE_PERIOD_S:
            home.announced_at = now
            self._pending[key] = home

    def apply_announcement(self, announcement: HomeAnnouncement, now: float) -> None:
        """Take another VM's announcement."""
        if not self._is_usable(announcement.server):
            return
        reported = Home(announcement.server, now - announcement.age_s, now)
        known = self._find(announcement.key)
        if known is None or not self._is_usable(known.server):
            self._put(announcement.key, reported)
        elif known.server == reported.server:
            known.placed_at = min(known.placed_at, reported.placed_at)
            known.announced_at = now
            self._pending.pop(announcement.key, None)
        elif _takes_precedence(announcement.key, reported, known):
            self._put(announcement.key, reported)
            self._pending.pop(announcement.key, None)
        else:
            self._pending[announcement.key] = known

    def collect_announcements(self, now: float, limit: int) -> list[HomeAnnouncement]:
        """Return what should be announced now, at most ``limit`` homes."""
        keys = list(self._pending)[:limit]
        self.has_pending_placement = (
            self.has_pending_placement and len(self._pending) > limit
        )
        return [
            HomeAnnouncement(key, home.server, max(0.0, now - home.placed_at))
            for key in keys
            if (home := self._pending.pop(key))
        ]

    def list_newest(self, now: float, limit: int) -> list[HomeAnnouncement]:
        """Return the usable homes that were placed or announced last."""
        found = [*reversed(self._young.items()), *reversed(self._old.items())]
        return [
            HomeAnnouncement(key, home.server, max(0.0, now - home.placed_at))
            for key, home in found[:limit]
            if self._is_usable(home.server)
        ]

    def _find(self, key: int) -> Home | None:
        home = self._young.get(key)
        if home is None and key in self._old:
            home = self._old.pop(key)
            self._put(key, home)
        return home

    def _put(self, key: int, home: Home) -> None:
        self._old.pop(key, None)
        known = self._young.get(key)
        if known is None or known.server != home.server:
            self.changes += 1
        self._young[key] = home
        if len(self._young) >= MAX_HOMES_PER_GENERATION:
            self._old = self._young
            self._young = {}


def _takes_precedence(key: int, reported: Home, known: Home) -> bool:
    difference = reported.placed_at - known.placed_at
    if abs(difference) > CONCURRENT_PLACEMENT_S:
        return difference < 0
    return mix(key, hash_name(reported.server)) > mix(key, hash_name(known.server))
