"""Steps: a table that is read from a store which answers some calls late or never."""

from __future__ import annotations

import asyncio
import contextlib
import random

from behave import given, then, when

from features.steps.gateway_wire_steps import run
from ramppin.errors import LogUnavailableError
from ramppin.gateway.connection.fetch import Fetcher
from ramppin.gateway.connection.joinedfetch import JoinedFetch
from ramppin.gateway.process.recovery.follower import Follower
from ramppin.gateway.process.recovery.replica import Replica
from ramppin_platform.store import StoreTable

BODY = b"x" * 800
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 800\r\n\r\n"
LATE_S = 4.0
PARTS = 8
"""Parts of an answer that comes slowly, over ``LATE_S``."""


class SilentStore:
    """Answers each call by the next of its ways; the last one holds for all others."""

    def __init__(self, ways: list[str]) -> None:
        self._ways = ways
        self.calls = 0

    async def start(self) -> int:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        way = self._ways[min(self.calls, len(self._ways) - 1)]
        self.calls += 1
        if way == "reset":
            writer.transport.abort()
            return
        if way == "never":
            await reader.read()
        elif way == "late":
            await asyncio.sleep(LATE_S)
            writer.write(HEAD + BODY)
        elif way == "slowly":
            writer.write(HEAD)
            for part in range(PARTS):
                await asyncio.sleep(LATE_S / PARTS)
                writer.write(BODY[part::PARTS])
        else:
            writer.write(HEAD + BODY)
        writer.close()


@given('a store whose first calls are answered "{ways}"')
def step_store(context, ways):
    context.store = SilentStore(ways.split(", "))
    context.cleanups.append(context.store.stop)
    port = run(context, context.store.start())
    context.fetcher = Fetcher("127.0.0.1", port, "store")


@when("a table is read from it within {limit:d} s")
def step_read(context, limit):
    async def read() -> str:
        began = context.loop.time()
        try:
            answer = await JoinedFetch(context.fetcher, "/", limit).run()
        except LogUnavailableError:
            return "failed"
        finally:
            context.took_s = context.loop.time() - began
        assert len(answer.body) == len(BODY)
        return "answered"

    context.end = run(context, read())


@then(
    'the read ends "{end}" after {least:f} to {most:f} s, '
    "and the store got {calls:d} calls"
)
def step_ended(context, end, least, most, calls):
    assert context.end == end
    assert least <= context.took_s <= most, context.took_s
    assert context.store.calls == calls, context.store.calls


class SpellStore:
    """A store that swallows the calls of some spells, and answers all others."""

    def __init__(self, spells: list[tuple[float, float]]) -> None:
        self._spells = spells
        self._loop = asyncio.get_running_loop()
        self._began = self._loop.time()

    @property
    def returned_at(self) -> float:
        return self._began + max(end for _, end in self._spells)

    async def start(self) -> int:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        self._server.close()

    def _is_silent(self) -> bool:
        passed = self._loop.time() - self._began
        return any(begin <= passed < end for begin, end in self._spells)

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                if self._is_silent():
                    await reader.read()
                    break
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n")
                writer.write(b'{"items":[],"end":0}')
        writer.close()


async def measure_late_s(seed: int) -> float:
    """Return how long after the store's last return a table was first read."""
    generator = random.Random(seed)
    spells, at = [], 0.0
    for _ in range(generator.randint(1, 3)):
        length_s = generator.uniform(0.3, 5.0)
        spells.append((at, at + length_s))
        at += length_s + generator.uniform(0.05, 1.0)
    loop = asyncio.get_running_loop()
    store = SpellStore(spells)
    port = await store.start()
    # A VM that starts while the store answers has nothing to wait for.
    table = StoreTable(Fetcher("127.0.0.1", port, "store"), "t")
    replica = Replica("t", lambda record: None)
    follower = Follower(replica, table, interval_s=1.0, wait_s=0.0, generator=generator)
    work = asyncio.create_task(follower.run())
    while not replica.started:
        await asyncio.sleep(0.02)
    late_s = loop.time() - store.returned_at
    work.cancel()
    store.stop()
    return late_s


@then(
    "each of {count:d} tables is read within {limit:d} s of the last return of a store "
    "that is silent once to three times"
)
def step_spells(context, count, limit):
    async def measure():
        return await asyncio.gather(*(measure_late_s(seed) for seed in range(count)))

    late = run(context, measure())
    over = {
        seed: round(late_s, 2) for seed, late_s in enumerate(late) if late_s > limit
    }
    assert not over, over
