"""What a record of the shared log changes in a gateway.

Takes the records of the followed tables, writes a decision line for each change,
and puts what they say where exchanges read it. A record that can't be read
changes nothing, so that what was known goes on serving.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ramppin.errors import SettingsError
from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.recovery.sources import RecordDecoder


class RecordChanges:
    """Takes records of the settings and of the backend servers.

    Args:
        settings_key: key of the record that holds the routing settings.
        decoder: turns records into models.
        context: where the settings in force and the servers are.
        find_hold_end: returns until when an entry that vanishes now is held.

    .. versionadded:: 0.2
    """

    def __init__(
        self,
        settings_key: str,
        decoder: RecordDecoder,
        context: GatewayContext,
        find_hold_end: Callable[[float], float | None],
    ) -> None:
        self._settings_key = settings_key
        self._decoder = decoder
        self._context = context
        self._find_hold_end = find_hold_end

    def take_settings(self, record: Record) -> None:
        """Put settings in force, unless they are older or can't be read."""
        if record.key != self._settings_key:
            return
        context = self._context
        try:
            table = self._decoder.decode_table(record)
        except SettingsError as error:
            context.decisions.note("settings_refused", reason=error.show())
            return
        if table is None:
            return
        if context.table is not None and table.version < context.version:
            context.decisions.note("settings_older", version=table.version)
            return
        context.table = table
        context.listener.limits = table.limits
        context.decisions.note(
            "settings_in_force",
            version=table.version,
            offset=record.offset,
            routes=len(table.routes),
        )

    def take_server(self, record: Record) -> None:
        """Take a backend server's entry, or the end of one."""
        if record.value is None:
            self._take_vanished(record.key)
            return
        context = self._context
        try:
            server = self._decoder.decode_server(record)
        except SettingsError as error:
            context.decisions.note("server_refused", reason=error.show())
            return
        known = context.directory.find(server.id)
        before = known.server if known else None
        context.directory.put(server)
        if before != server:
            context.decisions.note(
                "server_known",
                server=server.id,
                service=server.service,
                draining=server.draining,
                offset=record.offset,
            )

    def _take_vanished(self, server_id: str) -> None:
        directory = self._context.directory
        hold_end = self._find_hold_end(asyncio.get_running_loop().time())
        if hold_end is not None:
            directory.hold(server_id, hold_end)
        else:
            directory.mark_missing(server_id)
