"""Writes the jobs' progress to the store while the entry is the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result
import trio

from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.daemons import keys
from pimentobridge.daemons import logs
from pimentobridge.platform import kv_store

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core.scheduling import engine as engine_lib
    from pimentobridge.core.scheduling import ledger

# A transaction holds a condition and a write for each job, and one condition on
# the leader's key.
MAX_JOBS_PER_WRITE = (kv_store.MAX_TRANSACTION_ENTRIES - 1) // 2
MAX_WRITE_BYTES = 512 * 1024
RETRY_PAUSE_S = 0.08


class Recorder:
    """Writes each change of the engine's jobs to the store.

    Every transaction requires that the leader's key is unchanged since the term
    began, so that a scheduler that has lost the key can't write.

    Args:
        store: the platform's store.
        engine: holds the jobs to write.
        token: the term's fencing token: revision of the write that acquired
            the leader's key.
        on_recorded: called after each write that took effect.
        on_key_lost: called when this entry no longer holds the key.
    """

    def __init__(
        self,
        *,
        store: kv_store.KvStore,
        engine: engine_lib.Engine,
        token: int,
        on_recorded: Callable[[], None],
        on_key_lost: Callable[[], None],
    ) -> None:
        self._store = store
        self._engine = engine
        self._token = token
        self._on_recorded = on_recorded
        self._on_key_lost = on_key_lost
        self._wake = trio.Event()
        self.idle = True

    def wake(self) -> None:
        """Makes the recorder check for changes."""
        self._wake.set()

    async def run(self) -> None:
        """Writes changes until cancelled."""
        while True:
            if not self._engine.dirty_by_id:
                self.idle = True
                await self._wake.wait()
                self._wake = trio.Event()
                continue
            self.idle = False
            if not await self._write_batch():
                await trio.sleep(RETRY_PAUSE_S)

    async def _write_batch(self) -> bool:
        """Writes a batch of changed jobs.

        Returns:
            False if the caller should pause before the next attempt.
        """
        batch: list[tuple[ledger.TrackedJob, int, bytes]] = []
        batch_bytes = 0
        for tracked in self._engine.dirty_by_id.values():
            value = progress_lib.encode_progress(tracked.progress)
            batch_bytes += len(value)
            if batch and batch_bytes > MAX_WRITE_BYTES:
                break
            batch.append((tracked, tracked.changes, value))
            if len(batch) == MAX_JOBS_PER_WRITE:
                break
        expected = {keys.LEADER: self._token}
        for tracked, _, _ in batch:
            expected[keys.progress(tracked.id)] = tracked.revision
        written = await self._store.transact(
            expected=expected,
            puts=[
                kv_store.Put(keys.progress(tracked.id), value)
                for tracked, _, value in batch
            ],
        )
        if isinstance(written, result.Err):
            logs.event(
                "progress not recorded",
                error=written.err_value.value,
                jobs=len(batch),
            )
            return False
        outcome = written.ok_value
        if isinstance(outcome, kv_store.Conflict):
            return self._resolve_conflict(batch, outcome)
        for tracked, change, _ in batch:
            self._engine.on_recorded(tracked.id, change, outcome)
        self._on_recorded()
        return True

    def _resolve_conflict(
        self,
        batch: list[tuple[ledger.TrackedJob, int, bytes]],
        conflict: kv_store.Conflict,
    ) -> bool:
        """Finds out whether an earlier write without an answer took effect.

        Returns:
            False if this entry no longer holds the leader's key.
        """
        leader = conflict.items_by_key.get(keys.LEADER)
        if leader is None or leader.revision != self._token:
            self._on_key_lost()
            return False
        recorded = False
        for tracked, change, value in batch:
            item = conflict.items_by_key.get(keys.progress(tracked.id))
            revision = kv_store.ABSENT if item is None else item.revision
            if item is not None and item.value == value:
                self._engine.on_recorded(tracked.id, change, revision)
                recorded = True
            else:
                tracked.revision = revision
        if recorded:
            self._on_recorded()
        return True
