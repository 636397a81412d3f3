"""What an answer says about whether its request ran."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """Whether a request ran, as told to its caller.

    ``NOT_RUN`` is said only where no byte of the request left for a backend
    server. ``UNKNOWN`` is said where it may have run and its answer is lost.
    """

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
