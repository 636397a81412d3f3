"""Steps about whole answers."""

from __future__ import annotations

import asyncio
import json

import aiohttp
from behave import then, when

from features.support import Caller, read_events
from standins.common import wait_for
from standins.demo import make_key
from standins.engine import compute_answer

MESSAGES = [{"role": "user", "content": "Summarise the repertoire notes"}]


def wanted(count: int, messages=MESSAGES) -> str:
    return "".join(compute_answer(messages, count))


@when("{count:d} callers chat at once through all VMs")
def step_many(context, count):
    fleet = context.fleet

    async def ask(number):
        messages = [{"role": "user", "content": f"question {number}"}]
        vm = f"vm-{number % len(fleet.routers) + 1}"
        answer = await Caller().chat(
            fleet.get_caller_url(vm), messages, stream=bool(number % 2), max_tokens=8
        )
        if number % 2:
            return messages, *read_events(answer.body)[::2]
        content = answer.json()["choices"][0]["message"]["content"]
        return messages, content, answer.whole

    async def ask_all():
        return await asyncio.gather(*(ask(number) for number in range(count)))

    context.got = context.loop.run_until_complete(ask_all())


@then("each got the whole answer to its own request")
def step_each(context):
    for messages, text, whole in context.got:
        assert whole
        assert text == wanted(8, messages), text


@when("the engine breaks its answers off after {parts:d} parts")
def step_break(context, parts):
    context.fleet.engines["engine-1"].faults.break_after = parts


@when("a caller asks for a chat, {kind}")
def step_ask(context, kind):
    url = context.fleet.get_caller_url("vm-2")
    context.answer = context.loop.run_until_complete(
        Caller().chat(url, MESSAGES, stream=kind == "streamed", max_tokens=10)
    )


@then("the caller gets the whole answer, resumed by the router")
def step_resumed(context):
    text, _, whole = read_events(context.answer.body)
    assert whole, context.answer
    assert text == wanted(10), text


@then("the caller gets a refusal that says unknown")
def step_unknown(context):
    assert context.answer.status == 502, context.answer
    assert context.answer.outcome == "unknown"
    assert int(context.answer.headers["retry-after"]) >= 1


@when("a caller's stream is underway and the engine is gone")
def step_gone(context):
    fleet = context.fleet

    async def ask():
        url = fleet.get_caller_url("vm-1")
        work = Caller().chat(url, MESSAGES, stream=True, max_tokens=400)
        task = asyncio.create_task(work)
        engine = fleet.engines["engine-1"]
        await wait_for(lambda: engine.history.events, "the stream's start")
        await asyncio.sleep(0.1)
        engine.faults.dead = True
        return await task

    context.answer = context.loop.run_until_complete(ask())


@then("the stream ends with an error event, not as if whole")
def step_error_event(context):
    text, _, whole = read_events(context.answer.body)
    assert not whole
    assert not context.answer.whole
    assert wanted(400).startswith(text)
    assert text
    last = context.answer.body.decode().strip().rsplit("data: ", 1)[1]
    assert json.loads(last)["error"]["outcome"] == "unknown"


@when("a caller's stream of {count:d} tokens through {vm} is cut as {vm2} is killed")
def step_cut(context, count, vm, vm2):
    deployment = context.deployment
    context.count = count

    async def ask():
        url = deployment.caller_url(vm)
        body = {"model": "m", "messages": MESSAGES, "stream": True}
        headers = {"Authorization": "Bearer key-choir"}
        received = b""
        async with aiohttp.ClientSession() as session:
            try:
                async with session.post(
                    f"{url}/v1/chat/completions",
                    json=body | {"max_tokens": count},
                    headers=headers,
                ) as reply:
                    async for part in reply.content.iter_any():
                        received += part
                        if received.count(b"\n\n") >= 5:
                            await deployment.kill(vm)
            except aiohttp.ClientError:
                pass
        return received

    context.first = context.loop.run_until_complete(ask())


@when("the caller resumes through {vm}")
def step_resume(context, vm):
    whole_events = context.first[: context.first.rfind(b"\n\n") + 2]
    text, last_id, whole = read_events(whole_events)
    assert not whole, "the stream was over before the VM was killed"
    url = f"{context.deployment.caller_url(vm)}/v1/chat/completions/resume"
    context.answer = context.loop.run_until_complete(
        Caller().send("GET", url, headers={"Last-Event-ID": last_id})
    )
    context.joined = text + read_events(context.answer.body)[0]


@then("the joined answer equals the whole, byte for byte")
def step_joined(context):
    assert read_events(context.answer.body)[2], context.answer
    assert context.joined == wanted(context.count), context.joined


@when("another customer resumes a caller's stream")
def step_steal(context):
    url = context.fleet.get_caller_url("vm-1")

    async def ask():
        answer = await Caller("choir").chat(url, MESSAGES, stream=True)
        last_id = read_events(answer.body)[1]
        return await Caller("band").send(
            "GET",
            f"{url}/v1/chat/completions/resume",
            headers={"Last-Event-ID": last_id},
        )

    context.answer = context.loop.run_until_complete(ask())


@then('it is refused with "{code}"')
def step_refused(context, code):
    body = context.answer.json()
    found = body.get("code") or body["error"]["code"]
    assert found == code, body
    assert int(context.answer.headers["retry-after"]) >= 1


@when("the plain server breaks its answers off")
def step_break_plain(context):
    for service in context.fleet.services.values():
        service.faults.break_after = 0
        service.faults.lose_answers = 1


@when("the plain server breaks answers without a length off")
def step_break_unframed(context):
    for service in context.fleet.services.values():
        service.faults.cut_unframed = True


@when("a caller fetches the list of halls")
def step_fetch(context):
    url = f"{context.fleet.get_caller_url('vm-1')}/services/booking/halls"
    context.answer = context.loop.run_until_complete(Caller().send("GET", url))


@then("the caller sees that the answer is broken")
def step_broken(context):
    answer = context.answer
    assert not answer.whole or answer.outcome == "unknown", answer


@when("a plain server answers {answer}, {how}")
def step_answer(context, answer, how):
    if "breaks off" in answer:
        step_break_unframed(context)
    headers = {"Idempotency-Key": make_key()} if how == "with a key" else {}
    url = f"{context.fleet.get_caller_url('vm-1')}/services/booking/halls"
    context.answer = context.loop.run_until_complete(
        Caller().send("POST", url, headers=headers)
    )


@then('the answer\'s outcome is "{outcome}"')
def step_outcome(context, outcome):
    assert context.answer.outcome == outcome, context.answer


@when("a plain server's answer sets two cookies, {how}")
def step_cookies(context, how):
    headers = {"Authorization": "Bearer key-choir"}
    if how == "with a key":
        headers["Idempotency-Key"] = make_key()

    async def ask():
        url = f"{context.fleet.get_caller_url('vm-1')}/services/booking/cookies"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, headers=headers) as reply,
        ):
            return reply.headers.getall("Set-Cookie")

    context.cookies = context.loop.run_until_complete(ask())


@then("the caller gets both cookies")
def step_both_cookies(context):
    names = {cookie.split("=")[0] for cookie in context.cookies}
    assert names == {"hall", "band"}, context.cookies
