"""Where chats have their prefix, for those that left their first choice."""

from __future__ import annotations


class Homes:
    """A bounded map from chats to backend servers.

    Two generations take the place of an exact least-recently-used order: when
    the young one is full it becomes the old one, and the old one is dropped.
    A chat that is looked up moves to the young one.

    Args:
        keep: how many chats a generation holds.

    .. versionadded:: 0.1
    """

    def __init__(self, *, keep: int = 50_000) -> None:
        self._keep = keep
        self._recent: dict[int, str] = {}
        self._previous: dict[int, str] = {}

    def __len__(self) -> int:
        return len(self._recent) + len(self._previous)

    def find(self, chat: int) -> str | None:
        """Return the backend server that a chat moved to, or None."""
        server = self._recent.get(chat)
        if server is None and chat in self._previous:
            server = self._previous.pop(chat)
            self.put(chat, server)
        return server

    def put(self, chat: int, server: str) -> None:
        """Remember where a chat is now."""
        self._recent[chat] = server
        if len(self._recent) >= self._keep:
            self._previous = self._recent
            self._recent = {}

    def forget(self, chat: int) -> None:
        """Forget a chat."""
        self._recent.pop(chat, None)
        self._previous.pop(chat, None)
