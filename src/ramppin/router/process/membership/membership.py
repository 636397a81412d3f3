"""VMs and backend servers of the fleet, from the platform's list."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from ramppin.errors import RamppinError
from ramppin.router.connection.vmlist import VmList, VmListClient
from ramppin.router.process.routing.load import Member
from ramppin.router.process.routing.shards import Shard
from ramppin.router.version.tree import Settings

LOG = logging.getLogger(__name__)


class Membership:
    """Follows the platform's list; does no I/O outside :meth:`run`.

    Args:
        vm: this VM.
        clock: monotonic clock.

    .. versionadded:: 0.1
    """

    def __init__(self, vm: str, clock: Callable[[], float]) -> None:
        self.list: VmList | None = None
        self._vm = vm
        self._clock = clock
        self._seen_at: dict[str, float] = {}

    @property
    def live_routers(self) -> list[str]:
        """Names of the listed routers that aren't leaving; may include this one."""
        return self.list.live_routers if self.list else []

    @property
    def other_routers(self) -> list[str]:
        """Names of all other listed routers, including leaving ones."""
        routers = self.list.routers if self.list else {}
        return [name for name in routers if name != self._vm]

    def find_address(self, vm: str) -> str | None:
        """Return the address at which a router accepts links, or None."""
        entry = self.list.routers.get(vm) if self.list else None
        return entry.address if entry and entry.address else None

    def apply(self, listed: VmList | None) -> None:
        """Apply the current list; None leaves it unchanged."""
        if listed is None:
            return
        now = self._clock()
        self.list = listed
        for name in listed.backend_servers:
            self._seen_at[name] = now

    def build_shards(self, settings: Settings) -> list[Shard]:
        """Return the shards of some settings with their backend servers."""
        return [self._build_shard(settings, pool) for pool in settings.tree.pools]

    async def run(
        self, client: VmListClient, poll_s: float, on_change: Callable[[], None]
    ) -> None:
        """Read the list every ``poll_s`` seconds until cancelled."""
        was_up = True
        while True:
            try:
                listed = await client.read()
            except RamppinError as error:
                if was_up:
                    LOG.warning(
                        "VM list not readable: %s", error, extra={"step": "list"}
                    )
                was_up = False
            else:
                was_up = True
                self.apply(listed or self.list)
                on_change()
            await asyncio.sleep(poll_s)

    def _build_shard(self, settings: Settings, pool: str) -> Shard:
        node = settings.tree.pools[pool]
        members = tuple(
            Member(
                name,
                server.failure_domain,
                leaving=self._is_leaving(server.vm or name, settings.absent_s),
            )
            for name, server in node.backend_servers.items()
        )
        return Shard(pool, settings.resolve_pool(pool), members)

    def _is_leaving(self, vm: str, absent_s: float) -> bool:
        if self.list is None or vm in self.list.leaving:
            return True
        if vm in self.list.backend_servers:
            return False
        seen_at = self._seen_at.get(vm)
        return seen_at is None or self._clock() - seen_at > absent_s
