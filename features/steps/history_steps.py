"""Steps that doctor histories, to see that the checker rejects them."""

from __future__ import annotations

import copy

from behave import given, then, when

from features import checker

POOLS = {"p": ["a", "b"]}
BOUNDS = {"p": 1.25}


def event(t: float, source: str, kind: str, **fields):
    return {"t": t, "source": source, "event": kind} | fields


def answer(t: float, request: str, got: str, **fields):
    base = {
        "request": request,
        "status": 200,
        "outcome": "ran",
        "got": got,
        "wanted": got,
        "whole": True,
    }
    return event(t, "caller", "answer", **(base | fields))


def build_history() -> list[dict]:
    return [
        event(1.0, "a", "start", request="vm-1.1.1.1", key=""),
        event(1.1, "b", "start", request="vm-1.1.2.1", key=""),
        event(1.2, "a", "start", request="vm-1.1.3.1", key="k"),
        event(1.3, "a", "end", request="vm-1.1.1.1"),
        answer(1.4, "vm-1.1.1", "one"),
        event(1.5, "b", "end", request="vm-1.1.2.1"),
        answer(1.5, "vm-1.1.2", "two"),
        event(1.6, "a", "end", request="vm-1.1.3.1"),
        answer(1.7, "vm-1.1.3", "three", key="k"),
        answer(1.8, "vm-2.1.1", "", status=503, outcome="not-run", wanted="", key="n"),
        event(2.0, "operator", "accepted", version=5, nonce="x"),
        event(2.0, "log", "record", nonce="x", took_effect=True),
        event(2.1, "vm-1", "version", reader="vm-1", version=5),
        event(3.0, "harness", "listed", server="b", state="leaving"),
        event(20.0, "vm-1", "version", reader="vm-1", version=5),
    ]


def check(promise: str, events: list[dict]):
    whole_only = [e for e in events if e.get("outcome") != "not-run"]
    checks = {
        "bound": lambda: checker.check_bound(events, POOLS, BOUNDS),
        "whole": lambda: checker.check_whole(events),
        "not-run": lambda: checker.check_not_run(events),
        "once": lambda: checker.check_once(events),
        "leaving": lambda: checker.check_leaving(events, allowed_s=4.0),
        "stop": lambda: checker.check_stop(whole_only),
        "settings": lambda: checker.check_settings(events),
    }
    return checks[promise]()


def doctor(events: list[dict], what: str) -> list[dict]:
    events = copy.deepcopy(events)
    late = event(9.0, "b", "start", request="vm-1.1.9.1", key="")
    changes = {
        "a server starts one more than it may hold": [
            event(1.55, "a", "start", request="vm-1.1.7.1", key=""),
            event(1.56, "a", "start", request="vm-1.1.8.1", key=""),
        ],
        "a caller gets another caller's answer": [
            answer(5.0, "vm-1.1.5", "two", wanted="five")
        ],
        "a broken answer ends as if whole": [
            answer(5.0, "vm-1.1.5", "fi", wanted="five")
        ],
        "a request that ran is called not-run": [
            answer(5.0, "vm-1.1.1", "", status=503, outcome="not-run", wanted="")
        ],
        "a key runs twice": [
            event(1.9, "b", "start", request="vm-2.1.7.1", key="k"),
        ],
        "a key has two answers": [answer(5.0, "vm-1.1.5", "other", key="k")],
        "a leaving server starts a request late": [late],
        "a request is cut": [answer(5.0, "vm-1.1.5", "fi", whole=False)],
        "a VM goes back a version": [
            event(2.2, "vm-1", "version", reader="vm-1", version=4)
        ],
        "a VM is late with a version": [
            event(21.0, "vm-2", "version", reader="vm-2", version=4)
        ],
        "an operator is told wrongly": [
            event(2.5, "operator", "accepted", version=6, nonce="y")
        ],
    }
    return events + changes[what]


@given("a history that keeps every promise")
def step_history(context):
    context.history = build_history()


@when("it is doctored: {what}")
def step_doctor(context, what):
    context.doctored = doctor(context.history, what)


@then('the check of "{promise}" finds a violation')
def step_violation(context, promise):
    _, found = check(promise, context.doctored)
    assert found, "the doctored history passed"


@then('the check of "{promise}" finds none in the history as it was')
def step_none(context, promise):
    checked, found = check(promise, context.history)
    assert checked
    assert not found, found
