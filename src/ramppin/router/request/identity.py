"""Ids of requests and keys of chats.

A request id contains the VM that handled the request, so that any VM can fetch the
explanation from it. The key of a chat is a 64-bit hash that is equal on every VM.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

OPENING_MESSAGES = 2
"""Number of first messages that identify a chat without a name."""


@dataclass(frozen=True, slots=True)
class RequestId:
    """Id of a request: the VM, the start of its process and a number.

    Attributes:
        vm: name of the VM.
        run: number that differs each time the VM's process starts.
        number: sequence number of the request in that process.
    """

    vm: str
    run: int
    number: int

    def __str__(self) -> str:
        return f"{self.vm}.{self.run:x}.{self.number:x}"


def parse_request_id(text: str) -> RequestId | None:
    """Parse a request id; return None if the text is not one."""
    parts = text.rsplit(".", 2)
    if len(parts) != 3 or not parts[0]:
        return None
    try:
        return RequestId(parts[0], int(parts[1], 16), int(parts[2], 16))
    except ValueError:
        return None


def hash_chat(customer: str, name: str) -> int:
    """Return the key of a chat that has a name.

    Args:
        customer: the customer that owns the chat; it is part of the hashed text, so
            equal names of two customers give different keys.
        name: name that the caller gave the chat.
    """
    return xxhash.xxh3_64_intdigest(f"{customer}\0{name}".encode())


def hash_opening(customer: str, contents: Sequence[str]) -> int:
    """Return the key of a chat without a name, from its first messages.

    Args:
        customer: the customer that owns the chat.
        contents: texts of the messages, oldest first.
    """
    opening = "\0".join(contents[:OPENING_MESSAGES])
    return hash_chat(customer, f"\0opening\0{opening}")
