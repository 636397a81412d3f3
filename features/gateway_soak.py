"""A randomized soak of gateway processes through the platform's adapter.

Real processes are killed, paused, stopped and restarted by signals; connections to
backend servers are delayed, silenced, cut one way, reset and muted for good by proxies;
the store refuses, hangs, loses answers and drops its history; servers leave, come and
start again under their id; another writer leaves entries that can't be read;
callers set headers that only ramppin sets. What callers got and what backend servers
ran is checked against the promises. Not here: a connection whose peer acknowledges
nothing, and a time of day that jumps; neither can be had on loopback without harming
the machine (features/gateway/silence.feature).

    python -m features.gateway_soak --seconds 10 --seeds 1-50
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import random
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

from features.gateway_support import RawAnswer, RawCaller
from features.platform_support import PlatformFixture, build_config
from features.proxy import Harm, Proxy
from ramppin_platform.vocabulary import HEADER_NAMES
from standins.backend import BackendStandIn, Reply

GATEWAYS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
PLAIN_SERVERS = 3
ENGINES = 3
CALLERS = 10
ANSWER_TIMEOUT_S = 9.0
LAST_EVENT = 4
MIN_SERVED = 20
"""Answers that must be whole for a run to have shown anything."""

EVENTS = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, LAST_EVENT + 1)]
KINDS = {"/a/": "once", "/r/": "repeatable", "/t/": "stream", "/s/": "resumable"}
FORGED = "77:7"
"""A value that ramppin sets for no header; any server that gets it, got it from a
caller."""

FORGED_HEADERS = sorted(
    name.decode()
    for name in HEADER_NAMES.never_from_caller
    if name not in (HEADER_NAMES.api_key, HEADER_NAMES.deadline_ms)
)

SPOILT_ENTRIES = (
    b"{}",
    b"\xff\xfe",
    b"[" * 2000,
    b'{"service": 5, "address": "127.0.0.1:\xc2\xb2"}',
)

EXTRA_ROUTES = (
    ("r3", "/r/", "idempotent", "plain", 2, False),
    ("r4", "/t/", "streaming", "llm", 1, False),
)


@dataclass
class Sent:
    """A request and what its caller got."""

    request_id: str
    path: str
    answer: RawAnswer = field(default_factory=RawAnswer)
    timed_out: bool = False
    harmed: bool = False
    forged: tuple[str, ...] = ()


@dataclass
class Soak:
    """One run with one seed."""

    seed: int
    seconds: float
    fixture: PlatformFixture = field(default_factory=PlatformFixture)
    proxies: dict[str, Proxy] = field(default_factory=dict)
    runs: Counter = field(default_factory=Counter)
    sent: list[Sent] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    forged_runs: list[str] = field(default_factory=list)
    version: int = 1
    names: dict[str, str] = field(default_factory=dict)
    starts: Counter = field(default_factory=Counter)
    sequences: Counter = field(default_factory=Counter)
    down: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)

    async def run(self) -> list[str]:
        """Run, and return what broke a promise."""
        await self._start()
        try:
            until = time.monotonic() + self.seconds
            callers = [self._call_until(until, n) for n in range(CALLERS)]
            await asyncio.gather(self._harm_until(until), *callers)
        finally:
            await self._stop()
        return self._check()

    async def _start(self) -> None:
        store = self.fixture.store
        await store.start()
        self._publish()
        for number in range(PLAIN_SERVERS + ENGINES):
            service = "plain" if number < PLAIN_SERVERS else "llm"
            await self._add_server(f"i-{number}", service)
        for number, host in enumerate(GATEWAYS, 1):
            await self.fixture.start_gateway(f"vm-{number}", host)

    async def _stop(self) -> None:
        for proxy in self.proxies.values():
            await proxy.stop()
        await self.fixture.stop()

    def _publish(self) -> None:
        config = build_config(self.version)
        for name, prefix, kind, service, attempts, resume in EXTRA_ROUTES:
            route = dict(config["routes"][1])
            route |= {"name": name, "path_prefix": prefix, "type": kind}
            route |= {"service": service, "max_attempts": attempts}
            config["routes"].append(route | {"stream_resume": resume})
        value = json.dumps(config).encode()
        self.fixture.store.put("keyed.op", "config", value)

    async def _add_server(self, server_id: str, service: str) -> None:
        backend = BackendStandIn(names=HEADER_NAMES)
        await backend.start()
        backend.script = self._build_script(server_id)
        proxy = Proxy(backend.port)
        await proxy.start()
        self.fixture.backends[server_id] = backend
        self.proxies[server_id] = proxy
        self.names[server_id] = service
        self._announce(server_id)

    def _announce(self, server_id: str, state: str = "ready") -> None:
        self.sequences[server_id] += 1
        entry = {
            "service": self.names[server_id],
            "address": f"127.0.0.1:{self.proxies[server_id].port}",
            "zone": "porto",
            "version": "v1",
            "capacity": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": self.sequences[server_id],
            "born": 1 + self.starts[server_id],
        }
        value = json.dumps(entry).encode()
        self.fixture.store.put("keyed.servers", server_id, value)

    # backend servers

    def _build_script(self, server_id: str):
        async def serve(reply: Reply) -> None:
            for name, value in reply.request.headers.items():
                if value == FORGED.encode():
                    self.forged_runs.append(f"{server_id} got {name.decode()}")
            wanted = reply.request.headers.get(b"target-instance", b"").decode()
            if wanted != server_id:
                await reply.answer(421, b"")
                return
            fate = self.random.random()
            if fate < 0.05:
                await reply.answer(503, b"", headers=b"Not-Executed: 1\r\n")
                return
            self.runs[reply.request_id.decode()] += 1
            await asyncio.sleep(self.random.uniform(0, 0.05))
            if fate < 0.1:
                reply.reset()
            elif self.names[server_id] == "llm":
                await self._stream(reply, breaks=fate < 0.2)
            elif fate < 0.15:
                await reply.answer(body=b"surplus", request_id=b"another")
                await reply.answer(body=reply.request_id)
            else:
                await reply.answer(body=reply.request_id)

        return serve

    async def _stream(self, reply: Reply, *, breaks: bool) -> None:
        after = int(reply.request.headers.get(b"last-event-id", b"0"))
        await reply.start_events()
        for event in EVENTS[after:]:
            await reply.send_chunk(event)
            await asyncio.sleep(self.random.uniform(0, 0.03))
            if breaks and self.random.random() < 0.4:
                await reply.send_chunk(event[:5])
                reply.reset()
                return
        await reply.send_chunk(b"")

    # callers

    async def _call_until(self, until: float, caller: int) -> None:
        number = 0
        while time.monotonic() < until:
            number += 1
            path = self.random.choice(list(KINDS))
            sent = Sent(f"c{caller}-{number}", path, forged=self._pick_forged())
            self.sent.append(sent)
            await self._call(sent)
            await asyncio.sleep(self.random.uniform(0, 0.04))

    def _pick_forged(self) -> tuple[str, ...]:
        """Return headers that a caller forges: of every third, one or two."""
        if self.random.random() > 1 / 3:
            return ()
        return tuple(self.random.sample(FORGED_HEADERS, self.random.randint(1, 2)))

    async def _call(self, sent: Sent) -> None:
        number = self.random.randrange(len(GATEWAYS))
        vm = f"vm-{number + 1}"
        sent.harmed = vm in self.down
        try:
            reader, writer = await asyncio.open_connection(
                GATEWAYS[number], self.fixture.ports[vm]
            )
        except OSError:
            return
        caller = RawCaller(0, reader, writer)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await caller.send(encode(sent))
                await caller.read(sent.answer)
        except TimeoutError:
            sent.timed_out = True
        except OSError:
            pass
        finally:
            sent.harmed = sent.harmed or vm in self.down
            caller.close()

    # faults

    async def _harm_until(self, until: float) -> None:
        harms = [
            self._kill,
            self._pause,
            self._terminate,
            self._harm_store,
            self._drop_history,
            self._harm_proxy,
            self._reset_proxy,
            self._mute_proxy,
            self._replace_server,
            self._restart_server,
            self._spoil_entry,
            self._change_settings,
        ]
        running = []
        while time.monotonic() < until:
            harm = self.random.choice(harms)
            self.faults.append(harm.__name__.strip("_"))
            running.append(asyncio.ensure_future(harm()))
            await asyncio.sleep(self.random.uniform(0.1, 0.6))
        await asyncio.gather(*running)

    def _pick_vm(self) -> tuple[str, str] | None:
        """Return a VM that is up, or None: at least one is left alone."""
        up = [n for n in range(len(GATEWAYS)) if f"vm-{n + 1}" not in self.down]
        if len(up) < 2:
            return None
        number = self.random.choice(up)
        return f"vm-{number + 1}", GATEWAYS[number]

    async def _kill(self) -> None:
        await self._restart(signal.SIGKILL)

    async def _terminate(self) -> None:
        await self._restart(signal.SIGTERM)

    async def _restart(self, number: signal.Signals) -> None:
        picked = self._pick_vm()
        if picked is None:
            return
        vm, host = picked
        self.down.add(vm)
        process = self.fixture.processes[vm]
        process.send_signal(number)
        await process.wait()
        await self.fixture.start_gateway(vm, host)
        self.down.discard(vm)

    async def _pause(self) -> None:
        picked = self._pick_vm()
        if picked is None:
            return
        vm, _ = picked
        self.down.add(vm)
        process = self.fixture.processes[vm]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 1.5))
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)
        self.down.discard(vm)

    async def _harm_store(self) -> None:
        store = self.fixture.store
        kind = self.random.choice(["refuse", "silent", "lose_answers"])
        setattr(store, kind, 503 if kind == "refuse" else True)
        await asyncio.sleep(self.random.uniform(0.2, 1.5))
        setattr(store, kind, 0 if kind == "refuse" else False)

    async def _drop_history(self) -> None:
        await asyncio.sleep(0)
        for topic in ("keyed.op", "keyed.servers"):
            self.fixture.store.drop_history(topic)

    async def _harm_proxy(self) -> None:
        proxy = self.random.choice(list(self.proxies.values()))
        proxy.harm = self.random.choice([Harm.DELAY, Harm.SILENCE, Harm.ONE_WAY])
        await asyncio.sleep(self.random.uniform(0.2, 1.5))
        proxy.harm = Harm.NONE

    async def _reset_proxy(self) -> None:
        await asyncio.sleep(0)
        self.random.choice(list(self.proxies.values())).reset_all()

    async def _mute_proxy(self) -> None:
        await asyncio.sleep(0)
        self.random.choice(list(self.proxies.values())).mute_open()

    async def _replace_server(self) -> None:
        """Let a server leave; its address goes to a new one of its service."""
        old = self.random.choice(list(self.proxies))
        new = f"{old.split('+')[0]}+{len(self.names)}"
        self._announce(old, "draining")
        await asyncio.sleep(self.random.uniform(0.2, 1.0))
        if old not in self.proxies:
            return
        self.fixture.store.put("keyed.servers", old, None)
        self.names[new] = self.names[old]
        self.proxies[new] = self.proxies.pop(old)
        backend = self.fixture.backends.pop(old)
        self.fixture.backends[new] = backend
        backend.script = self._build_script(new)
        self._announce(new)

    async def _restart_server(self) -> None:
        """Let a server start again under its id; what it ran is lost."""
        server_id = self.random.choice(list(self.proxies))
        self.proxies[server_id].reset_all()
        self.starts[server_id] += 1
        await asyncio.sleep(self.random.uniform(0, 0.5))
        if server_id in self.proxies:
            self._announce(server_id)

    async def _spoil_entry(self) -> None:
        """Let another writer leave an entry under a server's id for a while."""
        server_id = self.random.choice(list(self.proxies))
        spoilt = self.random.choice(SPOILT_ENTRIES)
        self.fixture.store.put("keyed.servers", server_id, spoilt)
        await asyncio.sleep(self.random.uniform(0.1, 0.8))
        if server_id in self.proxies:
            self._announce(server_id)

    async def _change_settings(self) -> None:
        await asyncio.sleep(0)
        self.version += self.random.randint(1, 5)
        self._publish()

    # promises

    def _check(self) -> list[str]:
        broken = [f"forged: {run}" for run in self.forged_runs]
        for sent in self.sent:
            broken += [f"{sent.request_id} {sent.path}: {b}" for b in self._judge(sent)]
        served = sum(sent.answer.status == 200 for sent in self.sent)
        if served < MIN_SERVED:
            broken.append(f"only {served} of {len(self.sent)} requests were served")
        return broken

    def _judge(self, sent: Sent) -> list[str]:
        kind, answer = KINDS[sent.path], sent.answer
        runs = self.runs[sent.request_id]
        found = []
        if kind in ("once", "stream") and runs > 1:
            found.append(f"ran {runs} times")
        if answer.status == 503 and kind in ("once", "stream") and runs:
            found.append("told that it did not run, and it ran")
        if answer.status == 503 and b"retry-after:" not in answer.head:
            found.append("refused without when to come back")
        if (
            answer.status
            and f"attempt-id: {sent.request_id}".encode() not in answer.head
        ):
            found.append(f"another's answer: {answer.head!r}")
        if answer.status == 200 and answer.whole and answer.body != expect(sent):
            found.append(f"a whole answer with a wrong body: {answer.body!r}")
        if answer.status in (400, 401, 404, 431):
            found.append(f"denied with {answer.status}")
        if sent.timed_out and not sent.harmed:
            found.append("no final answer in time")
        return found


def encode(sent: Sent) -> bytes:
    """Return a request's bytes."""
    lines = [f"POST {sent.path}x HTTP/1.1", "Host: h.example", "Api-Key: k1"]
    lines += [f"Attempt-Id: {sent.request_id}", "Deadline-Ms: 4000"]
    lines += ["Prefix-Hash: aa:10,bb:20,cc:5", "Content-Length: 2"]
    lines += [f"{name}: {FORGED}" for name in sent.forged]
    return "\r\n".join(lines).encode() + b"\r\n\r\nhi"


def expect(sent: Sent) -> bytes:
    """Return the body of a whole answer."""
    if KINDS[sent.path] in ("stream", "resumable"):
        return b"".join(EVENTS)
    return sent.request_id.encode()


def run_seed(seed: int, seconds: float) -> list[str]:
    """Run one seed and print what it did."""
    soak = Soak(seed, seconds)
    broken = asyncio.run(soak.run())
    statuses = Counter(sent.answer.status for sent in soak.sent)
    shown = " ".join(f"{status}:{count}" for status, count in sorted(statuses.items()))
    faults = " ".join(f"{k}:{v}" for k, v in sorted(Counter(soak.faults).items()))
    verdict = "BROKEN" if broken else "kept"
    print(f"seed {seed}: {verdict}; {len(soak.sent)} requests {shown}; {faults}")
    for line in broken[:10]:
        print(f"    {line}")
    sys.stdout.flush()
    return broken


def main() -> int:
    """Run the seeds and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0, help="for each seed")
    parser.add_argument("--seeds", default="1-50", help="FIRST-LAST")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    failed = [seed for seed in seeds if run_seed(seed, options.seconds)]
    print(f"{len(seeds)} seeds, {len(failed)} broken: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
