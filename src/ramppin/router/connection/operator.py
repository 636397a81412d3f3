"""Client of the operators' HTTP listener of a router VM."""

from __future__ import annotations

import json
from typing import Any

import aiohttp

from ramppin.errors import (
    ConflictError,
    LogUnavailableError,
    PeerUnavailableError,
    RamppinError,
    SettingsError,
)

TIMEOUT_S = 10.0
"""Time limit for a call to the operators' listener, in seconds."""


_ERRORS: dict[int, type[RamppinError]] = {409: ConflictError, 503: LogUnavailableError}
"""Error classes by HTTP status of the answer."""


class OperatorClient:
    """Calls the operators' listener of one router VM.

    Args:
        url: URL of the VM's operators' listener.
        key: the operators' key.
    """

    def __init__(self, url: str, key: str) -> None:
        self._url = url.rstrip("/")
        self._key = key

    async def get(self, path: str) -> dict[str, Any]:
        """Send a GET request and return the answer.

        Raises:
            RamppinError: the VM refused the call, or could not be reached.
        """
        return await self._send("GET", path, None)

    async def post(self, path: str) -> dict[str, Any]:
        """Send a POST request and return the answer. Raises as :meth:`get`."""
        return await self._send("POST", path, None)

    async def publish(self, body: dict[str, Any]) -> dict[str, Any]:
        """Publish a settings change; return the result. Raises as :meth:`get`."""
        return await self._send("POST", "/settings", body)

    async def _send(
        self, method: str, path: str, body: dict[str, Any] | None
    ) -> dict[str, Any]:
        headers = {"Authorization": f"Bearer {self._key}"}
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, self._url + path, json=body, headers=headers
                ) as reply,
            ):
                return _parse_reply(reply.status, await reply.text(), self._url)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PeerUnavailableError(
                str(error) or repr(error), step=f"{method} {path}", peer=self._url
            ) from error


def _parse_reply(status: int, text: str, peer: str) -> dict[str, Any]:
    try:
        found = json.loads(text)
    except ValueError:
        found = {"error": text or f"status {status}"}
    if status < 400 and isinstance(found, dict):
        return found
    message = str(found.get("error")) if isinstance(found, dict) else text
    if status == 422:
        raise SettingsError(message)
    raise _ERRORS.get(status, RamppinError)(message, peer=peer)
