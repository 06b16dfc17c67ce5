"""Judges workers by how the runs on them end."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pimentobridge.core import types

# Jobs that must fail in a row, without one done between, for a worker to be
# taken out: a job that can never be done fails everywhere, alone.
FAILED_JOBS_TO_EJECT = 2
FIRST_EJECTION_S = 4.0
REFUSAL_PAUSE_S = 1.0
MAX_EJECTION_S = 16.0


@dataclasses.dataclass
class Health:
    """Ends of one worker's runs."""

    failed_jobs: set[types.JobId] = dataclasses.field(default_factory=set)
    ejected_until_s: float = 0.0
    ejection_s: float = FIRST_EJECTION_S

    def usable(self, now_s: float) -> bool:
        """Returns whether the worker may get new tasks."""
        return now_s >= self.ejected_until_s

    def on_done(self) -> None:
        """Takes the end of a task that was done."""
        self.failed_jobs.clear()
        self.ejection_s = FIRST_EJECTION_S

    def on_refused(self, now_s: float) -> None:
        """Takes a start that the worker refused; asking on would be in vain."""
        self.ejected_until_s = max(
            self.ejected_until_s, now_s + REFUSAL_PAUSE_S
        )

    def on_stalled(self, now_s: float) -> None:
        """Takes a run that stands still: others there would as well."""
        self._eject(now_s)

    def on_failed(self, job: types.JobId, now_s: float) -> bool:
        """Takes a failed run; returns whether the worker is ejected now."""
        self.failed_jobs.add(job)
        if len(self.failed_jobs) < FAILED_JOBS_TO_EJECT:
            return False
        self._eject(now_s)
        # One more failure after the pause ejects it again.
        self.failed_jobs = {job}
        return True

    def _eject(self, now_s: float) -> None:
        if now_s >= self.ejected_until_s:
            self.ejected_until_s = now_s + self.ejection_s
            self.ejection_s = min(MAX_EJECTION_S, self.ejection_s * 2)
