"""Chooses a backend server with room for a request."""

from __future__ import annotations

from dataclasses import dataclass

from ramppin.ranking import Ranking
from ramppin.router.process.routing.homes import Homes
from ramppin.router.process.routing.load import PoolLoad, ServerLoad
from ramppin.router.request.placement import PlaceRequest, Reason


@dataclass(frozen=True, slots=True)
class Choice:
    """A backend server with room, and the reason for the choice."""

    server: ServerLoad
    reason: Reason


class Chooser:
    """Routes chats to the server that caches their prefix; spills if it is full.

    Args:
        load: the counts of the pool.
        homes: backend servers of the chats that are not on their first choice.
        ranking: order of preference of a chat over backend servers.

    .. versionadded:: 0.1
    """

    def __init__(self, load: PoolLoad, homes: Homes, ranking: Ranking) -> None:
        self._load = load
        self._homes = homes
        self._ranking = ranking

    def choose(self, request: PlaceRequest, *, may_spill: bool) -> Choice | None:
        """Return a backend server with room, or None to wait.

        Args:
            request: the request to place.
            may_spill: whether a returning chat may be placed on another
                backend server while its own is full.
        """
        if request.chat == 0:
            return self._choose_least_loaded(request)
        cap = self._load.cap
        home = self._find_home(request)
        if home and self._load.has_room(home, cap):
            return Choice(home, Reason.HOME)
        ranked = self._rank(request)
        if not ranked:
            return None
        if not home and request.returning and self._load.has_room(ranked[0], cap):
            # The recorded home is not eligible, so the first choice replaces it.
            self._homes.forget(request.chat)
            return Choice(ranked[0], Reason.FIRST_CHOICE)
        if (home or request.returning) and not may_spill:
            return None
        return self._choose_new_home(request, ranked, home)

    def _choose_new_home(
        self, request: PlaceRequest, ranked: list[ServerLoad], home: ServerLoad | None
    ) -> Choice | None:
        cap = self._load.cap
        available = [
            server
            for server in ranked
            if server is not home and self._load.has_room(server, cap)
        ]
        if not available:
            return None
        chosen = available[0]
        reason = Reason.FIRST_CHOICE if chosen is ranked[0] else Reason.SPILLED
        if self._load.policy.spill == "lesser":
            second = available[min(1, len(available) - 1)]
            if second.count < chosen.count:
                chosen, reason = second, Reason.LESSER_OF_TWO
        if request.exclude:
            reason = Reason.RETRIED
        if chosen is ranked[0] and not request.exclude:
            self._homes.forget(request.chat)
        else:
            self._homes.put(request.chat, chosen.name)
        return Choice(chosen, reason)

    def _choose_least_loaded(self, request: PlaceRequest) -> Choice | None:
        cap = self._load.cap
        eligible = self.list_eligible(request)
        if not eligible:
            return None
        turn = request.place.number % len(eligible)
        rotated = eligible[turn:] + eligible[:turn]
        server = min(rotated, key=lambda other: other.count)
        if not self._load.has_room(server, cap):
            return None
        reason = Reason.RETRIED if request.exclude else Reason.FIRST_CHOICE
        return Choice(server, reason)

    def _find_home(self, request: PlaceRequest) -> ServerLoad | None:
        name = self._homes.find(request.chat)
        server = self._load.servers.get(name) if name else None
        if server and self._is_eligible(server, request):
            return server
        return None

    def _rank(self, request: PlaceRequest) -> list[ServerLoad]:
        names = [server.name for server in self.list_eligible(request)]
        return [self._load.servers[n] for n in self._ranking.rank(request.chat, names)]

    def list_eligible(self, request: PlaceRequest) -> list[ServerLoad]:
        """Return the serving backend servers that are eligible for a request."""
        if not request.exclude and not request.failure_domains:
            return self._load.serving
        return [s for s in self._load.serving if self._is_eligible(s, request)]

    def _is_eligible(self, server: ServerLoad, request: PlaceRequest) -> bool:
        domains = request.failure_domains
        return (
            server.serving
            and server.name not in request.exclude
            and (not domains or server.failure_domain in domains)
        )
