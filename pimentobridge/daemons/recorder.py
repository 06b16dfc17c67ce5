"""Writes the jobs' progress to the store while the entry is the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import result
import trio

from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import record_size
from pimentobridge.daemons import keys
from pimentobridge.daemons import logs
from pimentobridge.platform import kv_store

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import types
    from pimentobridge.core.scheduling import engine as engine_lib
    from pimentobridge.core.scheduling import ledger

# A transaction holds a condition and a write for each job, and one condition on
# the leader's key.
MAX_JOBS_PER_WRITE = (kv_store.MAX_TRANSACTION_ENTRIES - 1) // 2
MAX_WRITE_BYTES = 512 * 1024
RETRY_PAUSE_S = 0.08
# A further write is begun while the latest one takes longer than this.
PATIENCE_S = 0.15
MAX_WRITES = 4
# Writes that take this time or longer are logged.
SLOW_WRITE_S = 0.4


class Change(NamedTuple):
    """A job's progress that is being written.

    Attributes:
        number: number of the latest change that the value contains.
        value: the encoded progress.
    """

    tracked: ledger.TrackedJob
    number: int
    value: bytes


class Recorder:
    """Writes each change of the engine's jobs to the store.

    Changes that come while a write is under way are gathered for the next one,
    which waits for its answer unless that takes long.

    Every transaction requires that the leader's key is unchanged since the term
    began, so that a scheduler that has lost the key can't write.

    Args:
        store: the platform's store.
        engine: holds the jobs to write.
        token: the term's fencing token: revision of the write that acquired
            the leader's key.
        max_value_bytes: limit of the store on a value.
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
        max_value_bytes: int = record_size.DEFAULT_MAX_BYTES,
    ) -> None:
        self._store = store
        self._engine = engine
        self._token = token
        self._max_value_bytes = max_value_bytes
        self._on_recorded = on_recorded
        self._on_key_lost = on_key_lost
        self._wake = trio.Event()
        # Jobs whose write isn't answered yet, and when the latest was sent.
        self._in_flight: set[types.JobId] = set()
        self._writes = 0
        self._sent_s = float("-inf")

    def wake(self) -> None:
        """Makes the recorder check for changes."""
        self._wake.set()

    async def run(self) -> None:
        """Writes changes until cancelled.

        May run again after an error. A write that was under way then counts as
        unanswered.
        """
        self._in_flight.clear()
        self._writes = 0
        async with trio.open_nursery() as nursery:
            while True:
                batch = self._next_batch() if self._may_write else []
                if batch:
                    self._in_flight |= {tracked.id for tracked, _, _ in batch}
                    self._writes += 1
                    self._sent_s = trio.current_time()
                    nursery.start_soon(self._write, batch)
                    continue
                # A write that takes long raises no event.
                with trio.move_on_after(
                    PATIENCE_S if self._writes else float("inf")
                ):
                    await self._wake.wait()
                self._wake = trio.Event()

    @property
    def _may_write(self) -> bool:
        """Whether to write now or let changes gather until an answer comes."""
        if not self._writes:
            return True
        is_late = trio.current_time() - self._sent_s >= PATIENCE_S
        return is_late and self._writes < MAX_WRITES

    def _next_batch(self) -> list[Change]:
        """Returns the most urgent changes that aren't being written."""
        waiting = [
            tracked
            for tracked in self._engine.dirty_by_id.values()
            if tracked.id not in self._in_flight
        ]
        waiting.sort(key=lambda tracked: tracked.job.queue.priority)
        batch: list[Change] = []
        batch_bytes = 0
        for tracked in waiting[:MAX_JOBS_PER_WRITE]:
            value = self._encode(tracked)
            batch_bytes += len(value)
            if batch and batch_bytes > MAX_WRITE_BYTES:
                break
            batch.append(Change(tracked, tracked.changes, value))
        return batch

    def _encode(self, tracked: ledger.TrackedJob) -> bytes:
        """Returns a job's record; ends the job if the store can't hold it.

        The store would refuse the record for ever, and with it those of the
        other jobs in the same write.
        """
        value = progress_lib.encode_progress(tracked.progress)
        if len(value) <= self._max_value_bytes:
            return value
        self._engine.fail_unrecordable(tracked, record_bytes=len(value))
        return progress_lib.encode_progress(tracked.progress)

    async def _write(self, batch: list[Change]) -> None:
        if not await self._write_batch(batch):
            await trio.sleep(RETRY_PAUSE_S)
        self._in_flight -= {tracked.id for tracked, _, _ in batch}
        self._writes -= 1
        self._wake.set()

    async def _write_batch(self, batch: list[Change]) -> bool:
        """Writes a batch of changed jobs.

        Returns:
            False if the caller should pause before the next attempt.
        """
        expected = {keys.LEADER: self._token}
        for tracked, _, _ in batch:
            expected[keys.progress(tracked.id)] = tracked.revision
        sent_s = trio.current_time()
        written = await self._store.transact(
            expected=expected,
            puts=[
                kv_store.Put(keys.progress(tracked.id), value)
                for tracked, _, value in batch
            ],
        )
        took_s = trio.current_time() - sent_s
        if took_s >= SLOW_WRITE_S:
            logs.event(
                "progress written slowly",
                took_s=round(took_s, 3),
                jobs=len(batch),
                bytes=sum(len(value) for _, _, value in batch),
                writes=self._writes,
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
        self, batch: list[Change], conflict: kv_store.Conflict
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
