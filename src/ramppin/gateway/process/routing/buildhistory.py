"""Which builds each service's servers have had lately, and whether that is all.

While all servers of a service have had one build, a stream may be continued at any of
them, and its origin is not needed. That one build was observed is no evidence that it
was the only one: a VM that has just started, or whose list of servers was outdated for
a while, has not observed the builds of that time. They are in the records that VMs
write (:mod:`~.buildrecords`); until these are read, the past is unknown. No I/O.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Collection, Iterable

from ramppin.gateway.process.routing.recordedservers import (
    RecordedServers,
    ServiceBuild,
)
from ramppin.gateway.process.routing.serverstate import ServerState
from ramppin.gateway.process.routing.streamorigins import RETENTION_S

REPORT_RETENTION_S = 5.0
"""Seconds for which a report of another VM counts: two heartbeats."""

CONFIRMATION_RETENTION_S = 1.0
"""Seconds for which another VM's statement that a service has had one build counts."""

SETTLING_S = 3.0
"""Seconds after which the origins of a service with several builds have been sent: all
VMs have read the new entry, or learned of it from another VM."""

MAX_VIEW_AGE_S = 1.9
"""Age in seconds above which the list of servers counts as outdated. Reads of it are
1.8 s apart."""

MAX_ABSENCE_S = 50.0
"""Seconds without a server of a build after which another VM may remove its record:
less than :data:`RETENTION_S`, since VMs read the list at different times."""

REMOVAL_SPREAD_S = 2.5
"""Seconds after which no other VM removes the record of a build that is back."""

NEW_BUILD_S = MAX_VIEW_AGE_S
"""Seconds in which a new build is not recorded, so that no stream begins there: other
VMs may not have read of it, and would let the stream go on anywhere."""

RESUMING_S = 2.0
"""Seconds after a stream went on at the only recorded build in which no other build is
recorded: callers of more such streams are likely to come."""

MAX_NEW_BUILD_S = 8.0
"""Longest time in seconds for which a build is left unrecorded for such callers: the
usual time limit of a stream."""

FIRST_READ_S = 1.0
"""Seconds after the first list of servers in which no build counts as new while the
records are not read."""

START_WAIT_S = 0.5
"""Seconds after the first list of servers in which streams may wait for the records."""

MAX_VIEW_GAP_S = 3.0
"""Seconds without a current list after which builds may have come and gone: longer than
one late answer, so that it does not make all VMs read the records again."""


class BuildHistory:
    """Builds of each service's servers over the last :data:`RETENTION_S`.

    Attributes:
        past_known: set while the builds of the time before this VM's start, and of the
            times at which its list of servers was outdated, are included.
        reads_due: number of times at which the past became unknown.
        servers: open servers, and those in the records.

    .. versionadded:: 0.5
    """

    def __init__(self) -> None:
        self._present_at: dict[str, dict[str, float]] = {}
        self._reported_until: dict[str, float] = {}
        self._confirmed_until: dict[str, float] = {}
        self._mixed_at: dict[str, float] = {}
        self._observed: set[ServiceBuild] = set()
        self._recorded: set[ServiceBuild] = set()
        self._expired: set[ServiceBuild] = set()
        self._listed_at: dict[ServiceBuild, float] = {}
        self._recheck_at: dict[ServiceBuild, float] = {}
        self._first_at: dict[ServiceBuild, float] = {}
        self._read_first_at: float | None = None
        self._begun: set[ServiceBuild] = set()
        self._wanted: set[ServiceBuild] = set()
        self._resumed_at: dict[str, float] = {}
        self._are_records_read = False
        self._began_at: float | None = None
        self._viewed_at: float | None = None
        self.past_known = asyncio.Event()
        self.reads_due = 1
        self.servers = RecordedServers()

    def note_servers(self, states: Iterable[ServerState], now: float) -> list[str]:
        """Record the builds of the known servers.

        Returns:
            Services that have servers of several builds since this call.
        """
        states = list(states)
        self._note_observing(now)
        self.servers.note_servers(states, now)
        present = {ServiceBuild(s.server.service, s.server.build) for s in states}
        self._note_returned(present, now)
        self._note_first(present, now)
        self._observed |= present
        self._expired -= present
        changed = self._note_present(sorted(present), now)
        self._expire(now)
        return changed

    def _note_returned(self, present: Collection[ServiceBuild], now: float) -> None:
        """Check the records later of builds that had no server for long.

        Until then they count as unrecorded: another VM may remove their record.
        """
        for pair in present:
            if now - self._find_listed_at(pair, now) > self._choose_absence_s(pair):
                self._recorded.discard(pair)
                self._recheck_at[pair] = now + REMOVAL_SPREAD_S
            self._listed_at[pair] = now
        due = {pair for pair, at in self._recheck_at.items() if now >= at}
        self._recorded -= due
        for pair in due:
            del self._recheck_at[pair]

    def _find_listed_at(self, pair: ServiceBuild, now: float) -> float:
        """Return when a build was last listed; at first, when there was no list."""
        first_at = now if self._read_first_at is None else self._read_first_at
        return self._listed_at.get(pair, first_at)

    def _choose_absence_s(self, pair: ServiceBuild) -> float:
        """Return after how long another VM may remove a build's record.

        One that was only ever read may have left at any time before.
        """
        is_only_read = pair not in self._listed_at and pair in self._recorded
        return REMOVAL_SPREAD_S if is_only_read else MAX_ABSENCE_S

    def _note_first(self, present: Collection[ServiceBuild], now: float) -> None:
        if present and self._read_first_at is None:
            self._read_first_at = now
        for pair in present:
            self._first_at.setdefault(pair, now)

    def list_new(self, service: str, now: float) -> frozenset[str]:
        """Return the builds at which no stream should begin yet.

        Those that are not recorded while another build of the service is. Where none
        is recorded, those that were first observed a moment ago.
        """
        builds = self._present_at.get(service, {})
        if len(builds) < 2:
            return frozenset()
        recorded = self._list_recorded(service)
        if not recorded:
            return frozenset(b for b in builds if self._is_recent(service, b, now))
        return frozenset(b for b in builds if b and b not in recorded)

    def _is_recent(self, service: str, build: str, now: float) -> bool:
        first_at = self._first_at.get(ServiceBuild(service, build), -math.inf)
        is_first = first_at <= (self._read_first_at or 0.0) + FIRST_READ_S
        return not is_first and now - first_at < NEW_BUILD_S

    def note_beginning(self, build: ServiceBuild) -> None:
        """Record that a stream is about to begin at a build.

        One that is not recorded must be as soon as possible then.
        """
        if build.build and build not in self._recorded:
            self._begun.add(build)

    def note_wanted(self, service: str, builds: Iterable[str]) -> None:
        """Record that streams should begin at builds as soon as these are recorded."""
        self._wanted.update(ServiceBuild(service, build) for build in builds)

    def note_resumed(self, service: str, now: float) -> None:
        """Record that a stream went on at the only recorded build of its service."""
        self._resumed_at[service] = now

    def is_unread(self, service: str, now: float) -> bool:
        """Return whether this VM is about to read at which builds streams begin."""
        if self._are_records_read or len(self._present_at.get(service, {})) < 2:
            return False
        return now - (self._read_first_at or now) < START_WAIT_S

    def list_begun(self) -> list[ServiceBuild]:
        """Return the builds at which streams of this VM began that are not recorded."""
        return sorted(self._begun & self._observed)

    def may_have_one_record(self, service: str) -> bool:
        """Return whether, by what this VM holds, one build at most is recorded.

        False as well if a stream of this VM began at a build that is not, or servers
        state none.
        """
        if "" in self._present_at.get(service, {}):
            return False
        begun = {pair.build for pair in self._begun if pair.service == service}
        return len(self._list_recorded(service) | begun) < 2

    def has_record(self, service: str) -> bool:
        """Return whether a build of a service is recorded."""
        return bool(self._list_recorded(service))

    def _list_recorded(self, service: str) -> set[str]:
        recorded = self._recorded - self._recheck_at.keys()
        return {pair.build for pair in recorded if pair.service == service}

    def _note_observing(self, now: float) -> None:
        """Make the past known after a time without a gap in the list of servers."""
        if self._viewed_at is None or now - self._viewed_at > MAX_VIEW_GAP_S:
            self._began_at = None
            return
        if self._began_at is None:
            self._began_at = now
        if now - self._began_at > RETENTION_S:
            self.past_known.set()

    def note_view(self, confirmed_at: float) -> None:
        """Record when the list of servers was last known to be current.

        Args:
            confirmed_at: event-loop time; -inf before the first read.
        """
        if math.isinf(confirmed_at):
            return
        viewed_at, self._viewed_at = self._viewed_at, confirmed_at
        if viewed_at is not None and confirmed_at - viewed_at > MAX_VIEW_GAP_S:
            self._began_at = None
            self._expired.clear()
            self.past_known.clear()
            self.reads_due += 1

    def note_recorded(
        self, recorded: Collection[ServiceBuild], now: float
    ) -> list[str]:
        """Record the builds that the records contain.

        Those that this VM has observed to expire are not taken up again.

        Returns:
            Services that have servers of several builds since this call.
        """
        self._are_records_read = True
        self._recorded = set(recorded)
        self._begun -= self._recorded
        self._wanted -= self._recorded
        self._expired &= self._recorded
        return self._note_present(sorted(self._recorded - self._expired), now)

    def note_written(self, build: ServiceBuild, servers: Iterable[str] = ()) -> None:
        """Record that the records contain a build now, with some of its servers."""
        self.servers.note_written(build, servers)
        self._recorded.add(build)
        self._begun.discard(build)
        self._wanted.discard(build)

    def list_unrecorded(self, now: float) -> list[ServiceBuild]:
        """Return the builds observed by this VM that must be recorded by now."""
        lacking = self._observed - self._recorded
        return sorted(p for p in lacking if p.build and self._is_record_due(p, now))

    def _is_record_due(self, pair: ServiceBuild, now: float) -> bool:
        """Return whether a build must be recorded.

        At once if streams begin there. Otherwise it may wait, and no stream begins
        there meanwhile: streams of unknown origin began at the recorded build.
        """
        if pair in self._begun or not self._list_recorded(pair.service):
            return True
        if pair in self._recheck_at:
            return False
        if pair in self._wanted:
            return True
        first_at = self._first_at.get(pair, now)
        resumed_at = self._resumed_at.get(pair.service, float("-inf"))
        resuming_end = min(resumed_at + RESUMING_S, first_at + MAX_NEW_BUILD_S)
        return now >= max(first_at + NEW_BUILD_S, resuming_end)

    def list_expired(self, now: float) -> list[ServiceBuild]:
        """Return the builds that the records contain although they have expired.

        None while the list of servers is outdated: they may be back.
        """
        if self._viewed_at is None or now - self._viewed_at > MAX_VIEW_AGE_S:
            return []
        return sorted(self._expired)

    def list_evidence(self, pair: ServiceBuild, now: float) -> list[str]:
        """Return the servers that the record of a build should contain anew, if any.

        While its service certainly has had one build, any open server will do.
        """
        if self.find_only_build(pair.service, now) == pair.build:
            is_due, servers = self.servers.names_few(pair), self.servers.list_open(pair)
        else:
            is_due = not self.servers.is_unbroken(pair)
            servers = self.servers.list_lasting(pair, now)
        return servers if is_due else []

    def list_outdated(self, now: float) -> list[ServiceBuild]:
        """Return the builds whose records contain too few open servers."""
        recorded = self.servers.list_recorded()
        return [pair for pair in recorded if self.list_evidence(pair, now)]

    def note_removing(self, build: ServiceBuild) -> None:
        """Record that the records may not contain a build any more."""
        self._recorded.discard(build)

    def note_removed(self, build: ServiceBuild) -> None:
        """Record that the records do not contain a build any more."""
        self._recorded.discard(build)
        self._expired.discard(build)

    def is_new(self, service: str, build: str) -> bool:
        """Return whether a service had no open server of a build at the last look."""
        return not self.servers.list_open(ServiceBuild(service, build))

    def note_mixed(
        self, services: Collection[str], now: float, lasts_s: float = REPORT_RETENTION_S
    ) -> None:
        """Record that another VM reports services of several builds.

        Args:
            services: names of the services.
            now: event-loop time.
            lasts_s: seconds for which the report counts.
        """
        for service in services:
            if not self.is_mixed(service, now):
                self._mixed_at[service] = now
            until = max(self._reported_until.get(service, now), now + lasts_s)
            self._reported_until[service] = until

    def note_confirmed(self, confirmed: Iterable[ServiceBuild], now: float) -> None:
        """Record the only builds of services, from a VM whose history is complete."""
        for pair in confirmed:
            self._note_present([pair], now)
            self._confirmed_until[pair.service] = now + CONFIRMATION_RETENTION_S

    def is_confirmed(self, service: str, now: float) -> bool:
        """Return whether a VM whose history is complete reports one build of it."""
        return self._confirmed_until.get(service, float("-inf")) > now

    def is_mixed(self, service: str, now: float) -> bool:
        """Return whether a service has, or lately had, servers of several builds."""
        if len(self._present_at.get(service, ())) > 1:
            return True
        return self.is_reported(service, now)

    def is_reported(self, service: str, now: float) -> bool:
        """Return whether another VM reports several builds of a service."""
        return self._reported_until.get(service, float("-inf")) > now

    def is_settled(self, service: str, now: float) -> bool:
        """Return whether it has been known for a while that a service is mixed."""
        return now - self._mixed_at.get(service, now) > SETTLING_S

    def may_be_mixed(self, service: str, now: float) -> bool:
        """Return whether it is mixed, or not known not to be."""
        return self.is_mixed(service, now) or not self._is_past_known(service, now)

    def find_only_build(self, service: str, now: float) -> str | None:
        """Return the one build that a service has had; None if that is not certain."""
        if self.may_be_mixed(service, now):
            return None
        return next(iter(self._present_at.get(service, ())), None)

    def list_builds(self, service: str) -> list[str]:
        """Return the builds of a service that this VM holds."""
        return sorted(self._present_at.get(service, ()))

    def list_mixed(self) -> list[str]:
        """Return the services of which this VM itself holds several builds."""
        return sorted(s for s, builds in self._present_at.items() if len(builds) > 1)

    def list_only_builds(
        self, services: Collection[str], now: float
    ) -> list[ServiceBuild]:
        """Return those of some services that certainly had one build, with it.

        What other VMs confirmed is not passed on.
        """
        if not self.past_known.is_set():
            return []
        found = [(name, self.find_only_build(name, now)) for name in services]
        return [ServiceBuild(name, build) for name, build in found if build is not None]

    def _is_past_known(self, service: str, now: float) -> bool:
        if self.past_known.is_set() or not any(self._present_at.get(service, ())):
            # Where no entry states a build, there is nothing to distinguish.
            return True
        return self.is_confirmed(service, now)

    def _note_present(self, pairs: Iterable[ServiceBuild], now: float) -> list[str]:
        changed = []
        for service, build in pairs:
            builds = self._present_at.setdefault(service, {})
            if builds and build not in builds:
                changed.append(service)
                self._mixed_at.setdefault(service, now)
            builds[build] = now
        return changed

    def _expire(self, now: float) -> None:
        for service, builds in self._present_at.items():
            expired = [b for b, at in builds.items() if now - at > RETENTION_S]
            for build in expired:
                del builds[build]
                self._note_expired(ServiceBuild(service, build))
            if not self.is_mixed(service, now):
                self._mixed_at.pop(service, None)

    def _note_expired(self, pair: ServiceBuild) -> None:
        self._observed.discard(pair)
        self._first_at.pop(pair, None)
        self._begun.discard(pair)
        self._wanted.discard(pair)
        if pair in self._recorded:
            self._expired.add(pair)
