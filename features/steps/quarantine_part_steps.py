"""Steps: parts of prompts that crash servers."""

from __future__ import annotations

import random
import re
import zlib
from types import SimpleNamespace

from behave import then, when

from bench.vms.partcrashes import draw_pattern, play_parts
from ramppin.gateway.process.quarantine.gossip import QuarantineGossip
from ramppin.gateway.process.quarantine.quarantine import Quarantine
from ramppin.gateway.process.quarantine.record import CrashRecord, ServerEnd
from ramppin.gateway.request.admission import Admission
from ramppin.gateway.request.attributes import list_attributes
from ramppin.gateway.request.crashwatch import CrashWatch
from ramppin.gateway.request.promptkey import list_part_ids
from ramppin.gateway.request.result import AttemptEnd, AttemptResult

CRASHES = re.compile(r"(\w+)(\*?):(\w+)")
HELD_S = 0.5
START_S = 100.0


@then('the parts of "{header}" are "{ids}"')
@then('the parts of "{header}" are ""')
def step_parts(context, header, ids=""):
    assert [part.decode() for part in list_part_ids(header.encode())] == ids.split()


def name_key(name: str) -> int:
    return zlib.crc32(name.encode())


def lose(quarantine: Quarantine, name: str, server: str, at: float) -> None:
    quarantine.note_lost(name_key(name), server, at - HELD_S, at)


@when('servers crash one a second under "{attributes}"')
def step_crash(context, attributes):
    quarantine = context.quarantine = Quarantine()
    servers = {}
    for name, star, letters in CRASHES.findall(attributes):
        if star:
            quarantine.note_served(name_key(name), START_S - 9)
        for letter in letters:
            servers.setdefault(letter, []).append(name)
    for letter, names in sorted(servers.items()):
        at = START_S + ord(letter) - ord("a")
        for name in names:
            lose(quarantine, name, letter, at)
        quarantine.note_server_ended(letter)
        context.ended_at = at
    context.names = {name for name, _, _ in CRASHES.findall(attributes)}


def list_names(context, keys) -> list[str]:
    return sorted(name for name in context.names if name_key(name) in keys)


@then('"{refused}" are refused, "{tied}" of them tied')
@then('"{refused}" are refused, "" of them tied')
@then('"" are refused, "" of them tied')
def step_refused(context, refused="", tied=""):
    quarantine = context.quarantine
    assert list_names(context, quarantine.quarantined) == refused.split()
    assert list_names(context, quarantine._attribution.tied) == tied.split()


@then('a request with "{held}" is {state} after {seconds:g} s')
def step_held(context, held, state, seconds):
    keys = [name_key(name) for name in held.split()]
    now = context.ended_at + seconds
    assert context.quarantine.admit(keys, now) == (state == "sent")


@when('a prompt with "{held}" on trial {does}')
def step_trial(context, held, does):
    quarantine, now = context.quarantine, context.ended_at + 1.0
    assert quarantine.admit([name_key(held)], now)
    assert not quarantine.admit([name_key(held)], now + 0.1)
    if does == "is answered":
        quarantine.note_served(name_key(held), now + 0.5)
    else:
        lose(quarantine, held, "z", now + 0.6)
        quarantine.note_server_ended("z")


@when("a VM serves a part between two crashes, of which others tell it later")
def step_told_late(context):
    quarantine = context.quarantine = Quarantine()
    quarantine.note_served(1, START_S + 1.5)
    ends = [ServerEnd(f"s-{n}", START_S + n - HELD_S, START_S + n) for n in (1, 2)]
    record = CrashRecord(ends={end.server: end for end in ends})
    context.is_outdated = quarantine.merge(1, record, START_S + 3)


@then("it counts only the second one, and tells the others")
def step_counts_second(context):
    record = context.quarantine.find(1)
    assert list(record.ends) == ["s-2"], record
    assert list(record.cleared) == ["s-1"], record
    assert context.is_outdated


@then(
    "in {runs:d} random runs {share:g} of the bad parts are refused at all VMs after "
    "{ends:d} crashes at most"
)
def step_runs(context, runs, share, ends):
    context.results = [play_parts(draw_pattern(seed)) for seed in range(1, runs + 1)]
    parts = [(result, bad) for result in context.results for bad in result.ends]
    # A part that all refuse at no time counts with all its crashes, and one more.
    counts = [
        result.refused_after.get(bad, result.ends[bad] + 1) for result, bad in parts
    ]
    few = sum(count <= ends for count in counts)
    print(f"bad parts refused in time: {few} of {len(counts)}")
    assert few >= share * len(counts), (few, len(counts))


@then(
    "in {runs:d} random runs {share:g} of the bad parts crash {ends:d} servers at most"
)
def step_runs_servers(context, runs, share, ends):
    results = [play_parts(draw_pattern(seed)) for seed in range(1, runs + 1)]
    counts = [n for result in results for n in result.ends.values()]
    few = sum(count <= ends for count in counts)
    assert few >= share * len(counts), (few, len(counts))


@then("no bad part reaches servers more than {most:d} times long after its fifth crash")
def step_late(context, most):
    assert all(result.late <= most for result in context.results)


@then("of {count:d} sound prompts at most {most:d} is refused")
def step_sound(context, count, most):
    sound = sum(result.sound for result in context.results)
    refused = sum(result.refused for result in context.results)
    print(f"sound prompts refused: {refused} of {sound}")
    assert refused * count <= most * sound, (refused, sound)


# prompts with odd or many parts


def build_admission(header: str, service: str = "llm") -> Admission:
    ids = tuple(list_part_ids(header.encode()))
    fingerprint = zlib.crc32(header.encode())
    return Admission(None, None, None, service, None, fingerprint, 1.0, part_ids=ids)


@then('a prompt with the parts "{header}" has {count:d} parts that may be blamed')
@then('a prompt with the parts "" has {count:d} parts that may be blamed')
def step_count_parts(context, count, header=""):
    found = list_attributes(build_admission(header))
    assert len(found) == 1 + count, found
    assert found[0].key == zlib.crc32(header.encode())
    assert not found[0].part


def list_part_keys(header: str, service: str) -> list[int]:
    return [found.key for found in list_attributes(build_admission(header, service))][
        1:
    ]


@then('the keys of "{one}" and "{other}" for one service are equal')
def step_equal(context, one, other):
    assert list_part_keys(one, "llm") == list_part_keys(other, "llm")


@then('those of "{header}" for two services are not')
def step_two_services(context, header):
    assert list_part_keys(header, "llm") != list_part_keys(header, "vision")


class FakeState:
    """A server as far as a crash watch asks it."""

    restarted, missing, leaving = True, False, False

    def __init__(self, server_id: str) -> None:
        self.id = server_id


def crash_under(context, header: str, server: str, now: float) -> None:
    """Let a server crash while a gateway's request runs there."""
    attributes = list_attributes(build_admission(header))
    watch = CrashWatch(context.gateway, attributes)
    result = AttemptResult(AttemptEnd.FAILED, lost=True)
    watch.note_attempt(FakeState(server), result, now - HELD_S, now)


def list_new_parts(generator: random.Random) -> list[str]:
    return [f"{generator.getrandbits(60):x}:9" for _ in range(400)]


@when("two servers crash under a part, then 25 under prompts of 400 new parts each")
def step_flood(context):
    generator = random.Random(3)
    context.gateway = SimpleNamespace(quarantine=Quarantine(), generator=generator)
    for n in range(2):
        crash_under(context, f"bad1:9,{n}:9", f"s-{n}", START_S + n)
    for n in range(25):
        header = ",".join(list_new_parts(generator))
        crash_under(context, header, f"t-{n}", START_S + 2 + n)


@then(
    "at most {count:d} attributes are recorded, and a fourth crash has the part refused"
)
def step_flooded(context, count):
    quarantine = context.gateway.quarantine
    assert len(list(quarantine)) <= count
    key = list_part_keys("bad1:9,0:9", "llm")[0]
    assert len(quarantine.find(key).ends) == 2
    # The others crashed without the part, so that it needs a fourth one.
    for n in (2, 3):
        crash_under(context, f"bad1:9,{n}:9", f"s-{n}", START_S + 30 + n)
    assert key in quarantine.quarantined


@when("servers crash under one of the 400 parts of a prompt until it is refused")
def step_crash_many(context):
    generator = random.Random(5)
    quarantine = Quarantine()
    context.gateway = SimpleNamespace(quarantine=quarantine, generator=generator)
    context.key = list_part_keys("bad1:9,0:9", "llm")[0]
    context.crashes = 0
    while context.key not in quarantine.quarantined and context.crashes < 100:
        parts = [*list_new_parts(generator), "1:9"]
        parts[200] = "bad1:9"
        crash_under(
            context, ",".join(parts), f"s-{context.crashes}", START_S + context.crashes
        )
        context.crashes += 1


@then("that is after {count:d} crashes at most, and no other part is refused")
def step_crashed_many(context, count):
    assert context.crashes <= count, context.crashes
    assert context.gateway.quarantine.quarantined == {context.key}


# suspicion


@then('the suspect of a request with "{held}" is "{suspect}"')
@then('the suspect of a request with "{held}" is ""')
def step_suspect(context, held, suspect=""):
    found = context.quarantine.find_suspect([name_key(name) for name in held.split()])
    assert found == (name_key(suspect) if suspect else None)


@then('a request with "{held}" that was lost at "{own}" is {state} again')
def step_again(context, held, own, state):
    found = context.quarantine.may_crash_another(name_key(held), own.split())
    assert found == (state == "not sent")


@when(
    "two servers crash under a part, then a prompt with it {does}, then a third crashes"
)
def step_between(context, does):
    generator = random.Random(7)
    quarantine = Quarantine()
    context.gateway = SimpleNamespace(quarantine=quarantine, generator=generator)
    for n in range(2):
        crash_under(context, f"bad1:9,{n}:9", f"s-{n}", START_S + n)
    watch = CrashWatch(context.gateway, list_attributes(build_admission("bad1:9,ff:9")))
    answers = {
        "is answered": AttemptResult(AttemptEnd.DELIVERED, status=200),
        "is answered by an error": AttemptResult(
            AttemptEnd.FAILED, status=500, answer=(None, b"")
        ),
    }
    if does in answers:
        now = START_S + 1.5
        watch.note_attempt(FakeState("s-9"), answers[does], now - HELD_S, now)
    crash_under(context, "bad1:9,2:9", "s-2", START_S + 2)


@then("the part is {state}")
def step_part_is(context, state):
    keys = list_part_keys("bad1:9,0:9", "llm")
    admitted = context.gateway.quarantine.admit(keys, START_S + 3)
    assert admitted == (state == "sent")


@when("a server crashes, and then one with prompts with its part sent at {times} s")
def step_two_prompts(context, times):
    quarantine = context.quarantine = Quarantine()
    lose(quarantine, "bad", "a", START_S + 1)
    quarantine.note_server_ended("a")
    for sent_at in map(float, times.split()):
        quarantine.note_lost(name_key("bad"), "b", START_S + sent_at, START_S + 2)
    quarantine.note_server_ended("b")


@then("two crashes one after the other count")
def step_two_count(context):
    assert context.quarantine.find(name_key("bad")).count_ends() == 2


@when("{count:d} attributes were in flight at one crash, and a part at three")
def step_many(context, count):
    quarantine = context.quarantine = Quarantine()
    for n in range(count):
        lose(quarantine, f"sound-{n}", "a", START_S + 1)
    for n, server in enumerate("abc"):
        at = START_S + 1 + n
        quarantine.note_lost(name_key("bad"), server, at - HELD_S, at, "5c1e")
        quarantine.note_server_ended(server)


@then(
    "the first message has the part and its id, and names {count:d} servers and "
    "records at most"
)
def step_first_message(context, count):
    hints = QuarantineGossip(context.quarantine).collect(START_S + 4)
    assert (hints[0].fingerprint, hints[0].part) == (name_key("bad"), "5c1e")
    assert sum(1 + len(hint.ends) + len(hint.cleared) for hint in hints) <= count
    other = Quarantine()
    QuarantineGossip(other).apply(hints, START_S + 4)
    assert other.find(name_key("bad")).part == "5c1e"


@when("a server crashes under a part every {count:d} new attributes")
def step_evict(context, count):
    quarantine = context.quarantine = Quarantine()
    for crash in range(4):
        at = START_S + 10 * crash
        lose(quarantine, "bad", f"s-{crash}", at)
        quarantine.note_server_ended(f"s-{crash}")
        for n in range(count):
            lose(quarantine, f"new-{crash}-{n}", f"t-{crash}", at + 1)
        quarantine.note_server_ended(f"t-{crash}")


@then("the fourth crash has the part refused")
def step_not_evicted(context):
    assert name_key("bad") in context.quarantine.quarantined


@when("three servers crash under a request with 400 parts")
def step_crash_long(context):
    generator = random.Random(11)
    context.gateway = SimpleNamespace(quarantine=Quarantine(), generator=generator)
    header = ",".join(list_new_parts(generator))
    for n in range(3):
        crash_under(context, header, f"s-{n}", START_S + n)
    context.whole = zlib.crc32(header.encode())


@then("the request is refused")
def step_whole_refused(context):
    assert context.whole in context.gateway.quarantine.quarantined


@when(
    "a VM that served a part is told of a crash by one that did not, and nothing else"
)
def step_told(context):
    quarantine = context.quarantine = Quarantine()
    quarantine.note_served(1, START_S)
    end = ServerEnd("s-1", START_S + 1, START_S + 2)
    quarantine.merge(1, CrashRecord(ends={"s-1": end}), START_S + 3)


@when(
    "a VM that served a part is told of a crash by one that did not, and then of a "
    "success by another"
)
def step_told_twice(context):
    step_told(context)
    end = ServerEnd("s-1", START_S + 1, START_S + 2)
    record = CrashRecord(ends={"s-1": end}, was_served=True)
    context.quarantine.merge(1, record, START_S + 3)


@then("it sends nothing out of turn, and {sends} with its next message")
def step_sends(context, sends):
    assert not context.quarantine.has_pending
    hints = QuarantineGossip(context.quarantine).collect(START_S + 4)
    found = [(hint.fingerprint, hint.was_served) for hint in hints]
    assert found == ([(1, True)] if sends == "it" else [])
