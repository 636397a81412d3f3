"""What the status of an answer promises, and what a caller may be promised.

Some statuses promise that a request has not run and never will, so that callers send it
again although it must not run twice. Whether that holds follows from what is known of
the request's runs, and from nothing that an answer says of itself: a failing server may
have run a request that it answers with such a status. Pure.
"""

from __future__ import annotations

from dataclasses import replace

from ramppin.gateway.request.finalanswer import (
    MAY_HAVE_RUN_STATUS,
    Ending,
    FinalAnswer,
)
from ramppin.gateway.request.retry import Progress

PROMISING_STATUSES = frozenset({408, 421, 425, 429, 503})
"""HTTP statuses after which callers send a request again even if it must not run
twice. Callers of the platform do so after all but 425, any HTTP client after 408, 421
and 425 (RFC 9110, sections 15.5.9 and 15.5.20; RFC 8470, section 5.2)."""


def limit_promise(
    final: FinalAnswer, progress: Progress, *, repeatable: bool
) -> FinalAnswer:
    """Return the final answer, without a promise that may not hold.

    A relayed error of a request that may run again goes on unchanged, as its caller may
    repeat it after any answer. Every other promise becomes an error of the gateway's
    own, since an error with a server's signature has that server's status.

    Args:
        final: the answer that is to be sent.
        progress: progress of the request.
        repeatable: whether the request may run again.
    """
    if progress.runs == 0 or final.ending is Ending.CUT:
        return final
    if repeatable and final.ending is Ending.RELAY:
        return final
    if final.status in PROMISING_STATUSES:
        return FinalAnswer(Ending.REFUSE, MAY_HAVE_RUN_STATUS, final.reason)
    return replace(final, retry_after_s=None)
