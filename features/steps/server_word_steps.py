"""Steps: what an answer's head says of its server, read without I/O."""

from __future__ import annotations

import math

from behave import then

from features.gateway_support import is_yes
from ramppin.gateway.connection.httpwire import HeaderNames
from ramppin.gateway.connection.upstream import AnswerHead
from ramppin.gateway.process.membership.servernotices import NoticeSource
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.gate import ServerGate
from ramppin.gateway.process.routing.incarnation import StartVerdict, judge_start
from ramppin.gateway.process.routing.noticeregistry import MAX_UNLISTED
from ramppin.gateway.process.routing.serverstate import BackendServer
from ramppin.gateway.request.retry import Progress, judge_try
from ramppin.gateway.request.retryafter import choose_retry_after_s
from ramppin.gateway.request.servernotice import parse_notice

NAMES = HeaderNames()
WALL_TIME = 784111767.0
"""Unix time of Sun, 06 Nov 1994 08:49:27 GMT."""


def read(status, *headers, wall_time=WALL_TIME):
    head = AnswerHead(status, list(headers), 0)
    return parse_notice(head, NAMES, lambda: wall_time)


def encode_rests(values):
    return [(b"Retry-After", value.encode()) for value in values]


@then('an answer {status:d} with "Retry-After: {value}" asks for a rest of {rest:g} s')
def step_rest(context, status, value, rest):
    notice = read(status, *encode_rests([value]))
    assert notice.backoff_s == rest, notice
    assert not notice.unreadable, notice


@then('an answer 503 with "Retry-After: {value}" asks for no rest that can be read')
def step_unreadable(context, value):
    notice = read(503, *encode_rests([value]))
    assert notice.backoff_s == 0, notice
    assert notice.unreadable == value.encode(), notice


@then('an answer 503 with the times of rest "{values}" asks for a rest of {rest:g} s')
def step_several(context, values, rest):
    assert read(503, *encode_rests(values.split())).backoff_s == rest


@then("a rest until 10 s after the answer's date lasts 10 s by a clock an hour off")
def step_date(context):
    notice = read(
        503,
        (b"Date", b"Sun, 06 Nov 1994 08:49:27 GMT"),
        (b"Retry-After", b"Sun, 06 Nov 1994 08:49:37 GMT"),
        wall_time=WALL_TIME + 3600,
    )
    assert notice.backoff_s == 10, notice


@then(
    'an answer {status:d} with the word of leaving "{value}" says that it leaves: '
    "{leaves}"
)
def step_leaving(context, status, value, leaves):
    notice = read(status, (NAMES.leaving, value.encode()))
    assert notice.leaving == is_yes(leaves), notice


@then('an answer {status:d} with the word of leaving "" says that it leaves: {leaves}')
def step_leaving_empty(context, status, leaves):
    step_leaving(context, status, "", leaves)


WORD_S = 1_700_000_000
"""Unix time, in seconds, at which the server said its word."""


@then('after the entries "{entries}" the server leaves: {leaves}')
def step_entries(context, entries, leaves):
    directory = ServerDirectory(read_time=lambda: WORD_S)
    for entry in entries.split():
        known = directory.find_newest("i-1")
        if entry == "gone":
            directory.mark_missing("i-1")
            directory.remove_missing(1.0)
        elif entry == "said":
            server_id = known.id if known else f"i-1@{(WORD_S - 60) * 1000}"
            directory.notices.note_leaving(server_id, NoticeSource.ANSWER, 1.0)
        else:
            started_ms = None if entry == "?" else (WORD_S + int(entry)) * 1000
            server = BackendServer(
                "i-1", "plain", "127.0.0.1", 1, started_ms=started_ms
            )
            known_ms = known.server.started_ms if known else None
            if judge_start(known_ms, started_ms) is not StartVerdict.EARLIER:
                directory.put(server)
    state = directory.find_newest("i-1")
    assert directory.is_open(state.id) != is_yes(leaves)


@then("{count:d} starts that said a word and are gone take a bounded memory")
def step_bounded(context, count):
    directory = ServerDirectory()
    for number in range(count):
        directory.put(BackendServer(f"i-{number}", "plain", "127.0.0.1", 1))
        directory.notices.note_leaving(f"i-{number}", NoticeSource.ANSWER, 1.0)
        directory.mark_missing(f"i-{number}")
        directory.remove_missing(1.0)
    assert len(directory.notices) == MAX_UNLISTED
    directory.put(BackendServer(f"i-{count - 1}", "plain", "127.0.0.1", 1))
    assert not directory.is_open(f"i-{count - 1}")


@then('with the rests "{words}" a server is closed for {left:g} s more, then opens')
def step_rests(context, words, left):
    directory, now = ServerDirectory(), 100.0
    state = directory.put(BackendServer("i-1", "plain", "127.0.0.1", 1))
    gate = ServerGate(directory, None, lambda service: 0.0)
    for word in words.split():
        if word.startswith("@"):
            now += float(word[1:])
        else:
            directory.notices.note_backoff(state.id, float(word), now)
    closed = gate.survey("plain", now).closed
    assert bool(closed) == (left > 0), closed
    if left:
        assert math.isclose(closed["i-1"].opens_at, now + left), closed
        assert gate.survey("plain", now + left - 0.001).closed
    assert not gate.survey("plain", now + left + 1e-9).closed


@then(
    "with every server closed for {closed:g} s, {left:g} s left, rank {rank:d} and the "
    "point {point:g} a refused request comes back after {pause:g} s"
)
def step_pause(context, closed, left, rank, point, pause):
    found = choose_retry_after_s(
        opening_s=closed, closed_s=closed, time_left_s=left, rank=rank, point=point
    )
    assert math.isclose(found, pause), found


@then(
    "after {tries:d} tries, {away:d} of them turned away, one more is allowed: "
    "{allowed}"
)
def step_tries(context, tries, away, allowed):
    progress = Progress(tries=tries, backoff_refusals=away)
    assert judge_try(progress, 5.0).allows == is_yes(allowed)
