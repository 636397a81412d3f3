"""Steps: requests under suspicion, through one gateway in this process."""

from __future__ import annotations

import asyncio
import re

from behave import given, then, when

from features.gateway_support import HOST, GatewayFixture, build_tree, encode_request
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.request.fingerprint import hash_request
from ramppin.gateway.version.routing import Customer
from standins.backend import answer_well

BODY = b"plan our rehearsals"
RETRY_AFTER = re.compile(rb"retry-after: ([\d.]+)")


def run(context, work):
    return context.loop.run_until_complete(work)


async def reject(reply) -> None:
    await reply.answer(503, headers=b"Ramppin-Not-Run: yes\r\n", signed=False)


async def reset(reply) -> None:
    reply.reset()


FIRST = {"answer": answer_well, "reject it first": reject, "reset it first": reset}


@given("a gateway before two servers that {do}")
def step_gateway(context, do):
    async def start() -> None:
        fixture = context.fixture = GatewayFixture()
        context.cleanups.append(fixture.stop)
        fixture.publish(build_tree())
        first = FIRST[do]

        async def serve(reply) -> None:
            script = first if len(fixture.list_received()) == 1 else answer_well
            await script(reply)

        for name in ("i-1", "i-2"):
            backend = await fixture.add_backend(name, "plain")
            backend.script = serve
        await fixture.start()
        await fixture.wait_until_ready(2)

    run(context, start())


def lose(quarantine, fingerprint: int, count: int, now: float) -> None:
    for n in range(count):
        at = now - count + n
        quarantine.note_lost(fingerprint, f"s-{n}", at, at + 0.9)
        quarantine.note_server_ended(f"s-{n}")


@when("a request that is {known} is sent")
def step_send(context, known):
    headers = [(b"host", HOST.encode())]
    request = CallerRequest(b"POST", b"/again/x", headers, BODY)
    fingerprint = hash_request(request, Customer("choir"))
    quarantine, now = context.fixture.gateway.context.quarantine, context.loop.time()
    if known.startswith("served before"):
        quarantine.note_served(fingerprint, now - 5)
    if known != "not known":
        lose(quarantine, fingerprint, 3 if known == "refused" else 1, now)

    async def ask():
        caller = await context.fixture.connect()
        await caller.send(encode_request("/again/x", body=BODY))
        return await caller.read()

    context.answer = run(context, asyncio.wait_for(ask(), 20))


@then("its caller gets {status:d}, {pause}, and {reached:d} servers were reached")
def step_gets(context, status, pause, reached):
    answer = context.answer
    assert answer.status == status, answer.data
    found = RETRY_AFTER.search(answer.head)
    if pause == "no time":
        assert found is None, answer.head
    else:
        assert found is not None, answer.head
        assert float(found[1]) >= 50.0, answer.head
    assert len(context.fixture.list_received()) == reached
