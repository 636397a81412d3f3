"""Streaming responses with a callback that runs when they end."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Mapping

from starlette.responses import StreamingResponse
from starlette.types import Receive, Scope, Send


class StreamedAnswer(StreamingResponse):
    """A streaming response that reports its end, even if it never started.

    Args:
        content: the parts of the body.
        status_code: the HTTP status.
        headers: the response headers.
        media_type: the content type; None to take it from the headers.
        on_close: called once when the response ends, whether it succeeded or not.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        content: AsyncIterator[bytes],
        status_code: int,
        headers: Mapping[str, str],
        *,
        media_type: str | None = None,
        on_close: Callable[[], None],
    ) -> None:
        super().__init__(content, status_code, headers, media_type)
        self._on_close = on_close

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the response, then call ``on_close``."""
        try:
            await super().__call__(scope, receive, send)
        finally:
            self._on_close()
