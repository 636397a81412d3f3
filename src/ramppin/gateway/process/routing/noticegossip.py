"""Exchange of server notices between VMs.

While the log is unavailable, notices arrive only in response headers, and in a large
fleet each VM rarely sends a request to a given server. A VM that receives a leaving
notice therefore broadcasts it at once, and repeats it in a few more messages because
datagrams get lost. In addition, messages that are sent anyway, at the latest a
heartbeat, carry the known leaving servers whatever the source, in turn if there are
many, for VMs that have started, were partitioned or were suspended; applying a notice
again has no effect.
Servers whose entries carry the same state, or are gone, are left out. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ramppin.gateway.connection.datagrams import BackoffHint, LeavingHint
from ramppin.gateway.process.membership.servernotices import NoticeSource
from ramppin.gateway.process.overload.brittleness import BrittleServices
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.noticeregistry import MS_PER_S

BROADCASTS = 4
"""Messages that carry a notice which this VM received in an answer. With 3 of 5
datagrams lost, 0.87 of the VMs receive it directly (1 - 0.6**4)."""

SERVERS_PER_MESSAGE = 12
"""Maximum servers in one message: 300 bytes, so that the datagram is not fragmented
with the homes."""

REBROADCAST_PERIOD_S = 1.0
"""Seconds after which all leaving notices are sent again with the next message, at the
latest a heartbeat."""


class NoticeGossip:
    """Collects notices to broadcast, and applies those received from peers.

    Args:
        directory: the backend servers and their notices.
        brittle: services with brittle servers, which also learn from peers' back-offs;
            None for none.

    .. versionadded:: 0.3
    """

    def __init__(
        self, directory: ServerDirectory, brittle: BrittleServices | None = None
    ) -> None:
        self._directory = directory
        self._brittle = brittle or BrittleServices()
        self._broadcasts_left: dict[str, int] = {}
        self._next_leaving = dict.fromkeys((True, False), 0)
        self._rebroadcast_at = dict.fromkeys((True, False), float("-inf"))

    def watch(self, notify_pending: Callable[[], None]) -> None:
        """Set the callback for notices that must be broadcast."""
        self._directory.notices.notify_pending = notify_pending

    @property
    def is_urgent(self) -> bool:
        """Whether a notice from an answer has not been broadcast at all."""
        return self._directory.notices.has_pending

    @property
    def has_pending(self) -> bool:
        """Whether pending notices justify a message of their own."""
        return self.is_urgent or bool(self._broadcasts_left)

    def collect(self, now: float) -> list[LeavingHint]:
        """Return the leaving notices to broadcast in the next message.

        Only notices that this VM received in answers are included.

        Args:
            now: event-loop time.
        """
        for server_id in self._directory.notices.pop_pending_leaving():
            self._broadcasts_left[server_id] = BROADCASTS
        chosen = list(self._broadcasts_left)[:SERVERS_PER_MESSAGE]
        for server_id in chosen:
            self._broadcasts_left[server_id] -= 1
            if self._broadcasts_left[server_id] == 0:
                del self._broadcasts_left[server_id]
        return self._describe(chosen, now)

    def collect_rebroadcast(self, now: float, *, near: bool) -> list[LeavingHint]:
        """Return known leaving notices, for a message that is sent in any case.

        Args:
            now: event-loop time.
            near: whether the recipients are the VMs of this failure domain.
        """
        if now - self._rebroadcast_at[near] < REBROADCAST_PERIOD_S:
            return []
        self._rebroadcast_at[near] = now
        return self._describe(self._choose_leaving(near=near), now)

    def collect_backoffs(self, now: float) -> list[BackoffHint]:
        """Return the back-offs to broadcast in the next message.

        Leaves out servers that peers' reports already make less preferred.

        Args:
            now: event-loop time.
        """
        hints = []
        for server_id in self._directory.notices.pop_pending_backoffs():
            state = self._directory.find(server_id)
            until = state.notices.find_backoff_end(now) if state is not None else None
            if state is None or until is None or state.shedding.is_likely(now):
                continue
            hints.append(BackoffHint(server_id, round((until - now) * MS_PER_S)))
        return hints[:SERVERS_PER_MESSAGE]

    def apply_backoffs(self, vm: str, hints: Sequence[BackoffHint], now: float) -> None:
        """Apply back-offs reported by a peer.

        Args:
            vm: name of the peer.
            hints: servers that asked the peer for a back-off.
            now: event-loop time.
        """
        for hint in hints:
            state = self._directory.find(hint.server)
            if state is not None:
                until = now + hint.remaining_ms / MS_PER_S
                state.shedding.note_peer_backoff(vm, until, now)
                self._brittle.note_rejected(state.server.service, now)

    def apply(self, hints: Sequence[LeavingHint], now: float) -> None:
        """Apply leaving notices reported by a peer.

        Args:
            hints: leaving servers.
            now: event-loop time.
        """
        for hint in hints:
            if hint.age_ms >= 0:
                age_s = hint.age_ms / MS_PER_S
                notices = self._directory.notices
                notices.note_leaving(hint.server, NoticeSource.PEER, now, age_s)

    def _choose_leaving(self, *, near: bool) -> list[str]:
        """Return leaving servers for one message, in turn if it can't hold all."""
        found = self._list_leaving()
        if len(found) <= SERVERS_PER_MESSAGE:
            return found
        begin = self._next_leaving[near] % len(found)
        self._next_leaving[near] = begin + SERVERS_PER_MESSAGE
        return (found[begin:] + found[:begin])[:SERVERS_PER_MESSAGE]

    def _list_leaving(self) -> list[str]:
        """Return leaving servers whose entries don't show it, newest notices first."""
        found = [
            (state.notices.leaving.received_at, state.id)
            for state in self._directory
            if state.notices.leaving is not None and not state.server.draining
        ]
        found.sort(reverse=True)
        return [server_id for _, server_id in found]

    def _describe(self, server_ids: Sequence[str], now: float) -> list[LeavingHint]:
        found = ((s, self._directory.notices.find_leaving(s)) for s in server_ids)
        return [
            LeavingHint(server_id, round((now - notice.received_at) * MS_PER_S))
            for server_id, notice in found
            if notice is not None
        ]
