"""Estimates the work that a request causes at a model server.

The admission queue divides capacity fairly by this work, and the limit of a server
depends on the tokens that its running requests occupy. Pure.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass

from ramppin.gateway.connection.httpwire import HeaderNames
from ramppin.gateway.connection.requestreader import CallerRequest

PROMPT_TOKENS_PER_OUTPUT_TOKEN = 256.0
"""Prompt tokens that a model server processes in the time of one decoding step. The
servers of docs/OVERLOAD.md process 257 and 306."""

UNKNOWN_WORK = 1.0
"""Work of a request that states no sizes."""

MAX_TOKENS = 10_000_000
"""Maximum number of tokens that a header may state; larger ones are ignored."""

LOG = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RequestWork:
    """Work of one request.

    Attributes:
        tokens: prompt tokens to process and output tokens; 0 if unknown.
        work: the time that they take, in output tokens.
    """

    tokens: int = 0
    work: float = UNKNOWN_WORK


UNKNOWN = RequestWork()


def estimate_work(
    request: CallerRequest, names: HeaderNames, *, is_prefix_cached: bool
) -> RequestWork:
    """Return the work of a prompt, as far as its headers state it.

    Args:
        request: the complete request.
        names: configured header names.
        is_prefix_cached: whether a server has cached the shared part of the prompt.
    """
    parts = _parse_parts(request, names.prompt_parts)
    prompt, max_output = _parse_size(request, names.request_size)
    output = _parse_tokens(request, names.output_hint)
    if parts:
        prompt = parts[-1] if is_prefix_cached else sum(parts)
    if output is None:
        output = max_output
    if prompt is None and output is None:
        return UNKNOWN
    prompt, output = prompt or 0, output or 0
    work = prompt / PROMPT_TOKENS_PER_OUTPUT_TOKEN + output
    return RequestWork(prompt + output, max(UNKNOWN_WORK, work))


def _parse_parts(request: CallerRequest, name: bytes) -> list[int]:
    """Return the tokens of each part of a prompt; empty if they are not stated."""
    value = request.find(name)
    if value is None:
        return []
    found = [_read_number(part.rpartition(b":")[2]) for part in value.split(b",")]
    tokens = [number for number in found if number is not None]
    return tokens if len(tokens) == len(found) else []


def _parse_size(request: CallerRequest, name: bytes) -> tuple[int | None, int | None]:
    """Return the tokens of the prompt and the maximum of output tokens."""
    value = request.find(name)
    if value is None:
        return None, None
    prompt, _, output = value.partition(b",")
    return _read_number(prompt), _read_number(output)


def _parse_tokens(request: CallerRequest, name: bytes) -> int | None:
    value = request.find(name)
    if value is None:
        return None
    tokens = _read_number(value)
    if tokens is None:
        LOG.warning(
            "an estimate of output tokens is not a number and is ignored: %.40r",
            value,
            extra={"step": "admit"},
        )
    return tokens


def _read_number(text: bytes) -> int | None:
    text = text.strip()
    if not text.isdigit() or len(text) > len(str(MAX_TOKENS)):
        return None
    number = int(text)
    return number if number <= MAX_TOKENS else None
