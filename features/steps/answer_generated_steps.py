"""Steps: generated answers, cut anywhere, between a server's and a caller's connection.

Both connections are the product's, over transports in memory. ``RAMPPIN_EXAMPLES`` sets
how many answers are generated.
"""

from __future__ import annotations

import asyncio
import os
import re
from dataclasses import dataclass

from behave import then
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from features.gateway_support import RawAnswer
from ramppin.gateway.connection.callerwire import (
    CallerConnection,
    ListenerState,
    Responder,
)
from ramppin.gateway.connection.httpwire import HeaderNames, encode_chunk
from ramppin.gateway.connection.upstream import UpstreamConnection
from ramppin.gateway.process.routing.serverstate import BackendServer, ServerState
from ramppin.gateway.request.attempt import Attempt
from ramppin.gateway.request.destination import ServerDestination
from ramppin.gateway.request.result import AttemptEnd

EXAMPLES = int(os.environ.get("RAMPPIN_EXAMPLES", "300"))
NAMES = HeaderNames()
REQUEST_ID = b"g1"
LAST_CHUNK = b"0\r\n\r\n"
BLANK_LINES = re.compile(rb"(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)")

LINE_ENDS = st.sampled_from([b"\n", b"\r\n", b"\r"])
LINES = st.sampled_from([b"data: x", b"id: 7", b": comment", b"retry", b"data:"])


@st.composite
def draw_stream(draw) -> bytes:
    """Return a whole stream of events with line ends of all kinds."""
    stream = draw(st.sampled_from([b"", b"\xef\xbb\xbf"]))
    for _ in range(draw(st.integers(1, 4))):
        for line in draw(st.lists(LINES, min_size=1, max_size=3)):
            stream += line + draw(LINE_ENDS)
        # A CR before an LF would be one line end.
        end = draw(LINE_ENDS)
        stream += b"\n\n" if stream.endswith(b"\r") and end == b"\n" else end
    return stream


@dataclass(frozen=True)
class Case:
    """A server's answer and how much of it arrives."""

    streams: bool
    resumable: bool
    protocol: bytes
    body: bytes
    framing: str
    cut: int
    is_reset: bool
    piece: int

    @property
    def encoded(self) -> bytes:
        """The whole answer."""
        kind = b"Content-Type: text/event-stream\r\n" if self.streams else b""
        head = b"HTTP/1.1 200 OK\r\n%b: %b\r\n%b: s\r\n%b" % (
            NAMES.request_id,
            REQUEST_ID,
            NAMES.signature,
            kind,
        )
        if self.framing == "length":
            return head + b"Content-Length: %d\r\n\r\n" % len(self.body) + self.body
        if self.framing == "close":
            return head + b"\r\n" + self.body
        half = len(self.body) // 2
        chunks = [part for part in (self.body[:half], self.body[half:]) if part]
        coded = b"".join(map(encode_chunk, chunks)) + LAST_CHUNK
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + coded

    @property
    def arrived(self) -> bytes:
        """The part of it that arrives."""
        return self.encoded[: len(self.encoded) - self.cut]

    @property
    def is_confirmed(self) -> bool:
        """Whether the server stated an end that arrived."""
        return self.framing != "close" and self.cut == 0

    @property
    def arrived_body(self) -> bytes:
        """What arrived of the body of an answer that ends with its connection."""
        return self.arrived.partition(b"\r\n\r\n")[2]


@st.composite
def draw_case(draw) -> Case:
    streams = draw(st.booleans())
    body = draw(draw_stream()) if streams else draw(st.binary(min_size=1, max_size=40))
    whole = Case(
        streams,
        streams and draw(st.booleans()),
        draw(st.sampled_from([b"HTTP/1.1", b"HTTP/1.0"])),
        body,
        draw(st.sampled_from(["length", "chunks", "close"])),
        0,
        draw(st.booleans()),
        draw(st.integers(1, 30)),
    )
    cut = draw(st.one_of(st.just(0), st.integers(0, len(whole.encoded))))
    return Case(**(whole.__dict__ | {"cut": cut}))


class MemoryTransport(asyncio.Transport):
    """Keeps what is written, and how it ended."""

    def __init__(self) -> None:
        super().__init__()
        self.data = b""
        self.end = ""

    def write(self, data) -> None:
        self.data += data

    def write_eof(self) -> None:
        self.end = self.end or "close"

    def close(self) -> None:
        self.end = self.end or "close"

    def abort(self) -> None:
        self.end = self.end or "reset"

    def is_closing(self) -> bool:
        return bool(self.end)

    def is_reading(self) -> bool:
        return True

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...

    def get_write_buffer_size(self) -> int:
        return 0


class KeepingResponder(Responder):
    """Keeps the request."""

    def accept_request(self, request) -> None:
        self.request = request

    def accept_disconnect(self) -> None: ...

    def accept_backpressure(self, *, paused: bool) -> None: ...

    def end_request(self) -> None: ...


async def relay(case: Case) -> RawAnswer:
    """Return what the caller gets of an answer."""
    responder = KeepingResponder()
    caller = CallerConnection(ListenerState(), lambda connection: responder)
    to_caller = MemoryTransport()
    caller.connection_made(to_caller)
    caller.data_received(b"POST / %b\r\nContent-Length: 0\r\n\r\n" % case.protocol)
    server = UpstreamConnection("s1")
    to_server = MemoryTransport()
    server.connection_made(to_server)
    state = ServerState(BackendServer("s1", "m", "127.0.0.1", 1))
    attempt = Attempt(
        NAMES,
        caller,
        REQUEST_ID,
        ServerDestination(NAMES, state, note_notice=lambda notice: None),
        previous=None,
        streams=case.streams,
        resumable=case.resumable,
        may_take_over=lambda: False,
    )
    ends_at = asyncio.get_running_loop().time() + 60
    run = asyncio.create_task(attempt.run(server, b"", responder.request, ends_at))
    await asyncio.sleep(0)
    feed(server, to_server, case)
    result = await run
    if result.end is not AttemptEnd.DELIVERED and not attempt.answer_started:
        caller.send_answer(502, [], b"")
    elif result.end is not AttemptEnd.DELIVERED:
        caller.abort()
    closed = bool(to_caller.end)
    return RawAnswer(to_caller.data, closed, to_caller.end == "reset")


def feed(server: UpstreamConnection, transport: MemoryTransport, case: Case) -> None:
    """Let an answer arrive in pieces, and its connection end."""
    data = case.arrived
    for at in range(0, len(data), case.piece):
        if not transport.end:
            server.data_received(data[at : at + case.piece])
    if not transport.end and not case.is_reset:
        server.eof_received()
    server.connection_lost(ConnectionResetError() if case.is_reset else None)


def has_whole_events(body: bytes) -> bool:
    """Return whether a stream ends between two events, by a reading of its own."""
    ends = [match.end() for match in BLANK_LINES.finditer(body)]
    return not body.strip(b"\r\n") or (
        bool(ends) and not body[ends[-1] :].strip(b"\r\n")
    )


def check(case: Case, answer: RawAnswer) -> None:
    """Check what the caller gets."""
    if answer.status == 502:
        assert not case.is_confirmed
        whole_close = case.framing == "close" and not case.cut and not case.is_reset
        assert not whole_close
        return
    assert answer.status == 200, answer.data
    assert case.body.startswith(answer.body), answer.data
    if answer.end == "framed":
        assert case.is_confirmed, answer.data
        assert answer.body == case.body
    elif answer.end == "until close":
        is_open = case.framing == "close" and not case.is_reset
        is_old_caller = case.protocol == b"HTTP/1.0" and case.is_confirmed
        assert is_open or is_old_caller, answer.data
        assert answer.body == (case.body if is_old_caller else case.arrived_body)
        assert not case.streams or has_whole_events(answer.body), answer.data
    else:
        assert not case.is_confirmed, answer.data
        is_whole = case.framing == "close" and not case.cut and not case.is_reset
        assert not is_whole, answer.data


@then("generated answers, cut anywhere, end for their callers as they ended")
def step_generated(context):
    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(draw_case())
    def check_case(case: Case) -> None:
        check(case, context.loop.run_until_complete(relay(case)))

    check_case()
