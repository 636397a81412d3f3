"""Decision lines about the use of the retry budget.

Without them the lines of many VMs don't show which of them exceeded the fleet's budget,
and whether its own traffic, the extra or a wrong number of VMs allowed that.
"""

from __future__ import annotations

from ramppin.gateway.process.context import GatewayContext


class RetryLines:
    """Writes a line for each service and window in which this VM sent retries.

    Args:
        context: provides the retry budget and the decision log.
        started_at: event-loop time at which the process started.

    .. versionadded:: 0.6
    """

    def __init__(self, context: GatewayContext, started_at: float) -> None:
        self._context = context
        self._started_at = started_at
        self._noted_at = started_at

    def note(self, now: float) -> None:
        """Write the lines once a window.

        Args:
            now: event-loop time.
        """
        budget = self._context.retry_budget
        if now - self._noted_at < budget.rules.window_s:
            return
        self._noted_at = now
        for use in budget.list_use(now):
            self._context.decisions.note(
                "retries",
                service=use.service,
                requests=use.requests,
                retries=use.retries,
                extra=round(use.extra, 2),
                sharing_vms=use.sharing_vms,
                uptime_s=round(now - self._started_at, 1),
                version=self._context.version,
            )
