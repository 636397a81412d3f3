"""A soak of planned stops: real processes, callers until the process is gone.

VMs get SIGTERM, alone, several or all at once, in series, with SIGHUP and changes of
the routing settings around it. Some get a part of a processor's time, or are paused
around the signal, from outside. Callers use new and kept connections, send two requests
at once on one, read slowly or leave; some streams last to the end of the stop. New
connections go where a load balancer would send them.

Promises: no request is lost, as the users' rules define it for a planned stop; the
process ends by itself within its grace period and its last line is written.

    python -m features.stop_soak --seeds 1-50
    python -m features.stop_soak --form paused_at_signal --seeds 1-3
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import math
import os
import random
import signal
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from features.platform_support import build_config
from features.soak_runs import build_parser, run_seeds
from features.soak_vms import DOMAINS, VmSoak
from ramppin_platform.vocabulary import HEADER_NAMES
from standins.backend import BackendStandIn, Reply
from standins.common import wait_for

GRACE_S = 8.0
LATE_SHARE = 5 / 6
"""Share of the grace period from which a stream still at work may be cut."""

OWED_S = 3.0
"""Seconds after SIGTERM until which a request that is cut late counts as sent early."""

SLACK_S = 0.2
"""Seconds that a request not passed on may wait when its connection ends."""

AFTER_GRACE_S = 1.0
WARM_S = 1.5
"""Seconds for which callers come before the first signal."""

SERVERS, VMS = 6, 3
ROUTE_LIMIT_S = 12.0
STREAM_GAP_S = 0.2
PROBE_S, MISSES = 1.0, 2
RUN_S = 0.05
"""Seconds for which a process with a part of a processor runs at a time."""

SLOW_BYTES = 60_000
"""Bytes of an answer that is read slowly; more than the buffers of its sockets."""


@dataclass
class Sent:
    """One request as its caller and the servers saw it.

    Attributes:
        vm: where it was sent.
        kind: how its caller uses the connection.
        at: when its last byte was sent, by the harness's clock.
        ended_at: when its answer or its connection ended.
        status: of its answer; 0 for none.
        whole: whether its answer is.
        was_reset: whether the connection was reset; a clean end shows that the process
            had read all that arrived.
        was_given_up: whether the caller itself left.
        arrived: when each server began and ended its work on it.
    """

    request_id: str
    vm: str
    kind: str
    at: float
    ended_at: float = math.inf
    status: int = 0
    whole: bool = False
    was_reset: bool = False
    was_given_up: bool = False
    arrived: list[list[float]] = field(default_factory=list)


@dataclass(frozen=True)
class Form:
    """What befalls the processes that stop.

    Attributes:
        stopped: how many VMs get SIGTERM.
        gap_s: seconds between two of them.
        share: part of a processor's time that they get, from outside.
        pause_at_s: when they are paused, in seconds after SIGTERM; None if never.
        pause_s: for how long.
        hangups: whether SIGHUP and changes of settings come around the stop.
        kinds: kinds of callers and how many of each per VM.
    """

    stopped: int = 1
    gap_s: float = 0.0
    share: float = 1.0
    pause_at_s: float | None = None
    pause_s: float = 0.0
    hangups: bool = False
    kinds: tuple[str, ...] = ("new", "kept", "slow", "stream", "late")


ALL_KINDS = ("new", "kept", "pipelined", "slow", "half_closed", "stream", "late")

FORMS = {
    "undisturbed": Form(),
    "pipelined": Form(kinds=("pipelined", "new", "stream")),
    "paused_before_signal": Form(pause_at_s=-0.2, pause_s=0.5),
    "paused_at_signal": Form(pause_at_s=0.0, pause_s=0.5),
    "paused_after_signal": Form(pause_at_s=2.7, pause_s=0.5),
    "paused_at_end": Form(pause_at_s=7.1, pause_s=0.5),
    "quarter": Form(share=0.25),
    "seventh": Form(share=0.15),
    "series": Form(stopped=3, gap_s=1.0, hangups=True),
    "all": Form(stopped=3, hangups=True, kinds=ALL_KINDS),
    "all_quarter": Form(stopped=3, gap_s=0.3, share=0.25, hangups=True),
    "two_seventh": Form(stopped=2, gap_s=0.6, share=0.15, hangups=True),
}


class StopServer(BackendStandIn):
    """Answers after the time that a request asks for, at once or piece by piece."""

    def __init__(self, sent: dict[str, Sent]) -> None:
        super().__init__(names=HEADER_NAMES)
        self._sent = sent
        self.script = self._work_on

    async def _work_on(self, reply: Reply) -> None:
        found = self._sent.get(reply.request_id.decode())
        if found is None:
            await reply.answer(body=b'{"phase":"unified"}')
            return
        times = [time.monotonic(), math.inf]
        found.arrived.append(times)
        try:
            await self._answer(reply, found)
        finally:
            times[1] = time.monotonic()

    async def _answer(self, reply: Reply, found: Sent) -> None:
        work_s, size, is_open = reply.request.body.decode().split(",")
        if found.kind not in ("stream", "late"):
            await asyncio.sleep(float(work_s))
            await reply.answer(body=b"x" * int(size))
            return
        if int(is_open):
            head = reply.head(200, b"Content-Type: text/event-stream\r\n")
            await reply.send(head + b"\r\n")
            send = reply.send
        else:
            await reply.start_events()
            send = reply.send_chunk
        until = time.monotonic() + float(work_s)
        number = 0
        while time.monotonic() < until:
            number += 1
            await send(b"id: %d\ndata: piece\n\n" % number)
            await asyncio.sleep(STREAM_GAP_S)
        if int(is_open):
            reply.writer.close()
        else:
            await reply.send_chunk(b"")


@dataclass
class StopSoak(VmSoak):
    """One run of one form with one seed."""

    vms: int = VMS
    form: str = "undisturbed"
    sent: dict[str, Sent] = field(default_factory=dict)
    signalled_at: dict[str, float] = field(default_factory=dict)
    gone_at: dict[str, float] = field(default_factory=dict)
    codes: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.rules = FORMS[self.form] if self.form else draw_form(self.seed)
        self.is_over = False
        self._ids = 0
        self._in: set[str] = set()
        self._version = 1
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.started_at

    async def run(self) -> list[str]:
        """Play the form, and return what broke a promise."""
        await self._start()
        try:
            self.started_at = time.monotonic()
            self._in = set(self.hosts)
            self._tasks = [asyncio.ensure_future(task) for task in self._list_tasks()]
            await asyncio.sleep(WARM_S)
            await self._stop_vms()
            await asyncio.sleep(0.3)
            self.is_over = True
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            # Transports that were aborted close in the loop's next turns.
            await asyncio.sleep(0.05)
            self.logs = {vm: self.fixture.find_log(vm).read_text() for vm in self.codes}
        finally:
            await self.fixture.stop()
        return self._check()

    def run_and_show(self) -> list[str]:
        """Run, print what was done, and return what broke a promise."""
        broken = asyncio.run(self.run())
        state = "BROKEN" if broken else "kept"
        print(f"seed {self.seed}: {state}; {self.show()}")
        return broken

    async def _start(self) -> None:
        self.fixture.more_settings = {"bounds.grace_s": f"{GRACE_S:g}"}
        await self.fixture.store.start()
        self._put_config()
        for number in range(SERVERS):
            server = StopServer(self.sent)
            await server.start()
            name = f"e-{number}"
            self.fixture.backends[name] = server
            service = "llm" if number % 2 else "plain"
            zone = DOMAINS[number % len(DOMAINS)]
            self.fixture.announce(name, service, zone=zone, capacity=200)
        first, *rest = self.hosts
        await self._begin(first)
        await asyncio.gather(*map(self._begin, rest))
        await wait_for(self._know_each_other, "VMs know each other")

    def _put_config(self) -> None:
        config = build_config(self._version)
        for route in config["routes"]:
            route["timeout_ms"] = round(ROUTE_LIMIT_S * 1000)
        config["services"][0] |= {"max_connections": 2000}
        config["services"][1] |= {"max_connections": 2000}
        config["services"][1]["engine"] |= {"capacity": 200}
        value = json.dumps(config).encode()
        self.fixture.store.put("keyed.op", "config", value)

    def _list_tasks(self):
        yield self._balance()
        for vm in self.hosts:
            for kind in self.rules.kinds:
                yield getattr(self, f"_call_{kind}")(vm)

    # what befalls the VMs

    async def _balance(self) -> None:
        """Note which VMs a load balancer has in."""
        misses = Counter()
        while True:
            await asyncio.sleep(PROBE_S)
            for vm, host in self.hosts.items():
                started = self.fixture.find_started(vm)
                is_ready = await self._probe(host, started["readiness"])
                misses[vm] = 0 if is_ready else misses[vm] + 1
                if is_ready:
                    self._in.add(vm)
                elif misses[vm] >= MISSES:
                    self._in.discard(vm)

    async def _probe(self, host: str, port: int) -> bool:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(PROBE_S):
                return await self.fixture.is_ready(host, port)
        return False

    def _is_in(self, vm: str) -> bool:
        """Return whether new connections come to a VM."""
        return vm in self._in or 2 * len(self._in) < len(self.hosts)

    async def _stop_vms(self) -> None:
        chosen = self.fault_random.sample(list(self.hosts), self.rules.stopped)
        stops = []
        for vm in chosen:
            stops.append(asyncio.ensure_future(self._stop_vm_as_planned(vm)))
            await asyncio.sleep(self.rules.gap_s)
        if self.rules.hangups:
            await self._hang_up(chosen)
        await asyncio.gather(*stops)

    async def _hang_up(self, chosen: list[str]) -> None:
        """Change settings, and tell the VMs that stop of it, again and again."""
        for number in range(4):
            self._version += 1
            self._put_config()
            for vm in chosen:
                extra = str(20 + number)
                self.fixture.change_settings(vm, "bounds.retry_min_extra", extra)
                with contextlib.suppress(ProcessLookupError):
                    send_signal(self.fixture.processes[vm], signal.SIGHUP)
            await asyncio.sleep(self.fault_random.uniform(0.3, 1.2))

    async def _stop_vm_as_planned(self, vm: str) -> None:
        process = self.fixture.processes[vm]
        harm = asyncio.ensure_future(self._hold_back(vm))
        rules = self.rules
        lead_s = max(0.0, -(rules.pause_at_s or 0.0))
        await asyncio.sleep(lead_s + self.fault_random.uniform(0.0, 0.3))
        self.signalled_at[vm] = time.monotonic()
        self.faults.append(f"{vm} SIGTERM@{self.now:.2f}")
        send_signal(process, signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(process.wait(), GRACE_S)
        harm.cancel()
        if process.returncode is None:
            process.kill()
            self.faults.append(f"{vm} SIGKILL")
        self.codes[vm] = await process.wait()
        self.gone_at[vm] = time.monotonic()

    async def _hold_back(self, vm: str) -> None:
        """Give a process its part of a processor's time, or pause it."""
        process, rules = self.fixture.processes[vm], self.rules
        with contextlib.suppress(ProcessLookupError):
            if rules.pause_at_s is not None:
                await self._pause(vm)
            while rules.share < 1.0:
                await asyncio.sleep(RUN_S)
                send_signal(process, signal.SIGSTOP)
                await asyncio.sleep(RUN_S / rules.share - RUN_S)
                send_signal(process, signal.SIGCONT)

    async def _pause(self, vm: str) -> None:
        """Pause a process once, around the moment that the form names."""
        process, rules = self.fixture.processes[vm], self.rules
        if rules.pause_at_s <= 0:
            # Just before the signal, which it then handles when it goes on.
            while vm not in self.signalled_at and rules.pause_at_s == 0:
                send_signal(process, signal.SIGSTOP)
                await asyncio.sleep(0.005)
                if vm not in self.signalled_at:
                    send_signal(process, signal.SIGCONT)
                    await asyncio.sleep(0.0)
            if rules.pause_at_s < 0:
                send_signal(process, signal.SIGSTOP)
        else:
            await wait_for(lambda: vm in self.signalled_at, "the signal", 60)
            await asyncio.sleep(rules.pause_at_s)
            send_signal(process, signal.SIGSTOP)
        await asyncio.sleep(rules.pause_s)
        send_signal(process, signal.SIGCONT)

    # callers

    def _begin_request(self, vm: str, kind: str, work: str) -> tuple[Sent, bytes]:
        self._ids += 1
        sent = Sent(f"r{self._ids}", vm, kind, time.monotonic())
        self.sent[sent.request_id] = sent
        path = "/s/x" if kind in ("stream", "late") else "/a/x"
        lines = [
            f"POST {path} HTTP/1.1",
            "Host: h.example",
            "Api-Key: k1",
            f"Attempt-Id: {sent.request_id}",
            f"Deadline-Ms: {round(ROUTE_LIMIT_S * 1000)}",
            f"Content-Length: {len(work)}",
        ]
        return sent, "\r\n".join(lines).encode() + b"\r\n\r\n" + work.encode()

    @contextlib.asynccontextmanager
    async def _connect(self, vm: str) -> AsyncIterator[tuple]:
        port = self.fixture.ports[vm]
        reader, writer = await asyncio.open_connection(self.hosts[vm], port)
        try:
            yield reader, writer
        finally:
            writer.transport.abort()

    async def _await_turn(self, vm: str, per_s: float) -> bool:
        """Wait for the next caller; return whether it comes to this VM."""
        await asyncio.sleep(self.random.expovariate(per_s))
        while not self._is_in(vm):
            await asyncio.sleep(0.05)
        return vm not in self.gone_at

    async def _come(self, vm: str, per_s: float, ask) -> None:
        """Let callers come until the run is over."""
        calls = set()
        try:
            while not self.is_over:
                if not await self._await_turn(vm, per_s):
                    await asyncio.sleep(0.1)
                    continue
                task = asyncio.ensure_future(self._guard(ask(vm)))
                calls.add(task)
                task.add_done_callback(calls.discard)
        finally:
            for task in calls:
                task.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

    async def _guard(self, call) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await call

    async def _call_new(self, vm: str) -> None:
        await self._come(vm, 12.0, lambda vm: self._ask_on_new(vm, "new", 0.05))

    async def _call_stream(self, vm: str) -> None:
        async def ask(vm: str) -> None:
            await self._ask_on_new(vm, "stream", self.random.choice((0.5, 2.0, 5.0)))

        await self._come(vm, 3.0, ask)

    async def _call_late(self, vm: str) -> None:
        """Streams on new connections around the end of what a stopping VM owes.

        A load balancer sends them where most VMs of a failure domain stop together.
        """
        while vm not in self.signalled_at:
            await asyncio.sleep(0.02)
        calls = [self._ask_late(vm, is_endless=n % 2 == 0) for n in range(60)]
        await asyncio.gather(*map(self._guard, calls))

    async def _ask_late(self, vm: str, *, is_endless: bool) -> None:
        left_s = self.signalled_at[vm] - time.monotonic()
        await asyncio.sleep(max(0.0, left_s + self.random.uniform(2.4, 3.6)))
        work_s = 9.0 if is_endless else self.random.uniform(1.0, 4.4)
        await self._ask_on_new(vm, "late", work_s)

    async def _ask_on_new(self, vm: str, kind: str, work_s: float) -> None:
        async with self._connect(vm) as (reader, writer):
            is_open = int(kind == "stream" and self.random.random() < 0.2)
            work = f"{work_s},200,{is_open}"
            await self._send_and_read(reader, writer, vm, kind, work)

    async def _send_and_read(self, reader, writer, vm, kind, work) -> bool:
        """Send a request; return whether another one may follow its answer."""
        sent, data = self._begin_request(vm, kind, work)
        writer.write(data)
        sent.at = time.monotonic()
        return await self._read(reader, sent)

    async def _call_kept(self, vm: str) -> None:
        """Callers with kept connections, one request after the other."""
        await asyncio.gather(*(self._keep(vm) for _ in range(12)))

    async def _keep(self, vm: str) -> None:
        while not self.is_over:
            if not await self._await_turn(vm, 20.0):
                return
            with contextlib.suppress(OSError):
                async with self._connect(vm) as (reader, writer):
                    while not self.is_over:
                        work = f"{self.random.choice((0.01, 0.1, 0.6))},200,0"
                        if not await self._send_and_read(
                            reader, writer, vm, "kept", work
                        ):
                            break
                        await asyncio.sleep(self.random.uniform(0.0, 0.4))

    async def _call_pipelined(self, vm: str) -> None:
        """Callers that send two requests at once."""
        await asyncio.gather(*(self._pipeline(vm) for _ in range(10)))

    async def _pipeline(self, vm: str) -> None:
        while not self.is_over:
            if not await self._await_turn(vm, 20.0):
                return
            with contextlib.suppress(OSError):
                async with self._connect(vm) as (reader, writer):
                    while await self._send_pair(reader, writer, vm):
                        await asyncio.sleep(self.random.uniform(0.0, 0.2))

    async def _send_pair(self, reader, writer, vm: str) -> bool:
        work = f"{self.random.choice((0.1, 0.3))},200,0"
        pair = [self._begin_request(vm, "pipelined", work) for _ in range(2)]
        writer.write(pair[0][1] + pair[1][1])
        for sent, _ in pair:
            sent.at = time.monotonic()
        kept = [await self._read(reader, sent) for sent, _ in pair]
        return all(kept) and not self.is_over

    async def _call_slow(self, vm: str) -> None:
        """Callers that read an answer slowly."""

        async def ask(vm: str) -> None:
            async with self._connect(vm) as (reader, writer):
                sent, data = self._begin_request(vm, "slow", f"0.05,{SLOW_BYTES},0")
                writer.write(data)
                sent.at = time.monotonic()
                writer.transport.pause_reading()
                await asyncio.sleep(self.random.uniform(0.1, 0.8))
                writer.transport.resume_reading()
                await self._read(reader, sent)

        await self._come(vm, 2.0, ask)

    async def _call_half_closed(self, vm: str) -> None:
        """Callers that close their side at once, which counts as leaving."""

        async def ask(vm: str) -> None:
            async with self._connect(vm) as (reader, writer):
                sent, data = self._begin_request(vm, "half_closed", "0.05,200,0")
                sent.was_given_up = True
                writer.write(data)
                writer.write_eof()
                await self._read(reader, sent)

        await self._come(vm, 2.0, ask)

    async def _read(self, reader: asyncio.StreamReader, sent: Sent) -> bool:
        """Read an answer; return whether the connection stays open after it."""
        is_kept = False
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            sent.status = int(head.split(b" ", 2)[1])
            is_kept = b"connection: close" not in head
            sent.whole = await self._read_body(reader, head)
        except asyncio.CancelledError:
            sent.was_given_up = True
            raise
        except asyncio.IncompleteReadError:
            is_kept = False
        except OSError:
            sent.was_reset = True
            is_kept = False
        sent.ended_at = time.monotonic()
        return is_kept and sent.whole

    async def _read_body(self, reader: asyncio.StreamReader, head: bytes) -> bool:
        if b"transfer-encoding: chunked" in head:
            while size := int(await reader.readline() or b"-1", 16):
                if size < 0:
                    return False
                await reader.readexactly(size + 2)
            await reader.readexactly(2)
            return True
        for line in head.split(b"\r\n"):
            if line.startswith(b"content-length:"):
                await reader.readexactly(int(line.partition(b":")[2]))
                return True
        # It ends with its connection; a reset raises.
        await reader.read()
        return True

    # promises

    def find_loss(self, sent: Sent) -> str:
        """Return how a request was lost by the users' rule, or an empty string."""
        signalled = self.signalled_at.get(sent.vm)
        if signalled is None:
            return ""
        until = signalled + GRACE_S + AFTER_GRACE_S
        if sent.whole or sent.was_given_up or sent.ended_at < signalled:
            return ""
        if sent.at > until or sent.ended_at > until:
            return ""
        sent_s, cut_s = sent.at - signalled, sent.ended_at - signalled
        work = [[round(t - signalled, 2) for t in times] for times in sent.arrived]
        at = (
            f"{sent.request_id} {sent.kind} sent {sent_s:.2f} cut {cut_s:.2f} "
            f"status {sent.status} reset {sent.was_reset} at servers {work}"
        )
        if not sent.arrived:
            if sent.was_reset or sent.ended_at - sent.at <= SLACK_S:
                return ""
            return f"{at}, read and not passed on"
        late = signalled + LATE_SHARE * GRACE_S
        was_late = sent.arrived[-1][1] >= min(late, sent.ended_at - SLACK_S)
        if sent.ended_at >= late and was_late and sent_s <= OWED_S:
            return ""
        return f"{at}, passed on"

    def list_lost(self) -> list[str]:
        """Return the requests that were lost."""
        return list(filter(None, map(self.find_loss, self.sent.values())))

    def _count_lost(self) -> str:
        """Return how many requests of each kind were lost."""
        lost = Counter(s.kind for s in self.sent.values() if self.find_loss(s))
        return f"{sum(lost.values())} {dict(lost)}"

    def _check(self) -> list[str]:
        lost = self.list_lost()
        broken = [f"{len(lost)} requests lost", *lost[:6]] if lost else []
        for vm, code in self.codes.items():
            took_s = self.gone_at[vm] - self.signalled_at[vm]
            if code:
                broken.append(f"{vm} ended with {code} after {took_s:.2f} s")
            lines = self.logs[vm].splitlines()
            if not any('"event":"stopped"' in line for line in lines[-3:]):
                broken.append(f"{vm} did not write its last line: {lines[-1:]}")
        return broken

    def show(self) -> str:
        """Return what was done and what callers got."""
        after = [
            sent
            for sent in self.sent.values()
            if sent.at >= self.signalled_at.get(sent.vm, math.inf)
        ]
        refused = Counter(s.kind for s in after if s.status == 503)
        gone = [f"{self.gone_at[vm] - self.signalled_at[vm]:.2f}" for vm in self.codes]
        return (
            f"{self.form or self.rules}: {len(self.sent)} requests, "
            f"{len(after)} at stopping VMs, "
            f"{sum(refused.values())} of them refused {dict(refused)}, "
            f"{sum(s.whole for s in after)} answered whole, "
            f"{self._count_lost()} lost; gone after {' '.join(gone)} s; "
            f"{' '.join(self.faults)}"
        )


def send_signal(process: asyncio.subprocess.Process, number: signal.Signals) -> None:
    """Send a signal, and leave the exit code of a process that has ended to its waiter.

    Process.send_signal would take the code, and the waiter report 255.
    """
    if process.returncode is None:
        os.kill(process.pid, number)


def draw_form(seed: int) -> Form:
    """Return the form that a seed draws."""
    generator = random.Random(f"form-{seed}")
    return Form(
        stopped=generator.randint(1, VMS),
        gap_s=generator.choice((0.0, generator.uniform(0.1, 1.5))),
        share=generator.choice((1.0, 1.0, 0.25, 0.15)),
        pause_at_s=generator.choice(
            (None, -0.2, 0.0, generator.uniform(0.1, 3.0), generator.uniform(6.0, 7.4))
        ),
        pause_s=generator.uniform(0.1, 0.5),
        hangups=generator.random() < 0.5,
        kinds=ALL_KINDS,
    )


def run_seed(seed: int, options: argparse.Namespace) -> list[str]:
    """Run one seed of a form, or of the form that the seed draws."""
    soak = StopSoak(seed, options.seconds, options.vms, form=options.form)
    return soak.run_and_show()


def main() -> int:
    """Run seeds and return the exit code."""
    parser = build_parser(__doc__, seconds=0.0, vms=VMS)
    parser.add_argument(
        "--form", choices=sorted(FORMS), default="", help="the form to play"
    )
    return run_seeds(parser.parse_args(), run_seed)


if __name__ == "__main__":
    sys.exit(main())
