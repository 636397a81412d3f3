"""What servers that leave or want rest must not get, counted from what reached them.

Relies on what each start of a server kept (:mod:`features.word_servers`) and on when
VMs were disturbed; owns when VMs passed the word of a server on.
"""

from __future__ import annotations

from features.word_servers import WordServer, WordServers

DRAIN_S = 2.0
"""Seconds after which nothing may come from a VM that has passed on the word."""

REST_SLACK_S = 0.5
"""Seconds after a server asked for rest in which what is on its way may still come."""

MOST_IN_REST = 2
"""Requests of one VM that may reach a server in the rest of its time of rest."""


class WordPromises:
    """Counts what broke a promise.

    Args:
        servers: all starts of servers.
        disturbed_at: by VM, when it was started, stopped or killed.
        calm_s: seconds after that in which it need not know what others told.
    """

    def __init__(
        self, servers: WordServers, disturbed_at: dict[str, list[float]], calm_s: float
    ) -> None:
        self._servers = servers
        self._disturbed_at = disturbed_at
        self._calm_s = calm_s
        self._told_leaving: dict[tuple[str, str], float] = {}

    def note_told(self, vm: str, start: str, at: float) -> None:
        """Note that a VM passed on the word of a start of a server that leaves."""
        self._told_leaving.setdefault((vm, start), at)

    def list_broken(self) -> list[str]:
        """Return what broke a promise, server by server."""
        broken = []
        for server in self._servers:
            late = self.count_late(server)
            if late:
                broken.append(f"{server.start_name}: {late} arrivals, leaving")
            untold = self.count_untold(server, DRAIN_S)
            if untold:
                broken.append(f"{server.start_name}: {untold} arrivals, untold")
            most = max(self.count_in_rests(server), default=0)
            if most > MOST_IN_REST:
                broken.append(f"{server.start_name}: {most} arrivals in a rest")
        return broken

    def count_late(self, server: WordServer) -> int:
        """Return how many requests reached a leaving server too late.

        From VMs that had passed its word on.
        """
        count = 0
        for arrival in server.arrivals:
            told_at = self._told_leaving.get((arrival.vm, server.start_name))
            if told_at is None or arrival.sent_at <= told_at + DRAIN_S:
                continue
            count += not self._was_excused(arrival.vm, told_at, arrival.at)
        return count

    def count_untold(self, server: WordServer, after_s: float) -> int:
        """Return how many requests came though any VM had heard that it leaves.

        Args:
            server: the server.
            after_s: seconds after the first such answer from which on they count.
        """
        if server.first_said_at is None:
            return 0
        since = server.first_said_at + after_s
        return sum(
            arrival.sent_at > since and self._was_calm(arrival.vm, arrival.at)
            for arrival in server.arrivals
        )

    def count_in_rests(
        self, server: WordServer, slack_s: float = REST_SLACK_S
    ) -> list[int]:
        """Return how many requests came in each rest, past its first moments."""
        return [
            sum(
                arrival.vm == rest.vm
                and rest.asked_at + slack_s < arrival.at
                and arrival.at < rest.until
                for arrival in server.arrivals
            )
            for rest in server.rests
            if not self._was_excused(rest.vm, rest.asked_at, rest.until)
        ]

    def _was_excused(self, vm: str, begin: float, end: float) -> bool:
        """Return whether a VM was started, stopped or killed in a span."""
        return any(begin <= moment <= end for moment in self._disturbed_at[vm])

    def _was_calm(self, vm: str, at: float) -> bool:
        """Return whether nothing befell a VM for a while before a moment."""
        return not self._was_excused(vm, at - self._calm_s, at)
