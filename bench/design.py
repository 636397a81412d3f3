"""What each part costs a node at the size to design for, worked out from slopes."""

from __future__ import annotations

from dataclasses import dataclass

from bench import report
from bench.fit import Fit
from ramppin.router.connection.messages import Ask, Free, Granted, Message

# The size to design for, as the head of docs/CAPACITY.md gives it: requests and tokens
# are a second's, of all nodes.
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
"""Calls with a key a second, assumed: no number is given."""

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


def read_wire() -> dict[str, float]:
    """Return the bytes of each kind of read, from the results."""
    return dict(report.read_rows("wire")[0])
