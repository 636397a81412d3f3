"""Steps: backend servers that start again under their id."""

from __future__ import annotations

import asyncio
from collections import Counter

from behave import then, when

from features.platform_support import PlatformFixture
from ramppin.gateway.connection.datagrams import (
    FailureHint,
    LoadHint,
    PeerHints,
    WaitHint,
)
from ramppin.gateway.process.load.gossip import LoadGossip
from ramppin.gateway.process.membership.health import Outcome
from ramppin.gateway.process.routing.closure import (
    ClosureReason,
    find_lasting_closure,
)
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.evacuation import Evacuations
from ramppin.gateway.process.routing.failuregossip import FailureGossip
from ramppin.gateway.process.routing.homes import HomeAnnouncement, PrefixHomes
from ramppin.gateway.process.routing.incarnation import judge_start
from ramppin.gateway.process.routing.serverstate import BackendServer
from standins.common import wait_for

NOW = 100.0
HOST = "127.0.0.1"
ASKED = 12
"""Requests after an entry that must change nothing."""


def run(context, work):
    return context.loop.run_until_complete(work)


async def hang(reply):
    """Answer nothing."""
    await asyncio.sleep(60)


def read_start(text: str) -> int | None:
    return None if text == "none" else int(text)


@then('an entry with the start {told} where {known} is known is "{verdict}"')
def step_start(context, told, known, verdict):
    assert judge_start(read_start(known), read_start(told)).value == verdict


def build_server(started_ms: int) -> BackendServer:
    return BackendServer("i-1", "llm", HOST, 1, started_ms=started_ms)


@then("a server that starts again under its id is known anew")
def step_known_anew(context):
    context.directory = directory = ServerDirectory()
    context.homes = homes = PrefixHomes(directory.is_open)
    old = directory.put(build_server(5))
    old.note_load(9, 0, NOW)
    old.in_flight = 2
    old.waiting.apply_peer_count("vm-2", 3, NOW)
    old.health.note_outcome(Outcome.UNREACHABLE, NOW)
    old.evidence.note_failures(9, "porto", NOW)
    homes.note_placed(7, old.id, NOW)
    new = directory.put(build_server(6))
    assert directory.list_open("llm") == [new]
    assert new.find_known_load(NOW) == 0
    assert not new.health.is_suspect(NOW)
    assert not new.evidence.is_failing("porto", 1.0, NOW)
    assert homes.find(7) is None
    assert directory.find_copy_source(homes.find_any(7), NOW) is None
    assert old.restarted
    assert find_lasting_closure(old, Evacuations()) is ClosureReason.GONE
    context.old, context.new = old, new


@then("what others tell of its earlier start is passed over")
def step_told_of_old(context):
    directory, old_id = context.directory, context.old.id
    hints = PeerHints(
        "vm-2", [], loads=[LoadHint(old_id, 9, 0)], waits=[WaitHint(old_id, 4)]
    )
    LoadGossip(directory).apply(hints, NOW)
    FailureGossip(directory, "porto").apply([FailureHint(old_id, 9)], "porto", NOW)
    context.homes.apply_announcement(HomeAnnouncement(7, old_id, 1.0), NOW)
    assert context.new.find_known_load(NOW) == 0
    assert not context.new.evidence.is_failing("porto", 1.0, NOW)
    assert context.homes.find(7) is None


@then("an earlier start that is told later is not taken")
def step_earlier(context):
    async def play():
        fixture = PlatformFixture()
        context.cleanups.append(fixture.stop)
        await fixture.start()
        await fixture.add_backend("i-1", "plain")
        fixture.announce("i-1", "plain", born=6)
        await fixture.start_gateway("vm-1", HOST)
        fixture.announce("i-1", "plain", state="draining", born=5)
        await wait_for(
            lambda: '"event":"server_older"' in fixture.find_log("vm-1").read_text(),
            "the earlier start is told",
        )
        return await fixture.count_served(ASKED)

    assert run(context, play()) == Counter({"i-1": ASKED})


@when('"{name}" answers nothing and starts again under its id')
def step_restart(context, name):
    fixture = context.platform
    backend = fixture.backends[name]

    async def answer(reply):
        await reply.start_events()
        await reply.send_chunk(b"id: 1\ndata: x\n\n")
        await reply.send_chunk(b"")

    async def play():
        backend.script = hang
        stream = asyncio.ensure_future(fixture.ask("/s/x", Prefix_Hash="aa:5"))
        await wait_for(lambda: len(backend.received) == 1, "the stream has arrived")
        backend.script = answer
        fixture.announce(name, "llm", born=2)
        context.stream = await stream

    run(context, play())


@then("a stream that may be resumed is answered by the new start")
def step_stream(context):
    assert context.stream.status == 200, context.stream.data
    assert context.stream.whole


@then("a request that may run once ends without a second run")
def step_once(context):
    fixture = context.platform

    async def play():
        backend = await fixture.add_backend("i-2", "plain")
        fixture.announce("i-2", "plain", born=1)
        backend.script = hang
        caller = await fixture.connect("vm-1", HOST)
        lines = b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nApi-Key: k1\r\n"
        await wait_for(lambda: fixture.is_known("vm-1", "i-2"), "the server is known")
        await caller.send(
            lines + b"Attempt-Id: b1\r\nDeadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n"
        )
        await wait_for(lambda: len(backend.received) == 1, "the request has arrived")
        fixture.announce("i-2", "plain", born=2)
        answer = await caller.read()
        return answer.status, len(backend.received)

    assert run(context, play()) == (504, 1)
