"""Which backend server gets a request, by what this process knows: the base.

Each strategy sees the open servers of one service with their likely loads
(:mod:`ramppin.gateway.process.load.view`), in which what other VMs told is counted. No
VM is asked for a choice: each must be able to serve when it can reach no peer. Which
servers are open to choice is decided in :mod:`~.eligibility`. Prompts are placed by
:mod:`~.prefixselection`, requests without a prefix by :mod:`~.nearestselection`.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from ramppin.gateway.process.load.view import LoadView, measure_loads
from ramppin.gateway.process.routing.eligibility import list_eligible
from ramppin.gateway.process.routing.serverstate import ServerState
from ramppin.ranking import RendezvousRanking


@dataclass(frozen=True, slots=True)
class SelectionRequest:
    """What a strategy may know about a request.

    Attributes:
        prefix_key: hash of the shared part of the prompt; None if there is none.
        exclude: ids of servers that this request has tried.
        max_in_flight: requests that this VM should have at one server; None for
            any number.
        bad: ids of servers that the fleet sees failing.
        suspect_key: the request's fingerprint if servers may have ended under it.
    """

    prefix_key: int | None = None
    exclude: frozenset[str] = frozenset()
    max_in_flight: int | None = None
    bad: frozenset[str] = frozenset()
    suspect_key: int | None = None


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
        closed: servers that were closed, as ``REASON:ID``, some of them if many.
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
        view = self._measure(states, now)
        if request.suspect_key is not None:
            confined = _choose_for_suspect(request.suspect_key, eligible, view)
            if confined is not None:
                return build_selection(confined, 1, view, now)
        return self._choose_among(request, eligible, view, now)

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


def _choose_for_suspect(
    key: int, eligible: list[ServerState], view: LoadView
) -> ServerState | None:
    """Return the server for a request under which servers may have ended, or None.

    Copies of it that come at one time through several VMs go to one server, so they
    end that one at most. Servers at the bound are passed over.

    Args:
        key: the request's fingerprint.
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
        now: the loop's time.
    """
    return Selection(
        state,
        rank,
        load=view.loads[state.id],
        bound=view.bound,
        mean=view.mean,
        in_flight=state.in_flight,
        report_age_s=state.load.measure_age(now),
    )
