"""Steps about bad input and strangers."""

from __future__ import annotations

import asyncio
import json
import logging

import aiohttp
import cbor2
from behave import then, when
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, InvalidStatus

from features.support import Caller
from standins.common import wait_for
from standins.fleet import FLEET_KEY, OPERATOR_KEY

EXAMPLES = 40
GENERATED = settings(
    derandomize=True,
    max_examples=EXAMPLES,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
READ_TIMEOUT_S = 15.0

LINES = st.sampled_from(
    [b"GET / HTTP/1.1\r\n", b"POST /v1/chat/completions HTTP/1.1\r\n", b"\r\n"]
)
HEADERS = st.sampled_from(
    [
        b"Content-Length: -1\r\n",
        b"Content-Length: 5\r\nContent-Length: 6\r\n",
        b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"Upgrade: websocket\r\nConnection: Upgrade\r\n",
        b"Host: a\r\nHost: b\r\n",
        b"X: " + b"y" * 70_000 + b"\r\n",
    ]
)
RAW = st.lists(st.one_of(st.binary(max_size=60), LINES, HEADERS), max_size=6)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["model", "messages", "role", "content", "stream", "x"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=8,
)
FRAMES = st.one_of(
    st.binary(max_size=80),
    st.lists(st.integers(-2, 20) | st.text(max_size=5), max_size=8).map(cbor2.dumps),
)
PATCHES = st.dictionaries(
    st.sampled_from(["fleet", "pools", "services", "customers", "x"]),
    JSON.filter(lambda value: value is not None and value != {}),
    min_size=1,
    max_size=2,
)


async def send_raw(port: int, parts: list[bytes]) -> bytes:
    """Send bytes, say that no more come, and return what came back."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(b"".join(parts) + b"\r\n\r\n")
        writer.write_eof()
        return await asyncio.wait_for(reader.read(), READ_TIMEOUT_S)
    except (ConnectionError, BrokenPipeError):
        return b""
    finally:
        writer.close()


async def send_frame(port: int, frame: bytes) -> bytes:
    headers = {"Authorization": f"Bearer {FLEET_KEY}", "Ramppin-VM": "vm-8"}
    headers["Ramppin-Protocol"] = "1"
    uri = f"ws://127.0.0.1:{port}/"
    async with connect(uri, additional_headers=headers, proxy=None) as socket:
        try:
            await socket.send(frame)
            await socket.ping()
            await asyncio.wait_for(socket.recv(), 0.05)
        except (ConnectionClosed, TimeoutError):
            pass
    return b""


async def send_change(context, patch) -> int:
    url = f"{context.fleet.get_operator_url('vm-1')}/settings"
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    version = context.fleet.routers["vm-1"].version
    text = json.dumps({"base": version, "patch": patch}, default=str)
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, data=text, headers=headers) as reply,
    ):
        return reply.status


@when("generated {what} comes in")
def step_generated(context, what):
    router = context.fleet.routers["vm-1"]
    context.replies = []
    ports = {
        "bytes at the callers' port": router.callers.port,
        "bytes at the operators' port": router.operators.port,
        "bytes at the peers' port": router.peer_server.port,
    }

    def run(work):
        context.replies.append(context.loop.run_until_complete(work))

    async def chat(body):
        url = f"{context.fleet.get_caller_url('vm-1')}/v1/chat/completions"
        answer = await Caller().send("POST", url, data=json.dumps(body))
        return answer.status

    if what in ports:

        @GENERATED
        @given(RAW)
        def send(parts):
            run(send_raw(ports[what], parts))

    elif what == "JSON bodies of chats":

        @GENERATED
        @given(JSON)
        def send(body):
            run(chat(body))

    elif what == "changes of the settings":

        @GENERATED
        @given(PATCHES)
        def send(patch):
            run(send_change(context, patch))

    else:

        @GENERATED
        @given(FRAMES)
        def send(frame):
            run(send_frame(router.peer_server.port, frame))

    send()


@then("each got an error or a closed connection")
def step_error(context):
    assert len(context.replies) >= EXAMPLES // 2
    for reply in context.replies:
        if isinstance(reply, int):
            # A merge patch that drops what is not there is a valid change.
            assert 400 <= reply < 500 or reply == 201, reply
        elif reply:
            status = int(reply.split(b" ", 2)[1])
            assert 400 <= status < 500 or status == 200, reply[:200]
            assert b"Traceback" not in reply


@then("nothing hangs, and a chat is served")
def step_served(context):
    router = context.fleet.routers["vm-1"]

    async def serve():
        await wait_for(lambda: not router.context.in_flight, "no request in flight")
        await wait_for(lambda: not router.placer.held, "no place held")
        url = context.fleet.get_caller_url("vm-1")
        return await Caller().chat(url, [{"role": "user", "content": "hello"}])

    answer = context.loop.run_until_complete(serve())
    assert answer.status == 200, answer


async def send_endless(url: str) -> tuple[int, str]:
    host, port = url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        "Authorization: Bearer key-choir\r\nContent-Length: 1000\r\n\r\n{"
    )
    writer.write(head.encode())
    reply = await asyncio.wait_for(reader.read(2000), READ_TIMEOUT_S)
    writer.close()
    return int(reply.split()[1]), reply.decode()


BAD_REQUESTS = {
    "no key": ("GET", "/v1/models", {"headers": {"Authorization": ""}}),
    "another's key in lower case": (
        "GET",
        "/v1/models",
        {"headers": {"Authorization": "Bearer KEY-CHOIR"}},
    ),
    "a deadline that is no time": (
        "GET",
        "/services/booking/x",
        {"headers": {"Ramppin-Deadline": "soon"}},
    ),
    "an unknown path": ("GET", "/v2/nothing", {}),
    "an unknown service": ("GET", "/services/none/x", {}),
    "a method that is not allowed": ("DELETE", "/v1/models", {}),
    "a body that is too large": (
        "POST",
        "/v1/chat/completions",
        {"data": b"x" * 3_000_000},
    ),
}


@when("a caller sends {what}")
def step_bad(context, what):
    url = context.fleet.get_caller_url("vm-1")
    if what == "a body that never ends":
        router = context.fleet.routers["vm-1"]
        router.config = router.config.model_copy(update={"body_timeout_s": 0.3})
        context.got = context.loop.run_until_complete(send_endless(url))
        return
    method, path, options = BAD_REQUESTS[what]
    answer = context.loop.run_until_complete(
        Caller().send(method, url + path, **options)
    )
    context.got = answer.status, answer.body.decode()


@then('it gets {status:d} with "{code}"')
def step_got(context, status, code):
    assert context.got[0] == status, context.got
    assert code in context.got[1], context.got


class Records(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record) -> None:
        self.lines.append(record.getMessage())


@when("a stranger comes to the {port}, {how}")
def step_stranger(context, port, how):
    router = context.fleet.routers["vm-1"]
    context.records = Records()
    logging.getLogger("ramppin").addHandler(context.records)
    keys = {
        "without a key": "",
        "with a caller's key": "Bearer key-choir",
        "with the operators' key": f"Bearer {OPERATOR_KEY}",
        "of another protocol version": f"Bearer {FLEET_KEY}",
    }
    headers = {"Authorization": keys[how], "Ramppin-Protocol": "1"}
    if how == "of another protocol version":
        headers["Ramppin-Protocol"] = "99"

    async def ask_operator():
        url = f"{context.fleet.get_operator_url('vm-1')}/dump"
        async with (
            aiohttp.ClientSession() as session,
            session.get(url, headers=headers) as reply,
        ):
            return reply.status, await reply.text()

    async def open_link():
        uri = f"ws://127.0.0.1:{router.peer_server.port}/"
        try:
            async with connect(uri, additional_headers=headers, proxy=None):
                return 101, ""
        except InvalidStatus as error:
            return error.response.status_code, (error.response.body or b"").decode()

    work = ask_operator() if port == "operators" else open_link()
    context.got = context.loop.run_until_complete(work)


@then("it gets status {status:d} and nothing else")
def step_nothing(context, status):
    assert context.got[0] == status, context.got
    assert "vm-1" not in context.got[1]


@then("the refusal is logged")
def step_logged(context):
    assert any("refused" in line for line in context.records.lines)
    logging.getLogger("ramppin").removeHandler(context.records)
