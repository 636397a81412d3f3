"""Whether an idle connection to a backend server is used again, or kept.

A server may close an idle connection at the moment at which a request leaves. For
a request that may be repeated that costs an attempt; for any other it is an answer
that never comes, so such a request takes only connections that were idle briefly.
Pure functions; :class:`~.pool.ConnectionPool` carries them out.
"""

from __future__ import annotations

IDLE_LIMIT_S = 4.0
"""Seconds for which an idle connection is kept."""

IDLE_LIMIT_NOT_REPEATABLE_S = 0.7
"""Seconds after which an idle connection carries nothing that can't be repeated."""

KEEP_ALIVE_SHARE = 0.5
"""Part of the idle time that a server announces (``Keep-Alive: timeout=``) for which
its connection is used."""


def choose_idle_limit_s(*, repeatable: bool) -> float:
    """Return how long a connection may have been idle to carry a request.

    Args:
        repeatable: whether the request may be sent again if it fails.
    """
    return IDLE_LIMIT_S if repeatable else IDLE_LIMIT_NOT_REPEATABLE_S


def may_reuse(idle_s: float, limit_s: float, keep_alive_s: float | None) -> bool:
    """Return whether a connection may carry another request.

    Args:
        idle_s: seconds since its last answer ended.
        limit_s: from :func:`choose_idle_limit_s`.
        keep_alive_s: seconds that the server announced, or None.
    """
    if keep_alive_s is not None:
        limit_s = min(limit_s, KEEP_ALIVE_SHARE * keep_alive_s)
    return idle_s < limit_s


def may_keep(idle_connections: int, spare_connections: int | None) -> bool:
    """Return whether a connection whose answer was whole is kept.

    Args:
        idle_connections: idle ones to the same server that are kept already.
        spare_connections: what is left of this VM's share of the server's
            connections; None for any number.
    """
    return spare_connections is None or idle_connections < spare_connections
