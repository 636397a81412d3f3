"""Steps: callers that come to VMs which have just started."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from random import Random

from behave import given, then, when

from features.gateway_support import encode_request, is_yes
from ramppin.errors import LogUnavailableError
from ramppin.gateway.connection.fetch import FetchedAnswer, Fetcher
from ramppin.gateway.process.recovery.follower import Follower
from ramppin.gateway.process.recovery.readlimits import ReadLimits, limit_first_read
from ramppin.gateway.process.recovery.replica import Replica
from ramppin.gateway.process.recovery.vanished import (
    choose_pause_s as choose_pause_s_of_servers,
)
from ramppin.gateway.process.recovery.vanished import is_settling
from ramppin.gateway.process.routing.homes import HomeNotice
from ramppin.gateway.process.routing.settling import (
    ListView,
    choose_wait_s,
    is_worth_waiting,
)
from ramppin.gateway.request.admission import Denial, choose_first_read_wait_s
from ramppin.gateway.request.finalanswer import answer_denied
from ramppin.gateway.request.promptkey import hash_prefix
from standins.backend import BackendStandIn
from standins.common import wait_for
from standins.tables import TableStandIn

CALLERS = 400
STARTS_WITHIN_S = 0.3
"""Span in which VMs that lost power together start."""

READ_S = 0.1
"""Seconds from the log's return until a VM knows its settings."""

HONOURED_SHARE = 1 / 3
"""Part of the time left up to which a caller heeds a pause."""


def is_served(came_at: float, deadline_s: float, known_at: float, pause) -> bool:
    """Return whether one of a caller's two tries meets a VM that knows its settings."""
    now, ends_at = came_at, came_at + deadline_s
    for _ in range(2):
        now += choose_first_read_wait_s(ends_at - now)
        if now >= known_at:
            return True
        now += min(pause(ends_at - now), HONOURED_SHARE * (ends_at - now))
    return False


def measure_served(
    deadline_s: float, away_s: float, pause: Callable[[float], float]
) -> float:
    """Return the share of callers that are served, of those that come meanwhile."""
    known_at = away_s + READ_S
    arrivals = [known_at * number / CALLERS for number in range(CALLERS)]
    served = [is_served(at, deadline_s, known_at, pause) for at in arrivals]
    return sum(served) / CALLERS


def choose_pause_s(time_left_s: float) -> float:
    return answer_denied(Denial.NO_SETTINGS, time_left_s).retry_after_s


@when(
    "callers with {deadline:g} s and one retry come while the log is away for "
    "{away:g} s"
)
def step_come(context, deadline, away):
    context.served = measure_served(deadline, away, choose_pause_s)
    context.served_before = measure_served(deadline, away, lambda left: 0.5)


@then("at least {share:g} of them reach a VM that knows its settings")
def step_served(context, share):
    assert context.served >= share, context.served


@then("with a pause of 0.5 s at most {share:g} of them would")
def step_before(context, share):
    assert context.served_before <= share, context.served_before


@then("at a VM without settings a caller with {left} s left pauses {pause:g} s")
def step_pause(context, left, pause):
    time_left_s = None if left == "none" else float(left)
    found = answer_denied(Denial.NO_SETTINGS, time_left_s).retry_after_s
    assert math.isclose(found, pause, abs_tol=1e-9), found


def limit_whole(failures: int, tried_for_s: float) -> ReadLimits:
    """Return limits on the whole answer alone."""
    whole_s = limit_first_read(failures, tried_for_s).whole_s
    return ReadLimits(whole_s, whole_s)


def find_read_at(
    started_at: float,
    silent_s: float,
    answer_s: float,
    limit: Callable[[int, float], ReadLimits],
    seed: int,
) -> float:
    """Return when a VM that started at a moment has read the log."""
    follower = Follower(
        Replica("settings", lambda record: None),
        TableStandIn(),
        interval_s=0.0,
        wait_s=0.0,
        generator=Random(seed),
    )
    now, failures = started_at, 0
    while True:
        limits = limit(failures, now - started_at)
        limit_s = min(limits.whole_s, limits.silence_s)
        if now >= silent_s and answer_s <= limit_s:
            return now + answer_s
        failures += 1
        now += limit_s + follower.choose_backoff_s()


@when("{vms:d} VMs start together while the log is silent for {silent:g} s")
def step_start_silent(context, vms, silent):
    context.silent_s = silent
    context.starts = [STARTS_WITHIN_S * number / vms for number in range(vms)]


@when("the log's answers take {answer:g} s")
def step_answers_take(context, answer):
    context.answer_s = answer


def measure_last(context, limit) -> float:
    """Return how long after the log's return the last VM has read it."""
    read_at = [
        find_read_at(at, context.silent_s, context.answer_s, limit, seed)
        - max(at, context.silent_s)
        for seed, at in enumerate(context.starts)
    ]
    return max(read_at)


@then("all VMs have read it {within:g} s after its return")
def step_read_within(context, within):
    last_s = measure_last(context, limit_first_read)
    assert last_s <= within, last_s


@then("with limits on the whole answer alone they would within {before:g} s")
def step_read_before(context, before):
    last_s = measure_last(context, limit_whole)
    assert before - 0.2 <= last_s <= before, last_s


@then(
    "after {failures:d} failures in {tried:g} s a first read has {whole:g} s and "
    "{silence:g} s of silence"
)
def step_limits(context, failures, tried, whole, silence):
    found = limit_first_read(failures, tried)
    assert found == ReadLimits(whole, silence), found


async def send_in_pieces(context, pieces: int, pause_s: float) -> None:
    """Listen, and answer the first question in pieces; never if there are none."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        if not pieces:
            await asyncio.Event().wait()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % pieces)
        for _ in range(pieces):
            await asyncio.sleep(pause_s)
            writer.write(b"x")
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    context.log_port = server.sockets[0].getsockname()[1]

    async def stop():
        server.close()

    context.cleanups.append(stop)


@given("a log that sends {pieces:d} pieces of an answer, each after {pause:g} s")
def step_log_in_pieces(context, pieces, pause):
    context.loop.run_until_complete(send_in_pieces(context, pieces, pause))


@given("a log that sends nothing")
def step_log_silent(context):
    context.loop.run_until_complete(send_in_pieces(context, 0, 0.0))


async def read_log(context, whole: float, silence: float) -> FetchedAnswer:
    fetcher = Fetcher("127.0.0.1", context.log_port, "log")
    try:
        return await fetcher.get("/", timeout_s=whole, silence_s=silence)
    finally:
        fetcher.close()


@then("a read with {whole:g} s and {silence:g} s of silence gets the whole answer")
def step_read_whole(context, whole, silence):
    answer = context.loop.run_until_complete(read_log(context, whole, silence))
    assert answer.body == b"x" * 12, answer


@then('a read with {whole:g} s and {silence:g} s of silence fails with "{text}"')
def step_read_fails(context, whole, silence, text):
    found = ""
    try:
        context.loop.run_until_complete(read_log(context, whole, silence))
    except LogUnavailableError as error:
        found = error.message
    assert text in found, found


USUAL_PAUSE_S = 0.8
LOOKED_FOR_S = 2.0


def choose_pause_after(known_for_s: float) -> float:
    settling = is_settling(first_read_tries=2, known_for_s=known_for_s)
    return choose_pause_s_of_servers(USUAL_PAUSE_S, settling=settling)


def choose_usual_pause(known_for_s: float) -> float:
    return USUAL_PAUSE_S


def measure_lacking(context, first_s: float, choose: Callable[..., float]) -> float:
    """Return the share of servers that a VM does not know, in the mean over time."""
    now, lacking, known_until = first_s, 0.0, first_s
    while now < LOOKED_FOR_S:
        # A read waits for news, up to a second; then comes the pause.
        news = [at for at in context.back_at if at > known_until]
        read_at = min(max(now, news[0]) if news else now + 1.0, now + 1.0)
        known = sum(at <= known_until for at in context.back_at)
        end = min(read_at, LOOKED_FOR_S)
        lacking += (end - known_until) * (1 - known / len(context.back_at))
        known_until = end
        now = read_at + choose(read_at - first_s)
    known = sum(at <= known_until for at in context.back_at)
    lacking += (LOOKED_FOR_S - known_until) * (1 - known / len(context.back_at))
    return (lacking + first_s) / LOOKED_FOR_S


@when("{servers:d} servers come back within {span:g} s of the log's return")
def step_servers_back(context, servers, span):
    context.back_at = [span * (number + 1) / servers for number in range(servers)]


@then(
    "a VM that started in the outage and read first after {first:g} s lacks {share:g} "
    "of them in the mean of 2 s"
)
def step_lacks(context, first, share):
    context.first_s = first
    found = measure_lacking(context, first, choose_pause_after)
    assert found <= share, found


@then("at the usual pace it would lack {share:g}")
def step_lacked(context, share):
    found = measure_lacking(context, context.first_s, choose_usual_pause)
    assert found >= share, found


@then(
    "after {tries:d} tries, known for {known:g} s, the servers are read again after "
    "{pause:g} s"
)
def step_pause_of_servers(context, tries, known, pause):
    settling = is_settling(first_read_tries=tries, known_for_s=known)
    found = choose_pause_s_of_servers(USUAL_PAUSE_S, settling=settling)
    assert found == pause, found


@then(
    "on a list that is {list_is}, with {servers:d} open servers and the home known "
    '"{home}", a prompt waits: {prompt}, another request: {other}'
)
def step_worth_waiting(context, list_is, servers, home, prompt, other):
    view = ListView(list_is == "settling", servers, is_yes(home))
    for has_prefix, waits in ((True, prompt), (False, other)):
        found = is_worth_waiting(view, has_prefix=has_prefix)
        assert found is is_yes(waits), (has_prefix, found)


@then(
    "with a time limit of {limit:g} s a request waits {wait:g} s for a server at most"
)
def step_wait_for_server(context, limit, wait):
    found = choose_wait_s(limit)
    assert math.isclose(found, wait), found


PROMPT_PARTS = "aa:100,bb:1000,cc:10"


@given("a prompt's home, as the snapshot tells, is a server whose entry has lapsed")
def step_lapsed_home(context):
    fixture = context.fixture
    key = hash_prefix(PROMPT_PARTS.encode())

    async def restore():
        now = asyncio.get_running_loop().time()
        fixture.gateway.homes.restore(HomeNotice(key, "m3", 1.0), now)
        backend = fixture.backends["m3"] = BackendStandIn()
        await backend.start()

    context.loop.run_until_complete(restore())


def send_prompt(context, *, settling: bool, **headers: str) -> None:
    fixture = context.fixture
    gateway = fixture.gateway.context
    gateway.is_list_settling = lambda now: settling

    async def send():
        context.caller = await fixture.connect()
        head = {"Ramppin-Prompt-Parts": PROMPT_PARTS} | headers
        await context.caller.send(encode_request("/stream/", headers=head))
        if settling:
            await wait_for(lambda: gateway.in_flight == 1, "the prompt is taken")

    context.loop.run_until_complete(send())


@when("the prompt comes while lapsed entries come back")
def step_prompt_settling(context):
    send_prompt(context, settling=True)


@when(
    "the prompt comes with a deadline of {deadline:g} s while lapsed entries come back"
)
def step_prompt_in_haste(context, deadline):
    head = {"Ramppin-Deadline-Ms": str(int(deadline * 1000))}
    send_prompt(context, settling=True, **head)


@when("the prompt comes once the list has settled")
def step_prompt_settled(context):
    send_prompt(context, settling=False)


@when("that server's entry is back")
def step_entry_back(context):
    context.fixture.announce("m3", "model")


def find_servers(context) -> list[str]:
    """Return the servers that got the prompt, once one did."""
    backends = context.fixture.backends
    work = wait_for(context.fixture.list_received, "the prompt arrived")
    context.loop.run_until_complete(work)
    return [name for name, backend in backends.items() if backend.received]


@then("the prompt is sent to its home")
def step_sent_home(context):
    assert find_servers(context) == ["m3"]


@then("the prompt is sent to another server")
def step_sent_elsewhere(context):
    [server] = find_servers(context)
    assert server in ("m1", "m2"), server
