"""Deletes ended jobs and tombstones when their retention has passed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result
import trio

from pimentobridge.daemons import keys
from pimentobridge.daemons import logs
from pimentobridge.platform import kv_store

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sized

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core.scheduling import engine as engine_lib
    from pimentobridge.daemons import stored_jobs as stored_jobs_lib

DELETION_INTERVAL_S = 5.0
# Callers and the scheduler see a job's end at different times, so a job is kept
# for this multiple of the time in which callers may query it.
RETENTION_FACTOR = 1.5
# Two deletions per job and one condition must fit in a transaction.
MAX_JOBS_PER_DELETION = 15
MAX_TOMBSTONES_PER_DELETION = kv_store.MAX_TRANSACTION_ENTRIES - 1
# Tombstones that are deleted in one interval, so that the store has time for
# other calls.
MAX_TOMBSTONES_AT_ONCE = 10 * MAX_TOMBSTONES_PER_DELETION


class Retention:
    """Bounds the store's size to the jobs that are open or recently ended.

    Args:
        store: the platform's store.
        engine: knows which jobs have ended, and when.
        stored_jobs: knows the tombstones. None of the submissions that they
            hold off is on its way any more after the same time.
        token: the term's fencing token; only the leader deletes.
        status_s: seconds for which callers may query an ended job.
        clock: source of time.
    """

    def __init__(
        self,
        *,
        store: kv_store.KvStore,
        engine: engine_lib.Engine,
        stored_jobs: stored_jobs_lib.StoredJobs,
        token: int,
        status_s: float,
        clock: clock_lib.Clock,
    ) -> None:
        self._store = store
        self._engine = engine
        self._stored_jobs = stored_jobs
        self._token = token
        self._retention_s = status_s * RETENTION_FACTOR
        self._clock = clock

    async def run(self) -> None:
        """Deletes expired jobs until cancelled."""
        while True:
            await trio.sleep(DELETION_INTERVAL_S)
            await self._delete_expired()
            await self._delete_tombstones()

    async def _delete_tombstones(self) -> None:
        now_s = self._clock.monotonic()
        expired = [
            job
            for job, seen_s in self._stored_jobs.seen_s_by_tombstone.items()
            if now_s - seen_s > self._retention_s
        ][:MAX_TOMBSTONES_AT_ONCE]
        for first in range(0, len(expired), MAX_TOMBSTONES_PER_DELETION):
            jobs = expired[first : first + MAX_TOMBSTONES_PER_DELETION]
            await self._delete("tombstones deleted", jobs, map(keys.job, jobs))

    async def _delete_expired(self) -> None:
        now_s = self._clock.monotonic()
        expired = [
            tracked.id
            for tracked in self._engine.jobs_by_id.values()
            if tracked.ended_s is not None
            and now_s - tracked.ended_s > self._retention_s
            and tracked.recorded_change >= tracked.changes
        ][:MAX_JOBS_PER_DELETION]
        if not expired:
            return
        deleted = await self._delete(
            "old jobs deleted",
            expired,
            [
                key
                for job in expired
                for key in (keys.job(job), keys.progress(job))
            ],
        )
        if deleted:
            for job in expired:
                self._engine.forget_job(job)

    async def _delete(
        self, event: str, jobs: Sized, deletes: Iterable[str]
    ) -> bool:
        """Deletes keys and logs that; returns whether they are deleted."""
        written = await self._store.transact(
            expected={keys.LEADER: self._token}, puts=[], deletes=list(deletes)
        )
        deleted = isinstance(written, result.Ok) and isinstance(
            written.ok_value, int
        )
        logs.event(
            event,
            jobs=len(jobs),
            outcome="written" if deleted else "not-written",
        )
        return deleted
