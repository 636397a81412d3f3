"""Server for the links that other VMs open to this VM."""

from __future__ import annotations

import hmac
import logging
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.http11 import Request, Response

from ramppin.router.connection.links import (
    CLOSE_TIMEOUT_S,
    OPEN_TIMEOUT_S,
    PING_INTERVAL_S,
    PING_TIMEOUT_S,
    PROTOCOL_HEADER,
    VM_HEADER,
    Meter,
    Outbox,
    Send,
    receive_messages,
)
from ramppin.router.connection.messages import (
    MAX_MESSAGE_BYTES,
    PROTOCOL_VERSION,
    Message,
)

LOG = logging.getLogger(__name__)


class PeerHandler(ABC):
    """Handles the messages that other VMs send over their links."""

    @abstractmethod
    async def handle_message(self, vm: str, message: Message, send: Send) -> None:
        """Handle a message from a link that another VM opened.

        Args:
            vm: name of the VM that sent it.
            message: the message.
            send: queues a message to that VM on the same link.
        """

    @abstractmethod
    def handle_link_down(self, vm: str) -> None:
        """Handle the end of the newest link that another VM opened."""


class PeerServer:
    """Accepts links from other VMs.

    Args:
        host: address to listen on.
        port: port to listen on; 0 selects a free port.
        key: the fleet's key.
        handler: handles the messages.
        meter: counts the messages.

    .. versionadded:: 0.1
    """

    def __init__(
        self, host: str, port: int, key: str, handler: PeerHandler, meter: Meter
    ) -> None:
        self._host = host
        self._port = port
        self._key = key
        self._handler = handler
        self._meter = meter
        self._server: Server | None = None
        self._newest: dict[str, ServerConnection] = {}

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        if self._server is None:
            return self._port
        return int(next(iter(self._server.sockets)).getsockname()[1])

    async def start(self) -> None:
        """Start listening."""
        self._server = await serve(
            self._serve_link,
            self._host,
            self._port,
            process_request=self._check_request,
            max_size=MAX_MESSAGE_BYTES,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            compression=None,
        )

    async def stop(self) -> None:
        """Close all links and stop listening."""
        if self._server:
            self._server.close()
            await self._server.wait_closed()

    def _check_request(
        self, socket: ServerConnection, request: Request
    ) -> Response | None:
        given = request.headers.get("Authorization", "")
        if not hmac.compare_digest(given.encode(), f"Bearer {self._key}".encode()):
            LOG.warning(
                "link refused: missing or wrong fleet key",
                extra={"step": "accept link", "peer": str(socket.remote_address)},
            )
            return socket.respond(HTTPStatus.UNAUTHORIZED, "a fleet key is needed\n")
        version = request.headers.get(PROTOCOL_HEADER, "")
        if version != str(PROTOCOL_VERSION):
            LOG.warning(
                "link refused: unsupported protocol version",
                extra={"step": "accept link", "peer": str(socket.remote_address)},
            )
            text = f"protocol {version!r} is not {PROTOCOL_VERSION}\n"
            return socket.respond(HTTPStatus.UPGRADE_REQUIRED, text)
        return None

    async def _serve_link(self, socket: ServerConnection) -> None:
        request = socket.request
        vm = request.headers.get(VM_HEADER, "") if request else ""
        self._newest[vm] = socket
        outbox = Outbox(socket, self._meter)
        try:
            await receive_messages(
                socket, vm, self._meter, self._build_receiver(vm, outbox)
            )
        finally:
            await outbox.close()
            if self._newest.get(vm) is socket:
                del self._newest[vm]
                self._handler.handle_link_down(vm)

    def _build_receiver(
        self, vm: str, outbox: Outbox
    ) -> Callable[[Message], Awaitable[None]]:
        async def receive(message: Message) -> None:
            await self._handler.handle_message(vm, message, outbox.put)

        return receive
