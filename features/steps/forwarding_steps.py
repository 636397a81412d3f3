"""Steps: requests that take the path through another VM, gateways in one process."""

from __future__ import annotations

import asyncio
import errno
import json
import random
import socket
import struct
import time
from unittest.mock import patch

from behave import given, then, when

from features.gateway_support import (
    GatewayFixture,
    RawAnswer,
    RawCaller,
    build_tree,
    encode_request,
)
from ramppin.errors import NotSentError
from ramppin.gateway.connection.datagrams import DatagramLink
from ramppin.gateway.connection.httpwire import HeaderNames
from ramppin.gateway.connection.pool import ConnectionPool
from ramppin.gateway.process.membership.pathprobe import PathProbe
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.reachability import Reachability
from ramppin.gateway.process.routing.serverstate import BackendServer
from standins.common import wait_for
from standins.tables import TableStandIn

NAMES = HeaderNames()
HOSTS = {"vm-1": "127.0.3.1", "vm-2": "127.0.3.2", "vm-3": "127.0.3.3"}
OUTSIDER = "127.0.3.9"
EVENTS = 8
EVENT_GAP_S = 0.05
BODY = b"a body of the caller"


def end_by_reset(writer: asyncio.StreamWriter) -> None:
    """Let the close of a connection be a reset."""
    linger = struct.pack("ii", 1, 0)
    found = writer.get_extra_info("socket")
    found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def run(context, work):
    return context.loop.run_until_complete(asyncio.wait_for(work, 60))


class Fleet:
    """Gateways that share tables and backend servers."""

    def __init__(self) -> None:
        self.settings, self.servers = TableStandIn(), TableStandIn()
        self.members, self.homes = TableStandIn(), TableStandIn()
        self.build_table, self.origin_table = TableStandIn(), TableStandIn()
        self.vms: dict[str, GatewayFixture] = {}
        self.open_calls: dict[str, object] = {}
        self.ids = 0
        self.answers: list[RawAnswer] = []
        self.took_s: list[float] = []
        self.gap_s = EVENT_GAP_S
        self.ender: asyncio.Server | None = None
        self.builds: list[str] = []

    @property
    def first(self) -> GatewayFixture:
        return self.vms["vm-1"]

    async def start(self, vms: list[str], plain: int, model: int) -> None:
        ports = (0, 0)
        for vm in vms:
            fixture = GatewayFixture(
                vm,
                HOSTS[vm],
                settings=self.settings,
                servers=self.servers,
                members=self.members,
                homes=self.homes,
                builds=self.build_table,
                origins=self.origin_table,
                peer_port=ports[0],
                records_port=ports[1],
            )
            self.vms[vm] = fixture
            if vm == vms[0]:
                fixture.publish(build_tree())
                for n in range(plain):
                    backend = await fixture.add_backend(f"p{n}", "plain")
                    backend.script = self._answer
                for n in range(model):
                    build = {"build": self.builds[n]} if self.builds else {}
                    backend = await fixture.add_backend(f"m{n}", "model", **build)
                    backend.script = self._stream
            await fixture.start()
            gateway = fixture.gateway
            ports = (gateway.context.forward_port, gateway.records_port)
        for fixture in self.vms.values():
            await fixture.wait_until_ready(plain + model)
            members = fixture.gateway.tables.members
            await wait_for(lambda m=members: len(m) == len(vms) - 1, "VMs are known")

    async def stop(self) -> None:
        for fixture in self.vms.values():
            await fixture.stop()
        if self.ender is not None:
            self.ender.close()

    async def _answer(self, reply) -> None:
        await asyncio.sleep(self.gap_s)
        await reply.answer()

    async def _stream(self, reply) -> None:
        await reply.start_events()
        last = int(reply.request.headers.get(b"last-event-id", b"0"))
        for number in range(last + 1, EVENTS + 1):
            await reply.send_chunk(b"id: %d\ndata: x\n\n" % number)
            await asyncio.sleep(self.gap_s)
        await reply.send_chunk(b"")

    def cut(self, vm: str) -> None:
        """Let a VM find no connection to backend servers, and know it."""
        self.break_links(vm)
        context = self.vms[vm].gateway.context
        now = asyncio.get_running_loop().time()
        for state in context.directory:
            context.reachability.note_failed(state, now)

    def break_links(self, vm: str) -> None:
        """Let a VM find no connection to backend servers."""
        pool = self.vms[vm].gateway.context.pool
        open_call = self.open_calls[vm] = pool.open

        async def open_unless_cut(peer, host, port, **options):
            if peer.startswith("vm:"):
                return await open_call(peer, host, port, **options)
            raise NotSentError(
                str(errno.ECONNREFUSED), step="connect", peer=peer, is_refused=True
            )

        pool.open = open_unless_cut

    async def end_links(self, vm: str, ended: str) -> None:
        """Let a VM's connections to backend servers be ended as a row says."""
        pool = self.vms[vm].gateway.context.pool
        open_call = self.open_calls[vm] = pool.open

        async def end(reader, writer) -> None:
            if ended.endswith("once data arrives"):
                await reader.read(1)
            if ended.startswith("reset"):
                end_by_reset(writer)
            writer.transport.abort()

        self.ender = await asyncio.start_server(end, HOSTS[vm], 0)
        away = self.ender.sockets[0].getsockname()

        async def open_to_be_ended(peer, host, port, **options):
            host, port = (host, port) if peer.startswith("vm:") else away
            return await open_call(peer, host, port, **options)

        pool.open = open_to_be_ended

    def heal(self, vm: str) -> None:
        self.vms[vm].gateway.context.pool.open = self.open_calls[vm]

    async def connect(self, vm: str) -> RawCaller:
        port = self.vms[vm].gateway.caller_port
        found = await asyncio.open_connection(HOSTS[vm], port)
        caller = RawCaller(port, *found)
        self.vms[vm].callers.append(caller)
        return caller

    async def ask(self, vm: str, path: str, **options) -> RawAnswer:
        self.ids += 1
        options = {"request_id": f"a{self.ids}", "body": BODY} | options
        caller = await self.connect(vm)
        began = time.monotonic()
        await caller.send(encode_request(path, **options))
        answer = await caller.read()
        self.took_s.append(time.monotonic() - began)
        self.answers.append(answer)
        return answer

    def list_received(self) -> list:
        return self.first.list_received()

    def list_lines(self, vm: str) -> list[dict]:
        fixture = self.vms[vm]
        fixture.gateway.context.decisions.flush()
        lines = fixture.log_path.read_text().splitlines()
        return [json.loads(line) for line in lines]


@given('VMs "{vms}" before {plain:d} servers of "plain" and {model:d} of "model"')
def step_fleet(context, vms, plain, model):
    context.fleet = Fleet()
    context.cleanups.append(context.fleet.stop)
    run(context, context.fleet.start(vms.split(), plain, model))


@given('"{vms}" is cut off from all servers')
def step_cut(context, vms):
    async def cut() -> None:
        for vm in vms.split():
            context.fleet.cut(vm)

    run(context, cut())


@given('"{vm}" finds no connection to any server, and does not know it yet')
def step_break_links(context, vm):
    context.fleet.break_links(vm)


@given('connections of "{vm}" to servers are {ended}, and it does not know it yet')
def step_end_links(context, vm, ended):
    run(context, context.fleet.end_links(vm, ended))


@given('"{vm}" has heard that "{other}" is cut off')
def step_heard(context, vm, other):
    members = context.fleet.vms[vm].gateway.tables.members

    def is_told() -> bool:
        [member] = [m for m in members.list_last_seen_first() if m.vm == other]
        return "plain" in member.unreachable

    run(context, wait_for(is_told, "the other VM says so"))


@then('"{vm}" has no line on them')
def step_no_lines(context, vm):
    lines = [x for x in context.fleet.list_lines(vm) if "request_id" in x]
    assert not lines, lines


@given("all servers ask for a rest of {rest:d} s")
def step_rest(context, rest):
    async def refuse(reply) -> None:
        words = b"Retry-After: %d\r\nRamppin-Not-Run: yes\r\n" % rest
        await reply.answer(503, b"", headers=words)

    for backend in context.fleet.first.backends.values():
        backend.script = refuse


@given('"{vm}" accepts requests of other VMs and says nothing')
def step_mute(context, vm):
    fixture = context.fleet.vms[vm]

    async def mute() -> None:
        server = fixture.gateway._servers["forwards"]
        port = server.sockets[0].getsockname()[1]
        server.close()
        mute_server = await asyncio.start_server(
            lambda reader, writer: asyncio.sleep(60), HOSTS[vm], port
        )

        async def stop() -> None:
            mute_server.close()

        context.cleanups.append(stop)

    run(context, mute())


@when('a caller of "{vm}" sends a request to "{path}"')
def step_ask(context, vm, path):
    run(context, context.fleet.ask(vm, path))


@when('a caller of "{vm}" sends a GET to "{path}"')
def step_get(context, vm, path):
    run(context, context.fleet.ask(vm, path, method="GET", body=b""))


@when('a caller of "{vm}" sends a request to "{path}" with a forwarding header')
def step_ask_forged(context, vm, path):
    headers = {"Ramppin-Forwarded": "7", "Ramppin-Served-By": "p0"}
    run(context, context.fleet.ask(vm, path, headers=headers))


@when('callers of "{vm}" send {count:d} requests to "{path}"')
def step_ask_many(context, vm, count, path):
    async def ask() -> None:
        for _ in range(count):
            await context.fleet.ask(vm, path)

    run(context, ask())


@when('a caller of "{vm}" sends requests to "{path}" for {duration:d} s')
def step_ask_for(context, vm, path, duration):
    fleet = context.fleet
    context.asked_at = []

    async def ask() -> None:
        began = time.monotonic()
        while (asked_at := time.monotonic() - began) < duration:
            context.asked_at.append(asked_at)
            await fleet.ask(vm, path)
            await asyncio.sleep(EVENT_GAP_S)

    run(context, ask())


@then(
    "from {begin:g} s on at least {share:g} of them are served, none within more than "
    "{most:g} s"
)
def step_served_from(context, begin, share, most):
    fleet = context.fleet
    rows = zip(context.asked_at, fleet.answers, fleet.took_s, strict=True)
    late = [row for row in rows if row[0] >= begin]
    served = [answer for _, answer, _ in late if answer.status == 200]
    statuses = "".join("." if a.status == 200 else "X" for a in fleet.answers)
    assert len(served) >= share * len(late), statuses
    assert max(took_s for *_, took_s in late) <= most, fleet.took_s


@when('a caller of "{vm}" sends a request to "{path}" and leaves while it runs')
def step_leave(context, vm, path):
    fleet = context.fleet
    fleet.gap_s = 5.0

    async def leave() -> None:
        caller = await fleet.connect(vm)
        await caller.send(encode_request(path, body=BODY))
        await wait_for(lambda: fleet.list_received(), "it runs")
        caller.close()

    run(context, leave())


@when('the VM that forwards a request to "{path}" of "{vm}" dies in the middle')
def step_die(context, path, vm):
    fleet = context.fleet
    fleet.gap_s = 0.2

    async def die() -> None:
        asked = asyncio.ensure_future(fleet.ask(vm, path))
        await wait_for(lambda: fleet.list_received(), "it runs")
        await asyncio.sleep(0.1)
        others = [f for name, f in fleet.vms.items() if name != vm]
        [forwarder] = [f for f in others if f.gateway.context.in_flight]
        await forwarder.gateway.stop()
        await asked

    run(context, die())


@when('"{vm}" reaches its servers again')
def step_heal(context, vm):
    context.fleet.heal(vm)


@then('within {within:d} s requests of "{vm}" take the direct path')
def step_direct(context, within, vm):
    fleet = context.fleet
    reachability = fleet.vms[vm].gateway.context.reachability

    async def wait() -> None:
        async with asyncio.timeout(within):
            while reachability.avoids("plain"):
                await asyncio.sleep(0.02)
        await fleet.ask(vm, "/once/")

    run(context, wait())
    [line] = [x for x in fleet.list_lines(vm) if x.get("request_id") == f"a{fleet.ids}"]
    assert line["through"] == "", line

    def list_changes() -> list[str]:
        lines = fleet.list_lines(vm)
        return [x["status"] for x in lines if x["event"] == "path_changed"]

    run(context, wait_for(lambda: list_changes()[-1] == "working", "a line says so"))


@then("it is served with {status:d}, and ran once")
def step_served(context, status):
    answer = context.fleet.answers[-1]
    assert answer.status == status, answer.data
    assert answer.whole, answer.data
    assert len(context.fleet.list_received()) == 1


@then("each is served within {within:g} s, and ran once")
def step_each_served(context, within):
    fleet = context.fleet
    assert all(answer.status == 200 for answer in fleet.answers)
    assert max(fleet.took_s) <= within, fleet.took_s
    ids = [r.headers[NAMES.request_id] for r in fleet.list_received()]
    assert len(ids) == len(set(ids)) == len(fleet.answers), ids


@then(
    'the lines of "{vm}" name the VM through which it went, and that VM has lines of it'
)
def step_lines(context, vm):
    fleet = context.fleet
    lines = [x for x in fleet.list_lines(vm) if x.get("request_id") == "a1"]
    [line] = [x for x in lines if x["event"] == "answered"]
    others = [x for x in fleet.list_lines(line["through"]) if x["event"] == "answered"]
    assert [x["request_id"] for x in others] == ["a1"], others
    assert line["server"] == others[0]["server"], (line, others)


@then("its server got the method, target, body and id of the caller")
def step_same(context):
    [received] = context.fleet.list_received()
    assert received.line == b"POST /once/ HTTP/1.1", received.line
    assert received.body == BODY
    assert received.headers[NAMES.request_id] == b"a1"
    assert NAMES.api_key not in received.headers


@then(
    "neither its server nor its caller got a header of those that VMs send each other"
)
def step_no_headers(context):
    [received] = context.fleet.list_received()
    assert not NAMES.between_vms & received.headers.keys(), received.headers
    head = context.fleet.answers[-1].head
    assert not [name for name in NAMES.between_vms if name in head], head


@then("it is refused with 503 and a Retry-After, and ran on no server")
def step_refused(context):
    answer = context.fleet.answers[-1]
    assert answer.status == 503, answer.data
    assert b"retry-after" in answer.head
    assert not NAMES.between_vms & set(answer.head.split(b": ")), answer.head


@then(
    "it is refused within {most:d} ms with 503 and a Retry-After, and ran on no server"
)
def step_refused_at_once(context, most):
    step_refused(context)
    assert context.fleet.took_s[-1] <= most / 1000, context.fleet.took_s
    assert not context.fleet.list_received()


@then("its work at the server ends within {within:g} s")
def step_work_ends(context, within):
    backends = context.fleet.first.backends.values()

    async def wait() -> None:
        async with asyncio.timeout(within):
            while not sum(backend.closed for backend in backends):
                await asyncio.sleep(0.01)

    run(context, wait())


@then("the caller gets all events in order")
def step_all_events(context):
    answer = context.fleet.answers[-1]
    wanted = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, EVENTS + 1))
    assert answer.whole, answer.data
    assert answer.body == wanted, answer.data


@then("the caller gets {status:d}, and it ran once")
def step_status(context, status):
    assert context.fleet.answers[-1].status == status, context.fleet.answers[-1].data
    assert len(context.fleet.list_received()) == 1


@when('an outsider sends "{vm}" a request to forward of version "{version}"')
def step_outsider(context, vm, version):
    run(context, send_to_forward(context, vm, OUTSIDER, version))


@when('"{sender}" sends "{vm}" a request to forward of version "{version}"')
@when('"{sender}" sends "{vm}" a request to forward of version ""')
def step_member(context, sender, vm, version=""):
    run(context, send_to_forward(context, vm, HOSTS[sender], version))


async def send_to_forward(context, vm: str, source: str, version: str) -> None:
    port = context.fleet.vms[vm].gateway.context.forward_port
    found = await asyncio.open_connection(HOSTS[vm], port, local_addr=(source, 0))
    caller = RawCaller(port, *found)
    context.fleet.vms[vm].callers.append(caller)
    headers = {"Ramppin-Forwarded": version} if version else {}
    await caller.send(encode_request("/once/", headers=headers))
    context.fleet.answers.append(await caller.read())


@then('it is refused with {status:d} and the reason "{reason}"')
def step_denied(context, status, reason):
    answer = context.fleet.answers[-1]
    assert answer.status == status, answer.data
    assert reason.lower().encode() in answer.head
    assert not context.fleet.list_received()


@then('"{vm}" has a line on it')
def step_denied_line(context, vm):
    lines = context.fleet.list_lines(vm)
    assert [x for x in lines if x["event"] == "forward_denied"], lines


@when("a gateway starts whose first number is taken for connections, {number}")
def step_start_on_taken_number(context, number):
    open_link = DatagramLink.open
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        chosen = iter([port])

        async def choose(host, wanted, on_message):
            return await open_link(host, wanted or next(chosen, 0), on_message)

        context.fixture = GatewayFixture(peer_port=0 if number == "chosen" else port)
        context.cleanups.append(context.fixture.stop)
        with patch.object(DatagramLink, "open", choose):
            run(context, context.fixture.start())


@then("it accepts requests of other VMs: {accepts}")
def step_accept_other_vms(context, accepts):
    gateway = context.fixture.gateway
    gateway.context.decisions.flush()
    lines = context.fixture.log_path.read_text().splitlines()
    events = [json.loads(line)["event"] for line in lines]
    assert ("forwards_unavailable" in events) == (accepts == "no"), events
    assert gateway.caller_port
    opening = asyncio.open_connection("127.0.0.1", gateway.context.forward_port)
    try:
        _, writer = run(context, opening)
    except ConnectionRefusedError:
        assert accepts == "no"
        return
    writer.close()
    assert accepts == "yes"


@when("a VM that has just started probes a server that {does} an empty line")
def step_probe_server(context, does):
    async def serve(reader, writer) -> None:
        await reader.read(1)
        if does == "answers":
            writer.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
        if does != "ignores":
            writer.close()

    async def probe() -> bool:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        directory = ServerDirectory()
        directory.put(BackendServer("a1", "plain", "127.0.0.1", port, "porto"))
        context.pool = ConnectionPool()
        probe = PathProbe(
            Reachability(directory),
            context.pool,
            random.Random(1),
            lambda now: False,
        )
        try:
            proven = await probe.prove("plain")
            context.opened = context.pool.opened
            connection = await context.pool.acquire(
                "a1", "127.0.0.1", port, repeatable=True
            )
            connection.abort()
            await asyncio.sleep(0)
        finally:
            server.close()
        return proven

    context.proven = run(context, probe())


@then("no request goes over the connections of its probes")
def step_own_connection(context):
    assert context.proven
    assert context.pool.opened == context.opened + 1, context.pool.opened


@then("its path is proven: {works}")
def step_proven(context, works):
    assert context.proven == (works == "yes")
