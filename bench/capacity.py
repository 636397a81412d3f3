"""The page docs/CAPACITY.md: its slopes are measured, its tables drawn."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from bench import report
from bench.costs import (
    measure_acceptance,
    measure_decisions,
    measure_fleets,
    measure_links,
)
from bench.design import CONTROL_BYTES_S, MENDS, DesignLine, list_design
from bench.fit import Fit, Point, fit_line
from bench.states import (
    build_claims,
    build_held,
    build_homes,
    build_leases,
    build_places,
    build_settings,
    build_traces,
    measure_memory,
)
from bench.wire import measure_wire

PAGE = Path("docs/CAPACITY.md")


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
        *asyncio.run(measure_fleets((4, 8, 16))),
    ]
    report.write_rows("capacity", points)
    report.write_rows("wire", [measure_wire()])


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
