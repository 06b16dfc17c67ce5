"""What the end of a run means for its unit, its job and the worker's health."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import runs

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core.scheduling import fleet
    from pimentobridge.core.scheduling import ledger


class RunEnds:
    """Applies the ends that workers list.

    Args:
        clock: source of time.
        log: writes a log line, given an event text and fields.
        end_job: ends a job in a state.
    """

    def __init__(
        self,
        *,
        clock: clock_lib.Clock,
        log: Callable[..., None],
        end_job: Callable[[ledger.TrackedJob, progress_lib.JobState], None],
    ) -> None:
        self._clock = clock
        self._log = log
        self._end_job = end_job

    def apply(
        self,
        worker: fleet.TrackedWorker,
        entry: ledger.RunEntry,
        end: runs.EndedRun,
    ) -> None:
        """Applies the end of a member of a unit's latest run.

        Args:
            worker: the worker that lists the end.
            entry: the run, which the worker no longer holds.
            end: how it has ended.
        """
        tracked, unit = entry.tracked, entry.unit
        if end.cause is runs.EndCause.DONE:
            worker.health.on_done()
            if not entry.step.long_running:
                self.complete(tracked, unit, entry.name.occurrence)
                return
        if unit.status is progress_lib.UnitStatus.DONE:
            return
        if end.checkpoint:
            unit.checkpoint = end.checkpoint
        if end.cause is runs.EndCause.FAILED:
            self._count_failure(worker, entry)
        unit.status = progress_lib.UnitStatus.ENDING
        self._fail_if_exhausted(tracked, entry)
        unit.requeue_if_released()

    def complete(
        self, tracked: ledger.TrackedJob, unit: progress_lib.Unit, number: int
    ) -> None:
        """Marks a unit as done, and its occurrence if that is done by now.

        Args:
            tracked: the unit's job.
            unit: the unit.
            number: number of the occurrence.
        """
        unit.status = progress_lib.UnitStatus.DONE
        self._complete_occurrence_if_done(tracked, number)

    def _count_failure(
        self, worker: fleet.TrackedWorker, entry: ledger.RunEntry
    ) -> None:
        unit = entry.unit
        unit.failed_on.append(worker.key.worker)
        if worker.health.on_failed(entry.tracked.id, self._clock.monotonic()):
            self._log(
                "worker ejected",
                worker=worker.key.worker,
                until_s=worker.health.ejected_until_s,
            )
        if unit.counted_run < entry.run:
            unit.counted_run = entry.run
            unit.failures += 1

    def _fail_if_exhausted(
        self, tracked: ledger.TrackedJob, entry: ledger.RunEntry
    ) -> None:
        if (
            entry.unit.failures >= tracked.job.queue.max_attempts
            and not entry.step.long_running
            and not tracked.state.ended
        ):
            self._end_job(tracked, progress_lib.JobState.FAILED)

    def _complete_occurrence_if_done(
        self, tracked: ledger.TrackedJob, number: int
    ) -> None:
        progress = tracked.progress
        occurrence = progress.occurrences_by_number.get(number)
        if progress.state.ended or occurrence is None or not occurrence.done:
            return
        if tracked.job.occurrences:
            del progress.occurrences_by_number[number]
        progress.finished_occurrences += 1
        if progress.finished_occurrences >= max(1, tracked.job.occurrences):
            self._end_job(tracked, progress_lib.JobState.COMPLETED)
