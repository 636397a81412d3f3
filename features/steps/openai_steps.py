"""Steps with the official OpenAI client."""

from __future__ import annotations

import openai
from behave import given, then, when

from features.support import build_tree, start_fleet
from standins.common import wait_for
from standins.engine import compute_answer
from standins.fleet import FleetOptions

MESSAGES = [{"role": "user", "content": "Draft the calendar"}]


def build_client(context, vm: str, key: str = "key-choir") -> openai.AsyncOpenAI:
    client = openai.AsyncOpenAI(
        api_key=key,
        base_url=f"{context.fleet.get_caller_url(vm)}/v1",
        max_retries=0,
    )
    context.cleanups.append(client.close)
    return client


@given(
    "a fleet of {routers:d} routers before {engines:d} engines "
    "and {servers:d} plain servers"
)
def step_fleet(context, routers, engines, servers):
    tree = build_tree(engines, servers)
    options = FleetOptions(routers=routers)
    context.loop.run_until_complete(start_fleet(context, tree, options))


@when("the OpenAI client asks for a chat through {vm}, {mode}")
def step_chat(context, vm, mode):
    async def ask():
        client = build_client(context, vm)
        if mode == "not streamed":
            done = await client.chat.completions.create(
                model="m", messages=MESSAGES, max_tokens=12
            )
            return done.choices[0].message.content
        stream = await client.chat.completions.create(
            model="m", messages=MESSAGES, max_tokens=12, stream=True
        )
        parts = [chunk.choices[0].delta.content or "" async for chunk in stream]
        return "".join(parts)

    context.answer_text = context.loop.run_until_complete(ask())


@then("it gets the whole answer of {count:d} tokens")
def step_whole(context, count):
    assert context.answer_text == "".join(compute_answer(MESSAGES, count)), context.text


@when("the OpenAI client lists the models through {vm}")
def step_models(context, vm):
    async def ask():
        return [model.id async for model in build_client(context, vm).models.list()]

    context.models = context.loop.run_until_complete(ask())


@then('it gets the models "{models}"')
def step_got_models(context, models):
    assert context.models == models.split(","), context.models


@when("the OpenAI client is refused because of {why}")
def step_refused(context, why):
    key = "wrong" if why == "a wrong key" else "key-choir"
    model = "none" if why == "no such model" else "m"
    messages = [] if why == "no messages" else MESSAGES

    async def ask():
        try:
            await build_client(context, "vm-1", key).chat.completions.create(
                model=model, messages=messages
            )
        except openai.APIStatusError as error:
            return error
        return None

    context.error = context.loop.run_until_complete(ask())


@then('it raises {error} with code "{code}"')
def step_raised(context, error, code):
    assert type(context.error).__name__ == error, context.error
    assert context.error.body["code"] == code, context.error.body
    assert context.error.response.headers["ramppin-outcome"] == "not-run"
    assert int(context.error.response.headers["retry-after"]) >= 1


@when("the OpenAI client cancels a stream of {count:d} tokens midway")
def step_cancel(context, count):
    async def ask():
        stream = await build_client(context, "vm-1").chat.completions.create(
            model="m", messages=MESSAGES, max_tokens=count, stream=True
        )
        async for _ in stream:
            break
        await stream.close()

    context.loop.run_until_complete(ask())


@then("the engine is told to cancel it")
def step_cancelled(context):
    def find():
        return [
            event
            for engine in context.fleet.engines.values()
            for event in engine.history.events
            if event["event"] == "cancel"
        ]

    context.loop.run_until_complete(wait_for(find, "a cancel at an engine"))


@then("no place is held any more")
def step_no_place(context):
    def is_free():
        routers = context.fleet.routers.values()
        totals = [
            owned.allocator.load.total
            for router in routers
            for owned in router.host.owned.values()
        ]
        return sum(totals) == 0 and not any(r.placer.held for r in routers)

    context.loop.run_until_complete(wait_for(is_free, "all places free"))
