"""Attributes of a request that may be the cause of a server's crash.

A request crashes servers as a whole, by its body, or by one part of its prompt that
other requests have too. The key of an attribute is the same on every VM. The last part
of a prompt is not listed: it is the request's own, which the request stands for. Pure.
"""

from __future__ import annotations

from dataclasses import dataclass

from ramppin.gateway.request.admission import Admission
from ramppin.gateway.request.fingerprint import hash_part

MAX_SHOWN_ID = 32
"""Characters of a part's id that operators are shown, and other VMs are sent."""


@dataclass(frozen=True, slots=True)
class Attribute:
    """An attribute of a request.

    Attributes:
        key: identifies it.
        part: id of the prompt part, shortened; empty for the whole request.
    """

    key: int
    part: str = ""


def list_attributes(admission: Admission) -> tuple[Attribute, ...]:
    """Return the attributes of a request: the whole request, then prompt parts."""
    service = admission.service
    ids = dict.fromkeys(admission.part_ids[:-1])
    parts = (Attribute(hash_part(service, part), _shorten(part)) for part in ids)
    return (Attribute(admission.fingerprint), *parts)


def _shorten(part: bytes) -> str:
    return part[:MAX_SHOWN_ID].decode("latin-1")
