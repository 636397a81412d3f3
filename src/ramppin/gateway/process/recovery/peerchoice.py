"""When peers are asked for records, and which.

A VM asks while the log turns it away. It asks the peers that it saw last, which
are the likeliest to answer, and the seeds of its settings, which it can reach
before it has read any list; a few at a time, chosen at random, so that the
questions of many VMs spread. Pure.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from itertools import islice

PEERS_CONSIDERED = 6
"""Peers seen last among which those to ask are chosen, beside the seeds."""

PEERS_ASKED = 2
"""Peers asked at a time: one may be as cut off as the asker."""

OVERDUE_S = 0.6
"""Seconds by which a read of the log must be late for its table to be stale."""


def is_stale(*, reachable: bool, age_s: float, read_cycle_s: float) -> bool:
    """Return whether a table's records must be asked of peers.

    Args:
        reachable: whether the last read of the log succeeded.
        age_s: seconds since the table was last known to be current.
        read_cycle_s: longest time between the ends of two reads that succeed.
    """
    return not reachable or age_s > read_cycle_s + OVERDUE_S


def list_candidates(
    last_seen_first: Iterable[str], seeds: Iterable[str], own_host: str
) -> list[str]:
    """Return the addresses of peers among which those to ask are chosen.

    Args:
        last_seen_first: addresses of all peers, the one seen last first.
        seeds: addresses of some VMs from the settings, which may be stale.
        own_host: this VM's address.
    """
    hosts = {*islice(last_seen_first, PEERS_CONSIDERED), *seeds}
    return sorted(hosts - {own_host})


def choose_peers(candidates: Sequence[str], generator: random.Random) -> list[str]:
    """Return the peers to ask now.

    Args:
        candidates: from :func:`list_candidates`.
        generator: random numbers.
    """
    return generator.sample(candidates, min(PEERS_ASKED, len(candidates)))
