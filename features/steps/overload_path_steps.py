"""Steps: requests that wait for their turn, through one gateway in this process."""

from __future__ import annotations

import asyncio
import json
import re
from dataclasses import dataclass, field

from behave import given, then, when

from features.gateway_support import (
    HOST,
    KEY,
    GatewayFixture,
    RawAnswer,
    RawCaller,
    encode_request,
)
from ramppin.gateway.process.limits.drain import DrainTimes
from ramppin.gateway.process.membership.servernotices import NoticeSource
from ramppin.gateway.request.fingerprint import hash_part
from standins.common import wait_for

AT_ONCE_S = 0.2
"""Seconds within which a refusal must come."""

ROUTE_LIMIT_S = 10.0

RETRY_AFTER = re.compile(rb"retry-after: ([\d.]+)")


def run(context, work):
    return context.loop.run_until_complete(asyncio.wait_for(work, 60))


def build_overload_tree(
    version: int, *, limit: int = 1, overload: dict | None = None
) -> dict:
    """Return settings with a service of one server, by default of one slot."""
    routes = {
        "/calm/": {"service": "plain", "rules": {"priority": 2}},
        "/urgent/": {"service": "plain", "rules": {"priority": 0}},
    }
    tree = {
        "version": version,
        "rules": {"time_limit_s": ROUTE_LIMIT_S},
        "hosts": {HOST: {"routes": routes}},
        "services": {"plain": {"limit": limit}},
        "customers": {"choir": {"keys": [KEY]}},
    }
    if overload is not None:
        tree["overload"] = overload
    return tree


@dataclass
class HeldRequests:
    """Requests at the servers, which answer when the test says so.

    Attributes:
        order: ids in the order of arrival.
        rejected: id of the request that the first server that gets it rejects.
    """

    order: list[str] = field(default_factory=list)
    rejected: str = ""
    released: dict[str, asyncio.Event] = field(default_factory=dict)

    async def serve(self, reply) -> None:
        name = reply.request_id.decode()
        if name == self.rejected:
            self.rejected = ""
            await reply.answer(503, headers=b"Ramppin-Not-Run: yes\r\n")
            return
        self.order.append(name)
        await self.find(name).wait()
        await reply.answer(200)

    def find(self, name: str) -> asyncio.Event:
        return self.released.setdefault(name, asyncio.Event())


@dataclass
class Sent:
    """A request of a caller."""

    caller: RawCaller
    reading: asyncio.Task[RawAnswer]


def get_context(context):
    return context.fixture.gateway.context


def count_waiting(context) -> int:
    control = get_context(context).overload
    if control is None:
        return 0
    queues = control.list_queues(context.loop.time())
    return sum(sum(queue.by_rank) for queue in queues)


async def publish(context, **changes) -> None:
    context.version += 1
    context.fixture.publish(build_overload_tree(context.version, **changes))
    version = context.version
    await wait_for(
        lambda: get_context(context).version == version, "the settings are in force"
    )


@given(
    "a gateway under overload control before a server that takes 1 request at a time"
)
def step_gateway(context):
    async def start() -> None:
        fixture = context.fixture = GatewayFixture()
        context.cleanups.append(fixture.stop)
        context.version, context.sent, context.held = 1, {}, HeldRequests()
        fixture.publish(build_overload_tree(1, overload={}))
        backend = await fixture.add_backend("p1", "plain", failure_domain="faro")
        backend.script = context.held.serve
        await fixture.start()
        await fixture.wait_until_ready(1)

    run(context, start())


@given("the queue takes {count:d} request")
@given("the queue takes {count:d} requests")
@when("settings whose queue takes {count:d} request are published")
def step_small_queue(context, count):
    run(context, publish(context, overload={"max_waiting": count}))


@given("the server takes {count:d} requests at a time")
def step_takes(context, count):
    run(context, publish(context, limit=count, overload={}))


@given('settings without "overload"')
@when('settings without "overload" are published')
def step_without(context):
    run(context, publish(context))


@given('a second server, and "{name}" is rejected by the first one that gets it')
def step_second_server(context, name):
    async def add() -> None:
        context.held.rejected = name
        backend = await context.fixture.add_backend("p2", "plain")
        backend.script = context.held.serve
        await context.fixture.wait_until_ready(2)
        # The limiter measures a service again after 0.08 s, and counts no requests at
        # a server that has appeared meanwhile.
        limiter = get_context(context).overload.limiter
        await wait_for(
            lambda: limiter._view("plain", context.loop.time()).capacity.servers == 2,
            "the limiter counts both servers",
        )

    run(context, add())


@given("the planned stop accepts all for {accept:g} s and lasts {limit:g} s")
def step_stop_times(context, accept, limit):
    gateway = context.fixture.gateway
    times = DrainTimes(detection_s=0.1, accept_all_s=accept, limit_s=limit)
    object.__setattr__(gateway.config, "drain_times", times)


@given('servers crashed under the part "{part}" of prompts')
def step_crashed(context, part):
    quarantine, now = get_context(context).quarantine, context.loop.time()
    key = hash_part("plain", part.encode())
    for n in range(3):
        at = now - 3 + n
        quarantine.note_lost(key, f"s-{n}", at, at + 0.9, part)
        quarantine.note_server_ended(f"s-{n}")


async def send(
    context, name: str, path: str, deadline_ms: int | None = None, part: str = ""
) -> None:
    headers = {} if deadline_ms is None else {"Ramppin-Deadline-Ms": str(deadline_ms)}
    if part:
        headers["Ramppin-Prompt-Parts"] = f"{part}:300,1:9"
    caller = await context.fixture.connect()
    await caller.send(encode_request(path, request_id=name, headers=headers))
    reading = asyncio.get_running_loop().create_task(caller.read())
    context.sent[name] = Sent(caller, reading)


@when('"{first}" is sent to "{path}", and "{second}" once the server has it')
def step_two(context, first, path, second):
    async def ask() -> None:
        await send(context, first, path)
        await wait_for(lambda: first in context.held.order, f"the server has {first}")
        await send(context, second, path)
        await wait_for(
            lambda: count_waiting(context) or second in context.held.order,
            f"{second} waits or runs",
        )

    run(context, ask())


@when('"{name}" is sent to "{path}", and runs')
def step_runs(context, name, path):
    run(context, send(context, name, path))
    run(context, wait_for_held(context, [name]))


@when('"{name}" is sent to "{path}" and waits')
def step_waits(context, name, path):
    run(context, send_new(context, name, path))


@when('"{name}" is sent to "{path}" with a deadline of {ms:d} ms and waits')
def step_deadline_waits(context, name, path, ms):
    run(context, send_new(context, name, path, deadline_ms=ms))


async def send_new(context, name: str, path: str, **options) -> None:
    """Send a request and wait until the queue holds it."""
    control = get_context(context).overload
    known = set(control._waiting)
    await send(context, name, path, **options)
    sent = context.sent[name]

    def is_seen() -> bool:
        explained = get_context(context).explanations.find(name)
        assert name not in context.held.order, f"{name} started: {explained}"
        assert not sent.reading.done(), f"{name} was answered: {explained}"
        return bool(control._waiting - known)

    await wait_for(is_seen, f"{name} waits")


@when('"{name}" is sent to "{path}" and is answered at once')
def step_at_once(context, name, path):
    run(context, send_refused(context, name, path))


@when(
    '"{name}" is sent to "{path}" with a deadline of {ms:d} ms and is answered at once'
)
def step_deadline_at_once(context, name, path, ms):
    run(context, send_refused(context, name, path, deadline_ms=ms))


@when('"{name}" with the part "{part}" goes to "{path}", and is answered at once')
def step_part_at_once(context, name, part, path):
    run(context, send_refused(context, name, path, part=part))


@then(
    'the line of "{name}" tells 503 by the rule "{rule}", the part "{part}", and when '
    "to come back"
)
def step_part_refused(context, name, rule, part):
    [line] = get_context(context).explanations.find(name)
    assert (line["status"], line["rule"]) == (503, rule), line
    assert [suspect["part"] for suspect in line["suspects"]] == [part], line
    assert line["retry_after_s"] > 50.0, line
    assert line["waited_ms"] == 0, line


async def send_refused(context, name: str, path: str, **options) -> None:
    begin = context.loop.time()
    await send(context, name, path, **options)
    await context.sent[name].reading
    took_s = context.loop.time() - begin
    assert took_s < AT_ONCE_S, took_s


@when("the service is known to take {seconds:g} s for each request")
def step_known_time(context, seconds):
    limiter = get_context(context).overload.limiter
    for _ in range(50):
        limiter.note_answered("plain", seconds, context.loop.time())


@when('the caller of "{name}" leaves')
def step_leaves(context, name):
    context.sent[name].reading.cancel()
    context.sent[name].caller.close()
    run(context, wait_for(lambda: not count_waiting(context), "nothing waits"))


@when("the VM begins a planned stop")
def step_stop(context):
    async def stop() -> None:
        context.fixture.gateway.start_drain()

    context.stopped_at = context.loop.time()
    run(context, stop())


@when('"{name}" is sent to "{path}", and the server closes by "{rule}"')
def step_closed(context, name, path, rule):
    async def close() -> None:
        await send(context, name, path)
        await wait_for(lambda: name in context.held.order, "the server has it")
        directory, now = get_context(context).directory, context.loop.time()
        if rule == "evacuated":
            context.fixture.settings.put("evacuated/faro", b"{}")
            await wait_for(lambda: not directory.list_open("plain"), "it is evacuated")
        elif rule == "leaving":
            directory.notices.note_leaving("p1", NoticeSource.ANSWER, now)
        else:
            directory.notices.note_backoff("p1", 5.0, now)

    run(context, close())


@when('"{first}" and "{second}" are sent to "{path}", and "{third}" waits')
def step_both(context, first, second, path, third):
    async def ask() -> None:
        context.counts = count_turns(context)
        await send(context, first, path)
        await wait_for_held(context, [first])
        await send_new(context, third, path)
        for name in (first, second):
            context.held.find(name).set()
            assert (await context.sent[name].reading).status == 200

    run(context, ask())


def count_turns(context) -> dict[str, int]:
    """Count the starts and ends that the scheduler notes from now on."""
    scheduler = get_context(context).overload._scheduler
    limiter = get_context(context).overload.limiter
    counts = {"starts": 0, "ends": 0}
    note_started, note_ended = limiter.note_started, scheduler.note_ended

    def count_start(*arguments) -> None:
        counts["starts"] += 1
        note_started(*arguments)

    def count_end(*arguments) -> None:
        counts["ends"] += 1
        note_ended(*arguments)

    limiter.note_started, scheduler.note_ended = count_start, count_end
    return counts


@when('{count:d} requests are sent to "{path}" one after the other')
def step_sequence(context, count, path):
    async def ask() -> None:
        control = get_context(context).overload
        context.timers = 0
        set_timer = control._set_timer

        def count_timer(now: float) -> None:
            context.timers += 1
            set_timer(now)

        control._set_timer = count_timer
        for number in range(count):
            name = f"r{number}"
            context.held.find(name).set()
            await send(context, name, path)
            assert (await context.sent[name].reading).status == 200

    run(context, ask())


@then("none of them waited, and no timer ran")
def step_none_waited(context):
    metrics = get_context(context).metrics
    counts = metrics.wait_seconds.counts[("plain",)]
    assert counts[0] == sum(counts) == 10, counts
    assert metrics.wait_seconds.sums[("plain",)] == 0.0
    assert context.timers == 0, context.timers


async def wait_for_held(context, names: list[str]) -> None:
    await wait_for(
        lambda: all(name in context.held.order for name in names),
        f"the server has {names}",
    )


@then('the server has only "{name}", and 1 request waits')
def step_only(context, name):
    assert context.held.order == [name], context.held.order
    assert count_waiting(context) == 1


@then('the server has "{first}" and "{second}", and no request waits')
def step_has_both(context, first, second):
    run(context, wait_for_held(context, [first, second]))
    assert not count_waiting(context)


@then('the server has "{name}", and no request waits')
def step_has(context, name):
    run(context, wait_for_held(context, [name]))
    assert not count_waiting(context)


@when('the server answers "{name}"')
def step_answers(context, name):
    context.held.find(name).set()
    answer = run(context, context.sent[name].reading)
    assert answer.status == 200, answer.data


def find_line(context, name: str) -> dict:
    """Return the last line about a request."""
    fixture = context.fixture
    fixture.gateway.context.decisions.flush()
    lines = map(json.loads, fixture.log_path.read_text().splitlines())
    return [line for line in lines if line.get("request_id") == name][-1]


@then('both were answered with 200, and the line of "{name}" tells that it waited')
def step_waited(context, name):
    line = find_line(context, name)
    assert line["event"] == "answered", line
    assert 0 < line["waited_ms"] <= line["took_ms"], line
    assert find_line(context, "first")["waited_ms"] == 0
    explained = get_context(context).explanations.find(name)[-1]
    assert explained["waited_ms"] == line["waited_ms"]


@then(
    'the server gets "{names}" in this order, each once the one before it was answered'
)
def step_order(context, names):
    async def answer() -> None:
        for number, name in enumerate(names.split()):
            await wait_for_held(context, [name])
            assert context.held.order == names.split()[: number + 1]
            context.held.find(name).set()
            assert (await context.sent[name].reading).status == 200

    run(context, answer())


def check_refused(context, name: str, rule: str) -> RawAnswer:
    answer = run(context, context.sent[name].reading)
    assert answer.status == 503, answer.data
    line = find_line(context, name)
    assert (line["event"], line["rule"]) == ("given_up", rule), line
    assert (line["tries"], line["runs"]) == (0, 0), line
    explained = get_context(context).explanations.find(name)[-1]
    assert explained["rule"] == rule, explained
    return answer


@then('"{name}" got 503 by the rule "{rule}", to come back within a third of its time')
def step_refused(context, name, rule):
    answer = check_refused(context, name, rule)
    pause_s = float(RETRY_AFTER.search(answer.head)[1])
    left_s = find_line(context, name)["time_left_ms"] / 1000
    assert 0.0 < pause_s <= left_s / 3 + 0.02, (pause_s, left_s)
    labels = list(get_context(context).metrics.overload_refusals.values)
    assert [label[:2] for label in labels] == [("plain", rule)], labels


@then('"{name}" got 503 by the rule "{rule}" within {seconds:g} s')
def step_refused_within(context, name, rule, seconds):
    answer = check_refused(context, name, rule)
    assert RETRY_AFTER.search(answer.head), answer.head
    assert context.loop.time() - context.stopped_at < seconds


@then('"{name}" got 503 by the rule "{rule}"')
def step_refused_rule(context, name, rule):
    check_refused(context, name, rule)


@then(
    'the line of "{name}" tells 0 tries, 0 runs, its estimate and the 1 request ahead '
    "of it"
)
def step_line(context, name):
    line = find_line(context, name)
    assert line["ahead"] == 1, line
    assert line["estimate_ms"] > 0, line
    assert line["waited_ms"] == 0, line


@then('the server never gets "{name}", though "{first}" and "{second}" are answered')
def step_never_two(context, name, first, second):
    check_never(context, name, [first, second])


@then('the server never gets "{name}", though "{first}" is answered')
def step_never(context, name, first):
    check_never(context, name, [first])


def check_never(context, name: str, others: list[str]) -> None:
    async def answer() -> None:
        for other in others:
            await wait_for_held(context, [other])
            context.held.find(other).set()
            assert (await context.sent[other].reading).status == 200

    run(context, answer())
    assert context.held.order == others, context.held.order
    received = [r.headers for r in context.fixture.list_received()]
    ids = [headers[b"ramppin-request-id"].decode() for headers in received]
    assert name not in ids, ids


@then('no request waits, and the line of "{name}" tells the rule "{rule}"')
def step_left(context, name, rule):
    async def find() -> dict:
        def is_written() -> bool:
            context.fixture.gateway.context.decisions.flush()
            return f'"rule":"{rule}"' in context.fixture.log_path.read_text()

        await wait_for(is_written, "the line")
        return find_line(context, name)

    line = run(context, find())
    assert line["event"] == "given_up", line
    assert line["status"] == 0, line
    assert line["runs"] == 0, line
    assert get_context(context).metrics.requests.values[("plain", "0")] == 1


@then('"{name}" was tried twice, and {starts:d} starts and {ends:d} ends were counted')
def step_counted(context, name, starts, ends):
    decisions = get_context(context).explanations.find(name)
    assert [d["end"] for d in decisions] == ["rejected", "delivered"], decisions
    assert decisions[0]["waited_ms"] == decisions[1]["waited_ms"] > 0, decisions
    # The caller may read the end of the answer before the exchange has ended.
    expected = {"starts": starts, "ends": ends}
    run(context, wait_for(lambda: context.counts == expected, f"{context.counts}"))


@then("no request asked for its turn")
def step_no_turn(context):
    assert get_context(context).overload is None
    assert not get_context(context).metrics.wait_seconds.counts
