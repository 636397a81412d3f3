"""Runs an exchange for each request on a caller's connection.

Relies on the connection to deliver one request at a time, and on :mod:`~.exchange` to
serve it. Owns the current exchange.
"""

from __future__ import annotations

import asyncio

from ramppin.gateway.connection.callerwire import CallerConnection, Responder
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.request.exchange import Exchange


class ExchangeResponder(Responder):
    """Runs the exchanges of one caller's connection sequentially.

    Args:
        context: state shared by all exchanges of the process.
        connection: the caller's connection.
        is_forwarded: whether other VMs pass the requests on.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        context: GatewayContext,
        connection: CallerConnection,
        *,
        is_forwarded: bool = False,
    ) -> None:
        self._context = context
        self._connection = connection
        self._is_forwarded = is_forwarded
        self._exchange: Exchange | None = None

    def accept_request(self, request: CallerRequest) -> None:
        """Start an exchange for the request."""
        exchange = Exchange(
            self._context,
            self._connection,
            request,
            is_forwarded=self._is_forwarded,
        )
        self._exchange = exchange
        task = asyncio.get_running_loop().create_task(exchange.run())
        self._context.tasks.add(task)
        task.add_done_callback(self._context.finish_task)
        task.add_done_callback(lambda task: self._drop(exchange))

    def _drop(self, exchange: Exchange) -> None:
        """Drop a finished exchange.

        It refers to the request's body and to the answer, which an open connection
        must not keep until its next request.
        """
        if self._exchange is exchange:
            self._exchange = None

    def accept_disconnect(self) -> None:
        """Cancel the current exchange."""
        if self._exchange is not None:
            self._exchange.disconnect()

    def end_request(self) -> None:
        """End the current exchange with an answer, unless one has started."""
        if self._exchange is not None:
            self._exchange.end_now()

    def accept_backpressure(self, *, paused: bool) -> None:
        """Pause or resume reading the server's answer."""
        if self._exchange is not None:
            self._exchange.set_paused(paused)
