"""Decides for how long a backend server stays in use after its entry is removed.

The removal of an entry usually means that the server has left. Around an outage of the
log the entry may only have expired; it is written again soon after the log's recovery
if the server is alive. The function is pure.
"""

from __future__ import annotations

REMOVAL_HOLD_S = 2.2
"""Seconds after the log's recovery for which servers without an entry stay in use. The
platform guarantees the entries within two seconds; the rest covers a read of the
table."""


def find_hold_end(*, reachable: bool, regained_at: float, now: float) -> float | None:
    """Return until when a server whose entry is removed now stays in use.

    The hold ends a fixed time after the log's recovery, not after the removal: from
    then on this VM must follow the log. A hold that outlasted the outage sent requests
    to servers that had left. It broke the platform's rule on draining servers on 4 of
    40 days; without such a hold the rule was broken on none.

    Args:
        reachable: whether the last read of the table succeeded.
        regained_at: event-loop time of the log's last recovery; -inf if it was never
            unreachable.
        now: event-loop time.

    Returns:
        The loop's time, or None if there was no recent outage of the log.
    """
    if not reachable:
        return now + REMOVAL_HOLD_S
    end = regained_at + REMOVAL_HOLD_S
    return end if now < end else None
