"""Computes the key that routes prompts with a shared prefix to one backend server."""

from __future__ import annotations

import xxhash


def hash_prefix(parts: bytes) -> int | None:
    """Return the hash of the longest shared prefix of a prompt.

    Args:
        parts: ``ID:TOKENS`` joined by commas, in the prompt's order. The last part is
            specific to the request; the one before it is shared by requests about the
            same subject.

    Returns:
        The key, or None if no part is given.
    """
    ids = [part.partition(b":")[0].strip() for part in parts.split(b",")]
    if not ids or not ids[0]:
        return None
    shared = ids[-2] if len(ids) > 1 else ids[0]
    return xxhash.xxh3_64_intdigest(shared)
