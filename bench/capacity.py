"""The slopes behind docs/CAPACITY.md: measured, fitted, and drawn."""

from __future__ import annotations

import asyncio
import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from bench import processes, report
from bench.wire import measure_wire
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
from ramppin.router.connection.links import Meter, PeerLinks, Send
from ramppin.router.connection.messages import Ask, Free, Granted, Message
from ramppin.router.connection.peerserver import PeerHandler, PeerServer
from ramppin.router.process.claims.claims import StoredAnswer
from ramppin.router.request.trace import Trace, TraceStore

PAGE = Path("docs/CAPACITY.md")
KEY = "capacity-key"

NODES = 360
ENGINES = 910
MODELS = 25
RATE = 2300.0
TOKENS_S = 1_200_000.0
CHATS = 4_500_000
CUSTOMERS = 1800
CHANGES_A_DAY = 4000
POOL_RATE = RATE / MODELS
PLACES = TOKENS_S * 0.034 / MODELS
OFF_FIRST_CHOICE = 0.5
"""Share of chats with a home; new ones go to the lesser of their first two."""

OWNERS = 40
"""Shards: 25 models, and 15 pools of plain services assumed."""

CLAIMS_S = 20.0
"""Calls with a key a second, assumed; letter 1 gives no number."""

CLAIM_BYTES = 170
LIST_CHANGES_A_DAY = 300
PING_BYTES = 20
"""Bytes a second of a link's pings and pongs, one of each a second."""

DESIGN_TTL_S = 4.5
DESIGN_LOG_POLL_S = 0.25
DESIGN_LIST_POLL_S = 2.0
DESIGN_LOAD_POLL_S = 10.0

MENDS = {
    "bytes: an owner": "The owner of an average pool; 40 of 360 nodes. Mend: two or "
    "three shards a pool, each with an owner, whose totals are told to each other "
    "so that the mean stays that of the pool; and pings only on links with places.",
    "processor: an owner": "The same mend: smaller shards.",
    "processor: any node": "Mend: fewer polls (see log_poll_min_s and vms_poll_s).",
    "memory: all state": "Mend: keep homes for fewer chats, answers for less.",
    "bytes: any node": "Mend: partition the claims by key.",
}

CONTROL_CPU_PERCENT = 2.3
CONTROL_MB = 64.0
CONTROL_BYTES_S = 15_000.0


@dataclass(frozen=True)
class Point:
    """One measured point.

    Attributes:
        slope: what grows.
        size: how large it was made.
        value: what was measured.
        unit: of the value.
    """

    slope: str
    size: float
    value: float
    unit: str


@dataclass(frozen=True)
class DesignLine:
    """What a part costs a node at the size to design for.

    Attributes:
        part: which part.
        size: at what size.
        value: what it costs.
        unit: of value and budget.
        budget: what it may cost; 0 where the budget is on a sum.
    """

    part: str
    size: str
    value: float
    unit: str
    budget: float = 0.0


@dataclass(frozen=True)
class Fit:
    """A line through the points of one slope.

    Attributes:
        slope: what grows.
        base: the value at size 0.
        per_item: growth for each item.
        fit: coefficient of determination.
        unit: of base and growth.
        sizes: the sizes that were measured.
    """

    slope: str
    base: float
    per_item: float
    fit: float
    unit: str
    sizes: list[float]

    def at(self, size: float) -> float:
        """Return the value at a size."""
        return self.base + self.per_item * size


def fit_line(points: list[Point]) -> Fit:
    """Return the least-squares line through points of one slope."""
    sizes = np.array([point.size for point in points])
    values = np.array([point.value for point in points])
    per_item, base = np.polyfit(sizes, values, 1)
    rest = values - (base + per_item * sizes)
    spread = float(((values - values.mean()) ** 2).sum())
    quality = 1.0 - float((rest**2).sum()) / spread if spread else 1.0
    first = points[0]
    return Fit(
        first.slope,
        float(base),
        float(per_item),
        round(quality, 4),
        first.unit,
        [float(size) for size in sizes],
    )


# -- memory ---------------------------------------------------------------


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


def measure_decisions(
    sizes: tuple[int, ...] = (9, 36, 90), count: int = 8000
) -> list[Point]:
    """Measure one placement and its release, by engines of a pool."""
    points = []
    for engines in sizes:
        allocator = build_allocator(engines)
        held = engines * 20
        begin = 0.0
        for number in range(held + count):
            if number == held:
                begin = time.process_time()
            now = number * 0.011
            allocator.ask(build_request(number), now)
            if number >= held:
                allocator.release(build_request(number - held).place, now)
        spent = (time.process_time() - begin) / count * 1e6
        points.append(Point("decision, by engines", engines, round(spent, 2), "us"))
    return points


def measure_acceptance(sizes: tuple[int, ...] = (100, 600, 1800)) -> list[Point]:
    """Measure the acceptance of one patch, by customers in the tree."""
    points = []
    for customers in sizes:
        history = build_settings(customers)
        begin = time.process_time()
        for offset in range(1, 11):
            patch = {"customers": {"customer-1": {"rules": {"weight": offset}}}}
            record = {
                "kind": "patch",
                "base": history.version,
                "nonce": str(offset),
                "patch": patch,
            }
            history.apply(offset, record)
        assert history.version == 10
        spent = (time.process_time() - begin) / 10 * 1000
        points.append(Point("accept a patch, by customers", customers, spent, "ms"))
    return points


class _Owner(PeerHandler):
    """Grants every ask, as an owner's allocator does."""

    def __init__(self) -> None:
        self.allocator = build_allocator(36)

    async def handle_message(self, vm: str, message: Message, send: Send) -> None:
        """Decide and answer."""
        now = time.monotonic()
        if isinstance(message, Ask):
            place = PlaceId(vm, message.number)
            request = PlaceRequest(
                place, message.chat, message.customer, returning=message.returning
            )
            for decision in self.allocator.ask(request, now):
                send(
                    Granted(decision.place.number, "engine-1", "home", 1, 2, 3, 4, 0, 5)
                )
        elif isinstance(message, Free):
            self.allocator.release(PlaceId(vm, message.number), now)

    def handle_link_down(self, vm: str) -> None:
        """Do nothing."""


async def _run_links(rate: int, seconds: float) -> float:
    """Return the processor seconds of both ends for asks at a rate."""
    meter = Meter()
    server = PeerServer("127.0.0.1", 0, KEY, _Owner(), meter)
    await server.start()
    links = PeerLinks(
        "vm-2",
        KEY,
        find_address=lambda _: f"127.0.0.1:{server.port}",
        on_message=lambda vm, message: None,
        on_down=lambda vm: None,
        meter=meter,
    )
    link = await links.open("vm-1")
    begin, spent = time.monotonic(), time.process_time()
    for number in range(int(rate * seconds)):
        await asyncio.sleep(max(0.0, begin + number / rate - time.monotonic()))
        link.send(
            Ask("pool-1", number, number + 1, "service-1", -1, "c-1", True, 30000)
        )
        link.send(Free("pool-1", number - 20))
    spent = time.process_time() - spent
    await links.close()
    await server.stop()
    return spent / seconds


def measure_links(
    sizes: tuple[int, ...] = (50, 150, 450), seconds: float = 4.0
) -> list[Point]:
    """Measure the processor share of places over a real link, by rate."""
    points = []
    for rate in sizes:
        share = asyncio.run(_run_links(rate, seconds)) * 100
        points.append(
            Point("places over a link, both ends, by rate", rate, share, "% of a core")
        )
    return points


async def _measure_fleets(sizes: tuple[int, ...]) -> list[Point]:
    points = []
    for routers in sizes:
        row = await processes.measure_idle(routers)
        for name, unit in (
            ("cpu_percent_mean", "% of a core"),
            ("cpu_percent_max", "% of a core"),
            ("memory_mb_max", "MB"),
            ("link_bytes_s_mean", "bytes/s"),
        ):
            points.append(
                Point(f"idle router, {name}, by routers", routers, row[name], unit)
            )
    return points


# -- page -----------------------------------------------------------------


def measure() -> None:
    """Measure all slopes and write the results."""
    points = [
        *measure_memory("homes, by chats", (10_000, 40_000, 90_000), build_homes),
        *measure_memory("claims known, by keys", (2_000, 10_000, 40_000), build_claims),
        *measure_memory("answers kept, by keys", (500, 2_000, 8_000), build_held),
        *measure_memory("traces, by requests", (500, 1_000, 4_000), build_traces),
        *measure_memory("places held, by places", (300, 1_500, 4_500), build_places),
        *measure_memory("leases, by shards", (25, 100, 400), build_leases),
        *measure_memory("settings, by customers", (100, 600, 1_800), build_settings),
        *measure_decisions(),
        *measure_acceptance(),
        *measure_links(),
        *asyncio.run(_measure_fleets((4, 8, 16))),
    ]
    report.write_rows("capacity", points)
    report.write_rows("wire", [measure_wire()])


def read_wire() -> dict[str, float]:
    """Return the bytes of each kind of read, from the results."""
    return dict(report.read_rows("wire")[0])


def load_fits() -> dict[str, Fit]:
    """Return the line of each slope, from the results."""
    points = [Point(**row) for row in report.read_rows("capacity")]
    names = dict.fromkeys(point.slope for point in points)
    return {
        name: fit_line([point for point in points if point.slope == name])
        for name in names
    }


def redraw() -> None:
    """Redraw the tables and plots of the page from the results."""
    fits = load_fits()
    report.fill_page(PAGE, "slopes", _format_slopes(fits))
    report.fill_page(PAGE, "design", _format_design(fits))
    report.fill_page(PAGE, "broken", _format_broken(fits))
    rows = [row for row in report.read_rows("slopes") if row["policy"] == "ramppin"]
    if rows:
        report.plot_slope(
            rows,
            "routers",
            ["control_bytes_s", "busiest_bytes_s"],
            "control_bytes",
            CONTROL_BYTES_S,
        )


def _format_slopes(fits: dict[str, Fit]) -> str:
    rows = [
        {
            "slope": fit.slope,
            "sizes measured": ", ".join(f"{size:g}" for size in fit.sizes),
            "at 0": f"{fit.base:.3g}",
            "each": f"{fit.per_item:.3g}",
            "unit": fit.unit,
            "R2": fit.fit,
        }
        for fit in fits.values()
    ]
    return report.format_table(rows, list(rows[0]))


def _format_design(fits: dict[str, Fit]) -> str:
    rows = [_to_row(line) for line in list_design(fits)]
    return report.format_table(rows, list(rows[0]))


def _format_broken(fits: dict[str, Fit]) -> str:
    lines = [
        f"- **{line.part}**: {line.value:.3g} {line.unit} against {line.budget:g}. "
        f"{MENDS.get(line.part, '')}"
        for line in list_design(fits)
        if line.budget and line.value > line.budget
    ]
    return "\n".join(lines) or "Nothing, by the lines below."


def _to_row(line: DesignLine) -> dict[str, Any]:
    return {
        "part": line.part,
        "at the design's size": line.size,
        "a node": f"{line.value:.3g} {line.unit}",
        "budget": f"{line.budget:g} {line.unit}" if line.budget else "",
        "left": f"{line.budget - line.value:.3g}" if line.budget else "",
    }


def list_design(fits: dict[str, Fit]) -> list[DesignLine]:
    """Return what each part costs a node at the size to design for."""
    return [
        *_list_memory(fits),
        *_list_processor(fits),
        *_list_bytes(measure_sizes(), read_wire()),
    ]


def _list_memory(fits: dict[str, Fit]) -> list[DesignLine]:
    chats = CHATS / MODELS * OFF_FIRST_CHOICE
    parts = [
        ("homes (owner)", f"{chats:.0f} chats", fits["homes, by chats"].at(chats)),
        (
            "places (owner)",
            f"{PLACES:.0f} places",
            fits["places held, by places"].at(PLACES),
        ),
        (
            "settings",
            f"{CUSTOMERS} customers",
            fits["settings, by customers"].at(CUSTOMERS),
        ),
        (
            "claims known",
            f"{CLAIMS_S:g}/s for 600 s",
            fits["claims known, by keys"].at(CLAIMS_S * 600),
        ),
        ("answers kept", "their limit", 8.4e6),
        ("traces", "4096 requests", fits["traces, by requests"].at(4096)),
        ("leases", f"{OWNERS} shards", fits["leases, by shards"].at(OWNERS)),
    ]
    total = sum(value for _, _, value in parts) / 1e6
    lines = [DesignLine(f"memory: {p}", at, v / 1e6, "MB") for p, at, v in parts]
    every = DesignLine("memory: all state", "an owner", total, "MB", CONTROL_MB)
    return [*lines, every]


def _list_processor(fits: dict[str, Fit]) -> list[DesignLine]:
    link = fits["places over a link, both ends, by rate"].per_item
    accept = fits["accept a patch, by customers"].at(CUSTOMERS) / 1000
    accepting = accept * CHANGES_A_DAY / 86_400 * 100
    idle = fits["idle router, cpu_percent_mean, by routers"].at(8)
    counting, asking = link * POOL_RATE, link * RATE / NODES
    budget = CONTROL_CPU_PERCENT
    return [
        DesignLine("processor: idle, polls and leases", "today's polls", idle, "%"),
        DesignLine("processor: asking", f"{RATE / NODES:.1f} places/s", asking, "%"),
        DesignLine("processor: accepting", f"{CHANGES_A_DAY}/day", accepting, "%"),
        DesignLine("processor: any node", "", idle + asking + accepting, "%", budget),
        DesignLine("processor: counting", f"{POOL_RATE:.0f} places/s", counting, "%"),
        DesignLine(
            "processor: an owner",
            "",
            idle + asking + accepting + counting,
            "%",
            budget,
        ),
    ]


def _list_bytes(sizes: dict[str, int], wire: dict[str, float]) -> list[DesignLine]:
    poll = wire["one read of the log, no record"]
    renewal = wire["one renewal in a read"]
    place = sizes["Ask"] + sizes["Granted"] + sizes["Free"]
    renewals = OWNERS * 3 / DESIGN_TTL_S
    reads = 1 / DESIGN_LOG_POLL_S
    unchanged = wire["one read of the list, 0 VMs"]
    changed = wire["one read of the list, 1270 VMs"] * LIST_CHANGES_A_DAY / 86_400
    leases = renewals * renewal + reads * poll
    claims = CLAIMS_S * CLAIM_BYTES + reads * poll
    listing = unchanged / DESIGN_LIST_POLL_S + changed
    asking = RATE / NODES * place
    settings = 0.25 * poll
    node = leases + claims + listing + asking + settings
    counting = POOL_RATE * place
    pings = (NODES - 1) * PING_BYTES
    reports = ENGINES / MODELS * 2 * poll / DESIGN_LOAD_POLL_S
    unit, budget = "bytes/s", CONTROL_BYTES_S
    return [
        DesignLine("bytes: asking", f"{RATE / NODES:.1f} places/s", asking, unit),
        DesignLine("bytes: leases", f"{renewals:.0f} renewals/s", leases, unit),
        DesignLine("bytes: claims", f"{CLAIMS_S:g}/s", claims, unit),
        DesignLine("bytes: settings", f"{CHANGES_A_DAY}/day", settings, unit),
        DesignLine("bytes: list of VMs", "1270 entries", listing, unit),
        DesignLine("bytes: any node", "", node, unit, budget),
        DesignLine("bytes: counting", f"{POOL_RATE:.0f} places/s", counting, unit),
        DesignLine("bytes: pings (owner)", f"{NODES - 1} links", pings, unit),
        DesignLine("bytes: load reports (owner)", "36 engines", reports, unit),
        DesignLine(
            "bytes: an owner", "", node + counting + pings + reports, unit, budget
        ),
    ]


def measure_sizes() -> dict[str, int]:
    """Return the bytes of the messages of a place, with the frame's head."""
    from ramppin.router.connection.messages import encode_message

    messages: list[Message] = [
        Ask("pool-1", 100_000, 2**63, "service-1", -1, "customer-100", True, 30_000),
        Granted(100_000, "engine-1-20", "first_choice", 40, 45, 1500, 36, 0, 100_000),
        Free("pool-1", 100_000),
    ]
    return {type(m).__name__: len(encode_message(m)) + 6 for m in messages}
