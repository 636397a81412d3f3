"""Steps: prefixes that are asked for so often that one home is too few."""

from __future__ import annotations

import math
import random
from collections import Counter

from behave import then

from features.gateway_support import build_server, is_yes
from ramppin.gateway.process.routing.homes import PrefixHomes
from ramppin.gateway.process.routing.hotprefixes import HotPrefixes
from ramppin.gateway.process.routing.prefixselection import PrefixSelection
from ramppin.gateway.process.routing.selection import SelectionRequest
from ramppin.ranking import RendezvousRanking

NOW = 100.0
PREFIX = 77
SERVERS = 4
BOUND = 8.0
DRAWS = 4000


def count_others(hot: HotPrefixes) -> None:
    """Count prompts of other prefixes: more than a server's part."""
    for _ in range(SERVERS):
        hot.count_prompt()


@then(
    "prompts of a prefix that is hot: {hot}, whose home held {peak:d} at {age:g} s "
    "ago, go in shares {shares}"
)
def step_shares(context, hot, peak, age, shares):
    ids = RendezvousRanking().rank(PREFIX, [f"s{n}" for n in range(SERVERS)])
    states = [build_server(server_id, 1) for server_id in ids]
    homes = PrefixHomes(lambda server: True)
    homes.note_placed(PREFIX, ids[0], NOW - age)
    states[0].load.note_report(peak, 0, NOW - age)
    states[0].load.note_report(1, 0, NOW)
    strategy = PrefixSelection(
        homes, bound=0.0, slack=BOUND, generator=random.Random(1)
    )
    homes.hot.apply([PREFIX] if is_yes(hot) else [], NOW)
    found = Counter()
    for _ in range(DRAWS):
        found[strategy.choose(SelectionRequest(PREFIX), states, NOW).state.id] += 1
        count_others(homes.hot)
    for server_id, share in zip(ids, map(float, shares.split()), strict=True):
        drawn = found[server_id] / DRAWS
        assert math.isclose(drawn, share, abs_tol=0.03 if share % 1 else 0), found


@then(
    'a prefix met "{met}" before {servers:d} servers is hot: {hot}, after 5.1 s more: '
    "no"
)
def step_hot(context, met, servers, hot):
    prefixes, now = HotPrefixes(), NOW
    for word in met.split():
        after, prompts = word.split(":")
        now += float(after)
        for _ in range(int(prompts)):
            prefixes.count_prompt()
        prefixes.note_home_at_bound(PREFIX, servers, now)
    assert prefixes.is_hot(PREFIX, now) is is_yes(hot)
    assert not prefixes.is_hot(PREFIX, now + 5.1)


@then(
    "a VM that finds a prefix hot tells it once in 2.5 s, and who hears of it tells "
    "nothing"
)
def step_told(context):
    finder, hearer = HotPrefixes(), HotPrefixes()
    told = []
    for tenth in range(30):
        finder.count_prompt()
        finder.note_home_at_bound(PREFIX, SERVERS, NOW + tenth / 10)
        told += finder.collect()
    assert told == [PREFIX, PREFIX], told
    hearer.apply(told, NOW)
    assert hearer.is_hot(PREFIX, NOW)
    assert not hearer.collect()
