"""When a caller whose request did not run may come back.

It should find a server that takes it, not meet all others refused at the same
moment, and have time left for its answer. So the pause lasts until a server is likely
to be open, is spread, is shorter for the more urgent, and takes no more than a third
of the time that is left, which is what callers honour. It is never shorter than the
time for which every server is known to be closed. No I/O.
"""

from __future__ import annotations

from collections.abc import Sequence

from ramppin.gateway.process.routing.serverstate import ServerState

MIN_PAUSE_S = 0.1
"""Seconds of the shortest pause, where a server is open now: a few answers of a server,
so that the place that was missing is free."""

NO_SERVER_PAUSE_S = 0.5
"""Seconds until a service without servers is looked at again: its list is read each 0.8
to 1.8 s."""

JITTER_SHARE = 0.5
"""Part of the pause by which it is spread."""

RANK_STEP = 0.25
"""Part of the pause by which each rank of priority adds to it."""

MAX_RANK = 3
"""Rank from which on all wait alike."""

MAX_TIME_SHARE = 1 / 3
"""Part of the time left that a pause may take."""

START_PAUSE_S = 0.5
"""Seconds of pause at a VM that has just started, for a caller that names no deadline:
longer than settings take to be in force where the log answers."""

STOP_PAUSE_S = 0.05
"""Seconds after which another VM takes what a stopping one refuses: hardly more than a
new connection takes."""


def find_opening_s(states: Sequence[ServerState], now: float) -> float:
    """Return in how many seconds a server is likely to take a request.

    Args:
        states: the open servers of a service.
        now: the loop's time.
    """
    if not states:
        return NO_SERVER_PAUSE_S
    return min(
        max(
            state.health.measure_remaining_ejection_s(now),
            state.shedding.measure_backoff_s(now),
        )
        for state in states
    )


def choose_start_pause_s(time_left_s: float | None) -> float:
    """Return the pause to ask for at a VM that knows no settings yet.

    Its request has waited in vain for the log and for peers: the log is away, and so
    are the VMs that know what it says. That lasts seconds, while most callers come
    back but once, so they come back as late as they would.

    Args:
        time_left_s: time until the caller gives up; None if it is unknown.
    """
    if time_left_s is None:
        return START_PAUSE_S
    return max(0.0, MAX_TIME_SHARE * time_left_s)


def choose_retry_after_s(
    *,
    opening_s: float,
    time_left_s: float,
    rank: int,
    point: float,
    closed_s: float = 0.0,
) -> float:
    """Return the pause to ask for, in seconds.

    Args:
        opening_s: from :func:`find_opening_s`.
        time_left_s: time until the request is given up.
        rank: the route's priority; 0 is the most urgent.
        point: a random number from 0 up to 1.
        closed_s: seconds for which every server is known to be closed; 0 if one may
            be open before. A caller that comes back within them is refused again.
    """
    base_s = max(MIN_PAUSE_S, opening_s)
    factor = 1 + RANK_STEP * min(max(rank, 0), MAX_RANK) + JITTER_SHARE * point
    if closed_s > 0:
        after_s = max(0.0, time_left_s - closed_s)
        return closed_s + min((factor - 1) * base_s, MAX_TIME_SHARE * after_s)
    return max(0.0, min(base_s * factor, MAX_TIME_SHARE * time_left_s))
