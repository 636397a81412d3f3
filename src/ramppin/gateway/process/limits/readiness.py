"""Answers the load balancer's readiness probes.

A VM is ready when it has loaded settings and backend servers and is not stopping.
"""

from __future__ import annotations

from collections.abc import Callable

from ramppin.gateway.connection.callerwire import CallerConnection, Responder
from ramppin.gateway.connection.requestreader import CallerRequest


class ReadinessResponder(Responder):
    """Answers probes with 200 while the VM is ready and 503 otherwise.

    Args:
        connection: connection from the load balancer.
        path: path of the probe; any other path is answered with 404.
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
        """Answer the probe immediately."""
        if request.target.partition(b"?")[0] != self._path:
            self._connection.send_answer(404, [], b"")
        else:
            self._connection.send_answer(200 if self._is_ready() else 503, [], b"")

    def accept_disconnect(self) -> None:
        """Do nothing: probes are answered synchronously."""

    def accept_backpressure(self, *, paused: bool) -> None:
        """Do nothing: the answers have no body and need no flow control."""

    def end_request(self) -> None:
        """Do nothing: probes are answered synchronously."""
