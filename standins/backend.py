"""A stand-in for a backend server that behaves as told, byte for byte.

Requests are answered by a script; what a request carried and whether it ran is
recorded. It speaks over bare streams, since it must break the rules of HTTP.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ramppin.gateway.connection.httpwire import HeaderNames
from standins.streams import StreamServer


@dataclass(slots=True)
class Received:
    """A request as it arrived."""

    line: bytes
    headers: dict[bytes, bytes]
    body: bytes
    connection: int


@dataclass
class Reply:
    """Writes an answer; the script of one request gets one.

    Attributes:
        request: what arrived.
        writer: the connection.
        names: names of headers.
    """

    request: Received
    writer: asyncio.StreamWriter
    names: HeaderNames

    @property
    def request_id(self) -> bytes:
        """The request's id."""
        return self.request.headers.get(self.names.request_id, b"")

    async def send(self, data: bytes) -> None:
        """Send bytes at once."""
        self.writer.write(data)
        await self.writer.drain()

    async def answer(
        self,
        status: int = 200,
        body: bytes = b"answer",
        *,
        headers: bytes = b"",
        signed: bool = True,
        request_id: bytes | None = None,
    ) -> None:
        """Send a whole answer with a length."""
        head = self.head(status, headers, signed=signed, request_id=request_id)
        await self.send(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)

    def head(
        self,
        status: int,
        headers: bytes = b"",
        *,
        signed: bool = True,
        request_id: bytes | None = None,
    ) -> bytes:
        """Return a head without its end."""
        found = self.request_id if request_id is None else request_id
        lines = b"HTTP/1.1 %d X\r\n" % status
        lines += b"%b: %b\r\n" % (self.names.request_id, found)
        if signed:
            lines += b"%b: s\r\n" % self.names.signature
        return lines + headers

    async def start_events(self) -> None:
        """Send the head of a stream."""
        head = self.head(200, b"Content-Type: text/event-stream\r\n")
        await self.send(head + b"Transfer-Encoding: chunked\r\n\r\n")

    async def send_chunk(self, data: bytes) -> None:
        """Send one chunk; empty data ends the stream."""
        await self.send(b"%x\r\n%b\r\n" % (len(data), data))

    def reset(self) -> None:
        """Reset the connection, so that the other side sees an error."""
        raw = self.writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.writer.transport.abort()


RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER with no time: closing resets."""

Script = Callable[[Reply], Awaitable[None]]


async def answer_well(reply: Reply) -> None:
    """Answer 200."""
    await reply.answer()


@dataclass
class BackendStandIn(StreamServer):
    """Answers requests by a script.

    Attributes:
        script: answers each request.
        received: all requests that arrived whole.
        closed: connections that callers closed while a request was at work.
        resets: those of them that were reset.
        connections: connections that were opened.
        ended: those of them that ended.
        names: names of headers.
    """

    script: Script = answer_well
    received: list[Received] = field(default_factory=list)
    closed: int = 0
    resets: int = 0
    connections: int = 0
    ended: int = 0
    names: HeaderNames = field(default_factory=HeaderNames)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        self.connections += 1
        number = self.connections
        try:
            while (received := await _read_request(reader, number)) is not None:
                self.received.append(received)
                await self._work(reader, Reply(received, writer, self.names))
        finally:
            self.ended += 1

    async def _work(self, reader: asyncio.StreamReader, reply: Reply) -> None:
        """Run the script, and note if the caller leaves meanwhile."""
        work = asyncio.ensure_future(self.script(reply))
        leave = asyncio.ensure_future(_wait_for_leave(reader))
        try:
            await asyncio.wait({work, leave}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                self.closed += 1
                self.resets += isinstance(reader.exception(), ConnectionResetError)
                work.cancel()
                raise ConnectionResetError
            work.result()
        finally:
            leave.cancel()
            work.cancel()


async def _wait_for_leave(reader: asyncio.StreamReader) -> None:
    # A reset sets an exception, and no end.
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.005)


async def _read_request(reader: asyncio.StreamReader, number: int) -> Received | None:
    head = b""
    while not head:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).lstrip(b"\r\n")
        except asyncio.IncompleteReadError:
            return None
    line, *rest = head[:-4].split(b"\r\n")
    headers = {}
    for text in rest:
        name, _, value = text.partition(b":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get(b"content-length", b"0")))
    return Received(line, headers, body, number)
