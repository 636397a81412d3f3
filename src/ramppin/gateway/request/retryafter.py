"""Computes ``Retry-After`` for requests that did not run.

The pause lasts until a server is likely to be open. It has jitter, so that callers
refused at the same moment don't all retry at once, and is shorter for requests with
more urgent priority. It takes at most a third of the remaining time, which is the limit
up to which callers honour it and leaves time for the answer. It is never shorter than
the time for which every server is known to be closed. No I/O.
"""

from __future__ import annotations

from collections.abc import Sequence

from ramppin.gateway.process.routing.serverstate import ServerState

MIN_PAUSE_S = 0.1
"""Minimum pause in seconds, used if a server is open now: long enough for a server to
finish a few requests and so have capacity again."""

NO_SERVER_PAUSE_S = 0.5
"""Pause in seconds for a service without servers, whose list is read every 0.8 to
1.8 s."""

JITTER_SHARE = 0.5
"""Maximum jitter as a fraction of the pause."""

RANK_STEP = 0.25
"""Fraction of the pause that is added for each rank of priority."""

MAX_RANK = 3
"""Rank above which the pause does not increase any more."""

MAX_TIME_SHARE = 1 / 3
"""Maximum pause as a fraction of the remaining time."""

START_PAUSE_S = 0.5
"""Pause in seconds at a VM that has just started, for a caller without a deadline:
longer than it takes to load settings while the log is available."""

STOP_PAUSE_S = 0.05
"""Pause in seconds for requests that a stopping VM refuses: another VM can accept them
as soon as the caller has opened a new connection."""


def find_opening_s(states: Sequence[ServerState], now: float) -> float:
    """Return the seconds until a server is likely to accept a request.

    Args:
        states: the open servers of a service.
        now: current event-loop time.
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
    """Return the pause in seconds at a VM that has not loaded settings yet.

    The request has already waited for the log and for peers, so neither the log nor a
    VM with its contents is reachable. That lasts for seconds, while most callers retry
    only once, so the pause is the longest that callers honour.

    Args:
        time_left_s: seconds until the caller's deadline; None if it is unknown.
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
    """Return the value of ``Retry-After`` in seconds.

    Args:
        opening_s: seconds until a server is likely to be open, usually from
            :func:`find_opening_s`.
        time_left_s: seconds until the request's time limit expires.
        rank: the route's priority; 0 is the most urgent.
        point: random number in [0, 1) for the jitter.
        closed_s: seconds for which every server is known to be closed, or 0. A retry
            within this time is refused again.
    """
    base_s = max(MIN_PAUSE_S, opening_s)
    factor = 1 + RANK_STEP * min(max(rank, 0), MAX_RANK) + JITTER_SHARE * point
    if closed_s > 0:
        after_s = max(0.0, time_left_s - closed_s)
        return closed_s + min((factor - 1) * base_s, MAX_TIME_SHARE * after_s)
    return max(0.0, min(base_s * factor, MAX_TIME_SHARE * time_left_s))
