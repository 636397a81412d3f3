"""Steps: settings and backend servers as they change."""

from __future__ import annotations

import asyncio
from random import Random

from behave import given, then, when

from features.gateway_support import (
    ROUTES,
    GatewayFixture,
    build_tree,
    encode_request,
)
from ramppin.errors import LogUnavailableError
from ramppin.gateway.process.recovery.follower import Follower
from ramppin.gateway.process.recovery.replica import Replica
from standins.common import wait_for
from standins.tables import TableStandIn


def run(context, work):
    return context.loop.run_until_complete(work)


@when('version {version:d} moves "{prefix}" to the service "{service}"')
def step_move(context, version, prefix, service):
    async def move():
        fixture = context.fixture
        await fixture.add_backend("o1", service)
        routes = ROUTES | {prefix: {"service": service}}
        tree = build_tree(version)
        tree["hosts"] = {"assist.example": {"routes": routes}}
        fixture.publish(tree)

    run(context, move())


@then('a request to "{route}" reaches only the service "{service}" soon')
def step_reaches_service(context, route, service):
    async def reach():
        fixture = context.fixture
        other = fixture.backends["o1"]
        await wait_for(lambda: fixture.gateway.context.version == 2, "in force")
        await fixture.wait_until_ready(3)
        before = len(fixture.list_received())
        for _ in range(5):
            answer = await fixture.ask(route)
            assert answer.status == 200, answer.data
        assert len(other.received) == len(fixture.list_received()) - before == 5

    run(context, reach())


@when("version {first:d} is published and then version {second:d}")
def step_versions(context, first, second):
    context.fixture.publish(build_tree(first))
    context.fixture.publish(build_tree(second))


@when("version {version:d} is published")
def step_version(context, version):
    context.fixture.publish(build_tree(version))


@when("unreadable settings are published and then version {version:d}")
def step_unreadable(context, version):
    context.fixture.settings.put("settings", b'{"version": "x"}')
    context.fixture.settings.put("settings", b"\x00")
    context.fixture.settings.put("other", b"{}")
    context.fixture.publish(build_tree(version))


@then("the version in force is {version:d}")
def step_in_force(context, version):
    async def check():
        fixture = context.fixture
        end = fixture.settings.end
        await wait_for(
            lambda: fixture.gateway.tables.settings.position == end, "all read"
        )
        assert fixture.gateway.context.version == version

    run(context, check())


@when("its key is taken away")
def step_revoke(context):
    context.fixture.publish(build_tree(2, customers={"choir": {"keys": ["new"]}}))


@then("its next request on that connection gets 401 soon")
def step_denied(context):
    async def ask():
        await wait_for(lambda: context.fixture.gateway.context.version == 2, "in force")
        await context.caller.send(encode_request("/once/"))
        answer = await context.caller.read()
        assert answer.status == 401, answer.data

    run(context, ask())


@when("one server says that it is draining")
def step_drain(context):
    context.fixture.announce("p1", "plain", draining=True)


@when("the entry of one server vanishes")
def step_vanish(context):
    context.fixture.servers.put("p1", None)


@when("the log forgets its history and one entry is gone from it")
def step_forget(context):
    fixture = context.fixture
    fixture.servers.put("p1", None)
    fixture.servers.forget_history()
    fixture.servers.put("unknown", None)


@then('requests to "{route}" reach only the other soon')
def step_reach_other(context, route):
    async def check():
        fixture = context.fixture
        directory = fixture.gateway.context.directory
        await wait_for(lambda: not directory.is_open("p1"), "the server is closed")
        before = len(fixture.backends["p1"].received)
        for _ in range(8):
            answer = await fixture.ask(route)
            assert answer.status == 200, answer.data
        assert len(fixture.backends["p1"].received) == before

    run(context, check())


@when("the log goes away, and one entry vanishes before it is back")
def step_lapse(context):
    async def lapse():
        fixture = context.fixture
        for table in (fixture.servers, fixture.settings):
            table.away = True
        follower = fixture.gateway.tables.server_follower
        await wait_for(lambda: not follower.reachable, "the log is away")
        fixture.servers.put("p1", None)
        fixture.servers.away = False
        end = fixture.servers.end
        await wait_for(
            lambda: fixture.gateway.tables.servers.position == end, "it was read"
        )

    run(context, lapse())


@then("that server is still used at first, and gone in the end")
def step_held(context):
    async def check():
        directory = context.fixture.gateway.context.directory
        assert directory.is_open("p1")
        await wait_for(lambda: not directory.is_open("p1"), "the hold has ended")

    run(context, check())


@when("the log goes away")
def step_away(context):
    async def away():
        fixture = context.fixture
        fixture.servers.away = fixture.settings.away = True
        follower = fixture.gateway.tables.server_follower
        await wait_for(lambda: not follower.reachable, "the log is away")

    run(context, away())


@then('requests to "{route}" are still answered')
def step_still(context, route):
    for _ in range(4):
        assert run(context, context.fixture.ask(route)).status == 200


async def start_second(context, **options) -> GatewayFixture:
    second = GatewayFixture(vm="vm-2", host="127.0.0.2", **options)
    for table in (second.settings, second.servers, second.members):
        table.away = True
    context.cleanups.append(second.stop)
    await second.start()
    return second


@given("a second gateway whose log is away")
def step_second(context):
    context.second = run(context, start_second(context))


@then("it is not ready, and refuses with when to come back")
def step_second_refuses(context):
    async def check():
        second = context.second
        assert not second.gateway.ready
        reader, writer = await asyncio.open_connection(
            second.host, second.gateway.caller_port
        )
        writer.write(encode_request("/once/"))
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        writer.close()
        assert b" 503 " in head, head
        assert b"retry-after:" in head, head

    run(context, check())


@when("it has asked for settings and servers {count:d} times each")
def step_second_asked(context, count):
    second = context.second
    run(
        context,
        wait_for(
            lambda: min(second.settings.reads, second.servers.reads) >= count,
            "it has asked",
        ),
    )


@then("it has asked for nothing else")
def step_second_asked_nothing(context):
    second = context.second
    assert second.members.reads == 0
    assert second.homes.reads == 0


@when("its log comes back")
def step_second_log_back(context):
    second = context.second
    for table in (second.settings, second.servers, second.members, second.homes):
        table.away = False


@then("it reads the VMs and the homes, and announces itself")
def step_second_all(context):
    second = context.second

    def is_known():
        return second.members.end > 0 and second.members.reads and second.homes.reads

    run(context, wait_for(is_known, "it announced itself and read all"))


@given("a second gateway whose log is away and that knows the first")
def step_second_knows(context):
    records_port = context.fixture.gateway.records_port
    context.second = run(
        context,
        start_second(context, seeds=("127.0.0.1",), records_port=records_port),
    )


@then("it becomes ready and serves")
def step_second_serves(context):
    async def check():
        second = context.second
        await second.wait_until_ready(2)
        reader, writer = await asyncio.open_connection(
            second.host, second.gateway.caller_port
        )
        writer.write(encode_request("/once/"))
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        assert b" 200 " in head, head

    run(context, check())


@then("the second gateway has version {version:d} in force soon")
def step_second_version(context, version):
    gateway = context.second.gateway
    run(context, wait_for(lambda: gateway.context.version == version, "in force"))


@given("{count:d} prefixes placed through the gateway, and a snapshot written")
def step_place(context, count):
    async def place():
        gateway = context.fixture.gateway
        loop = asyncio.get_running_loop()
        context.placed = {}
        for key in range(1, count + 1):
            server = "p1" if key % 3 else "p2"
            gateway.homes.note_placed(key, server, loop.time())
            context.placed[key] = server
        await gateway.tables.snapshots._write()
        assert context.fixture.homes.end == 1

    run(context, place())


@when("every VM is lost and a new one starts")
def step_lose_all(context):
    async def lose():
        first = context.fixture
        await first.gateway.stop()
        second = GatewayFixture(vm="vm-2", host="127.0.0.2")
        second.settings, second.servers = first.settings, first.servers
        second.members, second.homes = first.members, first.homes
        context.cleanups.append(second.stop)
        context.second = await second.start()

    run(context, lose())


@then("the new one knows the same {count:d} homes")
def step_same_homes(context, count):
    homes = context.second.gateway.homes
    run(context, wait_for(lambda: len(homes) == count, "the homes were read"))
    assert {key: homes.find(key) for key in context.placed} == context.placed


class SlowTable(TableStandIn):
    """A table whose whole read takes longer than some limits."""

    def __init__(self, needed_s: float) -> None:
        super().__init__()
        self.needed_s = needed_s
        self.limits = []

    async def read_newest(self, *, timeout_s: float = 0.0):
        self.limits.append(timeout_s)
        if timeout_s < self.needed_s:
            raise LogUnavailableError("too slow", step="read", peer="table")
        return await super().read_newest()


@then('a table whose first read needs {needed:g} s is read with the limits "{limits}"')
def step_first_read(context, needed, limits):
    context.slow_table = SlowTable(needed)
    context.replica = Replica("slow", lambda record: None)
    follower = Follower(
        context.replica,
        context.slow_table,
        interval_s=0.01,
        wait_s=0.1,
        generator=Random(1),
    )

    async def read():
        context.following = asyncio.create_task(follower.run())
        await wait_for(lambda: context.replica.started, "the first read")

    run(context, read())
    assert context.slow_table.limits == [float(n) for n in limits.split()]


@then("once it is known, a whole read is limited to {limit:g} s")
def step_later_read(context, limit):
    table = context.slow_table
    table.needed_s = 0.0
    table.limits.clear()
    table.put("key", b"1")

    async def read():
        await wait_for(lambda: context.replica.position == table.end, "it is read")
        table.put("key", b"2")
        table.forget_history()
        await wait_for(lambda: table.limits, "a whole read")
        context.following.cancel()

    run(context, read())
    assert set(table.limits) == {limit}, table.limits
