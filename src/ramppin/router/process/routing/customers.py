"""Requests of each customer in flight and waiting at one pool.

Holds counts only for customers that have requests there, and the sum of their
weights. The allocator must report each change. No I/O.
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
        active_weight: sum of their weights.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self.active_weight = 0.0
        self._customers: dict[str, _Customer] = {}

    def get_in_flight(self, name: str) -> int:
        """Return the number of places that a customer holds."""
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
        """Change a customer's counts; remove the customer when both are zero.

        Args:
            name: name of the customer.
            in_flight: change of the number of held places.
            waiting: change of the number of waiting requests.
            weight: the new weight; None to keep the current one.
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
