"""TCP user time-out and keepalive probes, which detect dead connections.

A connection can fail without a reset while new ones work; only a time-out
distinguishes it from a slow peer. A peer's kernel acknowledges data and probes however
busy its process is, so a connection without acknowledgements is dead.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TcpTimeouts:
    """How long a peer's kernel may send no acknowledgement.

    Attributes:
        unacknowledged_ms: time after which unacknowledged data ends the connection,
            in milliseconds.
        idle_s: time without data after which the peer is probed, in seconds.
        probe_interval_s: time between two probes, in seconds.
        max_probes: number of unanswered probes that end the connection.
    """

    unacknowledged_ms: int
    idle_s: int
    probe_interval_s: int
    max_probes: int


UPSTREAM_TIMEOUTS = TcpTimeouts(
    unacknowledged_ms=1_000, idle_s=2, probe_interval_s=1, max_probes=2
)
"""For connections to backend servers, peers and the log. Callers of streams disconnect
after 2 s without an event, so a request on a dead connection must be sent again before
that. If 3 of 100 packets are lost, three transmissions within a second are lost once in
some 40,000 requests. A dead connection is detected after 3 to 4 s, whether it awaits an
answer or is idle."""

CALLER_TIMEOUTS = TcpTimeouts(
    unacknowledged_ms=10_000, idle_s=10, probe_interval_s=5, max_probes=3
)
"""For connections from callers. A dead caller costs only a server's work on an unread
stream and memory of this VM. It is detected after 10 s of unacknowledged data, or after
20 to 25 s without any."""


def set_tcp_timeouts(transport: asyncio.BaseTransport, timeouts: TcpTimeouts) -> None:
    """Set the time-outs on a transport's socket.

    Errors are ignored: a connection works without them, but detects a dead peer late.
    """
    raw = transport.get_extra_info("socket")
    if raw is None:
        return
    with contextlib.suppress(OSError):
        for level, name, value in (
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeouts.unacknowledged_ms),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, timeouts.idle_s),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, timeouts.probe_interval_s),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, timeouts.max_probes),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        ):
            raw.setsockopt(level, name, value)
