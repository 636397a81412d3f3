"""Selects servers for requests without a prefix: near ones first, up to a share."""

from __future__ import annotations

import math
import random

from ramppin.gateway.process.load.view import BOUND_RATIO, LoadView
from ramppin.gateway.process.routing.selection import (
    Selection,
    SelectionRequest,
    SelectionStrategy,
    build_selection,
)
from ramppin.gateway.process.routing.serverstate import ServerState

OTHER_DOMAIN_PENALTY = 1
"""Requests added to this VM's own at servers outside the preferred group (the near or
the remote ones) when servers are compared."""


class NearestSelection(SelectionStrategy):
    """Prefers servers of its own failure domain up to a share, below the load bound.

    VMs that choose at the same moment have no information about each other's choices.
    VMs of one failure domain whose callers arrive at once, or that resume together
    after a stall, would all choose the servers there. So this VM prefers near servers
    only for a share of its requests, and remote ones for the rest: no server gets more
    than :data:`BOUND_RATIO` times its part, however many VMs make the same choice.

    Reports by peers are used in the same way. Servers at the bound are excluded, and
    those without overdue requests of peers get 1.5 times their part, not all requests:
    VMs with the same reports would all choose the least loaded one and overload it.

    Where servers report their speed, a request at a slow server counts as more.

    Args:
        failure_domain: failure domain of this process.
        generator: breaks ties, so that VMs make different choices.

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
        room = set(view.list_below(state.id for state in eligible))
        below = [state for state in eligible if state.id in room]
        drawn, share = self._draw_candidates(below or eligible, servers, now)
        near = sum(self._is_near(state) for state in drawn)
        prefer_near = self._generator.random() < BOUND_RATIO * near / servers / share
        chosen = min(
            drawn, key=lambda s: self._build_sort_key(s, view, prefer_near, now)
        )
        return build_selection(chosen, 0, view, now)

    def _draw_candidates(
        self, states: list[ServerState], servers: int, now: float
    ) -> tuple[list[ServerState], float]:
        """Return the servers to choose from, and the share of requests that get these.

        The servers at which no other VM has overdue requests are drawn for that share
        of the requests, the other servers for the rest.
        """
        without_overdue = [
            state for state in states if not state.waiting.count_peer_overdue(now)
        ]
        share = min(1.0, BOUND_RATIO * len(without_overdue) / servers)
        if self._generator.random() < share:
            return without_overdue, share
        others = [state for state in states if state not in without_overdue]
        return others or without_overdue, 1.0

    def _is_near(self, state: ServerState) -> bool:
        return state.server.failure_domain == self._failure_domain

    def _build_sort_key(
        self, state: ServerState, view: LoadView, prefer_near: bool, now: float
    ) -> tuple[float, float]:
        penalty = 0 if self._is_near(state) == prefer_near else OTHER_DOMAIN_PENALTY
        point = self._generator.random()
        if not view.slowness:
            return state.count_own(now) + penalty, point
        # An exponential draw with the slowness as its mean is the least of several
        # with a chance according to the speed: VMs with few requests mostly have none
        # at any server.
        slowness = view.slowness[state.id]
        return (
            state.count_own(now) * slowness + penalty,
            -math.log(1.0 - point) * slowness,
        )
