"""Which backend servers still count after their entries vanished from the log.

An entry that vanishes usually means that its server has left. Around an outage of
the log it may only have lapsed: it is back soon after the log's return, if its
server lives. Pure.
"""

from __future__ import annotations

REMOVAL_HOLD_S = 2.2
"""Seconds after the log's return for which vanished entries are held. They are back
within two seconds, by the platform's word; the rest is one read of the table."""


def find_hold_end(*, reachable: bool, regained_at: float, now: float) -> float | None:
    """Return until when an entry that vanishes now is held.

    The hold ends a fixed time after the log's return, not after the entry vanished:
    by then this VM is bound again by what the log says. A hold that outlasted the
    outage sent requests to servers that had left (4 of 40 hunted days broke the
    rule on draining servers, none without it).

    Args:
        reachable: whether the last read of the table succeeded.
        regained_at: the loop's time of the log's last return; -inf if it was never
            away.
        now: the loop's time.

    Returns:
        The loop's time, or None if the log was not away of late.
    """
    if not reachable:
        return now + REMOVAL_HOLD_S
    end = regained_at + REMOVAL_HOLD_S
    return end if now < end else None
