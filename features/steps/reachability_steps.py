"""Steps: whether a VM's own paths to the servers work, without I/O."""

from __future__ import annotations

import random

from behave import then, when

from ramppin.gateway.process.membership.health import Outcome
from ramppin.gateway.process.routing.directory import ServerDirectory
from ramppin.gateway.process.routing.reachability import PathStatus, Reachability
from ramppin.gateway.process.routing.serverstate import BackendServer

STEP_S = 0.05
OLD = -10.0
"""When connections were opened that outlive a cut."""

LATE_S = 2.0
"""Age of a report that arrives late."""

SERVICE, OTHER = "model", "other"
SERVERS = 9
DOMAINS = "abc"
CONNECT_TIMEOUT_S = 0.35


class Observer:
    """A VM's reachability, and the events that it observes."""

    def __init__(self, names: list[str]) -> None:
        self.directory = ServerDirectory()
        self.reachability = Reachability(self.directory)
        for name in names:
            self.add(name)
        self.directory.put(BackendServer("x1", OTHER, "127.0.0.1", 1, "a"))
        self.now = 0.0

    def add(self, name: str, started_ms: int = 1) -> None:
        self.directory.put(
            BackendServer(name, SERVICE, "127.0.0.1", 1, name[0], started_ms=started_ms)
        )

    def observe(self, kind: str, name: str) -> None:
        self.now += STEP_S
        reachability, now = self.reachability, self.now
        state = self.directory.find_newest(name)
        if kind == "f":
            state.health.note_outcome(Outcome.UNREACHABLE, now)
            reachability.note_failed(state, now)
        elif kind in "uv":
            opened_at = now - STEP_S / 2 if kind == "u" else OLD
            reachability.note_failed(state, now, opened_at)
        elif kind in "pq":
            at = now if kind == "p" else now - LATE_S
            reachability.note_peer_reached(state.id, at, now)
        elif kind == "k":
            reachability.note_probe(state, now)
        else:
            opened_at = now if kind == "n" else OLD
            reachability.note_answered(state, opened_at, now)


def observe_all(context, events: str) -> None:
    for event in events.split():
        context.observer.observe(*event.split(":"))


@when('a VM before servers {names} observes "{events}"')
def step_observe(context, names, events):
    context.observer = Observer(names.split())
    observe_all(context, events)


@when('{gap:d} s later it observes "{events}"')
def step_observe_later(context, gap, events):
    context.observer.now += gap
    observe_all(context, events)


@then("its path is {status}")
def step_status(context, status):
    found = context.observer.reachability.find_status(SERVICE)
    assert found is PathStatus(status), found


@then("its probes send data: {data}")
def step_probes_send_data(context, data):
    observer = context.observer
    found = observer.reachability.requires_data(SERVICE, observer.now)
    assert found == (data == "yes"), found


@then("none of its servers is suspect")
def step_none_suspect(context):
    observer = context.observer
    assert not [s for s in observer.directory if s.health.is_suspect(observer.now)]


@then("its server {name} is suspect")
def step_suspect(context, name):
    observer = context.observer
    assert observer.directory.find_newest(name).health.is_suspect(observer.now)


@then('it announces that it does not reach "{services}"')
def step_announced(context, services):
    found = context.observer.reachability.list_avoided()
    assert sorted(found) == services.split(), found


@then('it avoids the service "{service}" until a server of it answers')
def step_other(context, service):
    reachability = context.observer.reachability
    assert reachability.avoids(service)
    context.observer.observe("o", "x1")
    assert not reachability.avoids(service)


class RandomRun:
    """Requests of a VM while servers crash, return, and answer other VMs.

    Args:
        generator: draws the run.
        is_cut: whether the VM loses its path; nothing else happens then.
    """

    def __init__(self, generator: random.Random, *, is_cut: bool) -> None:
        self.random = generator
        names = [f"{DOMAINS[n % len(DOMAINS)]}{n}" for n in range(SERVERS)]
        self.observer = Observer(names)
        self.is_cut = is_cut
        self.back_at = dict.fromkeys(names, 0.0)
        self.starts = dict.fromkeys(names, 1)
        self.first_failed_at: float | None = None

    def crash(self) -> None:
        """Let some servers end; each is back under its id after a while."""
        names = list(self.back_at)
        domain = self.random.choice(DOMAINS)
        chosen = self.random.choice(
            (
                self.random.sample(names, self.random.randint(1, SERVERS)),
                [name for name in names if name[0] == domain],
            )
        )
        for name in chosen:
            if self.back_at[name] <= self.observer.now:
                self.back_at[name] = self.observer.now + self.random.uniform(0.5, 4)
                self.starts[name] += 1

    def ask(self) -> None:
        """Make attempts of one request until a server answers."""
        observer = self.observer
        for name in self.random.sample(list(self.back_at), 4):
            failed = observer.reachability.list_failed(SERVICE)
            state = observer.directory.find_newest(name)
            if observer.reachability.avoids(SERVICE) and state.id in failed:
                continue
            if self.is_cut or self.back_at[name] > observer.now:
                observer.now += CONNECT_TIMEOUT_S - STEP_S if self.is_cut else 0
                observer.observe("f", name)
                self.first_failed_at = self.first_failed_at or observer.now
                if self.is_cut:
                    self.probe()
                if self.is_cut and observer.reachability.avoids(SERVICE):
                    return
                continue
            self.announce(name)
            observer.observe(self.random.choice("no"), name)
            return

    def announce(self, name: str) -> None:
        """Let a server that is back be known by its new start."""
        if self.observer.directory.find_newest(name).server.started_ms is not None:
            self.observer.add(name, self.starts[name])

    def probe(self) -> None:
        """Fail the probes that are due beside an attempt."""
        now = self.observer.now
        due = self.observer.reachability.list_to_probe(now).get(SERVICE, [])
        for state in due[:2]:
            self.observer.reachability.note_failed(state, now)

    def answer_peers(self) -> None:
        """Let servers that run answer other VMs."""
        for name, back_at in self.back_at.items():
            if back_at <= self.observer.now and self.random.random() < 0.5:
                self.announce(name)
                server_id = self.observer.directory.find_newest(name).id
                now = self.observer.now
                self.observer.reachability.note_peer_reached(server_id, now, now)

    def play_without_cut(self) -> bool:
        """Return whether the path was ever lost."""
        for _ in range(self.random.randint(5, 40)):
            self.observer.now += self.random.expovariate(5.0)
            if self.random.random() < 0.15:
                self.crash()
            self.ask()
            self.answer_peers()
            if self.observer.reachability.find_status(SERVICE) is PathStatus.LOST:
                return True
        return False


@then("in {runs:d} random runs without a cut the path is never lost")
def step_runs(context, runs):
    seeds = range(runs)
    lost = [
        seed
        for seed in seeds
        if RandomRun(random.Random(seed), is_cut=False).play_without_cut()
    ]
    assert not lost, (len(lost), lost[:5])


@then("in {runs:d} random runs with a cut the path is avoided within {within:d} s")
def step_cuts(context, runs, within):
    for seed in range(runs):
        run = RandomRun(random.Random(seed), is_cut=True)
        while not run.observer.reachability.avoids(SERVICE):
            run.observer.now += 1.0
            run.ask()
        took_s = run.observer.now - run.first_failed_at
        assert took_s <= within, (seed, took_s)
