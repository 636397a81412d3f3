"""Runs the requests of one caller's connection, each as an exchange of its own.

Relies on the connection, which hands over one request at a time, and on
:mod:`~.exchange`, which serves it. Owns the exchange that runs now.
"""

from __future__ import annotations

import asyncio

from ramppin.gateway.connection.callerwire import CallerConnection, Responder
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.request.exchange import Exchange


class ExchangeResponder(Responder):
    """Runs the exchanges of one caller's connection, one after the other.

    Args:
        context: what all exchanges of the process share.
        connection: the caller's connection.

    .. versionadded:: 0.2
    """

    def __init__(self, context: GatewayContext, connection: CallerConnection) -> None:
        self._context = context
        self._connection = connection
        self._exchange: Exchange | None = None

    def accept_request(self, request: CallerRequest) -> None:
        """Start an exchange."""
        exchange = Exchange(self._context, self._connection, request)
        self._exchange = exchange
        task = asyncio.get_running_loop().create_task(exchange.run())
        self._context.tasks.add(task)
        task.add_done_callback(self._context.finish_task)

    def accept_disconnect(self) -> None:
        """Give the exchange up."""
        if self._exchange is not None:
            self._exchange.disconnect()

    def accept_backpressure(self, *, paused: bool) -> None:
        """Pause the answer's source, or let it go on."""
        if self._exchange is not None:
            self._exchange.set_paused(paused)
