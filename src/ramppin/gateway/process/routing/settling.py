"""When a request waits for a backend server that is not listed yet.

Load pattern: all VMs start while the shared log is away, and the entries of the servers
have lapsed meanwhile. They come back one by one within two seconds of the log's return.
Sent to the first few on the list, prompts overrun these, and are read again by other
servers than those that have their prefixes: of a day's shared tokens 2.3 million in
place of 0.8 (195 VMs, 46 servers, one run of each). So a prompt waits for its prefix's
home, and any request for the first server of its service, while there is time for its
answer. Pure.
"""

from __future__ import annotations

from dataclasses import dataclass

LOOK_AGAIN_S = 0.1
"""Seconds after which a waiting request looks again if no server came: the list may
have settled meanwhile."""


WAIT_SHARE = 0.5
"""Part of its time limit for which a request waits; the rest is for its answer. The
list settles within some 2 s, so only short limits meet it."""


def choose_wait_s(time_limit_s: float) -> float:
    """Return how long after its arrival a request may wait for a server.

    Args:
        time_limit_s: seconds from its arrival until it is given up.
    """
    return max(0.0, WAIT_SHARE * time_limit_s)


@dataclass(frozen=True, slots=True)
class ListView:
    """What a VM knows of a service's servers, for one request.

    Attributes:
        settling: whether lapsed entries may still come back.
        open_servers: servers of the service that may get new work.
        has_home: whether one of them is known to have the prompt's prefix.
    """

    settling: bool
    open_servers: int
    has_home: bool


def is_worth_waiting(view: ListView, *, has_prefix: bool) -> bool:
    """Return whether a request should wait for the list to grow.

    A prompt whose home is not known waits as well: on a short list its prefix's order
    begins with another server than the one that most likely has it.

    Args:
        view: what is known of its service's servers.
        has_prefix: whether it has a prefix that servers cache.
    """
    if not view.settling:
        return False
    if not view.open_servers:
        return True
    return has_prefix and not view.has_home
