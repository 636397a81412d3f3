"""Steps: answers with statuses that HTTP does not have."""

from __future__ import annotations

import json

from behave import given, then

from features.gateway_scripts import Scripts
from ramppin.gateway.connection.answerstatus import judge_status


@given('the servers of the fleet answer by "{name}"')
def step_fleet_script(context, name):
    script = Scripts().find(name)
    for backend in context.fleet.first.backends.values():
        backend.script = script


@then("the request took less than {most_s:g} s")
def step_took(context, most_s):
    fixture = context.fixture
    fixture.gateway.context.decisions.flush()
    lines = map(json.loads, fixture.log_path.read_text().splitlines())
    took = [line["took_ms"] for line in lines if "took_ms" in line]
    assert took, "no attempt has a line"
    assert sum(took) < most_s * 1000, took


@then("the caller gets {status:d} within {most_s:g} s")
def step_fleet_status(context, status, most_s):
    answer = context.fleet.answers[-1]
    assert answer.status == status, answer.data
    assert answer.body == b"", answer.data
    assert context.fleet.took_s[-1] < most_s, context.fleet.took_s


@then('a head with the status {status:d} begins "{kind}"')
def step_kind(context, status, kind):
    assert judge_status(status).name == kind
