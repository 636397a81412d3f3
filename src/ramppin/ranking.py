"""Rankings of backend servers for a chat.

A ranking is an order of preference that every VM computes alike. The
strategy varies, so it is an abstract base class.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence

import xxhash

_MASK = (1 << 64) - 1
"""Keeps a product within 64 bits."""

_MULTIPLIER = 0x9E3779B97F4A7C15
"""2**64 over the golden ratio, as an odd number: Fibonacci hashing (Knuth, The Art of
Computer Programming, volume 3, section 6.4)."""


def hash_name(name: str) -> int:
    """Return the 64-bit hash of a backend server's or VM's name."""
    return xxhash.xxh3_64_intdigest(name.encode())


def mix(key: int, name_hash: int) -> int:
    """Return the score of a name for a key; uniform over 64 bits."""
    value = ((key ^ name_hash) * _MULTIPLIER) & _MASK
    value ^= value >> 32
    value = (value * _MULTIPLIER) & _MASK
    return value ^ (value >> 29)


class Ranking(ABC):
    """Order of preference of a key over names."""

    @abstractmethod
    def rank(self, key: int, names: Sequence[str]) -> list[str]:
        """Return the names, most preferred first."""


class RendezvousRanking(Ranking):
    """Highest random weight: a name that leaves moves only its own keys.

    Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
    IEEE/ACM Transactions on Networking 6(1), 1998.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self._hashes: dict[str, int] = {}

    def rank(self, key: int, names: Sequence[str]) -> list[str]:
        """Return the names, highest score first."""
        hashes = self._hashes
        scored = []
        for name in names:
            name_hash = hashes.get(name)
            if name_hash is None:
                name_hash = hashes[name] = hash_name(name)
            scored.append((mix(key, name_hash), name))
        scored.sort(reverse=True)
        return [name for _, name in scored]


def rank_vms(subject: str, vms: Iterable[str]) -> list[str]:
    """Return VMs in the order in which they should own a subject."""
    return RendezvousRanking().rank(hash_name(subject), sorted(vms))
