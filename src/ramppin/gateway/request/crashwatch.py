"""What one request does to the servers that run it, and what is known of it before.

Tells the process's :class:`~ramppin.gateway.process.quarantine.quarantine.Quarantine`
how the request's attempts ended, and asks it whether the request may be sent. Owns
whether this copy is the one that is let through on trial.
"""

from __future__ import annotations

from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.process.routing.serverstate import ServerState
from ramppin.gateway.request.result import AttemptEnd, AttemptResult


class CrashWatch:
    """Watches the attempts of one request.

    Args:
        context: what exchanges share.
        fingerprint: the request's.

    .. versionadded:: 0.2
    """

    def __init__(self, context: GatewayContext, fingerprint: int) -> None:
        self._context = context
        self._fingerprint = fingerprint
        self._admitted = False
        self._known_end_at = float("-inf")
        self._lost_servers: set[str] = set()

    def may_try(self, now: float) -> bool:
        """Return whether the request may be sent to a server.

        Asked before each attempt: other copies may have ended servers meanwhile. One
        that is let through on trial may go on until it has met a server.
        """
        quarantine = self._context.quarantine
        last_end_at = quarantine.find_last_end_at(self._fingerprint)
        if self._admitted and last_end_at == self._known_end_at:
            return True
        self._known_end_at = last_end_at
        self._admitted = quarantine.admit(self._fingerprint, now)
        return self._admitted

    def may_end_another(self) -> bool:
        """Return whether sending it again is likely to end one server more."""
        quarantine = self._context.quarantine
        return quarantine.may_end_another(self._fingerprint, self._lost_servers)

    def is_suspect(self) -> bool:
        """Return whether servers ended, or may have, since it last ran well."""
        return self._context.quarantine.is_suspect(self._fingerprint)

    def note_attempt(
        self, state: ServerState, result: AttemptResult, sent_at: float, now: float
    ) -> None:
        """Take how an attempt ended.

        Any whole answer, a failure as well, shows that the server outlived the request.
        A server that was told to leave ends as planned, so nothing is concluded.

        Args:
            state: the server.
            result: what became of the attempt.
            sent_at: the loop's time at which it was sent.
            now: the loop's time.
        """
        quarantine = self._context.quarantine
        was_run = result.end is AttemptEnd.FAILED and result.answer is not None
        if result.end is AttemptEnd.DELIVERED or was_run:
            quarantine.note_served(self._fingerprint, now)
        elif result.lost and not state.leaving:
            self._lost_servers.add(state.id)
            quarantine.note_lost(self._fingerprint, state.id, sent_at, now)
            if state.restarted or state.missing:
                quarantine.note_server_ended(state.id)
            else:
                self._context.server_checks.start(state)

    def measure_remaining_refusal_s(self, now: float) -> float:
        """Return for how many more seconds the request is refused; 0 if it is not."""
        return self._context.quarantine.measure_remaining_refusal_s(
            self._fingerprint, now
        )
