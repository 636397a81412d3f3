"""A soak of streams around a loss of all VMs and a change of builds: real processes.

All VMs are killed while streams run and start again, and the servers of one build take
the place of those of another at some moment relative to that. Callers take their
streams up at random VMs until :data:`PATIENCE_S` has passed. Promises: no stream holds
events of two builds; where the build of a stream that began well before the loss still
serves, most such streams go on soon; new streams are served after the start.

    python -m features.restart_soak --form killed_twice --seeds 1-10
    python -m features.restart_soak --seeds 1-50
"""

from __future__ import annotations

import argparse
import asyncio
import math
import signal
import sys
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from features.build_soak import EVENTS, BuildSoak, Stream
from features.gateway_support import RawAnswer
from features.platform_support import StoreStandIn
from features.soak_runs import build_parser, run_seeds

SECONDS = 4.5
"""Seconds for which callers come after all VMs are back."""

PATIENCE_S = 5.0
"""Seconds for which a caller tries, as its deadline says."""

PAUSE_S = 0.08
"""Seconds between two tries of a caller that was told no time to wait."""

KILL_AT_S = 3.0
DOWN_S = 1.0

NEW_SERVERS, OLD_SERVERS = 6, 8

SETTLED_S = 1.0
"""Seconds before the loss at which a stream counts as begun well before it."""

MAX_SOON_TRIES = 2

MIN_NEW_SHARE = 0.97
"""Share of new streams that begin, in the calm after the start."""

CALM_AFTER_S = 1.0


@dataclass(frozen=True)
class Form:
    """What happens in a run.

    Attributes:
        play: plays it.
        builds: builds that serve from the start.
        goes_on: least share of the streams that began well before the loss and whose
            build serves, that go on at the first or second try that a VM answers; None
            where nothing is promised.
        all_leave: whether all callers break their streams off, after a few events.
    """

    play: Callable[[RestartSoak], Coroutine[None, None, None]]
    builds: tuple[str, ...] = ("v1",)
    goes_on: float | None = None
    all_leave: bool = False


@dataclass
class RestartSoak(BuildSoak):
    """One run of one form with one seed."""

    form: str = "one_build"
    killed_at: list[float] = field(default_factory=list)
    returned_at: list[float] = field(default_factory=list)
    began_at: dict[int, float] = field(default_factory=dict)
    tries_after: int = 0
    went_on: int = 0
    new_tries: list[bool] = field(default_factory=list)

    @property
    def has_views(self) -> bool:
        """Whether one VM's way to the store has faults of its own."""
        return self.form in OUT_OF_STEP

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.started_at

    async def _add_first_servers(self) -> None:
        builds = FORMS[self.form].builds
        for number in range(OLD_SERVERS):
            await self._add_server(builds[number % len(builds)])

    async def run(self) -> list[str]:
        """Play the form while callers come, and some seconds more.

        How long VMs take to start is the machine's, so the run has no fixed length.
        """
        await self._start()
        try:
            self.started_at = time.monotonic()
            [kind] = self._list_callers()
            coming = asyncio.ensure_future(self.callers.come_until(math.inf, *kind))
            await FORMS[self.form].play(self)
            await asyncio.sleep(self.seconds)
            coming.cancel()
            await self.callers.wait()
        finally:
            await self._stop()
        return self._check()

    # what befalls them

    async def sleep_until(self, at: float) -> None:
        """Wait until a moment of the run, in seconds from its start."""
        await asyncio.sleep(max(0.0, at - self.now))

    async def kill_all(self, but: int = 0) -> None:
        """Kill all VMs at once, but for some."""
        vms = list(self.running)[but:]
        self.faults.append(f"kill@{self.now:.1f}")
        self.killed_at.append(self.now)
        await asyncio.gather(*map(self._kill, vms))

    async def start_all(self, gap_s: float = 0.0) -> None:
        """Start the VMs that are down, one each some seconds."""
        starts = []
        for vm in self.hosts:
            if vm in self.running:
                continue
            starts.append(asyncio.ensure_future(self._begin(vm)))
            await asyncio.sleep(gap_s)
        await asyncio.gather(*starts)
        self.faults.append(f"up@{self.now:.1f}")
        self.returned_at.append(self.now)

    async def lose_all(self, gap_s: float = 0.0) -> None:
        """Kill all VMs and start them again a while later."""
        await self.kill_all()
        await asyncio.sleep(DOWN_S)
        await self.start_all(gap_s)

    async def change_build(self, gap_s: float = 0.3) -> None:
        """Let servers of a new build take the place of those that serve."""
        old = [s for s in self.servers.values() if not s.is_leaving]
        await self.add_servers()
        await asyncio.sleep(gap_s)
        for server in old:
            server.is_leaving = True
            self._announce(server, "draining")
        await asyncio.sleep(gap_s)
        for server in old:
            self.fixture.store.put("keyed.servers", server.server_id, None)
        self.faults.append(f"old gone@{self.now:.1f}")

    async def add_servers(self) -> None:
        """Add servers of a new build."""
        self._builds += 1
        for _ in range(NEW_SERVERS):
            await self._add_server(f"v{self._builds}")
        self.faults.append(f"new@{self.now:.1f}")

    async def play_out_of_step(self, **faults: object) -> None:
        """Let two new builds come while one VM's own store has faults, for a while."""
        view = self.fixture.views["vm-2"]
        await self.sleep_until(KILL_AT_S - 1.0)
        for name, value in faults.items():
            setattr(view, name, value)
        self.faults.append(f"out of step@{self.now:.1f}")
        await self.add_servers()
        await asyncio.sleep(0.8)
        await self.change_build()
        await asyncio.sleep(1.5)
        for name in faults:
            setattr(view, name, getattr(StoreStandIn(), name))
        self.faults.append(f"in step@{self.now:.1f}")
        self.returned_at.append(self.now)

    async def stop_some(self, share: float, for_s: float) -> None:
        """Suspend some VMs for a while."""
        vms = list(self.running)[: round(len(self.running) * share)]
        for vm in vms:
            self.fixture.processes[vm].send_signal(signal.SIGSTOP)
        self.faults.append(f"stop@{self.now:.1f}")
        await asyncio.sleep(for_s)
        for vm in vms:
            self.fixture.processes[vm].send_signal(signal.SIGCONT)

    # callers

    async def _play_stream(self) -> None:
        """Begin a stream, and take it up until it is whole or the time is over."""
        number = len(self.streams)
        stream = Stream(b"prompt %d" % number)
        self.streams.append(stream)
        began = time.monotonic()
        leaves_after = self.random.randrange(2, EVENTS) if number % 2 else 0
        if FORMS[self.form].all_leave:
            leaves_after = self.random.randrange(2, 5)
        while time.monotonic() - began < PATIENCE_S and stream.last < EVENTS:
            vm = self.random.choice(list(self.hosts))
            before, tried_at = stream.last, self.now
            is_first = not stream.first_id
            answer = await self._try_once(stream, vm, leaves_after if is_first else 0)
            self._note_try(
                stream, vm, tried_at + self.started_at, answer, is_new=is_first
            )
            if stream.first_id:
                self.began_at.setdefault(number, tried_at)
            self._note_outcome(vm, tried_at, stream.last > before, is_new=is_first)
            pause_s = read_pause_s(answer)
            if pause_s > 0.9 * (PATIENCE_S - (time.monotonic() - began)):
                return
            await asyncio.sleep(pause_s)

    def _note_outcome(self, vm: str, at: float, went_on: bool, *, is_new: bool) -> None:
        back_at = self.returned_at[-1] if self.returned_at else None
        if back_at is None or at < back_at:
            return
        if not is_new:
            self.tries_after += 1
            self.went_on += went_on
        elif at > back_at + CALM_AFTER_S and vm in self.running:
            self.new_tries.append(went_on)

    # promises

    def list_settled(self) -> list[Stream]:
        """Return the streams that the first loss broke off, begun well before it.

        Those whose callers had left before a VM answered again are not among them.
        """
        if not self.killed_at:
            return []
        serving = {s.build for s in self.servers.values() if not s.is_leaving}
        return [
            stream
            for number, stream in enumerate(self.streams)
            if self.began_at.get(number, math.inf) < self.killed_at[0] - SETTLED_S
            and self._list_answered(stream)
            and stream.builds <= serving
        ]

    def _list_answered(self, stream: Stream) -> list[bool]:
        """Return whether it went on at each try that was answered after the loss."""
        answered = []
        for line in stream.tries:
            at, _, status, *writers = line.split()
            if float(at) > self.killed_at[0] and status != "0":
                answered.append(bool(writers))
        return answered

    def _went_on_soon(self, stream: Stream) -> bool:
        """Return whether it went on at the first or second answered try."""
        return any(self._list_answered(stream)[:MAX_SOON_TRIES])

    def _check(self) -> list[str]:
        broken = list(self.broken)
        mixed = [s for s in self.streams if len(s.builds) > 1]
        if mixed:
            broken.append(f"{len(mixed)} streams hold events of two builds")
            broken += [f"{s.first_id}: {'; '.join(s.tries)}" for s in mixed[:5]]
        share = sum(self.new_tries) / max(1, len(self.new_tries))
        if len(self.new_tries) < 20 or share < MIN_NEW_SHARE:
            broken.append(f"{share:.3f} of {len(self.new_tries)} new streams began")
        least, settled = FORMS[self.form].goes_on, self.list_settled()
        soon = sum(map(self._went_on_soon, settled))
        if least is not None and soon < least * len(settled):
            broken.append(f"{soon} of {len(settled)} streams went on soon")
            broken += [
                "; ".join(stream.tries)
                for stream in settled
                if not self._went_on_soon(stream)
            ][:5]
        return broken

    def show(self) -> str:
        """Return what was done and what callers got."""
        mixed = sum(len(stream.builds) > 1 for stream in self.streams)
        settled = self.list_settled()
        soon = sum(map(self._went_on_soon, settled))
        return (
            f"{self.form}: {len(self.streams)} streams, {mixed} of two builds; "
            f"after the start {self.went_on} of {self.tries_after} take-ups went on, "
            f"{sum(self.new_tries)} of {len(self.new_tries)} new ones began; "
            f"begun well before: {soon} of {len(settled)} went on soon; "
            f"answers {dict(self.statuses)}; {' '.join(self.faults)}"
        )


def read_pause_s(answer: RawAnswer) -> float:
    """Return the seconds after which an answer wants its caller back."""
    for line in answer.head.split(b"\r\n"):
        if line.startswith(b"retry-after:"):
            return float(line.partition(b":")[2])
    return PAUSE_S


async def lose_both_builds(soak: RestartSoak) -> None:
    """Both builds serve side by side all the time."""
    await soak.sleep_until(KILL_AT_S)
    await soak.lose_all()


async def lose_both_staggered(soak: RestartSoak) -> None:
    """As before, and VMs start one after the other."""
    await soak.sleep_until(KILL_AT_S)
    await soak.lose_all(gap_s=0.5)


async def lose_both_twice(soak: RestartSoak) -> None:
    """As before, and all VMs are lost again just after their start."""
    await soak.sleep_until(KILL_AT_S)
    await soak.lose_all()
    await asyncio.sleep(0.6)
    await soak.lose_all()


async def keep_one_of_both(soak: RestartSoak) -> None:
    """As before, and one VM lives on."""
    await soak.sleep_until(KILL_AT_S)
    await soak.kill_all(but=1)
    await asyncio.sleep(DOWN_S)
    await soak.start_all()


async def lose_after_change(soak: RestartSoak) -> None:
    """The old build has just left when all VMs are lost."""
    await soak.sleep_until(KILL_AT_S - 1.1)
    await soak.change_build()
    await soak.sleep_until(KILL_AT_S)
    await soak.lose_all()


async def start_staggered(soak: RestartSoak) -> None:
    """As before, and VMs start one after the other."""
    await soak.sleep_until(KILL_AT_S - 1.1)
    await soak.change_build()
    await soak.sleep_until(KILL_AT_S)
    await soak.lose_all(gap_s=0.5)


async def lose_twice(soak: RestartSoak) -> None:
    """All VMs are lost again just after their start."""
    await soak.sleep_until(KILL_AT_S - 1.1)
    await soak.change_build()
    await soak.sleep_until(KILL_AT_S)
    await soak.lose_all()
    await asyncio.sleep(0.6)
    await soak.lose_all()


async def change_while_down(soak: RestartSoak) -> None:
    """No VM lives while the new build takes the old one's place."""
    await soak.sleep_until(KILL_AT_S)
    await soak.kill_all()
    await soak.change_build()
    await soak.start_all()


async def refuse_appends(soak: RestartSoak) -> None:
    """The store takes no writes around the change."""
    await soak.sleep_until(KILL_AT_S - 1.3)
    soak.fixture.store.refuse_appends = 503
    await soak.change_build()
    await soak.sleep_until(KILL_AT_S)
    await soak.kill_all()
    soak.fixture.store.refuse_appends = 0
    await asyncio.sleep(DOWN_S)
    await soak.start_all()


async def read_late(soak: RestartSoak) -> None:
    """What VMs wrote arrives 2 s after the list of servers."""
    await soak.sleep_until(KILL_AT_S - 1.1)
    await soak.change_build()
    await soak.sleep_until(KILL_AT_S)
    await soak.kill_all()
    own = [t for t in soak.fixture.store.topics if t not in GIVEN_TOPICS]
    soak.fixture.store.delays_s = dict.fromkeys(own, 2.0)
    await asyncio.sleep(DOWN_S)
    await soak.start_all()


async def add_build(soak: RestartSoak) -> None:
    """Servers of a new build come, and VMs learn of them one after the other."""
    await soak.sleep_until(KILL_AT_S)
    soak.returned_at.append(soak.now)
    for _ in range(3):
        await soak.add_servers()
        await asyncio.sleep(2.0)


async def add_build_while_down(soak: RestartSoak) -> None:
    """Servers of a new build come beside those of the old one while no VM lives."""
    await soak.sleep_until(KILL_AT_S)
    await soak.kill_all()
    await soak.add_servers()
    await asyncio.sleep(DOWN_S)
    await soak.start_all()


async def add_build_after_loss(soak: RestartSoak) -> None:
    """They come just after all VMs but one are lost."""
    await soak.sleep_until(KILL_AT_S)
    await soak.kill_all(but=1)
    await asyncio.sleep(0.4)
    await soak.add_servers()
    await asyncio.sleep(DOWN_S)
    await soak.start_all()


async def wake_soon(soak: RestartSoak) -> None:
    """Half of the VMs are suspended for less than the age of an outdated list."""
    await soak.sleep_until(KILL_AT_S)
    for _ in range(3):
        pause = asyncio.ensure_future(soak.stop_some(0.5, 1.6))
        await asyncio.sleep(0.1)
        await soak.add_servers()
        await pause
        await asyncio.sleep(0.4)
        break
    soak.returned_at.append(soak.now)


async def keep_one(soak: RestartSoak) -> None:
    """One VM lives on."""
    await soak.sleep_until(KILL_AT_S - 1.1)
    await soak.change_build()
    await soak.sleep_until(KILL_AT_S)
    await soak.kill_all(but=1)
    await asyncio.sleep(DOWN_S)
    await soak.start_all()


async def suspend_half(soak: RestartSoak) -> None:
    """Half of the VMs are suspended while the build changes."""
    await soak.sleep_until(KILL_AT_S - 1.2)
    change = asyncio.ensure_future(soak.change_build())
    await soak.stop_some(0.5, 2.0)
    await change
    soak.returned_at.append(soak.now)


async def change_beside_late_view(soak: RestartSoak) -> None:
    """One VM reads the list of servers late while a new build comes, twice."""
    await soak.play_out_of_step(delays_s={"keyed.servers": 3.0})


async def change_beside_refused(soak: RestartSoak) -> None:
    """The store refuses one VM while a new build comes, twice."""
    await soak.play_out_of_step(refuse=503)


async def change_beside_silence(soak: RestartSoak) -> None:
    """The store gives one VM no answer while a new build comes, twice."""
    await soak.play_out_of_step(silent=True)


OUT_OF_STEP = {"one_late_view", "one_refused", "one_silent"}

GIVEN_TOPICS = {"keyed.op", "keyed.servers"}

FORMS = {
    "one_build": Form(lose_both_builds, goes_on=0.9),
    "both_builds": Form(lose_both_builds, builds=("v1", "v2"), goes_on=0.9),
    "both_builds_staggered": Form(
        lose_both_staggered, builds=("v1", "v2"), goes_on=0.9
    ),
    "both_builds_twice": Form(lose_both_twice, builds=("v1", "v2"), goes_on=0.9),
    "both_builds_one_left": Form(keep_one_of_both, builds=("v1", "v2"), goes_on=0.9),
    "after_change": Form(lose_after_change),
    "staggered": Form(start_staggered),
    "killed_twice": Form(lose_twice),
    "changed_while_down": Form(change_while_down),
    "appends_refused": Form(refuse_appends),
    "read_late": Form(read_late),
    "one_left": Form(keep_one),
    "new_build": Form(add_build, all_leave=True),
    "half_suspended": Form(suspend_half),
    "woken_soon": Form(wake_soon, all_leave=True),
    "one_late_view": Form(change_beside_late_view, all_leave=True),
    "one_refused": Form(change_beside_refused, all_leave=True),
    "one_silent": Form(change_beside_silence, all_leave=True),
    "added_while_down": Form(add_build_while_down, goes_on=0.9),
    "added_after_loss": Form(add_build_after_loss, goes_on=0.9),
}


def run_seed(seed: int, options: argparse.Namespace) -> list[str]:
    """Run one seed of a form, or of the form that the seed draws."""
    form = options.form or sorted(FORMS)[seed % len(FORMS)]
    soak = RestartSoak(seed, options.seconds, options.vms, form=form)
    return soak.run_and_show()


def main() -> int:
    """Run seeds and return the exit code."""
    parser = build_parser(__doc__, seconds=SECONDS, vms=6)
    parser.add_argument("--form", choices=sorted(FORMS), help="the form to play")
    return run_seeds(parser.parse_args(), run_seed)


if __name__ == "__main__":
    sys.exit(main())
