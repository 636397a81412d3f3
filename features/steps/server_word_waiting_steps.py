"""Steps: what closes a server while a request waits for a connection to it."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from behave import then, when

from features.gateway_support import HOST
from features.steps.server_word_exchange_steps import run, write_entry
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.process.membership.servernotices import NoticeSource
from ramppin.gateway.request.fingerprint import hash_request
from ramppin.gateway.version.routing import Customer
from standins.common import wait_for

BODY = b"plan our rehearsals"


class SlowPool:
    """Keeps requests waiting for a connection until it is told to let them go."""

    def __init__(self, gateway) -> None:
        self._acquire = gateway.context.pool.acquire
        self._go = asyncio.Event()
        self.asked: list[str] = []
        gateway.context.pool.acquire = self.acquire

    async def acquire(self, peer: str, *args, **options):
        self.asked.append(peer)
        connection = await self._acquire(peer, *args, **options)
        await self._go.wait()
        return connection

    async def wait_for_request(self) -> str:
        """Return the id of the server to which the first request is to be sent."""
        await wait_for(lambda: self.asked, "a request waits")
        return self.asked[0]

    def let_go(self) -> None:
        self._go.set()


async def ask_while_waiting(context, path: str, happen) -> None:
    fixture = context.fixture
    context.pool = SlowPool(fixture.gateway)
    asking = asyncio.ensure_future(fixture.ask(path, body=BODY))
    context.chosen = await context.pool.wait_for_request()
    await happen(context.chosen)
    context.pool.let_go()
    context.answer = await asking


@when('a request to "{path}" waits for a connection, and its server {word} meanwhile')
def step_word_meanwhile(context, path, word):
    fixture, now = context.fixture, context.loop.time()
    directory = fixture.gateway.context.directory

    async def happen(name: str) -> None:
        if word == "says that it leaves":
            directory.notices.note_leaving(name, NoticeSource.ANSWER, now)
        elif word == "asks for rest":
            directory.notices.note_backoff(name, 5.0, now)
        elif word == "says in its entry that it leaves":
            await write_entry(context, name, draining=True)
        elif word == "vanishes":
            fixture.servers.put(name, None)
            await wait_for(lambda: directory.find(name) is None, "it is gone")
        else:
            assert word == "stands in an emptied domain", word
            state = directory.find(name)
            state.server = replace(state.server, failure_domain="faro")
            directory.evacuations.begin("faro", 1, now)

    run(context, ask_while_waiting(context, path, happen))


@then("it is served by another server, and its own gets nothing")
def step_served_elsewhere(context):
    backend = context.fixture.backends[context.chosen]
    assert context.answer.status == 200, context.answer.data
    assert not backend.received
    assert backend.connections == 1


@when(
    'a request to "{path}" waits for a connection, and three servers end under copies '
    "of it"
)
def step_ends_meanwhile(context, path):
    headers = [(b"host", HOST.encode())]
    request = CallerRequest(b"POST", path.encode(), headers, BODY)
    fingerprint = hash_request(request, Customer("choir"))
    quarantine, now = context.fixture.gateway.context.quarantine, context.loop.time()

    async def happen(name: str) -> None:
        for n in range(3):
            at = now - 10 + n
            quarantine.note_lost(fingerprint, f"s-{n}", at, at + 0.9)
            quarantine.note_server_ended(f"s-{n}")

    run(context, ask_while_waiting(context, path, happen))


@then('a server gets nothing, and it is refused by the rule "{rule}"')
def step_not_sent(context, rule):
    assert not context.fixture.list_received()
    assert context.answer.status == 503, context.answer.data
    explanations = context.fixture.gateway.context.explanations
    assert explanations.find("a1")[-1]["rule"] == rule
