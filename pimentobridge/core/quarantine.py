"""Quarantine of workers on which different jobs keep failing."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types

FAILED_JOBS_LIMIT = 2
FIRST_QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 3600.0


@dataclasses.dataclass
class _Health:
    """Failures of one worker since the last success there.

    Attributes:
        quarantines: number of quarantines in a row, for the backoff.
        quarantined_until_s: end of the quarantine; 0 if there is none to end.
        probing: whether the worker was quarantined since its last success, so
            that the next failure is enough to quarantine it again.
    """

    failed_jobs: set[types.JobId] = dataclasses.field(default_factory=set)
    quarantines: int = 0
    quarantined_until_s: float = 0.0
    probing: bool = False


class Quarantine:
    """Decides from the outcomes of jobs which workers take no new work.

    A worker is considered faulty when different jobs fail on it without a
    success in between. A job that fails on different workers is considered
    faulty itself.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._health_by_worker: dict[types.WorkerId, _Health] = {}

    def on_success(self, worker: types.WorkerId) -> None:
        """Clears the failures of a worker on which a job succeeded."""
        self._health_by_worker.pop(worker, None)

    def on_failure(self, worker: types.WorkerId, job: types.JobId) -> bool:
        """Records a failure; returns whether it quarantines the worker."""
        health = self._health_by_worker.setdefault(worker, _Health())
        health.failed_jobs.add(job)
        limit = 1 if health.probing else FAILED_JOBS_LIMIT
        if len(health.failed_jobs) < limit:
            return False
        duration_s = min(
            FIRST_QUARANTINE_S * 2**health.quarantines, MAX_QUARANTINE_S
        )
        health.quarantines += 1
        health.quarantined_until_s = self._clock.monotonic() + duration_s
        health.failed_jobs.clear()
        health.probing = True
        return True

    def due_probes(self) -> list[types.WorkerId]:
        """Returns workers to probe because their quarantine has ended.

        Each quarantine is reported once.
        """
        now_s = self._clock.monotonic()
        due = [
            worker
            for worker, health in self._health_by_worker.items()
            if health.quarantined_until_s
            and health.quarantined_until_s <= now_s
        ]
        for worker in due:
            self._health_by_worker[worker].quarantined_until_s = 0.0
        return due

    def is_quarantined(self, worker: types.WorkerId) -> bool:
        """Returns whether a worker is in quarantine now."""
        health = self._health_by_worker.get(worker)
        return (
            health is not None
            and health.quarantined_until_s > self._clock.monotonic()
        )
