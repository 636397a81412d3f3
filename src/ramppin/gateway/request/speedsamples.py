"""Decides which answers show the speed of their server.

Long uncached prompts show their own length, and cold servers their start.
"""

from __future__ import annotations

from ramppin.gateway.connection.httpwire import HeaderNames
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.process.load.speed import MAX_LEARNED_TOKENS
from ramppin.gateway.process.routing.serverstate import ServerState
from ramppin.gateway.request.promptkey import count_tokens, hash_prefix


def count_learned_tokens(
    request: CallerRequest, names: HeaderNames, state: ServerState, now: float
) -> int | None:
    """Return the uncached tokens of a prompt whose answer shows the server's speed.

    Args:
        request: the caller's request.
        names: configured header names.
        state: its server.
        now: event-loop time.

    Returns:
        None if its answer is not used.
    """
    if not state.speed.is_reported or state.coldness.is_cold(now):
        return None
    parts = request.find(names.prompt_parts)
    if parts is None:
        size = request.find(names.request_size)
        counts = count_tokens(size.partition(b",")[0]) if size else (0, 0)
        tokens = counts[0] if counts else None
    else:
        counts = count_tokens(parts)
        key = hash_prefix(parts)
        if key is not None and state.long_prompts.includes(key, now):
            return None
        tokens = counts[0] - counts[1] if counts else None
    return tokens if tokens is not None and tokens <= MAX_LEARNED_TOKENS else None
