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
"""Multiple of the mean wait for a first byte after which a request is overdue. If the
standard deviation equals the mean, one wait in twenty is that long; later bytes arrive
sooner."""

PEER_COUNT_TTL_S = 0.5
"""Seconds for which the count of a peer is used. A peer repeats it every 0.2 s, so that
one message may be lost, and the counts of a VM that has stopped expire soon."""

ABANDONED_HELD_S = 1.0
"""Seconds for which an overdue request that this VM gave up counts as held, unless
bytes arrive from the server before. A server that does not respond does not detect the
end of the request, and would fill up with abandoned requests."""


@dataclass(frozen=True, slots=True)
class PeerCount:
    """Overdue requests of another VM at the server, and when the count arrived."""

    count: int
    at: float


class WaitingRequests:
    """Requests that wait for one backend server, of this VM and of its peers.

    Args:
        stall_detector: stall detector of this process; None if it never stalls.

    .. versionadded:: 0.3
    """

    def __init__(self, stall_detector: StallDetector | None = None) -> None:
        self._stall_detector = stall_detector or StallDetector()
        self._since: dict[object, float] = {}
        self._abandoned_at: list[float] = []
        self._peer_counts: dict[str, PeerCount] = {}

    def note_sent(self, request: object, now: float) -> None:
        """Record that a request was sent, or that reading its answer was resumed."""
        self._since[request] = now

    def note_bytes(self, request: object, now: float) -> None:
        """Record that bytes arrived for a request of this VM: the server responds."""
        self._abandoned_at.clear()
        if request in self._since:
            self._since[request] = now

    def note_paused(self, request: object) -> None:
        """Record that reading an answer is paused since its caller does not read it."""
        self._since.pop(request, None)

    def note_ended(self, request: object, now: float, usual_s: float) -> None:
        """Record that a request has ended, answered or not.

        Args:
            request: the request.
            now: event-loop time.
            usual_s: mean wait for a first byte.
        """
        since = self._since.pop(request, None)
        if self._stall_detector.is_behind(now):
            # Its bytes may have arrived unread, so it may not have been overdue.
            return
        if since is not None and now - since > OVERDUE_RATIO * usual_s:
            self._abandoned_at.append(now)

    def count_abandoned(self, now: float) -> int:
        """Return how many requests that this VM gave up the server may still hold."""
        if not self._abandoned_at:
            return 0
        oldest = now - ABANDONED_HELD_S
        self._abandoned_at = [at for at in self._abandoned_at if at > oldest]
        return len(self._abandoned_at)

    def count_overdue(self, now: float, usual_s: float) -> int:
        """Return how many requests of this VM are overdue, or were when given up.

        Args:
            now: event-loop time.
            usual_s: mean wait for a first byte.
        """
        latest = now - OVERDUE_RATIO * usual_s
        waiting = sum(since < latest for since in self._since.values())
        return waiting + self.count_abandoned(now)

    def apply_peer_count(self, vm: str, count: int, now: float) -> None:
        """Apply the number of overdue requests that another VM reported."""
        if count:
            self._peer_counts[vm] = PeerCount(count, now)
        else:
            self._peer_counts.pop(vm, None)

    def count_peer_overdue(self, now: float) -> int:
        """Return how many overdue requests other VMs have at the server."""
        if not self._peer_counts:
            return 0
        self._peer_counts = {
            vm: peer
            for vm, peer in self._peer_counts.items()
            if now - peer.at <= PEER_COUNT_TTL_S
        }
        return sum(peer.count for peer in self._peer_counts.values())
