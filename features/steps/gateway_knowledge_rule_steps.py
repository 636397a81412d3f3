"""Steps: the rules on knowledge of the log, relays and planned stops."""

from __future__ import annotations

import random

from behave import then

from features.gateway_support import (
    is_yes,
    read_names,
)
from ramppin.gateway.process.limits.drain import Drain, DrainTimes
from ramppin.gateway.process.membership.members import (
    Member,
)
from ramppin.gateway.process.recovery.peerchoice import (
    choose_peers,
    is_stale,
    list_candidates,
)
from ramppin.gateway.process.recovery.relayrules import RelayTimes, choose_own_relay
from ramppin.gateway.process.routing.homes import HomeAnnouncement, PrefixHomes
from ramppin.ranking import hash_name, mix
from ramppin.signals import SignalTime

NOW = 100.0


@then("with the log {log:w} and a table {age:g} s old peers are asked: {asked}")
def step_stale(context, log, age, asked):
    found = is_stale(reachable=log == "up", age_s=age, read_cycle_s=2.0)
    assert found is is_yes(asked)


@then(
    'of peers seen "{seen}" and seeds "{seeds}" '
    'the candidates of "{own}" are "{candidates}"'
)
def step_candidates(context, seen, seeds, own, candidates):
    found = list_candidates(read_names(seen), read_names(seeds), own)
    assert found == read_names(candidates), found


@then("of {count:d} candidates {asked:d} different ones are asked")
def step_choose_peers(context, count, asked):
    candidates = [f"p{number}" for number in range(count)]
    for seed in range(20):
        chosen = choose_peers(candidates, random.Random(seed))
        assert len(set(chosen)) == len(chosen) == asked, chosen
        assert set(chosen) <= set(candidates), chosen


@then(
    "after {last} a relay's answer at position {position} that is {age:g} s old "
    "is accepted after position {asked:d}: {accepted}"
)
def step_relay_answer(context, last, position, age, asked, accepted):
    known = None if position == "none" else int(position)
    fault = RelayTimes.from_bound(2.0).find_rejection_reason(
        known, asked, age, after_stale_update=last == "old news"
    )
    assert (fault is None) is is_yes(accepted), fault


@then('among relays "{relays}" the VM "{vm}" asks {count:w} one')
def step_own_relay(context, relays, vm, count):
    members = [Member(name, name, NOW) for name in read_names(relays)]
    found = choose_own_relay(Member(vm, vm, NOW), members, ())
    assert (found is not None) is {"some": True, "no": False}[count], found


WINNERS = {
    "always": lambda theirs, ours: True,
    "never": lambda theirs, ours: False,
    "if it ranks higher": lambda theirs, ours: theirs > ours,
}


@then("a home placed {theirs:g} s ago wins over one placed {ours:g} s ago: {wins}")
def step_home_wins(context, theirs, ours, wins):
    for key in range(50):
        homes = PrefixHomes(lambda server: True)
        homes.apply_announcement(HomeAnnouncement(key, "ours", ours), NOW)
        homes.apply_announcement(HomeAnnouncement(key, "theirs", theirs), NOW)
        ranks = [mix(key, hash_name(name)) for name in ("theirs", "ours")]
        expected = "theirs" if WINNERS[wins](*ranks) else "ours"
        assert homes.find(key) == expected, key


# planned stops


@then("{passed:g} s into a planned stop a request of {limit:g} s is taken: {taken}")
def step_take(context, passed, limit, taken):
    drain = Drain(DrainTimes(), SignalTime(earliest=NOW, handled=NOW))
    assert drain.may_accept(limit, NOW + passed) is is_yes(taken)


@then("in a planned stop a connection that is {age:g} s old may be closed: {closed}")
def step_close(context, age, closed):
    drain = Drain(DrainTimes(), SignalTime(earliest=NOW, handled=NOW))
    assert drain.may_close(NOW - age, NOW) is is_yes(closed)
