"""Steps: settings of overload control, and what the queue is told about a request."""

from __future__ import annotations

import asyncio
import json
import random
from types import SimpleNamespace

from behave import then

from features.gateway_support import HOST
from features.platform_support import PlatformFixture
from features.steps.command_steps import run_command
from ramppin.errors import SettingsError
from ramppin.gateway.connection.httpwire import HeaderNames
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.process.overload.activation import OverloadActivation
from ramppin.gateway.process.overload.control import OverloadControl
from ramppin.gateway.process.overload.returns import ReturnDetector
from ramppin.gateway.process.overload.rules import OverloadRules
from ramppin.gateway.process.overload.ticket import Turn, TurnDecision
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.reporting.metrics import MAX_CUSTOMERS, CustomerTally
from ramppin.gateway.request.admission import Admission
from ramppin.gateway.request.queueing import Queueing, compute_patience_s
from ramppin.gateway.request.rank import compute_rank
from ramppin.gateway.request.upstreamhead import RequestHeadBuilder
from ramppin.gateway.request.work import estimate_work
from ramppin.gateway.version.routing import (
    Customer,
    Route,
    RouteKind,
    RoutingTable,
    WeightedService,
)
from ramppin.gateway.version.routingfile import TreeDecoder
from ramppin.losses import Grouping, LossReport
from ramppin_platform.settings import PlatformSettings
from standins.common import wait_for

NAMES = HeaderNames()
SERVICES = (WeightedService("plain", 1.0),)
TREE = {
    "version": 1,
    "hosts": {HOST: {"routes": {"/": {"service": "plain"}}}},
    "services": {"plain": {}},
}


def run(context, work):
    return context.loop.run_until_complete(asyncio.wait_for(work, 60))


def decode(changes: dict) -> RoutingTable:
    value = json.dumps(TREE | changes).encode()
    return TreeDecoder().decode_table(Record("settings", value, 0))


def show(rules: OverloadRules | None) -> str:
    """Return rules as the tables show them."""
    if rules is None:
        return "none"
    parts = ["on" if rules.enabled else "off"]
    parts += ["room"] * rules.waiting_room
    parts += ["early"] * rules.early_rejection + ["fair"] * rules.fair_shares
    return ", ".join([*parts, str(rules.max_waiting), str(rules.max_waiting_bytes)])


def read_number(text: str) -> float | None:
    return None if text == "none" else float(text)


# settings


@then('the routing settings with {what} give the rules "{rules}"')
def step_rules(context, what, rules):
    assert show(decode(json.loads(what)).overload) == rules


@then('the routing settings with {what} are refused: "{words}"')
def step_refused(context, what, words):
    shown = "accepted"
    try:
        decode(json.loads(what))
    except SettingsError as error:
        shown = error.show()
    assert words in shown, shown


@then(
    "the weight {weight:g} of a customer and the limit {limit:d} of a service are in "
    "the settings"
)
def step_read(context, weight, limit):
    table = decode(
        {
            "customers": {"c": {"keys": ["k"], "weight": weight}, "d": {"keys": ["l"]}},
            "services": {"plain": {"limit": limit}, "other": {}},
        }
    )
    assert table.customers["k"].weight == weight
    assert table.customers["l"].weight == 1.0
    assert table.services["plain"].limit == limit
    assert not table.services["other"].limit


@then(
    'with the contracts "{contracts}" and "{memory}" MB of memory the rules are '
    '"{rules}"'
)
@then('with the contracts "" and "{memory}" MB of memory the rules are "{rules}"')
@then('with the contracts "{contracts}" and "" MB of memory the rules are "{rules}"')
@then('with the contracts "" and "" MB of memory the rules are "{rules}"')
def step_contracts(context, rules, contracts="", memory=""):
    fields = {
        "node_name": "vm-1",
        "ip": "127.0.0.1",
        "zone": "a",
        "listen.frontend": "127.0.0.1:1",
        "listen.readiness": "127.0.0.1:2",
        "listen.control_plane": "127.0.0.1:3",
        "internal_port_range": "4,5",
        "contracts": contracts,
        "limits.memory_mb": memory,
    }
    try:
        found = show(PlatformSettings(fields, "test").build_config().overload)
    except SettingsError as error:
        found = error.show()
    assert found == rules, found


RULES = {
    "none": None,
    "on": OverloadRules(enabled=True),
    "off": OverloadRules(enabled=False),
}


@then(
    'with the rules "{table}" in the routing settings and "{process}" of the process '
    "overload control is {state}"
)
def step_precedence(context, table, process, state):
    shared = SimpleNamespace(overload=None, drain=None, directory=None)
    activation = OverloadActivation(shared, RULES[process], None, random.Random(1))
    activation.apply(RoutingTable(1, (), {}, overload=RULES[table]))
    assert (shared.overload is not None) == (state == "enabled")


@then('a process with the contracts "{contracts}" shows the limit of its service')
def step_shows(context, contracts):
    found, dump = run(context, ask_process(context, contracts))
    assert 'ramppin_gateway_service_limit{service="plain"} 10.0' in found, found
    [entry] = json.loads(dump)["overload"]
    assert (entry["service"], entry["limit"]) == ("plain", 10.0), entry


@then('a process with the contracts "{contracts}" shows none')
def step_shows_none(context, contracts):
    found, dump = run(context, ask_process(context, contracts))
    assert "service_limit{" not in found, found
    assert json.loads(dump)["overload"] == []


async def ask_process(context, contracts: str) -> tuple[str, str]:
    """Return metrics and state of a process on the platform after one request."""
    platform = PlatformFixture(more_settings={"contracts": contracts})
    context.cleanups.append(platform.stop)
    await platform.start()
    await platform.add_backend("p1", "plain")
    await platform.start_gateway("vm-1", "127.0.0.1")
    assert (await platform.ask("/a/x")).status == 200
    metrics = await platform.read_metrics("vm-1", "127.0.0.1")
    return metrics, await platform.ask_operator("vm-1", "127.0.0.1", "/dump")


# what the queue is told


@then(
    "a customer of priority {customer} has the rank {rank:d} on a route of priority "
    "{route}"
)
def step_rank(context, customer, rank, route):
    found = None if customer == "none" else Customer("c", int(customer))
    built = Route("r", HOST, "/", SERVICES, priority=int(route))
    assert compute_rank(built, found) == rank


@then("a prompt of rank {rank:d} is sent with the priority {priority:d}")
def step_priority(context, rank, priority):
    customer = Customer("c", rank // 3)
    route = Route("r", HOST, "/", SERVICES, priority=rank % 3, keeps_prefix=True)
    assert compute_rank(route, customer) == rank
    builder = RequestHeadBuilder(
        NAMES, CallerRequest(b"POST", b"/", []), route, customer
    )
    head = builder.build("s", 1.0, None)
    assert b"%b: %d\r\n" % (NAMES.priority, priority) in head, head


@then(
    'a prompt with the parts "{parts}", the size "{size}", the hint "{hint}" and a '
    "{cached} prefix has {tokens:d} tokens and the work {work:g}"
)
def step_work(context, parts, size, hint, cached, tokens, work):
    stated = {NAMES.prompt_parts: parts, NAMES.request_size: size}
    stated[NAMES.output_hint] = hint
    headers = [(name, v.encode()) for name, v in stated.items() if v != "none"]
    found = estimate_work(
        CallerRequest(b"POST", b"/", headers),
        NAMES,
        is_prefix_cached=cached == "cached",
    )
    assert (found.tokens, found.work) == (tokens, work), found


@then(
    "a caller on a {kind} route with the target {target} and the pause {pause} waits "
    "{patience:g} s"
)
def step_patience(context, kind, target, pause, patience):
    route = Route(
        "r",
        HOST,
        "/",
        SERVICES,
        RouteKind(kind),
        target_s=read_number(target),
        target_pause_s=read_number(pause),
    )
    assert abs(compute_patience_s(route) - patience) < 1e-9 or patience == float(
        "inf"
    ) == compute_patience_s(route)


@then("the ticket of a prompt tells its rank, customer, weight, work, size and times")
def step_ticket(context):
    async def build() -> Queueing:
        control = SimpleNamespace(
            returns=ReturnDetector(),
            needs_details=lambda service, now: True,
            find_route_stay_s=lambda route: 0.25,
        )
        shared = SimpleNamespace(names=NAMES, find_home=lambda key: "s1")
        route = Route(
            "r",
            HOST,
            "/",
            SERVICES,
            RouteKind.STREAM,
            priority=1,
            keeps_prefix=True,
            target_s=0.5,
        )
        admission = Admission(
            table=None,
            route=route,
            customer=Customer("choir", 1, 2.5),
            service="plain",
            prefix_key=7,
            fingerprint=8,
            time_limit_s=9.0,
        )
        headers = [
            (NAMES.prompt_parts, b"a:1000,b:256"),
            (NAMES.output_hint, b"40"),
        ]
        request = CallerRequest(b"POST", b"/", headers, b"x" * 100, arrived=50.0)
        return Queueing(shared, control, admission, request, 9.0)

    ticket = run(context, build()).ticket
    assert (ticket.service, ticket.rank) == ("plain", 4)
    assert (ticket.customer, ticket.weight) == ("choir", 2.5)
    assert ticket.work == 41.0
    assert 100 < ticket.size_bytes < 10_000
    assert (ticket.arrived, ticket.target_at) == (50.0, 50.5)
    assert (ticket.patient_until, ticket.ends_at) == (52.0, 59.0)
    assert not ticket.returned


@then(
    "a {kind} request with {limit:g} s left on a route whose answers take "
    '"{stay}" s may start within {latest:g} s'
)
def step_latest(context, kind, limit, stay, latest):
    async def build() -> Queueing:
        limiter = SimpleNamespace(is_busy=lambda service, now: True)
        control = OverloadControl(CheckedScheduler(60.0), limiter, ReturnDetector())
        for text in stay.replace("none", "").split():
            control.note_route_answered("r", float(text))
        route = Route("r", HOST, "/", SERVICES, RouteKind(kind), target_s=0.5)
        admission = Admission(
            table=None,
            route=route,
            customer=None,
            service="plain",
            prefix_key=None,
            fingerprint=8,
            time_limit_s=limit,
        )
        request = CallerRequest(b"POST", b"/", [], b"", arrived=50.0)
        return Queueing(SimpleNamespace(names=NAMES), control, admission, request, 9.0)

    ticket = run(context, build()).ticket
    assert abs(ticket.patient_until - 50.0 - latest) < 1e-9, ticket


@then(
    "of {count:d} requests while the service is {state} and {waiting:d} wait "
    "{expected:d} are described in full"
)
def step_details(context, count, state, waiting, expected):
    async def play() -> int:
        limiter = SimpleNamespace(is_busy=lambda service, now: state == "busy")
        control = OverloadControl(CheckedScheduler(60.0), limiter, ReturnDetector())
        for number in range(waiting):
            control.submit(f"waits {number}", 0.0)
        return sum(control.needs_details("plain", 0.0) for _ in range(count))

    assert run(context, play()) == expected


@then("of 30 customers the 20 with the most work have a label, and no value decreases")
def step_customers(context):
    tally = CustomerTally("work", "")
    before: dict[tuple[str, ...], float] = {}
    for _ in range(50):
        for number in range(30):
            tally.add(number + 1.0, f"c{number}")
            for labels, value in tally.values.items():
                assert value >= before.get(labels, 0.0), (labels, value)
            before = dict(tally.values)
    tally.add(5.0, "")
    labels = {label for (label,) in tally.values}
    assert labels == {f"c{n}" for n in range(10, 30)} | {"other"}, labels
    assert len(labels) == MAX_CUSTOMERS + 1
    total = 50 * sum(range(1, 31)) + 5.0
    assert tally.values["other",] < total / 2


# events and the timer


class CheckedScheduler:
    """A scheduler that lets every request wait, and counts checks.

    Attributes:
        gap_s: seconds after each call at which the next check is due.
    """

    def __init__(self, gap_s: float) -> None:
        self.gap_s = gap_s
        self.checks = 0

    def submit(self, ticket, now: float) -> TurnDecision:
        return TurnDecision(Turn.WAIT)

    def withdraw(self, ticket, now: float) -> None:
        pass

    def note_ended(self, service: str, now: float) -> None:
        pass

    def pump(self, now: float) -> None:
        self.checks += 1

    def find_next_check(self, now: float) -> float:
        return now + self.gap_s


@then("with {what} the scheduler is checked {checks:d} times")
def step_checks(context, what, checks):
    async def play() -> int:
        scheduler = CheckedScheduler(0.05 if "due" in what else 60.0)
        control = OverloadControl(scheduler, None, ReturnDetector())
        loop = asyncio.get_running_loop()
        if "1 waiting" in what:
            control.submit("first", loop.time())
        for _ in range(20 if "20 events" in what else 0):
            control.note_report("s1", None)
        if "leaves" in what:
            control.withdraw("first", loop.time())
        if "one iteration" in what:
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        elif "nothing" in what or "leaves" in what:
            await asyncio.sleep(0.2)
        else:
            await wait_for(lambda: scheduler.checks, "a check")
        return scheduler.checks

    assert run(context, play()) == checks


@then(
    "with a check due after {gap:g} s and a newcomer every {period:g} s the scheduler "
    "is checked"
)
def step_newcomers(context, gap, period):
    async def play() -> int:
        scheduler = CheckedScheduler(gap)
        control = OverloadControl(scheduler, None, ReturnDetector())
        for number in range(200):
            control.submit(f"newcomer {number}", asyncio.get_running_loop().time())
            await asyncio.sleep(period)
            if scheduler.checks:
                break
        return scheduler.checks

    assert run(context, play()) == 1


@then(
    "with a check that stays due the scheduler is checked at most {most:d} times in "
    "{seconds:g} s"
)
def step_stays_due(context, most, seconds):
    async def play() -> int:
        scheduler = CheckedScheduler(-1.0)
        control = OverloadControl(scheduler, None, ReturnDetector())
        control.submit("first", asyncio.get_running_loop().time())
        await asyncio.sleep(seconds)
        control.withdraw("first", asyncio.get_running_loop().time())
        return scheduler.checks

    assert 1 <= run(context, play()) <= most


# operators


@then('"ramppin explain {name}" says "{first}" and "{second}"')
def step_explain(context, name, first, second):
    port = context.fixture.gateway.operations_port
    url = f"http://127.0.0.1:{port}"
    code, output = run(context, run_command("explain", name, "--url", url))
    assert code == 0, output
    assert first in output, output
    assert second in output, output


@then('the lines of the gateway tell {count:d} loss "{loss}" by "{rule}"')
def step_losses(context, count, loss, rule):
    report = LossReport()
    lines = context.fixture.log_path.read_text().splitlines()
    report.take_lines("log", lines)
    found = report.groups[Grouping.RULE][rule].counts
    assert {kind.value: number for kind, number in found.items()} == {loss: count}
