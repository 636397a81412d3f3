"""Reading settings from JSON with comments, with errors that name the place."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import json5
from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result, Success

from ramppin.errors import SettingsError

Model = TypeVar("Model", bound=BaseModel)
Document = dict[str, object]
"""A JSON object before validation."""

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
"""Bytes of the largest settings file that is read, a bound on memory."""


def parse_document(text: str, source: str) -> Result[Document, SettingsError]:
    """Parse JSON with comments.

    Args:
        text: the text.
        source: what to call it in errors, for instance the file's name.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        message = f"{len(text)} bytes is too much"
        hint = f"at most {MAX_DOCUMENT_BYTES}"
        return Failure(SettingsError(message, source=source, hint=hint))
    try:
        value = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        message = str(error).replace("<string>:", "line ")
        return Failure(SettingsError(message, source=source))
    if not isinstance(value, dict):
        message = f"a {type(value).__name__} where an object is needed"
        return Failure(SettingsError(message, source=source))
    return Success(value)


def validate_document(
    model: type[Model], document: Document, source: str
) -> Result[Model, SettingsError]:
    """Validate a document against a model; the error names the first path."""
    try:
        return Success(model.model_validate(document))
    except ValidationError as error:
        first = error.errors()[0]
        more = len(error.errors()) - 1
        path = ".".join(str(part) for part in first["loc"])
        message = first["msg"].removeprefix("Value error, ")
        if first["type"] == "extra_forbidden":
            message = "unknown key"
        hint = f"and {more} more" if more else ""
        return Failure(SettingsError(message, source=source, path=path, hint=hint))


def read_document(path: Path) -> Result[Document, SettingsError]:
    """Read a file of JSON with comments."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure(SettingsError(str(error), source=str(path)))
    return parse_document(text, str(path))
