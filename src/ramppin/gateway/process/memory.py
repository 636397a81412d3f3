"""Memory budget of the process for buffered requests and answers.

Load pattern: 400 to 1,000 callers that read 1 kB per second, with answers of 200 kB and
1 MB, at a VM with 200 MB; servers that stop reading request bodies.

Decides whose answers are read from their servers, which request bodies are accepted,
and which connection is aborted when the budget is exceeded. The connections report
their sizes and carry the decisions out (:mod:`ramppin.gateway.connection.heldmemory`).
"""

from __future__ import annotations

import heapq
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from ramppin.gateway.connection.httpwire import Headers

BUDGET_SHARE = 0.4
"""Fraction of the memory limit for the process and its buffers. Resident memory must
stay under 0.6: the allocator returns freed memory late."""

PROCESS_BYTES = 30_000_000
"""Bytes that the process itself uses, without buffers."""

MIN_BUDGET_BYTES = 16_000_000
"""Budget of processes with a small memory limit."""

FREE_BYTES = 65_536
"""Bytes that each connection may hold in any case."""

MAX_ALLOWANCE_BYTES = 262_144
"""Bytes that a connection may hold at most before its answer is paused: as many as are
buffered of an answer before it is forwarded. More would only fill the memory that later
connections need."""

PAUSE_SHARE = 0.8
"""Fraction of the budget from which on a connection's answer is read only up to
FREE_BYTES ahead of its caller."""

REFUSE_SHARE = 0.9
"""Fraction of the budget that request bodies over FREE_BYTES may fill."""

RESUME_SHARE = 0.5
"""Fraction of its allowance to which a connection must drain before its answer is read
again."""

PRIOR_BYTES = 65_536
"""Bytes that a peer is assumed to have accepted before its buffer was first seen."""

PRIOR_S = 0.25
"""Seconds in which it is assumed to have done so. Without these assumptions a buffer
that was filled a moment ago would count as that of the slowest reader."""

TRIM_SHARE = 0.5
"""Fraction of the budget from which on freed memory is returned to the system at each
sweep. This takes up to 2 ms. Without it, gaps in the heap took 18 MB beside 49 MB of
buffers for 1,000 slow readers."""

RELEASE_SHARE = 0.98
"""Fraction of the budget down to which connections are aborted. Aborting a few at once
costs less time than a search for each."""

SEARCH_STEP_SHARE = 0.02
"""Fraction of the budget by which the memory must grow before connections to abort are
searched again, if a search found too few. Each write would search all connections."""

CHECKS_PER_SWEEP = 256
"""Connections that one sweep measures, so that it never delays requests for long."""


def compute_budget_bytes(memory_limit_bytes: int) -> int:
    """Return the budget for buffers of a process with a memory limit."""
    share = int(memory_limit_bytes * BUDGET_SHARE) - PROCESS_BYTES
    return max(MIN_BUDGET_BYTES, share)


class Peer(Enum):
    """The side of a connection that reads too slowly."""

    CALLER = "caller"
    SERVER = "server"


class OutputBuffer:
    """A write buffer: its size, and the rate at which the peer accepts bytes.

    Attributes:
        size: bytes that the peer has not accepted.
        allocated: bytes of memory that the buffer occupies.
    """

    __slots__ = ("_accepted", "_since", "allocated", "size")

    def __init__(self) -> None:
        self.size = 0
        self.allocated = 0
        self._since = 0.0
        self._accepted = 0

    def note(self, size: int, now: float, *, added: int = 0) -> None:
        """Record the size.

        Args:
            size: current size in bytes.
            now: event-loop time.
            added: bytes written since the last call.
        """
        if self.size == 0:
            self._since = now
            self._accepted = 0
        else:
            self._accepted += max(0, self.size + added - size)
        self.size = size
        # asyncio's buffer is a bytearray, which shrinks once less than half is used.
        if size > self.allocated or size < self.allocated / 2:
            self.allocated = size

    def measure_age(self, now: float) -> float:
        """Return the seconds since the buffer was last empty."""
        return max(0.0, now - self._since) if self.size else 0.0

    def estimate_rate(self, now: float) -> float:
        """Return the bytes a second that the peer accepts."""
        accepted = self._accepted + PRIOR_BYTES
        return accepted / (self.measure_age(now) + PRIOR_S)


class MemoryHolder(ABC):
    """A caller's connection, which holds requests and answers in memory."""

    @property
    @abstractmethod
    def request_headers(self) -> Headers:
        """Headers of the request in flight, or else of the last one."""

    @abstractmethod
    def measure_buffers(self, now: float) -> None:
        """Record the sizes of the write buffers; resume reading if that is allowed."""

    @abstractmethod
    def abort_peer(self, peer: Peer) -> None:
        """Abort the connection to a peer and free the memory that is held for it."""


@dataclass(eq=False, slots=True)
class Holding:
    """Memory that one caller's connection holds, with the server of its request.

    Attributes:
        owner: the connection.
        request_bytes: requests that are received or announced and not yet answered.
        buffered_bytes: the answer's bytes that are not yet forwarded.
        answer_bytes: the answer's bytes that were received from the server.
        to_caller: write buffer of the connection to the caller.
        to_server: bytes of the request that the server has not accepted.
        paused: whether reading the answer from the server is paused.
        counted: bytes that the budget counts for this connection.
    """

    owner: MemoryHolder
    request_bytes: int = 0
    buffered_bytes: int = 0
    answer_bytes: int = 0
    to_caller: OutputBuffer = field(default_factory=OutputBuffer)
    to_server: OutputBuffer = field(default_factory=OutputBuffer)
    paused: bool = False
    counted: int = 0

    def measure(self) -> int:
        """Return the bytes held.

        Of a large request only a piece is in the write buffer to the server, in
        addition to the request itself.
        """
        sending = min(self.to_server.size, FREE_BYTES)
        written = self.to_caller.allocated
        return self.request_bytes + self.buffered_bytes + written + sending


@dataclass(frozen=True, slots=True)
class AbortedConnection:
    """A connection that was aborted because the budget was exceeded.

    Attributes:
        peer: the side that read too slowly.
        headers: headers of the request.
        held_bytes: bytes that the connection held.
        total_bytes: bytes that all connections held.
        budget_bytes: the budget.
        age_s: seconds since the peer had last read everything.
        rate: bytes a second that it accepted.
    """

    peer: Peer
    headers: Headers
    held_bytes: int
    total_bytes: int
    budget_bytes: int
    age_s: float
    rate: float


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A connection that may be aborted; the first in order is the slowest reader."""

    rate: float
    holding: Holding
    peer: Peer

    def __lt__(self, other: _Candidate) -> bool:
        if self.rate != other.rate:
            return self.rate < other.rate
        return self.holding.counted > other.holding.counted


class MemoryBudget:
    """Shares the budget of a process among the connections of its callers.

    Args:
        budget_bytes: the budget.
        note_paused: called when reading an answer is paused.
        note_aborted: called with each connection that was aborted.

    Attributes:
        budget_bytes: the budget.
        total_bytes: bytes that all connections hold.

    .. versionadded:: 0.4
    """

    def __init__(
        self,
        budget_bytes: int,
        *,
        note_paused: Callable[[], None] = lambda: None,
        note_aborted: Callable[[AbortedConnection], None] = lambda aborted: None,
    ) -> None:
        self.budget_bytes = budget_bytes
        self.total_bytes = 0
        self._note_paused = note_paused
        self._note_aborted = note_aborted
        # Dictionaries keep the order, by which sweeps take turns.
        self._large: dict[Holding, None] = {}
        self._draining: dict[Holding, None] = {}
        self._was_high = False
        self._search_above = budget_bytes

    # what connections hold

    def update(self, holding: Holding) -> None:
        """Count what a connection holds now."""
        held = holding.measure()
        self.total_bytes += held - holding.counted
        holding.counted = held
        _keep(self._large, holding, held > FREE_BYTES)
        is_draining = bool(holding.to_caller.size or holding.to_server.size)
        _keep(self._draining, holding, is_draining)

    def remove(self, holding: Holding) -> None:
        """Stop counting a connection that holds nothing any more."""
        self.total_bytes -= holding.counted
        holding.counted = 0
        self._large.pop(holding, None)
        self._draining.pop(holding, None)

    # decisions

    def compute_allowance(self) -> int:
        """Return the bytes that a connection may hold before its answer is paused.

        An equal share, but no more than what is left below PAUSE_SHARE: a few early
        connections must not use up what later ones need, which would abort some.
        """
        share = self.budget_bytes // max(1, len(self._large))
        left = int(self.budget_bytes * PAUSE_SHARE) - self.total_bytes
        return max(FREE_BYTES, min(share, left, MAX_ALLOWANCE_BYTES))

    def is_over_allowance(self, holding: Holding) -> bool:
        """Return whether a connection holds more than it may."""
        return holding.counted > self.compute_allowance()

    def should_pause(self, holding: Holding) -> bool:
        """Return whether reading the answer from the server must be paused.

        An answer of up to FREE_BYTES never is: servers cut off answers that are left
        unread.
        """
        if holding.answer_bytes <= FREE_BYTES or holding.to_caller.size == 0:
            return False
        return self.is_over_allowance(holding)

    def may_resume(self, holding: Holding) -> bool:
        """Return whether reading a paused answer may be resumed."""
        if holding.to_caller.size == 0:
            return True
        return holding.counted <= self.compute_allowance() * RESUME_SHARE

    def may_accept_body(self, size: int, more: int) -> bool:
        """Return whether a request body may be read.

        Args:
            size: its announced size, or that of the part which was received.
            more: bytes of it that are not counted yet.
        """
        if size <= FREE_BYTES:
            return True
        return self.total_bytes + more <= self.budget_bytes * REFUSE_SHARE

    def note_paused(self) -> None:
        """Count a pause."""
        self._note_paused()

    def enforce(self, now: float) -> None:
        """Abort the connections of the slowest readers if the budget is exceeded."""
        if self.total_bytes <= self.budget_bytes:
            self._search_above = self.budget_bytes
        if self.total_bytes <= self._search_above:
            return
        target = self.budget_bytes * RELEASE_SHARE
        candidates = self._list_candidates(now)
        measured: set[Holding] = set()
        while candidates and self.total_bytes > target:
            candidate = heapq.heappop(candidates)
            holding, peer = candidate.holding, candidate.peer
            if holding not in measured:
                # The peer may have read since the connection was last measured.
                measured.add(holding)
                holding.owner.measure_buffers(now)
                for again in _list_readers(holding, now):
                    if again.peer is peer:
                        heapq.heappush(candidates, again)
                continue
            self._abort(holding, peer, now)
        if self.total_bytes > self.budget_bytes:
            step = int(self.budget_bytes * SEARCH_STEP_SHARE)
            self._search_above = self.total_bytes + step

    def should_trim(self) -> bool:
        """Return whether freed memory should be returned to the system now.

        That is while much is held, and once afterwards.
        """
        was_high = self._was_high
        self._was_high = self.total_bytes > self.budget_bytes * TRIM_SHARE
        return self._was_high or was_high

    def sweep(self, now: float) -> None:
        """Measure connections whose peers have bytes to read, some at a time."""
        for holding in list(self._draining)[:CHECKS_PER_SWEEP]:
            self._draining.pop(holding, None)
            holding.owner.measure_buffers(now)
        self._search_above = self.budget_bytes
        self.enforce(now)

    def _list_candidates(self, now: float) -> list[_Candidate]:
        """Return the connections that may be aborted, as a heap."""
        found = [c for holding in self._large for c in _list_readers(holding, now)]
        heapq.heapify(found)
        return found

    def _abort(self, holding: Holding, peer: Peer, now: float) -> None:
        buffer = holding.to_caller if peer is Peer.CALLER else holding.to_server
        aborted = AbortedConnection(
            peer,
            holding.owner.request_headers,
            holding.counted,
            self.total_bytes,
            self.budget_bytes,
            buffer.measure_age(now),
            buffer.estimate_rate(now),
        )
        holding.owner.abort_peer(peer)
        # A connection that is not freed at once must not be chosen again.
        buffer.note(0, now)
        self.update(holding)
        self._note_aborted(aborted)


def _list_readers(holding: Holding, now: float) -> list[_Candidate]:
    """Return the peers of a connection that leave a large request or answer unread.

    Callers with an answer of up to FREE_BYTES are never aborted.
    """
    found = []
    if holding.to_caller.size and holding.answer_bytes > FREE_BYTES:
        rate = holding.to_caller.estimate_rate(now)
        found.append(_Candidate(rate, holding, Peer.CALLER))
    if holding.to_server.size and holding.request_bytes > FREE_BYTES:
        rate = holding.to_server.estimate_rate(now)
        found.append(_Candidate(rate, holding, Peer.SERVER))
    return found


def _keep(holdings: dict[Holding, None], holding: Holding, is_member: bool) -> None:
    """Add a holding to a collection or remove it."""
    if is_member:
        holdings.setdefault(holding)
    else:
        holdings.pop(holding, None)
