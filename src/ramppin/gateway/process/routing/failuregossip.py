"""Gossip among VMs about failing servers.

One VM of a large fleet uses each server rarely, so its own observations are not enough:
a server may fail the requests of others long before this VM uses it again. Each VM
sends the failures that it observed itself with its next hints; failures reported by
peers are not forwarded. No I/O.
"""

from __future__ import annotations

from collections.abc import Sequence

from ramppin.gateway.connection.datagrams import FailureHint
from ramppin.gateway.process.routing.directory import ServerDirectory

SERVERS_PER_MESSAGE = 8
"""Maximum number of servers in one message. They take 160 bytes, so that the message is
not fragmented with the homes."""

MAX_FAILING_SHARE = 1 / 3
"""Largest share of the servers that one message may report as failing. A VM with
more failing servers is likely to have faulty links itself, and its report would eject
healthy servers."""


class FailureGossip:
    """Collects the failures to send, and applies those that peers report.

    Args:
        directory: the backend servers.
        failure_domain: failure domain of this VM.

    .. versionadded:: 0.2
    """

    def __init__(self, directory: ServerDirectory, failure_domain: str) -> None:
        self._directory = directory
        self._failure_domain = failure_domain

    def collect(self, now: float) -> list[FailureHint]:
        """Return the failures since the last call, and record them as evidence here."""
        found = []
        for state in self._directory:
            count = state.health.pop_pending_failures()
            if count:
                state.evidence.note_failures(count, self._failure_domain, now)
                found.append(FailureHint(state.id, count))
        if len(found) > max(1.0, MAX_FAILING_SHARE * len(self._directory)):
            return []
        found.sort(key=lambda hint: -hint.count)
        return found[:SERVERS_PER_MESSAGE]

    def apply(
        self, failures: Sequence[FailureHint], failure_domain: str, now: float
    ) -> None:
        """Apply the failures that another VM observed.

        Args:
            failures: number of failures by server.
            failure_domain: failure domain of that VM.
            now: event-loop time.
        """
        for failure in failures:
            state = self._directory.find(failure.server)
            if state is not None:
                state.evidence.note_failures(failure.count, failure_domain, now)
