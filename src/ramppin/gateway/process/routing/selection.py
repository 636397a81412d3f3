"""Base of the strategies that select a backend server for a request.

Each strategy receives the open servers of one service with their estimated loads
(:mod:`ramppin.gateway.process.load.view`), which include reports by peers. Selection is
local to the VM, since each VM must be able to serve when it can reach no peer. The
servers to choose from are determined in :mod:`~.eligibility`. Prompts are placed by
:mod:`~.prefixselection`, requests without a prefix by :mod:`~.nearestselection`.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from ramppin.gateway.process.load.longprompts import PromptWork
from ramppin.gateway.process.load.view import LoadView, measure_loads
from ramppin.gateway.process.routing.eligibility import list_eligible
from ramppin.gateway.process.routing.serverstate import ServerState
from ramppin.ranking import RendezvousRanking


@dataclass(frozen=True, slots=True)
class SelectionRequest:
    """Properties of a request that a strategy uses.

    Attributes:
        prefix_key: hash of the shared part of the prompt; None if there is none.
        exclude: ids of servers that this request has tried.
        max_in_flight: maximum number of requests that this VM should have in flight at
            one server; None for no limit.
        failing: ids of servers that fail according to reports of the fleet.
        suspect_key: key of the attribute by which it may crash servers, or None.
        max_load: requests that a server may hold in any case; the load bound is no
            higher. Near capacity it exceeds a server's slots, and a request would wait
            at one server while others have free slots.
        work: size of the prompt; None if it is unknown.
    """

    prefix_key: int | None = None
    exclude: frozenset[str] = frozenset()
    max_in_flight: int | None = None
    failing: frozenset[str] = frozenset()
    suspect_key: int | None = None
    work: PromptWork | None = None
    max_load: float = math.inf


@dataclass(frozen=True, slots=True)
class Selection:
    """The chosen server and the values behind the choice, for logs and explanations.

    Attributes:
        state: the chosen server.
        rank: 0 for the home of the prompt's prefix, else its position in the
            prefix's rendezvous order, from 1.
        load: estimated number of requests that it holds, without this one.
        bound: the load that it must stay below.
        mean: mean estimated load of the service's servers.
        in_flight: requests of this VM that it holds.
        report_age_s: age of its load report in seconds.
        copy_from: id of another server that has the prompt's prefix, or None.
        shared_by: number of servers that share the prefix, including its home.
        slowness: how long work takes there, as a multiple of the usual time.
        closed: labels ``REASON:ID`` of closed servers, at most the first few.
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
    closed: tuple[str, ...] = ()
    slowness: float = 1.0


class SelectionStrategy(ABC):
    """Chooses a backend server for a request."""

    def choose(
        self, request: SelectionRequest, states: Sequence[ServerState], now: float
    ) -> Selection | None:
        """Return the choice among a service's open servers, or None.

        Args:
            request: properties of the request.
            states: the open servers of its service.
            now: event-loop time.
        """
        eligible = list_eligible(
            states, request.exclude, request.max_in_flight, now, request.failing
        )
        if not eligible:
            return None
        view = self._measure(states, now)
        view.bound = min(view.bound, request.max_load)
        if request.suspect_key is not None:
            confined = _choose_for_suspect(request.suspect_key, eligible, view)
            if confined is not None:
                return build_selection(confined, 1, view, now)
        return self._choose_among(request, eligible, view, now)

    def _measure(self, states: Sequence[ServerState], now: float) -> LoadView:
        """Return the estimated loads of all open servers."""
        return measure_loads(states, now)

    @abstractmethod
    def _choose_among(
        self,
        request: SelectionRequest,
        eligible: list[ServerState],
        view: LoadView,
        now: float,
    ) -> Selection:
        """Return the choice among the eligible servers, of which there is at least one.

        Args:
            request: properties of the request.
            eligible: the servers to choose from.
            view: the loads of all open servers.
            now: event-loop time.
        """


def _choose_for_suspect(
    key: int, eligible: list[ServerState], view: LoadView
) -> ServerState | None:
    """Return the server for a request that may crash servers, or None.

    Requests with the same suspect attribute that arrive at several VMs at the same time
    go to the same server, so that they crash only that one. Servers at the bound are
    skipped.

    Args:
        key: key of the attribute.
        eligible: the servers to choose from.
        view: the loads of all open servers.
    """
    room = {s.id: s for s in eligible if view.loads[s.id] < view.bound}
    order = RendezvousRanking().rank(key, list(room))
    return room[order[0]] if order else None


def build_selection(
    state: ServerState, rank: int, view: LoadView, now: float
) -> Selection:
    """Return the choice of a server.

    Args:
        state: the server.
        rank: see :class:`Selection`.
        view: the loads of all open servers.
        now: event-loop time.
    """
    return Selection(
        state,
        rank,
        load=view.loads[state.id],
        bound=view.bound,
        mean=view.mean,
        in_flight=state.in_flight,
        report_age_s=state.load.measure_age(now),
        slowness=view.slowness.get(state.id, 1.0),
    )
