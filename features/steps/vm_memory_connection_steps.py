"""Steps: connections from callers under the memory budget."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from features.steps.vm_memory_steps import KB, NOW, FakeHolder
from ramppin.gateway.connection.callerwire import (
    CallerConnection,
    ListenerState,
    Responder,
)
from ramppin.gateway.connection.heldmemory import HeldMemory, SendingRequest
from ramppin.gateway.process.memory import MemoryBudget

LARGE_BYTES = 16_000_000
"""More than the kernel buffers for a caller that does not read."""


class UnreadTransport(asyncio.Transport):
    """A connection whose peer has not read some bytes."""

    def __init__(self, unread: int) -> None:
        super().__init__()
        self.unread = unread

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return self.unread


class UnsentRequest(SendingRequest):
    """A request that its server has accepted."""

    def count_unsent(self) -> int:
        return 0

    def fail_unread(self) -> None:
        raise AssertionError


def run(context, work):
    return context.loop.run_until_complete(work)


def build_held(budget, unread: int, pauses: list[bool]) -> HeldMemory:
    def abort() -> None:
        # What the attempt does when its caller is gone.
        held.set_buffered(0)

    held = HeldMemory(budget, UnreadTransport(unread), pauses.append, abort)
    return held


@given(
    "a connection with {unread:d} kB unread and {buffered:d} kB buffered beside one "
    "with {other:d} kB unread"
)
def step_buffered(context, unread, buffered, other):
    context.found_aborted = []
    context.budget._note_aborted = context.found_aborted.append

    async def build() -> None:
        first = build_held(context.budget, unread * KB, [])
        first.start_answer([(b"name", b"first")])
        first._holding.answer_bytes = first._holding.buffered_bytes = buffered * KB
        first.measure_buffers(NOW - 9)
        second = build_held(context.budget, other * KB, [])
        second._holding.answer_bytes = other * KB
        second.measure_buffers(NOW - 1)

    run(context, build())


@then("{count:d} abort was noted, of the first connection")
def step_noted(context, count):
    found = [aborted.headers for aborted in context.found_aborted]
    assert found == [[(b"name", b"first")]] * count, found


@when("the answer of a connection is paused and its request sent to another server")
def step_other_server(context):
    context.pauses = []

    async def play() -> None:
        held = build_held(context.budget, 500 * KB, context.pauses)
        held.note_received(500 * KB)
        held.note_written(500 * KB)
        assert context.pauses == [True]
        held.start_sending(UnsentRequest())

    run(context, play())


@then("the pause of its answer has ended")
def step_ended(context):
    assert context.pauses == [True, False], context.pauses


class CountingBudget(MemoryBudget):
    """Counts the searches for connections to abort."""

    searches = 0

    def _list_candidates(self, now):
        self.searches += 1
        return super()._list_candidates(now)


@given("{count:d} small answers that hold {held:d} kB each")
def step_small(context, count, held):
    context.budget = CountingBudget(context.budget.budget_bytes)
    for _ in range(count):
        FakeHolder(context.budget).hold(held * KB, 60 * KB, 60 * KB, NOW)


@when("the budget is enforced {count:d} times without a sweep")
def step_enforced(context, count):
    for _ in range(count):
        context.budget.enforce(NOW)


@then("the connections were searched once")
def step_searched(context):
    assert context.budget.searches == 1, context.budget.searches


@then("once more after it has grown by {percent:d} %")
def step_grown(context, percent):
    size = context.budget.budget_bytes * percent // 100
    FakeHolder(context.budget).hold(size, 0, 0, NOW)
    context.budget.enforce(NOW)
    context.budget.enforce(NOW)
    assert context.budget.searches == 2, context.budget.searches


@then("once more at each sweep")
def step_swept(context):
    context.budget.sweep(NOW)
    context.budget.enforce(NOW)
    context.budget.sweep(NOW)
    assert context.budget.searches == 4, context.budget.searches


class CutResponder(Responder):
    """Cuts each answer after its first part."""

    def __init__(self, connection: CallerConnection) -> None:
        self.connection = connection

    def accept_request(self, request) -> None:
        self.connection.start_stream(200, [], None)
        self.connection.send_body(b"part")
        asyncio.get_running_loop().call_later(0.1, self.connection.abort)

    def accept_disconnect(self) -> None:
        pass

    def accept_backpressure(self, *, paused: bool) -> None:
        pass

    def end_request(self) -> None:
        pass


class LargeResponder(CutResponder):
    """Sends large answers."""

    def accept_request(self, request) -> None:
        self.connection.send_answer(200, [], b"x" * LARGE_BYTES)


async def exchange(state, build, *parts: bytes) -> tuple[bytes, bool]:
    """Send parts, then read; return the data and whether a reset ended it."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: CallerConnection(state, build), "127.0.0.1", 0
    )
    reader, writer = await asyncio.open_connection(
        *server.sockets[0].getsockname(), limit=KB
    )
    data, was_reset = b"", False
    try:
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.2)
        while piece := await asyncio.wait_for(reader.read(KB * KB), 5):
            data += piece
    except ConnectionResetError:
        was_reset = True
    finally:
        writer.close()
        server.close()
    return data, was_reset


@when("an answer to HTTP/1.0 without a length is cut")
def step_cut(context):
    request = b"GET / HTTP/1.0\r\n\r\n"
    work = exchange(ListenerState(), CutResponder, request)
    context.answer, context.was_reset = run(context, work)


@then("its caller sees a reset")
def step_reset(context):
    assert context.was_reset, context.answer


@when("a caller that has not read its answer sends a request and then no request")
def step_pipelined(context):
    request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
    state = ListenerState(memory=context.budget)
    work = exchange(state, LargeResponder, request, request, b"\x00\r\n\r\n")
    context.answer, context.was_reset = run(context, work)


@then("the caller gets its first answer whole and no other")
def step_one_answer(context):
    assert context.answer.count(b"HTTP/1.1 ") == 1, context.answer[-200:]
    assert len(context.answer) > LARGE_BYTES, len(context.answer)
