"""What VMs tell each other of servers that leave.

While the log is away a server's word is in its answers alone, and in a large fleet each
VM meets each server rarely. So a VM whose answer says that a server leaves tells all at
once, and in some messages more, since datagrams get lost. Beside that what each VM
sends anyway, a heartbeat at the latest, tells all such servers that it knows of, from
whomever, for VMs that have started, were cut off, or were stopped: what is told once
more changes nothing. Nothing is told of servers whose entries say the same, or are
gone. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ramppin.gateway.connection.datagrams import BackoffHint, LeavingHint
from ramppin.gateway.process.membership.servernotices import NoticeSource
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.noticeregistry import MS_PER_S

BROADCASTS = 4
"""Messages in which a word is told that this VM heard itself: where 3 of 5 datagrams
get lost 0.87 of the VMs hear it at first hand (1 - 0.6**4)."""

SERVERS_PER_MESSAGE = 12
"""Servers in one message, 300 bytes: with the homes it is not split."""

REBROADCAST_PERIOD_S = 1.0
"""Seconds after which all words are told again, with the next message that is sent: a
heartbeat if nothing else is."""


class NoticeGossip:
    """Collects the words to tell, and takes those that others tell.

    Args:
        directory: the backend servers and their words.

    .. versionadded:: 0.3
    """

    def __init__(self, directory: ServerDirectory) -> None:
        self._directory = directory
        self._broadcasts_left: dict[str, int] = {}
        self._rebroadcast_at = dict.fromkeys((True, False), float("-inf"))

    def watch(self, notify_pending: Callable[[], None]) -> None:
        """Have a function called when there is something to tell."""
        self._directory.notices.notify_pending = notify_pending

    @property
    def is_urgent(self) -> bool:
        """Whether an answer told something that was not told yet."""
        return self._directory.notices.has_pending

    @property
    def has_pending(self) -> bool:
        """Whether something is still to be told for which a message is worth it."""
        return self.is_urgent or bool(self._broadcasts_left)

    def collect(self, now: float) -> list[LeavingHint]:
        """Return what this VM heard itself, to tell in the next message to all VMs.

        Args:
            now: the loop's time.
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
        """Return all that is known, for a message that is sent in any case.

        Args:
            now: the loop's time.
            near: whether it goes to the VMs of the own failure domain, or to others.
        """
        if now - self._rebroadcast_at[near] < REBROADCAST_PERIOD_S:
            return []
        self._rebroadcast_at[near] = now
        return self._describe(self._list_leaving(), now)

    def collect_backoffs(self, now: float) -> list[BackoffHint]:
        """Return the rests to tell in the next message to all VMs.

        Not those of servers that are passed over anyway, by what others told.

        Args:
            now: the loop's time.
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
        """Take the rests that another VM was asked for.

        Args:
            vm: that VM.
            hints: servers that asked it.
            now: the loop's time.
        """
        for hint in hints:
            state = self._directory.find(hint.server)
            if state is not None:
                state.shedding.note_peer_backoff(vm, now + hint.remaining_ms / MS_PER_S)

    def apply(self, hints: Sequence[LeavingHint], now: float) -> None:
        """Take what another VM tells.

        Args:
            hints: servers that leave.
            now: the loop's time.
        """
        for hint in hints:
            if hint.age_ms >= 0:
                age_s = hint.age_ms / MS_PER_S
                notices = self._directory.notices
                notices.note_leaving(hint.server, NoticeSource.PEER, now, age_s)

    def _list_leaving(self) -> list[str]:
        """Return the servers whose words alone say that they leave, the newest ones."""
        found = [
            (state.notices.leaving.received_at, state.id)
            for state in self._directory
            if state.notices.leaving is not None and not state.server.draining
        ]
        found.sort(reverse=True)
        return [server_id for _, server_id in found[:SERVERS_PER_MESSAGE]]

    def _describe(self, server_ids: Sequence[str], now: float) -> list[LeavingHint]:
        found = ((s, self._directory.notices.find_leaving(s)) for s in server_ids)
        return [
            LeavingHint(server_id, round((now - notice.received_at) * MS_PER_S))
            for server_id, notice in found
            if notice is not None
        ]
