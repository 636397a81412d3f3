"""Claims: which VM may run a request that must run at most once.

The log is the arbiter. The claim with the lowest offset for a key wins, and
only its holder may run the request. Keys have an age, so that claims can be
evicted: a key older than the window is refused.

A synchronous state machine; wall-clock times are in seconds since the epoch,
and clocks are assumed to differ by at most :data:`CLOCK_SKEW_S`.
"""

from __future__ import annotations

import uuid
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import StrEnum

import xxhash
from pydantic import BaseModel, ConfigDict, ValidationError

CLOCK_SKEW_S = 5.0
"""Largest tolerated difference between wall clocks of VMs and callers."""


class ClaimItem(BaseModel):
    """A claim of one key.

    Attributes:
        key: hash of customer, service and key.
        digest: hash of the request; a key identifies one request only.
        issued: creation time of the key, in seconds since the epoch.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    key: str
    digest: str
    issued: float


class ClaimRecord(BaseModel):
    """Claims that one VM appended together.

    Attributes:
        vm: the VM that claims the keys.
        run: number of the run of its process.
        number: number of the append, unique in the run.
        at: creation time of the record, in seconds since the epoch.
        items: the claims.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    vm: str
    run: int
    number: int
    at: float
    items: tuple[ClaimItem, ...]


@dataclass(frozen=True, slots=True)
class Claim:
    """The claim that won a key.

    Attributes:
        key: hash of customer, service and key.
        digest: hash of the request.
        issued: creation time of the key.
        vm: the holder.
        run: number of the run of the holder's process.
        offset: offset of its record in the log.
    """

    key: str
    digest: str
    issued: float
    vm: str
    run: int
    offset: int


def hash_claim_key(customer: str, service: str, key: str) -> str:
    """Return the hash under which the log stores a key."""
    return xxhash.xxh3_128_hexdigest(f"{customer}\0{service}\0{key}".encode())


def hash_request(method: str, path: str, body: bytes) -> str:
    """Return the digest that is compared for requests with the same key."""
    return xxhash.xxh3_64_hexdigest(f"{method}\0{path}\0".encode() + body)


def read_issue_time(key: str) -> float | None:
    """Return the creation time in a UUID of version 7, or None for other keys."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return (parsed.int >> 80) / 1000.0


class ClaimTable:
    """The claims of all keys that may be used again.

    Args:
        window_s: maximum age of a key.

    .. versionadded:: 0.1
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.known_from = float("-inf")
        self.invalid = 0
        self._lacks_start = False
        self._claims: dict[str, Claim] = {}
        self._by_age: deque[tuple[float, str]] = deque()

    def __len__(self) -> int:
        return len(self._claims)

    def note_trimmed(self, first_record: object) -> None:
        """Record that the log was trimmed: claims before this record are unknown.

        If it can't be decoded, those before the time at which it is applied are.
        """
        try:
            record = ClaimRecord.model_validate(first_record)
        except ValidationError:
            self._lacks_start = True
            return
        self.known_from = max(self.known_from, record.at + CLOCK_SKEW_S)

    def apply(self, offset: int, value: object, now: float) -> list[Claim]:
        """Apply a record and return the claims in it that won.

        Args:
            offset: the record's offset in the log.
            value: the record.
            now: wall-clock time, to evict claims past the window.
        """
        self._evict_expired(now)
        if self._lacks_start:
            self._lacks_start = False
            self.known_from = max(self.known_from, now + CLOCK_SKEW_S)
        try:
            record = ClaimRecord.model_validate(value)
        except ValidationError:
            self.invalid += 1
            return []
        won = []
        for item in record.items:
            if item.key in self._claims:
                continue
            claim = Claim(
                item.key, item.digest, item.issued, record.vm, record.run, offset
            )
            self._claims[item.key] = claim
            self._by_age.append((item.issued, item.key))
            won.append(claim)
        return won

    def find(self, key: str) -> Claim | None:
        """Return the claim of a key, or None."""
        return self._claims.get(key)

    def is_too_old(self, issued: float, now: float) -> bool:
        """Return whether a key's claim might have been evicted or trimmed."""
        oldest = max(now - self.window_s + CLOCK_SKEW_S, self.known_from)
        return issued < oldest

    def is_from_future(self, issued: float, now: float) -> bool:
        """Return whether a key's creation time is in the future."""
        return issued > now + CLOCK_SKEW_S

    def _evict_expired(self, now: float) -> None:
        limit = now - self.window_s - 2 * CLOCK_SKEW_S
        while self._by_age and self._by_age[0][0] < limit:
            _, key = self._by_age.popleft()
            self._claims.pop(key, None)


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The answer to a request that ran, stored for repeated requests.

    Attributes:
        status: the HTTP status.
        headers: the headers that are sent to a repeated request too.
        body: the complete body; None if it is not kept.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class ClaimState(StrEnum):
    """State of a claim at its holder.

    ``IDLE``: won, no byte sent. ``TAKEN``: a request of this VM runs under it.
    ``RAN``: answered. ``UNKNOWN``: sent, but the answer was lost. ``GIVEN``:
    handed over to a request of another VM.
    """

    IDLE = "idle"
    TAKEN = "taken"
    RAN = "ran"
    UNKNOWN = "unknown"
    GIVEN = "given"


@dataclass(slots=True)
class HeldClaim:
    """A claim that this VM holds.

    Attributes:
        key: hash of customer, service and key.
        state: its state.
        answer: the stored answer, once the request ran.
        taker: the request that took it or to which it was handed over.
    """

    key: str
    state: ClaimState = ClaimState.IDLE
    answer: StoredAnswer | None = None
    taker: str = ""

    @property
    def running(self) -> bool:
        """Whether a request of this VM runs under it now."""
        return self.state is ClaimState.TAKEN


@dataclass(slots=True)
class HeldClaims:
    """The claims that this VM holds, and the answers that it stores.

    Attributes:
        max_bytes: limit of the stored bodies in bytes; the bodies of the
            earliest claims are evicted first.
    """

    max_bytes: int = 8 * 1024 * 1024
    _held: OrderedDict[str, HeldClaim] = field(default_factory=OrderedDict)
    _bytes: int = 0

    def __len__(self) -> int:
        return len(self._held)

    def add(self, key: str) -> HeldClaim:
        """Add a claim that this VM holds; an existing one stays unchanged."""
        return self._held.setdefault(key, HeldClaim(key))

    def find(self, key: str) -> HeldClaim | None:
        """Return a claim that this VM holds, or None."""
        return self._held.get(key)

    def take(self, key: str, taker: str) -> bool:
        """Take an idle claim for a request of this VM; return whether it was idle."""
        held = self._held.get(key)
        if held is None or held.state is not ClaimState.IDLE:
            return False
        held.state = ClaimState.TAKEN
        held.taker = taker
        return True

    def adopt(self, key: str, taker: str) -> None:
        """Add a claim that another VM handed over to a request, as taken."""
        self._held[key] = HeldClaim(key, ClaimState.TAKEN, taker=taker)

    def put_back(self, key: str) -> None:
        """Return a taken claim to idle, as its request sent no byte."""
        held = self._held[key]
        if held.state is ClaimState.TAKEN:
            held.state = ClaimState.IDLE

    def finish(self, key: str, answer: StoredAnswer | None) -> None:
        """Record that a claim's request ran, or may have run if ``answer`` is None."""
        held = self._held[key]
        held.state = ClaimState.RAN if answer else ClaimState.UNKNOWN
        held.answer = answer
        self._bytes += len(answer.body or b"") if answer else 0
        self._evict_bodies()

    def hand_over(self, key: str, taker: str) -> bool:
        """Hand over a claim whose request was not sent to a request of another VM.

        The same taker may repeat the call, as the reply may be lost; any other
        taker is refused. Returns whether the taker may run the request.
        """
        held = self._held.get(key)
        if held is None:
            return False
        if held.state is ClaimState.GIVEN:
            return held.taker == taker
        if held.state is not ClaimState.IDLE:
            return False
        held.state = ClaimState.GIVEN
        held.taker = taker
        return True

    def _evict_bodies(self) -> None:
        for held in self._held.values():
            if self._bytes <= self.max_bytes:
                return
            if held.answer and held.answer.body:
                self._bytes -= len(held.answer.body)
                held.answer = StoredAnswer(
                    held.answer.status, held.answer.headers, None
                )
