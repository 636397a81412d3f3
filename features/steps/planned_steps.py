"""Steps about leaving backend servers and planned stops."""

from __future__ import annotations

import asyncio

from behave import then, when

from features.steps.deployment_steps import wait_for_answers
from standins.common import wait_for

ANSWERS = 40


@when("{name} is listed as leaving, {view}")
def step_leaving(context, name, view):
    deployment = context.deployment

    async def leave():
        if view.startswith("seen 2 seconds later"):
            late = {"vm-1": 2.0, "vm-2": 2.0}
            await deployment.post("vms", "/late", late)
        if view == "while its entry flaps":
            for _ in range(3):
                await deployment.drop_vm(name)
                await asyncio.sleep(0.3)
                entry = {"name": name, "role": "backend-server", "state": "live"}
                await deployment.post("vms", "/vms", entry)
                await asyncio.sleep(0.3)
        await deployment.list_vm(name, "backend-server", state="leaving")

    context.loop.run_until_complete(leave())


@then("the last start on {name} came within {seconds:d} seconds")
def step_last(context, name, seconds):
    left = next(
        e["t"]
        for e in context.history
        if e["event"] == "listed" and e["server"] == name and e["state"] == "leaving"
    )
    starts = [
        e["t"] - left
        for e in context.history
        if e["event"] == "start" and e["source"] == name and e["t"] > left
    ]
    print(f"last start {max(starts, default=0):.2f} s after it was listed")
    assert max(starts, default=0) < seconds


@when("each router is stopped as planned and a new one takes its place")
def step_rolling(context):
    deployment = context.deployment
    context.codes = []

    async def replace(name: str, new: str) -> None:
        # The balancer sends nothing to a VM that is not ready, at either end.
        context.load.avoid = context.load.avoid | {new}
        await deployment.start_router(new)
        await wait_for(lambda: is_ready(deployment, new), "the new VM ready")
        context.load.avoid = context.load.avoid - {new}
        deployment.terminate(name)
        context.load.avoid = context.load.avoid | {name}
        context.codes.append(await deployment.wait_for_exit(name))
        await deployment.drop_vm(name)
        await wait_for_answers(context, ANSWERS)

    async def replace_all():
        for number in range(1, 9):
            await replace(f"vm-{number}", f"vm-{number + 8}")

    context.loop.run_until_complete(replace_all())


async def is_ready(deployment, name: str) -> bool:
    status, found = await deployment.ask_operator(name, "/dump")
    return status == 200 and not found["unready"]


@then("each router ended with exit code 0")
def step_codes(context):
    assert context.codes == [0] * 8, context.codes


@when("{name} leaves as planned and stops when it is idle")
def step_drain_engine(context, name):
    deployment = context.deployment

    async def is_idle() -> bool:
        for vm in deployment.routers:
            _, found = await deployment.ask_operator(vm, "/dump")
            shard = found["owned_shards"].get("engines")
            if shard:
                server = shard["backend_servers"][name]
                return server["leaving"] and server["places"] == 0
        return False

    async def drain():
        await deployment.list_vm(name, "backend-server", state="leaving")
        await wait_for(is_idle, "the engine idle")
        await deployment.kill(name)

    context.loop.run_until_complete(drain())
