"""The admission queue: the requests that wait at this VM, and their order.

Load pattern: more requests than slots for seconds, so that the queue fills with less
urgent requests. The queue is bounded for the process; a request for which there is no
place displaces a less urgent one. No I/O.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ramppin.gateway.process.overload.fairness import FairShares, measure_share
from ramppin.gateway.process.overload.rules import OverloadRules
from ramppin.gateway.process.overload.ticket import RANKS, Ticket


class _ServiceRoom:
    """Waiting requests of one service, by rank and in the order of their arrival."""

    __slots__ = ("by_rank",)

    def __init__(self) -> None:
        self.by_rank: tuple[dict[Ticket, None], ...] = tuple({} for _ in range(RANKS))


@dataclass(frozen=True, slots=True)
class Place:
    """Place of a newcomer in the order of its service.

    Attributes:
        ahead: waiting requests ahead of it.
        shares_ahead: by customer, the shares by which its requests that arrive later
            may still start before the newcomer. It is infinite where nothing but
            their arrivals bounds them.

    .. versionadded:: 0.4
    """

    ahead: int
    shares_ahead: dict[str, float]


class WaitingRoom:
    """The admission queue of the process.

    Within a service the order is: rank; fair by customer; requests that can still meet
    their target or have returned before those that are late; the earliest end. Fairness
    goes before lateness, so that a quiet customer's request that is late is not put
    behind those of the customer that causes the load.

    Args:
        rules: settings of overload control.
        usual_wait_s: returns a service's usual wait for a first byte, in seconds.

    Attributes:
        count: number of waiting requests.
        size_bytes: size of the waiting requests in bytes.

    .. versionadded:: 0.4
    """

    def __init__(
        self, rules: OverloadRules, usual_wait_s: Callable[[str], float]
    ) -> None:
        self.count = 0
        self.size_bytes = 0
        self._rules = rules
        self._usual_wait_s = usual_wait_s
        self._rooms: dict[str, _ServiceRoom] = {}
        self._shares: dict[str, FairShares] = {}

    def has_waiting(self, service: str) -> bool:
        """Return whether requests of a service wait."""
        return service in self._rooms

    def list_services(self) -> list[str]:
        """Return the services with waiting requests."""
        return list(self._rooms)

    def list_waiting(self, service: str) -> list[Ticket]:
        """Return the waiting requests of a service by rank and arrival."""
        room = self._rooms.get(service)
        if room is None:
            return []
        return [ticket for tickets in room.by_rank for ticket in tickets]

    def count_by_rank(self, service: str) -> tuple[int, ...]:
        """Return the number of waiting requests of a service, 10 values."""
        room = self._rooms.get(service)
        if room is None:
            return (0,) * RANKS
        return tuple(len(tickets) for tickets in room.by_rank)

    def activate(self, ticket: Ticket, now: float) -> None:
        """Start the counter of a newcomer's customer, if none of its requests wait."""
        room = self._rooms.get(ticket.service)
        if room is None or not self._rules.fair_shares:
            return
        customers = {other.customer for other in room.by_rank[ticket.rank]}
        if customers and ticket.customer not in customers:
            shares = self._find_shares(ticket.service)
            shares.activate(ticket.rank, ticket.customer, customers, now)

    def add(self, ticket: Ticket) -> None:
        """Add a request; :meth:`choose_displaced` has found that it fits."""
        room = self._rooms.get(ticket.service)
        if room is None:
            room = self._rooms[ticket.service] = _ServiceRoom()
        room.by_rank[ticket.rank][ticket] = None
        self.count += 1
        self.size_bytes += ticket.size_bytes

    def remove(self, ticket: Ticket) -> bool:
        """Remove a request; return whether it was waiting."""
        room = self._rooms.get(ticket.service)
        if room is None or ticket not in room.by_rank[ticket.rank]:
            return False
        del room.by_rank[ticket.rank][ticket]
        self.count -= 1
        self.size_bytes -= ticket.size_bytes
        if not any(room.by_rank):
            del self._rooms[ticket.service]
        return True

    def charge(self, ticket: Ticket, now: float) -> None:
        """Count the work of a request that starts against its customer."""
        if self._rules.fair_shares:
            shares = self._find_shares(ticket.service)
            shares.charge(ticket.rank, ticket.customer, ticket.work, ticket.weight, now)

    def find_first(self, service: str, now: float) -> Ticket | None:
        """Return the request of a service that is next to start, or None."""
        room = self._rooms.get(service)
        if room is None:
            return None
        tickets = next(tickets for tickets in room.by_rank if tickets)
        counters = self._measure_counters(service, tickets, now)
        on_time_until = now + self._usual_wait_s(service)
        return min(
            tickets,
            key=lambda ticket: (
                counters[ticket.customer],
                _is_late(ticket, on_time_until),
                ticket.ends_at,
            ),
        )

    def is_late(self, ticket: Ticket, now: float) -> bool:
        """Return whether a request is put behind those of its customer on time."""
        return _is_late(ticket, now + self._usual_wait_s(ticket.service))

    def find_first_rank(self, service: str) -> int | None:
        """Return the most urgent rank with waiting requests of a service, or None."""
        room = self._rooms.get(service)
        if room is None:
            return None
        return next(rank for rank, tickets in enumerate(room.by_rank) if tickets)

    def list_order(
        self, service: str, rank: int, now: float, newcomer: Ticket | None = None
    ) -> list[Ticket]:
        """Return the requests of a service and rank in the order of their starts.

        Args:
            service: name of the service.
            rank: the rank.
            now: current event-loop time.
            newcomer: a request that is not in the queue and is listed with it.
        """
        room = self._rooms.get(service)
        tickets = list(room.by_rank[rank]) if room is not None else []
        if newcomer is not None:
            tickets.append(newcomer)
        if len(tickets) > 1:
            counters = self._measure_counters(service, tickets, now)
            on_time_until = now + self._usual_wait_s(service)
            keys = self._compute_keys(tickets, counters, on_time_until)
            tickets.sort(key=keys.__getitem__)
        return tickets

    def find_place(
        self,
        newcomer: Ticket,
        others: Iterable[str],
        now: float,
        *,
        is_late: bool = False,
    ) -> Place:
        """Return the place of a newcomer that is not in the queue.

        Args:
            newcomer: the request.
            others: customers whose requests may arrive while it waits.
            now: current event-loop time.
            is_late: whether it is placed as if it were already late.
        """
        room = self._rooms.get(newcomer.service)
        ahead = 0
        tickets: list[Ticket] = []
        if room is not None:
            ahead = sum(len(tickets) for tickets in room.by_rank[: newcomer.rank])
            tickets.extend(room.by_rank[newcomer.rank])
        on_time_until = now + self._usual_wait_s(newcomer.service)
        is_late = is_late or _is_late(newcomer, on_time_until)
        counters = self._measure_counters(newcomer.service, [*tickets, newcomer], now)
        lowest = min(counters.values())
        late = {newcomer} if is_late else ()
        keys = self._compute_keys([*tickets, newcomer], counters, on_time_until, late)
        key = keys[newcomer]
        ahead += sum(keys[ticket] <= key for ticket in tickets)
        shares_ahead: dict[str, float] = {}
        for customer in others:
            if customer == newcomer.customer or not self._rules.fair_shares:
                # Fairness doesn't bound them: those that have returned go before it,
                # and before a late one those on time.
                shares_ahead[customer] = 0.0 if newcomer.returned else math.inf
                continue
            counter = counters.get(customer)
            if counter is None:
                counter = self._measure_counter(newcomer, customer, now)
            shares_ahead[customer] = max(0.0, key[0] - max(lowest, counter))
        return Place(ahead, shares_ahead)

    def _compute_keys(
        self,
        tickets: list[Ticket],
        counters: dict[str, float],
        on_time_until: float,
        late: Iterable[Ticket] = (),
    ) -> dict[Ticket, tuple[float, bool, float]]:
        """Return the keys by which the requests of one rank are ordered.

        A customer's counter grows with each of its requests that starts, so its later
        requests are placed by the counter that they will find. ``counters`` then holds
        those after all these starts.
        """
        ends = sorted(
            (_is_late(ticket, on_time_until) or ticket in late, ticket.ends_at, n)
            for n, ticket in enumerate(tickets)
        )
        is_fair = self._rules.fair_shares
        keys = {}
        for is_late, ends_at, n in ends:
            ticket = tickets[n]
            counter = counters[ticket.customer]
            keys[ticket] = counter, is_late, ends_at
            if is_fair:
                counters[ticket.customer] = counter + measure_share(
                    ticket.work, ticket.weight
                )
        return keys

    def choose_displaced(self, newcomer: Ticket, now: float) -> list[Ticket] | None:
        """Return the requests that make way for a newcomer; None if it is refused.

        Less urgent requests make way first, the last one in the order before others.
        Then the last request of the customer with the most use at the newcomer's rank
        is chosen, which may be the newcomer. Several are chosen only if the newcomer
        is larger than the first.
        """
        displaced: list[Ticket] = []
        if self._has_space(newcomer, displaced):
            return displaced
        if newcomer.size_bytes > self._rules.max_waiting_bytes:
            return None
        for rank in range(RANKS - 1, newcomer.rank, -1):
            orders = self._list_orders(rank, now)
            while orders:
                displaced.append(_take_last(orders))
                if self._has_space(newcomer, displaced):
                    return displaced
        orders = self._list_orders(newcomer.rank, now)
        orders[newcomer.service] = self.list_order(
            newcomer.service, newcomer.rank, now, newcomer
        )
        while not self._has_space(newcomer, displaced):
            chosen = self._take_heaviest(orders, newcomer, now)
            if chosen is newcomer:
                return None
            displaced.append(chosen)
        return displaced

    def _has_space(self, newcomer: Ticket, displaced: list[Ticket]) -> bool:
        count = self.count + 1 - len(displaced)
        freed_bytes = sum(ticket.size_bytes for ticket in displaced)
        size_bytes = self.size_bytes + newcomer.size_bytes - freed_bytes
        return (
            count <= self._rules.max_waiting
            and size_bytes <= self._rules.max_waiting_bytes
        )

    def _list_orders(self, rank: int, now: float) -> dict[str, list[Ticket]]:
        """Return the order of each service with requests of a rank."""
        orders = {
            service: self.list_order(service, rank, now) for service in self._rooms
        }
        return {service: order for service, order in orders.items() if order}

    def _take_heaviest(
        self, orders: dict[str, list[Ticket]], newcomer: Ticket, now: float
    ) -> Ticket:
        """Remove and return the last request of the customer with the most use."""
        service = _find_longest(orders, newcomer.service)
        order = orders[service]
        chosen = order[-1]
        if self._rules.fair_shares:
            shares = self._find_shares(service)
            uses: dict[str, float] = {}
            for ticket in order:
                customer = ticket.customer
                if customer not in uses:
                    uses[customer] = shares.measure_use(ticket.rank, customer, now)
                uses[customer] += measure_share(ticket.work, ticket.weight)
            heaviest = max(uses, key=uses.__getitem__)
            chosen = next(
                ticket for ticket in reversed(order) if ticket.customer == heaviest
            )
        order.remove(chosen)
        if not order:
            del orders[service]
        return chosen

    def _measure_counters(
        self, service: str, tickets: Iterable[Ticket], now: float
    ) -> dict[str, float]:
        """Return the counters of the customers of some requests of the same rank."""
        shares = self._shares.get(service)
        counters: dict[str, float] = {}
        for ticket in tickets:
            customer = ticket.customer
            if customer not in counters:
                counters[customer] = (
                    0.0
                    if shares is None
                    else shares.measure_counter(ticket.rank, customer, now)
                )
        return counters

    def _measure_counter(self, newcomer: Ticket, customer: str, now: float) -> float:
        """Return a customer's counter at the rank of a newcomer."""
        shares = self._shares.get(newcomer.service)
        return (
            0.0
            if shares is None
            else shares.measure_counter(newcomer.rank, customer, now)
        )

    def _find_shares(self, service: str) -> FairShares:
        shares = self._shares.get(service)
        if shares is None:
            shares = self._shares[service] = FairShares()
        return shares


def _is_late(ticket: Ticket, on_time_until: float) -> bool:
    """Return whether a request that starts now misses its target for the first time.

    A request that has returned is not put behind: it was refused once already.
    """
    if ticket.returned or ticket.target_at is None:
        return False
    return ticket.target_at < on_time_until


def _find_longest(orders: dict[str, list[Ticket]], preferred: str) -> str:
    """Return the service with the most requests: none may fill the queue for others."""
    return max(orders, key=lambda service: (len(orders[service]), service == preferred))


def _take_last(orders: dict[str, list[Ticket]]) -> Ticket:
    """Remove and return the last request of the service with the most requests."""
    service = _find_longest(orders, "")
    ticket = orders[service].pop()
    if not orders[service]:
        del orders[service]
    return ticket
