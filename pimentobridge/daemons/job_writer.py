"""Writes submissions and cancellations of jobs to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import result
import trio

from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.daemons import job_items
from pimentobridge.daemons import keys
from pimentobridge.platform import kv_store
from pimentobridge.protocol import control

if TYPE_CHECKING:
    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types
    from pimentobridge.daemons import store_mirror
    from pimentobridge.daemons import stored_jobs as stored_jobs_lib
    from pimentobridge.daemons import write_relay

RETRY_PAUSE_S = 0.05
# Limit of remembered jobs whose writes may still take effect; the oldest are
# forgotten first.
MAX_UNCERTAIN_WRITES = 10_000


class JobWriter:
    """Writes jobs directly, or through other entries while the store is away.

    Args:
        store: the platform's store.
        mirror: local copy of the store's items.
        relay: makes writes through other entries.
        stored_jobs: knows the tombstones in the store.
        clock: source of time.
    """

    def __init__(
        self,
        *,
        store: kv_store.KvStore,
        mirror: store_mirror.StoreMirror,
        relay: write_relay.Relay,
        stored_jobs: stored_jobs_lib.StoredJobs,
        clock: clock_lib.Clock,
    ) -> None:
        self._store = store
        self._mirror = mirror
        self._relay = relay
        self._stored_jobs = stored_jobs
        self._clock = clock
        self._uncertain_writes: dict[types.JobId, None] = {}

    async def write(
        self, job_id: types.JobId, value: bytes | None, deadline_s: float
    ) -> control.WriteOutcome:
        """Tries directly and through another entry until the outcome is known.

        If this entry can't reach the store and the other entry couldn't write
        either, it returns at once: the caller can then retry before its own
        timeout.

        Args:
            job_id: the job to write.
            value: the submission; None to cancel the job.
            deadline_s: monotonic time by which the caller needs an answer.
        """
        # A write of an earlier request may still take effect, so that "not
        # written" would be wrong.
        maybe_written = job_id in self._uncertain_writes
        while self._clock.monotonic() < deadline_s:
            for write in (self.write_directly, self._relay.write):
                # What is cut off by the caller's deadline may be written.
                outcome = control.WriteOutcome.UNKNOWN
                time_left_s = max(0.0, deadline_s - self._clock.monotonic())
                with trio.move_on_after(time_left_s):
                    outcome = await write(job_id, value)
                if outcome in (
                    control.WriteOutcome.WRITTEN,
                    control.WriteOutcome.ABSENT,
                ):
                    self._uncertain_writes.pop(job_id, None)
                    return outcome
                if outcome is control.WriteOutcome.UNKNOWN:
                    maybe_written = True
            if self._store.unavailable:
                break
            await trio.sleep(RETRY_PAUSE_S)
        if maybe_written:
            self._remember_uncertain_write(job_id)
            return control.WriteOutcome.UNKNOWN
        return control.WriteOutcome.NOT_WRITTEN

    def may_be_written(self, job_id: types.JobId) -> bool:
        """Returns whether an earlier request may have written a job."""
        if job_id in self._stored_jobs.seen_s_by_tombstone:
            return False
        return (
            job_id in self._uncertain_writes
            or keys.job(job_id) in self._mirror.items_by_key
        )

    def _remember_uncertain_write(self, job_id: types.JobId) -> None:
        self._uncertain_writes[job_id] = None
        if len(self._uncertain_writes) > MAX_UNCERTAIN_WRITES:
            self._uncertain_writes.pop(next(iter(self._uncertain_writes)))

    async def write_directly(
        self, job_id: types.JobId, value: bytes | None
    ) -> control.WriteOutcome:
        """Writes to the store, without other entries.

        Args:
            job_id: the job to write.
            value: the submission; None to cancel the job.
        """
        stored = self._mirror.items_by_key.get(keys.job(job_id))
        if value is not None and stored is not None:
            return _outcome_of(stored)
        if self._store.unavailable:
            return control.WriteOutcome.NOT_WRITTEN
        if value is None:
            return await self._cancel_directly(job_id)
        return await self._put_submission(job_id, value, kv_store.ABSENT)

    async def _put_submission(
        self, job_id: types.JobId, value: bytes, revision: int
    ) -> control.WriteOutcome:
        """Writes a submission if the stored one is at `revision`.

        A conflict counts as written: somebody else has made the same change,
        unless what is stored can't be read.
        """
        key = keys.job(job_id)
        written = await self._store.transact(
            expected={key: revision}, puts=[kv_store.Put(key, value)]
        )
        if isinstance(written, result.Ok):
            outcome = written.ok_value
            if isinstance(outcome, int):
                self._mirror.offer(kv_store.Item(key, value, outcome))
            elif key in outcome.items_by_key:
                return _outcome_of(outcome.items_by_key[key])
            return control.WriteOutcome.WRITTEN
        return _outcome_of_error(written.err_value)

    async def _cancel_directly(
        self, job_id: types.JobId
    ) -> control.WriteOutcome:
        response = await self._store.get(keys.job(job_id))
        if isinstance(response, result.Err):
            return control.WriteOutcome.NOT_WRITTEN
        item = response.ok_value
        if item is None or item.value is None:
            return await self._put_tombstone(job_id)
        return await self._cancel_stored(item)

    async def _put_tombstone(self, job_id: types.JobId) -> control.WriteOutcome:
        """Keeps a submission that may be on its way from being stored.

        An entry may be suspended with it, or the store may carry it out late.
        The caller, who is told that there is no such job, relies on that.
        """
        if not self._stored_jobs.has_room_for_tombstone:
            return control.WriteOutcome.NOT_WRITTEN
        key = keys.job(job_id)
        cancelled_ms = int(self._clock.now().timestamp() * 1000)
        value = progress_lib.encode_job(model.Tombstone(cancelled_ms))
        written = await self._store.transact(
            expected={key: kv_store.ABSENT}, puts=[kv_store.Put(key, value)]
        )
        if isinstance(written, result.Err):
            return _outcome_of_error(written.err_value)
        outcome = written.ok_value
        if isinstance(outcome, int):
            self._mirror.offer(kv_store.Item(key, value, outcome))
            return control.WriteOutcome.ABSENT
        if key in outcome.items_by_key:
            return await self._cancel_stored(outcome.items_by_key[key])
        return control.WriteOutcome.UNKNOWN

    async def _cancel_stored(self, item: kv_store.Item) -> control.WriteOutcome:
        job = job_items.read_record(item)
        if not isinstance(job, model.Job):
            return _outcome_of(item)
        if job.cancelled:
            return control.WriteOutcome.WRITTEN
        cancelled = msgspec.structs.replace(job, cancelled=True)
        # Cancellation is the only change of a submission, so that a conflict
        # means that somebody else has just cancelled it.
        return await self._put_submission(
            job.id, progress_lib.encode_job(cancelled), item.revision
        )


def _outcome_of(stored: kv_store.Item) -> control.WriteOutcome:
    """Returns what a caller is told of a job that is stored already."""
    record = job_items.read_record(stored)
    if isinstance(record, model.Tombstone):
        return control.WriteOutcome.ABSENT
    if record is None:
        return control.WriteOutcome.UNKNOWN
    return control.WriteOutcome.WRITTEN


def _outcome_of_error(error: kv_store.StoreError) -> control.WriteOutcome:
    if error is kv_store.StoreError.REFUSED:
        return control.WriteOutcome.NOT_WRITTEN
    return control.WriteOutcome.UNKNOWN
