"""Selects the backend server for the next attempt of a request.

Combines which servers are open (:mod:`ramppin.gateway.process.routing.gate`), which
the request has tried and which it may have crashed, and calls the selection strategy.
Owns the set of servers that the request has tried.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import replace

from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.process.routing.closure import ClosureReason
from ramppin.gateway.process.routing.eligibility import (
    count_healthy_servers,
    has_healthy_server,
)
from ramppin.gateway.process.routing.selection import Selection, SelectionRequest
from ramppin.gateway.process.routing.serverstate import ServerState
from ramppin.gateway.process.routing.streamorigins import StreamOrigin
from ramppin.gateway.request.admission import Admission
from ramppin.gateway.request.crashwatch import CrashWatch
from ramppin.gateway.request.rank import compute_rank
from ramppin.gateway.request.retry import Verdict, judge_no_server
from ramppin.gateway.request.retryafter import (
    choose_retry_after_s,
    find_opening_s,
)

MIN_OTHERS_SHARE = 0.5
"""Number of healthy servers of other builds for each server of a new build, below which
streams should begin at the latter at once."""


class ServerChoice:
    """Selects servers for one request.

    Args:
        context: state shared by all exchanges.
        admission: result of the request's admission.
        watch: records whether servers crash while running the request.

    Attributes:
        origin: where the request's stream began; None while any server may serve it.
        closed: servers that were closed at the last selection, as ``REASON:ID``.

    .. versionadded:: 0.3
    """

    def __init__(
        self, context: GatewayContext, admission: Admission, watch: CrashWatch
    ) -> None:
        self._context = context
        self._admission = admission
        self._watch = watch
        self._rank = compute_rank(admission.route, admission.customer)
        self._tried: set[str] = set()
        self.origin: StreamOrigin | None = None
        self.closed: tuple[str, ...] = ()

    def select(
        self, now: float, unreachable: frozenset[str] = frozenset()
    ) -> Selection | Verdict:
        """Return the server for the next attempt, or the verdict if there is none.

        Args:
            now: current event-loop time.
            unreachable: servers that this VM is known not to reach.
        """
        context, service = self._context, self._admission.service
        survey = context.gate.survey(service, now)
        if self.origin is not None and not survey.states:
            return Verdict.NO_BUILD
        self.closed = survey.list_closure_labels()
        prefix_key = self._admission.prefix_key
        foreign = self._list_foreign(survey.states, now)
        excluded = frozenset(survey.closed) | self._tried | unreachable | foreign
        request = SelectionRequest(
            prefix_key,
            excluded | self._list_new(survey.list_open(), excluded, now),
            context.share_connections(service),
            context.find_failing_servers(service, survey.states, now),
            self._watch.find_suspect(),
            self._admission.work,
            context.find_max_load(service, self._rank, now),
        )
        strategy = context.choose_strategy(prefix_key is not None)
        selection = strategy.choose(request, survey.states, now)
        if selection is None and unreachable:
            return Verdict.UNREACHABLE
        if selection is None and foreign and len(foreign) == len(survey.states):
            return Verdict.NO_BUILD
        if selection is None:
            return judge_no_server(survey.list_reasons(self._tried | foreign))
        self._tried.add(selection.state.id)
        context.cold_quota.note_sent(selection.state.id)
        return replace(selection, closed=self.closed)

    def find_obstacle(self, state: ServerState, now: float) -> str:
        """Return why the request may no longer be sent to its server, or "".

        Checked just before sending, since the server's state or the quarantine may have
        changed while the request waited for a connection.

        Args:
            state: the selected server.
            now: current event-loop time.
        """
        closure = self._context.gate.find_closure(state, now)
        if closure is not None:
            return f"server closed before the request was sent: {closure.reason.value}"
        return "" if self._watch.may_try(now) else "request quarantined while it waited"

    def has_other_server(self, now: float) -> bool:
        """Return whether there is an open, untried server that is not suspect."""
        survey = self._context.gate.survey(self._admission.service, now)
        excluded = self._tried | self._list_foreign(survey.states, now)
        return has_healthy_server(survey.list_open(), excluded, now)

    def _list_foreign(
        self, states: Collection[ServerState], now: float
    ) -> frozenset[str]:
        """Return the servers at which the request's stream may not go on."""
        origin = self.origin
        if origin is None:
            return frozenset()
        history = self._context.continuity.history
        is_mixed = history.may_be_mixed(self._admission.service, now)
        return frozenset(
            state.id
            for state in states
            if state.server.build != origin.build
            or (is_mixed and state.is_build_doubted(now))
        )

    def _list_new(
        self, states: Sequence[ServerState], excluded: frozenset[str], now: float
    ) -> frozenset[str]:
        """Return the servers at which a stream should not begin yet, if others can."""
        if self.origin is not None or not self._admission.route.resumable:
            return frozenset()
        history, service = self._context.continuity.history, self._admission.service
        builds = history.list_new(service, now)
        new = frozenset(s.id for s in states if s.server.build in builds)
        if not new:
            return new
        others = count_healthy_servers(states, excluded | new, now)
        if others < MIN_OTHERS_SHARE * len(new):
            history.note_wanted(service, builds)
        if history.has_record(service):
            # Other VMs may serve streams at servers that this one can't use.
            return new if len(new) < len(states) else frozenset()
        return new if others else frozenset()

    def _is_build_gone(self) -> bool:
        """Return whether no server will have the build at which the stream began.

        A build that this VM has never observed may be new, its entries unread.
        """
        context, origin = self._context, self.origin
        service = self._admission.service
        builds = context.continuity.history.list_builds(service)
        if origin is None or origin.build not in builds:
            return False
        states = context.directory.list_service(service)
        serving = {state.server.build for state in states if not state.leaving}
        return bool(serving) and origin.build not in serving

    def choose_retry_after_s(self, now: float, ends_at: float) -> float:
        """Return the ``Retry-After`` time in seconds if no server ran the request.

        Args:
            now: current event-loop time.
            ends_at: event-loop time at which the request's time limit expires.
        """
        context = self._context
        refusal_s = self._watch.measure_remaining_refusal_s(now)
        if refusal_s > 0:
            # An earlier retry would be refused again.
            return refusal_s
        if self._is_build_gone():
            return max(0.0, ends_at - now)
        survey = context.gate.survey(self._admission.service, now)
        open_states = survey.list_open()
        opening_s, closed_s = find_opening_s(open_states, now), 0.0
        first = None if open_states else survey.find_earliest_reopening()
        if first is not None and first.opens_at is not None:
            opening_s = max(0.0, first.opens_at - now)
            closed_s = opening_s if first.reason is ClosureReason.RESTING else 0.0
        return choose_retry_after_s(
            opening_s=opening_s,
            closed_s=closed_s,
            time_left_s=ends_at - now,
            rank=self._admission.route.priority,
            point=context.generator.random(),
        )
