"""Which backend servers count after their entries vanished from the log.

An entry that vanishes usually means that its server has left. Around an outage of
the log it may only have lapsed: it is back soon after the log's return, if its
server lives. Pure.
"""

from __future__ import annotations

LAPSE_HOLD_S = 2.2
"""Seconds after the log's return for which vanished entries are held. They are back
within two seconds, by the platform's word; the rest is one read of the table."""


SETTLE_PAUSE_S = 0.2
"""Seconds between two reads of the servers while lapsed entries come back, for a VM
that started during the outage and so has none to hold. Over the 2 s after the log's
return such a VM lacks 0.36 of the servers in the mean, at the usual pace of 0.8 s 0.52
(features/gateway/starts.feature)."""


def is_settling(*, first_read_tries: int, known_for_s: float) -> bool:
    """Return whether lapsed entries of servers may still come back.

    So at a VM that started while the log was away: it meets a list without them, and
    has none to hold.

    Args:
        first_read_tries: tries that the first read took; more than one show that the
            log was away.
        known_for_s: time since the first read.
    """
    return first_read_tries > 1 and known_for_s < LAPSE_HOLD_S


def choose_pause_s(pause_s: float, *, settling: bool) -> float:
    """Return the pause between two reads of the list of backend servers.

    Args:
        pause_s: the usual pause.
        settling: from :func:`is_settling`.
    """
    return min(pause_s, SETTLE_PAUSE_S) if settling else pause_s


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
        return now + LAPSE_HOLD_S
    end = regained_at + LAPSE_HOLD_S
    return end if now < end else None
