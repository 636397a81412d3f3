"""Gossip among VMs about their demand for services.

Load pattern: demand near or beyond a service's capacity at 72 to 360 VMs. Demand is
sent with messages that are sent anyway, and only while it matters: while the service
holds over half of its limit. Where servers report no load, VMs know what a service
holds from these messages alone, and they send them, less often, while any VM has
demand. Nothing is sent while overload control is disabled. No I/O.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence

from ramppin.gateway.connection.datagrams import DemandHint
from ramppin.gateway.process.overload.fleetdemand import NO_WAITING, RANKS, Demand
from ramppin.gateway.process.overload.startlimiter import FleetStartLimiter

LOG = logging.getLogger(__name__)

SEND_SHARE = 0.5
"""Share of a service's limit that must be held for demand to be sent. At half of the
limit, requests skip the admission queue; when they begin to wait, each VM must already
have the demand of the others."""

SLOW_PERIOD_S = 0.5
"""Seconds between messages about a service below that share whose servers report no
load: four within the lifetime of a demand."""

SERVICES_PER_MESSAGE = 16
"""Maximum services in one message. They take 500 bytes, so that the message is not
fragmented with the rest of its content."""

MAX_REQUESTS = 1_000_000
"""Maximum number of requests in a hint; a higher number is an error."""

WARNING_PERIOD_S = 1.0
"""Minimum seconds between two log lines about hints that are dropped."""

NEVER = float("-inf")
"""Event-loop time of an event that has not occurred."""


class DemandGossip:
    """Collects this VM's demand to send, and applies that of peers.

    Args:
        limiter: start limiter of this VM, which holds the demand.
        list_services: returns the names of the known services.
        is_enabled: returns whether overload control is enabled.

    Attributes:
        dropped: number of hints that were unknown or malformed.

    .. versionadded:: 0.3
    """

    def __init__(
        self,
        limiter: FleetStartLimiter,
        list_services: Callable[[], Sequence[str]],
        is_enabled: Callable[[], bool] = lambda: True,
    ) -> None:
        self._limiter = limiter
        self._list_services = list_services
        self._is_enabled = is_enabled
        self._sent: dict[tuple[str, bool], float] = {}
        self._relevant: set[tuple[str, bool]] = set()
        self._warned_at = NEVER
        self.dropped = 0

    def collect(self, now: float, *, near: bool) -> list[DemandHint]:
        """Return the demand to send to the near or far VMs now.

        The last message about a service states the demand when it became irrelevant, so
        that peers do not use an earlier one until it expires.

        Args:
            now: event-loop time.
            near: whether the recipients are the VMs of this failure domain.
        """
        if not self._is_enabled():
            return []
        chosen = [
            name for name in self._list_services() if self._is_due(name, near, now)
        ]
        chosen.sort(key=lambda name: self._sent.get((name, near), NEVER))
        hints = []
        for service in chosen[:SERVICES_PER_MESSAGE]:
            self._sent[service, near] = now
            demand = self._limiter.find_demand(service, now)
            hints.append(
                DemandHint(service, demand.running, list(demand.waiting_by_rank))
            )
        return hints

    def apply(self, vm: str, hints: Sequence[DemandHint], now: float) -> None:
        """Apply the demand of another VM.

        Args:
            vm: the sending VM.
            hints: its demand.
            now: event-loop time.
        """
        if not hints or not self._is_enabled():
            return
        known = set(self._list_services())
        for hint in hints:
            counts = (hint.running, *hint.waiting)
            is_valid = len(hint.waiting) == RANKS and all(
                0 <= count <= MAX_REQUESTS for count in counts
            )
            if hint.service not in known or not is_valid:
                self._note_dropped(vm, hint, now)
                continue
            waiting = tuple(hint.waiting) if any(hint.waiting) else NO_WAITING
            demand = Demand(hint.service, hint.running, waiting)
            self._limiter.apply_peer_demand(vm, demand, now)

    def _is_due(self, service: str, near: bool, now: float) -> bool:
        key = (service, near)
        if self._limiter.measure_use(service, now) > SEND_SHARE:
            self._relevant.add(key)
            return True
        if key in self._relevant:
            self._relevant.discard(key)
            return True
        if self._limiter.needs_demand(service, now):
            return now - self._sent.get(key, NEVER) >= SLOW_PERIOD_S
        return False

    def _note_dropped(self, vm: str, hint: DemandHint, now: float) -> None:
        self.dropped += 1
        if now - self._warned_at >= WARNING_PERIOD_S:
            self._warned_at = now
            LOG.warning(
                "demand for an unknown service or with counts that are out of range is "
                "dropped: %.40r",
                hint.service,
                extra={"peer": vm},
            )
