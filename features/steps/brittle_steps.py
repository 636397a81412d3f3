"""Steps: servers that state that they are brittle."""

from __future__ import annotations

import random
import re
from types import SimpleNamespace

from behave import then, when

from features.brittle_soak import BrittleSoak
from ramppin.gateway.connection.datagrams import BackoffHint, BrittleHint
from ramppin.gateway.process.overload.activation import OverloadActivation
from ramppin.gateway.process.overload.brittleness import (
    LIFETIME_S,
    REJECTION_BACKOFF_S,
    BrittleServices,
    parse_tolerance,
)
from ramppin.gateway.process.overload.capacity import CapacityEstimator
from ramppin.gateway.process.overload.fleetdemand import DEMAND_TTL_S, Demand
from ramppin.gateway.process.overload.rules import OverloadRules
from ramppin.gateway.process.overload.startlimiter import FleetStartLimiter
from ramppin.gateway.process.routing.closure import ClosureReason
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.gate import ServerGate
from ramppin.gateway.process.routing.noticegossip import NoticeGossip
from ramppin.gateway.process.routing.serverstate import BackendServer
from ramppin.gateway.version.routing import ServiceSpec

SERVICE = "model"
SERVERS, SLOTS = 6, 8
REJECTION = re.compile(r"([\w-]+)@([\d.]+)(?:\+(\d+))?")
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


def build_servers() -> ServerDirectory:
    directory = ServerDirectory()
    for number in range(SERVERS):
        server = BackendServer(f"i-{number}", SERVICE, "h", 80 + number, slots=SLOTS)
        directory.put(server)
    return directory


@when('a server that tolerates {tolerance:d} rejections has rejected "{rejections}"')
def step_rejections(context, tolerance, rejections):
    directory = context.directory = build_servers()
    brittle = context.brittle = BrittleServices()
    gossip = NoticeGossip(directory, brittle)
    rejected = next(iter(directory))
    for vm, at, backoff in REJECTION.findall(rejections):
        now, backoff_s = float(at), float(backoff or REJECTION_BACKOFF_S)
        if tolerance:
            brittle.note(SERVICE, tolerance, now)
        if vm == "own":
            directory.notices.note_backoff(rejected.id, backoff_s, now)
        else:
            hint = BackoffHint(rejected.id, round(backoff_s * 1000))
            gossip.apply_backoffs(vm, [hint], now)


@then("at {at:g} s it is {state}")
def step_rejecting(context, at, state):
    find_end = context.brittle.find_closed_until
    gate = ServerGate(context.directory, None, lambda service: 0.0, find_end)
    closures = list(gate.survey(SERVICE, at).closed.values())
    assert len(closures) == (state == "closed"), closures
    for closure in closures:
        assert closure.reason is ClosureReason.RESTING, closure
        assert at < closure.opens_at <= at + REJECTION_BACKOFF_S, closure


@then("at {at:g} s six servers of 8 slots with 3 own requests each may hold {limit:g}")
def step_limit(context, at, limit):
    if at > LIFETIME_S:
        context.brittle.note(SERVICE, 4, at)
    for state in context.directory:
        state.in_flight = 3
    spec = ServiceSpec(SERVICE)
    estimator = CapacityEstimator(
        context.directory, lambda service: spec, context.brittle
    )
    found = estimator.measure(SERVICE, at).limit
    assert abs(found - limit) < 0.01, found


@then(
    "a VM with {own:d} of {total:d} requests at six servers that are {state}, "
    "{reports} load reports, sends one at most {most:d}"
)
def step_part(context, own, total, state, reports, most):
    directory, brittle, spec = build_servers(), BrittleServices(), ServiceSpec(SERVICE)
    vms = ["vm-1", "vm-2"]
    limiter = FleetStartLimiter(
        directory, lambda service: spec, lambda now: vms, brittle=brittle
    )
    limiter.is_busy(SERVICE, 0.0)
    now = 2 * DEMAND_TTL_S
    if state == "brittle":
        brittle.note(SERVICE, 4, now)
    for number, server in enumerate(directory):
        server.in_flight = own // SERVERS + (number < own % SERVERS)
        if reports == "with":
            server.note_load(SLOTS, 0, now)
    limiter.apply_peer_demand("vm-2", Demand(SERVICE, total - own), now)
    found = limiter.find_server_limit(SERVICE, 0, now)
    assert found == most, found


@then(
    "a brittle trial of {vms:d} processes, {seconds:d} seconds and seed {seed:d} with "
    "{reports:d} load figures breaks no promise"
)
def step_trial(context, vms, seconds, seed, reports):
    soak = BrittleSoak(seed, float(seconds), vms, reports=reports)
    broken = context.loop.run_until_complete(soak.run())
    assert not broken, (broken, soak.show())
