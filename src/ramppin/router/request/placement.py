"""Requests to an allocator for a place on a backend server, and its decisions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class PlaceId:
    """Identity of a place: the VM that holds it and its number on that VM."""

    vm: str
    number: int


@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """A request for a place on one backend server of a pool.

    Attributes:
        place: identity of the requested place.
        chat: key of the chat; 0 for a request outside a chat.
        customer: the customer that sent the request.
        weight: relative share of the customer when requests compete for places.
        max_in_flight: limit of the customer's requests in the pool; 0 for no limit.
        wait_for_cached_s: maximum wait for the backend server that caches the chat.
        max_wait_s: maximum wait for a place on any backend server.
        priority: order among one customer's waiting requests; higher goes first.
        returning: whether an earlier request of the chat was answered.
        exclude: backend servers on which an attempt of this request failed.
        failure_domains: failure domains to choose from; empty for all.
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
    """Why the allocator chose a backend server, or refused a place."""

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
    """A granted place on a backend server.

    Attributes:
        place: identity of the place, copied from the request.
        backend_server: the backend server to send the request to.
        reason: why this backend server was chosen.
        load: requests on the backend server, including this one.
        cap: maximum number of requests on the backend server at present.
        total: requests in the pool, including this one.
        members: number of backend servers over which the mean load is taken.
        waited_s: time that the request waited, in seconds.
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
    """A refused place; the request fails without further waiting.

    Attributes:
        place: identity of the place, copied from the request.
        reason: why no place was granted.
        retry_after_s: seconds after which the caller may retry.
    """

    place: PlaceId
    reason: Reason
    retry_after_s: float


Decision = Grant | Refusal
