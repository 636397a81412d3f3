"""Which failure domains the operator has emptied: their servers get nothing new.

What runs there ends as it would; the operator takes the domain back when its servers
may be used again. Owns the operator's newest word on each failure domain, whether any
server of it is known or not; rebuilt from the log after a start. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from ramppin.errors import SettingsError

EVACUATION_PREFIX = "evacuated/"
"""Of the keys of records that empty a failure domain, in ramppin's own tables; its name
follows."""


@dataclass(frozen=True, slots=True)
class Evacuation:
    """The operator's word that a failure domain gets nothing.

    Attributes:
        domain: the failure domain.
        offset: of the record that says so.
        since: the loop's time at which this VM put it in force.
    """

    domain: str
    offset: int
    since: float


class Evacuations:
    """The failure domains that are emptied now.

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
        """Empty a failure domain; return whether it was not emptied before.

        Args:
            domain: the failure domain; one without a known server counts as well, since
                servers may come up there.
            offset: of the record that says so.
            now: the loop's time.
        """
        if domain in self._by_domain:
            return False
        self._by_domain[domain] = Evacuation(domain, offset, now)
        return True

    def end(self, domain: str) -> Evacuation | None:
        """Take a failure domain back; return what was in force, or None."""
        return self._by_domain.pop(domain, None)


def parse_domain(key: str, prefix: str) -> str | None:
    """Return the failure domain that follows a prefix in a key, or None.

    Raises:
        SettingsError: the prefix stands there, and no name that a domain may have.
    """
    if not key.startswith(prefix):
        return None
    domain = key.removeprefix(prefix)
    if not domain or not domain.isprintable():
        raise SettingsError(
            "names no failure domain", path=prefix, hint=f"{prefix}DOMAIN"
        )
    return domain
