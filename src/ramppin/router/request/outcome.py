"""Outcome of a request, as reported to the caller."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """Whether a request ran at a backend server.

    ``NOT_RUN`` is used only if no byte of the request was sent to a backend
    server, ``UNKNOWN`` if the request may have run and its answer is lost.
    """

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
