"""Deletes ended jobs from the store when their retention has passed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result
import trio

from pimentobridge.daemons import keys
from pimentobridge.daemons import logs

if TYPE_CHECKING:
    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core.scheduling import engine as engine_lib
    from pimentobridge.platform import kv_store

DELETION_INTERVAL_S = 5.0
# Callers and the scheduler see a job's end at different times, so a job is kept
# for this multiple of the time in which callers may query it.
RETENTION_FACTOR = 1.5
# Two deletions per job and one condition must fit in a transaction.
MAX_JOBS_PER_DELETION = 15


class Retention:
    """Bounds the store's size to the jobs that are open or recently ended.

    Args:
        store: the platform's store.
        engine: knows which jobs have ended, and when.
        token: the term's fencing token; only the leader deletes.
        status_s: seconds for which callers may query an ended job.
        clock: source of time.
    """

    def __init__(
        self,
        *,
        store: kv_store.KvStore,
        engine: engine_lib.Engine,
        token: int,
        status_s: float,
        clock: clock_lib.Clock,
    ) -> None:
        self._store = store
        self._engine = engine
        self._token = token
        self._retention_s = status_s * RETENTION_FACTOR
        self._clock = clock

    async def run(self) -> None:
        """Deletes expired jobs until cancelled."""
        while True:
            await trio.sleep(DELETION_INTERVAL_S)
            await self._delete_expired()

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
        written = await self._store.transact(
            expected={keys.LEADER: self._token},
            puts=[],
            deletes=[
                key
                for job in expired
                for key in (keys.job(job), keys.progress(job))
            ],
        )
        logs.event(
            "old jobs deleted",
            jobs=len(expired),
            outcome="written" if written.is_ok() else "not-written",
        )
        if isinstance(written, result.Ok) and isinstance(written.ok_value, int):
            for job in expired:
                self._engine.forget_job(job)
