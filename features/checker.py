"""Checks histories of concurrent runs for the points that must always hold.

A history is a list of events with times of one clock: what callers got
(``answer``), what backend servers truly ran (``start``, ``end``), and what the
harness did. Each check returns the violations that it found.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

Event = dict[str, Any]


@dataclass(frozen=True)
class Violation:
    """One breach of a promise."""

    promise: str
    what: str
    event: Event


def check_bound(
    events: Iterable[Event],
    pools: dict[str, list[str]],
    bounds: dict[str, float],
    *,
    settle_s: float = 6.0,
    window_s: float = 0.25,
) -> tuple[int, list[Violation]]:
    """Check each start against the bound, by what the servers truly held.

    A place counts from its grant, before its request is on a server, and until
    its end is told: nobody can know all loads at one instant. The mean is that
    of some moment within ``window_s`` of the start; 0 for the instant itself.

    A server that was killed, frozen, leaving, or that failed on order may or
    may not be a member in the fleet's eyes, until ``settle_s`` after its
    return; the mean is then taken over whichever members are kinder.

    Returns:
        How many starts were checked, and the violations.
    """
    pool_of = {server: pool for pool, servers in pools.items() for server in servers}
    running: dict[str, int] = defaultdict(int)
    doubtful: dict[str, float] = {}
    caps: dict[str, list[tuple[float, int]]] = defaultdict(list)
    starts: list[tuple[Event, int, list[int]]] = []
    for event in sorted(events, key=lambda e: e["t"]):
        server = event.get("server") or event["source"]
        if server not in pool_of:
            continue
        _note_doubt(event, server, doubtful, settle_s)
        if event["event"] == "killed":
            running[server] = 0
        elif event["event"] in ("start", "end"):
            running[server] += 1 if event["event"] == "start" else -1
        pool = pool_of[server]
        sure = {s for s in pools[pool] if doubtful.get(s, 0) <= event["t"]}
        cap = max(
            _compute_cap(bounds[pool], running, sure | {server}),
            _compute_cap(bounds[pool], running, set(pools[pool])),
        )
        caps[pool].append((event["t"], cap))
        if event["event"] == "start":
            loads = [running[s] for s in pools[pool]]
            starts.append((event, cap, loads))
    found = []
    for event, cap, loads in starts:
        server, pool = event["source"], pool_of[event["source"]]
        limit = max(cap, _find_cap(caps[pool], event["t"], window_s))
        held = loads[pools[pool].index(server)]
        if held > limit:
            what = f"{server} held {held} of at most {limit}: {loads}"
            found.append(Violation("bound", what, event))
    return len(starts), found


def _find_cap(caps: list[tuple[float, int]], moment: float, window_s: float) -> int:
    """Return the highest cap that was in force within a window of a moment."""
    if not window_s:
        return 0
    # What held when the window began was set by the event before it.
    begin = max(0, bisect_left(caps, (moment - window_s, 0)) - 1)
    end = bisect_left(caps, (moment + window_s, 0))
    return max(cap for _, cap in caps[begin:end])


def _note_doubt(
    event: Event, server: str, doubtful: dict[str, float], settle_s: float
) -> None:
    leaving = event.get("state") == "leaving"
    if leaving or event["event"] in ("killed", "frozen", "fault", "dropped"):
        doubtful[server] = math.inf
    elif event["event"] in ("thawed", "listed", "mended") and server in doubtful:
        doubtful[server] = event["t"] + settle_s


def _compute_cap(bound: float, running: dict[str, int], members: set[str]) -> int:
    total = sum(running[server] for server in members)
    return max(1, math.ceil(bound * total / len(members)))


def check_whole(events: Iterable[Event]) -> tuple[int, list[Violation]]:
    """Check that whoever got an answer got the whole of it, and its own."""
    checked, found = 0, []
    for event in events:
        if event["event"] != "answer" or event["status"] != 200:
            continue
        checked += 1
        if event["whole"] and event["got"] != event["wanted"]:
            found.append(Violation("whole", "another answer, ended as whole", event))
        elif not event["wanted"].startswith(event["got"]):
            found.append(Violation("whole", "parts of another answer", event))
    return checked, found


def check_not_run(events: Iterable[Event]) -> tuple[int, list[Violation]]:
    """Check that what was called not-run was in fact not run."""
    events = list(events)
    started = {
        event["request"].rsplit(".", 1)[0]: event
        for event in events
        if event["event"] == "start"
    }
    checked, found = 0, []
    for event in events:
        if event["event"] == "answer" and event["outcome"] == "not-run":
            checked += 1
            if event["request"] in started:
                found.append(Violation("not-run", "it ran", event))
            key = event.get("key")
            if key and not event.get("repeated") and _runs(events, key):
                found.append(Violation("not-run", "its key ran", event))
    return checked, found


def check_once(events: Iterable[Event]) -> tuple[int, list[Violation]]:
    """Check that each key ran at most once, and had one answer."""
    runs: dict[str, int] = defaultdict(int)
    answers: dict[str, set[str]] = defaultdict(set)
    found = []
    for event in events:
        key = event.get("key")
        if not key:
            continue
        if event["event"] == "start":
            runs[key] += 1
            if runs[key] > 1:
                found.append(Violation("once", f"{key} ran {runs[key]} times", event))
        if event["event"] == "answer" and event["status"] == 200:
            answers[key].add(event["got"])
            if len(answers[key]) > 1:
                found.append(Violation("once", f"{key} had two answers", event))
    return len(runs), found


def check_leaving(
    events: Iterable[Event], *, allowed_s: float
) -> tuple[int, list[Violation]]:
    """Check that a leaving server starts nothing after ``allowed_s``."""
    left: dict[str, float] = {}
    checked, found = 0, []
    for event in sorted(events, key=lambda e: e["t"]):
        if event["event"] == "listed" and event["state"] == "leaving":
            left.setdefault(event["server"], event["t"])
            checked += 1
        elif event["event"] == "listed":
            left.pop(event["server"], None)
        elif event["event"] == "start" and event["source"] in left:
            late = event["t"] - left[event["source"]]
            if late > allowed_s:
                found.append(Violation("leaving", f"started {late:.2f} s late", event))
    return checked, found


def check_stop(events: Iterable[Event]) -> tuple[int, list[Violation]]:
    """Check that each request was answered whole: none cut, none refused.

    For runs in which nothing but planned stops happened.
    """
    checked, found = 0, []
    for event in events:
        if event["event"] == "answer":
            checked += 1
            if event["status"] != 200 or not event["whole"]:
                found.append(Violation("stop", "cut or refused", event))
    return checked, found


def check_settings(
    events: Iterable[Event], *, allowed_s: float = 8.0
) -> tuple[int, list[Violation]]:
    """Check that versions come into force in time, never back, and in order.

    ``version`` events are readings of a VM's version; ``accepted`` and
    ``refused`` are what operators were told, with the change's nonce;
    ``record`` is the log's own truth of each change.
    """
    events = sorted(events, key=lambda e: e["t"])
    seen: dict[str, int] = {}
    accepted: list[tuple[float, int]] = []
    checked, found = 0, []
    for event in events:
        if event["event"] == "accepted":
            accepted.append((event["t"], event["version"]))
        elif event["event"] == "version":
            checked += 1
            reader = event["reader"]
            if event["version"] < seen.get(reader, -1):
                found.append(Violation("settings", f"{reader} went back", event))
            seen[reader] = max(event["version"], seen.get(reader, -1))
            late = [v for t, v in accepted if t + allowed_s < event["t"]]
            if late and event["version"] < max(late):
                found.append(Violation("settings", f"{reader} is late", event))
    found += _check_verdicts(events)
    return checked, found


def _check_verdicts(events: list[Event]) -> list[Violation]:
    truth = {e["nonce"]: e["took_effect"] for e in events if e["event"] == "record"}
    found = []
    for event in events:
        if event["event"] in ("accepted", "refused"):
            told = event["event"] == "accepted"
            if truth.get(event["nonce"], False) != told:
                found.append(Violation("settings", "operator told wrongly", event))
    return found


def _runs(events: list[Event], key: str) -> int:
    return sum(1 for e in events if e["event"] == "start" and e.get("key") == key)
