"""Client of the platform's list of live and leaving VMs.

``GET /vms`` returns the list. It is eventually consistent: it lags behind the
state of the VMs, and two VMs may receive different lists.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

import aiohttp
from pydantic import BaseModel, ValidationError

from ramppin.errors import RamppinError


class VmState(StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRole(StrEnum):
    """Role of a VM."""

    ROUTER = "router"
    BACKEND_SERVER = "backend-server"


class VmEntry(BaseModel):
    """One VM of the list.

    Attributes:
        name: name of the VM.
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
    """The list of VMs as of one read.

    Attributes:
        routers: live and leaving routers by name.
        leaving: names of all VMs that are leaving.
        backend_servers: names of the VMs of all listed backend servers.
    """

    routers: dict[str, VmEntry]
    leaving: frozenset[str]
    backend_servers: frozenset[str]

    @property
    def live_routers(self) -> list[str]:
        """Names of the routers that are not leaving."""
        return [name for name in self.routers if name not in self.leaving]


def build_vm_list(entries: list[VmEntry]) -> VmList:
    """Group the entries of the platform's list by role and state."""
    return VmList(
        routers={e.name: e for e in entries if e.role is VmRole.ROUTER},
        leaving=frozenset(e.name for e in entries if e.state is VmState.LEAVING),
        backend_servers=frozenset(
            e.name for e in entries if e.role is VmRole.BACKEND_SERVER
        ),
    )


class VmListClient:
    """Reads the platform's list of VMs.

    Args:
        base_url: URL of the service.
        session: the HTTP client session to use.
        vm: name of this VM, sent with each request.
        timeout_s: time limit for one read, in seconds.

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
        """Return the list, or None if it has not changed since the last read.

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
