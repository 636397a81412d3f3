"""When a connection that has gone silent is given up, by the kernel's own probes.

A connection may go silent for good, without a reset, while new ones work: nothing but a
time-out tells it from a peer that is slow. A peer's kernel acknowledges bytes and
probes however busy its program is, so a connection without acknowledgements is dead.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TcpTimeouts:
    """How long a peer's kernel may be silent.

    Attributes:
        unacknowledged_ms: time after which bytes without acknowledgement end the
            connection, in milliseconds.
        idle_s: time without a byte after which the peer is probed, in seconds.
        probe_interval_s: time between two probes, in seconds.
        max_probes: probes without an answer that end the connection.
    """

    unacknowledged_ms: int
    idle_s: int
    probe_interval_s: int
    max_probes: int


UPSTREAM_TIMEOUTS = TcpTimeouts(
    unacknowledged_ms=1_000, idle_s=2, probe_interval_s=1, max_probes=2
)
"""To backend servers, peers and the log. A stream's caller leaves after 2 s without an
event: a request on a dead connection must be sent again before. Over a link that loses
3 in 100 packets three sends of a second are lost once in some 40,000 requests. A dead
connection that awaits an answer is found out after 3 to 4 s, as is an idle one."""

CALLER_TIMEOUTS = TcpTimeouts(
    unacknowledged_ms=10_000, idle_s=10, probe_interval_s=5, max_probes=3
)
"""From callers: only what a dead caller holds is at stake, a server's work on a stream
that no one reads and this VM's memory. Found out after 10 s of an unread stream, or
after 20 to 25 s of silence."""


def set_tcp_timeouts(transport: asyncio.BaseTransport, timeouts: TcpTimeouts) -> None:
    """Let the kernel end a connection whose peer is silent.

    Only a limit for dead peers: a connection without it works as well.
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
