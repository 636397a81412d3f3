"""Client of the platform's append-only log service.

The service has an HTTP API: ``POST /streams/NAME`` appends a JSON record and
returns its offset; ``GET /streams/NAME?from=N&wait=S`` returns the records
from an offset on, and at the end of the stream waits for the next record.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
from pydantic import BaseModel, ValidationError

from ramppin.errors import AppendUnknownError, LogTrimmedError, LogUnavailableError

NOT_APPENDED_STATUSES = frozenset({400, 401, 403, 404, 413, 429, 503})
"""HTTP statuses which mean that the record was not appended."""


class _AppendReply(BaseModel):
    offset: int


class _ReadReply(BaseModel):
    first: int
    next: int
    records: list[tuple[int, object]]


@dataclass(frozen=True, slots=True)
class Batch:
    """Records that one read returned.

    Attributes:
        first: lowest offset that the service retains.
        next: offset from which to read next.
        records: pairs of an offset and a record.
    """

    first: int
    next: int
    records: list[tuple[int, object]]


class LogClient:
    """Appends to the log service and reads from it.

    Args:
        base_url: URL of the service, for instance ``http://10.0.0.9:7000``.
        session: the HTTP client session to use.
        vm: name of this VM, sent with each request.
        timeout_s: time limit for an append, or for a read without its wait.
        on_append: called with the stream's name before each append.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        *,
        vm: str,
        timeout_s: float = 1.0,
        on_append: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._on_append = on_append
        self._base_url = base_url.rstrip("/")
        self._session = session
        self._headers = {"Ramppin-VM": vm}
        self._timeout_s = timeout_s

    async def append(self, stream: str, record: BaseModel) -> int:
        """Append a record and return its offset.

        Raises:
            AppendUnknownError: it is unknown whether the record was appended.
            LogUnavailableError: the record was not appended.
        """
        url = f"{self._base_url}/streams/{stream}"
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        self._on_append(stream)
        try:
            async with self._session.post(
                url,
                data=record.model_dump_json(),
                headers=self._headers | {"Content-Type": "application/json"},
                timeout=timeout,
            ) as reply:
                if reply.status in NOT_APPENDED_STATUSES:
                    raise self._build_error(
                        LogUnavailableError, f"status {reply.status}"
                    )
                if reply.status != 201:
                    raise self._build_error(
                        AppendUnknownError, f"status {reply.status}"
                    )
                return _AppendReply.model_validate_json(await reply.read()).offset
        except aiohttp.ClientConnectorError as error:
            raise self._build_error(LogUnavailableError, str(error)) from error
        except (aiohttp.ClientError, TimeoutError, ValidationError) as error:
            raise self._build_error(AppendUnknownError, repr(error)) from error

    async def read(
        self, stream: str, start: int, *, wait_s: float = 0.0, limit: int = 1000
    ) -> Batch:
        """Read records.

        Args:
            stream: the stream's name.
            start: offset from which to read.
            wait_s: how long to wait for a record at the end of the stream.
            limit: maximum number of records to return.

        Raises:
            LogTrimmedError: the record at ``start`` is no longer retained.
            LogUnavailableError: the service could not be read.
        """
        url = f"{self._base_url}/streams/{stream}"
        params = {"from": str(start), "wait": f"{wait_s:g}", "limit": str(limit)}
        timeout = aiohttp.ClientTimeout(total=self._timeout_s + wait_s)
        try:
            async with self._session.get(
                url, params=params, headers=self._headers, timeout=timeout
            ) as reply:
                body = await reply.read()
                if reply.status == 410:
                    first = int(reply.headers.get("Log-First-Offset", "0"))
                    raise LogTrimmedError(first, peer=self._base_url)
                if reply.status != 200:
                    raise self._build_error(
                        LogUnavailableError, f"status {reply.status}"
                    )
                parsed = _ReadReply.model_validate_json(body)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise self._build_error(LogUnavailableError, repr(error), "read") from error
        return Batch(parsed.first, parsed.next, parsed.records)

    def _build_error(
        self, kind: type[LogUnavailableError], message: str, step: str = "append"
    ) -> LogUnavailableError:
        return kind(message, step=step, peer=self._base_url)
