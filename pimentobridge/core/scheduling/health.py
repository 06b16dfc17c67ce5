"""Tracks the health of workers by the outcome of their runs."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pimentobridge.core import types

# Number of different jobs that must fail on a worker, with no successful run in
# between, before it is ejected. One isn't enough: a job that can never succeed
# fails on every worker.
FAILED_JOBS_TO_EJECT = 2
FIRST_EJECTION_S = 4.0
# A worker that refused a start gets no new tasks for this time.
REFUSAL_PAUSE_S = 1.0
MAX_EJECTION_S = 16.0


@dataclasses.dataclass
class Health:
    """Health of one worker.

    An ejected worker gets no new tasks for a time, which doubles with each
    ejection until a run succeeds.

    Attributes:
        failed_jobs: jobs that failed on the worker since a run last succeeded.
        ejected_until_s: monotonic time at which the last ejection ends.
        ejection_s: duration of the next ejection, in seconds.
    """

    failed_jobs: set[types.JobId] = dataclasses.field(default_factory=set)
    ejected_until_s: float = 0.0
    ejection_s: float = FIRST_EJECTION_S

    def usable(self, now_s: float) -> bool:
        """Returns whether the worker may get new tasks."""
        return now_s >= self.ejected_until_s

    def on_done(self) -> None:
        """Records a successfully completed run."""
        self.failed_jobs.clear()
        self.ejection_s = FIRST_EJECTION_S

    def on_refused(self, now_s: float) -> None:
        """Records a refused start.

        The worker is left out for a short time, as it would refuse further
        starts as well.
        """
        self.ejected_until_s = max(
            self.ejected_until_s, now_s + REFUSAL_PAUSE_S
        )

    def on_stalled(self, now_s: float) -> None:
        """Records a stalled run and ejects the worker.

        Other runs on the worker would stall as well.
        """
        self._eject(now_s)

    def on_failed(self, job: types.JobId, now_s: float) -> bool:
        """Records a failed run.

        Returns:
            Whether the worker was ejected for it.
        """
        self.failed_jobs.add(job)
        if len(self.failed_jobs) < FAILED_JOBS_TO_EJECT:
            return False
        self._eject(now_s)
        # After the ejection, a failure of one other job ejects it again.
        self.failed_jobs = {job}
        return True

    def _eject(self, now_s: float) -> None:
        if now_s >= self.ejected_until_s:
            self.ejected_until_s = now_s + self.ejection_s
            self.ejection_s = min(MAX_EJECTION_S, self.ejection_s * 2)
