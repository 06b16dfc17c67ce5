"""Reads the states of jobs from an entry's copy of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result
import trio

from pimentobridge.core.jobs import model
from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.daemons import job_items
from pimentobridge.daemons import keys
from pimentobridge.protocol import control

if TYPE_CHECKING:
    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types
    from pimentobridge.daemons import store_mirror
    from pimentobridge.platform import kv_store

READ_RETRY_PAUSE_S = 0.05


class JobStates:
    """States of jobs as the store has them.

    Args:
        store: the platform's store.
        mirror: local copy of the store's items.
        clock: source of time.
    """

    def __init__(
        self,
        *,
        store: kv_store.KvStore,
        mirror: store_mirror.StoreMirror,
        clock: clock_lib.Clock,
    ) -> None:
        self._store = store
        self._mirror = mirror
        self._clock = clock

    async def state_of(
        self, job_id: types.JobId, deadline_s: float
    ) -> progress_lib.JobState | control.WriteOutcome:
        """Returns a job's state, `ABSENT` or `UNKNOWN`.

        A job that the mirror lacks is reported as `ABSENT` only if the store
        confirms it, as the mirror may be out of date.
        """
        key = keys.job(job_id)
        item = self._mirror.items_by_key.get(key)
        while item is None or item.value is None:
            response = await self._store.get(key)
            if isinstance(response, result.Ok):
                item = response.ok_value
                if item is None:
                    return control.WriteOutcome.ABSENT
                break
            if self._clock.monotonic() > deadline_s:
                return control.WriteOutcome.UNKNOWN
            await trio.sleep(READ_RETRY_PAUSE_S)
            # Another entry may have supplied it meanwhile.
            item = self._mirror.items_by_key.get(key)
        if item.value is None:
            return control.WriteOutcome.ABSENT
        job = job_items.read_record(item)
        if isinstance(job, model.Tombstone):
            return control.WriteOutcome.ABSENT
        if job is None:
            return control.WriteOutcome.UNKNOWN
        recorded = job_items.read_progress(self._mirror.items_by_key, job)
        if recorded is None:
            return control.WriteOutcome.UNKNOWN
        state = recorded[0].state
        if job.cancelled and not state.ended:
            return progress_lib.JobState.CANCELLED
        return state

    def pending_of(self, queue: str) -> int:
        """Returns the number of jobs in a queue that haven't started."""
        count = 0
        for key, item in self._mirror.items_by_key.items():
            if not key.startswith(keys.JOBS):
                continue
            job = job_items.read_job(item)
            if job is None or job.queue.name != queue or job.cancelled:
                continue
            recorded = job_items.read_progress(self._mirror.items_by_key, job)
            if recorded is not None:
                count += recorded[0].state is progress_lib.JobState.QUEUED
        return count
