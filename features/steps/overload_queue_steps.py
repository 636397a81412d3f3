"""Steps: single decisions of the admission queue, against a fake limiter."""

from __future__ import annotations

import gc
import random
import re
from dataclasses import replace

from behave import given, step, then, when

from features.overload_queue_support import (
    FOREVER,
    USUAL_WAIT_S,
    FakeLimiter,
    Request,
)
from ramppin.gateway.process.overload.returns import ReturnDetector, ReturnSequence
from ramppin.gateway.process.overload.rules import OverloadRules
from ramppin.gateway.process.overload.scheduler import Scheduler
from ramppin.gateway.process.overload.ticket import RefusalRule, Turn

REQUEST = re.compile(
    r"(?P<name>\w):(?P<rank>\d)/(?P<customer>\w)/(?P<target>[\d.]+|-)/(?P<end>[\d.]+)"
    r"(?P<returned>/r)?(?:\*(?P<work>\d+))?(?:~(?P<weight>\d+))?(?:#(?P<bytes>\d+))?"
    r"(?:@(?P<service>\w+))?"
)


def parse_requests(text, at=0.0):
    """Return the requests of a table's cell by name."""
    requests = {}
    for word in text.split():
        found = REQUEST.fullmatch(word)
        assert found, word
        requests[found["name"]] = Request(
            at=at,
            rank=int(found["rank"]),
            customer=found["customer"],
            target_s=None if found["target"] == "-" else float(found["target"]),
            patience_s=float(found["end"]),
            deadline_s=float(found["end"]),
            is_returned=found["returned"] is not None,
            work=float(found["work"] or 1),
            weight=float(found["weight"] or 1),
            size_bytes=int(found["bytes"] or 1000),
            service=found["service"] or "chat",
        )
    return requests


def prepare(context, limiter=None):
    """Create the scheduler, unless an earlier step has."""
    if "scheduler" in context:
        return
    context.limiter = limiter or FakeLimiter(rate=1000.0)
    if "rules" not in context:
        context.rules = OverloadRules(enabled=True)
    context.now = 0.0
    context.named = {}
    context.log = []
    context.scheduler = Scheduler(
        context.rules, context.limiter, random.Random(1), lambda service: USUAL_WAIT_S
    )


def submit(context, name, request):
    """Submit a request at the scenario's time; log its later decision by name."""
    context.named[name] = request

    def decide(decision):
        request.decisions.append(decision)
        context.log.append((name, decision))

    context.answer = context.scheduler.submit(request.make_ticket(decide), context.now)
    return context.answer


def list_decided(context, turn, rule=None):
    """Return the names that got a decision, in its order."""
    return " ".join(
        name
        for name, decision in context.log
        if decision.turn is turn and decision.rule is rule
    )


@given('overload control without "{part}"')
def step_without(context, part):
    rules = OverloadRules(enabled=True)
    context.rules = rules if part == "nothing" else replace(rules, **{part: False})


@given("an admission queue for {count:d} requests and {size:d} bytes")
def step_bounds(context, count, size):
    context.rules = OverloadRules(
        enabled=True, max_waiting=count, max_waiting_bytes=size
    )


@given("starts at a rate of {rate:g} per second and a queue of {ahead:d} requests")
def step_rate(context, rate, ahead):
    prepare(context, FakeLimiter(rate=1000.0))
    for n in range(ahead):
        request = Request(at=0.0, patience_s=20.0, deadline_s=20.0, target_s=None)
        assert submit(context, f"ahead-{n}", request).turn is Turn.WAIT
    context.limiter.rate = rate


@given("a request of rank {rank:d} that waits")
def step_waits(context, rank):
    request = Request(
        at=context.now, rank=rank, patience_s=20.0, deadline_s=20.0, target_s=None
    )
    context.limiter.rate, rate = 1000.0, context.limiter.rate
    assert submit(context, "waiting", request).turn is Turn.WAIT
    context.limiter.rate = rate


@step("{count:d} may start at once")
def step_may_start(context, count):
    context.limiter.allowed = count


@given("a service that is not busy and where nothing waits")
def step_not_busy(context):
    prepare(context, FakeLimiter(is_busy=False))


@when('requests wait: "{waiting}"')
@when('requests wait at once: "{waiting}"')
def step_wait(context, waiting):
    prepare(context)
    for name, request in parse_requests(waiting, context.now).items():
        assert submit(context, name, request).turn is Turn.WAIT, name


@then('after {seconds:g} s they start in the order "{order}"')
def step_order(context, seconds, order):
    context.now += seconds
    # What the forecast and displacement assume must be what starts.
    assumed = [
        ticket
        for rank in range(10)
        for ticket in context.scheduler._room.list_order("chat", rank, context.now)
    ]
    names = {request.ticket: name for name, request in context.named.items()}
    assert " ".join(names[ticket] for ticket in assumed) == order, assumed
    context.limiter.allowed = 100
    context.scheduler.pump(context.now)
    found = list_decided(context, Turn.START)
    assert found == order, found


@then('they start at once in the order "{order}"')
def step_order_at_once(context, order):
    step_order(context, 0.0, order)


@when(
    'customer "{customer}" has had {count:d} starts of work 1 and {pause:g} s have '
    "passed"
)
def step_had_starts(context, customer, count, pause):
    prepare(context)
    context.limiter.allowed = count
    for _ in range(count):
        request = Request(at=0.0, customer=customer, rank=1)
        assert submit(context, "before", request).turn is Turn.START
    context.limiter.allowed = 0
    context.named.clear()
    context.now += pause


@when('a newcomer asks: "{newcomer}"')
def step_newcomer(context, newcomer):
    ((name, request),) = parse_requests(newcomer, context.now).items()
    submit(context, name, request)


@then('"" are displaced and {count:d} wait')
def step_none_displaced(context, count):
    assert not context.log, context.log
    queues = context.scheduler.describe(context.now)
    assert sum(sum(queue.by_rank) for queue in queues) == count, queues


@then('"{displaced}" are displaced and the newcomer {state}')
@then('"" are displaced and the newcomer {state}')
def step_displaced(context, state, displaced=""):
    found = list_decided(context, Turn.REFUSED, RefusalRule.DISPLACED)
    assert found == displaced, found
    assert len(context.log) == len(displaced.split())
    if state == "waits":
        assert context.answer.turn is Turn.WAIT, context.answer
    else:
        assert context.answer.rule is RefusalRule.ROOM_FULL, context.answer
    queue = context.scheduler.describe(context.now)
    size_bytes = sum(service.size_bytes for service in queue)
    assert size_bytes <= context.rules.max_waiting_bytes


@when("a request arrives with {patience:g} s of patience and {left:g} s until its end")
def step_arrive(context, patience, left):
    fields = {"rank": 1, "target_s": None, "patience_s": patience, "deadline_s": left}
    submit(context, "newcomer", Request(at=context.now, **fields))


@when("a request arrives with {patience:g} s of patience and a target of {target:g} s")
def step_arrive_target(context, patience, target):
    fields = {"rank": 1, "target_s": target, "patience_s": patience}
    submit(context, "newcomer", Request(at=context.now, **fields))


@when("a request arrives {later:g} s later with {patience:g} s of patience")
def step_arrive_later(context, later, patience):
    context.now += later
    step_arrive(context, patience, FOREVER)


@then("a request with {patience:g} s of patience is not refused")
def step_not_refused(context, patience):
    step_arrive(context, patience, FOREVER)
    assert context.answer.turn is not Turn.REFUSED, context.answer


@when("a request waits with {patience:g} s of patience and the rate drops to {rate:g}")
def step_rate_drops(context, patience, rate):
    step_arrive(context, patience, FOREVER)
    assert context.answer.turn is Turn.WAIT
    context.limiter.rate = rate


STATES = {
    "waits": (Turn.WAIT, None),
    "starts": (Turn.START, None),
    "is refused as too late": (Turn.REFUSED, RefusalRule.TOO_LATE),
}


@then("on arrival it {state}")
def step_state(context, state):
    assert (context.answer.turn, context.answer.rule) == STATES[state], context.answer


@then("after the next check it {state}")
def step_state_after_check(context, state):
    context.scheduler.pump(context.now)
    expected = [] if state == "waits" else [("newcomer", *STATES[state])]
    found = [(name, decision.turn, decision.rule) for name, decision in context.log]
    assert found == expected, context.log


@when(
    '{count:d} requests of customer "{customer}" arrive at a service that starts '
    "nothing"
)
def step_arrive_many(context, count, customer):
    prepare(context, FakeLimiter(rate=10.0))
    fields = {"customer": customer, "patience_s": 2.05, "target_s": None}
    context.answers = [
        submit(context, str(n), Request(at=0.0, **fields)) for n in range(count)
    ]


@then('{started:d} start, {waiting:d} wait, {refused:d} are refused by "{rule}"')
@then('{started:d} start, {waiting:d} wait, {refused:d} are refused by ""')
def step_counts(context, started, waiting, refused, rule=""):
    turns = [answer.turn for answer in context.answers]
    found = [turns.count(turn) for turn in (Turn.START, Turn.WAIT, Turn.REFUSED)]
    assert found == [started, waiting, refused], found
    rules = {answer.rule.value for answer in context.answers if answer.rule}
    assert rules == ({rule} if rule else set()), rules
    assert not context.log


@when("{count:d} requests arrive at it")
def step_arrive_plain(context, count):
    context.tickets = [Request(at=0.0).make_ticket() for _ in range(count)]
    context.answers = [
        context.scheduler.submit(ticket, 0.001 * n)
        for n, ticket in enumerate(context.tickets)
    ]


@then("each gets the same decision and the limiter is asked once and told once for it")
def step_same(context):
    assert {id(answer) for answer in context.answers} == {id(context.answers[0])}
    assert context.answers[0].turn is Turn.START
    assert context.limiter.calls == ["is_busy", "note_started"] * len(context.answers)


@then("no objects remain but their tickets")
def step_no_objects(context):
    tickets = [Request(at=0.0).make_ticket() for _ in range(1000)]
    gc.collect()
    before = len(gc.get_objects())
    for n, ticket in enumerate(tickets):
        context.scheduler.submit(ticket, 2.0 + 0.001 * n)
        # The fake's record of the start would count.
        context.limiter.started.clear()
    gc.collect()
    after = len(gc.get_objects())
    assert after - before < 10, after - before


@then("nothing waits and no check is due")
def step_nothing_due(context):
    assert context.scheduler.find_next_check(context.now) is None
    assert context.scheduler.describe(context.now) == []


@then(
    '{later:g} s later "{service}" has "{ranks}" waiting by rank, a {of_a:d} and b '
    "{of_b:d}, {size:d} bytes, since {oldest:g} s"
)
def step_describe(context, later, service, ranks, of_a, of_b, size, oldest):
    queues = {q.service: q for q in context.scheduler.describe(context.now + later)}
    queue = queues[service]
    expected = [int(count) for count in ranks.split()]
    assert list(queue.by_rank) == expected + [0] * (10 - len(expected))
    assert queue.by_customer == {"a": of_a, "b": of_b}
    assert queue.size_bytes == size
    assert queue.oldest_wait_s == oldest


@then('the limiter knows of "{chat}" waiting at "chat" and "{other}" at "other"')
@then('the limiter knows of "" waiting at "chat" and "" at "other"')
def step_limiter_knows(context, chat="", other=""):
    for service, text in (("chat", chat), ("other", other)):
        expected = [int(count) for count in text.split()]
        expected += [0] * (10 - len(expected))
        assert list(context.limiter.waiting.get(service, [0] * 10)) == expected


@then("a check is due within {seconds:g} s")
def step_due(context, seconds):
    due_at = context.scheduler.find_next_check(context.now)
    assert context.now < due_at <= context.now + seconds + 1e-9, due_at


@when("{count:d} requests arrive within {seconds:g} s")
def step_arrive_within(context, count, seconds):
    context.due = []
    for n in range(count):
        context.now = n * seconds / count
        submit(context, str(n), Request(at=context.now))
        due_at = context.scheduler.find_next_check(context.now)
        context.due.append((context.now, due_at))


@then("a check was due at {seconds:g} s all the time")
def step_due_at(context, seconds):
    assert all(due_at == max(now, seconds) for now, due_at in context.due), context.due


@when("the callers of all {count:d} leave")
def step_leave(context, count):
    for n in range(count):
        ticket = context.named[f"ahead-{n}"].ticket
        context.scheduler.withdraw(ticket, context.now)


@then("none of them starts or gets a decision when {count:d} may start")
def step_none_starts(context, count):
    context.limiter.allowed = count
    context.scheduler.pump(context.now)
    context.scheduler.note_ended("chat", context.now)
    assert context.limiter.started == []
    assert context.log == []
    context.limiter.allowed = 0


@when("nothing is looked at for {stall:g} s and then {call}, while {count:d} may start")
def step_stall(context, stall, call, count):
    context.now += stall
    context.limiter.allowed = count
    if call == "the queue is pumped":
        context.scheduler.pump(context.now)
    else:
        context.scheduler.note_ended("chat", context.now)


@then('"{expired}" are refused as expired and "{started}" start, in this order')
@then('"" are refused as expired and "{started}" start, in this order')
@then('"{expired}" are refused as expired and "" start, in this order')
def step_stalled(context, started="", expired=""):
    found = list_decided(context, Turn.REFUSED, RefusalRule.EXPIRED)
    assert found == expired, found
    found = list_decided(context, Turn.START)
    assert found == started, found


def choose(sequence, rank, left, capacity=0.0, rate=10.0):
    return sequence.choose_retry_after_s(
        "chat",
        rank,
        capacity_s=capacity,
        start_rate_per_s=rate,
        time_left_s=left,
        now=100.0,
    )


@when(
    "a request of rank {rank:d} is refused with capacity in {capacity:g} s and "
    "{left:g} s left"
)
def step_refused(context, rank, capacity, left):
    context.pauses = [
        choose(ReturnSequence(random.Random(seed)), rank, left, capacity)
        for seed in range(50)
    ]


@then("it may return after {least:g} to {most:g} s")
def step_return(context, least, most):
    pauses = context.pauses
    assert min(pauses) >= least - 1e-9, pauses
    assert max(pauses) <= most + 1e-9, pauses


@when(
    "{count:d} requests with {left:g} s left are refused at one moment, capacity in "
    "{capacity:g} s"
)
def step_crowd(context, count, left, capacity):
    sequence = ReturnSequence(random.Random(1))
    context.pauses = [choose(sequence, 0, left, capacity) for _ in range(count)]


@then("in any 0.5 s at most {most:d} of them return, and the last within {last:g} s")
def step_spread(context, most, last):
    pauses = sorted(context.pauses)
    found = max(sum(at <= p < at + 0.5 for p in pauses) for at in pauses)
    assert found <= most, found
    assert pauses[-1] <= last, pauses[-1]


@when(
    "{urgent:d} requests of rank 0 and then {others:d} of rank 1 are refused at one "
    "moment"
)
def step_crowds(context, urgent, others):
    context.sequence = ReturnSequence(random.Random(1))
    context.pauses = [choose(context.sequence, 0, 30) for _ in range(urgent)]
    context.later = [choose(context.sequence, 1, 30) for _ in range(others)]


@then("each of rank 1 returns after all of rank 0")
def step_later(context):
    assert min(context.later) > max(context.pauses)


@then("a further one of rank 0 returns before the last of rank 1")
def step_further(context):
    assert choose(context.sequence, 0, 30) < max(context.later)


@when("for {seconds:g} s requests of rank {rank:d} start at {rate:g} per second")
def step_starts_of_rank(context, seconds, rank, rate):
    for n in range(int(seconds * rate)):
        context.now = n / rate
        context.limiter.allowed = 1
        request = Request(at=context.now, rank=rank, customer="b")
        assert submit(context, "urgent", request).turn is Turn.START
    context.limiter.allowed = 0


@when("{count:d} of rank {rank:d} are refused at one moment")
def step_refused_at_once(context, count, rank):
    context.pauses = []
    for _ in range(count):
        request = Request(at=context.now, rank=rank, patience_s=0.05, deadline_s=30.0)
        context.pauses.append(submit(context, "n", request).retry_after_s)


@then("the last of these returns after {least:g} to {most:g} s")
def step_last_return(context, least, most):
    assert least <= max(context.pauses) <= most, context.pauses


@when('requests of a route arrive: "{arrivals}"')
def step_route(context, arrivals):
    detector = ReturnDetector()
    for n, word in enumerate(arrivals.split()):
        at, deadline, *fingerprint = word.rstrip("!").split("/")
        number = int(fingerprint[0]) if fingerprint else 1000 + n
        deadline_s = None if deadline == "-" else float(deadline) / 1000
        now = 1000.0 + float(at)
        context.is_returned = detector.is_returned("r", deadline_s, number, now)
        if word.endswith("!"):
            detector.note_refused(number, now)


@then("the last of the route is {state}")
def step_recognised(context, state):
    assert context.is_returned == (state == "returned")


@when("{refused:d} requests are refused and {routes:d} routes have deadlines")
def step_many_refused(context, refused, routes):
    context.detector = ReturnDetector()
    for n in range(refused):
        context.detector.note_refused(n, 0.001 * n)
    for n in range(routes):
        context.detector.is_returned(f"route-{n}", 10.0, 0, 0.001 * n)


@then("at most {refused:d} fingerprints and {routes:d} routes are remembered")
def step_bounded(context, refused, routes):
    assert 0 < len(context.detector._refused) <= refused
    assert 0 < len(context.detector._deadlines) <= routes
