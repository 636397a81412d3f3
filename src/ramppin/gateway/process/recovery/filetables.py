"""Tables in a file of JSON with comments, for a gateway without a shared log.

The file is reloaded when it changes. Its parts::

    {
      "routing": {...},           // see ramppin.gateway.version.routingfile
      "evacuated_domains": ["porto"],  // failure domains whose servers get nothing
      "backend_servers": {"id": {"service": ..., "address": "IP:PORT"}}
    }
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from pathlib import Path

from returns.result import Failure, Success

from ramppin.document import read_document
from ramppin.errors import LogUnavailableError
from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.recovery.sources import (
    RecordBatch,
    RecordLog,
    RecordSource,
)
from ramppin.gateway.process.routing.evacuation import EVACUATION_PREFIX

POLL_S = 0.2
"""Seconds between two checks for a change of the file."""

ROUTING_PART = "routing"
SERVERS_PART = "backend_servers"
EVACUATED_PART = "evacuated_domains"
SETTINGS_KEY = "settings"


class FileTable(RecordSource):
    """One part of the file, presented as a table of records.

    Offsets count the changes that this process has read.

    Args:
        path: the file.
        part: ``"routing"`` for the record of the settings and one record per evacuated
            failure domain, ``"backend_servers"`` for one record per server.

    .. versionadded:: 0.2
    """

    def __init__(self, path: Path, part: str) -> None:
        self._path = path
        self._part = part
        self._changed_at = -1
        self._known: dict[str, bytes] = {}
        self._position = 0

    async def read_newest(self, *, timeout_s: float = 0.0) -> RecordBatch:
        """Return a record for each entry."""
        await asyncio.sleep(0)
        self._changed_at = self._read_mtime()
        self._known = self._read()
        return self._build_batch({**self._known})

    async def read_after(self, position: int, *, wait_s: float) -> RecordBatch:
        """Return the entries that changed; wait for a change if there is none."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while True:
            changed_at = self._read_mtime()
            if changed_at != self._changed_at:
                self._changed_at = changed_at
                return self._compare(self._read())
            if loop.time() >= deadline:
                return RecordBatch((), self._position)
            await asyncio.sleep(POLL_S)

    def _compare(self, found: dict[str, bytes]) -> RecordBatch:
        changes: dict[str, bytes | None] = {
            key: value for key, value in found.items() if self._known.get(key) != value
        }
        changes |= dict.fromkeys(self._known.keys() - found.keys())
        self._known = found
        return self._build_batch(changes)

    def _build_batch(self, changes: Mapping[str, bytes | None]) -> RecordBatch:
        records = []
        for key, value in changes.items():
            records.append(Record(key, value, self._position))
            self._position += 1
        return RecordBatch(tuple(records), self._position)

    def _read_mtime(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError as error:
            raise LogUnavailableError(
                str(error), step="read", peer=str(self._path)
            ) from error

    def _read(self) -> dict[str, bytes]:
        match read_document(self._path):
            case Success(document):
                part = document.get(self._part, {})
            case Failure(error):
                raise LogUnavailableError(
                    error.show(), step="read", peer=str(self._path)
                )
        if self._part == ROUTING_PART:
            evacuated = self._list_evacuated(document)
            return {SETTINGS_KEY: json.dumps(part).encode()} | evacuated
        if not isinstance(part, dict):
            raise LogUnavailableError(
                f"{self._part}: must be an object", step="read", peer=str(self._path)
            )
        return {key: json.dumps(value).encode() for key, value in part.items()}

    def _list_evacuated(self, document: Mapping[str, object]) -> dict[str, bytes]:
        """Return the records of the evacuated failure domains in the file."""
        domains = document.get(EVACUATED_PART, [])
        if not isinstance(domains, list) or not all(
            isinstance(d, str) for d in domains
        ):
            raise LogUnavailableError(
                f"{EVACUATED_PART}: must be a list of names",
                step="read",
                peer=str(self._path),
            )
        return {f"{EVACUATION_PREFIX}{domain}": b"{}" for domain in domains}


class LocalTable(RecordLog):
    """A table in memory that is private to this process.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._newest: dict[str, Record] = {}
        self._end = 0

    async def append(self, key: str, value: bytes) -> None:
        """Write the newest record of a key."""
        await asyncio.sleep(0)
        self._newest[key] = Record(key, value, self._end)
        self._end += 1

    async def read_newest(self, *, timeout_s: float = 0.0) -> RecordBatch:
        """Return the newest record of each key."""
        await asyncio.sleep(0)
        return RecordBatch(tuple(self._newest.values()), self._end)

    async def read_after(self, position: int, *, wait_s: float) -> RecordBatch:
        """Return the newest records after a position, at the end of the wait."""
        await asyncio.sleep(wait_s)
        found = [r for r in self._newest.values() if r.offset >= position]
        found.sort(key=lambda record: record.offset)
        return RecordBatch(tuple(found), self._end)
