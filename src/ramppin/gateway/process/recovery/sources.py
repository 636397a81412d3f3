"""Interfaces to the sources of a gateway's settings and backend servers.

Implemented by a file (:mod:`~.filetables`), by relays (:mod:`~.relays`), by the adapter
to a platform's store, and by the stand-in of the tests.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, replace

from ramppin.gateway.process.recovery.replica import Record
from ramppin.gateway.process.routing.serverstate import BackendServer
from ramppin.gateway.version.routing import RoutingTable


@dataclass(frozen=True, slots=True)
class RecordBatch:
    """Records that were read together.

    Attributes:
        records: in the order of the log.
        position: offset after the last record that the read covers.
        age_s: time since that was the log's end; 0 if read directly from the log.
        relayed: whether the records come from a relay, which limits the rate of reads.
        waited_s: time after the request for which the log certainly had no new records.
        is_whole: whether the records are those of all keys.
    """

    records: tuple[Record, ...]
    position: int
    age_s: float = 0.0
    relayed: bool = False
    waited_s: float = 0.0
    is_whole: bool = False

    def with_wait(self, wait_s: float, took_s: float) -> RecordBatch:
        """Return the batch with the time that it waited without new records.

        An empty answer after the whole wait confirms that there were no new records
        until the end of the wait. An earlier answer confirms nothing about the time
        after the request.

        Args:
            wait_s: the requested wait.
            took_s: time from the request to the answer.
        """
        if self.records or self.is_whole or took_s < wait_s:
            return self
        return replace(self, waited_s=wait_s)


class RecordSource(ABC):
    """A table of keyed records in a shared log.

    .. versionadded:: 0.2
    """

    @abstractmethod
    async def read_newest(self, *, timeout_s: float) -> RecordBatch:
        """Return the newest record of each key.

        Args:
            timeout_s: time that each answer may take.

        Raises:
            LogUnavailableError: the log could not be read.
        """

    @abstractmethod
    async def read_after(self, position: int, *, wait_s: float) -> RecordBatch:
        """Return the records after a position; wait if there are none.

        Raises:
            LogTrimmedError: the log no longer retains that position.
            LogUnavailableError: the log could not be read.
        """


class RecordLog(RecordSource):
    """A table that VMs may write to.

    .. versionadded:: 0.2
    """

    @abstractmethod
    async def append(self, key: str, value: bytes) -> None:
        """Write the newest record of a key.

        Raises:
            LogUnavailableError: there was no answer; the record may have been written.
        """


class RecordDecoder(ABC):
    """Decodes records into ramppin's models.

    .. versionadded:: 0.2
    """

    @abstractmethod
    def decode_table(self, record: Record) -> RoutingTable | None:
        """Return the routing settings in a record, or None if it contains none.

        Raises:
            SettingsError: the record doesn't match the schema.
        """

    @abstractmethod
    def find_evacuated(self, record: Record) -> str | None:
        """Return the failure domain that a settings record evacuates or restores.

        A record with any value evacuates the domain; one without a value restores it.
        Returns None for any other record.

        Raises:
            SettingsError: the record names no failure domain.
        """

    @abstractmethod
    def decode_server(self, record: Record) -> BackendServer:
        """Return the backend server that a record announces.

        Raises:
            SettingsError: the record doesn't match the schema.
        """
