"""What customers have in flight and waiting at one pool.

Owns the counts of the customers that have anything there, and their weights together.
Relies on the allocator, which tells each change. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class _Customer:
    in_flight: int = 0
    waiting: int = 0
    weight: float = 1.0


class CustomerCounts:
    """Counts of customers that have requests at a pool.

    Attributes:
        active_weight: weights of all of them together.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self.active_weight = 0.0
        self._customers: dict[str, _Customer] = {}

    def get_in_flight(self, name: str) -> int:
        """Return how many places a customer holds."""
        customer = self._customers.get(name)
        return customer.in_flight if customer else 0

    def add(
        self,
        name: str,
        *,
        in_flight: int = 0,
        waiting: int = 0,
        weight: float | None = None,
    ) -> None:
        """Change a customer's counts; forget it once it has nothing left.

        Args:
            name: the customer's.
            in_flight: places more, or less.
            waiting: requests in the queue more, or less.
            weight: its weight from now on; None to leave it.
        """
        customer = self._customers.get(name)
        if customer is None:
            customer = self._customers[name] = _Customer(weight=weight or 1.0)
            self.active_weight += customer.weight
        elif weight is not None and weight != customer.weight:
            self.active_weight += weight - customer.weight
            customer.weight = weight
        customer.in_flight += in_flight
        customer.waiting += waiting
        if not customer.in_flight and not customer.waiting:
            del self._customers[name]
            self.active_weight -= customer.weight
