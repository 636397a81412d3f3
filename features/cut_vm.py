"""A gateway process whose links to backend servers a harness cuts.

The process is the product's; its event loop reads a file, in which the harness states
what becomes of connections to backend servers: new ones, and those that are open.
"""

from __future__ import annotations

import asyncio
import errno
import json
import os
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import ramppin.clock
from ramppin_platform.__main__ import main

CUT_VARIABLE = "RAMPPIN_TEST_CUT"
"""Environment variable with the path of the file."""

POLL_S = 0.01

SERVER_HOST = "127.0.0.1"
"""Address of the backend servers; the other VMs have addresses of their own."""

UNACKNOWLEDGED_S = 1.0
"""After which the kernel ends a connection whose data nobody acknowledges."""

RESET_AFTER_S = 0.002


@dataclass(frozen=True)
class Cut:
    """What becomes of connections.

    Attributes:
        new: of new ones: ``pass``, ``hang``, ``refused`` or ``reset``.
        open: of open ones: ``pass``, ``silent``, ``reset`` or ``one_way``.
        ports: of the servers concerned; None for all.
    """

    new: str = "pass"
    open: str = "pass"
    ports: list[int] | None = None

    def concerns(self, port: int) -> bool:
        """Return whether a server is concerned."""
        return self.ports is None or port in self.ports


@dataclass(eq=False)
class Link:
    """One connection to a backend server."""

    transport: Any
    port: int
    held: list[bytes] = field(default_factory=list)
    silent: bool = False

    def silence(self, *, swallow: bool) -> None:
        """Let nothing arrive, and let nothing leave if it is to be swallowed."""
        self.silent = True
        self.transport.pause_reading()
        if swallow:
            self.transport.write = self._hold
        asyncio.get_running_loop().call_later(UNACKNOWLEDGED_S, self._time_out)

    def heal(self) -> None:
        """Pass on what was held, as the kernel's retransmission does."""
        if not self.silent:
            return
        self.silent = False
        self.transport.__dict__.pop("write", None)
        if not self.transport.is_closing():
            self.transport.resume_reading()
            for data in self.held:
                self.transport.write(data)

    def reset(self) -> None:
        """Reset the connection, as if by the peer."""
        self.transport._force_close(ConnectionResetError(errno.ECONNRESET, "reset"))

    def _hold(self, data: bytes) -> None:
        if not self.held:
            loop = asyncio.get_running_loop()
            loop.call_later(UNACKNOWLEDGED_S, self._time_out)
        self.held.append(bytes(data))

    def _time_out(self) -> None:
        if self.silent and self.held and not self.transport.is_closing():
            self.transport._force_close(OSError(errno.ETIMEDOUT, "timed out"))


class CutLoop(ramppin.clock.ClockLoop):
    """An event loop whose connections to backend servers can be cut."""

    def __init__(self) -> None:
        super().__init__()
        self._path = Path(os.environ[CUT_VARIABLE])
        self._store_port = int(os.environ["RAMPPIN_TEST_STORE_PORT"])
        self._cut = Cut()
        self._links: set[Link] = set()
        self.call_soon(self._poll)

    async def create_connection(self, factory, host=None, port=None, **options):
        """Open a connection unless it is to a server that is cut off."""
        is_server = host == SERVER_HOST and port != self._store_port
        cut = self._cut if is_server and self._cut.concerns(port) else Cut()
        if cut.new == "hang":
            await asyncio.sleep(3600.0)
        if cut.new == "refused":
            raise ConnectionRefusedError(errno.ECONNREFUSED, "refused")
        made = await super().create_connection(factory, host, port, **options)
        if is_server:
            link = Link(made[0], port)
            self._links.add(link)
            if cut.new == "reset":
                made[0].write = lambda data: None
                self.call_later(RESET_AFTER_S, link.reset)
        return made

    def _poll(self) -> None:
        self.call_later(POLL_S, self._poll)
        self._links = {s for s in self._links if not s.transport.is_closing()}
        try:
            cut = Cut(**json.loads(self._path.read_text()))
        except (OSError, ValueError):
            return
        if cut == self._cut:
            return
        self._cut = cut
        for link in self._links:
            link.heal()
            if not cut.concerns(link.port):
                continue
            if cut.open == "reset":
                link.reset()
            elif cut.open in ("silent", "one_way"):
                link.silence(swallow=cut.open == "silent")


if __name__ == "__main__":
    ramppin.clock.ClockLoop = CutLoop  # type: ignore[misc]
    sys.exit(main())
