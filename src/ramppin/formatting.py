"""What the command line prints for a person."""

from __future__ import annotations

import difflib
import json
from collections.abc import Sequence
from typing import Any

from ramppin.losses import Grouping, Loss, LossReport


def show_verdict(found: dict[str, Any]) -> str:
    """Return what became of a change."""
    return f"accepted as version {found['offset']}"


def show_settings(found: dict[str, Any]) -> str:
    """Return the settings with their version as a comment."""
    tree = json.dumps(found["tree"], indent=2)
    return f"// version {found['version']}\n{tree}"


def show_diff(found: dict[str, Any], document: object, name: str) -> str:
    """Return a unified diff from the settings in force to a document."""
    before = json.dumps(found["tree"], indent=2, sort_keys=True).splitlines(True)
    after = json.dumps(document, indent=2, sort_keys=True).splitlines(True)
    version = f"version {found['version']}"
    return "".join(difflib.unified_diff(before, after, version, name))


def show_history(found: dict[str, Any]) -> str:
    """Return a line for each of the newest records."""
    lines = []
    for record in found["records"]:
        state = "accepted" if record["accepted"] else "refused"
        reason = f": {record['error']}" if record["error"] else ""
        author = record["author"] or "-"
        lines.append(
            f"{record['offset']:>8} {record['kind']:<8} {author:<16} {state}{reason}"
        )
    return "\n".join(lines)


def show_explanation(found: dict[str, Any]) -> str:
    """Return why a decision was made, by a router or by a gateway."""
    if "decisions" in found:
        return _show_gateway_decisions(found)
    lines = [
        f"request   {found['request_id']}",
        f"decided   by {found['vm']} with settings version {found['version']}",
        f"customer  {found['customer']}",
        f"service   {found['service']}",
        f"outcome   {found['outcome'] or 'still running'}",
        "",
    ]
    for step in found["steps"]:
        peer = f" [{step['peer']}]" if step["peer"] else ""
        lines.append(f"{step['at_s']:8.3f} s  {step['step']}{peer}: {step['finding']}")
        for rule in step["rules"]:
            lines.append(
                f"              {rule['rule']} = {rule['value']} "
                f"from {rule['path']} ({rule['level']})"
            )
    return "\n".join(lines)


def _show_gateway_decisions(found: dict[str, Any]) -> str:
    """Return a gateway's decisions about a request, oldest first."""
    lines = [f"request   {found['request_id']}"]
    if not found["decisions"]:
        lines.append("no decision is kept: only those of the last requests are")
    for decision in found["decisions"]:
        is_attempt = "end" in decision
        lines.append(_show_attempt(decision) if is_attempt else _show_end(decision))
    return "\n".join(lines)


def _show_attempt(decision: dict[str, Any]) -> str:
    if decision["end"] == "delivered":
        text = f"answered by {decision['server']} with {decision['status']}"
        first_ms, target_ms = decision["first_ms"], decision["target_ms"]
        if first_ms is not None:
            text += f", first byte after {first_ms} ms"
        if target_ms is not None:
            text += f" (target {target_ms} ms)"
    else:
        text = f"attempt at {decision['server']}: {decision['end']}"
        text += f", status {decision['status']}, then {decision['rule']}"
    return f"{text}; {_show_wait(decision)}"


def _show_end(decision: dict[str, Any]) -> str:
    verb = "refused" if decision["runs"] == 0 else "given up"
    text = f"{verb} with {decision['status']} by the rule {decision['rule']}"
    if decision["ahead"] or decision["estimate_ms"]:
        text += f": estimated to wait {decision['estimate_ms']} ms"
        text += f" behind {decision['ahead']} requests"
    text += f"; {_show_wait(decision)}, {decision['time_left_ms']} ms left"
    if decision["retry_after_s"] is not None:
        text += f", to come back in {decision['retry_after_s']:.2f} s"
    return text


def _show_wait(decision: dict[str, Any]) -> str:
    return f"{decision['waited_ms']} ms in the admission queue"


def show_status(found: dict[str, Any]) -> str:
    """Return the fleet at a glance."""
    lines = [f"seen by {found['seen_by']}, settings version {found['version']}", ""]
    lines += [f"router  {name:<16} {state}" for name, state in found["routers"].items()]
    for shard, lease in found["shards"].items():
        owner = "nobody" if lease["released"] else lease["owner"]
        lines.append(f"shard   {shard:<24} owned by {owner}, epoch {lease['epoch']}")
    return "\n".join(lines)


def show_losses(report: LossReport, groupings: Sequence[Grouping], top: int) -> str:
    """Return a table of losses for each grouping."""
    parts = [_show_loss_totals(report)]
    for grouping in groupings:
        parts.append(_show_loss_table(report, grouping, top))
    return "\n\n".join(parts)


def _show_loss_totals(report: LossReport) -> str:
    lines = [f"{report.lines} decision lines, {report.answered} requests answered"]
    if report.dropped:
        lines.append(f"{report.dropped} lines were dropped: counts are too low by them")
    if report.first_bad is not None:
        bad = report.first_bad
        lines.append(
            f"{report.bad_lines} lines are no decision lines; "
            f"the first: {bad.source}:{bad.number}: {bad.reason}"
        )
    return "\n".join(lines)


def _show_loss_table(report: LossReport, grouping: Grouping, top: int) -> str:
    names = [loss.value for loss in Loss]
    rows = list(report.list_worst(grouping))
    width = max([len(grouping.value), *(len(key) for key, _ in rows[:top])])
    lines = [f"{grouping.value:<{width}} " + " ".join(f"{n:>8}" for n in names)]
    lines[0] += "  example"
    for key, count in rows[:top]:
        numbers = " ".join(f"{count.counts.get(loss, 0):>8}" for loss in Loss)
        lines.append(f"{key:<{width}} {numbers}  {count.example}")
    if len(rows) > top:
        lines.append(f"({len(rows) - top} more)")
    return "\n".join(lines)
