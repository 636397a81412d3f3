"""Where a gateway learns its settings and backend servers from.

Interfaces only. Implementations: a file (:mod:`~.filetables`), relays
(:mod:`~.relays`), an adapter to a platform's store, and the tests' stand-in.
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
        records: in the log's order.
        position: offset after the last record that the read covers.
        age_s: how long ago that was the log's end; 0 if read from the log itself.
        relayed: whether a relay passed them on; its reads are the paced ones.
        waited_s: time after the question for which there was certainly no news.
    """

    records: tuple[Record, ...]
    position: int
    age_s: float = 0.0
    relayed: bool = False
    waited_s: float = 0.0

    def with_wait(self, wait_s: float, took_s: float) -> RecordBatch:
        """Return the batch with the time for which it waited in vain.

        An answer without records after the whole wait says that there was no news
        until its end; one that came sooner says nothing of the time after the
        question.

        Args:
            wait_s: the wait that was asked for.
            took_s: time from the question to the answer.
        """
        if self.records or took_s < wait_s:
            return self
        return replace(self, waited_s=wait_s)


class RecordSource(ABC):
    """A keyed table in a shared log.

    .. versionadded:: 0.2
    """

    @abstractmethod
    async def read_newest(self, *, timeout_s: float) -> RecordBatch:
        """Return the newest record of each key.

        Args:
            timeout_s: how long each answer may take.

        Raises:
            LogUnavailableError: the log could not be read.
        """

    @abstractmethod
    async def read_after(self, position: int, *, wait_s: float) -> RecordBatch:
        """Return what follows a position; wait for it if there is nothing.

        Raises:
            LogTrimmedError: the log no longer keeps that position.
            LogUnavailableError: the log could not be read.
        """


class RecordLog(RecordSource):
    """A keyed table that VMs may write to.

    .. versionadded:: 0.2
    """

    @abstractmethod
    async def append(self, key: str, value: bytes) -> None:
        """Write the newest record of a key.

        Raises:
            LogUnavailableError: no answer came; the record may have been written.
        """


class RecordDecoder(ABC):
    """Turns records into ramppin's own models.

    .. versionadded:: 0.2
    """

    @abstractmethod
    def decode_table(self, record: Record) -> RoutingTable | None:
        """Return the routing settings of a record, or None if it has none.

        Raises:
            SettingsError: the record breaks the schema.
        """

    @abstractmethod
    def find_evacuated(self, record: Record) -> str | None:
        """Return the failure domain that a record of the settings' table empties.

        A record without a value takes it back; any value empties it. None if the record
        is not about that.

        Raises:
            SettingsError: the record names no failure domain.
        """

    @abstractmethod
    def decode_server(self, record: Record) -> BackendServer:
        """Return the backend server that a record announces.

        Raises:
            SettingsError: the record breaks the schema.
        """
