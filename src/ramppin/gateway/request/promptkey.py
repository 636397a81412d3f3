"""The key by which prompts that share a prefix go to one backend server."""

from __future__ import annotations

import xxhash


def hash_prefix(parts: bytes) -> int | None:
    """Return the hash of the longest shared prefix that a prompt names.

    Args:
        parts: ``ID:TOKENS`` joined by commas, in the prompt's order. The last
            part is the request's own; the one before it is what requests about
            one subject share.

    Returns:
        The key, or None if nothing is named.
    """
    ids = [part.partition(b":")[0].strip() for part in parts.split(b",")]
    if not ids or not ids[0]:
        return None
    shared = ids[-2] if len(ids) > 1 else ids[0]
    return xxhash.xxh3_64_intdigest(shared)
