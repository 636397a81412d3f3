"""Reports what one caller's connection holds to the memory budget of the process.

Owns the connection's holding; :mod:`ramppin.gateway.process.memory` decides. A
connection has one only while the process has a budget.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from abc import ABC, abstractmethod
from collections.abc import Callable

from ramppin.gateway.connection.httpwire import Headers
from ramppin.gateway.process.memory import (
    FREE_BYTES,
    Holding,
    MemoryBudget,
    MemoryHolder,
    Peer,
)

LINGER_NEVER = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket resets the connection and discards
what the kernel has buffered."""

LINGER_OFF = struct.pack("ii", 0, 0)
"""Value of SO_LINGER with which the kernel sends the rest after the close."""


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Let the transport's socket reset the connection when it is closed."""
    raw = transport.get_extra_info("socket")
    if raw is not None:
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NEVER)


def end_on_close(transport: asyncio.BaseTransport) -> None:
    """Let the transport's socket send what it holds, and end in order, when closed."""
    raw = transport.get_extra_info("socket")
    if raw is not None:
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)


class SendingRequest(ABC):
    """A request that is being sent to a server."""

    @abstractmethod
    def count_unsent(self) -> int:
        """Return the bytes that the server has not accepted."""

    @abstractmethod
    def fail_unread(self) -> None:
        """Fail because the server does not read the request."""


class HeldMemory(MemoryHolder):
    """Memory held by one caller's connection.

    Args:
        budget: the budget of the process.
        transport: the caller's connection.
        set_paused: pauses or resumes reading the answer from the server.
        abort: aborts the caller's connection and its request.

    .. versionadded:: 0.4
    """

    def __init__(
        self,
        budget: MemoryBudget,
        transport: asyncio.Transport,
        set_paused: Callable[[bool], None],
        abort: Callable[[], None],
    ) -> None:
        self._budget = budget
        self._transport = transport
        self._set_paused = set_paused
        self._abort = abort
        self._loop = asyncio.get_running_loop()
        self._holding = Holding(self)
        self._sending: SendingRequest | None = None
        self._headers: Headers = []
        self._released = False
        # The transport then reports each time that the buffer has become empty.
        transport.set_write_buffer_limits(high=0)

    # the caller's connection

    @property
    def may_start_next(self) -> bool:
        """Whether the caller has read enough for its next request to start."""
        return self._holding.to_caller.size <= FREE_BYTES

    def may_accept_body(self, size: int, more: int) -> bool:
        """Return whether a request body may be read; see :class:`MemoryBudget`."""
        return self._budget.may_accept_body(size, more)

    def add_request(self, size: int) -> None:
        """Count bytes of a request; a negative size frees them."""
        self._holding.request_bytes += size
        self._update()

    def start_answer(self, headers: Headers) -> None:
        """Start to count the answer to the next request."""
        self._headers = headers
        self._holding.answer_bytes = 0
        self._holding.paused = False

    def note_written(self, size: int) -> None:
        """Count bytes that were written to the caller; pause its answer if needed."""
        holding = self._holding
        buffered = self._transport.get_write_buffer_size()
        if buffered == 0 and holding.to_caller.size == 0:
            return
        now = self._loop.time()
        holding.to_caller.note(buffered, now, added=size)
        self._update()
        self._budget.enforce(now)
        if not holding.paused and self._budget.should_pause(holding):
            holding.paused = True
            self._budget.note_paused()
            self._set_paused(True)

    def note_drained(self) -> None:
        """Record that the caller has accepted everything; resume its answer."""
        self._holding.to_caller.note(0, self._loop.time())
        self._update()
        self._resume()

    def release(self) -> None:
        """Stop counting: the connection has ended."""
        now, holding = self._loop.time(), self._holding
        self._released = True
        holding.request_bytes = holding.buffered_bytes = 0
        holding.to_caller.note(0, now)
        holding.to_server.note(0, now)
        self._budget.remove(holding)

    # the request's server

    def start_sending(self, request: SendingRequest) -> None:
        """Count what the server has not accepted of a request."""
        self._sending = request
        if self._holding.paused:
            # The last attempt was paused; this one is not.
            self._holding.paused = False
            self._set_paused(False)
        self._holding.to_server.note(request.count_unsent(), self._loop.time())
        self._update()

    def end_sending(self) -> None:
        """Stop counting for the server."""
        self._sending = None
        self._holding.to_server.note(0, self._loop.time())
        self._update()

    def note_received(self, size: int) -> None:
        """Count bytes of the answer that were received from the server."""
        self._holding.answer_bytes += size

    def set_buffered(self, size: int) -> None:
        """Record the size of the part of the answer that is not yet forwarded."""
        has_grown = size > self._holding.buffered_bytes
        if size == self._holding.buffered_bytes:
            return
        self._holding.buffered_bytes = size
        self._update()
        if has_grown:
            # Not while memory is freed, which the budget itself does when it aborts.
            self._budget.enforce(self._loop.time())

    @property
    def is_over_allowance(self) -> bool:
        """Whether the connection holds more than it may."""
        return self._budget.is_over_allowance(self._holding)

    # MemoryHolder

    @property
    def request_headers(self) -> Headers:
        """Headers of the request in flight, or else of the last one."""
        return self._headers

    def measure_buffers(self, now: float) -> None:
        """Record the sizes of the write buffers; resume reading if that is allowed."""
        if self._released:
            return
        holding = self._holding
        holding.to_caller.note(self._transport.get_write_buffer_size(), now)
        if self._sending is not None:
            holding.to_server.note(self._sending.count_unsent(), now)
        self._update()
        self._resume()

    def abort_peer(self, peer: Peer) -> None:
        """Abort the connection to a peer and free the memory that is held for it."""
        if peer is Peer.CALLER:
            self._abort()
            self.release()
        elif self._sending is not None:
            self._sending.fail_unread()

    # internal

    def _update(self) -> None:
        if not self._released:
            self._budget.update(self._holding)

    def _resume(self) -> None:
        holding = self._holding
        if holding.paused and self._budget.may_resume(holding):
            holding.paused = False
            self._set_paused(False)
