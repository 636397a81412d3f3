"""Datagrams between VMs: hints on homes, loads, failures; they may be lost.

MessagePack through msgspec in place of CBOR over WebSockets: a hint needs no
connection, and msgspec checks each message against its type while decoding.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

import msgspec

LOG = logging.getLogger(__name__)


class HomeHint(msgspec.Struct, array_like=True, frozen=True):
    """Where a prefix is: its key, the backend server, and the age in ms."""

    key: int
    server: str
    age_ms: int


class FailureHint(msgspec.Struct, array_like=True, frozen=True):
    """A backend server and the requests that it failed since the last message."""

    server: str
    count: int


class LoadHint(msgspec.Struct, array_like=True, frozen=True):
    """A backend server, the requests that it held, and the age of that in ms."""

    server: str
    requests: int
    age_ms: int


class WaitHint(msgspec.Struct, array_like=True, frozen=True):
    """A backend server and how many of the sender's requests are overdue there."""

    server: str
    count: int


class EndHint(msgspec.Struct, array_like=True, frozen=True):
    """A backend server that ended under a request.

    Attributes:
        server: its id.
        age_ms: time since its end.
        held_ms: time for which it had had the request.
    """

    server: str
    age_ms: int
    held_ms: int


class SuspectHint(msgspec.Struct, array_like=True, frozen=True):
    """What the sender knows of a request under which servers ended.

    Attributes:
        fingerprint: the request's.
        ends: of servers since it last ran well.
        count: ends one after the other, by the sender's count.
        cleared: servers whose ends no longer count, since it ran well after them.
        was_served: whether it is known to have run well before.
        tried_age_ms: time since a copy was let through on trial; None if none was.
    """

    fingerprint: int
    ends: list[EndHint] = []
    count: int = 0
    cleared: list[str] = []
    was_served: bool = False
    tried_age_ms: int | None = None


class LeavingHint(msgspec.Struct, array_like=True, frozen=True):
    """A backend server that said in an answer that it leaves, and the age in ms."""

    server: str
    age_ms: int


class BackoffHint(msgspec.Struct, array_like=True, frozen=True):
    """A backend server that asked the sender for rest, and what is left of it in ms."""

    server: str
    remaining_ms: int


class PeerHints(msgspec.Struct, array_like=True, frozen=True):
    """One datagram.

    Attributes:
        vm: who sends it.
        homes: homes of prefixes.
        log_up: whether the shared log serves the sender.
        failures: of servers that failed the sender's requests.
        loads: of servers that answered the sender's requests.
        waits: of servers that keep the sender's requests waiting, or no longer do.
        hot: keys of prefixes that need more servers than their home.
        suspects: requests under which servers ended, or that ran well since.
        quarantine_digest: one number for all requests that the sender refuses.
        leaving: servers that said in answers that they leave.
        backoffs: servers that asked the sender for rest.
    """

    vm: str
    homes: list[HomeHint]
    log_up: bool = True
    failures: list[FailureHint] = []
    loads: list[LoadHint] = []
    waits: list[WaitHint] = []
    hot: list[int] = []
    suspects: list[SuspectHint] = []
    quarantine_digest: int = 0
    leaving: list[LeavingHint] = []
    backoffs: list[BackoffHint] = []


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerHints)


class DatagramLink(asyncio.DatagramProtocol):
    """Sends and receives hints.

    Args:
        on_message: called with each message and its sender's IP address.

    .. versionadded:: 0.2
    """

    def __init__(self, on_message: Callable[[PeerHints, str], None]) -> None:
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def port(self) -> int:
        """The port of the link."""
        assert self._transport is not None
        return int(self._transport.get_extra_info("sockname")[1])

    @classmethod
    async def open(
        cls, host: str, port: int, on_message: Callable[[PeerHints, str], None]
    ) -> DatagramLink:
        """Open a link on an address."""
        loop = asyncio.get_running_loop()
        _, link = await loop.create_datagram_endpoint(
            lambda: cls(on_message), local_addr=(host, port)
        )
        return link

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # Python 3.11's own transport does not inherit from DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a message; drop anything else."""
        try:
            hints = _DECODER.decode(data)
        except msgspec.MsgspecError:
            LOG.info("a datagram is not a hint, dropped", extra={"peer": addr[0]})
            return
        self._on_message(hints, addr[0])

    def error_received(self, exc: Exception) -> None:
        """Log what the network reports; hints may be lost."""
        LOG.info("a datagram was not delivered: %s", exc, extra={"step": "hints"})

    def send(self, hints: PeerHints, hosts: list[str], port: int) -> None:
        """Send a message to several VMs."""
        if self._transport is None or self._transport.is_closing():
            return
        data = _ENCODER.encode(hints)
        for host in hosts:
            self._transport.sendto(data, (host, port))

    def close(self) -> None:
        """Close the link."""
        if self._transport is not None:
            self._transport.close()
