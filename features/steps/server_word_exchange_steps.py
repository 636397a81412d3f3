"""Steps: what servers say in their answers, through one gateway in this process."""

from __future__ import annotations

import asyncio
import json
import re
import time
from functools import partial

from behave import given, then, when

from features.gateway_support import (
    GatewayFixture,
    RawCaller,
    build_tree,
    encode_request,
    read_names,
)
from ramppin.gateway.process.limits.retrybudget import RetryRules
from standins.backend import answer_well
from standins.common import wait_for

LEAVES = b"Ramppin-Leaving: 1\r\n"
NOT_RUN = b"Ramppin-Not-Run: yes\r\n"
RETRY_AFTER = re.compile(rb"retry-after: ([\d.]+)")
SERVICES = {"p": "plain", "m": "model"}

AT_ONCE_S = 0.1
"""Seconds within which a refusal must come; nothing is waited for."""


def run(context, work):
    return context.loop.run_until_complete(asyncio.wait_for(work, 60))


def is_stream(path: str) -> bool:
    return path in ("/stream/", "/resume/")


async def answer_events(reply, headers: bytes = b"") -> None:
    head = reply.head(200, b"Content-Type: text/event-stream\r\n" + headers)
    await reply.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
    await reply.send_chunk(b"id: 1\ndata: x\n\n")
    await reply.send_chunk(b"")


def restore(fixture) -> None:
    """Let all servers answer well, without a word of themselves."""
    for name, backend in fixture.backends.items():
        backend.script = answer_events if name.startswith("m") else answer_well


@given('a gateway before {count:d} servers of "plain" and {others:d} of "model"')
def step_gateway(context, count, others):
    async def start() -> None:
        fixture = context.fixture = GatewayFixture()
        context.cleanups.append(fixture.stop)
        fixture.publish(build_tree())
        names = [f"p{n + 1}" for n in range(count)]
        names += [f"m{n + 1}" for n in range(others)]
        for name in names:
            await fixture.add_backend(name, SERVICES[name[0]])
        restore(fixture)
        await fixture.start()
        await fixture.wait_until_ready(len(names))

    run(context, start())


async def ask_until_said(context, path: str, names: list[str]) -> None:
    """Send requests until each of some servers has answered one."""
    fixture = context.fixture
    for number in range(200):
        if all(fixture.backends[name].received for name in names):
            break
        parts = {"Ramppin-Prompt-Parts": f"{number + 16:x}:500,bb:9"}
        await fixture.ask(path, headers=parts if is_stream(path) else None)
    first = {name: fixture.backends[name].received[0].headers for name in names}
    context.said = {
        name: headers.get(b"ramppin-prompt-parts", b"").decode()
        for name, headers in first.items()
    }
    restore(fixture)
    for backend in fixture.backends.values():
        backend.received.clear()


async def ask_for_rest(status: int, headers: bytes, reply) -> None:
    await reply.answer(status, headers=headers)


@when('the servers "{names}" ask for {rest} s of rest by {status:d} {mark}')
def step_ask_for_rest(context, names, rest, status, mark):
    headers = b"Retry-After: %b\r\n" % rest.encode()
    headers += NOT_RUN if mark == "not run" else b""
    for name in names.split():
        backend = context.fixture.backends[name]
        backend.script = partial(ask_for_rest, status, headers)
    context.rested_at = context.loop.time()
    run(context, ask_until_said(context, "/again/", names.split()))


@then(
    'after the rest of {rest:g} s some of {count:d} requests to "{path}" reach "{name}"'
)
def step_after_rest(context, rest, count, path, name):
    async def wait() -> None:
        directory = context.fixture.gateway.context.directory
        notices = directory.find_newest(name).notices
        await wait_for(
            lambda: notices.find_backoff_end(context.loop.time()) is None,
            "back-off over",
        )
        assert context.loop.time() >= context.rested_at + rest

    run(context, wait())
    run(context, ask_many(context, path, count))
    assert context.fixture.backends[name].received


async def say(status: int, headers: bytes, reply) -> None:
    if status == 200 and b"prompt" in b"".join(reply.request.headers):
        await answer_events(reply, headers)
        return
    if status in (421, 503):
        headers += NOT_RUN
    await reply.answer(status, headers=headers)


@when('the servers "{names}" say in an answer {status:d} to "{path}" that they leave')
def step_leave(context, names, status, path):
    for name in names.split():
        backend = context.fixture.backends[name]
        backend.script = partial(say, status, LEAVES)
    run(context, ask_until_said(context, path, names.split()))


@when('the head of a stream of "{name}" says that it leaves, and the stream goes on')
def step_stream(context, name):
    ended = asyncio.Event()

    async def stream(reply) -> None:
        head = reply.head(200, b"Content-Type: text/event-stream\r\n" + LEAVES)
        await reply.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
        await reply.send_chunk(b"id: 1\ndata: x\n\n")
        await ended.wait()
        await reply.send_chunk(b"")

    async def ask() -> None:
        fixture = context.fixture
        fixture.backends[name].script = stream
        for number in range(200):
            caller = await fixture.connect()
            parts = {"Ramppin-Prompt-Parts": f"{number + 16:x}:500,bb:9"}
            await caller.send(encode_request("/stream/", headers=parts))
            await caller.reader.readuntil(b"data: x")
            if fixture.backends[name].received:
                break
        restore(fixture)
        for backend in fixture.backends.values():
            backend.received.clear()

    context.stream_ends = ended
    run(context, ask())


@when('the entry of "{name}" says ready once more')
def step_ready(context, name):
    run(context, write_entry(context, name, slots=9))


@when('the entry of "{name}" vanishes and comes back')
def step_vanish(context, name):
    async def vanish() -> None:
        directory = context.fixture.gateway.context.directory
        context.fixture.servers.put(name, None)
        await wait_for(lambda: directory.find_newest(name) is None, "it is gone")
        await write_entry(context, name)

    run(context, vanish())


@when('the entry of "{name}" tells a later start')
def step_later(context, name):
    later_ms = int(time.time() * 1000) + 1000
    run(context, write_entry(context, name, started_ms=later_ms))


async def write_entry(context, name: str, **node) -> None:
    """Write a server's entry, and wait until the gateway has taken it."""
    fixture = context.fixture
    fixture.announce(name, SERVICES[name[0]], **node)
    directory, end = fixture.gateway.context.directory, fixture.servers.end
    position = fixture.gateway.tables.servers
    await wait_for(lambda: position.position >= end, "the entry is read")
    assert directory.find_newest(name) is not None


async def ask_many(context, path: str, count: int) -> list[int]:
    statuses = []
    for number in range(count):
        parts = {"Ramppin-Prompt-Parts": f"{number + 16:x}:500,bb:9"}
        headers = parts if is_stream(path) else None
        answer = await context.fixture.ask(path, headers=headers)
        statuses.append(answer.status)
    return statuses


@then('of {count:d} requests to "{path}" none reaches "{names}", and all are served')
def step_none(context, count, path, names):
    statuses = run(context, ask_many(context, path, count))
    assert statuses == [200] * count, statuses
    for name in names.split():
        received = context.fixture.backends[name].received
        assert not received, (name, len(received))


@then('of {count:d} requests to "{path}" some reach "{name}"')
def step_some(context, count, path, name):
    # Long enough for an ejection to end: another server answered at its address.
    run(context, asyncio.sleep(0.6))
    run(context, ask_many(context, path, count))
    assert context.fixture.backends[name].received


@then(
    'a request to "{path}" is refused at once by the rule "{rule}", to come back in '
    "{least:g} to {most:g} s"
)
def step_refused(context, path, rule, least, most):
    async def ask():
        begin = context.loop.time()
        answer = await context.fixture.ask(path)
        return answer, context.loop.time() - begin

    answer, took_s = run(context, ask())
    assert answer.status == 503, answer.data
    assert took_s < AT_ONCE_S, took_s
    pause_s = float(RETRY_AFTER.search(answer.head)[1])
    assert least <= pause_s <= most, (pause_s, context.answer.head)
    assert not context.fixture.list_received()
    explanations = context.fixture.gateway.context.explanations
    [found] = explanations.find("a1")[-1:]
    assert found["rule"] == rule, json.dumps(found)


@then('the next prompt of the same prefix is copied from "{name}"')
def step_copied(context, name):
    parts = {"Ramppin-Prompt-Parts": context.said[name]}
    run(context, context.fixture.ask("/stream/", headers=parts))
    [received] = context.fixture.list_received()
    address = f"127.0.0.1:{context.fixture.backends[name].port}"
    assert received.headers.get(b"ramppin-copy-prefix-from") == address.encode()


@given('two other VMs were asked for {rest:g} s of rest by "{names}"')
def step_others_asked(context, rest, names):
    directory, now = context.fixture.gateway.context.directory, context.loop.time()
    for name in read_names(names):
        for vm in ("vm-2", "vm-3"):
            directory.find(name).shedding.note_peer_backoff(vm, now + rest, now)


@when('a request to "{path}" is sent while "{names}" turn all away')
def step_all_away(context, path, names):
    for name in names.split():
        headers = b"Retry-After: 3.0\r\n" + NOT_RUN
        context.fixture.backends[name].script = partial(ask_for_rest, 503, headers)
    budget = context.fixture.gateway.context.retry_budget
    budget.replace_rules(RetryRules(extra=10))
    context.answer = run(context, context.fixture.ask(path))


@then(
    'it reached {count:d} servers and got 503 by the rule "{rule}", to come back in '
    "{least:g} to {most:g} s"
)
def step_reached(context, count, rule, least, most):
    found = context.fixture.gateway.context.explanations.find("a1")
    assert len(context.fixture.list_received()) == count, found
    assert context.answer.status == 503, context.answer.data
    pause_s = float(RETRY_AFTER.search(context.answer.head)[1])
    assert least <= pause_s <= most, (pause_s, context.answer.head)
    assert found[-1]["rule"] == rule, found[-1]


@when('"{name}" answers 503 to "/once/", and that it wants {rest} s of rest')
def step_relayed(context, name, rest):
    async def ask() -> None:
        fixture = context.fixture
        headers = b"Retry-After: %b\r\n" % rest.encode()
        fixture.backends[name].script = partial(ask_for_rest, 503, headers)
        while not fixture.backends[name].received:
            context.answer = await fixture.ask("/once/")

    run(context, ask())


@when(
    'the servers "{names}" answer 503 to "/again/", and that they want {rest} s of rest'
)
def step_all_relayed(context, names, rest):
    fixture = context.fixture
    headers = b"Retry-After: %b\r\n" % rest.encode()
    for name in names.split():
        fixture.backends[name].script = partial(ask_for_rest, 503, headers)
    context.answer = run(context, fixture.ask("/again/"))
    # The one that was not tried is open.
    assert len(fixture.list_received()) == len(names.split()) - 1


@then("its caller got {status:d} and was told no time to come back")
def step_told_none(context, status):
    assert context.answer.status == status, context.answer.data
    assert not RETRY_AFTER.findall(context.answer.head), context.answer.data


@then("its caller was told one time to come back, of {most:g} s at most")
def step_told_once(context, most):
    assert context.answer.status == 503, context.answer.data
    [pause_s] = RETRY_AFTER.findall(context.answer.head)
    assert float(pause_s) <= most, pause_s


@when('a request "{name}" is sent to "{path}"')
def step_named(context, name, path):
    answer = run(context, context.fixture.ask(path, request_id=name))
    assert answer.status == 200, answer.data


async def ask_operations(gateway, target: str) -> str:
    """Return what the gateway answers to an operator."""
    caller = await RawCaller(gateway.operations_port).open()
    await caller.send(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    answer = await caller.read()
    caller.close()
    return answer.body.decode()


@then('"{name}" names "{closed}" as closed, and so do "/dump" and "/metrics"')
def step_shown(context, name, closed):
    gateway = context.fixture.gateway
    expected = closed.split()
    [found] = gateway.context.explanations.find(name)
    assert list(found["closed"]) == expected, found
    dump = json.loads(run(context, ask_operations(gateway, "/dump")))
    shown = {s["id"]: s["closed"] for s in dump["servers"] if s["closed"]}
    assert [f"{reason}:{name}" for name, reason in shown.items()] == expected, shown
    metrics = run(context, ask_operations(gateway, "/metrics"))
    for reason in ("leaving", "resting"):
        line = f'closed_servers{{reason="{reason}",service="plain"}} 1.0'
        assert line in metrics, metrics


@given('{count:d} more servers of "{service}", and "{last}" is the last to be chosen')
def step_more(context, count, service, last):
    async def add() -> None:
        fixture = context.fixture
        begin = len([name for name in fixture.backends if name.startswith("p")])
        for number in range(begin, begin + count):
            await fixture.add_backend(f"p{number + 1}", service)
        await fixture.wait_until_ready(len(fixture.backends))
        state = fixture.gateway.context.directory.find(last)
        state.health.ejected_until = context.loop.time() + 60.0

    run(context, add())


@then("it is served")
def step_served(context):
    explanations = context.fixture.gateway.context.explanations
    assert context.answer.status == 200, explanations.find("a1")[-1]
