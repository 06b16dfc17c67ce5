"""What the end of a run means for its unit, its job and the worker's health."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentobridge.core.jobs import progress as progress_lib
from pimentobridge.core.jobs import runs
from pimentobridge.core.scheduling import ledger

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from pimentobridge.core import clock as clock_lib
    from pimentobridge.core import types
    from pimentobridge.core.scheduling import fleet


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
                self._complete(tracked, unit, entry.name.occurrence)
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

    def complete_released(
        self,
        worker: fleet.TrackedWorker,
        end: runs.EndedRun,
        jobs_by_id: Mapping[types.JobId, ledger.TrackedJob],
    ) -> ledger.TrackedJob | None:
        """Applies the end of a released run, if it has done its task.

        A worker may have carried out a late start. The task must not start
        again after that, unless it has done so by now.

        Args:
            worker: the worker that lists the end.
            end: how the run has ended.
            jobs_by_id: all tracked jobs.

        Returns:
            The job, if that changes it.
        """
        found = ledger.job_of(end.key, jobs_by_id)
        if found is None or end.cause is not runs.EndCause.DONE:
            return None
        tracked, name = found
        unit = tracked.progress.unit_of(name)
        if (
            unit is None
            or unit.run != end.key.run
            or unit.status is not progress_lib.UnitStatus.WAITING
            or tracked.state.ended
            or tracked.step_of(name.step).long_running
        ):
            return None
        self._log(
            "run done after it counted as over",
            job=tracked.id,
            task=end.key.task,
            run=end.key.run,
            worker=worker.key.worker,
            born_ms=worker.key.started_ms,
        )
        self._complete(tracked, unit, name.occurrence)
        return tracked

    def _complete(
        self, tracked: ledger.TrackedJob, unit: progress_lib.Unit, number: int
    ) -> None:
        """Marks a unit of an occurrence as done."""
        unit.status = progress_lib.UnitStatus.DONE
        self._complete_occurrence_if_done(tracked, number)

    def _count_failure(
        self, worker: fleet.TrackedWorker, entry: ledger.RunEntry
    ) -> None:
        unit = entry.unit
        unit.note_failure_on(worker.key.worker)
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
