"""Runs the features, several folders at a time, and sums them up.

A scenario in KNOWN-RED.txt may fail; any other failure fails the suite. Why each
failed stands at the end once more, for whoever sees no more than the end. The last
line is ``N passed, N failed``.
"""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import tempfile
import textwrap
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent
KNOWN_RED = ROOT.parent / "KNOWN-RED.txt"
MAX_KNOWN_RED = 21
AT_A_TIME = 4

ALONE = frozenset(
    {
        "brittle_servers",
        "cold_and_emptied",
        "leaving",
        "load_limit",
        "lost_at_stops",
        "overload_load",
        "partitioned_vms",
        "planned_stop",
        "quarantine",
        "server_words",
        "settings",
        "stream_builds",
        "under_failure",
        "vm_memory",
    }
)
"""Folders whose many processes need the machine to themselves."""

TIMEOUT_S = 900
REASON_LINES = 12
"""Lines of a failed step's error that are shown once more at the end."""

FIGURE = re.compile(r"^(.+): (\d+) checked, (\d+) (?:violations|over)$", re.MULTILINE)


@dataclass
class Outcome:
    """What became of the scenarios of one folder."""

    folder: str
    passed: list[str] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)
    reasons: dict[str, str] = field(default_factory=dict)
    output: str = ""


def list_folders(chosen: list[str]) -> list[str]:
    """Return the folders that hold features."""
    folders = sorted({path.parent.name for path in ROOT.glob("*/*.feature")})
    return [folder for folder in folders if not chosen or folder in chosen]


def run_folder(folder: str) -> Outcome:
    """Run the features of one folder in a process of its own."""
    outcome = Outcome(folder)
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as scratch:
        report = Path(scratch) / "report.json"
        command = [sys.executable, "-m", "behave", str(ROOT / folder)]
        command += [
            "--no-capture",
            "--format",
            "plain",
            "--outfile",
            f"{scratch}/plain.txt",
        ]
        command += ["--format", "json", "--outfile", str(report)]
        done = subprocess.run(
            command,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            cwd=ROOT.parent,
            env=os.environ | {"PYTHONHASHSEED": "0"},
            check=False,
        )
        outcome.output = done.stdout[-4000:] + done.stderr[-4000:]
        plain = Path(scratch) / "plain.txt"
        if plain.exists():
            outcome.output += plain.read_text()[-12000:]
        if report.exists():
            read_report(outcome, report.read_text())
    if done.returncode and not outcome.failed:
        outcome.failed.append(f"{folder}: behave ended with {done.returncode}")
    for line in sum_up_figures(done.stdout):
        print(f"    {line}", flush=True)
    state = "FAILED" if outcome.failed else "ok"
    took_s = time.monotonic() - began
    print(
        f"{folder:<28} {len(outcome.passed):>4} passed  {state:<6} {took_s:>5.0f} s",
        flush=True,
    )
    if outcome.failed:
        print(outcome.output, flush=True)
    return outcome


def sum_up_figures(output: str) -> list[str]:
    """Add up what the checks of a folder counted."""
    sums: dict[str, list[int]] = {}
    for name, checked, found in FIGURE.findall(output):
        total = sums.setdefault(name, [0, 0, 0])
        for index, value in enumerate((1, int(checked), int(found))):
            total[index] += value
    return [
        f"{name}: {checked} checked in {runs} histories, {found} violations"
        for name, (runs, checked, found) in sums.items()
    ]


def read_report(outcome: Outcome, text: str) -> None:
    """Take the scenarios' results from behave's report."""
    for feature in json.loads(text or "[]"):
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            # A row of an unnamed table ends with a blank.
            name = f"{outcome.folder}: {element['name']}".rstrip()
            passed = element.get("status") == "passed"
            (outcome.passed if passed else outcome.failed).append(name)
            if not passed:
                outcome.reasons[name] = find_reason(element)


def find_reason(element: dict[str, Any]) -> str:
    """Return the failed step of a scenario and the end of its error."""
    for step in element.get("steps", []):
        result = step.get("result", {})
        if result.get("status", "passed") != "passed":
            error = result.get("error_message", result["status"])
            lines = error if isinstance(error, list) else error.splitlines()
            return "\n".join([step["name"], *lines[-REASON_LINES:]])
    return "no step failed"


def read_known_red() -> list[str]:
    """Return the scenarios that are known to fail."""
    if not KNOWN_RED.exists():
        return []
    lines = [line.strip() for line in KNOWN_RED.read_text().splitlines()]
    return [line.split(" | ")[0] for line in lines if line]


def main() -> int:
    """Run all folders, or those named, and return the exit code."""
    folders = list_folders(sys.argv[1:])
    known_red = read_known_red()
    outcomes = [run_folder(folder) for folder in folders if folder in ALONE]
    with ThreadPoolExecutor(AT_A_TIME) as pool:
        rest = [folder for folder in folders if folder not in ALONE]
        outcomes += pool.map(run_folder, rest)
    passed = sum(len(outcome.passed) for outcome in outcomes)
    failed = [name for outcome in outcomes for name in outcome.failed]
    unexpected = [name for name in failed if name not in known_red]
    reasons = {n: why for outcome in outcomes for n, why in outcome.reasons.items()}
    for name in failed:
        print(f"{'known red' if name in known_red else 'failed'}: {name}")
        print(textwrap.indent(reasons.get(name, ""), "    "))
    if len(known_red) > MAX_KNOWN_RED:
        print(f"KNOWN-RED.txt holds more than {MAX_KNOWN_RED} lines")
        unexpected.append("KNOWN-RED.txt")
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
