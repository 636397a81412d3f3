"""Decides at which build a stream that broke off may go on.

Combines the origins that this VM stores, the builds that each service has had, and the
answers of an origin's keepers. A stream of unknown origin goes on only where it is
certain that its service has had one build for as long as the stream may be old, or that
no stream has begun at another one.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from enum import StrEnum

from ramppin.gateway.connection.datagrams import OriginHint
from ramppin.gateway.process.routing.buildhistory import (
    MAX_VIEW_AGE_S,
    BuildHistory,
)
from ramppin.gateway.process.routing.originrecords import (
    MAX_RECORDED_AGE_S,
    OriginRecords,
)
from ramppin.gateway.process.routing.streamkeepers import Parcel, StreamKeepers
from ramppin.gateway.process.routing.streamorigins import (
    StreamOrigin,
    StreamOrigins,
)

ASK_TIMEOUT_S = 0.04
"""Seconds to wait for answers: several round trips between failure domains."""

ASK_TWICE_S = 0.015
"""Seconds after which the VMs that have not answered are queried once more: datagrams
get lost."""

PAST_WAIT_S = 0.5
"""Seconds to wait until the builds of the time before this VM's start are known, and
the other VMs: a few answers of the log. After it the request is refused."""

VIEW_WAIT_S = 0.3
"""Seconds to wait for a current list of servers. After a suspension it is read at once;
if the log is down, no VM learns of another build."""

MAX_EVIDENCE_AGE_S = 5.0
"""Age in seconds of the list of servers up to which an open server shows that a build
has served without a break: longer than VMs need to replace a lost relay."""

WAIT_STEP_S = 0.01
"""Seconds between two checks for what a stream waits for."""


class Ground(StrEnum):
    """Why a stream may go on, or may not."""

    NEW = "new"
    KNOWN_HERE = "known here"
    KNOWN_ELSEWHERE = "known elsewhere"
    CONFLICT = "several origins"
    ONE_BUILD = "one build"
    SEVERAL_BUILDS = "several builds"
    PAST_UNKNOWN = "past unknown"
    RECORDED = "recorded"
    RECORDED_BUILD = "one recorded build"
    LOST = "lost"
    UNANSWERED = "unanswered"


@dataclass(frozen=True, slots=True)
class Continuation:
    """At which servers a stream may go on.

    Attributes:
        is_allowed: whether it may go on at all.
        origin: where it began; None for a new stream, and one that may not go on.
        ground: why.
        asked: number of VMs that were queried for its origin.
    """

    is_allowed: bool
    origin: StreamOrigin | None = None
    ground: Ground = Ground.NEW
    asked: int = 0


@dataclass(frozen=True, slots=True)
class Answer:
    """What the keepers of a stream answered.

    Attributes:
        origin: where it began; None if none of them stores that.
        is_complete: whether all answered, or one knew the origin.
    """

    origin: StreamOrigin | None = None
    is_complete: bool = False


async def find_no_build(service: str) -> str | None:
    """Return None: nothing is recorded."""
    return None


BEGINS = Continuation(is_allowed=True)
NOWHERE = Continuation(is_allowed=False, ground=Ground.CONFLICT)


@dataclass(slots=True)
class StreamContinuity:
    """Origins of streams, and where streams may go on.

    Attributes:
        origins: the origins that this VM stores.
        history: the builds that each service has had.
        keepers: exchange of origins with other VMs; None while there are none.
        send_parcels: sends origins to other VMs.
        send_intended: sends where a stream will begin to the VM that records it.
        send_question: sends a query for a stream to other VMs: its key, its service,
            their addresses.
        note_server_ended: records, by id and event-loop time, that another VM found a
            server terminated.
        read_view: returns the event-loop time at which the list of servers was last
            known to be current.
        knows_members: returns whether the list of VMs has been read.
        records: the records of origins; None while there are none.
        find_recorded_build: returns the one build of a service that the records of
            builds contain and that servers have, from a read that began since; None if
            there is not one.

    .. versionadded:: 0.5
    """

    origins: StreamOrigins = field(default_factory=StreamOrigins)
    history: BuildHistory = field(default_factory=BuildHistory)
    keepers: StreamKeepers | None = None
    send_parcels: Callable[[list[Parcel]], None] = lambda parcels: None
    send_intended: Callable[[Parcel], None] = lambda parcel: None
    send_question: Callable[[int, str, list[str]], None] = lambda key, name, hosts: None
    note_server_ended: Callable[[str, float], None] = lambda server, at: None
    read_view: Callable[[], float] = lambda: math.inf
    knows_members: Callable[[], bool] = lambda: True
    records: OriginRecords | None = None
    find_recorded_build: Callable[[str], Awaitable[str | None]] = find_no_build

    async def wait_for_records(self, service: str) -> None:
        """Wait until it is known at which builds of a service streams begin.

        A stream that began at another build would be recorded there for that reason.
        """
        while self.history.is_unread(service, read_clock()):
            await asyncio.sleep(WAIT_STEP_S)

    def note_intended(self, key: int, origin: StreamOrigin, now: float) -> bool:
        """Record where a stream will begin if the attempt that is sent next succeeds.

        It is in the log by its first event then, which takes longer than a write.

        Returns:
            Whether it is recorded.
        """
        if self.records is None or not self.knows_members():
            return False
        if not self.history.may_be_mixed(origin.service, now):
            return False
        recorder = self.records.find_recorder(key, now)
        if recorder is None:
            return self.records.note(key, origin, now)
        hint = OriginHint(key, origin.service, origin.build)
        self.send_intended(Parcel(recorder.host, [hint]))
        return True

    def note_began(
        self, key: int, origin: StreamOrigin, now: float, *, is_recorded: bool = False
    ) -> None:
        """Record that a server sent a stream's first event.

        Args:
            key: the stream's key.
            origin: where it began.
            now: event-loop time.
            is_recorded: whether that was already recorded when it was intended.
        """
        self.origins.note(key, origin, now)
        if self.keepers is not None and self.history.may_be_mixed(origin.service, now):
            parcels = self.keepers.address(
                [(key, origin)], now, are_recorded=not is_recorded
            )
            self.send_parcels(parcels)

    def note_mixed(self, service: str, now: float) -> None:
        """Send the origins of streams that began before a second build to keepers."""
        if self.keepers is None:
            return
        recent = self.origins.list_of_service(service, now, MAX_RECORDED_AGE_S)
        earlier = self.origins.list_of_service(service, now)[len(recent) :]
        self.send_parcels(self.keepers.address(recent, now))
        self.send_parcels(self.keepers.address(earlier, now, are_recorded=False))

    async def find(self, key: int, service: str) -> Continuation:
        """Return where a stream may go on.

        Args:
            key: the stream's key.
            service: the service of the request that takes it up.
        """
        origin = self.origins.find(key, read_clock())
        if origin is not None:
            return build_continuation(origin, Ground.KNOWN_HERE)
        if not self.history.is_mixed(service, read_clock()):
            await wait_until(lambda: self._is_view_current(read_clock()), VIEW_WAIT_S)
        if not self.knows_members():
            await wait_until(self._is_past_known, PAST_WAIT_S)
        if self._is_past_known() and self._is_view_current(read_clock()):
            only = self._continue_at_only_build(key, service)
            if only is not None:
                return only
        return await self._ask_others(key, service)

    def may_confirm(self, now: float) -> bool:
        """Return whether this VM may state which only build a service has had.

        While its list of servers is outdated, another build may have come where a VM
        serves that this one does not see.
        """
        if self._is_view_current(now):
            return True
        if math.isinf(self.read_view()) or not self.knows_members():
            return False
        return self.keepers is None or self.keepers.sees_all(now)

    async def _ask_others(self, key: int, service: str) -> Continuation:
        """Return where a stream may go on by the answers of its keepers."""
        hosts: list[str] = []
        answer = Answer(is_complete=True)
        if self.keepers is not None:
            hosts = self.keepers.list_asked(key, read_clock())
            answer = await self._ask(key, service, hosts, self.keepers)
            if answer.origin is not None:
                return build_continuation(
                    answer.origin, Ground.KNOWN_ELSEWHERE, len(hosts)
                )
        if not self._has_evidence(service, hosts):
            await wait_until(self._is_past_known, PAST_WAIT_S)
        if self._has_evidence(service, hosts):
            only = self._continue_at_only_build(key, service, len(hosts))
            if only is not None:
                return only
        found = await self._read_records(key, service, len(hosts))
        if found.is_allowed or found.ground is Ground.CONFLICT:
            return found
        only = await self._continue_at_recorded_build(key, service, len(hosts))
        if only is not None:
            return only
        is_settled = self.history.is_settled(service, read_clock())
        if found.ground is Ground.LOST and not (answer.is_complete and is_settled):
            return replace(found, ground=Ground.UNANSWERED)
        return found

    def _has_evidence(self, service: str, hosts: list[str]) -> bool:
        """Return whether what this VM holds of a service's builds is all."""
        now = read_clock()
        if self.history.is_mixed(service, now):
            return True
        if self.history.is_confirmed(service, now):
            return self.may_confirm(now)
        if not self._is_past_known():
            return False
        return self._is_view_current(now) or (not hosts and self.may_confirm(now))

    async def _read_records(self, key: int, service: str, asked: int) -> Continuation:
        """Return where a stream may go on by the records of origins."""
        was_read = False
        if self.records is not None:
            origin, was_read = await self.records.find(key)
            if origin is not None:
                self.origins.note(key, origin, read_clock())
                return build_continuation(origin, Ground.RECORDED, asked)
        is_mixed = self.history.is_mixed(service, read_clock())
        ground = Ground.SEVERAL_BUILDS if is_mixed else Ground.PAST_UNKNOWN
        is_lost = was_read and self._is_past_known()
        return Continuation(False, None, Ground.LOST if is_lost else ground, asked)

    def _continue_at_only_build(
        self, key: int, service: str, asked: int = 0
    ) -> Continuation | None:
        """Let a stream go on at the one build that its service has had, or None."""
        now = read_clock()
        build = self.history.find_only_build(service, now)
        if build is None:
            return None
        origin = StreamOrigin(service, build)
        self.origins.note(key, origin, now)
        return build_continuation(origin, Ground.ONE_BUILD, asked)

    async def _continue_at_recorded_build(
        self, key: int, service: str, asked: int
    ) -> Continuation | None:
        """Let a stream go on at the one recorded build of its service, or None."""
        view_age_s = read_clock() - self.read_view()
        if not self._is_past_known() or view_age_s > MAX_EVIDENCE_AGE_S:
            return None
        build = await self.find_recorded_build(service)
        if build is None:
            return None
        now = read_clock()
        origin = StreamOrigin(service, build)
        # It may break off again once another build is recorded.
        self.note_began(key, origin, now)
        self.history.note_resumed(service, now)
        return build_continuation(origin, Ground.RECORDED_BUILD, asked)

    def _is_view_current(self, now: float) -> bool:
        return now - self.read_view() <= MAX_VIEW_AGE_S

    def _is_past_known(self) -> bool:
        self.history.note_view(self.read_view())
        return self.history.past_known.is_set() and self.knows_members()

    async def _ask(
        self, key: int, service: str, hosts: list[str], keepers: StreamKeepers
    ) -> Answer:
        """Return what other VMs store of a stream."""
        if not hosts:
            return Answer(is_complete=True)
        loop = asyncio.get_running_loop()
        found: asyncio.Future[StreamOrigin | None] = loop.create_future()
        silent = set(hosts)

        def note_answer(hint: OriginHint, host: str) -> None:
            silent.discard(host)
            if found.done():
                return
            if hint.service:
                found.set_result(StreamOrigin(hint.service, hint.build))
            elif not silent:
                found.set_result(None)

        def ask_again() -> None:
            self.send_question(key, service, sorted(silent))

        keepers.watch(key, note_answer)
        again = loop.call_later(ASK_TWICE_S, ask_again)
        try:
            self.send_question(key, service, hosts)
            await asyncio.wait([found], timeout=ASK_TIMEOUT_S)
            origin = found.result() if found.done() else None
            return Answer(origin, is_complete=found.done())
        finally:
            again.cancel()
            keepers.unwatch(key, note_answer)


def build_continuation(
    origin: StreamOrigin, ground: Ground, asked: int = 0
) -> Continuation:
    """Return that a stream goes on at its origin, unless it has several."""
    if origin.is_conflict:
        return Continuation(is_allowed=False, ground=Ground.CONFLICT, asked=asked)
    return Continuation(True, origin, ground, asked)


async def wait_until(is_met: Callable[[], bool], limit_s: float) -> None:
    """Return once a condition is met, or the time is over."""
    ends_at = read_clock() + limit_s
    while not is_met() and read_clock() < ends_at:
        await asyncio.sleep(WAIT_STEP_S)


def read_clock() -> float:
    """Return the event-loop time."""
    return asyncio.get_running_loop().time()
