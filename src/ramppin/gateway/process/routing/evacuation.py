"""Failure domains that the operator has evacuated: their servers get no new requests.

Requests that run there are not interrupted; the operator ends the evacuation when the
servers may be used again. Holds the evacuations in force, also of failure domains
without a known server; rebuilt from the log after a start. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from ramppin.errors import SettingsError

EVACUATION_PREFIX = "evacuated/"
"""Prefix of the keys of evacuation records in ramppin's own tables; the name of the
failure domain follows."""


@dataclass(frozen=True, slots=True)
class Evacuation:
    """Evacuation of a failure domain by the operator.

    Attributes:
        domain: the failure domain.
        offset: offset of the evacuation record.
        since: event-loop time at which this VM applied it.
    """

    domain: str
    offset: int
    since: float


class Evacuations:
    """The failure domains that are evacuated now.

    .. versionadded:: 0.3
    """

    def __init__(self) -> None:
        self._by_domain: dict[str, Evacuation] = {}

    def __contains__(self, domain: str) -> bool:
        return domain in self._by_domain

    def __iter__(self) -> Iterator[Evacuation]:
        return iter(self._by_domain.values())

    def __len__(self) -> int:
        return len(self._by_domain)

    def begin(self, domain: str, offset: int, now: float) -> bool:
        """Evacuate a failure domain; return whether it was not evacuated before.

        Args:
            domain: the failure domain; it may have no known server, since servers may
                start there later.
            offset: offset of the evacuation record.
            now: event-loop time.
        """
        if domain in self._by_domain:
            return False
        self._by_domain[domain] = Evacuation(domain, offset, now)
        return True

    def end(self, domain: str) -> Evacuation | None:
        """End the evacuation of a failure domain; return it, or None if unset."""
        return self._by_domain.pop(domain, None)


def parse_domain(key: str, prefix: str) -> str | None:
    """Return the failure domain after a prefix in a key, or None without the prefix.

    Raises:
        SettingsError: the text after the prefix is not a valid failure domain.
    """
    if not key.startswith(prefix):
        return None
    domain = key.removeprefix(prefix)
    if not domain or not domain.isprintable():
        raise SettingsError(
            "names no failure domain", path=prefix, hint=f"{prefix}DOMAIN"
        )
    return domain
