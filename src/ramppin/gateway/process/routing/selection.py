"""Which backend server gets a request, by what this process knows alone.

Each strategy sees the open servers of one service with their estimated loads.
No other VM is asked: a VM must be able to serve without a word from peers.
"""

from __future__ import annotations

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from ramppin.gateway.process.routing.directory import ServerState
from ramppin.gateway.process.routing.homes import PrefixHomes
from ramppin.ranking import RendezvousRanking


@dataclass(frozen=True, slots=True)
class SelectionRequest:
    """What a strategy may know about a request.

    Attributes:
        prefix_key: hash of the shared part of the prompt; None if there is none.
        exclude: ids of servers that this request has tried.
        max_in_flight: requests that this VM should have at one server; None for
            any number.
    """

    prefix_key: int | None = None
    exclude: frozenset[str] = frozenset()
    max_in_flight: int | None = None


@dataclass(frozen=True, slots=True)
class Selection:
    """A chosen server and the reasons, for logs and explanations.

    Attributes:
        state: the chosen server.
        rank: 0 for the home of the prompt's prefix, else its place in the
            prefix's order, from 1.
        load: its estimated load, this request not counted.
        bound: the load that it must stay below.
        report_age_s: age of its load report.
        copy_from: id of another server that has the prompt's prefix, or None.
    """

    state: ServerState
    rank: int
    load: int
    bound: float
    report_age_s: float
    copy_from: str | None = None


@dataclass(slots=True)
class LoadView:
    """Loads of a service's open servers at one moment."""

    loads: dict[str, int] = field(default_factory=dict)
    mean: float = 0.0


def measure_loads(states: Sequence[ServerState], now: float) -> LoadView:
    """Return the estimated loads of servers and their mean."""
    loads = {state.id: state.estimate_load(now) for state in states}
    return LoadView(loads, sum(loads.values()) / max(1, len(loads)))


def list_usable(
    states: Sequence[ServerState], request: SelectionRequest, now: float
) -> list[ServerState]:
    """Return the servers to choose from: sound ones with room, else any left."""
    left = [state for state in states if state.id not in request.exclude]
    sound = [state for state in left if not state.health.is_suspect(now)] or left
    limit = request.max_in_flight
    if limit is None:
        return sound
    return [state for state in sound if state.in_flight < limit] or sound


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
        usable = list_usable(states, request, now)
        if not usable:
            return None
        return self._choose_among(request, usable, measure_loads(states, now), now)

    @abstractmethod
    def _choose_among(
        self,
        request: SelectionRequest,
        usable: list[ServerState],
        view: LoadView,
        now: float,
    ) -> Selection:
        """Return the choice among usable servers; there is at least one.

        Args:
            request: what is known about the request.
            usable: the servers to choose from.
            view: the loads of all open servers.
            now: the loop's time.
        """


class PrefixSelection(SelectionStrategy):
    """Returns prompts to the server that has their prefix, below a bound.

    A prompt goes to the home of its prefix. One without a home goes to the lesser
    of its first two servers by rendezvous hashing, which becomes the home. A
    server at or above the bound is passed over for the next in the prefix's
    order; the home stays, for the next prompt.

    Args:
        homes: where prefixes are.
        bound: multiple of the mean load that a server may hold.
        slack: requests that it may hold beyond that.

    .. versionadded:: 0.2
    """

    def __init__(
        self, homes: PrefixHomes, *, bound: float = 1.8, slack: float = 2.0
    ) -> None:
        self._homes = homes
        self._bound = bound
        self._slack = slack
        self._ranking = RendezvousRanking()

    def _choose_among(
        self,
        request: SelectionRequest,
        usable: list[ServerState],
        view: LoadView,
        now: float,
    ) -> Selection:
        """Return the prefix's home, or the next server that is below the bound."""
        bound = self._bound * view.mean + self._slack
        by_id = {state.id: state for state in usable}
        key = request.prefix_key if request.prefix_key is not None else 0
        home, had = self._homes.find(key), self._homes.find_last(key)
        if home in by_id and view.loads[home] < bound:
            self._homes.note_used(key, now)
            return self._select(by_id[home], 0, view, bound, now)
        ranked = self._ranking.rank(key, list(by_id))
        below = [server_id for server_id in ranked if view.loads[server_id] < bound]
        if not below:
            chosen = min(ranked, key=lambda server_id: view.loads[server_id])
        elif home is None:
            chosen = min(below[:2], key=lambda server_id: view.loads[server_id])
            self._homes.note_placed(key, chosen, now)
        else:
            chosen = below[0]
        rank = 1 + ranked.index(chosen)
        selection = self._select(by_id[chosen], rank, view, bound, now)
        return replace(selection, copy_from=had if had != chosen else None)

    def _select(
        self, state: ServerState, rank: int, view: LoadView, bound: float, now: float
    ) -> Selection:
        age = state.measure_report_age(now)
        return Selection(state, rank, view.loads[state.id], bound, age)


class NearestSelection(SelectionStrategy):
    """Prefers servers of the own failure domain, then the least loaded.

    Bytes between failure domains have a price; a server elsewhere is chosen
    when the nearest hold clearly more.

    Args:
        failure_domain: where this process runs.
        margin: requests that a near server may hold beyond a far one.
        generator: breaks ties, so that VMs don't all choose alike.

    .. versionadded:: 0.2
    """

    def __init__(
        self, failure_domain: str, *, margin: int = 1, generator: random.Random
    ) -> None:
        self._failure_domain = failure_domain
        self._margin = margin
        self._generator = generator

    def _choose_among(
        self,
        request: SelectionRequest,
        usable: list[ServerState],
        view: LoadView,
        now: float,
    ) -> Selection:
        """Return the least loaded server, near ones before far ones."""
        chosen = min(usable, key=lambda state: self._weigh(state, view))
        age = chosen.measure_report_age(now)
        return Selection(chosen, 0, view.loads[chosen.id], math.inf, age)

    def _weigh(self, state: ServerState, view: LoadView) -> tuple[int, float]:
        far = state.server.failure_domain != self._failure_domain
        penalty = self._margin if far else 0
        return view.loads[state.id] + penalty, self._generator.random()
