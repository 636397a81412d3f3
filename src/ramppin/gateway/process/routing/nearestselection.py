"""Places requests without a prefix: near, up to a share, below the bound on load."""

from __future__ import annotations

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
"""Own requests that a server must have fewer than the preferred ones, those near or
those remote, to be chosen in their place."""


class NearestSelection(SelectionStrategy):
    """Prefers servers of the own failure domain up to a share, below the bound.

    VMs that choose at the same moment don't know of each other: those of one failure
    domain whose callers come at once, or that wake together after a stall, would all
    choose the server there. So this VM prefers near servers for a share of its requests
    only, such that no server gets more than :data:`BOUND_RATIO` times its part however
    many VMs choose alike, and remote ones for the rest.

    What other VMs tell is used in the same way. A server at the bound is closed; those
    that keep no VM's requests waiting get 1.5 times their part, not all: VMs that hear
    the same would all choose the least loaded one, and overrun it.

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
        drawn, share = self._draw_candidates(below or eligible, servers, now)
        near = sum(self._is_near(state) for state in drawn)
        prefer_near = self._generator.random() < BOUND_RATIO * near / servers / share
        chosen = min(drawn, key=lambda s: self._build_sort_key(s, prefer_near, now))
        return build_selection(chosen, 0, view, now)

    def _draw_candidates(
        self, states: list[ServerState], servers: int, now: float
    ) -> tuple[list[ServerState], float]:
        """Return servers to choose from, and the share of requests that get these.

        Those at which no other VM's requests are overdue, for their part; else the
        others.
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
        self, state: ServerState, prefer_near: bool, now: float
    ) -> tuple[float, float]:
        penalty = 0 if self._is_near(state) == prefer_near else OTHER_DOMAIN_PENALTY
        return state.count_own(now) + penalty, self._generator.random()
