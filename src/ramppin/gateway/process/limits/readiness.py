"""Answers the balancer's question whether this VM should get callers.

Ready is a VM that knows settings and backend servers and has not begun to stop.
"""

from __future__ import annotations

from collections.abc import Callable

from ramppin.gateway.connection.callerwire import CallerConnection, Responder
from ramppin.gateway.connection.requestreader import CallerRequest


class ReadinessResponder(Responder):
    """Answers 200 while ready, else 503.

    Args:
        connection: the balancer's connection.
        path: path of the question.
        is_ready: returns whether this VM is ready.

    .. versionadded:: 0.2
    """

    def __init__(
        self, connection: CallerConnection, path: bytes, is_ready: Callable[[], bool]
    ) -> None:
        self._connection = connection
        self._path = path
        self._is_ready = is_ready

    def accept_request(self, request: CallerRequest) -> None:
        """Answer at once."""
        if request.target.partition(b"?")[0] != self._path:
            self._connection.send_whole(404, [], b"")
        else:
            self._connection.send_whole(200 if self._is_ready() else 503, [], b"")

    def accept_disconnect(self) -> None:
        """Nothing is in flight here."""

    def accept_backpressure(self, *, paused: bool) -> None:
        """Answers here are small."""
