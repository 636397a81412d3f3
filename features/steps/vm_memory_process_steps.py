"""Steps: one gateway process with a memory limit, and callers that read slowly."""

from __future__ import annotations

import asyncio
import re
import socket
import time

from behave import given, then, when

from features.slow_readers import SlowReadersTrial, encode
from standins.common import wait_for

BEFORE_S = 1.0
ARRIVE_S = 2.0
AFTER_S = 2.0
REQUESTS_AT_A_TIME = 10


def run(context, work):
    return context.loop.run_until_complete(work)


def start(context, **options):
    trial = context.trial = SlowReadersTrial(**options)
    trial.begin("before")
    context.cleanups.append(trial.stop)
    run(context, trial.start())


@given("a gateway process with a memory limit of 200 MB")
def step_limited(context):
    start(context)


@given("a gateway process without a memory limit")
def step_unlimited(context):
    start(context, budget=False, quick_callers=0)


@given("a gateway process without a memory limit before one server")
def step_one_server(context):
    start(context, budget=False, quick_callers=0, servers=1)


async def play(trial: SlowReadersTrial, count: int, ask) -> None:
    """Let callers ask within a time, beside others that were there before."""
    await asyncio.sleep(BEFORE_S)
    trial.begin("meanwhile")
    for number in range(count):
        await ask(number)
        if number % REQUESTS_AT_A_TIME == 0:
            await asyncio.sleep(ARRIVE_S * REQUESTS_AT_A_TIME / count)
    trial.begin("after")
    await asyncio.sleep(AFTER_S)


@when(
    "{count:d} callers that read 1 kB a second ask for answers of {size:d} kB, every "
    "10th for 64 kB"
)
def step_slow(context, count, size):
    trial = context.trial

    async def ask(number: int) -> None:
        length = 64_000 if number % 10 == 0 else size * 1000
        await trial.add_slow(f"/size/{length}", length)

    run(context, play(trial, count, ask))


@when("{count:d} callers send bodies of {size:d} kB that their servers do not read")
def step_bodies(context, count, size):
    async def ask(number: int) -> None:
        await context.trial.add_slow("/unread", 0, body=bytes(size * 1000))

    run(context, play(context.trial, count, ask))


@then("its resident memory was never over {limit:d} MB")
def step_memory(context, limit):
    peak = context.trial.peak_mb
    print(f"resident memory: {peak:.0f} MB at most")
    assert peak <= limit, peak


@then(
    "the other callers were all served, their median no more than {limit:d} ms longer"
)
def step_others(context, limit):
    trial = context.trial
    assert not trial.failures, trial.failures
    before, after = trial.measure_median("before"), trial.measure_median("after")
    print(f"median of the other callers: {before:.1f} ms before, {after:.1f} ms after")
    assert after <= before + limit, (before, after)


@then("all answers of 64 kB are whole")
def step_small_whole(context):
    small = [caller for caller in context.trial.slow if caller.size == 64_000]
    run(context, context.trial.read_rest(small))
    broken = [caller for caller in small if not caller.whole]
    assert small
    assert not broken, [(c.status, len(c.data)) for c in broken]


@then("answers that were aborted ended with a reset, and each left a line")
def step_resets(context):
    async def check() -> None:
        trial = context.trial
        metrics = await trial.read_metrics()
        counted = int(metrics['ramppin_gateway_memory_aborts_total{peer="caller"}'])
        assert metrics["ramppin_gateway_memory_pauses_total"] > 0
        assert metrics["ramppin_gateway_memory_held_bytes"] <= 50_000_000

        def count_lines() -> int:
            # Lines over the rate limit are dropped and counted.
            dropped = sum(line["count"] for line in trial.read_lines("lines_dropped"))
            return len(trial.read_lines("connection_aborted")) + dropped

        await wait_for(lambda: count_lines() >= counted > 0, "a line for each")
        lines = trial.read_lines("connection_aborted")
        assert all(line["peer"] == "caller" for line in lines)
        ids = {line["request_id"] for line in lines}
        aborted = [c for n, c in enumerate(trial.slow) if f"r{n}" in ids]
        await trial.read_rest(aborted)
        assert all(c.was_reset and not c.whole for c in aborted)

    run(context, check())


@then(
    "at most {limit:d} bodies at a time were read, the others got 503 with Retry-After"
)
def step_refused(context, limit):
    trial = context.trial
    run(context, wait_for(lambda: count_open(trial) <= limit, "few are open"))
    refused = [caller for caller in trial.slow if caller.status == 503]
    assert len(refused) >= len(trial.slow) // 4, len(refused)
    assert all(b"Retry-After: 1.00" in caller.data for caller in refused)
    lines = trial.read_lines("refused")
    assert lines
    assert all("memory budget" in line["reason"] for line in lines), lines[0]
    # A reset that discards the answer would leave the caller in doubt.
    lost = [c for c in trial.slow if c.ended and not c.status]
    assert not lost, len(lost)


@when("{count:d} callers announce bodies of {size:d} kB and send nothing")
def step_announce(context, count, size):
    async def announce() -> None:
        head, _, body = encode("/unread", body=bytes(size * 1000)).partition(
            b"\r\n\r\n"
        )
        assert body
        for _ in range(count):
            _, writer = await asyncio.open_connection("127.0.0.1", context.trial.port)
            context.writers.append(writer)
            writer.write(head + b"\r\n\r\n")
        await asyncio.sleep(0.2)

    context.writers = []
    run(context, announce())


@then("one that sends {size:d} kB before it reads gets 503 as well")
def step_refused_writer(context, size):
    async def ask() -> None:
        trial = context.trial
        loop = asyncio.get_running_loop()
        sock = socket.create_connection(("127.0.0.1", trial.port))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32_768)
        sock.setblocking(False)
        with sock:
            # An error while it sends is one at which most clients give up.
            await loop.sock_sendall(sock, encode("/unread", body=bytes(size * 1000)))
            answer = await asyncio.wait_for(loop.sock_recv(sock, 1000), 10)
        assert answer.startswith(b"HTTP/1.1 503 "), answer

    run(context, ask())


def count_open(trial: SlowReadersTrial) -> int:
    return sum(not caller.status and not caller.ended for caller in trial.slow)


@when("one caller sends {count:d} requests for {size:d} kB and reads nothing for 1 s")
def step_pipelined(context, count, size):
    async def send() -> None:
        trial = context.trial
        reader, context.writer = await asyncio.open_connection("127.0.0.1", trial.port)
        context.reader = reader
        context.writer.transport.pause_reading()
        request = encode(f"/size/{size * 1000}")
        context.writer.write(request * count)
        await asyncio.sleep(1)

    run(context, send())


@then("the gateway holds at most {limit:d} kB")
def step_holds(context, limit):
    metrics = run(context, context.trial.read_metrics())
    held = metrics["ramppin_gateway_memory_held_bytes"]
    assert held <= limit * 1000, held


@then("the caller gets {count:d} answers of {size:d} kB once it reads")
def step_pipelined_answers(context, count, size):
    async def read() -> None:
        context.writer.transport.resume_reading()
        async with asyncio.timeout(20):
            for _ in range(count):
                head = await context.reader.readuntil(b"\r\n\r\n")
                length = int(re.search(rb"content-length: (\d+)", head.lower())[1])
                assert length == size * 1000
                await context.reader.readexactly(length)
        context.writer.close()

    run(context, read())


@when("{count:d} callers ask for answers of {size:d} kB, read them and stay connected")
def step_stay(context, count, size):
    async def ask() -> None:
        trial = context.trial
        await asyncio.sleep(0.3)
        context.before_mb = trial.measure_memory_mb()
        for _ in range(count):
            caller = await trial.add_slow(f"/size/{size * 1000}", size * 1000)
            await trial.read_rest([caller])
            assert caller.whole

    run(context, ask())


@then("its resident memory has grown by at most {limit:d} MB")
def step_grown(context, limit):
    grown = context.trial.measure_memory_mb() - context.before_mb
    print(f"resident memory has grown by {grown:.0f} MB")
    assert grown <= limit, grown


@when("a caller asks for an answer of {size:d} kB and reads nothing")
def step_unread(context, size):
    async def ask() -> None:
        trial = context.trial
        await trial.add_slow(f"/again/size/{size * 1000}", size * 1000)
        await wait_for(lambda: trial.slow[0].status == 200, "the answer has begun")

    run(context, ask())


@then("{count:d} requests that follow are answered within {limit:d} s")
def step_follow(context, count, limit):
    async def ask() -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", context.trial.port)
        began = time.monotonic()
        for _ in range(count):
            writer.write(encode("/again/size/10"))
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
            assert b" 200 " in head, head
            await reader.readexactly(10)
        writer.close()
        assert time.monotonic() - began <= limit

    run(context, ask())
