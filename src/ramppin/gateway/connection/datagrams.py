"""UDP datagrams between VMs: hints about prefix homes, loads, failures and demand.

Delivery is not guaranteed. Messages are MessagePack arrays, encoded by msgspec, in
place of CBOR over WebSockets: a hint needs no connection, and msgspec validates each
message against its type while decoding.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

import msgspec

LOG = logging.getLogger(__name__)


REQUIRED_FIELDS = 11
"""Fields of a message that are always encoded; the others are left out while empty."""

USUAL_SPEED = 100
"""Speed figure of a server at its usual speed, in percent."""


class HomeHint(msgspec.Struct, array_like=True, frozen=True):
    """The home of a prefix: its key, the backend server, and the age in ms."""

    key: int
    server: str
    age_ms: int


class FailureHint(msgspec.Struct, array_like=True, frozen=True):
    """A backend server and the number of requests it failed since the last message."""

    server: str
    count: int


class LoadHint(msgspec.Struct, array_like=True, frozen=True):
    """A backend server, the requests in its load report, and the report's age in ms.

    Attributes:
        server: the server's id.
        requests: number of requests that it held.
        age_ms: age of the report.
        speed: how long work took there, in percent of the usual time. Left out of the
            message where it is 100.
    """

    server: str
    requests: int
    age_ms: int
    speed: int = USUAL_SPEED


class _SpeedlessLoadHint(msgspec.Struct, array_like=True, frozen=True):
    """A :class:`LoadHint` without its last element; msgspec leaves out none itself."""

    server: str
    requests: int
    age_ms: int


class WaitHint(msgspec.Struct, array_like=True, frozen=True):
    """A backend server and the number of the sender's requests overdue there."""

    server: str
    count: int


class EndHint(msgspec.Struct, array_like=True, frozen=True):
    """A backend server that terminated while it held a request.

    Attributes:
        server: the server's id.
        age_ms: time since it terminated.
        held_ms: time from sending the request until the server terminated.
    """

    server: str
    age_ms: int
    held_ms: int


class SuspectHint(msgspec.Struct, array_like=True, frozen=True):
    """The sender's record of a request, or prompt part, for which servers terminated.

    Attributes:
        fingerprint: identifies the request or the part.
        ends: terminations of servers since it last succeeded.
        count: consecutive terminations, as counted by the sender.
        cleared: servers whose termination no longer counts, because it succeeded
            afterwards.
        was_served: whether it is known to have succeeded before.
        tried_age_ms: time since a request was admitted on trial; None if none was.
        part: id of the prompt part; empty for a whole request.
    """

    fingerprint: int
    ends: list[EndHint] = []
    count: int = 0
    cleared: list[str] = []
    was_served: bool = False
    tried_age_ms: int | None = None
    part: str = ""


class LeavingHint(msgspec.Struct, array_like=True, frozen=True):
    """A backend server that announced in an answer that it is leaving; age in ms."""

    server: str
    age_ms: int


class BackoffHint(msgspec.Struct, array_like=True, frozen=True):
    """A backend server that asked the sender for a back-off; remaining time in ms."""

    server: str
    remaining_ms: int


class DemandHint(msgspec.Struct, array_like=True, frozen=True):
    """The sender's demand for a service.

    Attributes:
        service: the service's name.
        running: requests that the sender has in flight at the service's servers.
        waiting: requests that wait at the sender, by rank.
    """

    service: str
    running: int
    waiting: list[int]


class BrittleHint(msgspec.Struct, array_like=True, frozen=True):
    """A service whose servers state that they are brittle.

    Attributes:
        service: the service's name.
        tolerance: rejections a second that one of its servers tolerates.
        age_ms: time since the statement.
    """

    service: str
    tolerance: int
    age_ms: int


class OriginHint(msgspec.Struct, array_like=True, frozen=True):
    """Where a stream began.

    Attributes:
        key: the stream's key.
        service: the service; empty in the answer of a VM without the origin.
        build: version of the software of the server that began it.
    """

    key: int
    service: str = ""
    build: str = ""


class BuildHint(msgspec.Struct, array_like=True, frozen=True):
    """The one build that a service's servers have had lately, as the sender holds."""

    service: str
    build: str


class PeerHints(msgspec.Struct, array_like=True, frozen=True):
    """The content of one datagram.

    Fields are encoded by position: append new ones at the end, with a default.

    Attributes:
        vm: the sending VM.
        homes: homes of prefixes.
        log_up: whether the shared log is reachable from the sender.
        failures: failures of the sender's requests, by server.
        loads: loads of the servers that answered the sender's requests.
        waits: overdue requests of the sender by server; 0 once none is overdue.
        hot: keys of prefixes that need more servers than their home.
        suspects: requests and prompt parts for which servers terminated, or that
            succeeded since.
        quarantine_digest: digest of all requests and parts that the sender refuses.
        leaving: servers that announced in answers that they are leaving.
        backoffs: servers that asked the sender for a back-off.
        demands: the sender's demand for services; left out of the encoding if empty.
        unreachable: services whose backend servers the sender does not reach; left out
            of the encoding if empty.
        brittle: services whose servers are brittle; left out if empty.
        mixed: services that have, or lately had, servers of several builds; left out
            if empty.
        origins: where streams began; left out if empty.
        asked_streams: keys of streams whose origin the sender queries; left out if
            empty.
        asked_services: services whose only build the sender queries; left out if
            empty.
        only_builds: answers to that, for services that certainly had one build; left
            out if empty.
        intended: where streams will begin unless the attempt fails, for the VM that
            records them; left out if empty.
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
    demands: list[DemandHint] = []
    unreachable: list[str] = []
    brittle: list[BrittleHint] = []
    mixed: list[str] = []
    origins: list[OriginHint] = []
    asked_streams: list[int] = []
    asked_services: list[str] = []
    only_builds: list[BuildHint] = []
    intended: list[OriginHint] = []


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerHints)


def encode_hints(hints: PeerHints) -> bytes:
    """Return the datagram of hints.

    Values that few VMs need are left out at the end, so that the bytes are the same as
    those of versions without them: the usual speed of a server, the demands, which only
    VMs with overload control send, services that the sender does not reach, brittle
    ones, and what concerns servers of several builds.
    """
    if hints.loads:
        loads = [
            _SpeedlessLoadHint(hint.server, hint.requests, hint.age_ms)
            if hint.speed == USUAL_SPEED
            else hint
            for hint in hints.loads
        ]
        hints = msgspec.structs.replace(hints, loads=cast(list[LoadHint], loads))
    fields = msgspec.structs.astuple(hints)
    end = len(fields)
    while end > REQUIRED_FIELDS and not fields[end - 1]:
        end -= 1
    return _ENCODER.encode(fields[:end])


class DatagramLink(asyncio.DatagramProtocol):
    """A UDP endpoint that exchanges hints with other VMs.

    Args:
        on_message: called with each decoded message and its source IP address.

    .. versionadded:: 0.2
    """

    def __init__(self, on_message: Callable[[PeerHints, str], None]) -> None:
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def port(self) -> int:
        """The local UDP port."""
        assert self._transport is not None
        return int(self._transport.get_extra_info("sockname")[1])

    @classmethod
    async def open(
        cls, host: str, port: int, on_message: Callable[[PeerHints, str], None]
    ) -> DatagramLink:
        """Bind an endpoint to a local address."""
        loop = asyncio.get_running_loop()
        _, link = await loop.create_datagram_endpoint(
            lambda: cls(on_message), local_addr=(host, port)
        )
        return link

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # In Python 3.11 the transport does not derive from DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a message; drop datagrams that can't be decoded."""
        try:
            hints = _DECODER.decode(data)
        except msgspec.MsgspecError:
            LOG.info("malformed datagram dropped", extra={"peer": addr[0]})
            return
        self._on_message(hints, addr[0])

    def error_received(self, exc: Exception) -> None:
        """Log a network error; the datagram is not sent again."""
        LOG.info("datagram not delivered: %s", exc, extra={"step": "hints"})

    def send(self, hints: PeerHints, hosts: list[str], port: int) -> None:
        """Send a message to each host; do nothing once the endpoint is closed."""
        if self._transport is None or self._transport.is_closing():
            return
        data = encode_hints(hints)
        for host in hosts:
            self._transport.sendto(data, (host, port))

    def close(self) -> None:
        """Close the endpoint."""
        if self._transport is not None:
            self._transport.close()
