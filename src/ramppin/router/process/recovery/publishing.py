"""Follows the settings on the log, publishes changes and snapshots."""

from __future__ import annotations

import asyncio
import logging
import random
import uuid
from collections.abc import Callable

from pydantic import BaseModel

from ramppin.errors import AppendUnknownError, LogUnavailableError
from ramppin.ranking import rank_vms
from ramppin.router.connection.log import LogClient
from ramppin.router.process.recovery.tails import Tail, TailEvents
from ramppin.router.version.acceptance import (
    ChangeRecord,
    PatchRecord,
    SettingsHistory,
    SnapshotRecord,
    Verdict,
)
from ramppin.router.version.tree import Settings

LOG = logging.getLogger(__name__)

STREAM = "settings"
CONFIRM_S = 3.0
"""How long to look for a change whose append's answer was lost."""

SNAPSHOT_RECORDS = 64
"""A snapshot is due after this many records."""

SNAPSHOT_CHECK_S = 5.0
"""Seconds between two checks of whether a snapshot is due, spread by 0.2."""


class SettingsFollower:
    """Keeps the settings in force, in the order of the log.

    Args:
        vm: this VM.
        client: the log's client.
        on_version: called with each newly accepted version.
        wait_s: longest wait of one read of the log.
        poll_min_s: shortest time between two reads.
        seed: of the random pauses between snapshots of two VMs.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        vm: str,
        client: LogClient,
        *,
        on_version: Callable[[Settings], None],
        wait_s: float,
        poll_min_s: float = 0.0,
        seed: int = 0,
    ) -> None:
        self.history = SettingsHistory()
        self._vm = vm
        self._client = client
        self._on_version = on_version
        self._random = random.Random(seed)
        self._changed = asyncio.Event()
        self.tail = Tail(
            client,
            STREAM,
            TailEvents(on_record=self.apply),
            wait_s=wait_s,
            poll_min_s=poll_min_s,
        )

    @property
    def settings(self) -> Settings | None:
        """The settings in force, or None before there are any."""
        return self.history.settings

    def apply(self, offset: int, value: object) -> None:
        """Apply a record, from the log or from a VM that handed it on."""
        before = self.history.version
        verdict = self.history.apply(offset, value)
        self._changed.set()
        self._changed = asyncio.Event()
        if verdict and verdict.error:
            LOG.warning(
                "record %d refused: %s",
                offset,
                verdict.error,
                extra={"step": "accept"},
            )
        if self.settings and self.history.version != before:
            LOG.info(
                "settings in force",
                extra={"step": "accept", "version": self.history.version},
            )
            self._on_version(self.settings)

    def build_snapshot(self) -> tuple[int, SnapshotRecord] | None:
        """Return the settings in force as a record that may be handed on."""
        if self.settings is None:
            return None
        record = SnapshotRecord(
            version=self.history.version, tree=self.history.document
        )
        return self.history.next_offset - 1, record

    async def wait_for_version(self, version: int, timeout_s: float) -> Settings | None:
        """Return the settings once a version is in force; None if it isn't."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.history.version < version:
                    await self._changed.wait()
        except TimeoutError:
            return None
        return self.settings

    async def publish(
        self,
        base: int,
        author: str,
        nonce: str,
        *,
        tree: dict[str, object] | None = None,
        patch: dict[str, object] | None = None,
    ) -> Verdict:
        """Append a change and return what became of it.

        A change that is published again with the same nonce is not made
        again: what became of the first is returned.

        Args:
            base: the version that it was made from.
            author: who made it.
            nonce: its own mark; an empty one is replaced.
            tree: the whole tree; or else
            patch: a merge patch of the base version.

        Raises:
            LogUnavailableError: it did not take effect, or that isn't known
                (``AppendUnknownError``).
        """
        known = self.history.find_nonce(nonce) if nonce else None
        if known:
            return known
        mark = nonce or uuid.uuid4().hex
        record: BaseModel
        if tree is not None:
            record = ChangeRecord(base=base, nonce=mark, author=author, tree=tree)
        else:
            record = PatchRecord(
                base=base, nonce=mark, author=author, patch=patch or {}
            )
        unknown: AppendUnknownError | None = None
        try:
            await self._client.append(STREAM, record)
        except AppendUnknownError as error:
            unknown = error
        self.tail.hurry()
        return await self._confirm(mark, unknown)

    async def run_snapshots(self, list_vms: Callable[[], list[str]]) -> None:
        """Write snapshots when they are due, until cancelled.

        The content is a function of the log, so it does no harm if two VMs
        write one; the first in rank is asked to, to save appends.
        """
        while True:
            await asyncio.sleep(SNAPSHOT_CHECK_S * self._random.uniform(0.8, 1.2))
            vms = list_vms()
            due = self.history.records_since_snapshot >= SNAPSHOT_RECORDS
            snapshot = self.build_snapshot()
            if due and snapshot and vms and rank_vms(STREAM, vms)[0] == self._vm:
                try:
                    await self._client.append(STREAM, snapshot[1])
                except LogUnavailableError as error:
                    LOG.info("no snapshot: %s", error, extra={"step": "snapshot"})

    async def _confirm(self, nonce: str, unknown: AppendUnknownError | None) -> Verdict:
        try:
            async with asyncio.timeout(CONFIRM_S):
                while True:
                    changed = self._changed
                    verdict = self.history.find_nonce(nonce)
                    if verdict:
                        return verdict
                    await changed.wait()
        except TimeoutError as error:
            raise AppendUnknownError(
                "the change may have taken effect",
                step="publish",
                peer=unknown.peer if unknown else "",
                hint=f"publish again with nonce {nonce} to learn what became of it",
            ) from error
