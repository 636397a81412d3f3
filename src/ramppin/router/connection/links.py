"""Links between router VMs: websockets that carry CBOR messages.

A VM opens a link to each VM that it sends requests to. Either end closes a
link that violates the protocol. A link is authenticated by the fleet's key.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
from collections.abc import Awaitable, Callable

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from ramppin.errors import PeerNotListedError, PeerUnavailableError, ProtocolError
from ramppin.router.connection.messages import (
    MAX_MESSAGE_BYTES,
    PROTOCOL_VERSION,
    AskClaim,
    AskEpochs,
    AskRecords,
    AskTrace,
    ClaimReply,
    Epochs,
    Message,
    Records,
    Reply,
    TraceReply,
    decode_message,
    encode_message,
)

LOG = logging.getLogger(__name__)

PING_INTERVAL_S = 1.0
"""Interval between two pings on a link, in seconds."""

PING_TIMEOUT_S = 1.0
"""Time without a pong after which a link counts as down, in seconds."""

OPEN_TIMEOUT_S = 1.0
"""Time limit for opening a link, in seconds."""

CLOSE_TIMEOUT_S = 0.5
"""Time limit for closing a link, in seconds."""

VM_HEADER = "Ramppin-VM"
PROTOCOL_HEADER = "Ramppin-Protocol"

Send = Callable[[Message], None]


class Meter:
    """Counts messages and bytes by direction and message type."""

    def __init__(self) -> None:
        self.bytes: dict[tuple[str, str], int] = {}
        self.messages: dict[tuple[str, str], int] = {}

    def count(self, direction: str, kind: str, size: int) -> None:
        """Count one message."""
        key = (direction, kind)
        self.bytes[key] = self.bytes.get(key, 0) + size
        self.messages[key] = self.messages.get(key, 0) + 1


class Outbox:
    """Sends messages in order from a queue; :meth:`put` never blocks."""

    def __init__(self, socket: ServerConnection | ClientConnection, meter: Meter):
        self._socket = socket
        self._meter = meter
        self._queue: asyncio.Queue[Message] = asyncio.Queue()
        self._task = asyncio.create_task(self._run())

    def put(self, message: Message) -> None:
        """Queue a message."""
        self._queue.put_nowait(message)

    async def close(self) -> None:
        """Stop sending; messages still queued are dropped."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        with contextlib.suppress(ConnectionClosed):
            while True:
                message = await self._queue.get()
                data = encode_message(message)
                self._meter.count("sent", type(message).__name__, len(data))
                await self._socket.send(data)


class PeerLink:
    """A link that this VM opened to another VM.

    Args:
        vm: name of the other VM.
        socket: the connection.
        meter: counts messages.
        on_message: called with each message that is not a reply to a call.
        on_down: called when the link ends.
    """

    def __init__(
        self,
        vm: str,
        socket: ClientConnection,
        meter: Meter,
        on_message: Callable[[str, Message], None],
        on_down: Callable[[PeerLink], None],
    ) -> None:
        self.vm = vm
        self.open = True
        self._socket = socket
        self._meter = meter
        self._outbox = Outbox(socket, meter)
        self._on_message = on_message
        self._on_down = on_down
        self._calls: dict[int, asyncio.Future[Reply]] = {}
        self._task = asyncio.create_task(self._run())

    def send(self, message: Message) -> None:
        """Queue a message."""
        self._outbox.put(message)

    async def call(self, message: _Call, timeout_s: float) -> Reply:
        """Send a message and return its reply.

        Raises:
            PeerUnavailableError: no reply came in time.
        """
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._calls[message.call] = future
        self.send(message)
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError as error:
            raise PeerUnavailableError(
                "no reply in time", step=type(message).__name__, peer=self.vm
            ) from error
        finally:
            self._calls.pop(message.call, None)

    async def close(self) -> None:
        """Close the link."""
        await self._socket.close()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        try:
            await receive_messages(self._socket, self.vm, self._meter, self._receive)
        finally:
            self.open = False
            await self._outbox.close()
            for future in self._calls.values():
                if not future.done():
                    future.set_exception(
                        PeerUnavailableError("link lost", step="call", peer=self.vm)
                    )
            self._on_down(self)

    async def _receive(self, message: Message) -> None:
        if isinstance(message, Epochs | Records | TraceReply | ClaimReply):
            future = self._calls.get(message.call)
            if future and not future.done():
                future.set_result(message)
            return
        self._on_message(self.vm, message)


_Call = AskEpochs | AskRecords | AskTrace | AskClaim


async def receive_messages(
    socket: ServerConnection | ClientConnection,
    vm: str,
    meter: Meter,
    receiver: Callable[[Message], Awaitable[None]],
) -> None:
    """Handle messages until the link ends; close it on a protocol error."""
    try:
        async for data in socket:
            if isinstance(data, str):
                raise ProtocolError("unexpected text frame", step="receive", peer=vm)
            message = decode_message(data, vm)
            meter.count("received", type(message).__name__, len(data))
            await receiver(message)
    except ConnectionClosed:
        pass
    except ProtocolError as error:
        LOG.warning("link closed: %s", error, extra={"step": error.step, "peer": vm})
        await socket.close(1002, "protocol error")


class PeerLinks:
    """The links that this VM opens, each on first use.

    Args:
        vm: name of this VM.
        key: the fleet's key.
        find_address: returns the ``IP:port`` of a VM, or None.
        on_message: called with each message that is not a reply to a call.
        on_down: called with the name of the VM whose link ended.
        meter: counts messages.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        vm: str,
        key: str,
        *,
        find_address: Callable[[str], str | None],
        on_message: Callable[[str, Message], None],
        on_down: Callable[[str], None],
        meter: Meter,
    ) -> None:
        self._vm = vm
        self._key = key
        self._find_address = find_address
        self._on_message = on_message
        self._on_down = on_down
        self._meter = meter
        self._links: dict[str, PeerLink] = {}
        self._opening: dict[str, asyncio.Task[PeerLink]] = {}
        self._numbers = itertools.count(1)

    def next_call(self) -> int:
        """Return a unique number for a call."""
        return next(self._numbers)

    def find(self, vm: str) -> PeerLink | None:
        """Return the open link to a VM, or None."""
        return self._links.get(vm)

    async def open(self, vm: str) -> PeerLink:
        """Return the link to a VM; open one if there is none.

        Raises:
            PeerUnavailableError: the VM could not be reached.
        """
        link = self._links.get(vm)
        if link and link.open:
            return link
        task = self._opening.get(vm)
        if task is None:
            task = asyncio.create_task(self._open(vm))
            self._opening[vm] = task
            task.add_done_callback(lambda done: self._note_opened(vm, done))
        return await asyncio.shield(task)

    async def close(self) -> None:
        """Close all links."""
        for task in list(self._opening.values()):
            task.cancel()
        links = list(self._links.values())
        await asyncio.gather(*(link.close() for link in links))

    def _note_opened(self, vm: str, task: asyncio.Task[PeerLink]) -> None:
        self._opening.pop(vm, None)
        if not task.cancelled() and task.exception():
            LOG.debug("link not opened: %s", task.exception(), extra={"peer": vm})

    async def _open(self, vm: str) -> PeerLink:
        address = self._find_address(vm)
        if address is None:
            raise PeerNotListedError("address not known", step="open link", peer=vm)
        headers = {
            "Authorization": f"Bearer {self._key}",
            VM_HEADER: self._vm,
            PROTOCOL_HEADER: str(PROTOCOL_VERSION),
        }
        try:
            socket = await connect(
                f"ws://{address}/",
                additional_headers=headers,
                open_timeout=OPEN_TIMEOUT_S,
                close_timeout=CLOSE_TIMEOUT_S,
                ping_interval=PING_INTERVAL_S,
                ping_timeout=PING_TIMEOUT_S,
                max_size=MAX_MESSAGE_BYTES,
                compression=None,
                proxy=None,
            )
        except (OSError, TimeoutError, InvalidHandshake) as error:
            raise PeerUnavailableError(
                repr(error), step="open link", peer=vm
            ) from error
        link = PeerLink(vm, socket, self._meter, self._on_message, self._drop)
        self._links[vm] = link
        return link

    def _drop(self, link: PeerLink) -> None:
        if self._links.get(link.vm) is link:
            del self._links[link.vm]
            self._on_down(link.vm)
