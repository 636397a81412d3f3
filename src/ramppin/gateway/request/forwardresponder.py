"""Serves requests that another VM of the fleet passes on.

They arrive at a port of their own, and only from addresses in the list of VMs; callers'
ports ignore the headers that VMs send to each other. A request that this VM does not
serve is refused with a header that states that it has not run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ramppin.gateway.connection.callerwire import CallerConnection
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.request.forwardedhead import FORWARD_VERSION
from ramppin.gateway.request.responder import ExchangeResponder

DENIED_STATUS = 403
"""Status for a peer that is not in the list of VMs."""

UNKNOWN_VERSION_STATUS = 400
"""Status for a request of an unknown version of the protocol between VMs."""


class ForwardResponder(ExchangeResponder):
    """Runs the exchanges that arrive over one connection of another VM.

    Args:
        context: state shared by all exchanges of the process.
        connection: the other VM's connection.
        is_member: returns whether an IP address is that of a VM of the fleet.

    .. versionadded:: 0.5
    """

    def __init__(
        self,
        context: GatewayContext,
        connection: CallerConnection,
        is_member: Callable[[str], bool],
    ) -> None:
        super().__init__(context, connection, is_forwarded=True)
        connection.unconfirmed_header = context.names.unconfirmed_end
        self._is_member = is_member

    def accept_request(self, request: CallerRequest) -> None:
        """Serve a request, or refuse one that is not from a VM of the fleet."""
        names = self._context.names
        if not self._is_member(self._connection.peer_host):
            self._refuse(request, DENIED_STATUS, "not a VM of the fleet")
        elif request.find(names.forwarded) != FORWARD_VERSION:
            self._refuse(request, UNKNOWN_VERSION_STATUS, "unknown version")
        else:
            super().accept_request(request)

    def _refuse(self, request: CallerRequest, status: int, reason: str) -> None:
        request_id = request.find(self._context.names.request_id) or b""
        self._context.decisions.note(
            "forward_denied",
            request_id=request_id.decode("latin-1"),
            peer=self._connection.peer_host,
            status=status,
            reason=reason,
        )
        headers = [(self._context.names.forward_refused, reason.encode())]
        # After accept_request has returned, since an answer starts the next request.
        asyncio.get_running_loop().call_soon(
            self._connection.send_answer, status, headers, b""
        )
