"""Steps: servers that state that they are brittle."""

from __future__ import annotations

import random
import re
from types import SimpleNamespace

from behave import then, when

from features.brittle_soak import BrittleSoak
from ramppin.gateway.connection.datagrams import BrittleHint
from ramppin.gateway.process.overload.activation import OverloadActivation
from ramppin.gateway.process.overload.brittleness import (
    BrittleServices,
    parse_tolerance,
)
from ramppin.gateway.process.overload.rules import OverloadRules
from ramppin.gateway.process.routing.directory import ServerDirectory

SERVICE = "model"
STATEMENT = re.compile(r"(own|peer)@([\d.]+)(?:-([\d.]+))?")

CONFIGURED = {
    "a configuration without": OverloadRules(),
    "a configuration with": OverloadRules(enabled=True),
}


@then('the header "{value}" states a tolerance of {tolerance:d}')
@then('the header "" states a tolerance of {tolerance:d}')
def step_parse(context, tolerance, value=""):
    assert parse_tolerance(value.encode() or None) == tolerance


@when('the servers of a service state "{statements}"')
@when('the servers of a service state ""')
def step_state(context, statements=""):
    context.brittle = BrittleServices()
    for source, at, age in STATEMENT.findall(statements):
        if source == "own":
            context.brittle.note(SERVICE, 4, float(at))
        else:
            hint = BrittleHint(SERVICE, 4, round(float(age) * 1000))
            context.brittle.apply([hint], float(at))


@then("at {at:g} s the service is {state}")
def step_is(context, at, state):
    assert context.brittle.is_brittle(SERVICE, at) == (state == "brittle")


@then('the statement is sent at "{times}" when asked each {step:g} s until {end:d} s')
def step_sent(context, times, step, end):
    moments = [1 + step * n for n in range(round((end - 1) / step))]
    sent = [at for at in moments if context.brittle.collect(at)]
    assert sent == [float(at) for at in times.split()], sent


@then("with {settings} and {state} servers overload control applies to {services}")
def step_applies(context, settings, state, services):
    process = SimpleNamespace(
        overload=None,
        is_overload_limited=False,
        brittle=BrittleServices(),
        drain=None,
        directory=ServerDirectory(),
    )
    if state == "brittle":
        process.brittle.note(SERVICE, 4, 0.0)
    activation = OverloadActivation(
        process,
        CONFIGURED.get(settings),
        SimpleNamespace(),
        random.Random(1),
        OverloadRules(enabled=True),
        lambda: 1.0,
    )
    is_stated = settings == "routing settings without"
    table = SimpleNamespace(overload=OverloadRules() if is_stated else None)
    activation.apply(table)
    found = "brittle" if process.is_overload_limited else "all"
    found = "none" if process.overload is None else found
    assert found == services, found


@then(
    "a brittle trial of {vms:d} processes, {seconds:d} seconds and seed {seed:d} with "
    "{reports:d} load figures breaks no promise"
)
def step_trial(context, vms, seconds, seed, reports):
    soak = BrittleSoak(seed, float(seconds), vms, reports=reports)
    broken = context.loop.run_until_complete(soak.run())
    assert not broken, (broken, soak.show())
