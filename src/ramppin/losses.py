"""Sums up what callers lost, from a gateway's decision lines.

Reads lines as they come and keeps counts only: by the rule that ended a request, its
route, the last server, the VM and the second. Parses only the lines that
docs/OPERATIONS.md describes; lines of the process's own log are skipped.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

MAX_KEYS = 2_000
"""Keys that are kept of each kind; what is beyond them is summed up in one, so that a
day of lines takes no more memory than an hour."""

OTHER_KEYS = "(others)"
"""The key that sums up what is beyond :data:`MAX_KEYS`."""

LATE_CAUSES = (
    ("first byte", "first_ms", "target_ms"),
    ("pause", "pause_ms", "target_pause_ms"),
)
"""Causes for which an answer is late: name, field and target of ``answered``."""

MAX_SHOWN_TEXT = 60
"""Characters that are shown of a line that is none."""


class Loss(Enum):
    """What a caller lost."""

    LOST = "lost"
    """It got a failure, or half an answer."""

    REFUSED = "refused"
    """It received an answer that guarantees that nothing ran."""

    LATE = "late"
    """The first byte came after its route's target, or a pause was longer than it."""

    LEFT = "left"
    """It left before the answer was whole."""


class Grouping(Enum):
    """By what losses are summed up."""

    RULE = "rule"
    ROUTE = "route"
    SERVER = "server"
    VM = "vm"
    SECOND = "second"


@dataclass(frozen=True, slots=True)
class LossLine:
    """A decision line that reports a loss.

    Attributes:
        loss: what was lost.
        request_id: the request.
        keys: its key in each grouping.
    """

    loss: Loss
    request_id: str
    keys: dict[Grouping, str]


@dataclass(slots=True)
class LossCount:
    """Losses of one key.

    Attributes:
        counts: how many of each.
        example: id of the first request.
    """

    counts: dict[Loss, int] = field(default_factory=dict)
    example: str = ""

    @property
    def total(self) -> int:
        """All losses."""
        return sum(self.counts.values())

    def add(self, line: LossLine) -> None:
        """Count a loss."""
        self.counts[line.loss] = self.counts.get(line.loss, 0) + 1
        self.example = self.example or line.request_id


@dataclass(frozen=True, slots=True)
class BadLine:
    """A line that is none.

    Attributes:
        source: the file.
        number: of the line, from 1.
        reason: what is wrong with it.
    """

    source: str
    number: int
    reason: str


@dataclass(slots=True)
class LossReport:
    """What callers lost.

    Attributes:
        lines: decision lines that were read.
        answered: requests that were answered, late ones included.
        dropped: lines that VMs did not write; the counts are too low by them.
        bad_lines: lines that are none.
        first_bad: the first of these.
        groups: losses by grouping and key.
    """

    lines: int = 0
    answered: int = 0
    dropped: int = 0
    bad_lines: int = 0
    first_bad: BadLine | None = None
    groups: dict[Grouping, dict[str, LossCount]] = field(
        default_factory=lambda: {grouping: {} for grouping in Grouping}
    )

    def take_lines(self, source: str, lines: Iterable[str]) -> None:
        """Read lines to their end.

        Args:
            source: their name, for errors.
            lines: one JSON object each.
        """
        for number, text in enumerate(lines, start=1):
            if not text.strip():
                continue
            try:
                self._take(text)
            except ValueError as error:
                self.bad_lines += 1
                if self.first_bad is None:
                    self.first_bad = BadLine(source, number, str(error))

    def list_worst(self, grouping: Grouping) -> Iterator[tuple[str, LossCount]]:
        """Return keys with their losses, the most first; seconds in their order."""
        items = self.groups[grouping].items()
        if grouping is Grouping.SECOND:
            yield from sorted(items)
        else:
            yield from sorted(items, key=lambda item: (-item[1].total, item[0]))

    def _take(self, text: str) -> None:
        """Count one line.

        Raises:
            ValueError: it is no decision line.
        """
        line = _parse(text)
        if "event" not in line:
            if "level" in line:
                return
            raise ValueError('neither "event" nor "level" is in it')
        self.lines += 1
        event = line["event"]
        if event == "answered":
            self.answered += 1
        elif event == "lines_dropped":
            self.dropped += _read_number(line, "count")
        found = read_loss(line)
        if found is not None:
            self._count(found)

    def _count(self, line: LossLine) -> None:
        for grouping, key in line.keys.items():
            counts = self.groups[grouping]
            if key not in counts and len(counts) >= MAX_KEYS:
                key = OTHER_KEYS
            counts.setdefault(key, LossCount()).add(line)


def read_loss(line: dict[str, object]) -> LossLine | None:
    """Return the loss that a decision line reports, or None.

    Raises:
        ValueError: a field is missing or has the wrong type.
    """
    loss, rule = _judge(line)
    if loss is None:
        return None
    keys = {
        Grouping.RULE: rule,
        Grouping.ROUTE: str(line.get("route", "")),
        Grouping.SERVER: str(line.get("server", "")),
        Grouping.VM: str(line.get("vm", "")),
        Grouping.SECOND: str(_read_number(line, "time")),
    }
    return LossLine(loss, str(line.get("request_id", "")), keys)


def _judge(line: dict[str, object]) -> tuple[Loss | None, str]:
    """Return what a line says was lost, and the rule."""
    event = line["event"]
    if event in ("denied", "refused"):
        return Loss.REFUSED, f"{event}: {line.get('reason', '')}"
    if event == "given_up" and line.get("rule") == "caller_left":
        return Loss.LEFT, "caller left"
    if event == "given_up":
        is_refusal = _read_number(line, "runs") == 0 and line.get("status") == 503
        return (Loss.REFUSED if is_refusal else Loss.LOST), str(line.get("rule", ""))
    if event == "attempt_failed" and line.get("end") == "caller left":
        return Loss.LEFT, "caller left"
    if event == "answered":
        causes = [
            cause
            for cause, name, target in LATE_CAUSES
            if line.get(name) is not None
            and line.get(target) is not None
            and _read_number(line, name) > _read_number(line, target)
        ]
        if causes:
            return Loss.LATE, f"late: {' and '.join(causes)}"
    return None, ""


def _parse(text: str) -> dict[str, object]:
    try:
        line = json.loads(text)
    except json.JSONDecodeError as error:
        shown = text.strip()[:MAX_SHOWN_TEXT]
        raise ValueError(f"not JSON ({error.msg}): {shown!r}") from error
    if not isinstance(line, dict):
        raise ValueError(f"not an object: {text.strip()[:MAX_SHOWN_TEXT]!r}")
    return line


def _read_number(line: dict[str, object], name: str) -> int:
    value = line.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name!r} of {line.get('event')!r} is not a number")
    return int(value)
