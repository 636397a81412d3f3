"""Enables, changes and disables overload control as the settings require.

The rules of the routing settings take precedence over those of the process's
configuration. Without either, or with ``enabled`` set to false, requests are served as
if this package did not exist, except those to services with brittle servers.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from ramppin.clock import read_clock
from ramppin.gateway.process.context import GatewayContext
from ramppin.gateway.process.overload.control import OverloadControl
from ramppin.gateway.process.overload.returns import ReturnDetector
from ramppin.gateway.process.overload.rules import OverloadRules
from ramppin.gateway.process.overload.scheduler import Scheduler
from ramppin.gateway.process.overload.startlimiter import FleetStartLimiter
from ramppin.gateway.version.routing import RoutingTable


class OverloadActivation:
    """Puts the rules of overload control in force.

    Args:
        context: shared state of the process; its ``overload`` is set here.
        configured: rules of the process's configuration; None for none.
        limiter: what this VM may start now.
        generator: random number generator.
        brittle_rules: rules for services with brittle servers.
        read_clock: returns the event-loop time.

    Attributes:
        configured: as above; takes effect with :meth:`apply`.

    .. versionadded:: 0.4
    """

    def __init__(
        self,
        context: GatewayContext,
        configured: OverloadRules | None,
        limiter: FleetStartLimiter,
        generator: random.Random,
        brittle_rules: OverloadRules | None = None,
        read_clock: Callable[[], float] = read_clock,
    ) -> None:
        self._context = context
        self._brittle_rules = brittle_rules
        self._read_clock = read_clock
        self._table: RoutingTable | None = None
        self.configured = configured
        self._limiter = limiter
        self._generator = generator
        self._rules: OverloadRules | None = None

    def apply(self, table: RoutingTable | None) -> None:
        """Put the rules in force that apply with these routing settings."""
        self._table = table
        rules = self._find_rules()
        if rules == self._rules:
            return
        self._rules = rules
        context = self._context
        control = context.overload
        if rules is None:
            context.overload = None
            if control is not None:
                control.close()
        elif control is not None:
            control.replace_scheduler(self._build_scheduler(rules))
        else:
            context.overload = OverloadControl(
                self._build_scheduler(rules), self._limiter, ReturnDetector()
            )
            if context.drain is not None:
                context.overload.note_drain(context.drain)

    def update(self) -> None:
        """Enable or disable overload control as services become brittle, or no more."""
        self.apply(self._table)

    def _find_rules(self) -> OverloadRules | None:
        """Return the rules to put in force; None to disable overload control.

        Routing settings that disable it do so for brittle servers too; a process's
        configuration without it does not.
        """
        context = self._context
        stated = self._table.overload if self._table is not None else None
        rules = stated or self.configured
        context.is_overload_limited = rules is None or not rules.enabled
        if not context.is_overload_limited:
            return rules
        if stated is not None or self._brittle_rules is None:
            return None
        if not context.brittle.list_brittle(self._read_clock()):
            return None
        return self._brittle_rules

    def _build_scheduler(self, rules: OverloadRules) -> Scheduler:
        directory = self._context.directory
        return Scheduler(
            rules,
            self._limiter,
            self._generator,
            lambda service: directory.find_times(service).wait.mean_s,
        )
