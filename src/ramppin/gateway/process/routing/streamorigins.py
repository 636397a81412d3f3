"""Where streams began: service and build of the server that sent the first event.

What servers of two builds write does not fit together, so a stream is continued only at
a server of the build that began it. A stream is identified by its customer and by the
attempt that brought its first event, which a caller names when it takes the stream up.
The state is bounded, and may be lost: a stream whose origin is unknown is refused. No
I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

import xxhash

RETENTION_S = 60.0
"""Seconds for which an origin is kept after it was last used: twice the usual time
limit of a route, within which a caller takes its stream up."""

MAX_ORIGINS = 20_000
"""Maximum number of origins; the least recently used are evicted first. An origin takes
0.25 kB."""

SEPARATOR = b"\0"


CONFLICT_BUILD = "\0"
"""Build in the origin of a stream that began at several, or at one that is doubted. No
server states it, so VMs that receive it refuse the stream, too."""


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream began.

    Attributes:
        service: the service whose server sent the first event.
        build: version of that server's software.
    """

    service: str
    build: str

    @property
    def is_conflict(self) -> bool:
        """Whether its build is uncertain: the stream is not continued."""
        return self.build == CONFLICT_BUILD


def build_conflict(service: str) -> StreamOrigin:
    """Return the origin of a stream whose build is uncertain."""
    return StreamOrigin(service, CONFLICT_BUILD)


def hash_stream(customer: str, attempt_id: bytes) -> int:
    """Return the key of a stream, which is the same on every VM.

    Args:
        customer: the customer's name; empty on a public route.
        attempt_id: id of the attempt that brought the stream's first event.
    """
    return xxhash.xxh3_64_intdigest(customer.encode() + SEPARATOR + attempt_id)


class StreamOrigins:
    """Origins of streams, by key.

    .. versionadded:: 0.5
    """

    def __init__(self) -> None:
        self._origins: OrderedDict[int, tuple[StreamOrigin, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._origins)

    def note(self, key: int, origin: StreamOrigin, now: float) -> None:
        """Record where a stream began.

        Args:
            key: from :func:`hash_stream`.
            origin: its service and build.
            now: event-loop time.
        """
        known = self.find(key, now)
        if known is not None and known != origin:
            origin = build_conflict(origin.service)
        self._origins[key] = (origin, now)
        self._origins.move_to_end(key)
        if len(self._origins) > MAX_ORIGINS:
            self._origins.popitem(last=False)

    def find(self, key: int, now: float) -> StreamOrigin | None:
        """Return where a stream began, or None if that is unknown.

        A caller may take its stream up again, so an origin that is used is kept.
        """
        found = self._origins.get(key)
        if found is None or now - found[1] > RETENTION_S:
            return None
        self._origins[key] = (found[0], now)
        self._origins.move_to_end(key)
        return found[0]

    def list_of_service(
        self, service: str, now: float, age_s: float = RETENTION_S
    ) -> list[tuple[int, StreamOrigin]]:
        """Return the origins at one service, the most recently used first.

        Args:
            service: the service's name.
            now: event-loop time.
            age_s: seconds within which they were used.
        """
        return [
            (key, origin)
            for key, (origin, used_at) in reversed(self._origins.items())
            if origin.service == service and now - used_at <= age_s
        ]

    def doubt(self, origin: StreamOrigin, now: float, age_s: float) -> None:
        """Make conflicts of the streams that were used lately and began somewhere.

        Args:
            origin: where they began, as far as it was known.
            now: event-loop time.
            age_s: seconds within which they were used.
        """
        for key, _ in self.list_of_service(origin.service, now, age_s):
            known, used_at = self._origins[key]
            if known == origin:
                self._origins[key] = (build_conflict(origin.service), used_at)

    def evict_expired(self, now: float) -> None:
        """Evict the origins that have not been used for :data:`RETENTION_S`."""
        while self._origins:
            key, (_, used_at) = next(iter(self._origins.items()))
            if now - used_at <= RETENTION_S:
                return
            del self._origins[key]
