"""Steps about the settings: races, outages, new VMs, snapshots."""

from __future__ import annotations

import asyncio
import random
import time
import uuid

from behave import then, when

from features.support import Caller
from ramppin import SettingsHistory
from standins.common import wait_for


class Operators:
    """Operators that publish changes, and readers that watch versions."""

    def __init__(self, context) -> None:
        self.deployment = context.deployment
        self.events: list[dict] = []
        self.draw = random.Random(7)
        self.stopping = False

    def note(self, event: str, **fields) -> None:
        self.events.append(
            {"t": time.monotonic(), "source": "operator", "event": event} | fields
        )

    async def read_version(self, vm: str) -> int | None:
        status, found = await self.deployment.ask_operator(vm, "/settings")
        return found["version"] if status == 200 else None

    async def change(self, vm: str, weight: float) -> str:
        """Publish one change from the version in force; return what was told."""
        base = await self.read_version(vm)
        if base is None:
            return "unreachable"
        nonce = uuid.UUID(int=self.draw.getrandbits(128)).hex
        patch = {"customers": {"band": {"rules": {"weight": weight}}}}
        body = {"base": base, "nonce": nonce, "patch": patch}
        for _ in range(8):
            status, found = await self.deployment.ask_operator(
                vm, "/settings", method="POST", body=body
            )
            if status in (201, 409, 422):
                break
            # The answer was lost or the log is down: ask again, same nonce.
            await asyncio.sleep(0.5)
            others = self.deployment.routers
            vm = others[self.draw.randrange(len(others))] if others else vm
        if status == 201:
            self.note("accepted", version=found["offset"], nonce=nonce)
            return "accepted"
        if status in (409, 422):
            self.note("refused", nonce=nonce)
            return "refused"
        return "unknown"

    async def watch(self) -> None:
        """Record each VM's version again and again."""
        while not self.stopping:
            for vm in self.deployment.routers:
                version = await self.read_version(vm)
                if version is not None:
                    run = self.deployment.processes[vm].child.pid
                    self.note("version", reader=f"{vm}-{run}", version=version)
            await asyncio.sleep(0.05)

    async def finish(self) -> list[dict]:
        """Add the log's own truth of each change."""
        self.stopping = True
        history = SettingsHistory()
        url = f"http://{self.deployment.address('log')}/streams/settings"
        answer = await Caller().send("GET", url)
        for offset, value in answer.json()["records"]:
            verdict = history.apply(offset, value)
            took_effect = verdict.accepted
            self.note("record", nonce=verdict.nonce, took_effect=took_effect)
        return self.events


async def publish_all(context, work) -> None:
    """Run operators while versions are watched, and keep the history."""
    operators = Operators(context)
    watcher = asyncio.create_task(operators.watch())
    context.results = await work(operators)
    await asyncio.sleep(0.3)
    events = await operators.finish()
    await watcher
    context.history = events


@when("{count:d} operators race until each has had {wanted:d} changes accepted")
def step_race(context, count, wanted):
    async def work(operators):
        vms = context.deployment.routers

        async def run(number):
            results = []
            while results.count("accepted") < wanted:
                vm = vms[(number + len(results)) % len(vms)]
                weight = 1 + number + len(results) / 1000
                results.append(await operators.change(vm, weight))
            return results

        results = await asyncio.gather(*(run(n) for n in range(count)))
        return [result for some in results for result in some]

    context.loop.run_until_complete(publish_all(context, work))


@then("each version has one change, and some were refused as conflicts")
def step_conflicts(context):
    accepted = [e["version"] for e in context.history if e["event"] == "accepted"]
    assert len(accepted) == len(set(accepted))
    assert "refused" in context.results, context.results
    assert len(accepted) >= 12, context.results


@then("all routers end with the same settings")
def step_same(context):
    deployment = context.deployment

    async def read_all():
        found = []
        for vm in deployment.routers:
            status, settings = await deployment.ask_operator(vm, "/settings")
            found.append(settings if status == 200 else None)
        return found

    async def is_same():
        found = await read_all()
        return all(found) and all(f == found[0] and f["version"] >= 0 for f in found)

    context.loop.run_until_complete(wait_for(is_same, "the same settings"))


async def start_trouble(deployment, trouble: str) -> None:
    if trouble == "the log loses its answers":
        await deployment.set_fault("log", lose_answers=6)
    if trouble == "the log goes down and comes back":
        await deployment.set_fault("log", outage=True)
    if trouble == "vm-2 is cut off from the log":
        await deployment.set_fault("log", cut=["vm-2"])


async def end_trouble(deployment, trouble: str) -> None:
    if trouble == "the log goes down and comes back":
        await deployment.set_fault("log", outage=False)
    if trouble == "routers are killed and replaced":
        for number in (1, 2):
            await deployment.kill(f"vm-{number}")
            await deployment.drop_vm(f"vm-{number}")
            await deployment.start_router(f"vm-{number + 10}")


@when("changes are published while {trouble}")
def step_changes(context, trouble):
    deployment = context.deployment

    async def work(operators):
        await operators.change("vm-1", 2.0)
        await start_trouble(deployment, trouble)
        changes = [operators.change("vm-3", 3.0), operators.change("vm-4", 4.0)]
        tasks = [asyncio.create_task(change) for change in changes]
        await asyncio.sleep(1.5)
        await end_trouble(deployment, trouble)
        results = await asyncio.gather(*tasks)
        results.append(await operators.change("vm-4", 5.0))
        # Long enough for a VM that is late to be seen to be late.
        await asyncio.sleep(1.0)
        return results

    context.loop.run_until_complete(publish_all(context, work))


@when("the log is down and {vm} starts")
def step_start_down(context, vm):
    async def start():
        await context.deployment.set_fault("log", outage=True)
        await context.deployment.start_router(vm)

    context.loop.run_until_complete(start())


@then("{vm} is ready with the settings of the others")
def step_ready(context, vm):
    async def is_ready():
        status, found = await context.deployment.ask_operator(vm, "/dump")
        return status == 200 and not found["unready"]

    context.loop.run_until_complete(wait_for(is_ready, f"{vm} ready"))
    step_same(context)
    context.new_vm = vm


@then("it serves a chat")
def step_serves(context):
    url = context.deployment.caller_url(context.new_vm)
    messages = [{"role": "user", "content": "hello"}]
    answer = context.loop.run_until_complete(Caller().chat(url, messages))
    assert answer.status == 200, answer


@when("the log is down, {old} is killed and {new} starts")
def step_nothing(context, old, new):
    async def start():
        await context.deployment.set_fault("log", outage=True)
        await context.deployment.kill(old)
        await context.deployment.start_router(new)

    context.loop.run_until_complete(start())


@then('{vm} is not ready because of "{reason}"')
def step_not_ready(context, vm, reason):
    async def ask():
        _, found = await context.deployment.ask_operator(vm, "/dump")
        url = context.deployment.caller_url(vm)
        ready = await Caller().send("GET", f"{url}/readyz")
        chat = await Caller().chat(url, [{"role": "user", "content": "hello"}])
        return found, ready, chat

    found, ready, chat = context.loop.run_until_complete(ask())
    assert found["unready"] == reason, found["unready"]
    assert ready.status == 503
    assert chat.status == 503
    assert chat.outcome == "not-run"
    assert "retry-after" in chat.headers


@when(
    "{count:d} changes are published, a snapshot is written, "
    "and older records are trimmed"
)
def step_snapshot(context, count):
    deployment = context.deployment

    async def find_snapshot():
        _, found = await deployment.ask_operator("vm-1", "/settings/history")
        return [r["offset"] for r in found["records"] if r["kind"] == "snapshot"]

    async def publish():
        operators = Operators(context)
        for number in range(count):
            assert await operators.change("vm-1", 1 + number / 100) == "accepted"
        offsets = await wait_for(find_snapshot, "a snapshot")
        order = {"stream": "settings", "first": offsets[-1]}
        await deployment.post("log", "/trim", order)

    context.loop.run_until_complete(publish())


@when("all routers are killed and new ones start")
def step_replace(context):
    deployment = context.deployment

    async def replace():
        _, context.before = await deployment.ask_operator("vm-1", "/settings")
        for vm in deployment.routers:
            await deployment.kill(vm)
            await deployment.drop_vm(vm)
        for number in (11, 12):
            await deployment.start_router(f"vm-{number}")

        async def has_settings():
            _, found = await deployment.ask_operator("vm-11", "/settings")
            return found == context.before

        await wait_for(has_settings, "the settings of before")

    context.loop.run_until_complete(replace())


@when("a caller follows {count:d} changes through all VMs, telling what it has seen")
def step_follow(context, count):
    deployment = context.deployment
    context.seen = []

    async def follow():
        operators = Operators(context)
        for number in range(count):
            await operators.change("vm-1", 1 + number / 10)
            for vm in deployment.routers:
                seen = str(max(context.seen, default=0))
                url = f"{deployment.caller_url(vm)}/v1/models"
                answer = await Caller().send(
                    "GET", url, headers={"Ramppin-Version": seen}
                )
                assert answer.status == 200, answer
                context.seen.append(int(answer.headers["ramppin-version"]))

    context.loop.run_until_complete(follow())


@then("it never saw an older version")
def step_never_older(context):
    assert context.seen == sorted(context.seen), context.seen
    assert context.seen[-1] > context.seen[0]


RECORDS = {
    "no object": "text",
    "of an unknown kind": {"kind": "wish"},
    "against the schema": {
        "kind": "patch",
        "base": 0,
        "nonce": "x",
        "patch": {"fleet": {"bound": 0}},
    },
    "made from nothing": {"kind": "change", "base": -1, "nonce": "y", "tree": {}},
}


@when("a record that is {what} is on the log")
def step_record(context, what):
    work = context.deployment.post("log", "/streams/settings", RECORDS[what])
    context.loop.run_until_complete(work)


@then("all routers stay at the version before, and show why")
def step_stay(context):
    deployment = context.deployment

    async def is_shown(vm):
        _, found = await deployment.ask_operator(vm, "/settings/history")
        last = found["records"][-1]
        return last["offset"] == 1 and not last["accepted"] and last["error"]

    async def check():
        for vm in deployment.routers:
            await wait_for(lambda vm=vm: is_shown(vm), "the refusal shown")
            _, found = await deployment.ask_operator(vm, "/settings")
            assert found["version"] == 0, found["version"]

    context.loop.run_until_complete(check())
