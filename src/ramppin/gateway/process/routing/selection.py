"""Which backend server gets a request, by what this process knows.

Each strategy sees the open servers of one service with their likely loads
(:mod:`ramppin.gateway.process.load.view`), in which what other VMs told is counted. No
VM is asked for a choice: each must be able to serve when it can reach no peer. Which
servers are open to choice is decided in :mod:`~.eligibility`.
"""

from __future__ import annotations

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass, replace

from ramppin.gateway.process.load.view import (
    BOUND_RATIO,
    BOUND_SLACK,
    LoadView,
    measure_loads,
)
from ramppin.gateway.process.routing.directory import ServerState
from ramppin.gateway.process.routing.eligibility import list_eligible
from ramppin.gateway.process.routing.homes import PrefixHomes
from ramppin.ranking import RendezvousRanking

HOME_LOAD_MARGIN = 2
"""Requests by which the second server of a prefix must be less loaded than the first to
become its home: a difference below is within what a VM's knowledge errs by."""

HOT_HOME_SHARE = 0.5
"""Part of the bound that the home of a hot prefix may hold before more servers share
the prefix. Many VMs that choose at one moment, as after a stall or when callers come in
a bunch, all believe the home to be free: 49 and 29 of some 470 prompts in 5 s met a
server over twice the mean and 3 without this rule, 14 and 15 with it (60 gateway
processes, 8 servers, bunches of prompts of one subject, two seeds)."""

OTHER_DOMAIN_PENALTY = 1
"""Own requests that a server must have fewer than the preferred ones, those near or
those remote, to be chosen in their place."""


@dataclass(frozen=True, slots=True)
class SelectionRequest:
    """What a strategy may know about a request.

    Attributes:
        prefix_key: hash of the shared part of the prompt; None if there is none.
        exclude: ids of servers that this request has tried.
        max_in_flight: requests that this VM should have at one server; None for
            any number.
        bad: ids of servers that the fleet sees failing.
    """

    prefix_key: int | None = None
    exclude: frozenset[str] = frozenset()
    max_in_flight: int | None = None
    bad: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Selection:
    """A chosen server and the reasons, for logs and explanations.

    Attributes:
        state: the chosen server.
        rank: 0 for the home of the prompt's prefix, else its place in the
            prefix's order, from 1.
        load: requests that it is likely to hold, this one not counted.
        bound: the load that it must stay below.
        mean: of what the service's servers are likely to hold.
        in_flight: those of the load that are this VM's own.
        report_age_s: age of its load report in seconds.
        copy_from: id of another server that has the prompt's prefix, or None.
        shared_by: servers that share the prefix, its home among them.
    """

    state: ServerState
    rank: int
    load: float
    bound: float
    mean: float
    in_flight: int
    report_age_s: float
    copy_from: str | None = None
    shared_by: int = 1


class SelectionStrategy(ABC):
    """Chooses a backend server for a request."""

    def choose(
        self, request: SelectionRequest, states: Sequence[ServerState], now: float
    ) -> Selection | None:
        """Return the choice among a service's open servers, or None.

        Args:
            request: what is known about the request.
            states: the open servers of its service.
            now: the loop's time.
        """
        eligible = list_eligible(
            states, request.exclude, request.max_in_flight, now, request.bad
        )
        if not eligible:
            return None
        return self._choose_among(request, eligible, self._measure(states, now), now)

    def _measure(self, states: Sequence[ServerState], now: float) -> LoadView:
        """Return the loads of all open servers."""
        return measure_loads(states, now)

    @abstractmethod
    def _choose_among(
        self,
        request: SelectionRequest,
        eligible: list[ServerState],
        view: LoadView,
        now: float,
    ) -> Selection:
        """Return the choice among eligible servers; there is at least one.

        Args:
            request: what is known about the request.
            eligible: the servers to choose from.
            view: the loads of all open servers.
            now: the loop's time.
        """


class PrefixSelection(SelectionStrategy):
    """Returns prompts to the server that has their prefix, below a bound.

    A prompt goes to the home of its prefix. One without a home goes to its first
    server by rendezvous hashing, or to the second if that is clearly less loaded; it
    becomes the home. A server at or above the bound is passed over for the next in the
    prefix's order; the home stays, for the next prompt. With every server at the bound,
    the least loaded one gets the prompt. A hot prefix is shared by its home and the
    next servers, as many as the home's last peak needs.

    Args:
        homes: where prefixes are.
        bound: multiple of the mean load that a server may hold.
        slack: requests that it may hold beyond that.
        generator: draws which of a hot prefix's servers gets a prompt.

    .. versionadded:: 0.2
    .. versionchanged:: 0.3
        A hot prefix is shared by several servers; ``generator`` is new.
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
        shared = self._measure_shared(key, home, view, now)
        place = int(self._generator.random() * shared)
        if home is not None and place == 0 and view.loads[home.id] < view.bound:
            chosen, rank = home.id, 0
        else:
            chosen, rank = self._pass_home(key, list(by_id), place, view, now)
        if home is not None and chosen == home.id:
            self._homes.note_used(key, now)
        last_home = self._homes.find_last(key)
        return replace(
            _build_selection(by_id[chosen], rank, view, now),
            copy_from=last_home if last_home != chosen else None,
            shared_by=math.ceil(shared),
        )

    def _measure_shared(
        self, key: int, home: ServerState | None, view: LoadView, now: float
    ) -> float:
        """Return how many servers a prefix needs: 1 unless it is hot.

        Of the last one a part, which gets that part of the prompts.
        """
        self._homes.hot.count_prompt()
        if home is None:
            return 1.0
        needed = home.load.find_peak(now) / (HOT_HOME_SHARE * view.bound)
        if needed <= 1:
            return 1.0
        self._homes.hot.note_met(key, len(view.loads), now)
        return needed if self._homes.hot.is_hot(key, now) else 1.0

    def _pass_home(
        self, key: int, ids: list[str], place: int, view: LoadView, now: float
    ) -> tuple[str, int]:
        """Return a server in place of the home of a prefix, and its rank.

        Args:
            key: of the prefix.
            ids: of the servers to choose from.
            place: which of those below the bound to use, the home being number 0.
            view: the loads of all open servers.
            now: the loop's time.
        """
        home = self._homes.find(key)
        ranked = self._ranking.rank(key, ids)
        below = [
            server_id for server_id in ranked if view.loads[server_id] < view.bound
        ]
        if not below:
            chosen = min(ranked, key=lambda server_id: view.loads[server_id])
        elif home is None:
            chosen = _choose_home(below, view)
            self._homes.note_placed(key, chosen, now)
        else:
            below.sort(key=lambda server_id: server_id != home)
            chosen = below[min(place, len(below) - 1)]
        return chosen, 0 if chosen == home else 1 + ranked.index(chosen)

    def _measure(self, states: Sequence[ServerState], now: float) -> LoadView:
        return measure_loads(states, now, ratio=self._bound, slack=self._slack)


def _build_selection(
    state: ServerState, rank: int, view: LoadView, now: float
) -> Selection:
    return Selection(
        state,
        rank,
        load=view.loads[state.id],
        bound=view.bound,
        mean=view.mean,
        in_flight=state.in_flight,
        report_age_s=state.load.measure_age(now),
    )


def _choose_home(below: Sequence[str], view: LoadView) -> str:
    """Return the server that becomes a prefix's home, of those in its order.

    The first, which every VM finds alike, so that VMs that place a prefix at the same
    time need no word of each other; the second if it is clearly less loaded.
    """
    first = below[0]
    if len(below) > 1 and view.loads[below[1]] + HOME_LOAD_MARGIN < view.loads[first]:
        return below[1]
    return first


class NearestSelection(SelectionStrategy):
    """Prefers servers of the own failure domain up to a share, below the bound.

    VMs that choose at the same moment don't know of each other: those of one failure
    domain whose callers come at once, or that wake together after a stall, would all
    choose the server there. So this VM prefers near servers for a share of its requests
    only, such that no server gets more than :data:`BOUND_RATIO` times its part however
    many VMs choose alike, and remote ones for the rest. Of the requests in the worst
    5 s of callers in bunches 0.085 met a server over twice the mean and 3 with near
    servers first, none so (87 VMs, 4 servers, model of many VMs).

    What other VMs tell is used in the same way. A server at the bound is closed; those
    that keep no VM's requests waiting get 1.5 times their part, not all: VMs that hear
    the same would all choose the least loaded one, 0.042 in place of none while all
    servers stalled (the same model).

    Args:
        failure_domain: where this process runs.
        generator: breaks ties, so that VMs don't all choose alike.

    .. versionadded:: 0.2
    """

    def __init__(self, failure_domain: str, *, generator: random.Random) -> None:
        self._failure_domain = failure_domain
        self._generator = generator

    def _choose_among(
        self,
        request: SelectionRequest,
        eligible: list[ServerState],
        view: LoadView,
        now: float,
    ) -> Selection:
        """Return the server with the fewest own requests, a preferred one if equal."""
        servers = len(view.loads)
        below = [state for state in eligible if view.loads[state.id] < view.bound]
        drawn, share = self._draw_clear(below or eligible, servers, now)
        near = sum(self._is_near(state) for state in drawn)
        prefer_near = self._generator.random() < BOUND_RATIO * near / servers / share
        chosen = min(drawn, key=lambda s: self._weigh(s, prefer_near, now))
        return _build_selection(chosen, 0, view, now)

    def _draw_clear(
        self, states: list[ServerState], servers: int, now: float
    ) -> tuple[list[ServerState], float]:
        """Return servers to choose from, and the share of requests that get these.

        Those at which no other VM's requests are overdue, for their part; else the
        others.
        """
        clear = [state for state in states if not state.waiting.count_told(now)]
        share = min(1.0, BOUND_RATIO * len(clear) / servers)
        if self._generator.random() < share:
            return clear, share
        others = [state for state in states if state not in clear]
        return others or clear, 1.0

    def _is_near(self, state: ServerState) -> bool:
        return state.server.failure_domain == self._failure_domain

    def _weigh(
        self, state: ServerState, prefer_near: bool, now: float
    ) -> tuple[float, float]:
        penalty = 0 if self._is_near(state) == prefer_near else OTHER_DOMAIN_PENALTY
        return state.count_own(now) + penalty, self._generator.random()
