"""JSON log lines. No body and no key of a caller is ever logged."""

from __future__ import annotations

import json
import logging
import sys
from datetime import UTC, datetime

_FIELDS = ("request_id", "step", "peer", "outcome", "version", "shard")


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


def start_logging(vm: str, level: str) -> None:
    """Send the log lines of this process to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(vm))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for name in ("uvicorn", "websockets", "aiohttp", "asyncio"):
        logging.getLogger(name).setLevel(logging.CRITICAL)
