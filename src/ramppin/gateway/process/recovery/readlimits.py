"""How long a read of a whole table may take, and how long it may bring nothing.

A log that is slow, or shares what it sends among many VMs, brings some bytes all the
time; one that lost the question, or went silent, brings none. So silence is given up
soon and a flow of bytes late. Pure.
"""

from __future__ import annotations

from dataclasses import dataclass

FIRST_READ_S = 3.0
"""Seconds that the first read may take; doubled at each failure.

All VMs may start together and share what the log sends in a second; a read that is
given up then and begun anew takes from the others and never ends.
"""

LONGEST_READ_S = 12.0
"""Seconds that any first read may take."""

READ_AGAIN_S = 1.0
"""Seconds that a later read of a whole table may take; what was known still serves."""

SHORTEST_SILENCE_S = 0.5
"""Seconds without a byte after which a read is made anew, at the least: twice the
0.25 s of a log that is 60 times slower than usual. A question that a silent log took is
lost, also once it answers others: the last of 195 VMs that started 1.2 s before the
log's return had read it 2.2 s after it with limits on the whole answer alone, 0.5 s
with this (features/gateway/starts.feature)."""

SILENCE_SHARE = 0.5
"""Part of the time since the first try that the silence may last: a log whose answers
all take longer than :data:`SHORTEST_SILENCE_S` is read all the same, in some four
times as long as one answer takes."""


@dataclass(frozen=True, slots=True)
class ReadLimits:
    """When a read is given up.

    Attributes:
        whole_s: time for each answer, in seconds.
        silence_s: time without a byte of it, in seconds.
    """

    whole_s: float
    silence_s: float


READ_AGAIN = ReadLimits(READ_AGAIN_S, READ_AGAIN_S)
"""Limits of a whole read of a table that was read before."""


def limit_first_read(failures: int, tried_for_s: float) -> ReadLimits:
    """Return the limits of the next try at the first read of a table.

    Args:
        failures: tries that have failed.
        tried_for_s: seconds since the first one began.
    """
    whole_s = min(LONGEST_READ_S, FIRST_READ_S * 2.0**failures)
    silence_s = max(SHORTEST_SILENCE_S, SILENCE_SHARE * tried_for_s)
    return ReadLimits(whole_s, min(whole_s, silence_s))
