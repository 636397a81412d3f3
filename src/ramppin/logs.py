"""JSON log lines of a process. No body and no key of a caller is ever logged."""

from __future__ import annotations

import json
import logging
import sys
from dataclasses import dataclass
from datetime import UTC, datetime

from ramppin.clock import Clock, read_clock

_FIELDS = ("request_id", "step", "peer", "outcome", "version", "shard", "suppressed")

REPEATS = 20
"""Lines of one kind that a limited log writes in a period."""

REPEAT_PERIOD_S = 10.0
"""Seconds of a period. Twenty lines in ten seconds show that a fault goes on and how
it looks."""

MAX_KINDS = 1_000
"""Kinds of line that are counted; past it, counting begins anew."""


@dataclass(slots=True)
class _Kind:
    """Lines of one kind in the current period."""

    began_at: float
    written: int = 0
    suppressed: int = 0


class RepeatLimit(logging.Filter):
    """Drops lines of one kind past a number in each period, and counts them.

    Lines are of one kind if they come from one logger with the same text before its
    arguments. The first line of the next period says how many were dropped
    (``suppressed``). So a fault that recurs with each request can be logged where
    it happens.

    Args:
        clock: returns the time in seconds; any start will do.

    .. versionadded:: 0.2
    """

    def __init__(self, *, clock: Clock = read_clock) -> None:
        super().__init__()
        self._clock = clock
        self._kinds: dict[tuple[str, str], _Kind] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is written."""
        now = self._clock()
        kind = self._find(record, now)
        if now - kind.began_at >= REPEAT_PERIOD_S:
            if kind.suppressed:
                record.suppressed = kind.suppressed
            kind.began_at, kind.written, kind.suppressed = now, 0, 0
        if kind.written >= REPEATS:
            kind.suppressed += 1
            return False
        kind.written += 1
        return True

    def _find(self, record: logging.LogRecord, now: float) -> _Kind:
        if len(self._kinds) >= MAX_KINDS:
            self._kinds.clear()
        return self._kinds.setdefault((record.name, str(record.msg)), _Kind(now))


class JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON.

    Args:
        vm: name of the VM, in each line.
    """

    def __init__(self, vm: str) -> None:
        super().__init__()
        self._vm = vm

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        when = datetime.fromtimestamp(record.created, UTC)
        line: dict[str, object] = {
            "time": when.isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "vm": self._vm,
            "module": record.name,
            "message": record.getMessage(),
        }
        for name in _FIELDS:
            value = getattr(record, name, None)
            if value is not None:
                line[name] = value
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return json.dumps(line)


def start_logging(vm: str, level: str, *, limit_repeats: bool = False) -> None:
    """Send the log lines of this process to standard error.

    Args:
        vm: name of the VM, in each line.
        level: ``DEBUG`` to ``ERROR``.
        limit_repeats: whether lines of one kind are limited (:class:`RepeatLimit`).
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(vm))
    if limit_repeats:
        handler.addFilter(RepeatLimit())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for name in ("uvicorn", "websockets", "aiohttp", "asyncio"):
        logging.getLogger(name).setLevel(logging.CRITICAL)
