"""Selects servers for prompts: the home of the prefix, if it is below the load bound.

Uses the homes stored on this VM (:mod:`~.homes`) and the prefixes that are requested
often in the fleet (:mod:`~.hotprefixes`). Keeps only the rendezvous ranking itself.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import replace

from ramppin.gateway.process.load.longprompts import RECENT_S
from ramppin.gateway.process.load.view import (
    BOUND_RATIO,
    BOUND_SLACK,
    LoadView,
    measure_loads,
)
from ramppin.gateway.process.routing.homes import PrefixHomes
from ramppin.gateway.process.routing.selection import (
    Selection,
    SelectionRequest,
    SelectionStrategy,
    build_selection,
)
from ramppin.gateway.process.routing.serverstate import ServerState
from ramppin.ranking import RendezvousRanking

HOME_LOAD_MARGIN = 2
"""Requests by which the second server of a prefix must be less loaded than the first to
become its home. A smaller difference is within the error of a VM's load estimates."""

HOT_HOME_SHARE = 1 / 3
"""Share of the bound per server of a hot prefix, once the peak load of its home reached
the bound. VMs that choose at the same moment, as after a stall, all estimate that the
home is free, and would overload it."""

SLOW_RATIO = 1.5
"""Slowness from which a server gets no long uncached prompt: 12,000 tokens would stop
the streams there for 220 ms and more, close to the pauses of 300 ms that routes allow.
"""


class PrefixSelection(SelectionStrategy):
    """Sends prompts to the server that has their prefix cached, below a load bound.

    A prompt goes to the home of its prefix. If the prefix has no home, its first server
    by rendezvous hashing becomes the home, or the second if that is clearly less
    loaded. A server at or above the bound is skipped for the next one in the prefix's
    order; the home is kept for later prompts. If every server is at the bound, the
    least loaded one gets the prompt. A hot prefix is shared by its home and the next
    servers, as many as the home's last peak requires. A prompt that skips a home at the
    bound prefers cold servers.

    Where servers report their speed, loads are compared by the time that they take, and
    long uncached prompts go to servers that are not slow at the moment and were sent no
    other one just before.

    Args:
        homes: homes of prefixes.
        bound: multiple of the mean load that a server may hold.
        slack: requests that it may hold beyond that.
        generator: draws which of a hot prefix's servers gets a prompt.

    .. versionadded:: 0.2
    .. versionchanged:: 0.3
        A hot prefix is shared by several servers; ``generator`` is new. Cold servers
        are preferred to others in place of a home at the bound.
    """

    def __init__(
        self,
        homes: PrefixHomes,
        *,
        bound: float = BOUND_RATIO,
        slack: float = BOUND_SLACK,
        generator: random.Random | None = None,
    ) -> None:
        self._homes = homes
        self._bound = bound
        self._slack = slack
        self._generator = generator or random.Random()
        self._ranking = RendezvousRanking()

    def _choose_among(
        self,
        request: SelectionRequest,
        eligible: list[ServerState],
        view: LoadView,
        now: float,
    ) -> Selection:
        """Return one of the prefix's servers, or the next that is below the bound."""
        by_id = {state.id: state for state in eligible}
        key = request.prefix_key if request.prefix_key is not None else 0
        home = by_id.get(self._homes.find(key) or "")
        # Looked up before the prefix is placed again: a home that is leaving, or is in
        # an evacuated failure domain, still has the cached prefix, which can be copied.
        last_home = self._homes.find_any(key)
        replica_count = self._compute_replica_count(key, home, view, now)
        replica_index = int(self._generator.random() * replica_count)
        is_long = (
            bool(view.slowness)
            and request.work is not None
            and request.work.is_long(cached=last_home is not None)
        )
        allowed = self._list_for_long_prompt(eligible, view, now) if is_long else None
        if (
            home is not None
            and replica_index == 0
            and view.has_room(home.id)
            and (allowed is None or home.id in allowed)
        ):
            chosen, rank = home.id, 0
        else:
            chosen, rank = self._choose_alternative(
                key, by_id, replica_index, allowed, view, now
            )
        if is_long:
            by_id[chosen].long_prompts.note_started(key, now)
        if home is not None and chosen == home.id:
            self._homes.note_used(key, now)
        return replace(
            build_selection(by_id[chosen], rank, view, now),
            copy_from=last_home if last_home != chosen else None,
            shared_by=math.ceil(replica_count),
        )

    def _compute_replica_count(
        self, key: int, home: ServerState | None, view: LoadView, now: float
    ) -> float:
        """Return how many servers a prefix needs: 1 unless it is hot.

        The last server gets a share of the prompts according to the fractional part.
        """
        self._homes.hot.count_prompt()
        if home is None:
            return 1.0
        peak = home.load.find_peak(now)
        if peak < view.bound:
            return 1.0
        self._homes.hot.note_home_at_bound(key, len(view.loads), now)
        if not self._homes.hot.is_hot(key, now):
            return 1.0
        return peak / (HOT_HOME_SHARE * view.bound)

    def _choose_alternative(
        self,
        key: int,
        by_id: dict[str, ServerState],
        replica_index: int,
        allowed: frozenset[str] | None,
        view: LoadView,
        now: float,
    ) -> tuple[str, int]:
        """Return the server for a prompt that was not sent to its home, and its rank.

        Args:
            key: key of the prefix.
            by_id: the servers to choose from, by id.
            replica_index: index among the servers below the bound; the home has 0.
            allowed: ids of servers below the bound to choose from; None for all.
            view: the loads of all open servers.
            now: event-loop time.
        """
        home = self._homes.find(key)
        ranked = self._ranking.rank(key, list(by_id))
        below = view.list_below(ranked)
        if allowed is not None:
            below = [server_id for server_id in below if server_id in allowed]
        if not below:
            chosen = min(ranked, key=lambda server_id: view.loads[server_id])
        elif home is None:
            chosen = _choose_home(below, view)
            self._homes.note_placed(key, chosen, now)
        elif replica_index == 0 and home in by_id and home not in below:
            # The cold servers here are those for which this VM has quota left. They are
            # empty while the others have peak load, and unused quota expires.
            cold = [s for s in below if by_id[s].coldness.is_cold(now)]
            chosen = (cold or below)[0]
        else:
            below.sort(key=lambda server_id: server_id != home)
            chosen = below[min(replica_index, len(below) - 1)]
        return chosen, 0 if chosen == home else 1 + ranked.index(chosen)

    def _list_for_long_prompt(
        self, eligible: Sequence[ServerState], view: LoadView, now: float
    ) -> frozenset[str] | None:
        """Return the servers for a long uncached prompt; None for all.

        These are the servers below the bound that are not slow now and are not known
        to have started another long prompt just before. If all those that are not slow
        have started one, they are still preferred to slow ones.
        """
        below = set(view.list_below(state.id for state in eligible))
        quick = [
            state
            for state in eligible
            if state.id in below and view.slowness[state.id] < SLOW_RATIO
        ]
        free = [state.id for state in quick if not self._is_interrupted(state, now)]
        return frozenset(free or [state.id for state in quick]) or None

    def _is_interrupted(self, state: ServerState, now: float) -> bool:
        """Return whether a server is known to have started a long prompt just before.

        A prefix that a peer has just placed counts as long: its length is not sent.
        """
        if state.long_prompts.has_recent(now):
            return True
        return now - self._homes.find_peer_placement(state.id) < RECENT_S

    def _measure(self, states: Sequence[ServerState], now: float) -> LoadView:
        return measure_loads(states, now, ratio=self._bound, slack=self._slack)


def _choose_home(below: Sequence[str], view: LoadView) -> str:
    """Return the server that becomes a prefix's home, from servers in its order.

    The first one is the same on every VM, so that VMs that place a prefix at the same
    time agree without communication; the second is chosen if it is clearly less loaded.
    """
    first = below[0]
    if len(below) > 1 and view.weigh(below[1]) + HOME_LOAD_MARGIN < view.weigh(first):
        return below[1]
    return first
