"""Why a decision was made, in terms of the settings that produced it."""

from __future__ import annotations

import dataclasses
import json
from typing import Any

from ramppin.errors import RamppinError
from ramppin.router.connection.messages import AskTrace, TraceReply
from ramppin.router.request.context import RequestContext
from ramppin.router.request.identity import parse_request_id

TIMEOUT_S = 2.0
"""Seconds that another VM's answer with a trace may take."""


async def find_explanation(context: RequestContext, request_id: str) -> dict[str, Any]:
    """Return the explanation of a request, from whichever VM decided it.

    Raises:
        RamppinError: the id is none, or the trace is not kept any more.
    """
    parsed = parse_request_id(request_id)
    if parsed is None:
        raise RamppinError(
            f"{request_id!r} is no request id",
            step="explain",
            hint="it looks like vm-1.5f3a.1c",
        )
    if parsed.vm == context.vm:
        trace = context.traces.find(request_id)
        found = dataclasses.asdict(trace) if trace else None
    else:
        found = await _fetch_trace(context, parsed.vm, request_id)
    if found is None:
        raise RamppinError(
            "the trace is not kept any more", step="explain", peer=parsed.vm
        )
    return _join_rules(found)


async def _fetch_trace(
    context: RequestContext, vm: str, request_id: str
) -> dict[str, Any] | None:
    link = await context.links.open(vm)
    ask = AskTrace(context.links.next_call(), request_id)
    reply = await link.call(ask, TIMEOUT_S)
    if not isinstance(reply, TraceReply) or not reply.trace:
        return None
    found: dict[str, Any] = json.loads(reply.trace)
    return found


def _join_rules(trace: dict[str, Any]) -> dict[str, Any]:
    """Put each rule's value, path and level beside the steps that applied it."""
    sources = {source["rule"]: source for source in trace["sources"]}
    for step in trace["steps"]:
        step["rules"] = [sources[r] for r in step["rules"] if r in sources]
    return trace
