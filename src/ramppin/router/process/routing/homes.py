"""Backend servers that cache the prefixes of chats off their first choice."""

from __future__ import annotations


class Homes:
    """A bounded map from chats to backend servers.

    Two generations approximate least-recently-used eviction: when the recent
    one is full it replaces the previous one, whose entries are dropped. A
    lookup moves a chat to the recent generation.

    Args:
        keep: number of chats in a full generation.

    .. versionadded:: 0.1
    """

    def __init__(self, *, keep: int = 50_000) -> None:
        self._keep = keep
        self._recent: dict[int, str] = {}
        self._previous: dict[int, str] = {}

    def __len__(self) -> int:
        return len(self._recent) + len(self._previous)

    def find(self, chat: int) -> str | None:
        """Return the recorded backend server of a chat, or None."""
        server = self._recent.get(chat)
        if server is None and chat in self._previous:
            server = self._previous.pop(chat)
            self.put(chat, server)
        return server

    def put(self, chat: int, server: str) -> None:
        """Record the backend server of a chat."""
        self._recent[chat] = server
        if len(self._recent) >= self._keep:
            self._previous = self._recent
            self._recent = {}

    def forget(self, chat: int) -> None:
        """Remove the entry of a chat."""
        self._recent.pop(chat, None)
        self._previous.pop(chat, None)
