"""Rules for reusing and keeping idle connections to backend servers.

A server may close an idle connection at the moment at which a request is sent. A
repeatable request then costs one more attempt; any other request gets no answer, so
it is sent only over connections that were idle briefly. Pure functions, applied by
:class:`~.pool.ConnectionPool`.
"""

from __future__ import annotations

IDLE_LIMIT_S = 4.0
"""Seconds after which an idle connection is closed."""

IDLE_LIMIT_NOT_REPEATABLE_S = 0.7
"""Seconds after which an idle connection is not used for non-repeatable requests."""

KEEP_ALIVE_SHARE = 0.5
"""Fraction of the idle time announced by a server (``Keep-Alive: timeout=``) for which
its connection is reused."""


def choose_idle_limit_s(*, repeatable: bool) -> float:
    """Return the longest idle time of a connection that may carry a request.

    Args:
        repeatable: whether the request may be sent again if it fails.
    """
    return IDLE_LIMIT_S if repeatable else IDLE_LIMIT_NOT_REPEATABLE_S


def may_reuse(idle_s: float, limit_s: float, keep_alive_s: float | None) -> bool:
    """Return whether a connection may carry another request.

    Args:
        idle_s: seconds since its last answer ended.
        limit_s: from :func:`choose_idle_limit_s`.
        keep_alive_s: idle time-out announced by the server, or None.
    """
    if keep_alive_s is not None:
        limit_s = min(limit_s, KEEP_ALIVE_SHARE * keep_alive_s)
    return idle_s < limit_s


def may_keep(idle_connections: int, spare_connections: int | None) -> bool:
    """Return whether to keep a connection after a complete answer.

    Args:
        idle_connections: idle connections already kept to the same server.
        spare_connections: unused part of this VM's share of the server's
            connections; None for no limit.
    """
    return spare_connections is None or idle_connections < spare_connections
