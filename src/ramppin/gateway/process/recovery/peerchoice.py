"""Rules that decide when records are requested from peers, and from which.

A VM requests records from peers while it cannot read the log. Candidates are the peers
seen most recently, which are the most likely to answer, and the seeds in the settings,
which are known before any list of VMs was read. A few are chosen at random each time,
so that the requests of many VMs spread over the fleet. The functions are pure.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from itertools import islice

PEERS_CONSIDERED = 6
"""Number of peers seen most recently that are candidates, besides the seeds."""

PEERS_ASKED = 2
"""Peers that are asked at a time: one alone may have lost the log as well."""

OVERDUE_S = 0.6
"""Seconds by which a read of the log must be overdue before its table is stale."""


def is_stale(*, reachable: bool, age_s: float, read_cycle_s: float) -> bool:
    """Return whether a table's records must be requested from peers.

    Args:
        reachable: whether the last read of the log succeeded.
        age_s: seconds since the table was last confirmed to be current.
        read_cycle_s: longest time between the ends of two successful reads.
    """
    return not reachable or age_s > read_cycle_s + OVERDUE_S


def list_candidates(
    last_seen_first: Iterable[str], seeds: Iterable[str], own_host: str
) -> list[str]:
    """Return the addresses of the peers that may be asked for records.

    Args:
        last_seen_first: addresses of all peers, the most recently seen one first.
        seeds: addresses of VMs from the settings; some may be outdated.
        own_host: this VM's address.
    """
    hosts = {*islice(last_seen_first, PEERS_CONSIDERED), *seeds}
    return sorted(hosts - {own_host})


def choose_peers(candidates: Sequence[str], generator: random.Random) -> list[str]:
    """Return the peers to ask now, drawn at random.

    Args:
        candidates: the result of :func:`list_candidates`.
        generator: source of randomness.
    """
    return generator.sample(candidates, min(PEERS_ASKED, len(candidates)))
