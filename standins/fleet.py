"""A whole fleet in one process and one loop, for the demo and for tests."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import Any

from ramppin import Router, RouterConfig
from standins.common import StandIn
from standins.engine import EngineOptions, EngineStandIn
from standins.log import LogStandIn
from standins.service import ServiceStandIn
from standins.vms import VmListStandIn

FLEET_KEY = "demo-fleet-key"
OPERATOR_KEY = "demo-operator-key"


@dataclass(frozen=True)
class FleetOptions:
    """How large a fleet is and how it behaves.

    Attributes:
        routers: how many router VMs.
        caller_port: of the first router; 0 picks a free one.
        engine: how the model engines behave.
        work_s: how long a plain service's call takes.
        lag_s: of the list of VMs.
        lease_ttl_s: how long a lease lasts.
        drain_delay_s: time between not ready and the end of listening.
    """

    routers: int = 2
    caller_port: int = 0
    engine: EngineOptions = field(default_factory=EngineOptions)
    work_s: float = 0.01
    lag_s: float = 0.2
    lease_ttl_s: float = 1.5
    drain_delay_s: float = 0.5


class FleetInProcess:
    """Routers, engines, plain services, log and list of VMs in one loop.

    Args:
        tree: the settings to publish; addresses are replaced by the
            stand-ins' own.
        options: size and behaviour.
    """

    def __init__(
        self, tree: dict[str, Any], options: FleetOptions | None = None
    ) -> None:
        self.options = options or FleetOptions()
        self.tree = tree
        self.log = LogStandIn()
        self.vms = VmListStandIn(lag_s=self.options.lag_s)
        self.engines: dict[str, EngineStandIn] = {}
        self.services: dict[str, ServiceStandIn] = {}
        self.routers: dict[str, Router] = {}
        self.stand_ins: dict[str, StandIn] = {}

    async def start(self) -> None:
        """Start everything, publish the settings and wait until it serves."""
        await self.start_stand_in("log", StandIn(self.log.app))
        await self.start_stand_in("vms", StandIn(self.vms.app))
        for pool in self.tree["pools"].values():
            for name, node in pool["backend_servers"].items():
                await self._start_backend_server(name, node, pool)
        self.log.append(
            "settings",
            {
                "kind": "change",
                "base": -1,
                "nonce": "first",
                "author": "demo",
                "tree": self.tree,
            },
        )
        for number in range(1, self.options.routers + 1):
            port = self.options.caller_port if number == 1 else 0
            await self.start_router(f"vm-{number}", caller_port=port)
        await self.wait_until_ready()

    async def start_router(
        self, name: str, *, caller_port: int = 0, listed_at_once: bool = True
    ) -> Router:
        """Start a router VM and list it.

        Args:
            name: the VM's name.
            caller_port: where it serves callers; 0 for any port.
            listed_at_once: whether the list shows it without its usual lag.
        """
        domains = sorted(
            {
                node["failure_domain"]
                for pool in self.tree["pools"].values()
                for node in pool["backend_servers"].values()
            }
        )
        config = RouterConfig(
            vm=name,
            failure_domain=domains[len(self.routers) % len(domains)],
            caller_port=caller_port,
            operator_port=0,
            peer_port=0,
            log_url=f"http://{self.stand_ins['log'].address}",
            vms_url=f"http://{self.stand_ins['vms'].address}",
            fleet_key=FLEET_KEY,
            operator_key=OPERATOR_KEY,
            lease_ttl_s=self.options.lease_ttl_s,
            drain_delay_s=self.options.drain_delay_s,
            vms_poll_s=0.1,
        )
        router = Router(config)
        await router.start()
        self.routers[name] = router
        self.vms.put(
            {
                "name": name,
                "role": "router",
                "state": "live",
                "address": f"127.0.0.1:{router.peer_server.port}",
            },
            at_once=listed_at_once,
        )
        return router

    async def wait_until_ready(self) -> None:
        """Return once each shard has an owner that grants."""
        while not self._is_ready():
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """Stop everything."""
        for router in self.routers.values():
            if not router.stopped.is_set():
                with contextlib.suppress(asyncio.CancelledError):
                    await router.stop()
        for stand_in in self.stand_ins.values():
            await stand_in.stop()

    def get_caller_url(self, vm: str) -> str:
        """Return where a router serves callers."""
        return f"http://127.0.0.1:{self.routers[vm].callers.port}"

    def get_operator_url(self, vm: str) -> str:
        """Return where a router serves operators."""
        return f"http://127.0.0.1:{self.routers[vm].operators.port}"

    def _is_ready(self) -> bool:
        granting = {
            shard
            for router in self.routers.values()
            for shard, owned in router.host.owned.items()
            if owned.granting
        }
        ready = all(not router.find_unready() for router in self.routers.values())
        return ready and granting >= set(self.tree["pools"])

    async def _start_backend_server(
        self, name: str, node: dict[str, Any], pool: dict[str, Any]
    ) -> None:
        if pool.get("reports_load"):
            engine = EngineStandIn(name, options=self.options.engine)
            self.engines[name] = engine
            stand_in = StandIn(engine.app)
        else:
            honours_keys = bool(pool.get("honours_keys"))
            service = ServiceStandIn(
                name, work_s=self.options.work_s, honours_keys=honours_keys
            )
            self.services[name] = service
            stand_in = StandIn(service.app)
        await self.start_stand_in(name, stand_in)
        node["address"] = stand_in.address
        self.vms.put(
            {"name": name, "role": "backend-server", "state": "live"}, at_once=True
        )

    async def start_stand_in(self, name: str, stand_in: StandIn) -> None:
        """Start a stand-in under a name."""
        await stand_in.start()
        self.stand_ins[name] = stand_in
