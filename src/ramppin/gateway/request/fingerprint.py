"""Computes fingerprints by which a request that is sent again is recognised.

A caller that sends a request again gives it a new request ID, so the ID can't be used.
Requests are the same if customer, method, host, target and body are equal. Headers are
not included: the deadline, the resume position of a stream and the prompt parts differ
between copies. Parts of prompts are hashed by themselves, as other requests have them
too. Pure.
"""

from __future__ import annotations

import re

import xxhash

from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.version.routing import Customer

_SHOWN = re.compile(r"[0-9a-f]{16}")

SEPARATOR = b"\0"
"""Separates the hashed parts; none of them can contain it."""


def hash_request(request: CallerRequest, customer: Customer | None) -> int:
    """Return the fingerprint of a request, which is the same on every VM.

    The hash has no random seed, since VMs exchange fingerprints.

    Args:
        request: the complete request.
        customer: the customer that owns the API key; None on a public route.
    """
    host = request.find(b"host") or b""
    name = customer.name if customer else ""
    parts = (name.encode(), request.method, host.lower(), request.target)
    hasher = xxhash.xxh3_64(SEPARATOR.join(parts) + SEPARATOR)
    hasher.update(request.body)
    return hasher.intdigest()


def hash_part(service: str, part_id: bytes) -> int:
    """Return the hash of a prompt part, which is the same on every VM.

    Args:
        service: the service that runs the prompt; a part may crash the servers of one
            service and not those of another.
        part_id: see :func:`~.promptkey.list_part_ids`.
    """
    return xxhash.xxh3_64_intdigest(
        SEPARATOR.join((b"part", service.encode(), part_id))
    )


def parse_fingerprint(text: str) -> int | None:
    """Return the fingerprint for 16 lower-case hex digits; None for any other text."""
    return int(text, 16) if _SHOWN.fullmatch(text) else None


def format_fingerprint(fingerprint: int) -> str:
    """Return a fingerprint as 16 hex digits, as in log lines and commands."""
    return f"{fingerprint:016x}"
