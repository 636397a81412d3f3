"""The trace of a decision, from which it is explained."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from ramppin.router.version.tree import RuleSource

MAX_STEPS = 64
"""Steps kept of one request; the rest is counted only."""


@dataclass(frozen=True, slots=True)
class TraceStep:
    """One step of a decision.

    Attributes:
        at_s: seconds since the request came.
        step: name of the step, for instance ``"place"``.
        peer: VM or backend server involved, or ``""``.
        finding: what was found and done, in the terms of the settings.
        rules: names of the rules that the step applied.
    """

    at_s: float
    step: str
    peer: str
    finding: str
    rules: tuple[str, ...] = ()


@dataclass(slots=True)
class Trace:
    """Everything needed to explain what became of a request.

    Attributes:
        request_id: the request.
        vm: the VM that decided.
        version: the settings' version by which it decided.
        customer: who asked.
        service: what was asked for.
        sources: each rule in force, with the path and level it came from.
        steps: what was done, in order.
        outcome: ``ran``, ``not-run``, ``unknown``, or ``""`` while it runs.
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
        """Add a step; a request with very many keeps the first."""
        if len(self.steps) >= MAX_STEPS:
            self.dropped_steps += 1
            return
        self.steps.append(TraceStep(at_s, step, peer, finding, rules))


class TraceStore:
    """The traces of the newest requests of a process, bounded.

    Args:
        keep: how many to keep.
    """

    def __init__(self, *, keep: int = 4096) -> None:
        self._keep = keep
        self._traces: OrderedDict[str, Trace] = OrderedDict()

    def __len__(self) -> int:
        return len(self._traces)

    def put(self, trace: Trace) -> None:
        """Keep a trace, and drop the oldest past the limit."""
        self._traces[trace.request_id] = trace
        while len(self._traces) > self._keep:
            self._traces.popitem(last=False)

    def find(self, request_id: str) -> Trace | None:
        """Return the trace of a request, or None."""
        return self._traces.get(request_id)
