"""Acceptance of settings changes: a pure function of the log's records.

Every router reads the same records in the same order, so all accept the same
changes, also when operators publish concurrently. A change names its base
version and is accepted only if that version is still the newest.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from ramppin.document import Document, validate_document
from ramppin.errors import ConflictError, RamppinError, SettingsError
from ramppin.router.version.schema import SettingsTree
from ramppin.router.version.tree import Settings

NO_VERSION = -1
"""The version while no change has been accepted."""


class _Record(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ChangeRecord(_Record):
    """A complete settings tree that replaces version ``base``."""

    kind: Literal["change"] = "change"
    base: int
    nonce: str
    author: str = ""
    tree: Document


class PatchRecord(_Record):
    """A JSON merge patch (RFC 7396) to apply to version ``base``."""

    kind: Literal["patch"] = "patch"
    base: int
    nonce: str
    author: str = ""
    patch: Document


class SnapshotRecord(_Record):
    """A copy of version ``version``, written before retention removes the original."""

    kind: Literal["snapshot"] = "snapshot"
    version: int
    tree: Document


SettingsRecord = ChangeRecord | PatchRecord | SnapshotRecord
_ADAPTER: TypeAdapter[SettingsRecord] = TypeAdapter(
    Annotated[SettingsRecord, Field(discriminator="kind")]
)


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of applying one record.

    Attributes:
        offset: the record's offset in the log.
        accepted: whether the record took effect.
        kind: the record's kind, or ``"invalid"``.
        author: author of the change.
        nonce: unique ID of the change, by which its publisher finds the result.
        error: why the record was rejected, or None.
    """

    offset: int
    accepted: bool
    kind: str
    author: str = ""
    nonce: str = ""
    error: RamppinError | None = None


class SettingsHistory:
    """The accepted settings, built from the log's records in order.

    Args:
        keep: number of newest verdicts to keep for operators.

    .. versionadded:: 0.1
    """

    def __init__(self, *, keep: int = 256) -> None:
        self.settings: Settings | None = None
        self.document: Document = {}
        self.next_offset = 0
        self.records_since_snapshot = 0
        self.verdicts: list[Verdict] = []
        self._keep = keep

    @property
    def version(self) -> int:
        """The newest accepted version, or ``NO_VERSION``."""
        return self.settings.version if self.settings else NO_VERSION

    def apply(self, offset: int, value: object) -> Verdict | None:
        """Apply the record at an offset; return None if it was applied before."""
        if offset < self.next_offset:
            return None
        self.next_offset = offset + 1
        self.records_since_snapshot += 1
        verdict = self._apply_record(offset, value)
        self.verdicts = [*self.verdicts[-self._keep + 1 :], verdict]
        return verdict

    def find_nonce(self, nonce: str) -> Verdict | None:
        """Return the verdict on the change with a nonce, or None."""
        return next((v for v in self.verdicts if v.nonce == nonce), None)

    def _apply_record(self, offset: int, value: object) -> Verdict:
        try:
            record = _ADAPTER.validate_python(value)
        except ValidationError as error:
            first = error.errors()[0]
            path = ".".join(str(part) for part in first["loc"])
            refused = SettingsError(first["msg"], source=f"record {offset}", path=path)
            return Verdict(offset, False, "invalid", error=refused)
        if isinstance(record, SnapshotRecord):
            return self._apply_snapshot(offset, record)
        return self._apply_change(offset, record)

    def _apply_snapshot(self, offset: int, record: SnapshotRecord) -> Verdict:
        if record.version <= self.version:
            if record.version == self.version:
                self.records_since_snapshot = 0
            return Verdict(offset, False, record.kind)
        match _compile(record.version, record.tree, offset):
            case Success(settings):
                self._accept(settings, record.tree)
                self.records_since_snapshot = 0
                return Verdict(offset, True, record.kind)
            case Failure(error):
                return Verdict(offset, False, record.kind, error=error)
        raise AssertionError

    def _apply_change(self, offset: int, record: ChangeRecord | PatchRecord) -> Verdict:
        if record.base != self.version:
            error: RamppinError = ConflictError(
                f"made from version {record.base}, but {self.version} is in force",
                step="accept",
                hint=f"make the change again from version {self.version}",
            )
            return Verdict(
                offset, False, record.kind, record.author, record.nonce, error
            )
        if isinstance(record, PatchRecord):
            document = merge_patch(self.document, record.patch)
        else:
            document = record.tree
        match _compile(offset, document, offset):
            case Success(settings):
                self._accept(settings, document)
                return Verdict(offset, True, record.kind, record.author, record.nonce)
            case Failure(error):
                return Verdict(
                    offset, False, record.kind, record.author, record.nonce, error
                )
        raise AssertionError

    def _accept(self, settings: Settings, document: Document) -> None:
        self.settings = settings
        self.document = document


def _compile(
    version: int, document: Document, offset: int
) -> Result[Settings, SettingsError]:
    checked = validate_document(SettingsTree, document, f"record {offset}")
    return checked.map(lambda tree: Settings(version, tree))


def merge_patch(document: Document, patch: Document) -> Document:
    """Return a document with a JSON merge patch applied (RFC 7396)."""
    merged = dict(document)
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        elif isinstance(value, dict):
            below = merged.get(key)
            merged[key] = merge_patch(below if isinstance(below, dict) else {}, value)
        else:
            merged[key] = value
    return merged
