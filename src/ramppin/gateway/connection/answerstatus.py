"""Which heads begin an answer, by their status.

The parser takes any three digits for a status. Only 100 to 599 are valid (RFC 9110,
section 15); anything else is no answer, and neither is what follows it. Pure.
"""

from __future__ import annotations

from enum import Enum

SWITCHING_PROTOCOLS = 101
"""Status of an answer that only a request for another protocol gets; ramppin sends
none."""


class HeadKind(Enum):
    """What a head begins."""

    INTERIM = "interim"
    """The answer is still due."""

    FINAL = "final"
    """The answer."""

    NO_ANSWER = "no answer"
    """Bytes that are no answer in the protocol."""


def judge_status(status: int) -> HeadKind:
    """Return what a head with a status begins.

    Args:
        status: the number of the status line.
    """
    if status == SWITCHING_PROTOCOLS:
        return HeadKind.NO_ANSWER
    if 100 <= status < 200:
        return HeadKind.INTERIM
    if 200 <= status < 600:
        return HeadKind.FINAL
    return HeadKind.NO_ANSWER
