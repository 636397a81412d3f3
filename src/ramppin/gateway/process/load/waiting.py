"""Requests that wait for the next byte of an answer from one backend server.

A server that stops responding fills up unnoticed: it reports no load, and each of many
VMs has at most one request there. So each VM sends the others the number of its
requests that wait longer than usual (:mod:`~.gossip`), and these count as load. Holds
the times of the last bytes for this VM's requests at the server, and the counts that
peers reported. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from ramppin.gateway.process.stalldetector import StallDetector

OVERDUE_RATIO = 3.0
"""Multiple of the usual wait for a first byte after which a request is overdue: of
waits that vary as much as their mean one in twenty is that long. Later bytes come
sooner."""

PEER_COUNT_TTL_S = 0.5
"""Seconds for which a VM's word counts: it repeats it each 0.2 s while it holds, so
one message may be lost, and a VM that is gone is soon forgotten."""

ABANDONED_HELD_S = 1.0
"""Seconds for which an overdue request that this VM gave up still counts as held,
unless the server answers another before: one that is silent does not see it end, and
would fill up with what is given up."""


@dataclass(frozen=True, slots=True)
class PeerCount:
    """How many overdue requests another VM has at the server, and when it said so."""

    count: int
    at: float


class WaitingRequests:
    """The requests that one backend server keeps waiting, of this VM and of others.

    Args:
        stall_detector: of this process; None where it never stalls.

    .. versionadded:: 0.3
    """

    def __init__(self, stall_detector: StallDetector | None = None) -> None:
        self._stall_detector = stall_detector or StallDetector()
        self._since: dict[object, float] = {}
        self._abandoned_at: list[float] = []
        self._peer_counts: dict[str, PeerCount] = {}

    def note_sent(self, request: object, now: float) -> None:
        """Note that a request of this VM was sent, or is read on after a pause."""
        self._since[request] = now

    def note_bytes(self, request: object, now: float) -> None:
        """Note bytes for a request of this VM: the server is not silent."""
        self._abandoned_at.clear()
        if request in self._since:
            self._since[request] = now

    def note_paused(self, request: object) -> None:
        """Note that a request's answer is not read: it waits for its caller."""
        self._since.pop(request, None)

    def note_ended(self, request: object, now: float, usual_s: float) -> None:
        """Note that a request has ended, answered or not.

        Args:
            request: that was sent.
            now: the loop's time.
            usual_s: the usual wait for a first byte.
        """
        since = self._since.pop(request, None)
        if self._stall_detector.is_behind(now):
            # Its bytes may be there, not read yet: no word of the server's.
            return
        if since is not None and now - since > OVERDUE_RATIO * usual_s:
            self._abandoned_at.append(now)

    def count_abandoned(self, now: float) -> int:
        """Return how many given-up requests of this VM it is likely to hold still."""
        if not self._abandoned_at:
            return 0
        oldest = now - ABANDONED_HELD_S
        self._abandoned_at = [at for at in self._abandoned_at if at > oldest]
        return len(self._abandoned_at)

    def count_overdue(self, now: float, usual_s: float) -> int:
        """Return how many requests of this VM wait longer than is usual, or did.

        Args:
            now: the loop's time.
            usual_s: the usual wait for a first byte.
        """
        latest = now - OVERDUE_RATIO * usual_s
        waiting = sum(since < latest for since in self._since.values())
        return waiting + self.count_abandoned(now)

    def apply_peer_count(self, vm: str, count: int, now: float) -> None:
        """Take how many overdue requests another VM has here."""
        if count:
            self._peer_counts[vm] = PeerCount(count, now)
        else:
            self._peer_counts.pop(vm, None)

    def count_peer_overdue(self, now: float) -> int:
        """Return how many overdue requests other VMs have here."""
        if not self._peer_counts:
            return 0
        self._peer_counts = {
            vm: peer
            for vm, peer in self._peer_counts.items()
            if now - peer.at <= PEER_COUNT_TTL_S
        }
        return sum(peer.count for peer in self._peer_counts.values())
