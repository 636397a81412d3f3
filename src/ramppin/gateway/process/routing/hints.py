"""Announces to other VMs where prefixes are, and takes their announcements.

A datagram without homes is the heartbeat by which VMs know each other live. Owns the
times of the last messages to near and to far VMs.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ramppin.gateway.connection.datagrams import DatagramLink, HomeHint, PeerHints
from ramppin.gateway.process.membership.members import FleetMembers
from ramppin.gateway.process.routing.homes import HomeNotice, PrefixHomes

SHORTEST_PERIOD_S = 0.08
"""Seconds between two messages to all VMs. Chosen with commit 68421f8; no run varied
it."""

DATAGRAMS_PER_S = 100
"""Datagrams that one VM sends; with many VMs the period grows instead. Chosen with
commit 68421f8; no run varied it."""

HINTS_PER_DATAGRAM = 24
"""Homes in one datagram, 684 bytes with the ids of the sites played: below the usual
path limit, so that it is not split."""


class HintExchange:
    """Sends and receives hints.

    Args:
        vm: this VM's name.
        link: carries them.
        port: the port of every VM's link.
        members: the other VMs.
        homes: where prefixes are.
        is_log_up: returns whether the shared log serves this VM.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        vm: str,
        link: DatagramLink,
        port: int,
        members: FleetMembers,
        homes: PrefixHomes,
        is_log_up: Callable[[float], bool] = lambda now: True,
    ) -> None:
        self._vm = vm
        self._link = link
        self._port = port
        self._members = members
        self._homes = homes
        self._is_log_up = is_log_up
        self._told_log_up = True
        self._sent_at = dict.fromkeys((True, False), float("-inf"))

    async def run(self) -> None:
        """Send hints until cancelled."""
        try:
            while True:
                await asyncio.sleep(self._choose_period())
                self._send()
        finally:
            self._link.close()

    def take(self, hints: PeerHints, host: str) -> None:
        """Take a message of another VM."""
        now = asyncio.get_running_loop().time()
        known = self._members.note_received(hints.vm, host, now, log_up=hints.log_up)
        if not known:
            return
        for hint in hints.homes:
            notice = HomeNotice(hint.key, hint.server, hint.age_ms / 1000)
            self._homes.take_notice(notice, now)

    def _choose_period(self) -> float:
        return max(SHORTEST_PERIOD_S, len(self._members) / DATAGRAMS_PER_S)

    def _send(self) -> None:
        """Send what is new to all VMs, or a heartbeat to those it is due to."""
        now = asyncio.get_running_loop().time()
        notices = self._homes.collect_notices(now, HINTS_PER_DATAGRAM)
        homes = [
            HomeHint(notice.key, notice.server, int(notice.age_s * 1000))
            for notice in notices
        ]
        log_up = self._is_log_up(now)
        has_news = bool(notices) or log_up != self._told_log_up
        self._told_log_up = log_up
        for near in (True, False):
            due_s = self._members.choose_heartbeat_s(near=near)
            if not has_news and now - self._sent_at[near] < due_s:
                continue
            self._sent_at[near] = now
            hosts = self._members.list_hosts(now, near=near)
            self._link.send(PeerHints(self._vm, homes, log_up), hosts, self._port)
