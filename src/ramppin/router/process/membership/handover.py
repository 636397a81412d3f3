"""Fetches records from other VMs while this VM can't read the log."""

from __future__ import annotations

import asyncio
import json
import logging
import random

from ramppin.errors import PeerUnavailableError
from ramppin.router.connection.links import PeerLinks
from ramppin.router.connection.messages import AskRecords, Records
from ramppin.router.process.membership import ownership
from ramppin.router.process.membership.membership import Membership
from ramppin.router.process.membership.ownership import Ownership
from ramppin.router.process.recovery import publishing
from ramppin.router.process.recovery.publishing import SettingsFollower

LOG = logging.getLogger(__name__)

INTERVAL_S = 0.5
"""Time between two rounds of requests to other VMs, in seconds."""

TIMEOUT_S = 1.0
"""Time-out of a request for records, in seconds."""

PEERS_ASKED = 2
"""VMs that are asked in a round; the newest of their records applies."""


class RecordFetcher:
    """Fetches settings and leases from other VMs while the log can't be read.

    Args:
        links: links to other VMs.
        membership: the listed VMs.
        follower: the settings.
        owner: the leases.
        seed: seed of the random choice of VMs.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        links: PeerLinks,
        membership: Membership,
        follower: SettingsFollower,
        owner: Ownership,
        *,
        seed: int = 0,
    ) -> None:
        self._links = links
        self._membership = membership
        self._follower = follower
        self._owner = owner
        self._random = random.Random(seed)

    async def run(self) -> None:
        """Fetch records of unreadable streams until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            others = self._membership.other_routers
            chosen = self._random.sample(others, min(PEERS_ASKED, len(others)))
            for vm in chosen:
                await self._fetch_from(vm)

    async def _fetch_from(self, vm: str) -> None:
        try:
            if not self._follower.tail.up:
                for offset, value in await self._fetch(vm, publishing.STREAM):
                    self._follower.apply(offset, value)
            if not self._owner.tail.up:
                for offset, value in await self._fetch(vm, ownership.STREAM):
                    self._owner.apply_handed_on(offset, value)
        except PeerUnavailableError as error:
            LOG.debug(
                "records not fetched: %s", error, extra={"step": "fetch", "peer": vm}
            )

    async def _fetch(self, vm: str, stream: str) -> list[tuple[int, object]]:
        link = await self._links.open(vm)
        reply = await link.call(
            AskRecords(self._links.next_call(), stream, 0), TIMEOUT_S
        )
        if not isinstance(reply, Records):
            return []
        return [(offset, json.loads(text)) for offset, text in reply.records]
