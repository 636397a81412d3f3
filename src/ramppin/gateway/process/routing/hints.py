"""Announces to other VMs where prefixes are, and takes their announcements.

A datagram without homes is the heartbeat by which VMs know each other live. Owns the
times of the last messages to near and to far VMs.
"""

from __future__ import annotations

import asyncio

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

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        vm: str,
        link: DatagramLink,
        port: int,
        members: FleetMembers,
        homes: PrefixHomes,
    ) -> None:
        self._vm = vm
        self._link = link
        self._port = port
        self._members = members
        self._homes = homes
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
        if not self._members.note_received(hints.vm, host, now):
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
        for near in (True, False):
            due_s = self._members.choose_heartbeat_s(near=near)
            if not notices and now - self._sent_at[near] < due_s:
                continue
            self._sent_at[near] = now
            hosts = self._members.list_hosts(now, near=near)
            self._link.send(PeerHints(self._vm, homes), hosts, self._port)
