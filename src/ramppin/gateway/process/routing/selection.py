"""Which backend server gets a request, by what this process knows alone.

Each strategy sees the open servers of one service with their estimated loads.
No other VM is asked: a VM must be able to serve when it can reach no peer. Which
servers are open to choice is decided in :mod:`~.eligibility`.
"""

from __future__ import annotations

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from ramppin.gateway.process.routing.directory import ServerState
from ramppin.gateway.process.routing.eligibility import list_eligible
from ramppin.gateway.process.routing.homes import PrefixHomes
from ramppin.ranking import RendezvousRanking

BOUND_RATIO = 1.6
"""Multiple of the mean load of a service's servers that one of them may hold. Callers
of a home at the bound go elsewhere, where their prefix must be copied or read; a server
past it slows all that it runs. Kept below the 2 and 3 that the platform allows, since
what a VM knows is up to some seconds old."""

BOUND_SLACK = 2.0
"""Requests that a server may hold beyond that; see :data:`BOUND_RATIO`."""

TOLD_EASY = 0.9
"""Share of the bound up to which a server gets all that is its own, by another VM's
word; it is told from there on. From there it gets less and less, and nothing past
:data:`TOLD_FULL`: all VMs hear the same word, and a server that none used would be
empty a second later and overrun after that. Without it 4.3 in 100 requests of the worst
5 s met servers with over twice the mean and 3."""

TOLD_FULL = 1.1
"""Share of the bound past which a server gets nothing, by another VM's word."""

HOME_LOAD_MARGIN = 2
"""Requests by which the second server of a prefix must be less loaded than the first to
become its home: a difference below is within what a VM's knowledge errs by."""

REMOTE_PENALTY = 1
"""Requests by which a server of another failure domain must be less loaded than a near
one to be chosen: bytes between failure domains have a price."""


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
        report_age_s: age of its load report in seconds.
        copy_from: id of another server that has the prompt's prefix, or None.
    """

    state: ServerState
    rank: int
    load: int
    bound: float
    report_age_s: float
    copy_from: str | None = None


MIN_REPORTS = 3
"""Servers with a load report from which on their mean counts for all: a single one may
be the busiest."""


@dataclass(frozen=True, slots=True)
class Room:
    """What a server may hold, in requests."""

    bound: float

    @property
    def told_easy(self) -> float:
        """The load up to which it gets all that is its own, by another VM's word."""
        return TOLD_EASY * self.bound

    def measure_chance(self, own: float, told: float | None) -> float:
        """Return the part of its own prompts that a server gets.

        Args:
            own: its load as this VM knows it.
            told: its load by another VM's newer word; None if there is none.
        """
        if own >= self.bound:
            return 0.0
        if told is None or told <= self.told_easy:
            return 1.0
        full = TOLD_FULL * self.bound
        return max(0.0, (full - told) / (full - self.told_easy))


@dataclass(slots=True)
class LoadView:
    """Loads of a service's open servers at one moment, in requests."""

    loads: dict[str, int] = field(default_factory=dict)
    mean: float = 0.0


def measure_loads(states: Sequence[ServerState], now: float) -> LoadView:
    """Return the estimated loads of servers and their mean.

    Where many VMs share the servers, a VM has a report of a few and sees its own
    requests alone at the rest: the mean over all would be far too low, and each server
    that has just reported would look overloaded. So the servers that reported stand
    for the others.
    """
    loads = {state.id: state.estimate_load(now) for state in states}
    mean = sum(loads.values()) / max(1, len(loads))
    reported = [loads[state.id] for state in states if state.has_report(now)]
    if len(reported) >= MIN_REPORTS:
        mean = max(mean, sum(reported) / len(reported))
    return LoadView(loads, mean)


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
        return self._choose_among(request, eligible, measure_loads(states, now), now)

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
    becomes the home. A
    server at or above the bound is passed over for the next in the prefix's
    order; the home stays, for the next prompt. With every server at the bound,
    the least loaded one gets the prompt.

    Args:
        homes: where prefixes are.
        generator: draws which prompts pass over a server that is nearly full.
        bound: multiple of the mean load that a server may hold.
        slack: requests that it may hold beyond that.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        homes: PrefixHomes,
        *,
        generator: random.Random,
        bound: float = BOUND_RATIO,
        slack: float = BOUND_SLACK,
    ) -> None:
        self._homes = homes
        self._generator = generator
        self._bound = bound
        self._slack = slack
        self._ranking = RendezvousRanking()

    def _choose_among(
        self,
        request: SelectionRequest,
        eligible: list[ServerState],
        view: LoadView,
        now: float,
    ) -> Selection:
        """Return the prefix's home, or the next server that is below the bound."""
        bound = self._bound * view.mean + self._slack
        room = Room(bound)
        by_id = {state.id: state for state in eligible}
        key = request.prefix_key if request.prefix_key is not None else 0
        home, last_home = self._homes.find(key), self._homes.find_last(key)
        if home in by_id and self._has_room(by_id[home], view, room, now):
            self._homes.note_used(key, now)
            return self._select(by_id[home], 0, view, bound, now)
        ranked = self._ranking.rank(key, list(by_id))
        below = [
            server_id
            for server_id in ranked
            if self._has_room(by_id[server_id], view, room, now)
        ]
        if not below:
            chosen = min(ranked, key=lambda server_id: view.loads[server_id])
        elif home is None:
            chosen = _choose_home(below, view)
            self._homes.note_placed(key, chosen, now)
        else:
            chosen = below[0]
        rank = 1 + ranked.index(chosen)
        selection = self._select(by_id[chosen], rank, view, bound, now)
        copy_from = last_home if last_home != chosen else None
        return replace(selection, copy_from=copy_from)

    def _has_room(
        self, state: ServerState, view: LoadView, room: Room, now: float
    ) -> bool:
        """Return whether a server gets one more prompt."""
        chance = room.measure_chance(view.loads[state.id], state.find_told_load(now))
        return chance >= 1.0 or self._generator.random() < chance

    def _select(
        self, state: ServerState, rank: int, view: LoadView, bound: float, now: float
    ) -> Selection:
        age = state.measure_report_age(now)
        return Selection(state, rank, view.loads[state.id], bound, age)


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
    """Prefers servers of the own failure domain, then the least loaded.

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
        """Return the least loaded server, near ones before remote ones."""
        chosen = min(eligible, key=lambda state: self._weigh(state, view))
        age = chosen.measure_report_age(now)
        return Selection(chosen, 0, view.loads[chosen.id], math.inf, age)

    def _weigh(self, state: ServerState, view: LoadView) -> tuple[int, float]:
        remote = state.server.failure_domain != self._failure_domain
        penalty = REMOTE_PENALTY if remote else 0
        return view.loads[state.id] + penalty, self._generator.random()
