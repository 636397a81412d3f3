"""State of the size to measure, and the memory that it takes."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable
from typing import Any

from bench.design import ENGINES, MODELS, NODES
from bench.fit import Point
from ramppin import (
    Allocator,
    ClaimTable,
    HeldClaims,
    Homes,
    LeaseTable,
    Member,
    PlaceId,
    PlaceRequest,
    Settings,
    SettingsHistory,
    SettingsTree,
)
from ramppin.router.process.claims.claims import StoredAnswer
from ramppin.router.request.trace import Trace, TraceStore


def measure_memory(
    slope: str, sizes: tuple[int, ...], build: Callable[[int], object]
) -> list[Point]:
    """Measure the bytes that a structure holds at some sizes."""
    points = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        kept = build(size)
        gc.collect()
        used = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        del kept
        points.append(Point(slope, size, float(used), "bytes"))
    return points


def build_homes(count: int) -> Homes:
    """Return homes of so many chats that left their first choice."""
    homes = Homes(keep=count + 1)
    for number in range(count):
        homes.put((number + 1) * 0x9E3779B97F4A7C15 % 2**64, f"engine-{number % 36}")
    return homes


def build_claims(count: int) -> ClaimTable:
    """Return a table of so many claims, many to a record."""
    table = ClaimTable(600.0)
    for offset in range(0, count, 100):
        items = [
            {"key": f"{n:032x}", "digest": f"{n:016x}", "issued": float(n)}
            for n in range(offset, min(offset + 100, count))
        ]
        record = {"vm": "vm-1", "run": 1, "number": offset, "at": 0.0, "items": items}
        table.apply(offset, record, 0.0)
    return table


def build_held(count: int) -> HeldClaims:
    """Return so many claims with their answers, 300 bytes each."""
    held = HeldClaims(max_bytes=2**40)
    for number in range(count):
        key = f"{number:032x}"
        held.add(key)
        held.take(key, "vm-1.1.1")
        body = f"{number:0300d}".encode()
        held.finish(key, StoredAnswer(200, (("content-type", "text/plain"),), body))
    return held


def build_traces(count: int) -> TraceStore:
    """Return so many traces with four steps each."""
    store = TraceStore(keep=count)
    for number in range(count):
        trace = Trace(f"vm-1.abc.{number:x}", "vm-1", 1, "choir", "assistant")
        for step in ("place", "claim", "send", "finish"):
            finding = f"engine-{number % 36} by home: load 4 of at most 5, {number}"
            trace.add(float(number), step, finding, "bound", "slots", peer="vm-2")
        store.put(trace)
    return store


def build_places(count: int) -> Allocator:
    """Return an allocator of 36 engines that holds so many places."""
    allocator = build_allocator(36, slots=100_000)
    for number in range(count):
        # A second apart, so that nothing is in transit.
        allocator.ask(build_request(number), float(number))
    return allocator


def build_leases(count: int) -> LeaseTable:
    """Return a table of so many shards' leases."""
    table = LeaseTable()
    for offset in range(count):
        record = {
            "kind": "claim",
            "shard": f"pool-{offset}",
            "vm": f"vm-{offset}",
            "run": 1,
            "replaces": -1,
        }
        table.apply(offset, record, 0.0)
    return table


def build_tree(customers: int) -> dict[str, Any]:
    """Return the settings of a fleet of 25 models with so many customers."""
    return {
        "pools": {
            f"pool-{p}": {
                "reports_load": True,
                "backend_servers": {
                    f"engine-{p}-{n}": {
                        "address": "10.0.0.1:9000",
                        "failure_domain": f"domain-{n % 5}",
                    }
                    for n in range(ENGINES // MODELS)
                },
            }
            for p in range(MODELS)
        },
        "services": {
            f"service-{p}": {
                "kind": "model",
                "pool": f"pool-{p}",
                "models": [f"model-{p}"],
            }
            for p in range(MODELS)
        },
        "customers": {
            f"customer-{c}": {
                "key_hashes": [f"{c:064x}"],
                "rules": {"weight": 2, "max_in_flight": 50},
            }
            for c in range(customers)
        },
    }


def build_settings(customers: int) -> SettingsHistory:
    """Return a history with one accepted version."""
    history = SettingsHistory()
    tree = build_tree(customers)
    history.apply(0, {"kind": "change", "base": -1, "nonce": "n", "tree": tree})
    assert history.settings
    return history


# -- time -----------------------------------------------------------------


def build_allocator(engines: int, *, slots: int = 64) -> Allocator:
    """Return an allocator of so many engines."""
    pool = {"backend_servers": {}, "rules": {"slots": slots}}
    tree = SettingsTree.model_validate({"pools": {"p": pool}, "services": {}})
    allocator = Allocator(Settings(0, tree).resolve_pool("p"))
    allocator.set_members([Member(f"engine-{n}") for n in range(engines)], 0.0)
    return allocator


def build_request(number: int) -> PlaceRequest:
    """Return a request of one of many chats."""
    chat = (number * 0x9E3779B97F4A7C15 + 1) % 2**64
    return PlaceRequest(
        PlaceId(f"vm-{number % NODES}", number),
        chat,
        f"customer-{number % 100}",
        returning=number % 4 != 0,
    )
