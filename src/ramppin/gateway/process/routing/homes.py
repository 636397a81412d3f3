"""Homes of prefixes: which backend server has which prompt prefix cached.

Rendezvous hashing alone moves prefixes to every server that joins, which must process
them again. So the first placement of a prefix sets a home that is kept until its server
leaves. VMs announce their homes to each other. If two homes differ, the older one takes
precedence; of two placed at about the same time, the server that ranks higher for the
prefix. All VMs reach the same result, in whatever order the announcements arrive.

Without announcements, each VM would have a prefix processed again at a server of its
own choice. Holds the homes of prefixes and those to be announced. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ramppin.gateway.process.routing.hotprefixes import HotPrefixes
from ramppin.ranking import hash_name, mix

CONCURRENT_PLACEMENT_S = 0.5
"""Seconds within which two homes count as placed at the same time. Ages are sent in
messages with a delay, so the order of closer placements is unknown."""

REANNOUNCE_PERIOD_S = 12.0
"""Seconds after which a home in use is announced again, for VMs that missed the last
announcement. Each announcement is sent to every VM."""

MAX_HOMES_PER_GENERATION = 20_000
"""Maximum number of homes in one generation; two generations are kept."""

MAX_PLACED_SERVERS = 1_000
"""Maximum number of servers whose last placement by a peer is stored; the one that was
not announced for longest is dropped."""


@dataclass(slots=True)
class Home:
    """Home of a prefix.

    Attributes:
        server: id of the backend server.
        placed_at: event-loop time at which the prefix was placed there.
        announced_at: event-loop time of the last announcement by any VM.
    """

    server: str
    placed_at: float
    announced_at: float


@dataclass(frozen=True, slots=True)
class HomeAnnouncement:
    """Announcement of a home by one VM.

    Attributes:
        key: key of the prefix.
        server: id of the backend server.
        age_s: seconds since the prefix was placed there.
    """

    key: int
    server: str
    age_s: float


class PrefixHomes:
    """Homes of prefixes, limited in number by two generations.

    Args:
        is_usable: returns whether a backend server still accepts new requests.

    Attributes:
        changes: number of times that a prefix got a new home, for the snapshot.
        has_pending_placement: whether this VM has placed a prefix and not announced it.
        hot: prefixes that need more servers than their home.

    .. versionadded:: 0.2
    """

    def __init__(self, is_usable: Callable[[str], bool]) -> None:
        self._is_usable = is_usable
        self._young: dict[int, Home] = {}
        self._old: dict[int, Home] = {}
        self._pending: dict[int, Home] = {}
        self._peer_placed_at: dict[str, float] = {}
        self.changes = 0
        self.hot = HotPrefixes()
        self.has_pending_placement = False

    def __len__(self) -> int:
        return len(self._young) + len(self._old)

    def find(self, key: int) -> str | None:
        """Return the backend server of a prefix if it is usable, or None."""
        home = self._find(key)
        if home is None or not self._is_usable(home.server):
            return None
        return home.server

    def find_any(self, key: int) -> str | None:
        """Return the backend server of a prefix, usable or not, or None."""
        home = self._find(key)
        return home.server if home else None

    def note_placed(self, key: int, server: str, now: float) -> None:
        """Record where a prompt without a usable home was placed."""
        home = Home(server, now, now)
        self._put(key, home)
        self._pending[key] = home
        self.has_pending_placement = True

    def note_used(self, key: int, now: float) -> None:
        """Record that a home was used, and queue its announcement if that is due."""
        home = self._find(key)
        if home is not None and now - home.announced_at > REANNOUNCE_PERIOD_S:
            home.announced_at = now
            self._pending[key] = home

    def apply_announcement(self, announcement: HomeAnnouncement, now: float) -> None:
        """Apply another VM's announcement."""
        if not self._is_usable(announcement.server):
            return
        reported = Home(announcement.server, now - announcement.age_s, now)
        known = self._find(announcement.key)
        if known is None or not self._is_usable(known.server):
            self._put(announcement.key, reported)
            self._note_peer_placement(reported)
        elif known.server == reported.server:
            known.placed_at = min(known.placed_at, reported.placed_at)
            known.announced_at = now
            self._pending.pop(announcement.key, None)
        elif _takes_precedence(announcement.key, reported, known):
            self._put(announcement.key, reported)
            self._pending.pop(announcement.key, None)
        else:
            self._pending[announcement.key] = known

    def find_peer_placement(self, server: str) -> float:
        """Return when a peer last placed a prefix there that was unknown here."""
        return self._peer_placed_at.get(server, float("-inf"))

    def _note_peer_placement(self, home: Home) -> None:
        placed_at = max(home.placed_at, self.find_peer_placement(home.server))
        self._peer_placed_at.pop(home.server, None)
        self._peer_placed_at[home.server] = placed_at
        if len(self._peer_placed_at) > MAX_PLACED_SERVERS:
            del self._peer_placed_at[next(iter(self._peer_placed_at))]

    def collect_announcements(self, now: float, limit: int) -> list[HomeAnnouncement]:
        """Return and clear the pending announcements, at most ``limit`` of them."""
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
        """Return the most recently placed or announced homes that are usable."""
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
