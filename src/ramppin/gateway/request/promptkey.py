"""Reads the parts of a prompt: their ids, the key of its shared prefix, and its tokens.

Prompts with the same key are routed to one backend server.
"""

from __future__ import annotations

import xxhash

MAX_TOKEN_DIGITS = 9
"""Maximum number of digits of a number of tokens; more are not a prompt's."""


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


def list_part_ids(parts: bytes) -> list[bytes]:
    """Return the ids of a prompt's parts in order, in their shortest lower-case form.

    An id is a hexadecimal number; empty ones are left out.

    Args:
        parts: see :func:`hash_prefix`.
    """
    texts = (part.partition(b":")[0].strip().lower() for part in parts.split(b","))
    return [text.removeprefix(b"0x").lstrip(b"0") or b"0" for text in texts if text]


def count_tokens(parts: bytes) -> tuple[int, int] | None:
    """Return the tokens of a prompt and those of its shared part.

    Args:
        parts: see :func:`hash_prefix`. A single part is the shared one.

    Returns:
        None if a part has no valid number of tokens.
    """
    counts = []
    for part in parts.split(b","):
        number = part.rpartition(b":")[2].strip()
        if not number.isdigit() or len(number) > MAX_TOKEN_DIGITS:
            return None
        counts.append(int(number))
    return sum(counts), sum(counts[: max(1, len(counts) - 1)])
