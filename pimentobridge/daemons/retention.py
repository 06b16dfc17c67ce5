"""Deletes the records of jobs that ended long ago."""

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

INTERVAL_S = 5.0
# Callers' clocks and ours count from different moments of a job's end.
RETENTION_FACTOR = 1.5
# Two deletions a job and the condition fit in a transaction.
MAX_JOBS_PER_DELETION = 15


class Retention:
    """Keeps the store's size to that of open and recent jobs.

    Args:
        store: the platform's store.
        engine: knows which jobs have ended, and when.
        token: the scheduler's; only its holder deletes.
        status_s: time for which callers may ask for an ended job.
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
        self._keep_s = status_s * RETENTION_FACTOR
        self._clock = clock

    async def run(self) -> None:
        """Deletes until cancelled."""
        while True:
            await trio.sleep(INTERVAL_S)
            await self._delete_some()

    async def _delete_some(self) -> None:
        now_s = self._clock.monotonic()
        old = [
            tracked.id
            for tracked in self._engine.jobs_by_id.values()
            if tracked.ended_s is not None
            and now_s - tracked.ended_s > self._keep_s
            and tracked.recorded >= tracked.changes
        ][:MAX_JOBS_PER_DELETION]
        if not old:
            return
        written = await self._store.transact(
            expected={keys.LEADER: self._token},
            puts=[],
            deletes=[
                key
                for job in old
                for key in (keys.job(job), keys.progress(job))
            ],
        )
        logs.event(
            "old jobs deleted",
            jobs=len(old),
            outcome="written" if written.is_ok() else "not-written",
        )
        if isinstance(written, result.Ok) and isinstance(written.ok_value, int):
            for job in old:
                self._engine.forget_job(job)
