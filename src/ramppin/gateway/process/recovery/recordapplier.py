"""Applies records of the shared log to the state of the gateway.

Updates the settings and the backend servers that exchanges use, and writes a decision
line for each change. Records that the log took later than newer ones are outdated: of
the settings by their version, of a server by :mod:`~.entryorder`. Settings that can't
be decoded are ignored, and the previous ones stay in force. A backend server whose
entry can't be decoded gets no new requests until its next valid entry: the entry comes
from a foreign writer, or the server is faulty.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ramppin.errors import SettingsError
from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.process.recovery.entryorder import (
    DEFAULT_HEARTBEAT_S,
    EntryMark,
    EntryOrder,
    EntryVerdict,
)
from ramppin.gateway.process.recovery.replica import MAX_LOGGED_KEY, Record
from ramppin.gateway.process.recovery.sources import RecordDecoder
from ramppin.gateway.process.routing.buildhistory import MAX_VIEW_AGE_S
from ramppin.gateway.process.routing.incarnation import StartVerdict, judge_start
from ramppin.gateway.process.routing.serverstate import BackendServer, ServerState
from ramppin.gateway.process.routing.streamorigins import StreamOrigin


class RecordApplier:
    """Applies records of the settings and of the backend servers.

    Args:
        settings_key: key of the record that contains the routing settings.
        decoder: decodes records into models.
        context: contains the settings in force and the backend servers.
        find_hold_end: returns until when an entry that is removed now stays in use, or
            None if it is not retained.
        heartbeat_s: seconds between two entries of a server.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        settings_key: str,
        decoder: RecordDecoder,
        context: GatewayContext,
        find_hold_end: Callable[[float], float | None],
        heartbeat_s: float = DEFAULT_HEARTBEAT_S,
    ) -> None:
        self._settings_key = settings_key
        self._decoder = decoder
        self._context = context
        self._find_hold_end = find_hold_end
        self._order = EntryOrder(heartbeat_s)

    def apply_settings(self, record: Record) -> bool:
        """Put settings in force, unless they are outdated or can't be decoded.

        Returns:
            Whether the settings of this record apply from now on.
        """
        context = self._context
        try:
            domain = self._decoder.find_evacuated(record)
            if domain is not None:
                self._apply_evacuation(domain, record)
                return True
            if record.key != self._settings_key:
                return True
            table = self._decoder.decode_table(record)
        except SettingsError as error:
            context.metrics.refused_entries.inc("settings")
            context.decisions.note(
                "settings_refused", offset=record.offset, reason=error.show()
            )
            return False
        if table is None:
            return True
        if context.table is not None and table.version < context.version:
            context.decisions.note("settings_older", version=table.version)
            return False
        context.table = table
        context.listener.limits = table.limits
        context.note_table(table)
        context.decisions.note(
            "settings_in_force",
            version=table.version,
            offset=record.offset,
            routes=len(table.routes),
        )
        return True

    def _apply_evacuation(self, domain: str, record: Record) -> None:
        """Evacuate a failure domain, or restore it."""
        context, now = self._context, asyncio.get_running_loop().time()
        evacuations = context.directory.evacuations
        servers = len(context.directory.list_domain(domain))
        if record.value is not None:
            if evacuations.begin(domain, record.offset, now):
                context.decisions.note(
                    "domain_evacuated",
                    domain=domain,
                    servers=servers,
                    offset=record.offset,
                )
            return
        ended = evacuations.end(domain)
        # Also if this VM never read the evacuation: the servers may be cold anyway.
        self._assume_cold(domain, now)
        context.decisions.note(
            "domain_restored",
            domain=domain,
            servers=servers,
            offset=record.offset,
            evacuated_s=0.0 if ended is None else round(now - ended.since, 2),
        )

    def _assume_cold(self, domain: str, now: float) -> None:
        """Treat the servers of a restored failure domain as cold.

        Their caches may have been cleared during the evacuation, and the entries that
        report this arrive later than the record that restores the domain.
        """
        table = self._context.table
        if table is None:
            return
        for state in self._context.directory.list_domain(domain):
            spec = table.services.get(state.server.service)
            if spec is not None and spec.cold_s:
                state.coldness.assume_cold(spec.cold_s, now)

    def apply_server(self, record: Record) -> bool:
        """Apply a backend server's entry, or its removal.

        Returns:
            False if the entry is outdated.
        """
        if record.value is None:
            self._apply_removal(record.key)
            return True
        try:
            server = self._decoder.decode_server(record)
        except SettingsError as error:
            self._refuse_server(record, error.show())
            return True
        mark = EntryMark(server.started_ms, server.sequence, server.draining)
        if not self._is_current(record, mark):
            return False
        return self._apply_entry(server, record)

    def _is_current(self, record: Record, mark: EntryMark) -> bool:
        """Return whether an entry is current; log an outdated one."""
        context, now = self._context, asyncio.get_running_loop().time()
        verdict = self._order.judge(record.key, mark, now)
        if verdict.is_current:
            return True
        known = self._order.find(record.key)
        if mark.draining and verdict is EntryVerdict.OLDER:
            # It announced that it is leaving, whatever it has written since.
            context.directory.mark_draining(record.key)
        assert known is not None
        if verdict is EntryVerdict.EARLIER_START:
            self._note_older(record, mark.started_ms, known.started_ms)
            return False
        context.decisions.note(
            "server_outdated",
            server=record.key[:MAX_LOGGED_KEY],
            reason=verdict.value,
            sequence=mark.sequence,
            draining=mark.draining,
            known_sequence=known.sequence,
            known_leaving=known.leaving,
            known_removed=known.removed,
            offset=record.offset,
        )
        return False

    def _note_older(
        self, record: Record, started_ms: int | None, known_ms: int | None
    ) -> None:
        """Log an entry of an earlier start."""
        self._context.decisions.note(
            "server_older",
            server=record.key[:MAX_LOGGED_KEY],
            started_ms=started_ms,
            known_ms=known_ms,
            offset=record.offset,
        )

    def _apply_entry(self, server: BackendServer, record: Record) -> bool:
        """Apply a current entry; return False if it is of an earlier start."""
        context = self._context
        known = context.directory.find_newest(server.name)
        verdict = self._judge_start(known, server)
        if known is not None and verdict is StartVerdict.EARLIER:
            self._note_older(record, server.started_ms, known.server.started_ms)
            return False
        if known is not None and not self._apply_start(known, verdict, server, record):
            return True
        was_unreadable = known is not None and known.unreadable
        state = context.directory.put(server)
        if context.continuity.history.is_new(server.service, server.build):
            context.note_builds(asyncio.get_running_loop().time())
        self._apply_coldness(state, record.offset)
        if known is None or known.server != server or was_unreadable:
            self._note_known(server, record.offset)
        return True

    def _judge_start(
        self, known: ServerState | None, server: BackendServer
    ) -> StartVerdict:
        """Return how an entry's start time compares to the one in use."""
        if known is None:
            return StartVerdict.SAME
        return judge_start(known.server.started_ms, server.started_ms)

    def _apply_start(
        self,
        known: ServerState,
        verdict: StartVerdict,
        server: BackendServer,
        record: Record,
    ) -> bool:
        """Apply an entry's start time; return whether the entry applies."""
        context = self._context
        entry_started_ms, known_ms = server.started_ms, known.server.started_ms
        if verdict is StartVerdict.UNSTATED:
            self._refuse_server(record, f"no start time; the known one is {known_ms}")
            return False
        if verdict is StartVerdict.LATER:
            self._doubt_origins(known.server, server)
            context.pool.drop_peer(known.id)
            context.quarantine.note_server_ended(known.id)
            context.decisions.note(
                "server_restarted",
                server=server.name,
                started_ms=entry_started_ms,
                known_ms=known_ms,
                in_flight=known.in_flight,
            )
        return True

    def _doubt_origins(self, known: BackendServer, server: BackendServer) -> None:
        """Doubt the streams that began at a server before its new build was read.

        Not while its service has several builds: servers are then asked for their
        start, and the other streams of that build would be refused in vain.
        """
        now = asyncio.get_running_loop().time()
        continuity = self._context.continuity
        is_mixed = continuity.history.is_mixed(known.service, now)
        if is_mixed or known.build == server.build:
            return
        origin = StreamOrigin(known.service, known.build)
        continuity.origins.doubt(origin, now, MAX_VIEW_AGE_S)

    def _apply_coldness(self, state: ServerState, offset: int) -> None:
        """Apply the time for which a server remains cold."""
        context, server = self._context, state.server
        now = asyncio.get_running_loop().time()
        if state.coldness.apply_entry(server.cold_s, now):
            context.decisions.note(
                "server_cold",
                server=server.name,
                service=server.service,
                cold_s=round(server.cold_s, 2),
                per_s=context.find_cold_rate(server.service),
                offset=offset,
            )
        elif not state.coldness.is_cold(now):
            context.cold_quota.forget(state.id)

    def _refuse_server(self, record: Record, reason: str) -> None:
        """Reject an entry; its server gets no new requests until its next valid one."""
        context = self._context
        context.directory.mark_unreadable(record.key)
        context.metrics.refused_entries.inc("servers")
        context.decisions.note(
            "server_refused",
            server=record.key[:MAX_LOGGED_KEY],
            offset=record.offset,
            reason=reason,
        )

    def _note_known(self, server: BackendServer, offset: int) -> None:
        self._context.decisions.note(
            "server_known",
            server=server.name,
            service=server.service,
            draining=server.draining,
            started_ms=server.started_ms,
            offset=offset,
        )

    def _apply_removal(self, name: str) -> None:
        directory, now = self._context.directory, asyncio.get_running_loop().time()
        self._order.note_removed(name, now)
        hold_end = self._find_hold_end(now)
        if hold_end is not None:
            directory.hold(name, hold_end)
        else:
            directory.mark_missing(name)
