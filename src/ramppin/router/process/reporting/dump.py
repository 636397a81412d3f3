"""The state of a process, on request."""

from __future__ import annotations

from typing import Any

from ramppin.router.process.parts import RouterParts
from ramppin.router.process.routing.shards import OwnedShard


def build_dump(router: RouterParts) -> dict[str, Any]:
    """Return everything that helps to see what a process does."""
    return {
        "vm": router.config.vm,
        "run": router.run_number,
        "failure_domain": router.config.failure_domain,
        "unready": router.find_unready(),
        "settings": {
            "version": router.version,
            "next_offset": router.history.next_offset,
        },
        "log": {
            "settings_up": router.follower.tail.up,
            "leases_up": router.ownership.tail.up,
            "claims_up": router.claims_tail.up,
            "lease_appends": router.ownership.appends,
            "claim_appends": router.claimer.appends,
        },
        "routers": router.membership.live_routers,
        "leaving": sorted(router.membership.list.leaving)
        if router.membership.list
        else [],
        "owned_shards": {
            name: _dump_shard(owned) for name, owned in router.host.owned.items()
        },
        "requests": {
            "in_flight": router.context.in_flight,
            "places_held": len(router.placer.held),
            "traces": len(router.context.traces),
        },
        "claims": {
            "known": len(router.claims),
            "held": len(router.held_claims),
        },
        "links": {
            f"{direction} {kind}": {
                "bytes": size,
                "messages": router.meter.messages[direction, kind],
            }
            for (direction, kind), size in sorted(router.meter.bytes.items())
        },
    }


def build_status(router: RouterParts) -> dict[str, Any]:
    """Return the fleet as one VM sees it."""
    listed = router.membership.list
    routers = listed.routers if listed else {}
    return {
        "seen_by": router.config.vm,
        "version": router.version,
        "routers": {name: entry.state.value for name, entry in routers.items()},
        "shards": {
            shard: {
                "owner": lease.vm,
                "epoch": lease.epoch,
                "released": lease.released,
            }
            for shard, lease in sorted(router.ownership.table.leases.items())
        },
    }


def _dump_shard(owned: OwnedShard) -> dict[str, Any]:
    allocator = owned.allocator
    load = allocator.load
    return {
        "epoch": owned.epoch,
        "granting": owned.granting,
        "counted": owned.counted,
        "synced": sorted(owned.synced),
        "total": load.total,
        "cap": load.cap,
        "members": load.members,
        "waiting": len(allocator.queue),
        "refusals": allocator.refusals,
        "homes": len(allocator.homes),
        "doubtful": load.doubtful,
        "places_by_vm": load.count_by_vm(),
        "backend_servers": {
            server.name: {
                "places": server.places,
                "unexplained": server.unexplained,
                "leaving": server.leaving,
                "suspended": bool(server.suspended_until),
                "ramp": server.ramp,
            }
            for server in load.servers.values()
        },
    }
