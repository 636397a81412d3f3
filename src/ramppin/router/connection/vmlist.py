"""The client of the platform's list of live and leaving VMs.

``GET /vms`` answers the list. It lags, and two VMs may see different ones.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

import aiohttp
from pydantic import BaseModel, ValidationError

from ramppin.errors import RamppinError


class VmState(StrEnum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRole(StrEnum):
    """What a VM is for."""

    ROUTER = "router"
    BACKEND_SERVER = "backend-server"


class VmEntry(BaseModel):
    """One VM of the list.

    Attributes:
        name: its name.
        role: router or backend server.
        state: live or leaving.
        address: ``IP:port`` for links between routers; unused for others.
    """

    name: str
    role: VmRole
    state: VmState
    address: str = ""


class _ListReply(BaseModel):
    vms: list[VmEntry]


@dataclass(frozen=True, slots=True)
class VmList:
    """The list as it was last seen.

    Attributes:
        routers: live and leaving routers by name.
        leaving: names of all VMs that are leaving.
        backend_servers: names of all backend servers' VMs that are listed.
    """

    routers: dict[str, VmEntry]
    leaving: frozenset[str]
    backend_servers: frozenset[str]

    @property
    def live_routers(self) -> list[str]:
        """Names of the routers that stay."""
        return [name for name in self.routers if name not in self.leaving]


def build_vm_list(entries: list[VmEntry]) -> VmList:
    """Sort the entries of the platform's list."""
    return VmList(
        routers={e.name: e for e in entries if e.role is VmRole.ROUTER},
        leaving=frozenset(e.name for e in entries if e.state is VmState.LEAVING),
        backend_servers=frozenset(
            e.name for e in entries if e.role is VmRole.BACKEND_SERVER
        ),
    )


class VmListClient:
    """Reads the platform's list.

    Args:
        base_url: where the service is.
        session: the HTTP client session to use.
        vm: name by which the service knows this VM.
        timeout_s: for one read.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        *,
        vm: str,
        timeout_s: float = 1.0,
    ) -> None:
        self._url = f"{base_url.rstrip('/')}/vms"
        self._session = session
        self._headers = {"Ramppin-VM": vm}
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._etag = ""

    async def read(self) -> VmList | None:
        """Return the list; None if it is as it was at the last read.

        Raises:
            RamppinError: the service could not be read.
        """
        headers = dict(self._headers)
        if self._etag:
            headers["If-None-Match"] = self._etag
        try:
            async with self._session.get(
                self._url, headers=headers, timeout=self._timeout
            ) as reply:
                if reply.status == 304:
                    return None
                reply.raise_for_status()
                parsed = _ListReply.model_validate_json(await reply.read())
                self._etag = reply.headers.get("ETag", "")
        except (aiohttp.ClientError, TimeoutError, ValidationError) as error:
            raise RamppinError(repr(error), step="list VMs", peer=self._url) from error
        return build_vm_list(parsed.vms)
