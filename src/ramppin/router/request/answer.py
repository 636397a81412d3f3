"""An answer that is streamed to its caller and always cleans up."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Mapping

from starlette.responses import StreamingResponse
from starlette.types import Receive, Scope, Send


class StreamedAnswer(StreamingResponse):
    """A streaming response whose end is told, even if it never began.

    Args:
        content: the parts.
        status_code: the HTTP status.
        headers: the headers.
        media_type: the content type; None to leave it to the headers.
        on_close: called once when the response is over, however it ended.

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
        """Send the response."""
        try:
            await super().__call__(scope, receive, send)
        finally:
            self._on_close()
