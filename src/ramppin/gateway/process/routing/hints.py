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
from ramppin.gateway.process.routing.servernews import ServerNews

SHORTEST_PERIOD_S = 0.08
"""Seconds between two messages to all VMs."""

DATAGRAMS_PER_S = 100
"""Datagrams that one VM sends in the mean; with many VMs the period grows instead."""

BURST_DATAGRAMS = 400
"""Datagrams that a VM may send at once: a prefix that was just placed is told at once
while there are some left, since each VM that does not know it places it anew and reads
it again."""

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
        servers: what VMs tell each other of servers.
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
        servers: ServerNews,
        is_log_up: Callable[[float], bool] = lambda now: True,
    ) -> None:
        self._vm = vm
        self._link = link
        self._port = port
        self._members = members
        self._homes = homes
        self._servers = servers
        self._is_log_up = is_log_up
        self._told_log_up = True
        self._datagrams_left = float(BURST_DATAGRAMS)
        self._looked_at = float("-inf")
        self._due_at = float("-inf")
        self._sent_at = dict.fromkeys((True, False), float("-inf"))

    async def run(self) -> None:
        """Send hints until cancelled."""
        try:
            while True:
                await asyncio.sleep(SHORTEST_PERIOD_S)
                now = asyncio.get_running_loop().time()
                if self.is_due(now):
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
        if hints.failures:
            domain = self._members.find_failure_domain(hints.vm)
            self._servers.take(hints.failures, domain, now)

    def is_due(self, now: float) -> bool:
        """Return whether to send now: in turn, or at once what was just placed."""
        passed_s = min(now - self._looked_at, BURST_DATAGRAMS / DATAGRAMS_PER_S)
        self._looked_at = now
        self._datagrams_left = min(
            BURST_DATAGRAMS, self._datagrams_left + passed_s * DATAGRAMS_PER_S
        )
        if now >= self._due_at:
            self._due_at = now + self._choose_period()
            return True
        return self._homes.has_placed and self._datagrams_left >= len(self._members)

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
        failures = self._servers.collect(now)
        log_up = self._is_log_up(now)
        has_news = bool(notices or failures) or log_up != self._told_log_up
        self._told_log_up = log_up
        for near in (True, False):
            due_s = self._members.choose_heartbeat_s(near=near)
            if not has_news and now - self._sent_at[near] < due_s:
                continue
            self._sent_at[near] = now
            hosts = self._members.list_hosts(now, near=near)
            self._datagrams_left -= len(hosts)
            hints = PeerHints(self._vm, homes, log_up, failures)
            self._link.send(hints, hosts, self._port)
