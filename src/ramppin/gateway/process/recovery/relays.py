"""Reads a table of the shared log through a relay, if the fleet has any.

The rules that select relays and limit the age of their answers are in
:mod:`~.relayrules`. A relay sends only the newest record of each key, compressed. If
an answer is rejected or missing, the VM avoids that relay for a while, tries another
one and then reads the log directly: no VM depends on another VM for its records.
While its direct calls fail, it keeps using its relay.

Holds the connection to the relay and the time until which each failed relay is avoided.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from ramppin.errors import LogUnavailableError
from ramppin.gateway.connection.fetch import Fetcher
from ramppin.gateway.process.membership.members import FleetMembers, Member
from ramppin.gateway.process.recovery.logmonitor import LogMonitor
from ramppin.gateway.process.recovery.peermessages import (
    RECORDS_TARGET,
    PeerRequest,
    TableState,
    decode_answer,
    encode_peer_request,
)
from ramppin.gateway.process.recovery.relayrules import (
    AVOID_S,
    RelayTimes,
    choose_own_relay,
    choose_relays,
)
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.recovery.sources import RecordBatch, RecordSource

LOG_PAUSE_S = 3.0
"""Seconds after a failed direct call for which a VM leaves the log to its relays, even
if they have lost it too. Refused calls are priced as well, and during an outage every
VM would otherwise make two or three a second."""

LOG = logging.getLogger(__name__)


class RelayedSource(RecordSource):
    """A table that is read through a relay if there is one, else from the log.

    Args:
        name: the table's name.
        own: this VM.
        direct: the table in the shared log.
        port: the port on which relays answer.
        list_relays: returns the relays of the fleet.
        monitor: outcomes of this VM's direct calls to the log.
        times: limits on the age of records from relays.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        name: str,
        own: Member,
        direct: RecordSource,
        port: int,
        list_relays: Callable[[], list[Member]],
        monitor: LogMonitor,
        *,
        times: RelayTimes,
    ) -> None:
        self._name = name
        self._own = own
        self._direct = direct
        self._port = port
        self._list_relays = list_relays
        self._monitor = monitor
        self._times = times
        self._known_at = float("-inf")
        self._after_stale_update = False
        self._avoid_until: dict[str, float] = {}
        self._fetcher: Fetcher | None = None
        self._fetcher_vm = ""

    async def read_newest(self, *, timeout_s: float) -> RecordBatch:
        """Return the newest record of each key, read directly from the log."""
        return await self._direct.read_newest(timeout_s=timeout_s)

    async def read_after(self, position: int, *, wait_s: float) -> RecordBatch:
        """Return the records after a position, from a relay if there is one."""
        relays = self._list_relays()
        relay = choose_own_relay(self._own, relays, self._list_avoided())
        if relay is None:
            if any(other.vm == self._own.vm for other in relays):
                age_s = asyncio.get_running_loop().time() - self._known_at
                wait_s = self._times.choose_relay_wait(age_s, wait_s)
            return await self._read_log(position, wait_s)
        try:
            return await self._query_relay(relay, position, wait_s)
        except LogUnavailableError as error:
            now = asyncio.get_running_loop().time()
            if self._monitor.failed_within(LOG_PAUSE_S, now):
                # Direct calls fail too, so a retry at the relay is the cheaper one.
                raise
            self._avoid(relay, error)
        return await self._read_fallback(relays, position)

    async def _read_fallback(self, relays: list[Member], position: int) -> RecordBatch:
        """Query another relay without waiting; read the log directly if that fails.

        Without the second relay, the stop of a relay would cause a call to the log from
        each of its 40 VMs, for each table.
        """
        other = choose_own_relay(self._own, relays, self._list_avoided())
        if other is not None:
            try:
                return await self._query_relay(other, position, 0.0)
            except LogUnavailableError as error:
                self._avoid(other, error)
        return await self._read_log(position, 0.0)

    async def _read_log(self, position: int, wait_s: float) -> RecordBatch:
        """Read the log directly."""
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        batch = await self._direct.read_after(position, wait_s=wait_s)
        batch = batch.with_wait(wait_s, loop.time() - asked_at)
        self._known_at = asked_at + batch.waited_s
        self._after_stale_update = False
        return batch

    def _avoid(self, relay: Member, error: LogUnavailableError) -> None:
        """Avoid a failed relay, so that the log is read directly only once."""
        LOG.info(
            "relay avoided for %.0f s: %s",
            AVOID_S,
            error,
            extra={"step": self._name, "peer": relay.vm},
        )
        now = asyncio.get_running_loop().time()
        self._avoid_until[relay.vm] = now + AVOID_S

    def _list_avoided(self) -> set[str]:
        """Return the names of avoided relays; none while direct calls fail as well."""
        now = asyncio.get_running_loop().time()
        if self._monitor.failed_within(LOG_PAUSE_S, now):
            return set()
        self._avoid_until = {
            vm: until for vm, until in self._avoid_until.items() if now < until
        }
        return set(self._avoid_until)

    async def _query_relay(
        self, relay: Member, position: int, wait_s: float
    ) -> RecordBatch:
        fetcher = self._open_fetcher(relay)
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        wait_s = self._times.choose_wait(
            asked_at - self._known_at,
            wait_s,
            after_stale_update=self._after_stale_update,
        )
        peer_request = PeerRequest(
            self._own.vm, {self._name: position}, int(wait_s * 1000)
        )
        answer = await fetcher.post(
            RECORDS_TARGET,
            encode_peer_request(peer_request),
            timeout_s=wait_s + self._times.call_timeout_s,
        )
        state = decode_answer(answer.body, relay.host).tables.get(self._name)
        self._check_answer(state, position, relay)
        assert state is not None
        age_s = state.age_ms / 1000
        records = tuple(Record(r.key, r.value, r.offset) for r in state.records)
        batch = RecordBatch(
            records, state.position, age_s, relayed=True, is_whole=state.is_whole
        )
        batch = batch.with_wait(wait_s, loop.time() - asked_at)
        # An answer with records may have been built at any time since the request.
        self._known_at = asked_at + batch.waited_s - age_s
        return batch

    def _check_answer(
        self, state: TableState | None, position: int, relay: Member
    ) -> None:
        known = state.position if state else None
        age_s = state.age_ms / 1000 if state else 0.0
        fault = self._times.find_rejection_reason(
            known, position, age_s, after_stale_update=self._after_stale_update
        )
        if fault is not None:
            raise LogUnavailableError(fault, step="relay", peer=relay.vm)
        self._after_stale_update = age_s > self._times.max_age_s

    def _open_fetcher(self, relay: Member) -> Fetcher:
        if self._fetcher is None or self._fetcher_vm != relay.vm:
            if self._fetcher is not None:
                self._fetcher.close()
            self._fetcher = Fetcher(relay.host, self._port, relay.vm)
            self._fetcher_vm = relay.vm
        return self._fetcher


class RelaySelector:
    """Selects the relays of the fleet from this VM's list of members.

    Args:
        own: this VM.
        members: the other VMs.
        monitor: outcomes of this VM's direct calls to the log.

    .. versionadded:: 0.2
    """

    def __init__(self, own: Member, members: FleetMembers, monitor: LogMonitor) -> None:
        self._own = own
        self._members = members
        self._monitor = monitor

    def list_relays(self) -> list[Member]:
        """Return the relays among the VMs that are live now."""
        now = asyncio.get_running_loop().time()
        self._own.log_up = self._monitor.is_up(now)
        return choose_relays([self._own, *self._members.list_live(now)])
