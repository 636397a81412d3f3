"""A soak of prompts of which one part ends servers: gateway processes, real signals.

Prompts with a bad part come at any VM, no two alike: each has its own body and last
part, and its other parts are those of sound prompts of the same customer. A server that
begins to answer one ends, and is back some seconds later. Promises, for each bad part:
no more than 3 prompts reach a server later than 3 s after the fifth server that it
ended, from VMs that ran for those 3 s; from 6 s after it sound prompts of the same
customer and first parts are served at least half as often as before. The goals, in runs
without other harm: a bad part ends 5 servers at most; 0.90 of the sound prompts are
served from the first end on, 0.97 from 3 s after the fifth, against those before. In
all runs no sound prompt is refused for what servers did.

    python -m features.part_soak --seconds 20 --seeds 1-50
    python -m features.part_soak --form first --seeds 1-10

A seed sets what happens when; when each process gets its turn is the machine's.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from functools import partial

from features.crash_servers import PartServers
from features.crash_soak import (
    CONTACT_S,
    ENDS_FOR_POWER,
    ENDS_FOR_POWER_WITHOUT_STORE,
    ENDS_FOR_STOP,
    HARMFUL_ID,
    MOST_ENDS,
    MOST_LATE,
    CrashSoak,
)
from features.soak_runs import build_parser, run_seeds

SOUND_PER_S, FRESH_SHARE = 25.0, 0.5
BAD_PER_S, RARE_BAD_PER_S = 4.0, 0.4
FIRST_PARTS, MIDDLE_PARTS = 8, 40
BAD_PARTS = ("bad1", "bad2")

CALM_S = 4.0
"""Seconds of sound prompts alone, against which those after them are compared."""

FIFTH = 5
"""Number of the end from which the promises count."""

MIN_COMPARED = 20
MIN_SOUND_SHARE = 0.5
GOAL_FROM_FIRST, GOAL_FROM_FIFTH = 0.90, 0.97

WAVE_SERVERS = (1, 4)
WAVE_GAP_S = 0.3

HARMS = ("kill_vm", "stop_vm", "refuse_store", "start_vm", "crash_wave")
"""Kinds of harm, methods of the soak; ``kill_all`` is asked for by name, once a run."""


@dataclass(frozen=True, slots=True)
class PartForm:
    """How the bad prompts look.

    Attributes:
        position: place of the bad part; -1 for any but the last.
        bad_parts: how many bad parts there are.
        events_first: events that arrive before a server ends.
        same_id: whether a server that is back keeps its id.
        fresh_share: share of the sound prompts with a middle part never seen before.
        bad_per_s: bad prompts a second, for each part.
        harms: kinds of harm that belong to the form.
    """

    position: int = -1
    bad_parts: int = 1
    events_first: int = 0
    same_id: bool = False
    fresh_share: float = 0.0
    bad_per_s: float = BAD_PER_S
    harms: tuple[str, ...] = ()


FORMS = {
    "middle": PartForm(position=1),
    "first": PartForm(position=0),
    "two": PartForm(bad_parts=2),
    "event": PartForm(events_first=1),
    "same_id": PartForm(same_id=True),
    "late_vm": PartForm(harms=("start_vm",)),
    "kill_vm": PartForm(harms=("kill_vm",)),
    "fresh": PartForm(fresh_share=FRESH_SHARE),
    "rare": PartForm(bad_per_s=RARE_BAD_PER_S),
}


@dataclass(frozen=True, slots=True)
class SoundPrompt:
    """What became of a sound prompt.

    Attributes:
        vm: name of the VM that was asked.
        sent_at: when, in seconds of the harness's clock.
        served: whether the answer was whole.
    """

    vm: str
    sent_at: float
    served: bool


@dataclass
class PartSoak(CrashSoak):
    """One run with one seed.

    Attributes:
        form: how the bad prompts look.
    """

    form: PartForm = FORMS["middle"]
    sound: list[SoundPrompt] = field(default_factory=list)
    refusals: Counter = field(default_factory=Counter)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.same_id = self.form.same_id
        self.bad = BAD_PARTS[: self.form.bad_parts]
        self.servers = PartServers(
            self.random,
            crash_after_s=self.servers.crash_after_s,
            events_first=self.form.events_first,
            bad_parts=frozenset(self.bad),
        )

    # callers

    def _list_callers(self) -> list[tuple[float, Callable[[], Coroutine]]]:
        return [(SOUND_PER_S, self._ask_sound)]

    async def _harm_servers_until(self, until: float) -> None:
        """Let the bad prompts come."""
        await asyncio.sleep(CALM_S)
        rate = self.form.bad_per_s
        await asyncio.gather(
            *(
                self.callers.come_until(until, rate, partial(self._ask_bad, part))
                for part in self.bad
            )
        )

    async def _harm_until(self, until: float) -> None:
        await asyncio.sleep(CALM_S)
        await super()._harm_until(until)

    def _draw_parts(self) -> list[str]:
        """Return parts that sound prompts share: a first one, and some after it."""
        first = f"{0xF00 + self.random.randrange(FIRST_PARTS):x}"
        count = self.random.randint(0, 2)
        middle = self.random.sample(range(MIDDLE_PARTS), count)
        return [first, *(f"{0xA00 + number:x}" for number in middle)]

    async def _ask_sound(self) -> None:
        parts, vm = self._draw_parts(), self._choose_vm()
        if self.random.random() < self.form.fresh_share:
            parts.insert(1, f"{self.random.getrandbits(60):x}")
        sent_at = time.monotonic()
        status = await self._ask_parts(vm, "", parts)
        if status is not None:
            self.sound.append(SoundPrompt(vm, sent_at, status == "200"))

    async def _ask_bad(self, part: str) -> None:
        parts, vm = self._draw_parts(), self._choose_vm()
        place = self.form.position
        if place < 0:
            place = self.random.randint(0, len(parts))
        parts.insert(place, part)
        prefix = f"{HARMFUL_ID}{int(vm.partition('-')[2]):04d}"
        await self._ask_parts(vm, prefix, parts)

    async def _ask_parts(self, vm: str, prefix: str, parts: list[str]) -> str | None:
        """Send a prompt; return its status, or None if its VM does not run."""
        if vm not in self.running:
            return None
        self._ids += 1
        request_id = f"{prefix}{self._ids:06x}"
        body = b"%x" % self.random.getrandbits(64)
        named = [f"{part}:300" for part in parts] + [f"{self._ids + 0xE0000:x}:9"]
        lines = ["POST /s/x HTTP/1.1", "Host: h.example", "Api-Key: k1"]
        lines += [f"Attempt-Id: {request_id}", "Deadline-Ms: 4000"]
        lines += [f"Content-Length: {len(body)}", f"Prefix-Hash: {','.join(named)}"]
        answer = await self.send(vm, lines, body)
        served = answer.status == 200 and answer.whole
        status = "200" if served else str(answer.status or "closed")
        if answer.status == 200 and not served:
            status = "broken off"
        kind = "bad" if prefix else "sound"
        self.statuses[kind, status] += 1
        return status

    # harm

    async def _crash_wave(self) -> None:
        """End some servers one after the other, whatever they run."""
        running = [
            server
            for server in self.fixture.backends.values()
            if server.running and server.service == "llm"
        ]
        count = min(len(running), self.fault_random.randint(*WAVE_SERVERS))
        for server in self.fault_random.sample(running, count):
            if server.running:
                server.running = False
                self.servers.ended.put_nowait(server)
            await asyncio.sleep(self.fault_random.uniform(0.0, WAVE_GAP_S))

    # the promises

    def _note_turned_away(self, line: str) -> None:
        """Note a sound prompt that was refused; count those cut and not sent again."""
        is_bad = f'"request_id":"{HARMFUL_ID}' in line
        is_refused = '"status":503' in line
        self.refusals["bad" if is_bad else "sound", is_refused] += 1
        if is_refused and not is_bad:
            self.turned_away.append(line)

    def _check(self) -> list[str]:
        broken = [f"turned away: {line}" for line in self.turned_away[:3]]
        most_ends = self._count_allowed_ends()
        for name, record in sorted(self.servers.records.items()):
            late = self.count_late(name)
            if late > MOST_LATE:
                broken.append(f"{name}: {late} prompts long after its fifth end")
            if len(record.ends) > most_ends:
                broken.append(f"{name}: ended {len(record.ends)} servers")
        shares = self._measure_shares()
        calm, late = shares["calm"], shares["late"]
        is_compared = calm[1] >= MIN_COMPARED and late[1] >= MIN_COMPARED
        if is_compared and _divide(late) < MIN_SOUND_SHARE * _divide(calm):
            broken.append(f"sound prompts: {shares}")
        if not self.harms:
            broken += self._list_missed_goals(shares)
        return broken

    def _count_allowed_ends(self) -> int:
        had_store = "refuse_store" not in self.harms
        for_power = ENDS_FOR_POWER if had_store else ENDS_FOR_POWER_WITHOUT_STORE
        allowed = MOST_ENDS + for_power * self.power_losses
        return allowed + ENDS_FOR_STOP * self.stops

    def _list_missed_goals(self, shares: dict[str, tuple[int, int]]) -> list[str]:
        goals = {"from first": GOAL_FROM_FIRST, "from fifth": GOAL_FROM_FIFTH}
        calm = _divide(shares["calm"])
        return [
            f"sound prompts {name}: {shares[name]}, calm {shares['calm']}"
            for name, goal in goals.items()
            if shares[name][1] >= MIN_COMPARED and _divide(shares[name]) < goal * calm
        ]

    def _measure_shares(self) -> dict[str, tuple[int, int]]:
        """Return the sound prompts that were served and sent, by time."""
        ends = sorted(at for r in self.servers.records.values() for at in r.ends)
        first = ends[0] if ends else float("inf")
        fifth = max((self._find_fifth(name) for name in self.bad), default=first)
        spans = {
            "calm": (0.0, min(first, self.started_at + CALM_S)),
            "from first": (first, float("inf")),
            "from fifth": (fifth + CONTACT_S, float("inf")),
            "late": (fifth + 2 * CONTACT_S, float("inf")),
        }
        shares = {}
        for name, (since, until) in spans.items():
            found = [
                prompt.served
                for prompt in self.sound
                if since <= prompt.sent_at < until
                and self.was_calm(prompt.vm, prompt.sent_at, CONTACT_S)
            ]
            shares[name] = (sum(found), len(found))
        return shares

    def _find_fifth(self, name: str) -> float:
        """Return the moment of a bad part's fifth end, or of the last if it is less."""
        record = self.servers.records.get(name)
        if record is None or not record.ends:
            return float("inf")
        return record.ends[:FIFTH][-1]

    def count_late(self, name: str) -> int:
        """Return how many prompts came long after the fifth end, from calm VMs."""
        record = self.servers.records[name]
        if len(record.ends) < FIFTH:
            return 0
        since = record.ends[FIFTH - 1] + CONTACT_S
        late = [arrival for arrival in record.arrivals if arrival.at > since]
        return sum(self._was_calm(arrival.request_id, arrival.at) for arrival in late)

    def show(self) -> str:
        """Return what bad parts did, and what sound prompts got."""
        harm = ", ".join(
            f"{name}: {len(r.ends)} ends, {len(r.arrivals)} arrivals, "
            f"{self.count_late(name)} late"
            for name, r in sorted(self.servers.records.items())
        )
        shares = ", ".join(
            f"{name} {served}/{sent}"
            for name, (served, sent) in self._measure_shares().items()
        )
        sound = {s: n for (kind, s), n in self.statuses.items() if kind == "sound"}
        cut = self.refusals["sound", False]
        return (
            f"{harm}; sound {shares} {sound}; cut and not sent again {cut}; "
            f"{' '.join(self.faults)}"
        )


def _divide(share: tuple[int, int]) -> float:
    return share[0] / share[1] if share[1] else 0.0


def draw_soak(seed: int, seconds: float, vms: int) -> PartSoak:
    """Return a run whose form the seed draws."""
    generator = random.Random(f"part-form-{seed}")
    count = generator.choice((0, 0, 1, 2, 3))
    harms = tuple(generator.sample(HARMS, count))
    if generator.random() < 0.1:
        harms = ("kill_all", *harms)
    form = PartForm(
        position=generator.choice((-1, 0, 1)),
        bad_parts=generator.choice((1, 1, 2)),
        events_first=generator.choice((0, 0, 1)),
        same_id=generator.random() < 0.5,
        fresh_share=generator.choice((0.0, 0.0, FRESH_SHARE)),
        bad_per_s=generator.choice((BAD_PER_S, BAD_PER_S, RARE_BAD_PER_S)),
    )
    return PartSoak(seed, seconds, vms, harms, form=form)


def run_seed(seed: int, options: argparse.Namespace) -> list[str]:
    """Run one seed and print what it did."""
    if options.form:
        form = FORMS[options.form]
        soak = PartSoak(seed, options.seconds, options.vms, form.harms, form=form)
    else:
        soak = draw_soak(seed, options.seconds, options.vms)
    broken = asyncio.run(soak.run())
    state = "BROKEN" if broken else "kept"
    print(f"seed {seed}: {state}; {soak.form}; {soak.show()}")
    return broken


def main() -> int:
    """Run the seeds and return the exit code."""
    parser = build_parser(__doc__, seconds=20.0, vms=8)
    parser.add_argument("--form", choices=sorted(FORMS), help="drawn as default")
    return run_seeds(parser.parse_args(), run_seed)


if __name__ == "__main__":
    sys.exit(main())
