"""Few VMs read the shared log, and pass what they read on to the others.

Each call to the log has a price, and a large record is slow over a small link. In
a failure domain with many VMs the two strongest read the log; the others wait for
records at one of these, which sends only the newest of each key, compressed. An
answer that is too old, or none, sends a VM to the log itself for a while: a VM
never depends on another to learn what the log would tell it. All times are shares
of the bound within which a record must be known everywhere (:class:`RelayTimes`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ramppin.errors import LogUnavailableError
from ramppin.gateway.connection.fetch import Fetcher
from ramppin.gateway.process.membership.members import FleetMembers, Member
from ramppin.gateway.process.recovery.peerrecords import (
    RECORDS_TARGET,
    PeerQuestion,
    TableState,
    decode_answer,
    encode_question,
)
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.recovery.sources import RecordBatch, RecordSource
from ramppin.ranking import hash_name, mix

MIN_VMS = 5
"""VMs of a failure domain from which on relays are used."""

RELAYS = 2
AVOID_S = 5.0
"""Time for which the log is read directly after a relay failed."""

RELAY_AGE_SHARE = 0.4
MAX_AGE_SHARE = 0.5
CALL_TIMEOUT_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class RelayTimes:
    """How old records may grow on their way through a relay, in seconds.

    A relay that loses the log right after a read is found out when its knowledge
    is ``max_age_s`` old, one that hangs ``call_timeout_s`` after that. Both
    together leave the rest of the bound for a read of the log itself.

    Attributes:
        relay_age_s: age that a relay lets its own knowledge reach.
        max_age_s: age past which a relay's knowledge is not taken.
        call_timeout_s: time that an answer may take beyond the wait asked for.

    .. versionadded:: 0.2
    """

    relay_age_s: float
    max_age_s: float
    call_timeout_s: float

    @classmethod
    def from_bound(cls, bound_s: float) -> RelayTimes:
        """Return the times for records that must be known within a bound."""
        return cls(
            relay_age_s=RELAY_AGE_SHARE * bound_s,
            max_age_s=MAX_AGE_SHARE * bound_s,
            call_timeout_s=CALL_TIMEOUT_SHARE * bound_s,
        )

    def choose_relay_wait(self, pace_s: float, wait_s: float) -> float:
        """Return how long a relay's own read may wait at the end of the log.

        What a read brings is as old as its wait when it ends, and stays the newest
        through the pause and the wait of the next one.

        Args:
            pace_s: the pause between two reads.
            wait_s: the wait of a VM that reads for itself alone.
        """
        return min(wait_s, max(0.0, (self.relay_age_s - pace_s) / 2))

    def choose_wait(self, age_s: float, wait_s: float) -> float:
        """Return how long a question to a relay may wait for news.

        Args:
            age_s: age of what the asking VM knows.
            wait_s: the wait of a VM that reads the log itself.
        """
        return min(wait_s, max(0.0, self.max_age_s - age_s))


def choose_relays(own: Member, live_near: list[Member]) -> list[Member]:
    """Return the VMs of the own failure domain that read the log for the others.

    Args:
        own: this VM.
        live_near: the other live VMs of its failure domain.

    Returns:
        The relays, or an empty list where every VM reads for itself.
    """
    near = [own, *live_near]
    if len(near) < MIN_VMS:
        return []
    key = hash_name(f"relay of {own.failure_domain}")
    near.sort(key=lambda vm: (-vm.capacity_weight, mix(key, hash_name(vm.vm))))
    return near[:RELAYS]


class RelayedSource(RecordSource):
    """A table that is read through relays where there are any.

    Args:
        name: the table's name.
        vm: this VM's name.
        direct: the table in the shared log.
        port: the port on which relays answer.
        list_relays: returns the relays of this VM.
        times: how old records may grow on their way.
        pace_s: the reader's pause between two reads of the log.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        name: str,
        vm: str,
        direct: RecordSource,
        port: int,
        list_relays: Callable[[], list[Member]],
        *,
        times: RelayTimes,
        pace_s: float = 0.0,
    ) -> None:
        self._name = name
        self._vm = vm
        self._direct = direct
        self._port = port
        self._list_relays = list_relays
        self._times = times
        self._pace_s = pace_s
        self._known_at = float("-inf")
        self._avoid_until = float("-inf")
        self._fetcher: Fetcher | None = None
        self._fetcher_vm = ""

    async def read_newest(self, *, timeout_s: float) -> RecordBatch:
        """Return the newest record of each key, from the log itself."""
        return await self._direct.read_newest(timeout_s=timeout_s)

    async def read_after(self, position: int, *, wait_s: float) -> RecordBatch:
        """Return what follows a position, from a relay if there is one."""
        relays = self._list_relays()
        if any(relay.vm == self._vm for relay in relays):
            wait_s = self._times.choose_relay_wait(self._pace_s, wait_s)
            return await self._direct.read_after(position, wait_s=wait_s)
        now = asyncio.get_running_loop().time()
        if not relays or now < self._avoid_until:
            return await self._direct.read_after(position, wait_s=wait_s)
        relay = relays[hash_name(self._vm) % len(relays)]
        try:
            return await self._ask(relay, position, wait_s)
        except LogUnavailableError:
            self._avoid_until = now + AVOID_S
            return await self._direct.read_after(position, wait_s=0.0)

    async def _ask(self, relay: Member, position: int, wait_s: float) -> RecordBatch:
        loop = asyncio.get_running_loop()
        fetcher = self._open(relay)
        asked_at = loop.time()
        wait_s = self._times.choose_wait(asked_at - self._known_at, wait_s)
        question = PeerQuestion(self._vm, {self._name: position}, int(wait_s * 1000))
        answer = await fetcher.post(
            RECORDS_TARGET,
            encode_question(question),
            timeout_s=wait_s + self._times.call_timeout_s,
        )
        state = decode_answer(answer.body, relay.host).tables.get(self._name)
        self._check(state, position, relay)
        assert state is not None
        age_s = state.age_ms / 1000
        # The answer may have been built at any time since the question left.
        self._known_at = asked_at - age_s
        records = tuple(Record(r.key, r.value, r.offset) for r in state.records)
        return RecordBatch(records, state.position, age_s, relayed=True)

    def _check(self, state: TableState | None, position: int, relay: Member) -> None:
        if state is None or state.position < position:
            problem = "the relay is behind"
        elif state.age_ms / 1000 > self._times.max_age_s:
            problem = f"the relay's knowledge is {state.age_ms / 1000:.1f} s old"
        else:
            return
        raise LogUnavailableError(problem, step="relay", peer=relay.vm)

    def _open(self, relay: Member) -> Fetcher:
        if self._fetcher is None or self._fetcher_vm != relay.vm:
            if self._fetcher is not None:
                self._fetcher.close()
            self._fetcher = Fetcher(relay.host, self._port, relay.vm)
            self._fetcher_vm = relay.vm
        return self._fetcher


class RelayChoice:
    """The relays of this VM, as its list of members tells.

    Args:
        own: this VM.
        members: the other VMs.

    .. versionadded:: 0.2
    """

    def __init__(self, own: Member, members: FleetMembers) -> None:
        self._own = own
        self._members = members

    def list_relays(self) -> list[Member]:
        """Return the relays now."""
        now = asyncio.get_running_loop().time()
        return choose_relays(self._own, self._members.list_live_near(now))
