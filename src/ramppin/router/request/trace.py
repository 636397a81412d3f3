"""Traces of requests, from which placement decisions are explained."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from ramppin.router.version.tree import RuleSource

MAX_STEPS = 64
"""Maximum number of stored steps per request; further steps are only counted."""


@dataclass(frozen=True, slots=True)
class TraceStep:
    """One step in the handling of a request.

    Attributes:
        at_s: seconds since the request arrived.
        step: name of the step, for instance ``"place"``.
        peer: VM or backend server involved, or ``""``.
        finding: result of the step, in the terms of the settings.
        rules: names of the rules that the step applied.
    """

    at_s: float
    step: str
    peer: str
    finding: str
    rules: tuple[str, ...] = ()


@dataclass(slots=True)
class Trace:
    """Everything needed to explain how a request was handled.

    Attributes:
        request_id: id of the request.
        vm: the VM that handled the request.
        version: version of the settings in force.
        customer: the customer that sent the request.
        service: the requested service.
        sources: each rule in force, with the path and level that set it.
        steps: the stored steps, in order.
        dropped_steps: number of steps that were not stored.
        outcome: ``ran``, ``not-run``, ``unknown``, or ``""`` before the end.
    """

    request_id: str
    vm: str
    version: int
    customer: str
    service: str
    sources: tuple[RuleSource, ...] = ()
    steps: list[TraceStep] = field(default_factory=list)
    dropped_steps: int = 0
    outcome: str = ""

    def add(
        self, at_s: float, step: str, finding: str, *rules: str, peer: str = ""
    ) -> None:
        """Add a step, or count it as dropped once ``MAX_STEPS`` are stored."""
        if len(self.steps) >= MAX_STEPS:
            self.dropped_steps += 1
            return
        self.steps.append(TraceStep(at_s, step, peer, finding, rules))


class TraceStore:
    """A bounded store of the traces of the most recent requests.

    Args:
        keep: maximum number of traces.
    """

    def __init__(self, *, keep: int = 4096) -> None:
        self._keep = keep
        self._traces: OrderedDict[str, Trace] = OrderedDict()

    def __len__(self) -> int:
        return len(self._traces)

    def put(self, trace: Trace) -> None:
        """Store a trace and evict the oldest traces beyond the limit."""
        self._traces[trace.request_id] = trace
        while len(self._traces) > self._keep:
            self._traces.popitem(last=False)

    def find(self, request_id: str) -> Trace | None:
        """Return the trace of a request, or None if it is not stored."""
        return self._traces.get(request_id)
