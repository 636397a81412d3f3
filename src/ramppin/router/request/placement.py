"""The messages of placement: what is asked of an allocator and answered."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class PlaceId:
    """A place's identity: the VM that holds it, and its number there."""

    vm: str
    number: int


@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """A request for a place on one backend server of a pool.

    Attributes:
        place: its identity.
        chat: the chat's key; 0 for a request that belongs to no chat.
        customer: who asks.
        weight: the customer's share in a contest.
        max_in_flight: the customer's limit in the pool; 0 for none.
        wait_for_cached_s: longest wait for the chat's own backend server.
        max_wait_s: longest wait for any place.
        priority: of waiting requests of one customer, higher goes first.
        returning: whether the chat has been here before.
        exclude: backend servers that this request has failed on.
        failure_domains: only these; empty for any.
    """

    place: PlaceId
    chat: int
    customer: str
    weight: float = 1.0
    max_in_flight: int = 0
    wait_for_cached_s: float = 0.0
    max_wait_s: float = 5.0
    priority: int = 0
    returning: bool = False
    exclude: tuple[str, ...] = ()
    failure_domains: tuple[str, ...] = ()


class Reason(StrEnum):
    """Why a place was granted where it was, or refused."""

    FIRST_CHOICE = "first_choice"
    HOME = "home"
    SPILLED = "spilled"
    LESSER_OF_TWO = "lesser_of_two"
    RETRIED = "retried"
    QUEUE_FULL = "queue_full"
    WAIT_TOO_LONG = "wait_too_long"
    WAIT_ENDED = "wait_ended"
    NO_BACKEND_SERVER = "no_backend_server"


@dataclass(frozen=True, slots=True)
class Grant:
    """A place on a backend server.

    Attributes:
        place: the place's identity, as asked for.
        backend_server: where the request may go.
        reason: why there.
        load: requests on the backend server, this one included.
        cap: most it may hold now.
        total: requests in the pool, this one included.
        members: backend servers that the mean is taken over.
        waited_s: how long the request waited.
    """

    place: PlaceId
    backend_server: str
    reason: Reason
    load: int
    cap: int
    total: int
    members: int
    waited_s: float


@dataclass(frozen=True, slots=True)
class Refusal:
    """No place: the request is given up on at once.

    Attributes:
        place: the place's identity, as asked for.
        reason: why.
        retry_after_s: when it is worth coming back.
    """

    place: PlaceId
    reason: Reason
    retry_after_s: float


Decision = Grant | Refusal
