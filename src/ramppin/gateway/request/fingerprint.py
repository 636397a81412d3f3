"""What makes two requests the same one, sent again.

A caller that sends a request again gives it a new id, so the id says nothing. The same
are requests of one customer with one method, host, target and body. Headers do not
count: deadlines, the point at which a stream is resumed and the named parts of a prompt
differ from one time to the next. Pure.
"""

from __future__ import annotations

import re

import xxhash

from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.version.routing import Customer

_SHOWN = re.compile(r"[0-9a-f]{16}")

SEPARATOR = b"\0"
"""Stands between the parts; none of them can hold it."""


def hash_request(request: CallerRequest, customer: Customer | None) -> int:
    """Return the fingerprint of a request, the same at every VM.

    Not seeded, since VMs tell each other fingerprints.

    Args:
        request: the request, whole.
        customer: that owns its key; None on a public route.
    """
    host = request.find(b"host") or b""
    name = customer.name if customer else ""
    parts = (name.encode(), request.method, host.lower(), request.target)
    hasher = xxhash.xxh3_64(SEPARATOR.join(parts) + SEPARATOR)
    hasher.update(request.body)
    return hasher.intdigest()


def parse_fingerprint(text: str) -> int | None:
    """Return the fingerprint that lines show as a text; None if it is none."""
    return int(text, 16) if _SHOWN.fullmatch(text) else None


def format_fingerprint(fingerprint: int) -> str:
    """Return a fingerprint as lines and operators write it: 16 hex digits."""
    return f"{fingerprint:016x}"
