"""Steps: the rules on one request, each called with typed inputs."""

from __future__ import annotations

import json
import random

from behave import then

from features.gateway_support import (
    HOST,
    KEY,
    RULE_ROUTES,
    build_server,
    build_tree,
)
from ramppin.gateway.connection.httpwire import HeaderNames
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.connection.upstream import AnswerHead
from ramppin.gateway.process.limits.drain import Drain, DrainTimes
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.routing.serverstate import ServerState
from ramppin.gateway.request.admission import (
    Admission,
    Denial,
    admit,
    choose_first_read_wait_s,
    draw_point,
)
from ramppin.gateway.request.answerkind import judge_answer
from ramppin.gateway.request.finalanswer import (
    FinalAnswer,
    answer_denied,
    answer_failed,
    answer_stopped,
)
from ramppin.gateway.request.result import AttemptEnd, AttemptResult
from ramppin.gateway.request.retry import (
    Progress,
    Verdict,
    judge_retry,
    judge_takeover,
    judge_try,
)
from ramppin.gateway.request.retryafter import choose_retry_after_s, find_opening_s
from ramppin.gateway.version.routing import (
    RoutingTable,
    WeightedService,
    choose_service,
)
from ramppin.gateway.version.routingfile import TreeDecoder
from ramppin.signals import SignalTime

NAMES = HeaderNames()
NOW = 100.0


def read_words(text: str) -> set[str]:
    return {word.strip() for word in text.split(",") if word.strip()}


# admission


CUSTOMERS: dict[str, dict] = {
    "without keys": {"customers": {"choir": {"keys": []}}},
    "empty": {"customers": {}},
    "with a blank key": {"customers": {"choir": {"keys": ["", " "]}}},
}


def build_table(words: set[str]) -> RoutingTable | None:
    if "no settings" in words:
        return None
    tree = build_tree(**CUSTOMERS.get(find_value(words, "customers ") or "", {}))
    if "no customers" in words:
        del tree["customers"]
    record = Record("settings", json.dumps(tree).encode(), 0)
    return TreeDecoder().decode_table(record)


def find_value(words: set[str], name: str) -> str | None:
    return next((w.removeprefix(name) for w in words if w.startswith(name)), None)


def build_request(words: set[str]) -> CallerRequest:
    headers = []
    if "no host" not in words:
        host = "other.example" if "another host" in words else HOST
        headers.append((b"Host", host.encode()))
    if "another key" in words:
        headers.append((NAMES.api_key, b"other"))
    elif "empty key" in words:
        headers.append((NAMES.api_key, b""))
    elif "key" in words:
        headers.append((NAMES.api_key, KEY.encode()))
    deadline = find_value(words, "deadline ")
    if deadline is not None:
        headers.append((NAMES.deadline_ms, deadline.encode()))
    path = b"/open/" if "public" in words else b"/once/"
    if "another path" in words:
        path = b"/other/"
    return CallerRequest(b"POST", path, headers)


def show_admitted(admitted: Admission | Denial) -> str:
    if isinstance(admitted, Denial):
        return f"{admitted.status} {admitted.reason}"
    text = f"{admitted.time_limit_s} s"
    if admitted.customer is not None:
        text += f" {admitted.customer.name}"
    if admitted.ignored_deadline is not None:
        text += f', ignored "{admitted.ignored_deadline.decode()}"'
    return text


@then('a request with "{request}" is admitted as "{found}"')
def step_admit(context, request, found):
    words = read_words(request)
    passed = find_value(words, "stopping for ")
    began = NOW - float(passed or 0.0)
    times = SignalTime(earliest=began, handled=began)
    drain = Drain(DrainTimes(), times) if passed else None
    admitted = admit(
        build_request(words),
        table=build_table(words),
        names=NAMES,
        drain=drain,
        generator=random.Random(1),
        now=NOW,
    )
    assert show_admitted(admitted) == found, show_admitted(admitted)


@then(
    'prompts with prefix keys "{first:d}" and "{second:d}" '
    "go to {services:w} of a split"
)
def step_split(context, first, second, services):
    split = (WeightedService("a", 0.5), WeightedService("b", 0.5))
    generator = random.Random(1)
    chosen = {choose_service(split, draw_point(k, generator)) for k in (first, second)}
    assert len(chosen) == {"one": 1, "both": 2}[services], chosen


# sending again


@then('after {tries:d} tries with {left:g} s left a request finds "{verdict}"')
def step_try(context, tries, left, verdict):
    assert judge_try(Progress(tries=tries), left) is Verdict[verdict]


def build_progress(runs: int, words: set[str]) -> Progress:
    return Progress(tries=runs, runs=runs, answer_started="started" in words)


def check_retry(kind, end, runs, more, verdict):
    words = read_words(more)
    found = judge_retry(
        RULE_ROUTES[kind],
        build_progress(runs, words),
        AttemptEnd(end),
        has_budget="no budget" not in words,
    )
    assert found is Verdict[verdict], found


@then(
    'on a "{kind}" route after "{end}" with {runs:d} runs and "{more}" '
    'a retry finds "{verdict}"'
)
def step_retry(context, kind, end, runs, more, verdict):
    check_retry(kind, end, runs, more, verdict)


@then(
    'on a "{kind}" route after "{end}" with {runs:d} runs and "" '
    'a retry finds "{verdict}"'
)
def step_plain_retry(context, kind, end, runs, verdict):
    check_retry(kind, end, runs, "", verdict)


def check_takeover(kind, runs, more, verdict):
    words = read_words(more)
    found = judge_takeover(
        RULE_ROUTES[kind],
        build_progress(runs, words),
        has_other_server="no other server" not in words,
        has_budget="no budget" not in words,
    )
    assert found is Verdict[verdict], found


@then(
    'on a "{kind}" route with {runs:d} runs and "{more}" a takeover finds "{verdict}"'
)
def step_takeover(context, kind, runs, more, verdict):
    check_takeover(kind, runs, more, verdict)


@then('on a "{kind}" route with {runs:d} runs and "" a takeover finds "{verdict}"')
def step_plain_takeover(context, kind, runs, verdict):
    check_takeover(kind, runs, "", verdict)


# the final answer


def show_ending(final: FinalAnswer) -> str:
    parts = [final.ending.name, str(final.status)]
    if final.retry_after_s is not None:
        parts.append(f"{final.retry_after_s:g}")
    return " ".join(parts)


def build_last(last: str, words: set[str]) -> AttemptResult | None:
    if last == "none":
        return None
    answer = (AnswerHead(500, [], 2), b"no") if "its answer" in words else None
    return AttemptResult(AttemptEnd(last), status=500, answer=answer)


def check_ending(decide, runs, last, more, ending):
    words = read_words(more)
    progress = build_progress(runs, words)
    final = decide(progress, build_last(last, words), Verdict.NO_SERVER, 0.25)
    assert show_ending(final) == ending, show_ending(final)
    assert final.reason is Verdict.NO_SERVER
    assert (final.server_answer is not None) == ending.startswith("RELAY")


@then(
    'with {runs:d} runs, last "{last}" and "{more}" '
    'a stopped request ends as "{ending}"'
)
def step_stopped(context, runs, last, more, ending):
    check_ending(answer_stopped, runs, last, more, ending)


@then('with {runs:d} runs, last "{last}" and "" a stopped request ends as "{ending}"')
def step_plain_stopped(context, runs, last, ending):
    check_ending(answer_stopped, runs, last, "", ending)


@then(
    'with {runs:d} runs, last "{last}" and "{more}" a failed request ends as "{ending}"'
)
def step_failed(context, runs, last, more, ending):
    check_ending(answer_failed, runs, last, more, ending)


@then('with {runs:d} runs, last "{last}" and "" a failed request ends as "{ending}"')
def step_plain_failed(context, runs, last, ending):
    check_ending(answer_failed, runs, last, "", ending)


@then('a request denied for "{denial}" ends as "{ending}"')
def step_denied(context, denial, ending):
    assert show_ending(answer_denied(Denial[denial])) == ending


@then(
    "with a server open in {opening:g} s, {left:g} s left, rank {rank:d} and the point "
    "{point:g} a refused request comes back after {pause:g} s"
)
def step_retry_after(context, opening, left, rank, point, pause):
    found = choose_retry_after_s(
        opening_s=opening, time_left_s=left, rank=rank, point=point
    )
    assert abs(found - pause) < 1e-9, found


def build_resting(text: str) -> ServerState:
    """Return a server that is ``open``, ``ejected:S`` or ``silent``."""
    state = build_server(text, 0)
    kind, _, seconds = text.partition(":")
    if kind == "ejected":
        state.health.ejected_until = NOW + float(seconds)
    elif kind == "silent":
        state.health.note_sent(NOW - 5.0)
    return state


@then('among servers "{servers}" one is likely to be open in {opening:g} s')
def step_opening(context, servers, opening):
    states = [build_resting(text) for text in servers.split() if text != "none"]
    assert find_opening_s(states, NOW) == opening


HEADERS = {
    "signed": (NAMES.signature, b"s"),
    "encoded": (b"Content-Encoding", b"gzip"),
    "marked": (NAMES.not_run, b"1"),
}


def check_kind(status, headers, kind):
    head = AnswerHead(status, [HEADERS[name] for name in headers.split()], None)
    assert judge_answer(head, NAMES).name == kind


@then('an answer {status:d} with "{headers}" is "{kind}"')
def step_kind(context, status, headers, kind):
    check_kind(status, headers, kind)


@then('an answer {status:d} with "" is "{kind}"')
def step_plain_kind(context, status, kind):
    check_kind(status, "", kind)


@then("a request with a deadline of {deadline} s waits {wait:g} s for the first read")
def step_first_read_wait(context, deadline, wait):
    deadline_s = None if deadline == "none" else float(deadline)
    assert choose_first_read_wait_s(deadline_s) == wait
