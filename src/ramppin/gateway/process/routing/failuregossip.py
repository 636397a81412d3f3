"""What VMs tell each other of servers that fail.

A VM among many meets each server rarely, so its own sight says little: a server may
fail the requests of others long before this VM meets it again. Each VM tells the
failures that it saw itself with its next hints; what it was told is never told on. No
I/O.
"""

from __future__ import annotations

from collections.abc import Sequence

from ramppin.gateway.connection.datagrams import FailureHint
from ramppin.gateway.process.routing.directory import ServerDirectory

SERVERS_PER_MESSAGE = 8
"""Servers in one message, 160 bytes: with the homes it is not split."""

MAX_FAILING_SHARE = 1 / 3
"""Part of the servers that may fail in one message: a VM that sees more of them fail is
likely to have bad links itself, and its word would eject servers that are well."""


class FailureGossip:
    """Collects the failures to tell, and takes those that others tell.

    Args:
        directory: the backend servers.
        failure_domain: where this VM stands.

    .. versionadded:: 0.2
    """

    def __init__(self, directory: ServerDirectory, failure_domain: str) -> None:
        self._directory = directory
        self._failure_domain = failure_domain

    def collect(self, now: float) -> list[FailureHint]:
        """Return the failures since the last call; count them here as well."""
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
        """Take the failures that another VM saw.

        Args:
            failures: by server.
            failure_domain: where that VM stands.
            now: the loop's time.
        """
        for failure in failures:
            state = self._directory.find(failure.server)
            if state is not None:
                state.evidence.note_failures(failure.count, failure_domain, now)
