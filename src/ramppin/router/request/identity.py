"""Identity of requests and of chats.

A request id names the VM that decided it, so that any VM can fetch the
explanation. A chat's key is a 64-bit hash; the same chat gives the same key
on every VM.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

OPENING_MESSAGES = 2
"""How many messages name a chat whose caller gives it no identity."""


@dataclass(frozen=True, slots=True)
class RequestId:
    """A request's id: the VM that decided it and its number there.

    Attributes:
        vm: name of the VM.
        run: number that differs each time the VM's process starts.
        number: counts the requests of that process.
    """

    vm: str
    run: int
    number: int

    def __str__(self) -> str:
        return f"{self.vm}.{self.run:x}.{self.number:x}"


def parse_request_id(text: str) -> RequestId | None:
    """Return the id that a text shows, or None."""
    parts = text.rsplit(".", 2)
    if len(parts) != 3 or not parts[0]:
        return None
    try:
        return RequestId(parts[0], int(parts[1], 16), int(parts[2], 16))
    except ValueError:
        return None


def hash_chat(customer: str, name: str) -> int:
    """Return the key of a chat that its caller named.

    Args:
        customer: who owns the chat; names of two customers never meet.
        name: the caller's name for the chat.
    """
    return xxhash.xxh3_64_intdigest(f"{customer}\0{name}".encode())


def hash_opening(customer: str, contents: Sequence[str]) -> int:
    """Return the key of a chat that is known only by its opening messages.

    Args:
        customer: who owns the chat.
        contents: the text of its messages, oldest first.
    """
    opening = "\0".join(contents[:OPENING_MESSAGES])
    return hash_chat(customer, f"\0opening\0{opening}")
