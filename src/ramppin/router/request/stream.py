"""Relaying of a model engine's event stream, with ids that allow resuming it.

Each event's id contains what any VM needs to resume the stream: the engine, the
stream, the position, and a signature that binds engine and stream to the customer.
"""

from __future__ import annotations

import hmac
import json
import re
from collections.abc import AsyncIterator
from dataclasses import dataclass

from ramppin.errors import BrokenAnswerError
from ramppin.router.connection.backends import BackendAnswer

_EVENT_ID = re.compile(rb"^id: [^\n]*?:(\d+)$", re.MULTILINE)
_END = b"\n\n"
DONE = b"data: [DONE]"
MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of an event; bounds the memory of a relay."""


@dataclass(frozen=True, slots=True)
class StreamId:
    """Identity of a stream and the caller's position in it.

    Attributes:
        backend_server: name of the engine.
        stream: id of the stream at the engine.
        position: number of the last event that the caller has received.
    """

    backend_server: str
    stream: str
    position: int = 0

    def sign(self, key: str, customer: str) -> str:
        """Return the signature that binds the stream to a customer."""
        text = f"{customer}\0{self.backend_server}\0{self.stream}"
        return hmac.new(key.encode(), text.encode(), "sha256").hexdigest()[:20]


def parse_stream_id(text: str, key: str, customer: str) -> StreamId | None:
    """Parse an event id; return None if it is invalid or another customer's."""
    parts = text.split("/")
    if len(parts) != 4 or not parts[2].isdigit():
        return None
    found = StreamId(parts[0], parts[1], int(parts[2]))
    if not hmac.compare_digest(found.sign(key, customer), parts[3]):
        return None
    return found


class EventRelay:
    """Relays the events of a stream and records whether the last one arrived.

    Args:
        stream: identity of the stream.
        key: key that signs event ids.
        customer: the customer that owns the stream.

    .. versionadded:: 0.1
    """

    def __init__(self, stream: StreamId, key: str, customer: str) -> None:
        self.position = stream.position
        self.complete = False
        self._prefix = f"id: {stream.backend_server}/{stream.stream}/".encode()
        self._suffix = f"/{stream.sign(key, customer)}".encode()

    async def relay(self, answer: BackendAnswer) -> AsyncIterator[bytes]:
        """Yield the events of an answer, never a part of an event.

        Raises:
            BrokenAnswerError: the answer ended before its last event.
        """
        pending = b""
        async for part in answer.iter_parts():
            pending += part
            end = pending.rfind(_END)
            if end < 0:
                if len(pending) > MAX_EVENT_BYTES:
                    raise BrokenAnswerError(
                        "an event is too long", step="read answer", peer=answer.server
                    )
                continue
            events, pending = pending[: end + 2], pending[end + 2 :]
            yield self._rewrite_ids(events)
        if not self.complete:
            raise BrokenAnswerError(
                "the stream ended early", step="read answer", peer=answer.server
            )

    def _rewrite_ids(self, events: bytes) -> bytes:
        if DONE in events:
            self.complete = events.rstrip().endswith(DONE)
        return _EVENT_ID.sub(self._build_id, events)

    def _build_id(self, match: re.Match[bytes]) -> bytes:
        self.position = int(match.group(1))
        return b"%b%d%b" % (self._prefix, self.position, self._suffix)


def build_error_event(message: str, code: str, last_event_id: str) -> bytes:
    """Return the event that reports a broken stream to the caller."""
    error = {
        "message": message,
        "type": "server_error",
        "code": code,
        "outcome": "unknown",
        "last_event_id": last_event_id,
    }
    return f"data: {json.dumps({'error': error})}\n\n".encode()
