"""Weighted fair queueing of the requests that wait for places."""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterator
from dataclasses import dataclass, field

from ramppin.router.request.placement import PlaceId, PlaceRequest


@dataclass(slots=True)
class Waiter:
    """A request that waits for a place.

    Attributes:
        request: the waiting request.
        asked_at: time at which the place was requested.
        spill_at: time from which it may go to another backend server than its
            own.
        wait_deadline: time at which the request is refused.
        order: sort key among the customer's waiting requests.
    """

    request: PlaceRequest
    asked_at: float
    spill_at: float
    wait_deadline: float
    order: tuple[int, int] = (0, 0)


@dataclass(slots=True)
class _CustomerQueue:
    customer: str
    weight: float
    start: float
    waiters: list[Waiter] = field(default_factory=list)


class FairQueue:
    """Waiting requests, served by start-time fair queueing.

    Goyal, Vin and Cheng, "Start-time fair queueing", SIGCOMM 1996: each
    customer has a start tag that advances by ``1 / weight`` for each request
    served; the customer with the lowest tag is next. Within a customer, higher
    priority is served first, then older requests.

    .. versionadded:: 0.1
    """

    def __init__(self) -> None:
        self._queues: dict[str, _CustomerQueue] = {}
        self._waiters: dict[PlaceId, Waiter] = {}
        self._clock = 0.0
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def push(self, waiter: Waiter) -> None:
        """Add a waiter."""
        request = waiter.request
        queue = self._queues.get(request.customer)
        if queue is None:
            queue = _CustomerQueue(request.customer, request.weight, self._clock)
            self._queues[request.customer] = queue
        queue.weight = request.weight
        self._sequence += 1
        waiter.order = (-request.priority, self._sequence)
        insort(queue.waiters, waiter, key=lambda other: other.order)
        self._waiters[request.place] = waiter

    def remove(self, place: PlaceId) -> Waiter | None:
        """Remove and return a waiter without serving it; None if unknown."""
        waiter = self._waiters.pop(place, None)
        if waiter is None:
            return None
        queue = self._queues[waiter.request.customer]
        queue.waiters.remove(waiter)
        if not queue.waiters:
            del self._queues[queue.customer]
        return waiter

    def serve(self, waiter: Waiter) -> None:
        """Remove a waiter that got a place and advance its customer's tag."""
        queue = self._queues[waiter.request.customer]
        self._clock = max(self._clock, queue.start)
        queue.start += 1.0 / queue.weight
        self.remove(waiter.request.place)

    def find(self, place: PlaceId) -> Waiter | None:
        """Return the waiter for a place, or None."""
        return self._waiters.get(place)

    def list_in_order(self) -> Iterator[Waiter]:
        """Yield the waiters in serving order.

        The order holds until a waiter is served; call again after that.
        """
        for queue in sorted(self._queues.values(), key=lambda other: other.start):
            yield from list(queue.waiters)

    def list_by_vm(self, vm: str) -> list[Waiter]:
        """Return the waiters of one VM."""
        return [w for place, w in self._waiters.items() if place.vm == vm]

    def count(self, customer: str) -> int:
        """Return the number of waiting requests of a customer."""
        queue = self._queues.get(customer)
        return len(queue.waiters) if queue else 0

    def find_newest_of_longest(self) -> Waiter:
        """Return the newest waiter of the customer with the longest queue.

        Lengths are divided by the customers' weights. Raises ValueError when
        there are no waiters.
        """
        queue = max(
            self._queues.values(), key=lambda queue: len(queue.waiters) / queue.weight
        )
        return queue.waiters[-1]

    def compute_share(self, customer: str, weight: float) -> float:
        """Return a customer's share of the freed places, from 0 to 1."""
        others = sum(
            queue.weight
            for queue in self._queues.values()
            if queue.customer != customer
        )
        return weight / (others + weight)
