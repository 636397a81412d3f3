"""Reads load reports and cache events of the backend servers of owned shards."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from ramppin.errors import RamppinError
from ramppin.router.connection.backends import BackendClient
from ramppin.router.process.routing.shards import OwnedShard, ShardHost
from ramppin.router.version.schema import BackendServerNode
from ramppin.router.version.tree import Settings

LOG = logging.getLogger(__name__)

FAST_POLL_S = 0.25
"""Time between two reads while counts are incomplete or places orphaned."""


class ReportReader:
    """Reads the reports of the backend servers of the shards this VM owns.

    Args:
        backends: client of the backend servers.
        host: the shards that this VM owns.
        get_settings: returns the settings in force.
        poll_s: time between two reads of one backend server.
        clock: monotonic clock.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        backends: BackendClient,
        host: ShardHost,
        *,
        get_settings: Callable[[], Settings | None],
        poll_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._backends = backends
        self._host = host
        self._get_settings = get_settings
        self._poll_s = poll_s
        self._clock = clock
        self._read_at: dict[str, float] = {}
        self._event_numbers: dict[str, int] = {}

    async def run(self) -> None:
        """Read reports until cancelled."""
        while True:
            settings = self._get_settings()
            if settings:
                shards = list(self._host.owned.items())
                reads = [self._read_shard(settings, n, o) for n, o in shards]
                await asyncio.gather(*reads)
            await asyncio.sleep(FAST_POLL_S)

    async def _read_shard(
        self, settings: Settings, shard: str, owned: OwnedShard
    ) -> None:
        pool = settings.tree.pools.get(shard)
        if pool is None or not pool.reports_load:
            owned.loads_seen = True
            return
        load = owned.allocator.load
        urgent = not owned.counted or bool(load.list_orphans())
        urgent = urgent or any(s.unexplained for s in load.servers.values())
        now = self._clock()
        if not urgent and now - self._read_at.get(shard, -1e9) < self._poll_s:
            return
        self._read_at[shard] = now
        servers = pool.backend_servers.items()
        reads = [self._read_server(shard, name, node) for name, node in servers]
        await asyncio.gather(*reads)
        owned.loads_seen = True

    async def _read_server(
        self, shard: str, name: str, node: BackendServerNode
    ) -> None:
        try:
            asked_at = self._clock()
            report = await self._backends.read_load(node.address)
            as_of = asked_at - report.age_s
            self._host.observe_load(shard, name, report.running, as_of, self._clock())
            await self._read_events(shard, name, node)
        except RamppinError as error:
            self._host.note_missing_report(shard, name, self._clock())
            LOG.debug(
                "report not read: %s", error, extra={"step": "report", "peer": name}
            )

    async def _read_events(
        self, shard: str, name: str, node: BackendServerNode
    ) -> None:
        after = self._event_numbers.get(name, 0)
        events = await self._backends.read_cache_events(node.address, after)
        owned = self._host.owned.get(shard)
        for event in events:
            self._event_numbers[name] = event.number
            if owned and event.chat:
                chat = int(event.chat, 16)
                owned.allocator.observe_cache(name, chat, present=event.present)
