"""Steps: what an answer's head says of its server, read without I/O."""

from __future__ import annotations

from behave import then

from features.gateway_support import is_yes
from ramppin.gateway.connection.httpwire import HeaderNames
from ramppin.gateway.connection.upstream import AnswerHead
from ramppin.gateway.request.serverword import read_word

NAMES = HeaderNames()
WALL_TIME = 784111767.0
"""Unix time of Sun, 06 Nov 1994 08:49:27 GMT."""


def read(status, *headers, wall_time=WALL_TIME):
    head = AnswerHead(status, list(headers), 0)
    return read_word(head, NAMES, lambda: wall_time)


def encode_rests(values):
    return [(b"Retry-After", value.encode()) for value in values]


@then('an answer {status:d} with "Retry-After: {value}" asks for a rest of {rest:g} s')
def step_rest(context, status, value, rest):
    word = read(status, *encode_rests([value]))
    assert word.rest_s == rest, word
    assert not word.unreadable, word


@then('an answer 503 with "Retry-After: {value}" asks for no rest that can be read')
def step_unreadable(context, value):
    word = read(503, *encode_rests([value]))
    assert word.rest_s == 0, word
    assert word.unreadable == value.encode(), word


@then('an answer 503 with the times of rest "{values}" asks for a rest of {rest:g} s')
def step_several(context, values, rest):
    assert read(503, *encode_rests(values.split())).rest_s == rest


@then("a rest until 10 s after the answer's date lasts 10 s by a clock an hour off")
def step_date(context):
    word = read(
        503,
        (b"Date", b"Sun, 06 Nov 1994 08:49:27 GMT"),
        (b"Retry-After", b"Sun, 06 Nov 1994 08:49:37 GMT"),
        wall_time=WALL_TIME + 3600,
    )
    assert word.rest_s == 10, word


@then(
    'an answer {status:d} with the word of leaving "{value}" says that it leaves: '
    "{leaves}"
)
def step_leaving(context, status, value, leaves):
    word = read(status, (NAMES.leaving, value.encode()))
    assert word.leaving == is_yes(leaves), word


@then('an answer {status:d} with the word of leaving "" says that it leaves: {leaves}')
def step_leaving_empty(context, status, leaves):
    step_leaving(context, status, "", leaves)
