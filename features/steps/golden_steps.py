"""Steps that compare whole sessions with golden files."""

from __future__ import annotations

import asyncio
import os
import re
from pathlib import Path

import aiohttp
from behave import then, when

from features.support import Caller
from standins.common import wait_for
from standins.demo import make_key
from standins.fleet import OPERATOR_KEY

GOLDEN = Path("features/golden")
SHOWN_HEADERS = (
    "ramppin-outcome",
    "ramppin-version",
    "ramppin-request-id",
    "ramppin-backend-server",
    "retry-after",
    "content-type",
)
PATTERNS = (
    (re.compile(r"vm-(\d+)\.[0-9a-f]+\.[0-9a-f]+"), r"vm-\1.RUN.N"),
    (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS"),
    (re.compile(r"/[0-9a-f]{20}(?=[\n\"])"), "/SIGNATURE"),
    (re.compile(r"\b[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f-]{22}\b"), "KEY"),
    (re.compile(r"\"at_s\": ?[0-9.e-]+"), '"at_s": TIME'),
    (re.compile(r"waited [0-9.]+ s"), "waited TIME s"),
    (re.compile(r"owned by vm-\d+"), "owned by VM"),
    (re.compile(r"\"peer\": ?\"vm-\d+\""), '"peer": "VM"'),
    (re.compile(r"held by vm-\d+ at offset \d+"), "held by VM at offset N"),
    (re.compile(r"[0-9a-f]{64}"), "SHA256"),
    (re.compile(r"\"run\": ?\"server-\d+-\d+\""), '"run": "SERVER-RUN"'),
    (re.compile(r"(?<=ramppin-backend-server: )server-\d+"), "SERVER"),
    (re.compile(r"server-\d+"), "SERVER"),
)


class Session:
    """Records what was asked and answered, normalised for ids and times."""

    def __init__(self, fleet) -> None:
        self.fleet = fleet
        self.lines: list[str] = []

    def add(self, line: str) -> None:
        for pattern, replacement in PATTERNS:
            line = pattern.sub(replacement, line)
        self.lines.append(line)

    async def ask(self, vm: str, method: str, path: str, **options):
        answer = await Caller().send(
            method, self.fleet.get_caller_url(vm) + path, **options
        )
        self.add(f"> {method} {path} through {vm}")
        self.add(f"< {answer.status}")
        for name in SHOWN_HEADERS:
            if name in answer.headers:
                self.add(f"< {name}: {answer.headers[name]}")
        self.add(answer.body.decode().rstrip())
        self.add("")
        return answer

    async def ask_operator(self, vm: str, method: str, path: str, body=None):
        url = self.fleet.get_operator_url(vm) + path
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.request(method, url, json=body) as reply,
        ):
            text = await reply.text()
            self.add(f"> {method} {path} by an operator through {vm}")
            self.add(f"< {reply.status}")
            self.add(text.rstrip())
            self.add("")
            return text


async def play_chat(session: Session) -> None:
    messages = [{"role": "user", "content": "Plan our rehearsals"}]
    for number, vm in enumerate(("vm-1", "vm-2", "vm-1")):
        body = {"model": "m", "messages": messages, "max_tokens": 3}
        stream = number == 2
        answer = await session.ask(
            vm, "POST", "/v1/chat/completions", json=body | {"stream": stream}
        )
        if not stream:
            reply = answer.json()["choices"][0]["message"]
            again = {"role": "user", "content": f"and then {number}"}
            messages = [*messages, reply, again]


async def play_booking(session: Session) -> None:
    key = make_key()
    for vm in ("vm-1", "vm-2", "vm-1"):
        await session.ask(
            vm,
            "POST",
            "/services/booking/bookings?hall=A",
            data=b"hall A",
            headers={"Idempotency-Key": key},
        )
    await session.ask(
        "vm-2",
        "POST",
        "/services/booking/bookings?hall=A",
        data=b"hall B",
        headers={"Idempotency-Key": key},
    )


async def play_race(session: Session) -> None:
    for vm, weight in (("vm-1", 2), ("vm-2", 3)):
        patch = {"customers": {"band": {"rules": {"weight": weight}}}}
        body = {"base": 0, "author": f"operator of {vm}", "nonce": vm, "patch": patch}
        await session.ask_operator(vm, "POST", "/settings", body)
    bad = {"base": 1, "nonce": "bad", "patch": {"fleet": {"bound": 0}}}
    await session.ask_operator("vm-1", "POST", "/settings", bad)
    again = {"base": 0, "author": "again", "nonce": "vm-1", "patch": {}}
    await session.ask_operator("vm-2", "POST", "/settings", again)
    routers = session.fleet.routers.values()
    await wait_for(
        lambda: all(r.history.next_offset == 4 for r in routers), "records read"
    )
    await session.ask_operator("vm-2", "GET", "/settings/history")


async def play_drain(session: Session) -> None:
    await session.ask("vm-1", "GET", "/readyz")
    await session.ask_operator("vm-1", "POST", "/drain")
    await session.ask("vm-1", "GET", "/readyz")
    body = {"model": "m", "messages": [{"role": "user", "content": "still here?"}]}
    await session.ask("vm-1", "POST", "/v1/chat/completions", json=body)
    await session.fleet.routers["vm-1"].stopped.wait()
    await session.ask("vm-2", "POST", "/v1/chat/completions", json=body)


async def play_explain(session: Session) -> None:
    body = {"model": "m", "messages": [{"role": "user", "content": "why?"}]}
    answer = await session.ask("vm-1", "POST", "/v1/chat/completions", json=body)
    request_id = answer.headers["ramppin-request-id"]
    await session.ask_operator("vm-2", "GET", f"/explain/{request_id}")
    await session.ask_operator("vm-2", "GET", "/explain/nonsense")
    await session.ask_operator("vm-2", "GET", f"/explain/{request_id}ff")


SESSIONS = {
    "a chat that returns": play_chat,
    "a booking repeated through another VM": play_booking,
    "a settings race": play_race,
    "a drain": play_drain,
    "an explanation through another VM": play_explain,
}


@when("the session is played: {name}")
def step_play(context, name):
    session = Session(context.fleet)
    context.loop.run_until_complete(
        asyncio.wait_for(SESSIONS[name](session), 60),
    )
    context.session_text = "\n".join(session.lines) + "\n"


@then("it is as in the golden file {name}")
def step_golden(context, name):
    path = GOLDEN / f"{name}.txt"
    if os.environ.get("RAMPPIN_WRITE_GOLDEN"):
        path.write_text(context.session_text)
    assert context.session_text == path.read_text(), context.session_text
