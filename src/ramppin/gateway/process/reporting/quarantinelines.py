"""Decision lines and counts of the changes of the quarantine."""

from __future__ import annotations

from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.process.quarantine.changes import QuarantineChange
from ramppin.gateway.request.fingerprint import format_fingerprint


def note_quarantine(context: GatewayContext, now: float) -> None:
    """Write and count the changes of the quarantine since the last call.

    Args:
        context: contains the quarantine, the metrics and the decision log.
        now: event-loop time.
    """
    for change in context.quarantine.pop_changes():
        context.metrics.quarantine_changes.inc(change.kind.value)
        context.decisions.note(
            change.kind.value,
            fingerprint=format_fingerprint(change.key),
            part=change.part,
            ends=_show_ends(change, now),
            version=context.version,
        )


def _show_ends(change: QuarantineChange, now: float) -> list[dict[str, object]]:
    return [
        {
            "server": end.server,
            "age_s": round(now - end.ended_at, 2),
            "held_ms": round((end.ended_at - end.sent_at) * 1000),
        }
        for end in change.ends
    ]
