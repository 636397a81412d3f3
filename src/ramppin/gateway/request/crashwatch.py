"""Reports to the quarantine whether a request crashes servers.

Records how the request's attempts ended in the process's
:class:`~ramppin.gateway.process.quarantine.quarantine.Quarantine`, for each of its
attributes, and checks there whether the request may be sent. Owns whether this request
was admitted as a trial.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from ramppin.gateway.connection.answerend import AnswerEnd
from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.process.membership.health import Outcome
from ramppin.gateway.process.routing.serverstate import ServerState
from ramppin.gateway.request.attributes import Attribute
from ramppin.gateway.request.result import AttemptEnd, AttemptResult

MAX_SUSPECTS = 64
"""Maximum attributes of one request that are recorded when its server crashes, so that
a request with many parts does not evict the records of others."""


class CrashWatch:
    """Monitors the attempts of one request for server crashes.

    Args:
        context: state shared by all exchanges.
        attributes: attributes of the request, the whole request first.

    .. versionadded:: 0.2
    """

    def __init__(
        self, context: GatewayContext, attributes: Sequence[Attribute]
    ) -> None:
        self._context = context
        self._quarantine = context.quarantine
        self._attributes = attributes
        self._keys = [attribute.key for attribute in attributes]
        self._admitted = False
        self._known_end_at = float("-inf")
        self._lost_servers: set[str] = set()

    def may_try(self, now: float) -> bool:
        """Return whether the request may be sent to a server.

        Checked before each attempt, since other requests may have crashed servers in
        the meantime. A request admitted as a trial may try servers until a termination
        is recorded.
        """
        last_end_at = self._quarantine.find_last_end_at(self._keys)
        if self._admitted and last_end_at == self._known_end_at:
            return True
        self._known_end_at = last_end_at
        self._admitted = self._quarantine.admit(self._keys, now)
        return self._admitted

    def may_crash_another(self) -> bool:
        """Return whether a retry is likely to crash another server."""
        return any(
            self._quarantine.may_crash_another(key, self._lost_servers)
            for key in self._keys
        )

    def find_suspect(self) -> int | None:
        """Return the attribute that may crash servers, or None."""
        return self._quarantine.find_suspect(self._keys)

    def list_suspects(self) -> list[Attribute]:
        """Return the attributes for which the request is refused, or not retried."""
        return [
            found
            for found in self._attributes
            if self._quarantine.may_crash_another(found.key, self._lost_servers)
        ]

    def note_attempt(
        self, state: ServerState, result: AttemptResult, sent_at: float, now: float
    ) -> None:
        """Record how an attempt ended.

        Any complete answer, even an error, shows that the server survived the request,
        unless the close of the connection alone showed its end.
        A leaving server terminates as planned, so its loss is not recorded.

        Args:
            state: the server.
            result: result of the attempt.
            sent_at: event-loop time at which the attempt started.
            now: current event-loop time.
        """
        is_success = result.end is AttemptEnd.DELIVERED
        was_run = result.end is AttemptEnd.FAILED and result.answer is not None
        is_unconfirmed = result.answer_end is AnswerEnd.CLOSE and not result.is_checked
        if (is_success or was_run) and is_unconfirmed:
            self._check_unconfirmed(state, sent_at, now, is_success=is_success)
        elif is_success or was_run:
            self._note_survived(now, is_success=is_success)
        elif result.lost and not state.leaving:
            self._lost_servers.add(state.id)
            self._note_lost(state, sent_at, now)
            if state.restarted or state.missing:
                self._quarantine.note_server_ended(state.id)
            else:
                self._context.server_checks.start(state)

    def measure_remaining_refusal_s(self, now: float) -> float:
        """Return for how many more seconds the request is refused; 0 if it is not."""
        return self._quarantine.measure_remaining_refusal_s(self._keys, now)

    def _note_survived(self, now: float, *, is_success: bool) -> None:
        """Record a complete answer.

        An error may be answered before the prompt is read, so that it shows nothing
        about the prompt's parts.
        """
        for key in self._keys if is_success else self._keys[:1]:
            self._quarantine.note_served(key, now)

    def _note_lost(self, state: ServerState, sent_at: float, now: float) -> None:
        whole, *parts = self._attributes
        if len(parts) >= MAX_SUSPECTS:
            parts = self._context.generator.sample(parts, MAX_SUSPECTS - 1)
        for attribute in (whole, *parts):
            self._quarantine.note_lost(
                attribute.key, state.id, sent_at, now, attribute.part
            )

    def _check_unconfirmed(
        self, state: ServerState, sent_at: float, now: float, *, is_success: bool
    ) -> None:
        """Find out whether a server terminated as it closed an answer's connection."""
        if state.leaving:
            return
        self._note_lost(state, sent_at, now)
        check = self._context.server_checks.start(state)
        check.add_done_callback(
            lambda done: self._note_checked(state, done, is_success)
        )

    def _note_checked(
        self, state: ServerState, check: asyncio.Task[bool], is_success: bool
    ) -> None:
        if check.cancelled() or check.exception() is not None:
            return
        now = check.get_loop().time()
        if check.result():
            state.health.note_outcome(Outcome.FAILED, now)
            return
        for key in self._keys:
            self._quarantine.withdraw_loss(key, state.id)
        self._note_survived(now, is_success=is_success)
